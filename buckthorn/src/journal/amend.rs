//! Transitions of the intent by operators' changes and the controller's decisions.
//!
//! Each function either applies the change as a whole or returns why it is invalid.

use super::fold::{
    COMPARISON_SHARE, MAX_ENDED_MOVES, MAX_NAME_BYTES, MAX_OPEN_MOVES, MAX_ROUTES, MAX_SERVICES,
    MAX_TEXT_CHARS,
};
use super::record::Step;
use crate::clock::Time;
use crate::config::change::{Change, Operation};
use crate::config::intent::{self, FULL_SHARE, Intent, Move, Phase, Route, Service};
use crate::name::Name;

/// Returns the intent after a change, or why the change is invalid.
///
/// # Errors
///
/// Describes the first operation that contradicts the intent.
pub fn amend(intent: &Intent, change: &Change) -> Result<Intent, String> {
    let mut next = intent.clone();
    for operation in &change.operations {
        amend_one(&mut next, operation, change.at)?;
    }
    withdraw_unreachable(&mut next, change.at);
    prune_ended(&mut next);
    Ok(next)
}

/// Applies one operation to an intent.
fn amend_one(intent: &mut Intent, operation: &Operation, at: Time) -> Result<(), String> {
    match operation {
        Operation::Serve {
            service,
            route,
            version,
        } => serve(intent, service, route, version),
        Operation::Move {
            service,
            route,
            from,
            to,
            start,
            deadline,
        } => {
            let id = intent::move_id(service, route, from, to, *start, *deadline);
            let entry = Move {
                id,
                service: service.clone(),
                route: route.clone(),
                from: from.clone(),
                to: to.clone(),
                start: *start,
                deadline: *deadline,
                phase: Phase::Waiting,
                share: 0,
                reason: "waiting for its start".into(),
                changed: at,
            };
            add_move(intent, entry)
        }
        Operation::Cancel { id } => cancel(intent, id, at),
        Operation::Out { failure_domain } => set_out(intent, failure_domain, true),
        Operation::In { failure_domain } => set_out(intent, failure_domain, false),
    }
}

/// Declares the version of a route; the version of a known route only changes by a move.
fn serve(intent: &mut Intent, service: &Name, route: &Name, version: &Name) -> Result<(), String> {
    check_service(service)?;
    check_route(route)?;
    check_name("version", version, false)?;
    let index = match intent.services.binary_search_by(|s| s.name.cmp(service)) {
        Ok(index) => index,
        Err(_) if intent.services.len() >= MAX_SERVICES => {
            return Err(format!("more than {MAX_SERVICES} services"));
        }
        Err(index) => {
            intent.services.insert(
                index,
                Service {
                    name: service.clone(),
                    routes: Vec::new(),
                },
            );
            index
        }
    };
    let routes = &mut intent.services[index].routes;
    match routes.binary_search_by(|r| r.prefix.cmp(route)) {
        Ok(position) if routes[position].version == *version => Ok(()),
        Ok(position) => Err(format!(
            "{service}{route} is served by {}; a move is needed to change it to {version}",
            routes[position].version
        )),
        Err(_) if routes.len() >= MAX_ROUTES => Err(format!("more than {MAX_ROUTES} routes")),
        Err(position) => {
            routes.insert(
                position,
                Route {
                    prefix: route.clone(),
                    version: version.clone(),
                },
            );
            Ok(())
        }
    }
}

/// Adds a move. It follows an open move of its route that leads to its `from` version before its
/// start; without such a move it replaces the open moves of the route.
fn add_move(intent: &mut Intent, entry: Move) -> Result<(), String> {
    check_name("version", &entry.to, false)?;
    if entry.deadline <= entry.start {
        return Err(format!("move {}: deadline is not after start", entry.id));
    }
    if entry.from == entry.to {
        return Err(format!(
            "move {}: from and to are the same version",
            entry.id
        ));
    }
    match intent.moves.binary_search_by(|m| m.id.cmp(&entry.id)) {
        // A move that was withdrawn before it began is planned anew.
        Ok(index) if intent.moves[index].phase == Phase::Cancelled => {
            intent.moves.remove(index);
        }
        Ok(_) => return Ok(()),
        Err(_) => {}
    }
    let serving = intent
        .service(&entry.service)
        .and_then(|service| service.route(&entry.route))
        .map(|route| route.version.clone())
        .ok_or_else(|| {
            format!(
                "move {}: {}{} is not served",
                entry.id, entry.service, entry.route
            )
        })?;

    // A move may start from the serving version, or from the version to which an earlier move
    // leads.
    let open: Vec<usize> = (0..intent.moves.len())
        .filter(|&i| {
            let other = &intent.moves[i];
            !other.phase.is_ended() && other.service == entry.service && other.route == entry.route
        })
        .collect();
    if intent.moves.iter().filter(|m| !m.phase.is_ended()).count() >= MAX_OPEN_MOVES {
        return Err(format!("more than {MAX_OPEN_MOVES} open moves"));
    }
    let follows = open
        .iter()
        .any(|&i| intent.moves[i].to == entry.from && intent.moves[i].deadline <= entry.start);
    if serving != entry.from && !follows {
        return Err(format!(
            "move {}: {} is not serving {}{}, {serving} is",
            entry.id, entry.from, entry.service, entry.route
        ));
    }
    if !follows {
        for &i in &open {
            let other = &mut intent.moves[i];
            other.phase = if other.phase.is_active() {
                Phase::RolledBack
            } else {
                Phase::Cancelled
            };
            other.share = 0;
            other.reason = format!("replaced by {}", entry.id);
            other.changed = entry.changed;
        }
    }
    let index = match intent.moves.binary_search_by(|m| m.id.cmp(&entry.id)) {
        Ok(_) => return Ok(()),
        Err(index) => index,
    };
    intent.moves.insert(index, entry);
    Ok(())
}

/// Withdraws a move; traffic on its new version returns to the old one.
fn cancel(intent: &mut Intent, id: &Name, at: Time) -> Result<(), String> {
    let index = intent
        .moves
        .binary_search_by(|m| m.id.cmp(id))
        .map_err(|_| format!("no move {id}"))?;
    let entry = &mut intent.moves[index];
    if entry.phase.is_ended() {
        return Err(format!("move {id} has ended: {}", entry.phase));
    }
    entry.phase = if entry.phase.is_active() {
        Phase::RolledBack
    } else {
        Phase::Cancelled
    };
    entry.share = 0;
    entry.reason = "withdrawn by an operator".into();
    entry.changed = at;
    Ok(())
}

/// Takes a failure domain out of service or brings it back.
fn set_out(intent: &mut Intent, failure_domain: &Name, is_out: bool) -> Result<(), String> {
    let index = intent
        .failure_domains
        .binary_search_by(|d| d.name.cmp(failure_domain))
        .map_err(|_| format!("unknown failure domain {failure_domain}"))?;
    intent.failure_domains[index].is_out = is_out;
    Ok(())
}

/// Checks a name's length and characters; `field` is the field that an error names.
///
/// # Errors
///
/// Fails when the name is empty but must not be, too long, or has white space or control
/// characters.
pub fn check_name(field: &str, name: &str, may_be_empty: bool) -> Result<(), String> {
    if name.is_empty() && !may_be_empty {
        return Err(format!("{field} is empty"));
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(format!("{field} is longer than {MAX_NAME_BYTES} bytes"));
    }
    if name.chars().any(|c| c.is_control() || c.is_whitespace()) {
        return Err(format!(
            "{field} {name:?} holds white space or control characters"
        ));
    }
    Ok(())
}

/// Checks the name of a service, which is the host of a call.
///
/// # Errors
///
/// Fails when [`check_name`] does, or the name has characters that a host name cannot have.
pub fn check_service(name: &str) -> Result<(), String> {
    check_name("service", name, false)?;
    let is_host =
        |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '.' | '_');
    if !name.chars().all(is_host) {
        return Err(format!(
            "service {name:?} is not a host name in lower case: letters, digits, -, . and _"
        ));
    }
    Ok(())
}

/// Checks a path prefix, empty for the whole service.
///
/// # Errors
///
/// Fails when [`check_name`] does, or the prefix does not start with a slash or is not only a path.
pub fn check_route(prefix: &str) -> Result<(), String> {
    check_name("route", prefix, true)?;
    if !prefix.is_empty() && !prefix.starts_with('/') {
        return Err(format!("route {prefix:?} does not start with a slash"));
    }
    if prefix.contains(['?', '#']) {
        return Err(format!("route {prefix:?} holds more than a path"));
    }
    Ok(())
}

/// Applies a controller's decision to the intent.
pub(super) fn advance(intent: &mut Intent, step: &Step) -> Result<(), String> {
    let index = intent
        .moves
        .binary_search_by(|m| m.id.cmp(&step.id))
        .map_err(|_| format!("no move {}", step.id))?;
    let begins = intent.moves[index].phase == Phase::Waiting && step.phase.is_active();
    if begins && !intent.is_startable(&intent.moves[index]) {
        return Err(format!(
            "move {}: {} does not serve alone yet",
            step.id, intent.moves[index].from
        ));
    }
    let entry = &mut intent.moves[index];
    if !is_valid_transition(entry, step) {
        return Err(format!(
            "move {}: {} at {} cannot become {} at {}",
            step.id, entry.phase, entry.share, step.phase, step.share
        ));
    }
    entry.phase = step.phase;
    entry.share = step.share;
    entry.reason = step.reason.chars().take(MAX_TEXT_CHARS).collect();
    entry.changed = step.at;
    if step.phase == Phase::Done {
        let (service, route, to) = (entry.service.clone(), entry.route.clone(), entry.to.clone());
        set_version(intent, &service, &route, to);
    }
    withdraw_unreachable(intent, step.at);
    prune_ended(intent);
    Ok(())
}

/// Whether a decision is a valid transition of its move.
fn is_valid_transition(entry: &Move, step: &Step) -> bool {
    if entry.phase.is_ended() {
        return false;
    }
    match step.phase {
        Phase::Waiting => false,
        Phase::Shifting => {
            entry.phase != Phase::Watching && step.share >= entry.share && step.share <= FULL_SHARE
        }
        Phase::Holding => {
            // A hold may lower the share, so that both versions have calls to compare.
            let floor = entry.share.min(COMPARISON_SHARE);
            step.share >= floor && step.share <= FULL_SHARE
        }
        Phase::Watching => step.share == FULL_SHARE,
        Phase::Done => entry.phase == Phase::Watching && step.share == FULL_SHARE,
        Phase::RolledBack | Phase::Cancelled => step.share == 0,
    }
}

/// Withdraws waiting moves whose old version neither serves nor is the target of an open move.
fn withdraw_unreachable(intent: &mut Intent, at: Time) {
    let find = |intent: &Intent| {
        intent
            .moves
            .iter()
            .position(|m| m.phase == Phase::Waiting && !is_reachable(intent, m))
    };
    // A withdrawn move may be the one that another move follows, so this repeats.
    while let Some(index) = find(intent) {
        let entry = &mut intent.moves[index];
        entry.phase = Phase::Cancelled;
        entry.reason = format!("no move brings {} any more", entry.from);
        entry.changed = at;
    }
}

/// Whether the old version of a move serves, or an open move leads to it before the move's start.
fn is_reachable(intent: &Intent, entry: &Move) -> bool {
    let serving = intent
        .service(&entry.service)
        .and_then(|service| service.route(&entry.route));
    serving.is_some_and(|route| route.version == entry.from)
        || intent.moves.iter().any(|other| {
            !other.phase.is_ended()
                && other.service == entry.service
                && other.route == entry.route
                && other.to == entry.from
                && other.deadline <= entry.start
        })
}

/// Sets the serving version of a route.
fn set_version(intent: &mut Intent, service: &str, route: &str, version: Name) {
    let Ok(index) = intent.services.binary_search_by(|s| (*s.name).cmp(service)) else {
        return;
    };
    let routes = &mut intent.services[index].routes;
    if let Ok(position) = routes.binary_search_by(|r| (*r.prefix).cmp(route)) {
        routes[position].version = version;
    }
}

/// Drops the oldest ended moves over the limit.
fn prune_ended(intent: &mut Intent) {
    let mut ended: Vec<(Time, Name)> = intent
        .moves
        .iter()
        .filter(|m| m.phase.is_ended())
        .map(|m| (m.changed, m.id.clone()))
        .collect();
    if ended.len() <= MAX_ENDED_MOVES {
        return;
    }
    ended.sort();
    let excess = ended.len() - MAX_ENDED_MOVES;
    let dropped: Vec<Name> = ended.drain(..excess).map(|(_, id)| id).collect();
    intent.moves.retain(|m| !dropped.contains(&m.id));
}
