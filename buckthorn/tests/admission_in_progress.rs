//! Calls that running requests make, at a backend server that is full of new requests.

use std::sync::Arc;
use std::time::Duration;

use buckthorn::admission::gate::{
    Decision, Gate, IN_PROGRESS_PER_SLOT, Next, Offer, QUEUE_PER_SLOT, Refusal,
};
use buckthorn::admission::rank::Rank;
use buckthorn::clock::Time;
use buckthorn::routing::parent::Parents;

/// Slots of the backend server.
const SLOTS: u32 = 2;

/// Start of virtual time.
const START: Time = Time::from_secs(1_000);

/// Call of a rank whose deadline is in half a second.
fn call(rank: Rank) -> Offer {
    Offer {
        rank,
        deadline: Some(START + Duration::from_millis(500)),
        max_wait: None,
    }
}

/// Gate whose slots and queue are full of the most urgent new calls.
fn full_of_new_calls() -> Gate {
    let mut gate = Gate::fixed(SLOTS, START);
    while gate.offer(START, call(Rank::new(0))) != Decision::Refuse(Refusal::QueueFull) {}
    gate
}

#[test]
fn calls_in_progress_find_a_place_and_go_before_new_ones() {
    let mut gate = full_of_new_calls();
    let offered = [5, 1].map(|urgency| gate.offer(START, call(Rank::in_progress(urgency))));
    let [Decision::Wait(later, ..), Decision::Wait(first, ..)] = offered else {
        panic!("{offered:?}");
    };
    for ticket in [first, later] {
        gate.release();
        assert_eq!(gate.next(START), Next::Run(ticket));
    }
}

#[test]
fn calls_in_progress_wait_until_their_deadline_and_no_longer() {
    let mut gate = full_of_new_calls();
    let patient = call(Rank::in_progress(7));
    let Decision::Wait(ticket, until, expiry) = gate.offer(START, patient) else {
        panic!("a call in progress waits");
    };
    assert_eq!((Some(until), expiry), (patient.deadline, Refusal::Deadline));
    let before = until - Duration::from_millis(1);
    while let Next::Refuse(refused, _) = gate.next(before) {
        assert_ne!(refused, ticket);
    }
    while gate.next(until) != Next::Refuse(ticket, Refusal::Deadline) {}
    // An ingress that has other backend servers to try may limit the wait.
    let brief = Offer {
        max_wait: Some(Duration::ZERO),
        ..patient
    };
    assert_eq!(
        gate.offer(START, brief),
        Decision::Refuse(Refusal::QueueFull)
    );
}

#[test]
fn both_groups_of_waiting_calls_are_bounded() {
    let mut gate = full_of_new_calls();
    let mut offer = |urgency| gate.offer(START, call(Rank::in_progress(urgency)));
    while matches!(offer(3), Decision::Wait(..)) {}
    assert_eq!(offer(3), Decision::Refuse(Refusal::QueueFull));
    assert!(matches!(offer(2), Decision::Wait(..)));
    assert!(matches!(gate.next(START), Next::Refuse(_, Refusal::Shed)));
    let bound = SLOTS as usize * (QUEUE_PER_SLOT + IN_PROGRESS_PER_SLOT);
    assert!(gate.queued() as usize <= bound);
}

#[test]
fn a_call_inherits_from_its_request_while_that_runs() {
    let parents = Arc::new(Parents::default());
    let background = parents.start("a", Rank::new(5), 0);
    let urgent = parents.start("b", Rank::in_progress(1), 1_000);
    let inherited = |id| parents.inherited(id).map(|i| (i.rank, i.repeat_permille));
    assert_eq!(inherited("a"), Some((Rank::in_progress(5), 0)));
    assert_eq!(inherited("b"), Some((Rank::in_progress(1), 1_000)));
    assert_eq!(inherited("c"), None);
    drop(urgent);
    assert_eq!(inherited("b"), None);
    drop(background);
    // Requests beyond those that are known are not confused with others.
    let many: Vec<_> = (0..100)
        .map(|id| parents.start(&format!("{id}"), Rank::new(0), 0))
        .collect();
    assert_eq!(inherited("99"), None);
    drop(many);
    assert_eq!(inherited("0"), None);
}
