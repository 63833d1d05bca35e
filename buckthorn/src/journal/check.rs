//! Validation of a state from a peer or a checkpoint before it is installed.
//!
//! A state that no fold could have produced is refused as a whole: later records applied to it
//! would break invariants or give another result than on the other nodes.

use std::collections::BTreeMap;

use super::amend::{check_name, check_route, check_service};
use super::fold::{
    MAX_ENDED_MOVES, MAX_FAILURE_DOMAINS, MAX_HISTORY, MAX_NAME_BYTES, MAX_OPEN_MOVES,
    MAX_RECENT_IDS, MAX_ROUTES, MAX_SERVICES, MAX_TEXT_CHARS, State,
};
use crate::config::intent::{self, FULL_SHARE, Intent, Move, Phase, Service};

/// Maximum offset of a state; a log with a million records per second takes 285 years to reach it.
pub const MAX_OFFSET: u64 = 1 << 53;

/// Checks that a state could have been produced by the fold.
///
/// # Errors
///
/// Describes the first property that does not hold.
pub fn check(state: &State) -> Result<(), String> {
    check_numbers(state)?;
    check_lists(state)?;
    let intent = &state.intent;
    if state.version == 0 && *intent != Intent::default() {
        return Err("the version is 0, but the intent is not empty".into());
    }
    check_services(&intent.services)?;
    check_domains(intent)?;
    check_moves(intent)
}

/// Checks that the offset, versions and lease are consistent.
fn check_numbers(state: &State) -> Result<(), String> {
    let lease = &state.lease;
    if state.next > MAX_OFFSET {
        return Err(format!("offset {} is beyond {MAX_OFFSET}", state.next));
    }
    if state.version > state.next || state.intent_version > state.version {
        return Err(format!(
            "version {} and intent version {} do not fit offset {}",
            state.version, state.intent_version, state.next
        ));
    }
    if lease.term > state.next || lease.holder.is_some() != (lease.term > 0) {
        return Err(format!("term {} does not fit its holder", lease.term));
    }
    match &lease.holder {
        Some(holder) => check_name("holder", holder, false),
        None => Ok(()),
    }
}

/// Checks the bounds of the recent identifiers, and the bounds and order of the history.
fn check_lists(state: &State) -> Result<(), String> {
    let is_long = |text: &str| text.len() > MAX_NAME_BYTES;
    if state.recent.len() > MAX_RECENT_IDS || state.recent.iter().any(|id| is_long(id)) {
        return Err("the recent identifiers exceed their limits".into());
    }
    let history = &state.history;
    let is_over = |text: &str, limit| text.chars().count() > limit;
    let is_bounded = history.len() <= MAX_HISTORY
        && history.iter().all(|entry| {
            entry.offset < state.next
                && !is_over(&entry.id, MAX_NAME_BYTES)
                && !is_over(&entry.author, MAX_NAME_BYTES)
                && !is_over(&entry.text, MAX_TEXT_CHARS)
        });
    if !is_bounded || !is_sorted(history.iter().map(|entry| entry.offset)) {
        return Err("the history exceeds its limits or is out of order".into());
    }
    Ok(())
}

/// Checks the bounds, order and names of services and routes.
fn check_services(services: &[Service]) -> Result<(), String> {
    if services.len() > MAX_SERVICES || !is_sorted(services.iter().map(|s| &s.name)) {
        return Err("the services exceed their limit or are out of order".into());
    }
    for service in services {
        check_service(&service.name)?;
        let routes = &service.routes;
        if routes.len() > MAX_ROUTES || !is_sorted(routes.iter().map(|r| &r.prefix)) {
            return Err(format!(
                "the routes of {} exceed their limit or are out of order",
                service.name
            ));
        }
        for route in routes {
            check_route(&route.prefix)?;
            check_name("version", &route.version, false)?;
        }
    }
    Ok(())
}

/// Checks the bounds, order and names of failure domains.
fn check_domains(intent: &Intent) -> Result<(), String> {
    let domains = &intent.failure_domains;
    if domains.len() > MAX_FAILURE_DOMAINS || !is_sorted(domains.iter().map(|d| &d.name)) {
        return Err("the failure domains exceed their limit or are out of order".into());
    }
    domains.iter().try_for_each(|domain| {
        check_name("failure domain", &domain.name, false)?;
        check_name("region", &domain.region, false)
    })
}

/// Checks the moves, and that each route has at most one active move.
fn check_moves(intent: &Intent) -> Result<(), String> {
    let moves = &intent.moves;
    let ended = moves.iter().filter(|m| m.phase.is_ended()).count();
    if ended > MAX_ENDED_MOVES
        || moves.len() - ended > MAX_OPEN_MOVES
        || !is_sorted(moves.iter().map(|m| &m.id))
    {
        return Err("the moves exceed their limits or are out of order".into());
    }
    let mut active = BTreeMap::new();
    for entry in moves {
        check_move(intent, entry)?;
        let route = (&entry.service, &entry.route);
        if entry.phase.is_active() && active.insert(route, &entry.id).is_some() {
            return Err(format!(
                "move {}: another move of its route is active",
                entry.id
            ));
        }
    }
    Ok(())
}

/// Checks that a move is consistent with itself and its route.
fn check_move(intent: &Intent, entry: &Move) -> Result<(), String> {
    check_name("version", &entry.from, false)?;
    check_name("version", &entry.to, false)?;
    let (service, route) = (&entry.service, &entry.route);
    let (from, to) = (&entry.from, &entry.to);
    let id = intent::move_id(service, route, from, to, entry.start, entry.deadline);
    let serving = intent
        .service(service)
        .and_then(|service| service.route(route));
    let is_share_valid = match entry.phase {
        Phase::Shifting | Phase::Holding => entry.share <= FULL_SHARE,
        Phase::Watching | Phase::Done => entry.share == FULL_SHARE,
        Phase::Waiting | Phase::RolledBack | Phase::Cancelled => entry.share == 0,
    };
    let is_from_serving =
        !entry.phase.is_active() || serving.is_some_and(|route| route.version == entry.from);
    let is_consistent = entry.id == id
        && serving.is_some()
        && entry.deadline > entry.start
        && from != to
        && is_share_valid
        && is_from_serving
        && entry.reason.chars().count() <= MAX_TEXT_CHARS;
    if is_consistent {
        Ok(())
    } else {
        Err(format!(
            "move {id} is not consistent with itself or its route"
        ))
    }
}

/// Whether items are strictly increasing.
fn is_sorted<T: Ord>(items: impl Iterator<Item = T>) -> bool {
    items.is_sorted_by(|a, b| a < b)
}
