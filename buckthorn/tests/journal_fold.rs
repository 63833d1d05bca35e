//! Properties of the fold of the configuration stream.

use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::config::change::{Change, Operation};
use buckthorn::config::intent::{FULL_SHARE, Phase};
use buckthorn::journal::checkpoint;
use buckthorn::journal::fold::{self, MAX_NAME_BYTES, MAX_TEXT_CHARS, Outcome, Refusal, State};
use buckthorn::journal::record::{self, Body, Claim, DomainRegistration, Record, Step};
use buckthorn::name::Name;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Maximum bytes of a test's state as JSON: the history and its texts at their limits.
const MAX_STATE_BYTES: usize =
    fold::MAX_HISTORY * 4 * (MAX_TEXT_CHARS + 3 * MAX_NAME_BYTES) + 100_000;

/// Record at an offset.
fn at(offset: u64, id: &str, payload: &str) -> Record {
    Record {
        offset,
        id: id.into(),
        payload: payload.into(),
    }
}

/// Change of one operation.
fn change(base: u64, operations: Vec<Operation>) -> Body {
    Body::Change(Change {
        base,
        author: "ada".into(),
        at: Time::from_secs(1),
        operations,
    })
}

/// Serves a version.
fn serve(service: &str, version: &str) -> Operation {
    Operation::Serve {
        service: service.into(),
        route: "".into(),
        version: version.into(),
    }
}

/// Content of a random record; there are few names, so that records concern the same subjects.
#[derive(Clone, Debug)]
enum Draft {
    /// Change planned on the version in force, or on one behind it.
    Change(bool, Vec<(u8, u8, u8, u8)>),
    /// Decision about one of the moves, under the term in force or another.
    Step(u8, u8, u16, bool),
    /// Claim of the lease that replaces the term in force or another.
    Claim(bool),
    /// Failure domain.
    Domain(u8),
    /// Anything else.
    Noise(String),
}

/// Random record.
fn any_draft() -> impl Strategy<Value = Draft> {
    let kind = prop_oneof![2 => Just(0_u8), 5 => Just(1), 1 => Just(3), 1 => Just(4)];
    let service = prop_oneof![4 => Just(0_u8), 1 => Just(1)];
    let operations = prop::collection::vec((kind, service, 1_u8..4, 1_u8..4), 1..3);
    prop_oneof![
        4 => (prop::bool::weighted(0.9), operations).prop_map(|(b, o)| Draft::Change(b, o)),
        4 => (0_u8..4, 0_u8..7, prop_oneof![Just(0), Just(FULL_SHARE), 0_u16..1_200], prop::bool::weighted(0.9))
            .prop_map(|(m, p, s, t)| Draft::Step(m, p, s, t)),
        1 => prop::bool::weighted(0.8).prop_map(Draft::Claim),
        1 => (0_u8..3).prop_map(Draft::Domain),
        1 => ".{0,60}".prop_map(Draft::Noise),
    ]
}

/// Payload of a random record, which refers to the versions and moves of a state.
fn payload(state: &State, draft: &Draft) -> String {
    let body = match draft {
        Draft::Change(is_current, operations) => {
            let base = state.intent_version - u64::from(!is_current && state.intent_version > 0);
            change(
                base,
                operations.iter().map(|o| operation(state, *o)).collect(),
            )
        }
        Draft::Step(which, phase, share, is_current) => {
            let phases = [
                Phase::Waiting,
                Phase::Shifting,
                Phase::Holding,
                Phase::Watching,
                Phase::Done,
                Phase::RolledBack,
                Phase::Cancelled,
            ];
            let entry = state.intent.moves.get(usize::from(*which));
            Body::Step(Step {
                term: state.lease.term + u64::from(!is_current),
                id: entry.map_or("none".into(), |m| m.id.clone()),
                phase: phases[usize::from(*phase)],
                share: *share,
                reason: "r".repeat(usize::from(*share) * 2),
                at: Time::from_secs(u64::from(*share)),
            })
        }
        Draft::Claim(is_current) => Body::Claim(Claim {
            host: "host-1".into(),
            replaces: state.lease.term + u64::from(!is_current),
            at: Time::from_secs(1),
        }),
        Draft::Domain(name) => Body::Domain(DomainRegistration {
            name: format!("d{name}").into(),
            region: "bc-lower".into(),
        }),
        Draft::Noise(text) => return text.clone(),
    };
    record::encode(body)
}

/// Random operation.
fn operation(state: &State, (kind, service, from, to): (u8, u8, u8, u8)) -> Operation {
    // Moves of one route follow one another in time.
    let start = Time::from_secs(10 * u64::from(from));
    let (from, to) = (format!("v{from}"), format!("v{to}"));
    match kind {
        0 => serve(&format!("s{service}"), &to),
        1 => Operation::Move {
            service: format!("s{service}").into(),
            route: "".into(),
            from: from.into(),
            to: to.into(),
            start,
            deadline: start + Duration::from_secs(10),
        },
        3 => Operation::Cancel {
            id: state
                .intent
                .moves
                .first()
                .map_or("none".into(), |m| m.id.clone()),
        },
        _ => Operation::Out {
            failure_domain: format!("d{service}").into(),
        },
    }
}

/// Folds random records and returns them with the state after each.
fn run(drafts: &[Draft]) -> (Vec<Record>, Vec<State>) {
    let mut state = State::new();
    let (mut records, mut states) = (Vec::new(), vec![state.clone()]);
    for (offset, draft) in drafts.iter().enumerate() {
        let record = at(
            offset as u64,
            &format!("id-{offset}"),
            &payload(&state, draft),
        );
        state.apply(&record);
        records.push(record);
        states.push(state.clone());
    }
    (records, states)
}

/// Cases drawn from a fixed seed.
fn fixed_seed(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(17),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed(500))]

    /// A fold resumed from a checkpoint equals the fold from the start.
    #[test]
    fn a_fold_from_a_checkpoint_equals_the_fold_from_the_start(
        drafts in prop::collection::vec(any_draft(), 1..40),
        cut in any::<prop::sample::Index>(),
    ) {
        let (records, states) = run(&drafts);
        let cut = cut.index(states.len());
        let checkpoint = at(3, "checkpoint", &checkpoint::encode(&states[cut]));
        let newest = at(4, "unreadable", "{");
        let mut state = checkpoint::newest_valid_state(&[checkpoint, newest]).unwrap();
        for record in &records {
            let outcome = state.apply(record);
            if record.offset < cut as u64 {
                prop_assert_eq!(outcome, Outcome::Duplicate);
            }
        }
        prop_assert_eq!(&state, states.last().unwrap());
    }

    /// The version rises with each record that is applied and only then.
    #[test]
    fn the_version_rises_only_with_applied_records(
        drafts in prop::collection::vec(any_draft(), 1..40),
    ) {
        let mut state = State::new();
        for (offset, draft) in drafts.iter().enumerate() {
            let before = state.clone();
            let record = at(offset as u64, &format!("id-{offset}"), &payload(&state, draft));
            let outcome = state.apply(&record);
            if outcome == Outcome::Applied {
                prop_assert_eq!(state.version, record.offset + 1);
                prop_assert!(state.version > before.version);
            } else {
                prop_assert_eq!(&state.intent, &before.intent);
                prop_assert_eq!(state.version, before.version);
                prop_assert_eq!(state.intent_version, before.intent_version);
            }
            for entry in state.intent.moves.iter().filter(|m| m.phase.is_active()) {
                let on_route = state.intent.active_move(&entry.service, &entry.route);
                prop_assert_eq!(on_route, Some(entry), "two active moves on one route");
                let serving = &state.intent.service(&entry.service).unwrap().routes[0].version;
                prop_assert_eq!(serving, &entry.from);
            }
            prop_assert_eq!(state.apply(&record), Outcome::Duplicate);
            let gap = at(record.offset + 2, "gap", &record.payload);
            prop_assert_eq!(state.apply(&gap), Outcome::Gap);
        }
    }

    /// Of two changes planned on one version, the first in the log wins and the second is stale.
    #[test]
    fn the_first_of_two_changes_wins(
        drafts in prop::collection::vec(any_draft(), 0..20),
        names in prop::sample::select(vec![("a", "b"), ("b", "a"), ("a", "a")]),
    ) {
        let (_, states) = run(&drafts);
        let mut state = states.last().unwrap().clone();
        let base = state.intent_version;
        let service = |name: &str| format!("{name}-{}", state.next);
        let (first, second) = (service(names.0), service(names.1));
        let first = record::encode(change(base, vec![serve(&first, "v1")]));
        let second = record::encode(change(base, vec![serve(&second, "v1")]));
        prop_assert_eq!(state.apply(&at(state.next, "first", &first)), Outcome::Applied);
        let intent = state.intent.clone();
        let current = state.intent_version;
        let stale = Outcome::Refused(Refusal::Stale { base, current });
        prop_assert_eq!(state.apply(&at(state.next, "second", &second)), stale);
        // A repeat of the first, appended after its reply was lost, takes effect once.
        prop_assert_eq!(state.apply(&at(state.next, "first", &first)), Outcome::Duplicate);
        prop_assert_eq!(&state.intent, &intent);
    }

    /// No payload or identifier causes a panic or makes the state exceed its limits.
    #[test]
    fn any_record_is_applied_or_refused(
        payloads in prop::collection::vec((".{0,300}", any::<bool>()), 1..80),
    ) {
        let mut state = State::new();
        for (text, is_id) in payloads {
            let id = if is_id { text.as_str() } else { "id" };
            let record = at(state.next, id, &text);
            prop_assert!(matches!(state.apply(&record), Outcome::Refused(_)));
        }
        prop_assert!(state.history.len() <= fold::MAX_HISTORY);
        prop_assert!(checkpoint::encode(&state).len() <= MAX_STATE_BYTES);
    }

    /// A valid payload with changed bytes is applied or refused, and the fold continues.
    #[test]
    fn a_damaged_record_is_applied_or_refused(
        drafts in prop::collection::vec(any_draft(), 1..20),
        damage in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
    ) {
        let mut state = State::new();
        for (offset, draft) in drafts.iter().enumerate() {
            let mut bytes = payload(&state, draft).into_bytes();
            for (index, byte) in &damage {
                if !bytes.is_empty() {
                    let index = index.index(bytes.len());
                    bytes[index] = *byte;
                }
            }
            let record = at(offset as u64, "id", &String::from_utf8_lossy(&bytes));
            state.apply(&record);
            prop_assert_eq!(state.next, record.offset + 1);
        }
        prop_assert!(checkpoint::encode(&state).len() <= MAX_STATE_BYTES);
    }
}

/// Applies one body to a state.
fn apply(state: &mut State, body: Body) -> Outcome {
    let payload = record::encode(body);
    state.apply(&at(state.next, &format!("id-{}", state.next), &payload))
}

#[test]
fn long_names_and_many_failure_domains_are_refused() {
    let mut state = State::new();
    let long = "x".repeat(MAX_NAME_BYTES + 1);
    let domain = |name: &str, region: &str| {
        Body::Domain(DomainRegistration {
            name: name.into(),
            region: region.into(),
        })
    };
    let is_refused = |outcome| matches!(outcome, Outcome::Refused(Refusal::Invalid(_)));
    assert!(is_refused(apply(&mut state, domain(&long, "r"))));
    assert!(is_refused(apply(&mut state, domain("d", &long))));
    assert!(is_refused(apply(&mut state, domain("", "r"))));
    let claim = Claim {
        host: long.as_str().into(),
        replaces: 0,
        at: Time(0),
    };
    assert!(is_refused(apply(&mut state, Body::Claim(claim))));
    for index in 0..fold::MAX_FAILURE_DOMAINS {
        assert_eq!(
            apply(&mut state, domain(&format!("d{index}"), "r")),
            Outcome::Applied
        );
    }
    assert!(is_refused(apply(&mut state, domain("one-more", "r"))));
    let record = at(state.next, &long, &record::encode(domain("d", "r")));
    assert!(matches!(
        state.apply(&record),
        Outcome::Refused(Refusal::Malformed(_))
    ));
    assert!(
        state
            .history
            .iter()
            .all(|entry| entry.id.len() <= MAX_NAME_BYTES)
    );
}

#[test]
fn open_moves_are_bounded() {
    let mut state = State::new();
    let mut operations = vec![serve("s", "v0")];
    operations.extend(
        (0..=fold::MAX_OPEN_MOVES as u64).map(|index| Operation::Move {
            service: "s".into(),
            route: "".into(),
            from: format!("v{index}").into(),
            to: format!("v{}", index + 1).into(),
            start: Time::from_secs(10 + 10 * index),
            deadline: Time::from_secs(15 + 10 * index),
        }),
    );
    let over = apply(&mut state, change(0, operations.clone()));
    assert!(matches!(over, Outcome::Refused(Refusal::Invalid(_))));
    operations.pop();
    assert_eq!(apply(&mut state, change(0, operations)), Outcome::Applied);
}

#[test]
fn a_service_that_no_call_could_name_is_refused() {
    for service in ["Rungs", "rungs:80", "rungs/x", ""] {
        let mut state = State::new();
        let outcome = apply(&mut state, change(0, vec![serve(service, "v1")]));
        assert!(
            matches!(outcome, Outcome::Refused(Refusal::Invalid(_))),
            "{service}"
        );
    }
}

/// State with a lease and three moves that follow one another; returns their identifiers in order.
fn chain() -> (State, Vec<Name>) {
    let mut state = State::new();
    let claim = Claim {
        host: "host-1".into(),
        replaces: 0,
        at: Time(0),
    };
    apply(&mut state, Body::Claim(claim));
    let mut operations = vec![serve("s", "v1")];
    operations.extend((1..4_u64).map(|index| Operation::Move {
        service: "s".into(),
        route: "".into(),
        from: format!("v{index}").into(),
        to: format!("v{}", index + 1).into(),
        start: Time::from_secs(20 * index),
        deadline: Time::from_secs(20 * index + 10),
    }));
    assert_eq!(apply(&mut state, change(0, operations)), Outcome::Applied);
    let mut moves: Vec<_> = state.intent.moves.iter().collect();
    moves.sort_by_key(|entry| entry.start);
    let ids = moves.iter().map(|entry| entry.id.clone()).collect();
    (state, ids)
}

/// Applies a controller's decision.
fn step(state: &mut State, id: &Name, phase: Phase, share: u16) -> Outcome {
    let step = Step {
        term: state.lease.term,
        id: id.clone(),
        phase,
        share,
        reason: "as planned".into(),
        at: Time::from_secs(100),
    };
    apply(state, Body::Step(step))
}

#[test]
fn a_move_begins_only_when_the_one_before_is_done() {
    let (mut state, ids) = chain();
    for phase in [Phase::Shifting, Phase::Holding, Phase::Watching] {
        let early = step(&mut state, &ids[1], phase, FULL_SHARE);
        assert!(
            matches!(early, Outcome::Refused(Refusal::Invalid(_))),
            "{phase}"
        );
    }
    for (phase, share) in [(Phase::Shifting, 10), (Phase::Watching, FULL_SHARE)] {
        assert_eq!(step(&mut state, &ids[0], phase, share), Outcome::Applied);
        let early = step(&mut state, &ids[1], Phase::Shifting, 10);
        assert!(
            matches!(early, Outcome::Refused(Refusal::Invalid(_))),
            "{phase}"
        );
    }
    step(&mut state, &ids[0], Phase::Done, FULL_SHARE);
    assert_eq!(
        step(&mut state, &ids[1], Phase::Shifting, 10),
        Outcome::Applied
    );
}

#[test]
fn moves_that_follow_a_rolled_back_move_are_withdrawn() {
    let (state, ids) = chain();
    let cancelled =
        |state: &State, id: &Name| state.intent.find_move(id).unwrap().phase == Phase::Cancelled;
    let mut rolled_back = state.clone();
    step(&mut rolled_back, &ids[0], Phase::Shifting, 10);
    step(&mut rolled_back, &ids[0], Phase::RolledBack, 0);
    let mut withdrawn = state.clone();
    let cancel = Operation::Cancel { id: ids[0].clone() };
    apply(&mut withdrawn, change(state.intent_version, vec![cancel]));
    for state in [rolled_back, withdrawn] {
        assert!(cancelled(&state, &ids[1]) && cancelled(&state, &ids[2]));
    }
    // Withdrawing the last move leaves the others as they are.
    let mut last = state.clone();
    let cancel = Operation::Cancel { id: ids[2].clone() };
    apply(&mut last, change(state.intent_version, vec![cancel]));
    assert!(!cancelled(&last, &ids[1]) && cancelled(&last, &ids[2]));
}

#[test]
fn a_deeply_nested_payload_is_refused() {
    let mut state = State::new();
    for open in ["[", "{\"a\":", "{\"schema\":1,\"body\":["] {
        let record = at(state.next, "deep", &open.repeat(100_000));
        assert!(matches!(
            state.apply(&record),
            Outcome::Refused(Refusal::Malformed(_))
        ));
    }
}
