//! Failure detection by probing members.
//!
//! One probe starts every [`PROBE_INTERVAL`], in a shuffled round over the local failure domain;
//! every `CROSS_DOMAIN_EVERY`-th goes to another failure domain instead. A member that does not
//! answer is pinged again, then probed through helpers inside and outside its failure domain, and
//! only then suspected. Two failure domains that cannot reach each other therefore stay members as
//! long as a third reaches both. A failed probe across failure domains starts more probes in the
//! same domain, so that the loss of a whole failure domain is detected within a few rounds.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use crate::clock::Time;
use crate::name::Name;

use super::member::{Member, Status};
use super::view::View;

/// Interval at which scheduled probes start.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of scheduled probes of which one goes to another failure domain.
const CROSS_DOMAIN_EVERY: u64 = 4;

/// Time limit of one direct ping.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Minimum number of direct pings before helpers are asked.
const MIN_ATTEMPTS: u32 = 3;

/// Maximum number of direct pings before helpers are asked.
const MAX_ATTEMPTS: u32 = 8;

/// Target probability that every direct ping to a live member is lost; the number of pings is
/// chosen to meet it.
const MAX_FALSE_ALARM: f64 = 1e-4;

/// Weight of one direct ping in the moving average of failures.
const FAILURE_WEIGHT: f64 = 1.0 / 16.0;

/// Time limit of an indirect probe.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Helpers from each of three groups: the local failure domain, the member's, and all others.
const HELPERS_PER_GROUP: usize = 2;

/// Maximum number of probes in progress.
const MAX_PENDING: usize = 32;

/// Maximum number of members queued for an unscheduled probe.
const MAX_URGENT: usize = 8;

/// Consecutive unanswered probes into a failure domain after which all of it is suspected.
const SILENT_MEMBERS: u32 = 3;

/// Additional members of a failure domain to probe when one of them does not answer.
const FOLLOW_UPS: usize = 3;

/// Stage of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Pinged directly, this many times so far.
    Direct(u32),
    /// Probed through helpers.
    Indirect,
}

/// Probe in progress.
#[derive(Clone, Debug)]
struct Probe {
    /// Member probed.
    host: Name,
    /// Current stage.
    stage: Stage,
    /// When the current direct ping or the indirect probe times out.
    deadline: Time,
    /// Host that requested the probe, absent for this node's own probes.
    requester: Option<Name>,
    /// Direct pings before helpers are asked.
    attempts: u32,
}

/// Action that the prober asks its caller to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeAction {
    /// Send a ping.
    Ping(Name),
    /// Ask helpers to probe a member.
    AskHelpers {
        /// Member to probe.
        host: Name,
        /// Members to ask.
        helpers: Vec<Name>,
    },
    /// Suspect a member.
    Suspect(Name),
    /// Suspect every member of a failure domain.
    SuspectDomain(Name),
    /// Send a requester the result of its probe.
    Report {
        /// Requester.
        to: Name,
        /// Member probed.
        host: Name,
        /// Whether the member answered.
        is_alive: bool,
    },
}

/// Failure detector of one node.
#[derive(Clone, Debug, Default)]
pub struct Prober {
    /// Members of the local failure domain left in the current round.
    near: Vec<Name>,
    /// Members of other failure domains left in the current round.
    far: Vec<Name>,
    /// Members to probe ahead of the schedule.
    urgent: VecDeque<Name>,
    /// Probes in progress.
    pending: Vec<Probe>,
    /// Number of scheduled probes started.
    started: u64,
    /// When the next scheduled probe starts.
    next: Time,
    /// Unanswered probes by failure domain since one of its members was last known to be alive,
    /// sorted by failure domain.
    silent_counts: Vec<(Name, u32)>,
    /// Moving average of the share of direct pings that fail.
    failure_rate: f64,
}

impl Prober {
    /// Starts probes that are due and advances those that timed out.
    pub fn poll(
        &mut self,
        view: &View,
        local: &Member,
        now: Time,
        rng: &mut impl Rng,
    ) -> Vec<ProbeAction> {
        let mut actions = Vec::new();
        self.expire(view, local, now, rng, &mut actions);
        if self.next == Time::default() {
            // Jitter keeps nodes that start together from probing in step.
            self.next = now + PROBE_INTERVAL.mul_f64(rng.random_range(0.0..1.0));
            return actions;
        }
        while let Some(host) = self.urgent.pop_front() {
            self.start(host, None, MIN_ATTEMPTS, now, &mut actions);
        }
        if now >= self.next {
            self.next = now + PROBE_INTERVAL;
            self.started += 1;
            if let Some(host) = self.next_in_round(view, local, rng) {
                self.start(host, None, attempts(self.failure_rate), now, &mut actions);
            }
        }
        actions
    }

    /// Starts a probe of a member on behalf of another node.
    pub fn request(&mut self, host: &Name, requester: &Name, now: Time) -> Option<ProbeAction> {
        let mut actions = Vec::new();
        self.start(
            host.clone(),
            Some(requester.clone()),
            MIN_ATTEMPTS,
            now,
            &mut actions,
        );
        actions.pop()
    }

    /// Ends the probes of a member that was shown to be alive, directly or through a helper, and
    /// returns the reports due to their requesters.
    pub fn on_alive(&mut self, view: &View, host: &str) -> Vec<ProbeAction> {
        if let Some(member) = view.get(host) {
            self.silent_counts
                .retain(|(name, _)| *name != member.failure_domain);
        }
        let mut reports = Vec::new();
        self.pending.retain(|probe| {
            if *probe.host != *host {
                return true;
            }
            if matches!(probe.stage, Stage::Direct(_)) {
                self.failure_rate -= self.failure_rate * FAILURE_WEIGHT;
            }
            if let Some(to) = &probe.requester {
                reports.push(ProbeAction::Report {
                    to: to.clone(),
                    host: probe.host.clone(),
                    is_alive: true,
                });
            }
            false
        });
        reports
    }

    /// Times out the current direct ping of a member's probes at once, as it could not be
    /// delivered.
    pub fn on_unreachable(&mut self, host: &str, now: Time) {
        for probe in &mut self.pending {
            if *probe.host == *host && matches!(probe.stage, Stage::Direct(_)) {
                probe.deadline = now;
            }
        }
    }

    /// Starts a probe unless one for the same host and requester is in progress.
    fn start(
        &mut self,
        host: Name,
        requester: Option<Name>,
        attempts: u32,
        now: Time,
        actions: &mut Vec<ProbeAction>,
    ) {
        let is_running = self
            .pending
            .iter()
            .any(|probe| probe.host == host && probe.requester == requester);
        if is_running || self.pending.len() >= MAX_PENDING {
            return;
        }
        actions.push(ProbeAction::Ping(host.clone()));
        self.pending.push(Probe {
            host,
            stage: Stage::Direct(1),
            deadline: now + DIRECT_TIMEOUT,
            requester,
            attempts,
        });
    }

    /// Advances probes whose direct ping or indirect probe timed out.
    fn expire(
        &mut self,
        view: &View,
        local: &Member,
        now: Time,
        rng: &mut impl Rng,
        actions: &mut Vec<ProbeAction>,
    ) {
        let mut kept = Vec::with_capacity(self.pending.len());
        for mut probe in std::mem::take(&mut self.pending) {
            if now < probe.deadline {
                kept.push(probe);
                continue;
            }
            if matches!(probe.stage, Stage::Direct(_)) {
                self.failure_rate += (1.0 - self.failure_rate) * FAILURE_WEIGHT;
            }
            match (probe.stage, &probe.requester) {
                (Stage::Direct(sent), _) if sent < probe.attempts => {
                    actions.push(ProbeAction::Ping(probe.host.clone()));
                    probe.stage = Stage::Direct(sent + 1);
                    probe.deadline = now + DIRECT_TIMEOUT;
                    kept.push(probe);
                }
                (Stage::Direct(_), None) => {
                    let helpers = helpers(view, local, &probe.host, rng);
                    let host = probe.host.clone();
                    actions.push(ProbeAction::AskHelpers { host, helpers });
                    probe.stage = Stage::Indirect;
                    probe.deadline = now + INDIRECT_TIMEOUT;
                    kept.push(probe);
                }
                (_, Some(requester)) => actions.push(ProbeAction::Report {
                    to: requester.clone(),
                    host: probe.host.clone(),
                    is_alive: false,
                }),
                (Stage::Indirect, None) => {
                    actions.push(ProbeAction::Suspect(probe.host.clone()));
                    actions.extend(self.follow_up(view, local, &probe.host, rng));
                }
            }
        }
        self.pending = kept;
    }

    /// Queues probes of more members of another failure domain after one did not answer. Suspects
    /// the whole domain after [`SILENT_MEMBERS`] unanswered probes between which none of its
    /// members was found to be alive.
    fn follow_up(
        &mut self,
        view: &View,
        local: &Member,
        host: &str,
        rng: &mut impl Rng,
    ) -> Option<ProbeAction> {
        let member = view.get(host)?;
        let domain = &member.failure_domain;
        if *domain == local.failure_domain {
            return None;
        }
        let index = match self
            .silent_counts
            .binary_search_by(|(name, _)| name.cmp(domain))
        {
            Ok(index) => index,
            Err(index) => {
                self.silent_counts.insert(index, (domain.clone(), 0));
                index
            }
        };
        self.silent_counts[index].1 += 1;
        if self.silent_counts[index].1 >= SILENT_MEMBERS {
            self.silent_counts.remove(index);
            return Some(ProbeAction::SuspectDomain(domain.clone()));
        }
        let others: Vec<&Name> = view
            .members()
            .filter(|other| {
                other.status == Status::Alive
                    && other.failure_domain == *domain
                    && other.host != member.host
            })
            .map(|other| &other.host)
            .collect();
        for &other in others.choose_multiple(rng, FOLLOW_UPS) {
            if self.urgent.len() < MAX_URGENT {
                self.urgent.push_back(other.clone());
            }
        }
        None
    }

    /// Picks the next member of the schedule.
    fn next_in_round(&mut self, view: &View, local: &Member, rng: &mut impl Rng) -> Option<Name> {
        let is_far = self.started.is_multiple_of(CROSS_DOMAIN_EVERY);
        next_from_round(&mut self.near, &mut self.far, is_far, view, local, rng)
            .or_else(|| next_from_round(&mut self.near, &mut self.far, !is_far, view, local, rng))
    }
}

/// Number of direct pings to a member, given the share of all direct pings that fail.
///
/// A node that loses many messages tries more often before it suspects others, as in Lifeguard
/// (Dadgar, Phillips, Currey 2017).
fn attempts(failure_rate: f64) -> u32 {
    if failure_rate <= 0.0 {
        return MIN_ATTEMPTS;
    }
    let wanted = MAX_FALSE_ALARM.ln() / failure_rate.min(0.99).ln();
    (wanted.ceil() as u32).clamp(MIN_ATTEMPTS, MAX_ATTEMPTS)
}

/// Picks the next usable member of one of the two rounds; starts a new round when it is over.
fn next_from_round(
    near: &mut Vec<Name>,
    far: &mut Vec<Name>,
    is_far: bool,
    view: &View,
    local: &Member,
    rng: &mut impl Rng,
) -> Option<Name> {
    let round = if is_far { far } else { near };
    for _ in 0..2 {
        while let Some(host) = round.pop() {
            if view.get(&host).is_some_and(Member::is_usable) {
                return Some(host);
            }
        }
        *round = view
            .live()
            .filter(|member| member.host != local.host)
            .filter(|member| (member.failure_domain != local.failure_domain) == is_far)
            .map(|member| member.host.clone())
            .collect();
        round.shuffle(rng);
    }
    None
}

/// Picks helpers for the indirect probe of a member.
fn helpers(view: &View, local: &Member, host: &str, rng: &mut impl Rng) -> Vec<Name> {
    let Some(member) = view.get(host) else {
        return Vec::new();
    };
    let mut helpers = Vec::new();
    let (mut near, mut theirs, mut third) = (Vec::new(), Vec::new(), Vec::new());
    for other in view.members() {
        if other.status != Status::Alive || other.host == local.host || other.host == member.host {
            continue;
        }
        if other.failure_domain == local.failure_domain {
            near.push(&other.host);
        } else if other.failure_domain == member.failure_domain {
            theirs.push(&other.host);
        } else {
            third.push(&other.host);
        }
    }
    for group in [near, theirs, third] {
        helpers.extend(
            group
                .choose_multiple(rng, HELPERS_PER_GROUP)
                .map(|&name| name.clone()),
        );
    }
    helpers
}
