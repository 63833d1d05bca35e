//! The kernel's thread: takes inputs, lets the kernel decide, and carries its actions out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use crossbeam::channel::{self, Receiver, Sender};
use slog::{Logger, info, warn};
use tokio::runtime;

use super::log::Follower;
use super::status::{self, Status};
use super::telemetry::Statsd;
use super::{OperatorChannel, Peer};
use crate::admin::registration::{Registration, Transition};
use crate::admin::{Announcement, Refusal};
use crate::admission::cold_rate::Tolerance;
use crate::admission::gate::Gate;
use crate::admission::semaphore::Semaphore;
use crate::clock::{Clock, Time};
use crate::counter::{Counter, Counters};
use crate::kernel::{Action, Event, Kernel, TICK_INTERVAL};
use crate::log::AppendOutcome;
use crate::log_event::LogEvent;
use crate::name::Name;
use crate::proxy::owner::Owner;
use crate::rollout::evidence::Recorder;
use crate::routing::load::Registry;
use crate::routing::table::Table;
use crate::rpc;
use crate::rpc::message::{Envelope, Message};

/// Interval at which evidence is handed to the kernel.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which counters are sent to statsd.
const STATSD_INTERVAL: Duration = Duration::from_secs(10);

/// Exchanges with peers under way at once.
const MAX_EXCHANGES: usize = 256;

/// Something for the kernel's thread.
#[derive(Debug)]
pub(super) enum Input {
    /// An event for the kernel.
    Event(Event),
    /// The own backend server announced itself.
    Announced {
        /// What it said.
        announcement: Announcement,
        /// Where the answer goes.
        reply: Sender<Result<(), Refusal>>,
    },
    /// The own backend server is leaving.
    Left,
    /// An instance of the backend server leaves.
    Departed {
        /// Instance.
        instance: Name,
        /// Told once it is taken.
        reply: Sender<()>,
    },
    /// Someone asks for the status.
    Inspect(Sender<Status>),
    /// The thread is to end.
    Stop,
}

/// What the driver shares with the path of a call.
#[derive(Clone, Debug)]
pub(super) struct Path {
    /// Routing table in force.
    pub(super) table: Arc<ArcSwap<Table>>,
    /// Owner of the backend server announced here.
    pub(super) owner: Arc<ArcSwapOption<Owner>>,
    /// Counters.
    pub(super) counters: Arc<Counters>,
    /// Clock.
    pub(super) clock: Clock,
    /// Nodes known to be alive, this one included.
    pub(super) peers: Arc<ArcSwap<Vec<Peer>>>,
}

/// Edges through which actions are carried out.
pub(super) struct Resources {
    /// Threads of the log.
    pub(super) follower: Option<Follower>,
    /// Where decisions are published, if they are.
    pub(super) operator_channel: Option<Arc<dyn OperatorChannel>>,
    /// Load of backend servers and retry budgets.
    pub(super) loads: Registry,
    /// How far cold backend servers may be loaded.
    pub(super) cold_tolerance: Tolerance,
    /// Client of the control protocol.
    pub(super) client: Arc<rpc::client::Client>,
    /// Runtime on which exchanges run.
    pub(super) runtime: runtime::Handle,
    /// Metrics, if wanted.
    pub(super) statsd: Option<Statsd>,
    /// Log of decisions.
    pub(super) logger: Logger,
}

/// Carries out what the kernel decides.
pub(super) struct Driver {
    /// Decision core.
    kernel: Kernel,
    /// What the path of a call reads.
    path: Path,
    /// Edges.
    resources: Resources,
    /// Where exchanges report.
    inputs: Sender<Input>,
    /// Exchanges under way.
    exchanges: Arc<AtomicUsize>,
    /// Backend server of this host.
    registration: Registration,
    /// When evidence was last handed over.
    evidence_at: Time,
    /// When metrics were last sent.
    statsd_at: Time,
    /// Messages of the answer being put together.
    reply: Vec<Message>,
}

impl Driver {
    /// Driver of a kernel.
    pub(super) fn new(
        kernel: Kernel,
        path: Path,
        resources: Resources,
        inputs: Sender<Input>,
    ) -> Self {
        Self {
            kernel,
            path,
            resources,
            inputs,
            exchanges: Arc::default(),
            registration: Registration::new(),
            evidence_at: Time::default(),
            statsd_at: Time::default(),
            reply: Vec::new(),
        }
    }

    /// Runs until told to stop.
    pub(super) fn run(
        mut self,
        inputs: &Receiver<Input>,
        inbound: &Receiver<rpc::server::Inbound>,
    ) {
        let ticker = channel::tick(TICK_INTERVAL);
        let mut ticked = Instant::now();
        loop {
            crossbeam::select! {
                recv(inputs) -> input => match input {
                    Ok(Input::Stop) | Err(_) => return,
                    Ok(input) => self.take(input),
                },
                recv(inbound) -> inbound => match inbound {
                    Ok(inbound) => self.answer(inbound),
                    Err(_) => return,
                },
                recv(ticker) -> _ => {}
            }
            // A flood of messages must not keep the ticks away.
            if ticked.elapsed() >= TICK_INTERVAL {
                ticked = Instant::now();
                self.tick();
            }
        }
    }

    /// Takes one input.
    fn take(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.handle(&event),
            Input::Announced {
                announcement,
                reply,
            } => {
                let result = self.announce(announcement);
                // Whoever announced may have gone.
                let _ = reply.try_send(result);
            }
            Input::Left => self.leave(),
            Input::Departed { instance, reply } => {
                let current = self.registration.current();
                if current.is_some_and(|last| last.instance.as_ref() == Some(&instance)) {
                    self.leave();
                }
                // Whoever told may have gone.
                let _ = reply.try_send(());
            }
            Input::Inspect(reply) => {
                let now = self.path.clock.now();
                let status = status::of(self.kernel.shared(), &self.path.table.load(), now);
                // Whoever asked may have gone.
                let _ = reply.try_send(status);
            }
            Input::Stop => {}
        }
    }

    /// Answers a peer.
    fn answer(&mut self, inbound: rpc::server::Inbound) {
        let Envelope { from, messages } = inbound.envelope;
        self.reply.clear();
        self.handle(&Event::Received { from, messages });
        // The peer may have given up waiting.
        let _ = inbound.reply.send(std::mem::take(&mut self.reply));
    }

    /// Does what is due by the clock.
    fn tick(&mut self) {
        let now = self.path.clock.now();
        self.check_registration(now);
        if now.since(self.evidence_at) >= EVIDENCE_INTERVAL {
            self.evidence_at = now;
            self.observe();
        }
        if now.since(self.statsd_at) >= STATSD_INTERVAL {
            self.statsd_at = now;
            if let Some(statsd) = &mut self.resources.statsd {
                statsd.flush();
            }
        }
        self.handle(&Event::Tick);
    }

    /// Hands what the owner counted to the kernel.
    fn observe(&mut self) {
        let Some(owner) = self.path.owner.load_full() else {
            return;
        };
        let identity = &self.kernel.shared().identity;
        let report = owner.recorder.report(
            &identity.host,
            identity.incarnation,
            &owner.service,
            &owner.version,
        );
        self.handle(&Event::EvidenceCollected(report));
    }

    /// Lets the kernel react and carries out what it decides.
    fn handle(&mut self, event: &Event) {
        let now = self.path.clock.now();
        let mut is_stale = false;
        for action in self.kernel.handle(now, event) {
            match action {
                Action::Reply(messages) => self.reply.extend(messages),
                Action::Send {
                    host,
                    address,
                    messages,
                } => self.send(host, address, messages),
                Action::Read { stream, from, wait } => {
                    if let Some(follower) = &self.resources.follower {
                        follower.read(stream, from, wait);
                    }
                }
                Action::Append {
                    stream,
                    id,
                    payload,
                } => self.append(stream, id, payload),
                Action::RebuildTable => is_stale = true,
                Action::ReadOrders(reading) => {
                    if let Some(operator_channel) = &self.resources.operator_channel {
                        operator_channel.read_orders(reading);
                    }
                }
                Action::ReadDecisions => {
                    if let Some(operator_channel) = &self.resources.operator_channel {
                        operator_channel.read_decisions();
                    }
                }
                Action::Publish(decision) => match &self.resources.operator_channel {
                    Some(operator_channel) => operator_channel.publish(&decision),
                    None => warn!(self.resources.logger, "decision dropped: no outlet"),
                },
                Action::Log(note) => info!(self.resources.logger, "{}", note.event.name();
                    "subject" => note.subject, "detail" => note.detail),
            }
        }
        if is_stale {
            self.rebuild();
        }
    }

    /// Builds the routing table anew and swaps it in.
    fn rebuild(&mut self) {
        let shared = self.kernel.shared();
        if !shared.is_synced {
            return;
        }
        let peers: Vec<Peer> = shared.view.live().map(Peer::of).collect();
        self.resources.loads.share_slack(peers.len());
        self.path.peers.store(Arc::new(peers));
        let table = if shared.orders.policy().is_some() {
            Table::from_orders(
                &shared.orders,
                &shared.view,
                &mut self.resources.loads,
                &shared.identity.failure_domain,
                &shared.identity.region,
            )
        } else {
            Table::build(
                shared.tail.state(),
                &shared.view,
                &shared.quarantine,
                &mut self.resources.loads,
                &shared.identity.failure_domain,
                &shared.identity.region,
            )
        };
        let in_force = self.path.table.load().version;
        assert!(
            table.version >= in_force,
            "invariant: the routing table never goes back"
        );
        if table.version > in_force {
            info!(self.resources.logger, "{}", LogEvent::ConfigApplied.name(); "version" => table.version);
        }
        self.path.table.store(Arc::new(table));
        if let Some(owner) = self.path.owner.load_full() {
            owner
                .cold_limiter
                .set_max_calls(self.cold_calls(&owner.service));
        }
    }

    /// Sends messages to a peer and reports what comes of it.
    fn send(&self, host: Name, address: SocketAddr, messages: Vec<Message>) {
        let counters = self.path.counters.clone();
        let inputs = self.inputs.clone();
        if self.exchanges.load(Ordering::Relaxed) >= MAX_EXCHANGES {
            counters.increment(Counter::PeersUnreachable);
            return;
        }
        self.exchanges.fetch_add(1, Ordering::Relaxed);
        counters.add(Counter::MessagesSent, messages.len() as u64);
        let exchanges = self.exchanges.clone();
        let client = self.resources.client.clone();
        let from = self.kernel.shared().identity.host.clone();
        self.resources.runtime.spawn(async move {
            let event = match client.exchange(address, &Envelope { from, messages }).await {
                Ok(Envelope { from, messages }) => Event::Replied { from, messages },
                Err(_) => {
                    counters.increment(Counter::PeersUnreachable);
                    Event::Unreachable { address, host }
                }
            };
            exchanges.fetch_sub(1, Ordering::Relaxed);
            // The kernel's thread ends first at shutdown.
            let _ = inputs.try_send(Input::Event(event));
        });
    }

    /// Starts an append; one that finds no room is reported as refused.
    fn append(&mut self, stream: &'static str, id: Name, payload: String) {
        let follower = self.resources.follower.as_ref();
        if follower.is_some_and(|log| log.append(stream, id.clone(), payload)) {
            return;
        }
        let result = AppendOutcome::Refused {
            reason: "too many appends under way".into(),
        };
        let _ = self
            .inputs
            .try_send(Input::Event(Event::Appended { id, result }));
    }

    /// Takes an announcement of the own backend server.
    fn announce(&mut self, announcement: Announcement) -> Result<(), Refusal> {
        let now = self.path.clock.now();
        match self.registration.announce(&announcement, now)? {
            Transition::Open => {}
            Transition::Refreshed => {
                self.warm(&announcement, now);
                return Ok(());
            }
            Transition::Drain => {
                self.tell_drain();
                return Ok(());
            }
            _ => return Ok(()),
        }
        info!(self.resources.logger, "{}", LogEvent::BackendAnnounced.name();
            "instance" => announcement.instance.as_deref().unwrap_or(""),
            "service" => %announcement.service, "version" => %announcement.version);
        let server = announcement.backend_server(false);
        let last = announcement.clone();
        let (clock, counters) = (self.path.clock.clone(), self.path.counters.clone());
        let policy = self.kernel.shared().orders.policy();
        let service = policy.and_then(|policy| policy.service(&announcement.service));
        let most_connections = service.map_or(u32::MAX, |service| service.connections);
        let door = match announcement.heartbeat {
            // Its slots are exact: the contract says what happens beyond them.
            Some(_) => Semaphore::with_gate(clock, counters, Gate::fixed(announcement.slots, now)),
            None => Semaphore::new(clock, counters, announcement.slots),
        };
        if let Some(old) = self.path.owner.load_full() {
            old.semaphore.close();
        }
        let owner = Owner::new(
            announcement.service,
            announcement.version,
            announcement.address,
            announcement.slots,
            announcement.connections.min(most_connections),
            door,
            Arc::new(Recorder::new()),
        )
        .with_instance(last.instance.clone(), self.cold_calls(&last.service));
        self.path.owner.store(Some(Arc::new(owner)));
        self.warm(&last, now);
        self.handle(&Event::Announced(Some(server)));
        Ok(())
    }

    /// Starts the drain of the own backend server.
    fn leave(&mut self) {
        let now = self.path.clock.now();
        if self.registration.leave(now) == Transition::Drain {
            self.tell_drain();
        }
    }

    /// Takes over how long the backend server stays cold.
    fn warm(&self, announcement: &Announcement, now: Time) {
        if let (Some(owner), Some(heartbeat)) =
            (self.path.owner.load_full(), announcement.heartbeat)
        {
            owner
                .cold_limiter
                .set_cold_for(now, heartbeat.cold_remaining);
        }
    }

    /// Calls that a cold backend server of a service may get within a second.
    fn cold_calls(&self, service: &str) -> Option<usize> {
        let policy = self.kernel.shared().orders.policy()?;
        let rate = policy.service(service)?.cold_rate?;
        Some(self.resources.cold_tolerance.max_calls(rate))
    }

    /// Tells the peers that the backend server drains.
    fn tell_drain(&mut self) {
        let Some(last) = self.registration.current() else {
            return;
        };
        info!(self.resources.logger, "{}", LogEvent::BackendLeaves.name(); "service" => %last.service);
        let server = last.backend_server(true);
        self.handle(&Event::Announced(Some(server)));
    }

    /// Expires a silent backend server and ends a drain.
    fn check_registration(&mut self, now: Time) {
        let running = self
            .path
            .owner
            .load()
            .as_ref()
            .map_or(0, |owner| owner.semaphore.running());
        match self.registration.poll(now, running as usize) {
            Transition::Unchanged
            | Transition::Refreshed
            | Transition::Open
            | Transition::Drain => {}
            Transition::Close => {
                if let Some(owner) = self.path.owner.load_full() {
                    owner.semaphore.close();
                }
            }
            Transition::Removed => self.forget(),
            Transition::Expired => {
                warn!(self.resources.logger, "{}", LogEvent::BackendExpired.name();
                    "service" => self.path.owner.load().as_ref().map(|owner| owner.service.to_string()));
                self.path.counters.increment(Counter::AnnouncementsExpired);
                self.forget();
            }
        }
    }

    /// Forgets the own backend server.
    fn forget(&mut self) {
        if let Some(owner) = self.path.owner.swap(None) {
            owner.semaphore.close();
        }
        self.handle(&Event::Announced(None));
    }
}
