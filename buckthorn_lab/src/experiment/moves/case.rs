//! Cases of the experiment: services, loads, faults and disturbances, drawn from a seed.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// A service of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// Name of the service.
    pub name: &'static str,
    /// Number of backend servers of each version.
    pub servers: usize,
    /// Slots of each backend server.
    pub slots: u32,
    /// Median latency in milliseconds.
    pub median_ms: f64,
    /// Calls per second, from light to heavy traffic.
    pub rates: [f64; 4],
}

/// Services of both deployments.
pub const SERVICES: [Service; 4] = [
    Service {
        name: "card-desk",
        servers: 10,
        slots: 10,
        median_ms: 8.0,
        rates: [1.0, 8.0, 40.0, 150.0],
    },
    Service {
        name: "proof-vault",
        servers: 3,
        slots: 10,
        median_ms: 60.0,
        rates: [0.5, 3.0, 10.0, 40.0],
    },
    Service {
        name: "rungs",
        servers: 8,
        slots: 12,
        median_ms: 6.0,
        rates: [1.0, 8.0, 40.0, 120.0],
    },
    Service {
        name: "replay",
        servers: 3,
        slots: 12,
        median_ms: 120.0,
        rates: [0.5, 2.0, 8.0, 30.0],
    },
];

/// Routes of every service with their fraction of the calls.
pub const ROUTES: [(&str, f64); 4] = [
    ("/lookup", 0.5),
    ("/orders", 0.3),
    ("/lists", 0.15),
    ("/admin", 0.05),
];

/// Fault or disturbance during a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Good: no fault or disturbance.
    Plain,
    /// Good: a shared dependency fails for a while under both versions.
    CommonFailure,
    /// Good: a shared dependency is slow for a while under both versions.
    CommonSlowness,
    /// Good: one host of the new version fails its calls.
    OneBadHost,
    /// Good: one server of the new version is slow for a while, as after a cold start.
    ColdAgain,
    /// Good: some owners' reports lag or are lost, and a shared dependency fails for a while.
    LaggingReports,
    /// Good: owners restart and their counts start from zero.
    Restarts,
    /// Good: a failure domain is out of service for a while.
    DomainOut,
    /// Good: the log is down for a part of the move.
    LogOutage,
    /// Good: the log is down while a shared dependency fails under both versions.
    CommonInOutage,
    /// Good: the lease passes to another holder, whose evaluation starts without evidence.
    HolderChange,
    /// Bad: calls fail from the start.
    FailsAtOnce,
    /// Bad: calls are slow from the start.
    SlowAtOnce,
    /// Bad: calls fail from a certain time on.
    FailsLater,
    /// Bad: calls are slow from a certain time on.
    SlowLater,
    /// Bad: calls fail above a certain load.
    AboveLoad,
    /// Bad: calls fail on one route.
    OneRoute,
    /// Bad: calls fail on two or more hosts.
    SomeHosts,
    /// Bad: responses have a success status but a broken body.
    BrokenBodies,
    /// Bad: calls fail while health reports stay good.
    GoodHealth,
    /// Bad: calls fail while the log is down.
    FailsInOutage,
    /// Bad: calls fail while some owners' reports lag or are lost.
    FailsLagging,
}

impl Kind {
    /// Kinds of moves to a good version.
    pub const GOOD: [Self; 11] = [
        Self::Plain,
        Self::CommonFailure,
        Self::CommonSlowness,
        Self::OneBadHost,
        Self::ColdAgain,
        Self::LaggingReports,
        Self::Restarts,
        Self::DomainOut,
        Self::LogOutage,
        Self::CommonInOutage,
        Self::HolderChange,
    ];

    /// Kinds of moves to a bad version.
    pub const BAD: [Self; 11] = [
        Self::FailsAtOnce,
        Self::SlowAtOnce,
        Self::FailsLater,
        Self::SlowLater,
        Self::AboveLoad,
        Self::OneRoute,
        Self::SomeHosts,
        Self::BrokenBodies,
        Self::GoodHealth,
        Self::FailsInOutage,
        Self::FailsLagging,
    ];

    /// Returns whether the new version is bad.
    pub fn is_bad(self) -> bool {
        Self::BAD.contains(&self)
    }
}

/// Parameters of one simulated move.
#[derive(Clone, Debug)]
pub struct Case {
    /// Fault or disturbance.
    pub kind: Kind,
    /// Service whose traffic moves.
    pub service: Service,
    /// Calls per second.
    pub rate: f64,
    /// Time from start to deadline, in seconds.
    pub length: f64,
    /// Fraction of the calls that fail on both versions at all times.
    pub base_error_rate: f64,
    /// Fraction of the calls that fail under a fault or disturbance that causes failures.
    pub severity: f64,
    /// Latency factor under a fault or disturbance that slows calls down.
    pub slowdown: f64,
    /// Start of the fault or disturbance, in seconds after the move's start.
    pub onset: f64,
    /// Duration of the disturbance, in seconds.
    pub disturbance_length: f64,
    /// Fraction of the full rate above which [`Kind::AboveLoad`] fails calls.
    pub load_threshold: f64,
    /// Index of the route on which [`Kind::OneRoute`] fails calls.
    pub faulty_route: usize,
    /// Number of the new version's hosts on which [`Kind::SomeHosts`] fails calls.
    pub faulty_hosts: usize,
    /// Seed of the calls and of all other randomness in the run.
    pub seed: u64,
}

impl Case {
    /// Draws a case; kind, index and seed determine it.
    pub fn draw(kind: Kind, index: usize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (index as u64) << 20 ^ (kind as u64) << 40);
        let service = SERVICES[index % SERVICES.len()];
        let rate = service.rates[(index / SERVICES.len()) % service.rates.len()];
        let length = rng.random_range(1_200.0..3_600.0);
        let late = if rng.random_bool(0.25) { 1.1 } else { 0.95 };
        // Log-uniform from a twelfth of the calls to all of them.
        let severity = (rng.random_range(0.0..1.0f64) * 12f64.ln()).exp() / 12.0;
        Self {
            kind,
            service,
            rate,
            length,
            base_error_rate: (rng.random_range(0.0..1.0f64) * 10f64.ln()).exp() * 0.0005,
            severity,
            slowdown: rng.random_range(2.0..6.0),
            onset: length * rng.random_range(0.02..late),
            disturbance_length: length * rng.random_range(0.02..0.3),
            load_threshold: rng.random_range(0.1..0.9),
            faulty_route: rng.random_range(0..3),
            faulty_hosts: rng.random_range(2..=service.servers.div_ceil(2).max(2)),
            seed: rng.random(),
        }
    }
}
