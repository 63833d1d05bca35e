//! Holders of the duty of handing in usage, in virtual time, against a platform that keeps one record
//! and checks tokens.

use std::collections::BTreeMap;
use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::config::position::Position;
use buckthorn::usage::Counts;
use buckthorn::usage::duty::{Keeper, Record, Reply, Request, Snapshot, Transition};
use buckthorn::usage::schedule::Schedule;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SCHEDULE: Schedule = Schedule {
    window: Duration::from_secs(5),
    late: Duration::from_secs(10),
};

const LEASE: Duration = Duration::from_secs(3);

const TICK: Duration = Duration::from_millis(100);

/// Time at which the tests begin, in the middle of a window.
const START: Time = Time::from_millis(1_000_002_500);

/// Platform with the record of the duty.
#[derive(Default)]
struct Platform {
    record: Option<Record>,
    end: u64,
    /// Highest token that was seen.
    token: u64,
    /// Accepted windows with their counts and the time of the first acceptance.
    accepted: BTreeMap<u64, (Counts, Time)>,
    /// Accepted calls with their time and holder.
    acts: Vec<(Time, String)>,
    /// Hosts of tokens.
    tokens: BTreeMap<u64, String>,
    is_store_away: bool,
    is_throttling: bool,
}

impl Platform {
    fn execute(&mut self, now: Time, request: Request) -> Reply {
        match request {
            Request::Read | Request::Write { .. } if self.is_store_away => Reply::Failed,
            Request::Read => Reply::Read(Snapshot {
                record: self.record.clone(),
                end: Position::new(0, self.end),
            }),
            Request::Write { at, .. } if at.offset != self.end => Reply::Conflict,
            Request::Write { record, .. } => {
                self.record = Some(record);
                self.end += 1;
                Reply::Written(Position::new(0, self.end))
            }
            Request::HandIn { .. } if self.is_throttling => Reply::Throttled,
            Request::HandIn {
                holder,
                token,
                window,
                counts,
            } => {
                let owner = self.tokens.entry(token).or_insert(holder.to_string());
                assert_eq!(**owner, *holder, "token {token} has two holders");
                if token < self.token {
                    return Reply::Fenced;
                }
                self.token = token;
                let (first, _) = self.accepted.entry(window).or_insert((counts.clone(), now));
                assert_eq!(
                    *first, counts,
                    "window {window} was handed in with two sums"
                );
                self.acts.push((now, holder.to_string()));
                Reply::Accepted
            }
        }
    }

    /// Checks that no holder acts again within a lease after another did.
    fn check_order(&self) {
        for (index, (at, holder)) in self.acts.iter().enumerate() {
            let others = self.acts[..index].iter().rev();
            let mut others = others.skip_while(|(_, other)| other == holder);
            let Some((_, other)) = others.next() else {
                continue;
            };
            let before = others.find(|(_, earlier)| earlier != other);
            if let Some((earlier, _)) = before.filter(|(_, earlier)| earlier == holder) {
                assert!(at.since(*earlier) >= LEASE, "{holder}, {other}, {holder}");
            }
        }
    }
}

/// Candidate with what it sees of the counts.
struct Node {
    keeper: Keeper,
    /// Part of the counts that it has heard of.
    share: u64,
    is_paused: bool,
    /// Request that it has decided on but not yet sent, because it was paused.
    unsent: Option<Request>,
}

impl Node {
    fn new(index: usize, incarnation: u64) -> Self {
        let host = format!("h{index}").into();
        Self {
            keeper: Keeper::new(host, incarnation, SCHEDULE, LEASE),
            share: index as u64,
            is_paused: false,
            unsent: None,
        }
    }

    fn decide(&mut self, now: Time, rank: usize) -> Option<Request> {
        let share = self.share;
        self.keeper.poll(now, rank, |window| {
            (vec![("north".into(), window % 100 + share)], true)
        })
    }

    fn step(&mut self, now: Time, rank: usize, platform: &mut Platform) -> Transition {
        if self.is_paused {
            return Transition::None;
        }
        let request = self.unsent.take().or_else(|| self.decide(now, rank));
        let Some(request) = request else {
            return Transition::None;
        };
        let reply = platform.execute(now, request);
        self.keeper.handle(now, reply)
    }
}

/// Runs nodes for a time; their order is their rank.
fn run(now: &mut Time, time: Duration, nodes: &mut [Node], platform: &mut Platform) {
    let end = *now + time;
    while *now < end {
        *now = *now + TICK;
        for (rank, node) in nodes.iter_mut().enumerate() {
            node.step(*now, rank, platform);
        }
    }
}

/// Windows that were due in a span of time and were not handed in before.
fn missed(platform: &Platform, from: Time, until: Time) -> Vec<u64> {
    let windows = SCHEDULE.first_open(from)..SCHEDULE.first_open(until);
    windows
        .filter(|window| {
            let accepted = platform.accepted.get(window);
            accepted.is_none_or(|(_, at)| *at > SCHEDULE.due(*window))
        })
        .collect()
}

/// Runs three nodes until the first holds the duty and has handed in some windows.
fn settled() -> (Time, Vec<Node>, Platform) {
    let (mut now, mut platform) = (START, Platform::default());
    let mut nodes: Vec<Node> = (0..3).map(|index| Node::new(index, 1)).collect();
    run(&mut now, SCHEDULE.window * 4, &mut nodes, &mut platform);
    assert_eq!(nodes[0].keeper.token(), Some(1));
    assert_eq!(platform.accepted.len(), 4);
    (now, nodes, platform)
}

/// Lets the holder write the counts of the next window, and returns its call that hands them in.
fn next_hand_in(now: &mut Time, holder: &mut Node, platform: &mut Platform) -> Request {
    loop {
        *now = *now + TICK;
        let Some(request) = holder.decide(*now, 0) else {
            continue;
        };
        if matches!(request, Request::HandIn { .. }) {
            return request;
        }
        let reply = platform.execute(*now, request);
        holder.keeper.handle(*now, reply);
    }
}

#[test]
fn one_node_hands_in_each_window_in_time() {
    let (mut now, mut nodes, mut platform) = settled();
    let from = now;
    run(&mut now, SCHEDULE.window * 20, &mut nodes, &mut platform);
    assert_eq!(missed(&platform, from, now), [0; 0]);
    assert_eq!(platform.tokens.len(), 1);
}

#[test]
fn the_next_holder_hands_in_what_one_that_was_killed_had_counted() {
    let (mut now, mut nodes, mut platform) = settled();
    let from = now;
    let request = next_hand_in(&mut now, &mut nodes[0], &mut platform);
    let Request::HandIn { window, counts, .. } = request else {
        panic!("{request:?}");
    };
    nodes.remove(0);
    run(&mut now, SCHEDULE.window * 10, &mut nodes, &mut platform);
    assert_eq!(platform.accepted[&window].0, counts);
    assert_eq!(missed(&platform, from, now), [0; 0]);
    assert_eq!(nodes[0].keeper.token(), Some(2));
}

#[test]
fn of_two_nodes_that_believe_that_they_hold_the_duty_the_older_one_stops() {
    let (mut now, mut nodes, mut platform) = settled();
    let from = now;
    let request = next_hand_in(&mut now, &mut nodes[0], &mut platform);
    nodes[0].unsent = Some(request);
    nodes[0].is_paused = true;
    run(&mut now, SCHEDULE.window * 4, &mut nodes, &mut platform);
    assert_eq!(nodes[0].keeper.token(), Some(1));
    assert_eq!(nodes[1].keeper.token(), Some(2));
    // The call of the old holder was on its way all the time.
    nodes[0].is_paused = false;
    let lost = nodes[0].step(now, 0, &mut platform);
    assert_eq!(lost, Transition::Lost(1));
    run(&mut now, SCHEDULE.window * 4, &mut nodes, &mut platform);
    assert_eq!(nodes[0].keeper.token(), None);
    assert_eq!(missed(&platform, from, now), [0; 0]);
    platform.check_order();
}

#[test]
fn a_holder_that_stalled_reads_its_record_before_it_acts() {
    let (mut now, mut nodes, mut platform) = settled();
    next_hand_in(&mut now, &mut nodes[0], &mut platform);
    nodes[0].keeper.handle(now, Reply::Failed);
    nodes[0].is_paused = true;
    run(&mut now, LEASE, &mut nodes, &mut platform);
    nodes[0].is_paused = false;
    assert_eq!(nodes[0].decide(now, 0), Some(Request::Read));
}

#[test]
fn windows_that_are_not_overdue_are_handed_in_after_the_store_was_away() {
    let (mut now, mut nodes, mut platform) = settled();
    platform.is_store_away = true;
    run(&mut now, SCHEDULE.window * 3, &mut nodes, &mut platform);
    platform.is_store_away = false;
    let back = now;
    run(&mut now, SCHEDULE.window * 6, &mut nodes, &mut platform);
    assert_eq!(
        missed(&platform, back + Duration::from_secs(1), now),
        [0; 0]
    );
    let late = platform.accepted.iter();
    let late = late.filter(|(window, (_, at))| *at > SCHEDULE.due(**window));
    assert_eq!(late.count(), 0);
    platform.check_order();
}

#[test]
fn a_platform_that_refuses_for_its_rate_is_called_again_later() {
    let (mut now, mut nodes, mut platform) = settled();
    let from = now;
    platform.is_throttling = true;
    run(&mut now, SCHEDULE.window, &mut nodes, &mut platform);
    platform.is_throttling = false;
    run(&mut now, SCHEDULE.window * 4, &mut nodes, &mut platform);
    assert_eq!(missed(&platform, from, now), [0; 0]);
}

#[test]
fn a_holder_whose_token_was_refused_hands_nothing_in_by_it_again() {
    let (mut now, mut nodes, mut platform) = settled();
    // The platform has seen a higher token, but the store still names this holder.
    platform.token = 2;
    let request = next_hand_in(&mut now, &mut nodes[0], &mut platform);
    let reply = platform.execute(now, request);
    assert_eq!(reply, Reply::Fenced);
    assert_eq!(nodes[0].keeper.handle(now, reply), Transition::Lost(1));
    for _ in 0..100 {
        now = now + TICK;
        match nodes[0].decide(now, 0) {
            Some(Request::HandIn { token, .. }) => assert!(token > 1, "handed in by token 1"),
            Some(request) => {
                let reply = platform.execute(now, request);
                nodes[0].keeper.handle(now, reply);
            }
            None => {}
        }
    }
    assert_eq!(nodes[0].keeper.token(), Some(2));
}

#[test]
fn a_store_that_comes_back_from_an_older_copy_gives_out_no_token_twice() {
    let end = Position::new(3, 8);
    let record = Record {
        token: 5,
        holder: "h9".into(),
        incarnation: 1,
        window: SCHEDULE.first_open(START),
        counts: Counts::new(),
        is_accepted: true,
        since: START,
    };
    let mut keeper = Keeper::new("h1".into(), 1, SCHEDULE, LEASE);
    let read = Reply::Read(Snapshot {
        record: Some(record),
        end,
    });
    let mut now = START;
    loop {
        now = now + TICK;
        match keeper.poll(now, 0, |_| (Counts::new(), true)) {
            None => {}
            Some(Request::Read) => {
                keeper.handle(now, read.clone());
            }
            Some(Request::Write { record, at }) => {
                assert_eq!((record.token, at), ((3 << 32) + 1, end));
                return;
            }
            Some(other) => panic!("{other:?}"),
        }
    }
}

/// Random kills, pauses, lost replies, calls that are executed late, and a store that is away.
#[test]
fn no_disorder_makes_two_sums_of_a_window_or_two_holders_of_a_token() {
    for seed in 0..100 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut now, mut platform) = (START, Platform::default());
        let mut nodes: Vec<Node> = (0..3).map(|index| Node::new(index, 1)).collect();
        let mut late: Vec<(Time, Request)> = Vec::new();
        for step in 0..3_000 {
            now = now + TICK;
            if rng.random_bool(0.004) {
                platform.is_store_away = !platform.is_store_away;
            }
            let (due, rest) = late.into_iter().partition(|(at, _)| *at <= now);
            late = rest;
            let due: Vec<(Time, Request)> = due;
            for (_, request) in due {
                platform.execute(now, request);
            }
            for (rank, node) in nodes.iter_mut().enumerate() {
                if rng.random_bool(0.003) {
                    *node = Node::new(rank, step + 2);
                }
                if rng.random_bool(0.01) {
                    node.is_paused = !node.is_paused;
                }
                if node.is_paused {
                    continue;
                }
                let Some(request) = node.unsent.take().or_else(|| node.decide(now, rank)) else {
                    continue;
                };
                match rng.random_range(0..20) {
                    0 => node.unsent = Some(request),
                    1 => {
                        let at = now + TICK * rng.random_range(0..60);
                        late.push((at, request));
                        node.keeper.handle(now, Reply::Failed);
                    }
                    2 => {
                        platform.execute(now, request);
                        node.keeper.handle(now, Reply::Failed);
                    }
                    _ => {
                        let reply = platform.execute(now, request);
                        node.keeper.handle(now, reply);
                    }
                }
            }
        }
        // In calm the duty is done again.
        platform.is_store_away = false;
        nodes.iter_mut().for_each(|node| node.is_paused = false);
        run(&mut now, SCHEDULE.late, &mut nodes, &mut platform);
        let calm = now;
        run(&mut now, SCHEDULE.window * 6, &mut nodes, &mut platform);
        assert_eq!(missed(&platform, calm, now), [0; 0], "seed {seed}");
    }
}
