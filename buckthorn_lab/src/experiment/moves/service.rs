//! Model of a service's backend servers: Poisson arrivals with random outcomes and latencies,
//! recorded by the product's evidence recorder.

use std::time::Duration;

use buckthorn::name::Name;
use buckthorn::rollout::evidence::{Outcome, Recorder, Report};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::case::{Case, Kind, ROUTES};

/// Standard deviation of the logarithm of latencies.
const LATENCY_SIGMA: f64 = 0.5;

/// Number of calls after which a server of the new version is warm.
const WARM_UP_CALLS: u64 = 10;

/// Factor on the latency of a cold server.
const COLD_FACTOR: f64 = 2.0;

/// Time constant of the moving averages of load and health, in seconds.
const LOAD_TIME_CONSTANT_SECS: f64 = 2.0;

/// Recorded latency of a call that times out.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Version that moves start from.
pub const OLD: &str = "v1";

/// Version that moves shift traffic to.
pub const NEW: &str = "v2";

/// A backend server and its owner.
#[derive(Debug)]
pub struct Server {
    /// Name of the host.
    pub host: Name,
    /// Whether it runs the new version.
    pub is_new: bool,
    /// Index of the failure domain.
    pub domain: usize,
    /// Evidence recorder of the owner.
    pub recorder: Recorder,
    /// Incarnation of the owner's node.
    pub incarnation: u64,
    /// Number of calls served.
    pub calls: u64,
    /// Moving sums of the failed calls and of all calls, for health reports.
    pub health: (f64, f64),
}

/// Servers of both versions of the service.
#[derive(Debug)]
pub struct Model<'a> {
    /// Parameters of the move.
    case: &'a Case,
    /// Servers, the old version's first.
    pub servers: Vec<Server>,
    /// Moving average of the calls per second on the new version.
    load: f64,
    /// Random numbers of the calls.
    rng: ChaCha8Rng,
}

/// Counts of the calls in one tick.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    /// Calls on both versions.
    pub calls: u64,
    /// Calls on the new version.
    pub new: u64,
    /// Calls harmed by the new version's fault.
    pub harmed: u64,
}

impl<'a> Model<'a> {
    /// Creates the model at the start of a run.
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

    /// Returns whether the failure domain of a server is out of service, `at` seconds after the
    /// move's start.
    pub fn is_out(&self, server: &Server, at: f64) -> bool {
        self.case.kind == Kind::DomainOut && server.domain == 0 && self.is_disturbed(at)
    }

    /// Returns whether the case's disturbance is active, `at` seconds after the move's start.
    pub fn is_disturbed(&self, at: f64) -> bool {
        at >= self.case.onset && at < self.case.onset + self.case.disturbance_length
    }

    /// Serves the calls of one tick with `share` thousandths on the new version, `at` seconds after
    /// the move's start.
    pub fn tick(&mut self, at: f64, seconds: f64, share: u16) -> Served {
        let mut served = Served::default();
        for _ in 0..poisson(self.case.rate * seconds, &mut self.rng) {
            let is_new = self.rng.random_range(0..1_000) < share;
            let usable: Vec<usize> = (0..self.servers.len())
                .filter(|&i| self.servers[i].is_new == is_new)
                .filter(|&i| !self.is_out(&self.servers[i], at))
                .collect();
            let index = usable[self.rng.random_range(0..usable.len())];
            let is_harmed = self.serve_call(index, at);
            served.calls += 1;
            served.new += u64::from(is_new);
            served.harmed += u64::from(is_harmed);
        }
        let weight = (-seconds / LOAD_TIME_CONSTANT_SECS).exp();
        self.load = self.load * weight + served.new as f64 / seconds * (1.0 - weight);
        for server in &mut self.servers {
            server.health.0 *= weight;
            server.health.1 *= weight;
        }
        served
    }

    /// Serves one call and returns whether a fault of the new version harmed it.
    fn serve_call(&mut self, index: usize, at: f64) -> bool {
        let route = self.sample_route();
        let (is_faulty, fault_slowdown) = self.fault(index, route, at);
        let (is_disturbed_call, disturbance_slowdown) = self.disturbance(index, at);
        let is_base_error = self.rng.random_bool(self.case.base_error_rate);
        let is_cold = self.servers[index].is_new && self.servers[index].calls < WARM_UP_CALLS;
        let cold_slowdown = if is_cold { COLD_FACTOR } else { 1.0 };
        let latency_factor = (LATENCY_SIGMA * standard_normal(&mut self.rng)).exp();
        let millis = self.case.service.median_ms
            * latency_factor
            * cold_slowdown
            * fault_slowdown
            * disturbance_slowdown;
        let latency = Duration::from_secs_f64(millis / 1e3);
        let outcome = match self.case.kind {
            Kind::BrokenBodies if is_faulty => Outcome::Broken,
            _ if is_faulty || is_disturbed_call || is_base_error => {
                match self.rng.random_range(0..3) {
                    0 => Outcome::Timeout,
                    1 => Outcome::Reset,
                    _ => Outcome::Error,
                }
            }
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
        let is_visible_failure = !matches!(outcome, Outcome::Ok | Outcome::Broken);
        server.health.0 += f64::from(u8::from(is_visible_failure));
        is_faulty || fault_slowdown > 1.0
    }

    /// Returns the effect of the new version's fault on one call: whether it fails, and its latency
    /// factor.
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

    /// Returns the effect of the disturbance, which is no fault of the new version, on one call:
    /// whether it fails, and its latency factor.
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

    /// Draws the index of a route according to the routes' fractions.
    fn sample_route(&mut self) -> usize {
        let mut sample: f64 = self.rng.random_range(0.0..1.0);
        for (index, (_, fraction)) in ROUTES.iter().enumerate() {
            sample -= fraction;
            if sample < 0.0 {
                return index;
            }
        }
        ROUTES.len() - 1
    }

    /// Restarts the node of a server, whose counts start from zero.
    pub fn restart(&mut self, index: usize) {
        let server = &mut self.servers[index];
        server.incarnation += 1;
        server.recorder = Recorder::new();
    }

    /// Returns the evidence report of a server's owner.
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

    /// Returns the fraction of the new version's servers that report at least half of their recent
    /// calls as failed; zero under [`Kind::GoodHealth`].
    pub fn unhealthy_share(&self) -> f64 {
        let new = || self.servers.iter().filter(|s| s.is_new);
        let bad = new().filter(|s| {
            let is_bad = s.health.1 > 0.5 && s.health.0 / s.health.1 >= 0.5;
            is_bad && self.case.kind != Kind::GoodHealth
        });
        bad.count() as f64 / new().count() as f64
    }
}

/// Samples a Poisson distribution by counting exponential gaps.
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

/// Samples the standard normal distribution (Box-Muller transform).
fn standard_normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * rng.random_range(f64::MIN_POSITIVE..1.0f64).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random_range(0.0..1.0f64)).cos()
}
