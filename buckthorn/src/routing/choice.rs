//! Choice of a backend server: two random candidates, the less loaded one wins.

use rand::Rng;

use super::table::{Endpoint, Route, Share, Table};
use crate::clock::Time;
use crate::config::intent::FULL_SHARE;
use crate::name::Name;

/// What came of a choice.
#[derive(Clone, Copy, Debug)]
pub enum Choice<'a> {
    /// Send the call here.
    Endpoint(&'a Share, &'a Endpoint),
    /// No backend server may take the call.
    NoBackendServer,
}

/// Chooses a backend server for a call, leaving out hosts already tried.
pub fn choose<'a>(
    _table: &Table,
    route: &'a Route,
    _now: Time,
    tried: &[Name],
    rng: &mut impl Rng,
) -> Choice<'a> {
    let draw = rng.random_range(0..FULL_SHARE);
    let Some(share) = pick_share(route, draw) else {
        return Choice::NoBackendServer;
    };
    let candidates: Vec<&Endpoint> = share
        .endpoints
        .iter()
        .filter(|e| !tried.contains(&e.host))
        .collect();
    if candidates.is_empty() {
        return Choice::NoBackendServer;
    }
    let a = candidates[rng.random_range(0..candidates.len())];
    let b = candidates[rng.random_range(0..candidates.len())];
    let better = if a.load.in_flight() <= b.load.in_flight() {
        a
    } else {
        b
    };
    Choice::Endpoint(share, better)
}

/// Share that a draw in `0..FULL_SHARE` falls into.
fn pick_share(route: &Route, draw: u16) -> Option<&Share> {
    let mut edge = 0;
    route.shares.iter().find(|share| {
        edge += share.permille;
        draw < edge
    })
}
