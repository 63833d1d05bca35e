//! Encoding of orders that one node sends to another.
//!
//! A policy is some hundred kilobytes of repetitive text and hosts have links of 10 Mbit/s, so it
//! is sent compressed, and only to nodes that do not have it yet.

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
use super::position::Position;

/// Maximum bytes of a compressed policy in an excerpt, below the limit of a control message.
pub const MAX_COMPRESSED_BYTES: usize = 512 * 1024;

/// Maximum bytes of a decompressed policy; bounds the memory that decompression takes.
const MAX_POLICY_BYTES: u64 = 16 * 1024 * 1024;

/// Policy as JSON, compressed with DEFLATE and encoded in base64.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompressedPolicy(Arc<str>);

impl CompressedPolicy {
    /// Compresses a policy.
    ///
    /// # Errors
    ///
    /// Fails when the result exceeds [`MAX_COMPRESSED_BYTES`].
    pub fn new(policy: &Policy) -> anyhow::Result<Self> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&serde_json::to_vec(policy)?)?;
        let text = STANDARD.encode(encoder.finish()?);
        ensure!(
            text.len() <= MAX_COMPRESSED_BYTES,
            "the compressed policy has {} bytes, the limit is {MAX_COMPRESSED_BYTES}",
            text.len()
        );
        Ok(Self(text.into()))
    }

    /// Decompresses the policy.
    ///
    /// # Errors
    ///
    /// Fails when the policy is malformed, too large, or not [valid](Policy::is_valid).
    pub fn decompress(&self) -> anyhow::Result<Policy> {
        let bytes = STANDARD.decode(&*self.0).context("malformed base64")?;
        let mut text = Vec::new();
        DeflateDecoder::new(&*bytes)
            .take(MAX_POLICY_BYTES)
            .read_to_end(&mut text)
            .context("malformed DEFLATE data")?;
        let policy: Policy = serde_json::from_slice(&text).context("malformed policy")?;
        ensure!(
            policy.is_valid(),
            "the policy is not sorted or has a route without a weighted service"
        );
        Ok(policy)
    }
}

/// Order other than a policy, small enough to be sent uncompressed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SmallOrder {
    /// Move of a service.
    Move {
        /// Name of the service in the policy.
        service: Name,
        /// Version to move to.
        version: Name,
        /// Time within which the move is to be completed.
        window: Duration,
    },
    /// Failure domain that operators took out of service or brought back.
    Domain {
        /// Name of the failure domain.
        name: Name,
        /// Whether it is out of service.
        is_out: bool,
    },
}

/// Orders in force at a node that are sent to another node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Excerpt {
    /// Position after the last order that the sender has read.
    pub next: Position,
    /// Policy with the position of its order; `None` when the receiver has it.
    pub policy: Option<(Position, CompressedPolicy)>,
    /// All moves and failure domains of the sender's era, with the positions of their orders.
    pub rest: Vec<(Position, SmallOrder)>,
}

impl Excerpt {
    /// Excerpt for a node that has read up to `from` and serves a version of the policy. `compress`
    /// is called only when that node lacks the policy.
    pub fn new<E>(
        orders: &Orders,
        (from, version): (Position, u64),
        compress: impl FnOnce(Position, &Policy) -> Result<CompressedPolicy, E>,
    ) -> Result<Self, E> {
        let era = orders.next().era;
        let policy = orders.policy_order().filter(|(position, policy)| {
            // A policy of an earlier era was lost by the log, wherever the node has read to.
            let is_unread = *position >= from || position.era < era;
            is_unread && policy.version > version
        });
        let policy = policy
            .map(|(position, policy)| {
                compress(position, policy).map(|compressed| (position, compressed))
            })
            .transpose()?;
        let moves = orders.moves().iter().map(|entry| {
            let order = SmallOrder::Move {
                service: entry.service.clone(),
                version: entry.version.clone(),
                window: entry.window,
            };
            (entry.order, order)
        });
        let domains = orders.domains().map(|(position, name, is_out)| {
            let name = name.clone();
            (position, SmallOrder::Domain { name, is_out })
        });
        // An order of an earlier era stays in force only where it was before.
        let rest = moves
            .chain(domains)
            .filter(|(position, _)| position.era == era);
        Ok(Self {
            next: orders.next(),
            policy,
            rest: rest.collect(),
        })
    }

    /// Converts the excerpt to a complete batch, as if it had been read from the log.
    ///
    /// # Errors
    ///
    /// Fails when the policy cannot be decoded.
    pub fn to_batch(&self) -> anyhow::Result<OrderBatch> {
        let mut entries: Vec<Entry> = self.rest.iter().map(SmallOrder::entry).collect();
        if let Some((position, compressed)) = &self.policy {
            entries.push(Entry {
                position: *position,
                order: Order::Policy(Arc::new(compressed.decompress()?)),
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
    /// Converts to an entry of a batch.
    fn entry((position, order): &(Position, Self)) -> Entry {
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
            position: *position,
            order,
        }
    }
}
