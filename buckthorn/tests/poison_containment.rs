//! Distribution of poison requests between nodes, in virtual time.

mod kernel_support;

use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::kernel::Action;
use buckthorn::kernel::{Event, Kernel, TICK_INTERVAL};
use buckthorn::membership::member::Member;
use buckthorn::membership::plugin as membership;
use buckthorn::name::Name;
use buckthorn::poison::blocklist::Level;
use buckthorn::poison::containment;
use buckthorn::poison::crash::Crash;
use buckthorn::poison::fingerprint::{Fingerprint, Suspect};
use buckthorn::rpc::message::Message;

const START: Time = Time::from_secs(1_000);
const NODES: usize = 24;
const POISON: Fingerprint = Fingerprint(77);

struct Mesh {
    now: Time,
    members: Vec<Member>,
    kernels: Vec<Kernel>,
    /// Nodes that get no messages and send none.
    cut: Vec<usize>,
    messages: u64,
}

fn member(index: usize) -> Member {
    kernel_support::member(index, ["a", "b", "c"][index % 3])
}

fn start(index: usize, members: &[Member], now: Time) -> Kernel {
    kernel_support::kernel(&members[index], members, index as u64, now, |registry| {
        membership::register_seeded(registry);
        containment::register(registry);
    })
}

impl Mesh {
    fn new() -> Self {
        let members: Vec<Member> = (0..NODES).map(member).collect();
        let kernels = (0..NODES).map(|index| start(index, &members, START));
        Self {
            now: START,
            kernels: kernels.collect(),
            members,
            cut: Vec::new(),
            messages: 0,
        }
    }

    fn handle(&mut self, index: usize, event: &Event) -> Vec<Message> {
        let mut reply = Vec::new();
        for action in self.kernels[index].handle(self.now, event) {
            match action {
                Action::Send {
                    host,
                    address,
                    messages,
                } => self.send(index, (host, address), messages),
                Action::Reply(messages) => reply.extend(messages),
                _ => {}
            }
        }
        reply
    }

    fn send(&mut self, from: usize, to: (Name, std::net::SocketAddr), messages: Vec<Message>) {
        let (host, address) = to;
        let Some(to) = self.members.iter().position(|m| m.rpc == address) else {
            return;
        };
        if self.cut.contains(&from) || self.cut.contains(&to) {
            self.handle(from, &Event::Unreachable { address, host });
            return;
        }
        self.messages += 1;
        let sender = self.members[from].host.clone();
        let received = Event::Received {
            from: sender,
            messages,
        };
        let messages = self.handle(to, &received);
        let from_host = self.members[to].host.clone();
        let replied = Event::Replied {
            from: from_host,
            messages,
        };
        self.handle(from, &replied);
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK_INTERVAL;
            for index in 0..NODES {
                self.handle(index, &Event::Tick);
            }
        }
    }

    /// Crashes the backend server of a node under a poison request and other ones.
    fn crash(&mut self, index: usize, call: u64) {
        let others = (0..8).map(|n| (Fingerprint(call * 100 + n), call * 100 + n));
        let suspects = others.chain([(POISON, call)]);
        let crash = Crash {
            id: call,
            lost: 9,
            suspects: suspects
                .map(|(fingerprint, call)| Suspect { fingerprint, call })
                .collect(),
        };
        self.handle(index, &Event::BackendCrashed(crash));
    }

    /// Nodes that refuse the poison request.
    fn blocking(&self) -> usize {
        let level = |kernel: &Kernel| kernel.shared().blocklist.level(POISON, self.now);
        let kernels = self.kernels.iter();
        kernels.filter(|k| level(k) == Some(Level::Blocked)).count()
    }
}

#[test]
fn all_nodes_refuse_a_request_as_soon_as_it_has_crashed_three_servers() {
    let mut mesh = Mesh::new();
    mesh.crash(3, 1);
    mesh.crash(11, 2);
    assert_eq!(mesh.blocking(), 0);
    mesh.crash(20, 3);
    assert_eq!(mesh.blocking(), NODES);
    // Nothing else is refused.
    let lists = mesh.kernels.iter().map(|k| &k.shared().blocklist);
    assert!(
        lists
            .into_iter()
            .all(|list| list.notices(mesh.now).len() == 1)
    );
}

#[test]
fn a_node_that_was_cut_off_or_has_just_started_gets_the_list() {
    let mut mesh = Mesh::new();
    mesh.cut = vec![5];
    for call in 1..4 {
        mesh.crash(call as usize, call);
    }
    assert_eq!(mesh.blocking(), NODES - 1);
    mesh.cut.clear();
    mesh.kernels[9] = start(9, &mesh.members, mesh.now);
    assert_eq!(mesh.blocking(), NODES - 2);
    mesh.run(Duration::from_secs(3));
    assert_eq!(mesh.blocking(), NODES);
}

/// Both collectors are in the part of the mesh that is cut off, so that the others choose new ones.
#[test]
fn crashes_count_in_each_part_of_a_mesh_that_is_cut() {
    let mut mesh = Mesh::new();
    mesh.cut = (0..NODES).filter(|index| index % 3 == 0).collect();
    mesh.run(Duration::from_secs(20));
    for call in 1..4 {
        mesh.crash(3 * call as usize + 1, call);
    }
    assert_eq!(mesh.blocking(), NODES - mesh.cut.len());
}

#[test]
fn lists_that_agree_are_not_sent_again() {
    let mut mesh = Mesh::new();
    for call in 1..4 {
        mesh.crash(call as usize, call);
    }
    mesh.run(Duration::from_secs(5));
    let digests: Vec<u64> = mesh
        .kernels
        .iter()
        .map(|k| k.shared().blocklist.digest())
        .collect();
    assert!(
        digests
            .iter()
            .all(|digest| *digest == digests[0] && *digest != 0)
    );
    let quiet = Mesh::new();
    let mut quiet = quiet;
    quiet.run(Duration::from_secs(5));
    let before = mesh.messages;
    mesh.run(Duration::from_secs(5));
    let quiet_before = quiet.messages;
    quiet.run(Duration::from_secs(5));
    let (sent, usual) = (mesh.messages - before, quiet.messages - quiet_before);
    assert!(
        sent <= usual + usual / 10,
        "{sent} messages, usual are {usual}"
    );
}
