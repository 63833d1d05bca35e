//! Kernel thread: receives inputs, passes them to the kernel, and performs the kernel's actions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use crossbeam::channel::{self, Receiver, Sender};
use slog::{Logger, info, warn};
use tokio::runtime;

pub(super) use super::input::Input;
use super::log::LogWorkers;
use super::past::Past;
use super::status;
use super::telemetry::Statsd;
use super::{DutyChannel, OperatorChannel, Peer};
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
use crate::poison::blocklist::Blocklist;
use crate::poison::crash::Crash;
use crate::proxy::owner::Owner;
use crate::rollout::evidence::Recorder;
use crate::routing::load::Registry;
use crate::routing::table::Table;
use crate::rpc;
use crate::rpc::message::{Envelope, Message};
use crate::tenant::confirmation::Confirmation;

/// Interval at which the owner's evidence is passed to the kernel.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which counters are sent to statsd.
const STATSD_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum number of concurrent exchanges with peers; messages beyond it are dropped and counted as
/// [`Counter::PeersUnreachable`].
const MAX_EXCHANGES: usize = 256;

/// State that the kernel thread shares with the data path.
#[derive(Clone, Debug)]
pub(super) struct DataPath {
    /// Routing table in force.
    pub(super) table: Arc<ArcSwap<Table>>,
    /// Owner of the local backend server; absent when none is registered.
    pub(super) owner: Arc<ArcSwapOption<Owner>>,
    /// Counters of the node.
    pub(super) counters: Arc<Counters>,
    /// Clock of the node.
    pub(super) clock: Clock,
    /// Nodes known to be alive, including this one.
    pub(super) peers: Arc<ArcSwap<Vec<Peer>>>,
    /// Poison requests, which are not sent to backend servers.
    pub(super) blocklist: Arc<ArcSwap<Blocklist>>,
    /// Era of the operators' topic.
    pub(super) log_era: Arc<AtomicU16>,
    /// Confirmation of the policy, which keys of callers need.
    pub(super) confirmation: Arc<Confirmation>,
}

/// Clients, threads and registries that the driver uses to perform actions.
pub(super) struct Resources {
    /// Threads that read and append to the log; absent on a node with a platform adapter.
    pub(super) log_workers: Option<LogWorkers>,
    /// Channel to the operators' records; present only on a node with a platform adapter.
    pub(super) operator_channel: Option<Arc<dyn OperatorChannel>>,
    /// Channel for the duty of handing in usage, on a node that counts it.
    pub(super) duty_channel: Option<Arc<dyn DutyChannel>>,
    /// Loads of backend servers and retry budgets of services.
    pub(super) loads: Registry,
    /// Allowed calls to cold backend servers beyond their rate.
    pub(super) cold_tolerance: Tolerance,
    /// Client of the control protocol.
    pub(super) client: Arc<rpc::client::Client>,
    /// Runtime on which exchanges run.
    pub(super) runtime: runtime::Handle,
    /// Statsd client, if configured.
    pub(super) statsd: Option<Statsd>,
    /// Logger of the node.
    pub(super) logger: Logger,
}

/// Runs the kernel and performs its actions.
pub(super) struct Driver {
    /// Kernel, which makes the decisions.
    kernel: Kernel,
    /// State shared with the data path.
    data_path: DataPath,
    /// Resources for performing actions.
    resources: Resources,
    /// Input queue, to which exchanges and failed appends report.
    inputs: Sender<Input>,
    /// Number of exchanges in progress.
    exchanges: Arc<AtomicUsize>,
    /// Registration of the local backend server.
    registration: Registration,
    /// What may be assumed of the time before the current owner.
    past: Past,
    /// When evidence was last passed to the kernel.
    evidence_sent_at: Time,
    /// When counters were last sent to statsd.
    statsd_flushed_at: Time,
    /// Messages of the reply to the current envelope.
    reply: Vec<Message>,
}

impl Driver {
    /// Creates a driver for a kernel.
    pub(super) fn new(
        kernel: Kernel,
        data_path: DataPath,
        resources: Resources,
        inputs: Sender<Input>,
    ) -> Self {
        let is_kept = resources.operator_channel.is_some();
        Self {
            past: Past::new(data_path.clock.now(), is_kept),
            kernel,
            data_path,
            resources,
            inputs,
            exchanges: Arc::default(),
            registration: Registration::new(),
            evidence_sent_at: Time::default(),
            statsd_flushed_at: Time::default(),
            reply: Vec::new(),
        }
    }

    /// Runs until [`Input::Stop`] or until a queue is closed.
    pub(super) fn run(
        mut self,
        inputs: &Receiver<Input>,
        inbound: &Receiver<rpc::server::Inbound>,
        crashes: &Receiver<Crash>,
    ) {
        let ticker = channel::tick(TICK_INTERVAL);
        let mut ticked = Instant::now();
        loop {
            crossbeam::select! {
                recv(inputs) -> input => match input {
                    Ok(Input::Stop) | Err(_) => return,
                    Ok(input) => self.handle_input(input),
                },
                recv(inbound) -> inbound => match inbound {
                    Ok(inbound) => self.handle_inbound(inbound),
                    Err(_) => return,
                },
                recv(crashes) -> crash => match crash {
                    Ok(crash) => self.handle(&Event::BackendCrashed(crash)),
                    Err(_) => return,
                },
                recv(ticker) -> _ => {}
            }
            // The time is checked after every input, so that a flood of messages cannot delay
            // ticks.
            if ticked.elapsed() >= TICK_INTERVAL {
                ticked = Instant::now();
                self.tick();
            }
        }
    }

    /// Handles one input.
    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => {
                self.handle(&event);
                if matches!(event, Event::DepartureRead(_)) {
                    self.past.set_known();
                }
            }
            Input::Announce {
                announcement,
                reply,
            } => {
                let now = self.data_path.clock.now();
                let result = match self.past.admit(announcement, now) {
                    Some(announcement) => self.announce(announcement),
                    None => Ok(()),
                };
                // The caller may have timed out.
                let _ = reply.try_send(result);
            }
            Input::Leave => self.leave(),
            Input::LeaveInstance {
                instance,
                started,
                reply,
            } => {
                let now = self.data_path.clock.now();
                let transition = self.registration.leave_instance(&instance, started, now);
                self.report_if_drained(transition);
                self.report_departure();
                // The caller may have timed out.
                let _ = reply.try_send(());
            }
            Input::GetStatus(reply) => {
                let now = self.data_path.clock.now();
                let status =
                    status::collect(self.kernel.shared(), &self.data_path.table.load(), now);
                // The caller may have timed out.
                let _ = reply.try_send(status);
            }
            Input::Stop => {}
        }
    }

    /// Handles the messages of a peer and sends the reply.
    fn handle_inbound(&mut self, inbound: rpc::server::Inbound) {
        let Envelope { from, messages } = inbound.envelope;
        self.reply.clear();
        self.handle(&Event::Received { from, messages });
        // The peer may have timed out.
        let _ = inbound.reply.send(std::mem::take(&mut self.reply));
    }

    /// Runs periodic work.
    fn tick(&mut self) {
        let now = self.data_path.clock.now();
        self.release_heartbeat(now);
        self.check_registration(now);
        if now.since(self.evidence_sent_at) >= EVIDENCE_INTERVAL {
            self.evidence_sent_at = now;
            self.collect_evidence();
        }
        if now.since(self.statsd_flushed_at) >= STATSD_INTERVAL {
            self.statsd_flushed_at = now;
            if let Some(statsd) = &mut self.resources.statsd {
                statsd.flush();
            }
        }
        self.handle(&Event::Tick);
    }

    /// Handles the heartbeat that was held back until a peer or the platform's store was heard from.
    fn release_heartbeat(&mut self, now: Time) {
        if self.kernel.shared().view.live().nth(1).is_some() {
            self.past.set_known();
        }
        if let Some(announcement) = self.past.release(now) {
            // Heartbeats are never refused.
            let _ = self.announce(announcement);
        }
    }

    /// Passes the evidence that the owner recorded to the kernel.
    fn collect_evidence(&mut self) {
        let Some(owner) = self.data_path.owner.load_full() else {
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

    /// Passes an event to the kernel and performs the resulting actions.
    fn handle(&mut self, event: &Event) {
        let now = self.data_path.clock.now();
        let mut is_table_stale = false;
        let mut confirmed_at = None;
        for action in self.kernel.handle(now, event) {
            match action {
                Action::Reply(messages) => self.reply.extend(messages),
                Action::Send {
                    host,
                    address,
                    messages,
                } => self.send(host, address, messages),
                Action::Read { stream, from, wait } => {
                    if let Some(log_workers) = &self.resources.log_workers {
                        log_workers.read(stream, from, wait);
                    }
                }
                Action::Append {
                    stream,
                    id,
                    payload,
                } => self.append(stream, id, payload),
                Action::RebuildTable => is_table_stale = true,
                Action::Duty(request) => {
                    if let Some(duty_channel) = &self.resources.duty_channel {
                        duty_channel.send(request);
                    }
                }
                Action::ConfirmPolicy(at) => confirmed_at = Some(at),
                Action::ReadOrders(polling) => {
                    if let Some(operator_channel) = &self.resources.operator_channel {
                        operator_channel.read_orders(polling);
                    }
                }
                Action::MonitorOrders(is_monitor) => {
                    if let Some(operator_channel) = &self.resources.operator_channel {
                        operator_channel.monitor_orders(is_monitor);
                    }
                }
                Action::ReadDecisions => {
                    if let Some(operator_channel) = &self.resources.operator_channel {
                        operator_channel.read_decisions();
                    }
                }
                Action::Publish(decision) => match &self.resources.operator_channel {
                    Some(operator_channel) => operator_channel.publish(&decision),
                    None => warn!(
                        self.resources.logger,
                        "decision dropped: no operator channel"
                    ),
                },
                Action::CollectEvidence => self.collect_evidence(),
                Action::RecallDeparture(departure) => {
                    let transition = self.registration.recall(departure, now);
                    self.report_if_drained(transition);
                }
                Action::StoreDeparture(departure) => {
                    if let Some(operator_channel) = &self.resources.operator_channel {
                        operator_channel.store_departure(departure);
                    }
                }
                Action::UpdateBlocklist => {
                    let blocklist = self.kernel.shared().blocklist.clone();
                    self.data_path.blocklist.store(Arc::new(blocklist));
                }
                Action::StoreBlocklist(records) => {
                    if let Some(operator_channel) = &self.resources.operator_channel {
                        operator_channel.store_blocklist(&records);
                    }
                }
                Action::Log(entry) => info!(self.resources.logger, "{}", entry.event.name();
                    "subject" => entry.subject, "detail" => entry.detail),
            }
        }
        if is_table_stale {
            self.rebuild_table();
        }
        if let Some(at) = confirmed_at {
            self.data_path.confirmation.confirm(at);
        }
    }

    /// Rebuilds the routing table and publishes it to the data path; does nothing until the node has
    /// a complete snapshot of the configuration.
    fn rebuild_table(&mut self) {
        let shared = self.kernel.shared();
        if !shared.is_synced {
            return;
        }
        let peers: Vec<Peer> = shared.view.live().map(Peer::from_member).collect();
        self.resources.loads.share_slack(peers.len());
        self.data_path.peers.store(Arc::new(peers));
        let era = shared.orders.next().era;
        self.data_path.log_era.store(era, Ordering::Relaxed);
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
        let in_force = self.data_path.table.load().version;
        assert!(
            table.version >= in_force,
            "invariant: the version of the routing table never decreases"
        );
        if table.version > in_force {
            info!(self.resources.logger, "{}", LogEvent::ConfigApplied.name(); "version" => table.version);
        }
        self.data_path.table.store(Arc::new(table));
        if let Some(owner) = self.data_path.owner.load_full() {
            owner
                .cold_limiter
                .set_max_calls(self.max_cold_calls(&owner.service));
        }
    }

    /// Sends messages to a peer; the reply or the failure arrives as an event. Messages beyond
    /// [`MAX_EXCHANGES`] are dropped without an event.
    fn send(&self, host: Name, address: SocketAddr, messages: Vec<Message>) {
        let counters = self.data_path.counters.clone();
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
            // The kernel thread stops first at shutdown.
            let _ = inputs.try_send(Input::Event(event));
        });
    }

    /// Starts an append, or reports it as refused when the queue is full or the node has no log.
    fn append(&mut self, stream: &'static str, id: Name, payload: String) {
        let log_workers = self.resources.log_workers.as_ref();
        if log_workers.is_some_and(|workers| workers.append(stream, id.clone(), payload)) {
            return;
        }
        let result = AppendOutcome::Refused {
            reason: "too many appends in progress".into(),
        };
        let _ = self
            .inputs
            .try_send(Input::Event(Event::Appended { id, result }));
    }

    /// Handles an announcement of the local backend server.
    fn announce(&mut self, announcement: Announcement) -> Result<(), Refusal> {
        let now = self.data_path.clock.now();
        match self.registration.announce(&announcement, now)? {
            Transition::Open => {}
            Transition::Refreshed => {
                self.update_cold_limiter(&announcement, now);
                return Ok(());
            }
            Transition::Drain => {
                self.report_drain();
                return Ok(());
            }
            _ => {
                // A backend server that drains need not be registered.
                self.report_departure();
                return Ok(());
            }
        }
        info!(self.resources.logger, "{}", LogEvent::BackendAnnounced.name();
            "instance" => announcement.instance.as_deref().unwrap_or(""),
            "service" => %announcement.service, "version" => %announcement.version);
        let server = announcement.backend_server(false);
        let current = announcement.clone();
        let (clock, counters) = (
            self.data_path.clock.clone(),
            self.data_path.counters.clone(),
        );
        let policy = self.kernel.shared().orders.policy();
        let service = policy.and_then(|policy| policy.service(&announcement.service));
        let max_connections = service.map_or(u32::MAX, |service| service.connections);
        let semaphore = match announcement.heartbeat {
            // The slots are exact, because the contract defines what happens to calls beyond them.
            Some(_) => Semaphore::with_gate(clock, counters, Gate::fixed(announcement.slots, now)),
            None => Semaphore::new(clock, counters, announcement.slots),
        };
        if let Some(old) = self.data_path.owner.load_full() {
            old.semaphore.close();
        }
        let owner = Owner::new(
            announcement.service,
            announcement.version,
            announcement.address,
            announcement.slots,
            announcement.connections.min(max_connections),
            semaphore,
            Arc::new(Recorder::new()),
        )
        .with_instance(
            current.instance.clone(),
            self.max_cold_calls(&current.service),
        );
        let owner = Arc::new(owner);
        self.past.introduce(&owner, &current);
        self.data_path.owner.store(Some(owner));
        self.update_cold_limiter(&current, now);
        self.handle(&Event::Announced(Some(server)));
        Ok(())
    }

    /// Starts draining the local backend server.
    fn leave(&mut self) {
        let now = self.data_path.clock.now();
        let transition = self.registration.leave(now);
        self.report_if_drained(transition);
    }

    /// Applies the remaining cold time of a heartbeat to the owner's rate limiter.
    fn update_cold_limiter(&self, announcement: &Announcement, now: Time) {
        if let (Some(owner), Some(heartbeat)) =
            (self.data_path.owner.load_full(), announcement.heartbeat)
        {
            owner
                .cold_limiter
                .set_cold_for(now, heartbeat.cold_remaining);
        }
    }

    /// Returns how many calls a cold backend server of a service may receive within a second, or
    /// `None` when the service sets no rate.
    fn max_cold_calls(&self, service: &str) -> Option<usize> {
        let policy = self.kernel.shared().orders.policy()?;
        let rate = policy.service(service)?.cold_rate?;
        Some(self.resources.cold_tolerance.max_calls(rate))
    }

    /// Reports to the peers that the local backend server is draining, if it is from now on.
    fn report_if_drained(&mut self, transition: Transition) {
        if transition == Transition::Drain {
            self.report_drain();
        }
    }

    /// Reports to the peers that the local backend server is draining.
    fn report_drain(&mut self) {
        let Some(last) = self.registration.current() else {
            return;
        };
        info!(self.resources.logger, "{}", LogEvent::BackendLeaves.name(); "service" => %last.service);
        let server = last.backend_server(true);
        self.report_departure();
        self.handle(&Event::Announced(Some(server)));
    }

    /// Reports to the peers which backend server most recently said that it leaves.
    fn report_departure(&mut self) {
        if let Some(departure) = self.registration.departure().cloned() {
            self.handle(&Event::Departed(departure));
        }
    }

    /// Expires a backend server that stopped announcing itself and completes a drain.
    fn check_registration(&mut self, now: Time) {
        let owner = self.data_path.owner.load_full();
        if owner
            .as_ref()
            .is_some_and(|owner| owner.is_leaving.load(Ordering::Relaxed))
        {
            let transition = self.registration.depart(now);
            self.report_if_drained(transition);
        }
        let running = owner.map_or(0, |owner| owner.semaphore.running());
        match self.registration.poll(now, running as usize) {
            Transition::Unchanged
            | Transition::Refreshed
            | Transition::Open
            | Transition::Drain => {}
            Transition::Close => {
                if let Some(owner) = self.data_path.owner.load_full() {
                    owner.semaphore.close();
                }
            }
            Transition::Removed => self.remove_backend_server(),
            Transition::Expired => {
                warn!(self.resources.logger, "{}", LogEvent::BackendExpired.name();
                    "service" => self.data_path.owner.load().as_ref().map(|owner| owner.service.to_string()));
                self.data_path
                    .counters
                    .increment(Counter::AnnouncementsExpired);
                self.remove_backend_server();
            }
        }
    }

    /// Removes the local backend server.
    fn remove_backend_server(&mut self) {
        if let Some(owner) = self.data_path.owner.swap(None) {
            owner.semaphore.close();
        }
        self.handle(&Event::Announced(None));
    }
}
