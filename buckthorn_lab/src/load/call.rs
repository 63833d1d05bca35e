//! Calls of both deployments and their mix.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Bytes of a large download.
const DOWNLOAD_BYTES: usize = 256 * 1024;
/// Different things that calls ask for.
const THINGS: u32 = 10_000;

/// A deployment of the users.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Deployment {
    /// Cards and print proofs.
    #[default]
    Fernleaf,
    /// Ladder standings and match videos.
    Otjiwarongo,
}

impl Deployment {
    /// Deployment by name.
    ///
    /// # Errors
    ///
    /// Names the names that exist.
    pub fn parse(name: &str) -> anyhow::Result<Self> {
        match name {
            "fernleaf" => Ok(Self::Fernleaf),
            "otjiwarongo" => Ok(Self::Otjiwarongo),
            _ => anyhow::bail!("deployment {name} is neither fernleaf nor otjiwarongo"),
        }
    }

    /// Service that takes a kind of call.
    pub const fn service(self, kind: Kind) -> &'static str {
        match (self, kind) {
            (Self::Fernleaf, Kind::Download) => "proof-vault",
            (Self::Fernleaf, _) => "card-desk",
            (Self::Otjiwarongo, Kind::Download) => "replay",
            (Self::Otjiwarongo, _) => "rungs",
        }
    }

    /// Path prefix of a kind of call.
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

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Idempotent lookup.
    Lookup,
    /// Order that must run at most once, with an idempotency key.
    Order,
    /// Large download that must finish.
    Download,
    /// Check that goes before other calls.
    Check,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 4] = [Self::Lookup, Self::Order, Self::Download, Self::Check];

    /// Name in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Lookup => "lookup",
            Self::Order => "order",
            Self::Download => "download",
            Self::Check => "check",
        }
    }

    /// Priority by RFC 9218 urgency.
    pub const fn urgency(self) -> u8 {
        match self {
            Self::Check => 0,
            Self::Order => 2,
            Self::Lookup => 3,
            Self::Download => 5,
        }
    }

    /// Share in the mix, in hundredths.
    const fn percent(self) -> u32 {
        match self {
            Self::Lookup => 70,
            Self::Order => 15,
            Self::Download => 5,
            Self::Check => 10,
        }
    }
}

/// One call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Kind.
    pub kind: Kind,
    /// Service.
    pub service: &'static str,
    /// Path and query.
    pub path: String,
    /// Identifier, different for each call.
    pub id: String,
}

/// Draws calls of a mix.
#[derive(Clone, Debug)]
pub struct Mix {
    /// Deployment.
    deployment: Deployment,
    /// Start of the identifiers.
    run: String,
    /// Calls drawn.
    drawn: u64,
}

impl Mix {
    /// Mix of a deployment's calls; `run` tells the identifiers of runs apart.
    pub fn new(deployment: Deployment, run: impl Into<String>) -> Self {
        Self {
            deployment,
            run: run.into(),
            drawn: 0,
        }
    }

    /// Draws a call of any kind.
    pub fn draw(&mut self, rng: &mut ChaCha8Rng) -> Call {
        let mut draw = rng.random_range(0..100);
        let kind = Kind::ALL.into_iter().find(|kind| {
            let is_hit = draw < kind.percent();
            draw = draw.saturating_sub(kind.percent());
            is_hit
        });
        self.draw_kind(kind.unwrap_or(Kind::Lookup), rng)
    }

    /// Draws a call of a kind.
    pub fn draw_kind(&mut self, kind: Kind, rng: &mut ChaCha8Rng) -> Call {
        self.drawn += 1;
        let thing = rng.random_range(0..THINGS);
        let prefix = self.deployment.prefix(kind);
        let path = match kind {
            Kind::Order => prefix.to_owned(),
            Kind::Download => format!("{prefix}/{thing}?bytes={DOWNLOAD_BYTES}"),
            Kind::Lookup | Kind::Check => format!("{prefix}/{thing}"),
        };
        Call {
            kind,
            service: self.deployment.service(kind),
            path,
            id: format!("{}-{}", self.run, self.drawn),
        }
    }
}
