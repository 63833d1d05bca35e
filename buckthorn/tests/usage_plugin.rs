//! Complete sums of usage, in virtual time, while nodes come and go and the store turns some away.

mod kernel_support;

use std::collections::BTreeMap;
use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::config::position::Position;
use buckthorn::kernel::{Action, Context, Event, Kernel, Plugin};
use buckthorn::membership::member::{Member, Status};
use buckthorn::name;
use buckthorn::rpc::message::Message;
use buckthorn::usage::duty::{Record, Reply, Request, Snapshot};
use buckthorn::usage::meter::{self, Meter};
use buckthorn::usage::plugin;
use buckthorn::usage::schedule::Schedule;
use kernel_support::{kernel, member};

const SCHEDULE: Schedule = Schedule {
    window: Duration::from_secs(5),
    late: Duration::from_secs(10),
};

const DOMAINS: [&str; 3] = ["za", "zb", "zc"];

const LEASE: Duration = Duration::from_secs(3);

const TICK: Duration = Duration::from_millis(100);

/// Time for which a node that stops still serves and reports.
const DRAIN: Duration = Duration::from_millis(1_500);

/// Time after which the other nodes know that one has left.
const NOTICE: Duration = Duration::from_secs(1);

/// Part of a window's requests by which its sum may be off.
const TOLERANCE: f64 = 0.05;

/// Merges the members that a message brings, and marks the node as synchronized and as stopping.
struct Views;

impl Plugin for Views {
    fn name(&self) -> &'static str {
        "views"
    }

    fn handle(&mut self, cx: &mut Context<'_>, event: &Event) {
        cx.shared.is_synced = true;
        match event {
            Event::Shutdown => cx.shared.is_stopping = true,
            Event::Received { messages, .. } => {
                for message in messages {
                    if let Message::Members(members) = message {
                        for member in members {
                            cx.shared.view.merge(member, cx.now);
                        }
                    }
                }
            }
            _ => {}
        }
    }
}

/// Running process of a node.
struct Process {
    kernel: Kernel,
    meter: Meter,
    stopping_at: Option<Time>,
}

struct Mesh {
    members: Vec<Member>,
    processes: Vec<Option<Process>>,
    /// Whether the store turns a node away.
    is_refused: Vec<bool>,
    record: Option<Record>,
    end: u64,
    /// Sums that were handed in.
    accepted: BTreeMap<u64, u64>,
    /// Requests that began to run.
    began: BTreeMap<u64, u64>,
    now: Time,
}

impl Mesh {
    fn new(count: usize) -> Self {
        let members: Vec<Member> = (0..count)
            .map(|index| member(index, DOMAINS[index % DOMAINS.len()]))
            .collect();
        let mut mesh = Self {
            processes: members.iter().map(|_| None).collect(),
            is_refused: vec![false; count],
            record: None,
            end: 0,
            accepted: BTreeMap::new(),
            began: BTreeMap::new(),
            now: Time::from_millis(1_000_002_500),
            members,
        };
        (0..count).for_each(|node| mesh.start(node));
        mesh.run(SCHEDULE.window * 2);
        mesh
    }

    /// Starts a node, which all others know at once.
    fn start(&mut self, node: usize) {
        self.members[node].incarnation += 1;
        self.members[node].status = Status::Alive;
        let (meter, changes) = meter::channel(SCHEDULE);
        let (local, all) = (&self.members[node], &self.members);
        let kernel = kernel(local, all, 1, self.now, |registry| {
            registry.add(Views);
            plugin::register(registry, SCHEDULE, LEASE, changes);
        });
        self.processes[node] = Some(Process {
            kernel,
            meter,
            stopping_at: None,
        });
        self.announce(node);
    }

    /// Tells all nodes of the state of a member.
    fn announce(&mut self, node: usize) {
        let messages = vec![Message::Members(vec![self.members[node].clone()])];
        let from = self.members[node].host.clone();
        for other in 0..self.members.len() {
            let (from, messages) = (from.clone(), messages.clone());
            self.deliver(other, &Event::Received { from, messages });
        }
    }

    /// Passes an event to a node that runs, carries out what follows, and returns its replies.
    fn deliver(&mut self, node: usize, event: &Event) -> Option<Vec<Message>> {
        let actions = self.processes[node]
            .as_mut()?
            .kernel
            .handle(self.now, event);
        let mut replies = Vec::new();
        for action in actions {
            match action {
                Action::Reply(messages) => replies.extend(messages),
                Action::Send {
                    host,
                    address,
                    messages,
                } => {
                    let to = self.members.iter().position(|m| m.host == host).unwrap();
                    let from = self.members[node].host.clone();
                    let event = match self.deliver(to, &Event::Received { from, messages }) {
                        Some(messages) => Event::Replied {
                            from: host,
                            messages,
                        },
                        None => Event::Unreachable { address, host },
                    };
                    self.deliver(node, &event);
                }
                Action::Duty(request) => {
                    let reply = self.execute(node, request);
                    self.deliver(node, &Event::Duty(reply));
                }
                _ => {}
            }
        }
        Some(replies)
    }

    fn execute(&mut self, node: usize, request: Request) -> Reply {
        match request {
            Request::Read | Request::Write { .. } if self.is_refused[node] => Reply::Failed,
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
            Request::HandIn { window, counts, .. } => {
                let sum = counts.iter().map(|(_, count)| count).sum();
                let first = *self.accepted.entry(window).or_insert(sum);
                assert_eq!(first, sum, "window {window} was handed in with two sums");
                Reply::Accepted
            }
        }
    }

    /// Runs all nodes for a time; each begins a request in each tick unless it is about to end.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TICK;
            for node in 0..self.members.len() {
                let Some(process) = &self.processes[node] else {
                    continue;
                };
                let stopping = process.stopping_at.map(|at| self.now.since(at));
                if stopping.is_none_or(|time| time < DRAIN / 2) {
                    process.meter.begin("north", self.now).unwrap();
                    *self.began.entry(SCHEDULE.window_at(self.now)).or_default() += 1;
                }
                self.deliver(node, &Event::Tick);
                match stopping {
                    Some(NOTICE) => self.announce(node),
                    Some(DRAIN) => self.processes[node] = None,
                    _ => {}
                }
            }
        }
    }

    /// Stops a node, which the others know after a delay.
    fn stop(&mut self, node: usize) {
        self.members[node].status = Status::Left;
        self.processes[node].as_mut().unwrap().stopping_at = Some(self.now);
        self.deliver(node, &Event::Shutdown);
    }

    /// Preferred candidate of each failure domain.
    fn candidates(&self) -> Vec<usize> {
        let weight = |node: &usize| name::rendezvous("usage.candidate", &self.members[*node].host);
        let domains = 0..DOMAINS.len();
        let nodes = domains.map(|d| (d..self.members.len()).step_by(DOMAINS.len()));
        nodes
            .map(|nodes| nodes.max_by_key(weight).unwrap())
            .collect()
    }

    /// Checks the sum of each window that ended since a time and is due.
    fn check_since(&self, from: Time) {
        for window in SCHEDULE.window_at(from)..SCHEDULE.first_open(self.now) {
            let (truth, sum) = (self.began[&window] as f64, self.accepted.get(&window));
            let is_right = sum.is_some_and(|sum| (*sum as f64 - truth).abs() <= truth * TOLERANCE);
            assert!(is_right, "window {window}: {sum:?} of {truth}");
        }
    }
}

#[test]
fn candidates_show_who_holds_the_duty_and_the_last_window() {
    let mesh = Mesh::new(6);
    let record = mesh.record.as_ref().unwrap();
    for node in mesh.candidates() {
        let kernel = &mesh.processes[node].as_ref().unwrap().kernel;
        let duty = kernel.shared().duty.as_ref().unwrap();
        assert_eq!((&duty.holder, duty.token), (&record.holder, record.token));
        assert_eq!((duty.window, duty.is_accepted), (record.window, true));
        assert_eq!(duty.since, record.since);
        assert!(duty.since > Time::default() && mesh.now.since(duty.read_at) <= SCHEDULE.window);
    }
}

#[test]
fn counts_of_nodes_that_stop_in_turn_reach_the_candidates_that_are_chosen_afterwards() {
    let mut mesh = Mesh::new(12);
    let from = mesh.now;
    for node in 0..10 {
        mesh.stop(node);
        mesh.run(Duration::from_millis(1_600));
        mesh.start(node);
    }
    mesh.run(SCHEDULE.late + SCHEDULE.window);
    mesh.check_since(from);
}

#[test]
fn another_node_hands_in_while_the_store_turns_the_candidates_away_and_one_is_dead() {
    let mut mesh = Mesh::new(12);
    let from = mesh.now;
    let candidates = mesh.candidates();
    mesh.is_refused[candidates[0]] = true;
    mesh.is_refused[candidates[1]] = true;
    mesh.processes[candidates[2]] = None;
    mesh.run(SCHEDULE.window * 3);
    mesh.is_refused.fill(false);
    mesh.run(SCHEDULE.late + SCHEDULE.window);
    mesh.check_since(from);
}
