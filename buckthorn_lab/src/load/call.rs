//! Generated calls and the traffic mix of each deployment.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Size of a large download in bytes.
const DOWNLOAD_BYTES: usize = 256 * 1024;
/// Number of distinct resources in paths.
const RESOURCES: u32 = 10_000;

/// User deployment whose services and paths the calls use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Deployment {
    /// Cards and print proofs; services `card-desk` and `proof-vault`.
    #[default]
    Fernleaf,
    /// Ladder standings and match videos; services `rungs` and `replay`.
    Otjiwarongo,
}

impl Deployment {
    /// Parses a deployment's name.
    ///
    /// # Errors
    ///
    /// Fails on an unknown name; the message lists the known ones.
    pub fn parse(name: &str) -> anyhow::Result<Self> {
        match name {
            "fernleaf" => Ok(Self::Fernleaf),
            "otjiwarongo" => Ok(Self::Otjiwarongo),
            _ => anyhow::bail!("deployment {name} is neither fernleaf nor otjiwarongo"),
        }
    }

    /// Service that handles calls of a kind.
    pub const fn service(self, kind: Kind) -> &'static str {
        match (self, kind) {
            (Self::Fernleaf, Kind::Download) => "proof-vault",
            (Self::Fernleaf, _) => "card-desk",
            (Self::Otjiwarongo, Kind::Download) => "replay",
            (Self::Otjiwarongo, _) => "rungs",
        }
    }

    /// Path prefix of calls of a kind.
    const fn prefix(self, kind: Kind) -> &'static str {
        match (self, kind) {
            (Self::Fernleaf, Kind::Lookup) => "/cards",
            (Self::Fernleaf, Kind::Order) => "/orders",
            (Self::Fernleaf, Kind::Download) => "/proofs",
            (Self::Fernleaf, Kind::Check) => "/templates",
            (Self::Otjiwarongo, Kind::Lookup) => "/ratings",
            (Self::Otjiwarongo, Kind::Order) => "/challenges",
            (Self::Otjiwarongo, Kind::Download) => "/bundles",
            (Self::Otjiwarongo, Kind::Check) => "/seedings",
        }
    }
}

/// Kind of a call, which determines method, priority and body size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Idempotent GET request for a small body.
    Lookup,
    /// POST request with an idempotency key, which must run at most once.
    Order,
    /// GET request for a large body.
    Download,
    /// GET request for a small body with the highest priority.
    Check,
}

impl Kind {
    /// Every kind, in the order of reports.
    pub const ALL: [Self; 4] = [Self::Lookup, Self::Order, Self::Download, Self::Check];

    /// Text of the kind in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Lookup => "lookup",
            Self::Order => "order",
            Self::Download => "download",
            Self::Check => "check",
        }
    }

    /// Urgency of the RFC 9218 priority; 0 is the most urgent.
    pub const fn urgency(self) -> u8 {
        match self {
            Self::Check => 0,
            Self::Order => 2,
            Self::Lookup => 3,
            Self::Download => 5,
        }
    }

    /// Share in the traffic mix, in percent; the shares add up to 100.
    const fn percent(self) -> u32 {
        match self {
            Self::Lookup => 70,
            Self::Order => 15,
            Self::Download => 5,
            Self::Check => 10,
        }
    }
}

/// One generated call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Kind of the call.
    pub kind: Kind,
    /// Service, sent as the `host` header.
    pub service: &'static str,
    /// Path and query of the request.
    pub path: String,
    /// Request id, unique within a run; also the idempotency key of orders.
    pub id: String,
}

/// Generates the calls of a deployment's traffic mix.
#[derive(Clone, Debug)]
pub struct Mix {
    /// Deployment whose services are called.
    deployment: Deployment,
    /// Prefix of the request ids.
    id_prefix: String,
    /// Number of calls generated.
    count: u64,
}

impl Mix {
    /// Creates a mix; `id_prefix` keeps the request ids of different runs apart.
    pub fn new(deployment: Deployment, id_prefix: impl Into<String>) -> Self {
        Self {
            deployment,
            id_prefix: id_prefix.into(),
            count: 0,
        }
    }

    /// Draws a call whose kind follows the shares of the mix.
    pub fn draw(&mut self, rng: &mut ChaCha8Rng) -> Call {
        let mut draw = rng.random_range(0..100);
        let kind = Kind::ALL.into_iter().find(|kind| {
            let is_drawn = draw < kind.percent();
            draw = draw.saturating_sub(kind.percent());
            is_drawn
        });
        self.draw_kind(kind.unwrap_or(Kind::Lookup), rng)
    }

    /// Draws a call of a kind.
    pub fn draw_kind(&mut self, kind: Kind, rng: &mut ChaCha8Rng) -> Call {
        self.count += 1;
        let resource = rng.random_range(0..RESOURCES);
        let prefix = self.deployment.prefix(kind);
        let path = match kind {
            Kind::Order => prefix.to_owned(),
            Kind::Download => format!("{prefix}/{resource}?bytes={DOWNLOAD_BYTES}"),
            Kind::Lookup | Kind::Check => format!("{prefix}/{resource}"),
        };
        Call {
            kind,
            service: self.deployment.service(kind),
            path,
            id: format!("{}-{}", self.id_prefix, self.count),
        }
    }
}
