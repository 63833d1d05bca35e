//! Probing of members.
//!
//! One probe begins every [`PROBE_INTERVAL`], in a shuffled round over the own failure domain, and
//! every `CROSS_EVERY`-th goes to another failure domain. A member that does not answer is tried
//! again, then through helpers inside and outside its failure domain, and only then suspected: two
//! failure domains that lose each other stay members as long as a third reaches both. A failed
//! probe across failure domains begins more in the same one, so that the loss of a whole failure
//! domain is found in a few rounds.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use crate::clock::Time;
use crate::name::Name;

use super::member::{Member, Status};
use super::view::View;

/// Interval between the beginnings of probes.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes of which one goes to another failure domain.
const CROSS_EVERY: u64 = 4;

/// Time for a direct answer.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Fewest direct attempts.
const MIN_ATTEMPTS: u32 = 3;

/// Most direct attempts.
const MAX_ATTEMPTS: u32 = 8;

/// Chance that every direct attempt at a live member is lost, which the number of attempts aims at.
const MAX_FALSE_ALARM: f64 = 1e-4;

/// Weight of one attempt in the moving average of failures.
const FAILURE_WEIGHT: f64 = 1.0 / 16.0;

/// Time for an answer through helpers.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Helpers from each of three places: own failure domain, the member's, and any other.
const HELPERS_EACH: usize = 2;

/// Probes in progress at once.
const MAX_PENDING: usize = 32;

/// Members to probe out of turn.
const MAX_URGENT: usize = 8;

/// Members of a failure domain that stay silent in a row before all of it is suspected.
const SILENT_MEMBERS: u32 = 3;

/// Further members of a failure domain to probe when one of them does not answer.
const FOLLOW_UPS: usize = 3;

/// Where a probe stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Asked directly, this many times.
    Direct(u32),
    /// Asked through helpers.
    Indirect,
}

/// Probe in progress.
#[derive(Clone, Debug)]
struct Probe {
    /// Member probed.
    host: Name,
    /// Where the probe stands.
    stage: Stage,
    /// When the stage fails.
    deadline: Time,
    /// Host on whose behalf it is probed, if not for this node itself.
    requester: Option<Name>,
    /// Direct attempts before helpers are asked.
    attempts: u32,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeAction {
    /// Send a ping.
    Ping(Name),
    /// Ask helpers to probe a member.
    Ask {
        /// Member to probe.
        host: Name,
        /// Members that are asked.
        helpers: Vec<Name>,
    },
    /// Suspect a member.
    Suspect(Name),
    /// Suspect every member of a failure domain.
    SuspectDomain(Name),
    /// Tell a requester what its probe found.
    Report {
        /// Requester.
        to: Name,
        /// Member probed.
        host: Name,
        /// Whether it answered.
        is_alive: bool,
    },
}

/// Probes of one node.
#[derive(Clone, Debug, Default)]
pub struct Prober {
    /// Rest of the round over the own failure domain.
    near: Vec<Name>,
    /// Rest of the round over other failure domains.
    far: Vec<Name>,
    /// Members to probe out of turn.
    urgent: VecDeque<Name>,
    /// Probes in progress.
    pending: Vec<Probe>,
    /// Probes begun in turn.
    turn: u64,
    /// When the next probe begins.
    next: Time,
    /// Members of each failure domain that did not answer since one was last heard of, sorted.
    silent: Vec<(Name, u32)>,
    /// Moving average of the share of direct attempts that fail.
    failing: f64,
}

impl Prober {
    /// Begins what is due and moves on what has waited long enough.
    pub fn poll(
        &mut self,
        view: &View,
        own: &Member,
        now: Time,
        rng: &mut impl Rng,
    ) -> Vec<ProbeAction> {
        let mut next = Vec::new();
        self.expire(view, own, now, rng, &mut next);
        if self.next == Time::default() {
            // Nodes that start together do not probe together.
            self.next = now + PROBE_INTERVAL.mul_f64(rng.random_range(0.0..1.0));
            return next;
        }
        while let Some(host) = self.urgent.pop_front() {
            self.begin(host, None, MIN_ATTEMPTS, now, &mut next);
        }
        if now >= self.next {
            self.next = now + PROBE_INTERVAL;
            self.turn += 1;
            if let Some(host) = self.draw(view, own, rng) {
                self.begin(host, None, attempts(self.failing), now, &mut next);
            }
        }
        next
    }

    /// Probes a member on another's behalf.
    pub fn request(&mut self, host: &Name, requester: &Name, now: Time) -> Option<ProbeAction> {
        let mut next = Vec::new();
        self.begin(
            host.clone(),
            Some(requester.clone()),
            MIN_ATTEMPTS,
            now,
            &mut next,
        );
        next.pop()
    }

    /// A member gave a sign of life, directly or through a helper.
    pub fn heard(&mut self, view: &View, host: &str) -> Vec<ProbeAction> {
        if let Some(member) = view.get(host) {
            self.silent
                .retain(|(name, _)| *name != member.failure_domain);
        }
        let mut reports = Vec::new();
        self.pending.retain(|probe| {
            if *probe.host != *host {
                return true;
            }
            if matches!(probe.stage, Stage::Direct(_)) {
                self.failing -= self.failing * FAILURE_WEIGHT;
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

    /// A ping could not be delivered.
    pub fn failed(&mut self, host: &str, now: Time) {
        for probe in &mut self.pending {
            if *probe.host == *host && matches!(probe.stage, Stage::Direct(_)) {
                probe.deadline = now;
            }
        }
    }

    /// Begins a probe unless one for the same purpose is in progress.
    fn begin(
        &mut self,
        host: Name,
        requester: Option<Name>,
        attempts: u32,
        now: Time,
        next: &mut Vec<ProbeAction>,
    ) {
        let is_known = self
            .pending
            .iter()
            .any(|probe| probe.host == host && probe.requester == requester);
        if is_known || self.pending.len() >= MAX_PENDING {
            return;
        }
        next.push(ProbeAction::Ping(host.clone()));
        self.pending.push(Probe {
            host,
            stage: Stage::Direct(1),
            deadline: now + DIRECT_TIMEOUT,
            requester,
            attempts,
        });
    }

    /// Moves on probes whose stage has failed.
    fn expire(
        &mut self,
        view: &View,
        own: &Member,
        now: Time,
        rng: &mut impl Rng,
        next: &mut Vec<ProbeAction>,
    ) {
        let mut kept = Vec::with_capacity(self.pending.len());
        for mut probe in std::mem::take(&mut self.pending) {
            if now < probe.deadline {
                kept.push(probe);
                continue;
            }
            if matches!(probe.stage, Stage::Direct(_)) {
                self.failing += (1.0 - self.failing) * FAILURE_WEIGHT;
            }
            match (probe.stage, &probe.requester) {
                (Stage::Direct(sent), _) if sent < probe.attempts => {
                    next.push(ProbeAction::Ping(probe.host.clone()));
                    probe.stage = Stage::Direct(sent + 1);
                    probe.deadline = now + DIRECT_TIMEOUT;
                    kept.push(probe);
                }
                (Stage::Direct(_), None) => {
                    let helpers = helpers(view, own, &probe.host, rng);
                    let host = probe.host.clone();
                    next.push(ProbeAction::Ask { host, helpers });
                    probe.stage = Stage::Indirect;
                    probe.deadline = now + INDIRECT_TIMEOUT;
                    kept.push(probe);
                }
                (_, Some(requester)) => next.push(ProbeAction::Report {
                    to: requester.clone(),
                    host: probe.host.clone(),
                    is_alive: false,
                }),
                (Stage::Indirect, None) => {
                    next.push(ProbeAction::Suspect(probe.host.clone()));
                    next.extend(self.follow_up(view, own, &probe.host, rng));
                }
            }
        }
        self.pending = kept;
    }

    /// Probes more members of another failure domain after one did not answer; suspects them all
    /// once several in a row did not and none was heard of in between.
    fn follow_up(
        &mut self,
        view: &View,
        own: &Member,
        host: &str,
        rng: &mut impl Rng,
    ) -> Option<ProbeAction> {
        let member = view.get(host)?;
        let domain = &member.failure_domain;
        if *domain == own.failure_domain {
            return None;
        }
        let index = match self.silent.binary_search_by(|(name, _)| name.cmp(domain)) {
            Ok(index) => index,
            Err(index) => {
                self.silent.insert(index, (domain.clone(), 0));
                index
            }
        };
        self.silent[index].1 += 1;
        if self.silent[index].1 >= SILENT_MEMBERS {
            self.silent.remove(index);
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

    /// Next member in turn.
    fn draw(&mut self, view: &View, own: &Member, rng: &mut impl Rng) -> Option<Name> {
        let is_far = self.turn.is_multiple_of(CROSS_EVERY);
        draw_from(&mut self.near, &mut self.far, is_far, view, own, rng)
            .or_else(|| draw_from(&mut self.near, &mut self.far, !is_far, view, own, rng))
    }
}

/// Direct attempts at a member when a share of all attempts fails.
///
/// A node that loses many messages tries more often before it suspects others, as in Lifeguard
/// (Dadgar, Phillips, Currey 2017).
fn attempts(failing: f64) -> u32 {
    if failing <= 0.0 {
        return MIN_ATTEMPTS;
    }
    let wanted = MAX_FALSE_ALARM.ln() / failing.min(0.99).ln();
    (wanted.ceil() as u32).clamp(MIN_ATTEMPTS, MAX_ATTEMPTS)
}

/// Next member of one of the two rounds, begun anew when it is over.
fn draw_from(
    near: &mut Vec<Name>,
    far: &mut Vec<Name>,
    is_far: bool,
    view: &View,
    own: &Member,
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
            .filter(|member| member.host != own.host)
            .filter(|member| (member.failure_domain != own.failure_domain) == is_far)
            .map(|member| member.host.clone())
            .collect();
        round.shuffle(rng);
    }
    None
}

/// Members to ask about one that does not answer.
fn helpers(view: &View, own: &Member, host: &str, rng: &mut impl Rng) -> Vec<Name> {
    let Some(member) = view.get(host) else {
        return Vec::new();
    };
    let mut helpers = Vec::new();
    let (mut near, mut theirs, mut third) = (Vec::new(), Vec::new(), Vec::new());
    for other in view.members() {
        if other.status != Status::Alive || other.host == own.host || other.host == member.host {
            continue;
        }
        if other.failure_domain == own.failure_domain {
            near.push(&other.host);
        } else if other.failure_domain == member.failure_domain {
            theirs.push(&other.host);
        } else {
            third.push(&other.host);
        }
    }
    for place in [near, theirs, third] {
        helpers.extend(
            place
                .choose_multiple(rng, HELPERS_EACH)
                .map(|&name| name.clone()),
        );
    }
    helpers
}
