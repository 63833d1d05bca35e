//! Model of a service's backend servers: Poisson calls with outcomes and latencies, counted in the
//! product's own books.

use std::time::Duration;

use buckthorn::name::Name;
use buckthorn::rollout::evidence::{Outcome, Recorder, Report};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::case::{Case, Kind, ROUTES};

/// Spread of latencies: standard deviation of their logarithm.
const SPREAD: f64 = 0.5;

/// Calls in which a new server warms up.
const COLD_CALLS: u64 = 10;

/// Factor by which a cold server is slower.
const COLD_FACTOR: f64 = 2.0;

/// Time constant of the measured load, in seconds.
const LOAD_SECONDS: f64 = 2.0;

/// Latency of a call that times out.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Version that moves leave.
pub const OLD: &str = "v1";

/// Version that moves go to.
pub const NEW: &str = "v2";

/// One backend server with its owner.
#[derive(Debug)]
pub struct Server {
    /// Host.
    pub host: Name,
    /// Whether it runs the new version.
    pub is_new: bool,
    /// Failure domain.
    pub domain: usize,
    /// Owner's counts.
    pub recorder: Recorder,
    /// Incarnation of the owner's node.
    pub incarnation: u64,
    /// Calls served.
    pub calls: u64,
    /// Calls of the present second that failed and all, for health reports.
    pub health: (f64, f64),
}

/// The service with both versions.
#[derive(Debug)]
pub struct Model<'a> {
    /// Case.
    case: &'a Case,
    /// Servers, the old version's first.
    pub servers: Vec<Server>,
    /// Calls a second on the new version of late.
    load: f64,
    /// Random numbers of the calls.
    rng: ChaCha8Rng,
}

/// What one tick's calls came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    /// Calls in all.
    pub calls: u64,
    /// Calls on the new version.
    pub new: u64,
    /// Calls harmed by the new version's fault.
    pub harmed: u64,
}

impl<'a> Model<'a> {
    /// Model at the start.
    pub fn new(case: &'a Case, rng: ChaCha8Rng) -> Self {
        let servers = case.service.servers;
        let server = |index: usize| Server {
            host: format!("host-{index:02}").into(),
            is_new: index >= servers,
            domain: index % 3,
            recorder: Recorder::new(),
            incarnation: 1,
            calls: 0,
            health: (0.0, 0.0),
        };
        Self {
            case,
            servers: (0..2 * servers).map(server).collect(),
            load: 0.0,
            rng,
        }
    }

    /// Whether the failure domain of a server is out of service.
    pub fn is_out(&self, server: &Server, at: f64) -> bool {
        self.case.kind == Kind::DomainOut && server.domain == 0 && self.is_disturbed(at)
    }

    /// Whether the case's disturbance is on.
    pub fn is_disturbed(&self, at: f64) -> bool {
        at >= self.case.onset && at < self.case.onset + self.case.disturbance_length
    }

    /// Serves the calls of one tick at a share, `at` seconds after the move's start.
    pub fn tick(&mut self, at: f64, seconds: f64, share: u16) -> Served {
        let mut served = Served::default();
        for _ in 0..poisson(self.case.rate * seconds, &mut self.rng) {
            let is_new = self.rng.random_range(0..1_000) < share;
            let usable: Vec<usize> = (0..self.servers.len())
                .filter(|&i| self.servers[i].is_new == is_new)
                .filter(|&i| !self.is_out(&self.servers[i], at))
                .collect();
            let index = usable[self.rng.random_range(0..usable.len())];
            let is_harmed = self.call(index, at);
            served.calls += 1;
            served.new += u64::from(is_new);
            served.harmed += u64::from(is_harmed);
        }
        let weight = (-seconds / LOAD_SECONDS).exp();
        self.load = self.load * weight + served.new as f64 / seconds * (1.0 - weight);
        for server in &mut self.servers {
            server.health.0 *= weight;
            server.health.1 *= weight;
        }
        served
    }

    /// Serves one call; says whether a fault of the new version harmed it.
    fn call(&mut self, index: usize, at: f64) -> bool {
        let route = self.draw_route();
        let (is_hit, slowness) = self.fault(index, route, at);
        let (is_common, common_slowness) = self.disturbance(index, at);
        let is_base = self.rng.random_bool(self.case.base_error_rate);
        let is_cold = self.servers[index].is_new && self.servers[index].calls < COLD_CALLS;
        let cold = if is_cold { COLD_FACTOR } else { 1.0 };
        let scatter = (SPREAD * gauss(&mut self.rng)).exp();
        let millis = self.case.service.median_ms * scatter * cold * slowness * common_slowness;
        let latency = Duration::from_secs_f64(millis / 1e3);
        let outcome = match self.case.kind {
            Kind::BrokenBodies if is_hit => Outcome::Broken,
            _ if is_hit || is_common || is_base => match self.rng.random_range(0..3) {
                0 => Outcome::Timeout,
                1 => Outcome::Reset,
                _ => Outcome::Error,
            },
            _ => Outcome::Ok,
        };
        let latency = match outcome {
            Outcome::Timeout => TIMEOUT,
            _ => latency,
        };
        let server = &mut self.servers[index];
        server.recorder.record(ROUTES[route].0, outcome, latency);
        server.calls += 1;
        server.health.1 += 1.0;
        let is_seen = !matches!(outcome, Outcome::Ok | Outcome::Broken);
        server.health.0 += f64::from(u8::from(is_seen));
        is_hit || slowness > 1.0
    }

    /// Effect of the new version's fault on one call: whether it fails, and its slowness.
    fn fault(&mut self, index: usize, route: usize, at: f64) -> (bool, f64) {
        if !self.servers[index].is_new {
            return (false, 1.0);
        }
        let case = self.case;
        let is_on = match case.kind {
            Kind::FailsAtOnce | Kind::BrokenBodies | Kind::GoodHealth | Kind::SlowAtOnce => true,
            Kind::FailsLater | Kind::SlowLater | Kind::FailsInOutage | Kind::FailsLagging => {
                at >= case.onset
            }
            Kind::AboveLoad => self.load > case.load_threshold * case.rate,
            Kind::OneRoute => route == case.faulty_route,
            Kind::SomeHosts => index - case.service.servers < case.faulty_hosts,
            _ => false,
        };
        if !is_on {
            return (false, 1.0);
        }
        if matches!(case.kind, Kind::SlowAtOnce | Kind::SlowLater) {
            return (false, case.slowdown);
        }
        (self.rng.random_bool(case.severity), 1.0)
    }

    /// Effect of what is no fault of the new version on one call.
    fn disturbance(&mut self, index: usize, at: f64) -> (bool, f64) {
        let case = self.case;
        let is_last_host = index + 1 == self.servers.len();
        match case.kind {
            Kind::CommonFailure | Kind::CommonInOutage | Kind::LaggingReports
                if self.is_disturbed(at) =>
            {
                (self.rng.random_bool(case.severity), 1.0)
            }
            Kind::CommonSlowness if self.is_disturbed(at) => (false, case.slowdown),
            Kind::OneBadHost if is_last_host && at >= case.onset => {
                (self.rng.random_bool(case.severity), 1.0)
            }
            Kind::ColdAgain if is_last_host && self.is_disturbed(at) => (false, 3.0),
            _ => (false, 1.0),
        }
    }

    /// Draws a route.
    fn draw_route(&mut self) -> usize {
        let mut draw: f64 = self.rng.random_range(0.0..1.0);
        for (index, (_, part)) in ROUTES.iter().enumerate() {
            draw -= part;
            if draw < 0.0 {
                return index;
            }
        }
        ROUTES.len() - 1
    }

    /// Restarts the node of a server: its counts start anew.
    pub fn restart(&mut self, index: usize) {
        let server = &mut self.servers[index];
        server.incarnation += 1;
        server.recorder = Recorder::new();
    }

    /// Report of a server's owner.
    pub fn report(&self, index: usize) -> Report {
        let server = &self.servers[index];
        let version = if server.is_new { NEW } else { OLD };
        server.recorder.report(
            &server.host,
            server.incarnation,
            &self.case.service.name.into(),
            &version.into(),
        )
    }

    /// Part of the new version's servers whose health reports are bad.
    pub fn unhealthy_share(&self) -> f64 {
        let new = || self.servers.iter().filter(|s| s.is_new);
        let bad = new().filter(|s| {
            let is_bad = s.health.1 > 0.5 && s.health.0 / s.health.1 >= 0.5;
            is_bad && self.case.kind != Kind::GoodHealth
        });
        bad.count() as f64 / new().count() as f64
    }
}

/// Draws a Poisson number by counting exponential gaps.
fn poisson(mean: f64, rng: &mut ChaCha8Rng) -> u64 {
    let mut count = 0;
    let mut sum = 0.0;
    loop {
        sum -= rng.random_range(f64::MIN_POSITIVE..1.0f64).ln();
        if sum > mean {
            return count;
        }
        count += 1;
    }
}

/// Draws a standard normal number (Box and Muller).
fn gauss(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * rng.random_range(f64::MIN_POSITIVE..1.0f64).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random_range(0.0..1.0f64)).cos()
}
