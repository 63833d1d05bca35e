//! Moves to be measured: deployments, loads, faults and disturbances, all drawn from a seed.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Deployed service.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// Name.
    pub name: &'static str,
    /// Backend servers of each version.
    pub servers: usize,
    /// Slots of a backend server.
    pub slots: u32,
    /// Median latency in milliseconds.
    pub median_ms: f64,
    /// Calls a second, from thin to heavy.
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

/// Routes of every service with their part of the calls.
pub const ROUTES: [(&str, f64); 4] = [
    ("/lookup", 0.5),
    ("/orders", 0.3),
    ("/lists", 0.15),
    ("/admin", 0.05),
];

/// What is special about a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Good: nothing happens.
    Plain,
    /// Good: a shared dependency fails for a while under both versions.
    CommonFailure,
    /// Good: a shared dependency is slow for a while under both versions.
    CommonSlowness,
    /// Good: one host of the new version fails its calls.
    OneBadHost,
    /// Good: one server of the new version turns cold again.
    ColdAgain,
    /// Good: some owners' reports lag or are lost, and a shared dependency fails for a while.
    LaggingReports,
    /// Good: owners restart and count from zero.
    Restarts,
    /// Good: a failure domain leaves and returns.
    DomainOut,
    /// Good: the log is down for a part of the move.
    LogOutage,
    /// Good: the log is down while a shared dependency fails under both versions.
    CommonInOutage,
    /// Good: the lease changes hands and the evidence starts anew.
    HolderChange,
    /// Bad: calls fail from the start.
    FailsAtOnce,
    /// Bad: calls are slow from the start.
    SlowAtOnce,
    /// Bad: calls fail from some time on.
    FailsLater,
    /// Bad: calls are slow from some time on.
    SlowLater,
    /// Bad: calls fail above some load.
    AboveLoad,
    /// Bad: calls fail on one route.
    OneRoute,
    /// Bad: calls fail on two or more hosts.
    SomeHosts,
    /// Bad: bodies are broken behind a status of success.
    BrokenBodies,
    /// Bad: calls fail while health reports stay good.
    GoodHealth,
    /// Bad: calls fail while the log is down.
    FailsInOutage,
    /// Bad: calls fail while some owners' reports lag or are lost.
    FailsLagging,
}

impl Kind {
    /// Kinds of good moves.
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

    /// Kinds of bad moves.
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

    /// Whether the new version is bad.
    pub fn is_bad(self) -> bool {
        Self::BAD.contains(&self)
    }
}

/// One move to be measured.
#[derive(Clone, Debug)]
pub struct Case {
    /// What is special about it.
    pub kind: Kind,
    /// Service.
    pub service: Service,
    /// Calls a second.
    pub rate: f64,
    /// Time from start to deadline, in seconds.
    pub length: f64,
    /// Part of the calls that fail on both versions at all times.
    pub base_error_rate: f64,
    /// Part of the calls that a failure hits.
    pub severity: f64,
    /// Factor of a slowness.
    pub slowdown: f64,
    /// Begin of the fault or disturbance, in seconds after the start.
    pub onset: f64,
    /// Length of the disturbance, in seconds.
    pub disturbance_length: f64,
    /// Part of the full rate above which load hurts.
    pub load_threshold: f64,
    /// Route hit.
    pub faulty_route: usize,
    /// Hosts hit, of the new version's.
    pub faulty_hosts: usize,
    /// Seed of the calls.
    pub seed: u64,
}

impl Case {
    /// Draws a case of a kind.
    pub fn draw(kind: Kind, index: usize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (index as u64) << 20 ^ (kind as u64) << 40);
        let service = SERVICES[index % SERVICES.len()];
        let rate = service.rates[(index / SERVICES.len()) % service.rates.len()];
        let length = rng.random_range(1_200.0..3_600.0);
        let late = if rng.random_bool(0.25) { 1.1 } else { 0.95 };
        // Failures hit from a twelfth of the calls to all of them, evenly on a logarithmic scale.
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
