//! Reading operators' orders through a few nodes of the failure domain.
//!
//! Calls to the platform's log are limited and cost money, so that of a failure domain only some
//! nodes, its readers, wait there for news. The others follow: each asks three readers in turn, more
//! than once in the time in which an order has to be in force, and reads by itself as soon as one
//! of them does not answer. A reader tells those that asked of late when it has read something. A
//! reader that has lost the log says so, and its followers look for another.

use std::time::Duration;

use crate::clock::Time;
use crate::kernel::Identity;
use crate::membership::view::View;
use crate::name::{self, Name};

/// Fewest readers of a failure domain, so that a follower has three.
const MIN_READERS: usize = 3;

/// Readers that a follower asks.
const SOURCES: usize = 3;

/// Fewest readers that have to answer for a node to follow.
const MIN_SOURCES: usize = 2;

/// Parts of the time in which an order has to be in force; a question is asked in each. An unanswered
/// one is noticed in less than two and a half of them, which leaves time for a read.
const POLLS_PER_BOUND: u32 = 4;

/// Pause before a node that had to read by itself tries to follow again.
const MIN_HOLD: Duration = Duration::from_secs(3);

/// Longest such pause; it doubles with each failure.
const MAX_HOLD: Duration = Duration::from_secs(24);

/// Time for which a node has to follow for the pause to be short again.
const CALM: Duration = Duration::from_secs(20);

/// Key of the rendezvous of readers.
const READER_KEY: &str = "orders.reader";

/// Where a node has its orders from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// It reads the log.
    Reading,
    /// It asks readers since that time.
    Following(Time),
}

/// Reader that a node asks.
#[derive(Clone, Debug)]
struct Source {
    /// Host.
    host: Name,
    /// When the question was sent that it has not answered yet.
    asked: Option<Time>,
    /// Whether it said that it reads the log, the last time that it answered.
    is_reading: bool,
    /// Whether it told of news after it was asked, which its answer may not hold.
    has_news: bool,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayAction {
    /// Nothing.
    Nothing,
    /// Ask readers for news.
    Ask(Vec<Name>),
    /// Stop reading the log.
    Follow,
    /// Read the log, for a reason.
    Read(&'static str),
}

/// How one node has its orders.
#[derive(Debug)]
pub struct Relay {
    /// Interval of questions.
    interval: Duration,
    /// Where orders come from.
    mode: Mode,
    /// Whether reads of the log succeed.
    has_log: bool,
    /// Readers that are asked.
    sources: Vec<Source>,
    /// Next of them to ask.
    turn: usize,
    /// When one was last asked.
    asked_at: Time,
    /// When the node may try to follow.
    hold_until: Time,
    /// Pause after the next failure.
    hold: Duration,
    /// Nodes that asked this one, and when they last did, sorted by host.
    followers: Vec<(Name, Time)>,
}

impl Relay {
    /// Relay of a node whose orders have to be in force within a time.
    pub fn new(bound: Duration) -> Self {
        Self {
            interval: bound / POLLS_PER_BOUND,
            mode: Mode::Reading,
            has_log: true,
            sources: Vec::new(),
            turn: 0,
            asked_at: Time::default(),
            hold_until: Time::default(),
            hold: MIN_HOLD,
            followers: Vec::new(),
        }
    }

    /// Whether the node reads the log, as far as it knows with success, so that others may follow.
    pub fn is_reader(&self) -> bool {
        self.mode == Mode::Reading && self.has_log
    }

    /// Whether the node has its orders from others.
    pub fn is_following(&self) -> bool {
        self.mode != Mode::Reading
    }

    /// Notes whether reads of the log succeed.
    pub fn set_log_available(&mut self, has_log: bool) {
        self.has_log = has_log;
    }

    /// Nodes that asked of late, which are to be told of news.
    pub fn followers(&self, now: Time) -> impl Iterator<Item = &Name> {
        let since = self.interval * (2 * SOURCES as u32);
        self.followers
            .iter()
            .filter(move |(_, asked)| now.since(*asked) <= since)
            .map(|(host, _)| host)
    }

    /// Notes that a node asked for news.
    pub fn record_follower(&mut self, now: Time, host: &Name) {
        match self.followers.binary_search_by(|(held, _)| held.cmp(host)) {
            Ok(index) => self.followers[index].1 = now,
            Err(index) => self.followers.insert(index, (host.clone(), now)),
        }
    }

    /// What is due by the clock.
    pub fn poll(&mut self, now: Time, identity: &Identity, view: &View) -> RelayAction {
        if self.mode == Mode::Reading && now < self.hold_until {
            return RelayAction::Nothing;
        }
        let overdue = |source: &Source| {
            let asked = source.asked;
            asked.is_some_and(|asked| now.since(asked) >= self.interval + self.interval / 4)
        };
        if self.sources.iter().any(overdue) {
            return self.fail(now, "a reader did not answer in time");
        }
        if now.since(self.asked_at) < self.interval {
            return RelayAction::Nothing;
        }
        self.asked_at = now;
        self.forget_followers(now);
        if !self.choose(now, identity, view) {
            self.sources.clear();
            return match std::mem::replace(&mut self.mode, Mode::Reading) {
                Mode::Reading => RelayAction::Nothing,
                Mode::Following(_) => RelayAction::Read("this node is a reader"),
            };
        }
        match self.mode {
            // All have to answer before the node follows, the sooner the fewer reads it makes.
            Mode::Reading => {
                let unheard = |index: &usize| !self.sources[*index].is_reading;
                let unheard: Vec<usize> = (0..self.sources.len()).filter(unheard).collect();
                let asked = unheard.into_iter().filter_map(|index| self.ask(now, index));
                RelayAction::Ask(asked.collect())
            }
            Mode::Following(_) => {
                self.turn = (self.turn + 1) % self.sources.len();
                RelayAction::Ask(self.ask(now, self.turn).into_iter().collect())
            }
        }
    }

    /// A reader has news for its followers; asks it unless that is under way.
    pub fn on_notification(&mut self, now: Time, from: &Name) -> RelayAction {
        let Some(index) = self.index(from) else {
            return RelayAction::Nothing;
        };
        self.sources[index].has_news = true;
        RelayAction::Ask(self.ask(now, index).into_iter().collect())
    }

    /// Whether a node is one of the readers that this one asks.
    pub fn is_source(&self, host: &Name) -> bool {
        self.index(host).is_some()
    }

    /// A node answered a question; `is_reader` tells whether it reads the log.
    pub fn on_reply(&mut self, now: Time, from: &Name, is_reader: bool) -> RelayAction {
        let Some(index) = self.index(from) else {
            return RelayAction::Nothing;
        };
        let source = &mut self.sources[index];
        source.asked = None;
        source.is_reading = is_reader;
        let has_news = source.has_news;
        if !is_reader {
            self.sources.remove(index);
        }
        let answering = self.sources.iter().filter(|source| source.is_reading);
        match (self.mode, answering.count()) {
            (Mode::Reading, count) if count >= MIN_SOURCES && count == self.sources.len() => {
                self.mode = Mode::Following(now);
                RelayAction::Follow
            }
            (Mode::Following(_), count) if count < MIN_SOURCES => {
                self.fail(now, "too few readers are left")
            }
            _ if is_reader && has_news => {
                RelayAction::Ask(self.ask(now, index).into_iter().collect())
            }
            _ => RelayAction::Nothing,
        }
    }

    /// A node could not be reached.
    pub fn on_unreachable(&mut self, now: Time, host: &Name) -> RelayAction {
        match self.index(host) {
            Some(_) => self.fail(now, "a reader cannot be reached"),
            None => RelayAction::Nothing,
        }
    }

    /// Goes back to the log, for a while that grows with repeated failures.
    pub fn fail(&mut self, now: Time, reason: &'static str) -> RelayAction {
        self.sources.clear();
        let mode = std::mem::replace(&mut self.mode, Mode::Reading);
        if let Mode::Following(since) = mode
            && now.since(since) >= CALM
        {
            self.hold = MIN_HOLD;
        }
        self.hold_until = now + self.hold;
        self.hold = (self.hold * 2).min(MAX_HOLD);
        match mode {
            Mode::Reading => RelayAction::Nothing,
            Mode::Following(_) => RelayAction::Read(reason),
        }
    }

    /// Asks a source unless it has a question already.
    fn ask(&mut self, now: Time, index: usize) -> Option<Name> {
        let source = &mut self.sources[index];
        if source.asked.is_some() {
            return None;
        }
        source.asked = Some(now);
        source.has_news = false;
        Some(source.host.clone())
    }

    /// Place of a source.
    fn index(&self, host: &Name) -> Option<usize> {
        self.sources.iter().position(|source| source.host == *host)
    }

    /// Fills up the sources with readers of the own failure domain; false for a node that is to read
    /// itself.
    fn choose(&mut self, now: Time, identity: &Identity, view: &View) -> bool {
        let near = view
            .live()
            .filter(|member| member.failure_domain == identity.failure_domain);
        let mut ranked: Vec<(u64, &Name)> = near
            .map(|member| (name::rendezvous(READER_KEY, &member.host), &member.host))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let count = readers(ranked.len());
        // A node with followers goes on reading for them when others with a higher rank join.
        let has_followers = self.followers(now).next().is_some();
        let kept = if has_followers { 2 * count } else { count };
        let is_own = |(_, host): &(u64, &Name)| **host == identity.host;
        if ranked.len() <= count || ranked.iter().take(kept).any(is_own) {
            return false;
        }
        let mut readers: Vec<&Name> = ranked[..count].iter().map(|(_, host)| *host).collect();
        readers.sort_by_key(|host| name::rendezvous(&identity.host, host));
        for host in readers {
            if self.sources.len() < SOURCES && self.index(host).is_none() {
                self.sources.push(Source {
                    host: host.clone(),
                    asked: None,
                    is_reading: false,
                    has_news: false,
                });
            }
        }
        true
    }

    /// Forgets those that have stopped asking.
    fn forget_followers(&mut self, now: Time) {
        let kept: Vec<Name> = self.followers(now).cloned().collect();
        self.followers
            .retain(|(host, _)| kept.binary_search(host).is_ok());
    }
}

/// Readers of a failure domain with so many live nodes: the square root balances the calls to the log
/// against the followers of each reader.
fn readers(nodes: usize) -> usize {
    (nodes as f64).sqrt().ceil().max(MIN_READERS as f64) as usize
}
