//! Check of a caller's key, the headers that go on in its place, and the count of its tenant's
//! requests.

use http::HeaderMap;
use http::HeaderValue;

use super::Plane;
use super::header::Call;
use super::response::Reason;
use crate::admission::rank::Rank;
use crate::clock::Time;
use crate::counter::Counter;
use crate::tenant::admission::{Decision, decide};
use crate::usage::meter::Run;

/// Checks the key of a call, if the policy has tenants: the key is removed, and the name of its
/// tenant takes the place of one that the caller sent.
pub(super) fn admit(
    plane: &Plane,
    mut call: Call,
    headers: &mut HeaderMap,
    now: Time,
) -> Result<Call, (Reason, &'static str)> {
    let table = plane.table.load();
    let tenants = table.policy.as_ref().and_then(|p| p.tenants.as_ref());
    let (Some(contract), Some(directory)) = (&plane.contract, tenants) else {
        return Ok(call);
    };
    let names = &contract.headers;
    let is_current = plane.confirmation.is_current(now);
    let keys = headers.get_all(&names.tenant_key).iter();
    let keys = keys.map(HeaderValue::as_bytes);
    let decision = decide(directory, call.is_public, is_current, keys);
    headers.remove(&names.tenant_key);
    headers.remove(&names.tenant);
    match decision {
        Decision::Anonymous => Ok(call),
        Decision::UnknownKey => Err((Reason::UnknownKey, "")),
        Decision::Unconfirmed => Err((Reason::Unconfirmed, "")),
        Decision::Tenant(tenant) => {
            let Ok(name) = HeaderValue::from_str(&tenant.name) else {
                return Err((Reason::UnknownKey, "the tenant's name is no header value"));
            };
            headers.insert(&names.tenant, name);
            if let Some(urgency) = tenant.urgency {
                call.rank = if call.rank.is_in_progress() {
                    Rank::in_progress(urgency)
                } else {
                    Rank::new(urgency)
                };
            }
            Ok(call)
        }
    }
}

/// Counts a request that is sent to the local backend server at `now`, if it belongs to a tenant.
pub(super) fn count(plane: &Plane, headers: &HeaderMap, now: Time) -> Option<Run> {
    let (meter, contract) = (plane.meter.as_ref()?, plane.contract.as_ref()?);
    let tenant = headers.get(&contract.headers.tenant)?.to_str().ok()?;
    let run = meter.begin(tenant, now);
    if run.is_none() {
        plane.counters.increment(Counter::UsageDropped);
    }
    run
}
