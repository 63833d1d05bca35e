//! Relay of operators' orders through a few nodes of each failure domain.
//!
//! Calls to the platform's log are limited and cost money, so only some nodes of a failure domain,
//! its readers, poll it. The others follow: each polls three readers in turn, more than once in the
//! time within which an order has to be in force, and reads the log itself as soon as one of them
//! does not reply. A reader notifies its recent followers when it has read new orders. A reader
//! that has not read the log yet, or has lost it, says so in its replies, and its followers choose
//! another.
//!
//! A log that accepts a read and never responds delays its reader by the whole wait of the read.
//! The first reader of each failure domain, its monitor, therefore reads with short waits.

use std::time::Duration;

use crate::clock::Time;
use crate::kernel::Identity;
use crate::membership::view::View;
use crate::name::{self, Name};

/// Minimum readers of a failure domain, so that a follower has [`SOURCES`] to poll.
const MIN_READERS: usize = 3;

/// Readers that a follower polls.
const SOURCES: usize = 3;

/// Minimum readers that have to reply for a node to follow.
const MIN_SOURCES: usize = 2;

/// Polls in the time within which an order has to be in force. A missing reply is detected in less
/// than two and a half poll intervals, which leaves time for a read.
const POLLS_PER_BOUND: u32 = 4;

/// Initial backoff of a node that had to read the log itself, before it tries to follow again.
const MIN_BACKOFF: Duration = Duration::from_secs(3);

/// Maximum backoff; it doubles with each failure.
const MAX_BACKOFF: Duration = Duration::from_secs(24);

/// Time for which a node has to follow for the backoff to be reset.
const STABLE_PERIOD: Duration = Duration::from_secs(20);

/// Key of the rendezvous hash that chooses readers.
const READER_KEY: &str = "orders.reader";

/// Source of a node's orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// The node reads the log.
    Reading,
    /// The node has polled readers since this time.
    Following(Time),
}

/// Reader that a node polls.
#[derive(Clone, Debug)]
struct Source {
    /// Host of the reader.
    host: Name,
    /// Time of the outstanding request, if any.
    requested_at: Option<Time>,
    /// Whether its last reply said that it reads the log.
    is_reading: bool,
    /// Whether it announced new orders after the request, which its reply may lack.
    has_new_orders: bool,
}

/// Action that the relay asks of its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayAction {
    /// Nothing to do.
    Nothing,
    /// Request new orders from these hosts.
    Request(Vec<Name>),
    /// Stop reading the log.
    Follow,
    /// Read the log, for this reason.
    Read(&'static str),
}

/// Decides whether a node reads the log or follows readers, and whom it polls.
#[derive(Debug)]
pub struct Relay {
    /// Poll interval.
    interval: Duration,
    /// Source of the orders.
    mode: Mode,
    /// Whether the log was read and reads still succeed.
    is_log_available: bool,
    /// Whether this node is the first reader of its failure domain.
    is_monitor: bool,
    /// Readers that are polled.
    sources: Vec<Source>,
    /// Index of the source polled last.
    last_polled: usize,
    /// Time of the last poll.
    polled_at: Time,
    /// Time from which the node may try to follow.
    backoff_until: Time,
    /// Backoff after the next failure.
    backoff: Duration,
    /// Nodes that polled this one with the time of their last poll, sorted by host.
    followers: Vec<(Name, Time)>,
}

impl Relay {
    /// Relay of a node whose orders have to be in force within `bound`.
    pub fn new(bound: Duration) -> Self {
        Self {
            interval: bound / POLLS_PER_BOUND,
            mode: Mode::Reading,
            is_log_available: false,
            is_monitor: true,
            sources: Vec::new(),
            last_polled: 0,
            polled_at: Time::default(),
            backoff_until: Time::default(),
            backoff: MIN_BACKOFF,
            followers: Vec::new(),
        }
    }

    /// Whether others may follow this node: it reads the log and its reads succeed.
    pub fn is_reader(&self) -> bool {
        self.mode == Mode::Reading && self.is_log_available
    }

    /// Whether the node reads with short waits to notice soon when the log swallows reads. A node
    /// that knows no others does.
    pub fn is_monitor(&self) -> bool {
        self.is_monitor
    }

    /// Whether the node receives its orders from readers.
    pub fn is_following(&self) -> bool {
        self.mode != Mode::Reading
    }

    /// Records whether reads of the log succeed.
    pub fn set_log_available(&mut self, is_log_available: bool) {
        self.is_log_available = is_log_available;
    }

    /// Nodes that polled this one recently and are to be notified of new orders.
    pub fn followers(&self, now: Time) -> impl Iterator<Item = &Name> {
        let since = self.interval * (2 * SOURCES as u32);
        self.followers
            .iter()
            .filter(move |(_, polled_at)| now.since(*polled_at) <= since)
            .map(|(host, _)| host)
    }

    /// Records that a node polled this one.
    pub fn record_follower(&mut self, now: Time, host: &Name) {
        match self
            .followers
            .binary_search_by(|(follower, _)| follower.cmp(host))
        {
            Ok(index) => self.followers[index].1 = now,
            Err(index) => self.followers.insert(index, (host.clone(), now)),
        }
    }

    /// Returns the action due at `now`.
    pub fn poll(&mut self, now: Time, identity: &Identity, view: &View) -> RelayAction {
        if self.mode == Mode::Reading && now < self.backoff_until {
            return RelayAction::Nothing;
        }
        let overdue = |source: &Source| {
            let requested_at = source.requested_at;
            requested_at.is_some_and(|requested_at| {
                now.since(requested_at) >= self.interval + self.interval / 4
            })
        };
        if self.sources.iter().any(overdue) {
            return self.fail(now, "a reader did not reply in time");
        }
        if now.since(self.polled_at) < self.interval {
            return RelayAction::Nothing;
        }
        self.polled_at = now;
        self.forget_followers(now);
        if !self.select_sources(now, identity, view) {
            self.sources.clear();
            return match std::mem::replace(&mut self.mode, Mode::Reading) {
                Mode::Reading => RelayAction::Nothing,
                Mode::Following(_) => RelayAction::Read("this node is a reader"),
            };
        }
        match self.mode {
            // All sources have to reply before the node follows; it reads the log until then, so
            // all are polled at once.
            Mode::Reading => {
                let unconfirmed = |index: &usize| !self.sources[*index].is_reading;
                let unconfirmed: Vec<usize> = (0..self.sources.len()).filter(unconfirmed).collect();
                let hosts = unconfirmed
                    .into_iter()
                    .filter_map(|index| self.start_request(now, index));
                RelayAction::Request(hosts.collect())
            }
            Mode::Following(_) => {
                self.last_polled = (self.last_polled + 1) % self.sources.len();
                RelayAction::Request(
                    self.start_request(now, self.last_polled)
                        .into_iter()
                        .collect(),
                )
            }
        }
    }

    /// Handles a reader's notification of new orders: polls it unless a request is outstanding.
    pub fn on_notification(&mut self, now: Time, from: &Name) -> RelayAction {
        let Some(index) = self.index(from) else {
            return RelayAction::Nothing;
        };
        self.sources[index].has_new_orders = true;
        RelayAction::Request(self.start_request(now, index).into_iter().collect())
    }

    /// Whether a host is one of the readers that this node polls.
    pub fn is_source(&self, host: &Name) -> bool {
        self.index(host).is_some()
    }

    /// Handles a reply; `is_reader` is whether its sender reads the log.
    pub fn on_reply(&mut self, now: Time, from: &Name, is_reader: bool) -> RelayAction {
        let Some(index) = self.index(from) else {
            return RelayAction::Nothing;
        };
        let source = &mut self.sources[index];
        source.requested_at = None;
        source.is_reading = is_reader;
        let has_new_orders = source.has_new_orders;
        if !is_reader {
            self.sources.remove(index);
        }
        let confirmed = self.sources.iter().filter(|source| source.is_reading);
        match (self.mode, confirmed.count()) {
            (Mode::Reading, count) if count >= MIN_SOURCES && count == self.sources.len() => {
                self.mode = Mode::Following(now);
                RelayAction::Follow
            }
            (Mode::Following(_), count) if count < MIN_SOURCES => {
                self.fail(now, "too few readers are left")
            }
            _ if is_reader && has_new_orders => {
                RelayAction::Request(self.start_request(now, index).into_iter().collect())
            }
            _ => RelayAction::Nothing,
        }
    }

    /// Handles a host that could not be reached.
    pub fn on_unreachable(&mut self, now: Time, host: &Name) -> RelayAction {
        match self.index(host) {
            Some(_) => self.fail(now, "a reader cannot be reached"),
            None => RelayAction::Nothing,
        }
    }

    /// Returns to reading the log, with a backoff that grows with repeated failures.
    pub fn fail(&mut self, now: Time, reason: &'static str) -> RelayAction {
        self.sources.clear();
        let mode = std::mem::replace(&mut self.mode, Mode::Reading);
        if let Mode::Following(since) = mode
            && now.since(since) >= STABLE_PERIOD
        {
            self.backoff = MIN_BACKOFF;
        }
        self.backoff_until = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        match mode {
            Mode::Reading => RelayAction::Nothing,
            Mode::Following(_) => RelayAction::Read(reason),
        }
    }

    /// Records a request to a source and returns the source's host, unless a request is already
    /// outstanding.
    fn start_request(&mut self, now: Time, index: usize) -> Option<Name> {
        let source = &mut self.sources[index];
        if source.requested_at.is_some() {
            return None;
        }
        source.requested_at = Some(now);
        source.has_new_orders = false;
        Some(source.host.clone())
    }

    /// Index of a source.
    fn index(&self, host: &Name) -> Option<usize> {
        self.sources.iter().position(|source| source.host == *host)
    }

    /// Fills up the sources with readers of the local failure domain. Returns `false` if this node
    /// is itself a reader.
    fn select_sources(&mut self, now: Time, identity: &Identity, view: &View) -> bool {
        let ranked = ranked(view, &identity.failure_domain);
        self.is_monitor = ranked.first().is_none_or(|host| **host == identity.host);
        let count = readers(ranked.len());
        // A node with followers stays a reader when nodes of a higher rank join, as long as its
        // rank is within twice the number of readers.
        let has_followers = self.followers(now).next().is_some();
        let kept = if has_followers { 2 * count } else { count };
        let is_local = |host: &&Name| **host == identity.host;
        if ranked.len() <= count || ranked.iter().take(kept).any(is_local) {
            return false;
        }
        let mut readers = ranked[..count].to_vec();
        readers.sort_by_key(|host| name::rendezvous(&identity.host, host));
        for host in readers {
            if self.sources.len() < SOURCES && self.index(host).is_none() {
                self.sources.push(Source {
                    host: host.clone(),
                    requested_at: None,
                    is_reading: false,
                    has_new_orders: false,
                });
            }
        }
        true
    }

    /// Removes followers that have stopped polling.
    fn forget_followers(&mut self, now: Time) {
        let kept: Vec<Name> = self.followers(now).cloned().collect();
        self.followers
            .retain(|(host, _)| kept.binary_search(host).is_ok());
    }
}

/// Live hosts of a failure domain in the order in which they become readers.
pub fn ranked<'a>(view: &'a View, failure_domain: &str) -> Vec<&'a Name> {
    let members = view
        .live()
        .filter(|member| *member.failure_domain == *failure_domain);
    let mut ranked: Vec<(u64, &Name)> = members
        .map(|member| (name::rendezvous(READER_KEY, &member.host), &member.host))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, host)| host).collect()
}

/// Number of readers of a failure domain with `nodes` live nodes. The square root balances calls to
/// the log against followers per reader.
fn readers(nodes: usize) -> usize {
    (nodes as f64).sqrt().ceil().max(MIN_READERS as f64) as usize
}
