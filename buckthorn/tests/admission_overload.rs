//! Overload of services that call each other, in virtual time: gates, ranks and cuts without nodes.
//!
//! The services, times and rates are those of a booking system at a twenty-eighth of its size, with
//! one backend server for each service: the pages of free slots call the booking service, bookings
//! call the service of the history, and the history is the kind that can wait.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use buckthorn::admission::gate::{Decision, Gate, Next, Offer, Urgency};
use buckthorn::admission::queue::Ticket;
use buckthorn::admission::rank::Rank;
use buckthorn::clock::Time;
use buckthorn::rollout::evidence::Outcome;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Start of virtual time, and of the load.
const START: Time = Time::from_secs(1_000);

/// Slots of each backend server.
const SLOTS: u32 = 9;

/// Time after which a refused caller tries once more.
const RETURN: Duration = Duration::from_millis(300);

/// Kind of request, or of a call that requests make.
#[derive(Clone, Copy)]
struct Kind {
    service: usize,
    urgency: Urgency,
    work_ms: u64,
    latency_target_ms: u64,
    budget_ms: u64,
    /// Kind of the two calls that seven in ten requests make while they run.
    calls: Option<usize>,
}

const BROWSE: usize = 0;
const BOOK: usize = 1;
const HISTORY: usize = 2;
const STATUS: usize = 3;
const RECORDS: usize = 4;

#[rustfmt::skip]
const KINDS: [Kind; 5] = [
    Kind { service: 0, urgency: 0, work_ms: 160, latency_target_ms: 500, budget_ms: 1_200, calls: Some(STATUS) },
    Kind { service: 1, urgency: 1, work_ms: 210, latency_target_ms: 600, budget_ms: 1_500, calls: Some(RECORDS) },
    Kind { service: 2, urgency: 2, work_ms: 400, latency_target_ms: 2_000, budget_ms: 3_000, calls: None },
    Kind { service: 1, urgency: 0, work_ms: 40, latency_target_ms: 150, budget_ms: 500, calls: None },
    Kind { service: 2, urgency: 0, work_ms: 40, latency_target_ms: 150, budget_ms: 500, calls: None },
];

/// Requests a second of the first three kinds.
const RATES: [f64; 3] = [36.0, 24.0, 16.0];

/// A request or call.
struct Call {
    kind: usize,
    parent: Option<usize>,
    deadline: Time,
    /// Calls that have not returned, and one for the work.
    pending: u32,
    /// Whether a call of it was refused.
    has_failed: bool,
    has_returned: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Offer(usize),
    Worked(usize),
    Settle(usize),
}

/// What became of the requests of a kind.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    asked: u32,
    served: u32,
    /// Requests that ran in vain because a call of theirs was refused before their deadline.
    in_vain: u32,
}

impl Tally {
    fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.asked.max(1))
    }
}

/// The three services under load.
struct Load {
    now: Time,
    gates: [Gate; 3],
    waiting: [BTreeMap<Ticket, usize>; 3],
    calls: Vec<Call>,
    events: BinaryHeap<Reverse<(Time, usize, Event)>>,
    kinds: [Kind; 5],
    rates: [f64; 3],
    /// Whether calls rank with their parents, or as new requests.
    ranks_calls: bool,
    tallies: [Tally; 5],
    rng: ChaCha8Rng,
}

impl Load {
    fn new(ranks_calls: bool, seed: u64) -> Self {
        let mut load = Self {
            now: START,
            gates: [(); 3].map(|()| Gate::fixed(SLOTS, START)),
            waiting: Default::default(),
            calls: Vec::new(),
            events: BinaryHeap::new(),
            kinds: KINDS,
            rates: RATES,
            ranks_calls,
            tallies: Default::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        (BROWSE..=HISTORY).for_each(|kind| load.at(Duration::ZERO, Event::Arrive(kind)));
        load
    }

    /// Plays the load for a time, and returns what became of the requests that began in it.
    fn play(&mut self, time: Duration) -> [Tally; 5] {
        self.tallies = Default::default();
        let end = self.now + time;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrive(kind) => self.arrive(kind),
                Event::Offer(call) => self.offer(call),
                Event::Worked(call) => self.worked(call),
                Event::Settle(service) => self.settle(service),
            }
            if at >= end {
                break;
            }
        }
        self.tallies
    }

    fn at(&mut self, delay: Duration, event: Event) {
        let order = self.events.len();
        self.events.push(Reverse((self.now + delay, order, event)));
    }

    fn arrive(&mut self, kind: usize) {
        // Balancing spreads requests about evenly over backend servers.
        let gap = self.rng.random_range(0.5..1.5) / self.rates[kind];
        self.at(Duration::from_secs_f64(gap), Event::Arrive(kind));
        self.begin(kind, None, self.now);
    }

    fn begin(&mut self, kind: usize, parent: Option<usize>, latest: Time) {
        let deadline = self.now + Duration::from_millis(self.kinds[kind].budget_ms);
        self.tallies[kind].asked += 1;
        self.calls.push(Call {
            kind,
            parent,
            deadline: parent.map_or(deadline, |_| deadline.min(latest)),
            pending: 1,
            has_failed: false,
            has_returned: false,
        });
        self.at(Duration::ZERO, Event::Offer(self.calls.len() - 1));
    }

    fn offer(&mut self, id: usize) {
        let call = &self.calls[id];
        let kind = self.kinds[call.kind];
        let is_in_progress = call.parent.is_some() && self.ranks_calls;
        let offer = Offer {
            rank: match call.parent {
                Some(parent) if is_in_progress => {
                    Rank::in_progress(self.kinds[self.calls[parent].kind].urgency)
                }
                _ => Rank::new(kind.urgency),
            },
            deadline: Some(call.deadline),
            max_wait: (!is_in_progress).then(|| Duration::from_millis(kind.latency_target_ms) / 2),
        };
        match self.gates[kind.service].offer(self.now, offer) {
            Decision::Run => self.run(id),
            Decision::Refuse(_) => self.refuse(id),
            Decision::Wait(ticket, until, _) => {
                self.waiting[kind.service].insert(ticket, id);
                self.at(until.since(self.now), Event::Settle(kind.service));
            }
        }
        self.settle(kind.service);
    }

    fn run(&mut self, id: usize) {
        let Call { kind, deadline, .. } = self.calls[id];
        let work = Duration::from_millis(self.kinds[kind].work_ms);
        self.at(work, Event::Worked(id));
        if let Some(calls) = self.kinds[kind].calls.filter(|_| self.rng.random_bool(0.7)) {
            self.calls[id].pending += 2;
            (0..2).for_each(|_| self.begin(calls, Some(id), deadline));
        }
    }

    /// Ends the work or a call of a request that runs, and the request with the last of them.
    fn worked(&mut self, id: usize) {
        let call = &mut self.calls[id];
        call.pending -= 1;
        if call.pending > 0 {
            return;
        }
        let (kind, parent) = (call.kind, call.parent);
        let is_served = !call.has_failed && self.now <= call.deadline;
        self.tallies[kind].served += u32::from(is_served);
        let service = self.kinds[kind].service;
        let latency = Duration::from_millis(self.kinds[kind].work_ms);
        self.gates[service].exit(self.now, Outcome::Ok, latency);
        self.settle(service);
        if let Some(parent) = parent {
            self.worked(parent);
        }
    }

    fn refuse(&mut self, id: usize) {
        if let Some(parent) = self.calls[id].parent {
            let call = &mut self.calls[parent];
            let is_first = !std::mem::replace(&mut call.has_failed, true);
            let is_in_vain = is_first && self.now < call.deadline;
            self.tallies[call.kind].in_vain += u32::from(is_in_vain);
            return self.worked(parent);
        }
        let call = &mut self.calls[id];
        let can_return = self.now + RETURN < call.deadline;
        if can_return && !std::mem::replace(&mut call.has_returned, true) {
            self.at(RETURN, Event::Offer(id));
        }
    }

    fn settle(&mut self, service: usize) {
        loop {
            match self.gates[service].next(self.now) {
                Next::Run(ticket) => {
                    let id = self.waiting[service].remove(&ticket).expect("waits");
                    self.run(id);
                }
                Next::Refuse(ticket, _) => {
                    let id = self.waiting[service].remove(&ticket).expect("waits");
                    self.refuse(id);
                }
                Next::Idle => return,
            }
        }
    }
}

/// Plays seven seconds of a burst, the second after it, and ten seconds more.
fn play_burst(load: &mut Load, kind: usize, factor: f64) -> [[Tally; 5]; 3] {
    load.play(Duration::from_secs(5));
    load.rates[kind] *= factor;
    let burst = load.play(Duration::from_secs(7));
    load.rates = RATES;
    let after = load.play(Duration::from_secs(1));
    [burst, after, load.play(Duration::from_secs(10))]
}

/// Calls that compete with new requests: the burst fills the service that bookings call, and
/// bookings fail for want of their calls, some of them long after the burst.
#[test]
fn a_burst_of_the_kind_that_can_wait_fails_requests_whose_calls_rank_as_new() {
    let [burst, _, calm] = play_burst(&mut Load::new(false, 1), HISTORY, 2.0);
    assert!(burst[BOOK].in_vain * 5 > burst[BOOK].asked, "{burst:?}");
    assert!(calm[BOOK].in_vain > 0, "{calm:?}");
}

#[test]
fn a_burst_of_the_kind_that_can_wait_wastes_no_work_of_requests_that_run() {
    for seed in 0..10 {
        let [burst, after, calm] = play_burst(&mut Load::new(true, seed), HISTORY, 2.0);
        for tallies in [burst, after, calm] {
            let in_vain: u32 = tallies.iter().map(|tally| tally.in_vain).sum();
            assert_eq!(in_vain, 0, "seed {seed}: {tallies:?}");
        }
        for kind in BROWSE..=HISTORY {
            assert!(calm[kind].served_share() > 0.95, "seed {seed}: {calm:?}");
        }
        // The history is late, but not starved.
        assert!(
            burst[HISTORY].served_share() > 0.3,
            "seed {seed}: {burst:?}"
        );
    }
}

#[test]
fn a_burst_of_the_most_urgent_kind_is_served_before_less_urgent_ones_of_its_service() {
    for seed in 0..10 {
        let mut load = Load::new(true, seed);
        load.kinds[HISTORY].service = load.kinds[BROWSE].service;
        load.rates[HISTORY] = 5.0;
        let [burst, ..] = play_burst(&mut load, BROWSE, 1.5);
        let [urgent, can_wait] = [BROWSE, HISTORY].map(|kind| burst[kind].served_share());
        assert!(urgent >= can_wait, "seed {seed}: {burst:?}");
    }
}
