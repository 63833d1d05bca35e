//! Orders as one node passes them to another.
//!
//! A policy is some hundred kilobytes of much repeated text, and hosts have links of 10 Mbit/s, so it
//! travels compressed, and only where the other node does not have it yet.

use std::io::{Read, Write};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, ensure};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};

use crate::name::Name;

use super::order::{Entry, Order, OrderBatch, Orders};
use super::policy::Policy;

/// Most bytes of a compressed policy in an excerpt, below what a control message may take.
pub const MAX_COMPRESSED_BYTES: usize = 512 * 1024;

/// Most bytes that a policy may take once decompressed.
const MAX_POLICY_BYTES: u64 = 16 * 1024 * 1024;

/// Compressed policy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompressedPolicy(Arc<str>);

impl CompressedPolicy {
    /// Compresses a policy.
    ///
    /// # Errors
    ///
    /// Fails when it takes more than [`MAX_COMPRESSED_BYTES`].
    pub fn new(policy: &Policy) -> anyhow::Result<Self> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&serde_json::to_vec(policy)?)?;
        let text = STANDARD.encode(encoder.finish()?);
        ensure!(
            text.len() <= MAX_COMPRESSED_BYTES,
            "the policy takes {} bytes in compressed form, more than {MAX_COMPRESSED_BYTES}",
            text.len()
        );
        Ok(Self(text.into()))
    }

    /// Decompresses the policy.
    ///
    /// # Errors
    ///
    /// Fails when it is malformed, too large, or has a route that leads nowhere.
    pub fn decompress(&self) -> anyhow::Result<Policy> {
        let bytes = STANDARD.decode(&*self.0).context("malformed base64")?;
        let mut text = Vec::new();
        DeflateDecoder::new(&*bytes)
            .take(MAX_POLICY_BYTES)
            .read_to_end(&mut text)
            .context("malformed compression")?;
        let policy: Policy = serde_json::from_slice(&text).context("malformed policy")?;
        ensure!(policy.is_valid(), "the policy breaks its invariants");
        Ok(policy)
    }
}

/// Order that is not a policy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SmallOrder {
    /// Move of a service.
    Move {
        /// Service.
        service: Name,
        /// Version to move to.
        version: Name,
        /// Time in which the move is to be completed.
        window: Duration,
    },
    /// Failure domain that was taken out of service or back.
    Domain {
        /// Failure domain.
        name: Name,
        /// Whether it is out.
        is_out: bool,
    },
}

/// Orders in force at a node, as far as another does not have them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Excerpt {
    /// Offset after the last order read.
    pub next: u64,
    /// Policy with the offset of its order.
    pub policy: Option<(u64, CompressedPolicy)>,
    /// All moves and failure domains, with the offsets of their orders.
    pub rest: Vec<(u64, SmallOrder)>,
}

impl Excerpt {
    /// What a node that has read up to `from` lacks; the policy is compressed by `pack` if needed.
    pub fn new<E>(
        orders: &Orders,
        from: u64,
        pack: impl FnOnce(u64, &Policy) -> Result<CompressedPolicy, E>,
    ) -> Result<Self, E> {
        let policy = orders.policy_order().filter(|(offset, _)| *offset >= from);
        let policy = policy
            .map(|(offset, policy)| pack(offset, policy).map(|packed| (offset, packed)))
            .transpose()?;
        let moves = orders.moves().iter().map(|held| {
            let order = SmallOrder::Move {
                service: held.service.clone(),
                version: held.version.clone(),
                window: held.window,
            };
            (held.order, order)
        });
        let domains = orders.domains().map(|(offset, name, is_out)| {
            let name = name.clone();
            (offset, SmallOrder::Domain { name, is_out })
        });
        Ok(Self {
            next: orders.next(),
            policy,
            rest: moves.chain(domains).collect(),
        })
    }

    /// Orders as if they had been read.
    ///
    /// # Errors
    ///
    /// Fails when the policy cannot be decoded.
    pub fn to_batch(&self) -> anyhow::Result<OrderBatch> {
        let mut entries: Vec<Entry> = self.rest.iter().map(SmallOrder::entry).collect();
        if let Some((offset, packed)) = &self.policy {
            entries.push(Entry {
                offset: *offset,
                order: Order::Policy(Arc::new(packed.decompress()?)),
            });
        }
        Ok(OrderBatch {
            is_complete: true,
            end: self.next,
            follows_failure: false,
            entries,
        })
    }
}

impl SmallOrder {
    /// Order with its offset.
    fn entry((offset, order): &(u64, Self)) -> Entry {
        let order = match order.clone() {
            Self::Move {
                service,
                version,
                window,
            } => Order::Move {
                service,
                version,
                window,
            },
            Self::Domain { name, is_out } => Order::Domain { name, is_out },
        };
        Entry {
            offset: *offset,
            order,
        }
    }
}
