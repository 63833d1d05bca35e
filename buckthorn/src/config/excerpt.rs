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
    /// Offset after the last order that the sender has read.
    pub next: u64,
    /// Policy with the offset of its order; `None` when the receiver has it.
    pub policy: Option<(u64, CompressedPolicy)>,
    /// All moves and failure domains, with the offsets of their orders.
    pub rest: Vec<(u64, SmallOrder)>,
}

impl Excerpt {
    /// Excerpt for a node that has read up to `from`. `compress` is called only when that node
    /// lacks the policy.
    pub fn new<E>(
        orders: &Orders,
        from: u64,
        compress: impl FnOnce(u64, &Policy) -> Result<CompressedPolicy, E>,
    ) -> Result<Self, E> {
        let policy = orders.policy_order().filter(|(offset, _)| *offset >= from);
        let policy = policy
            .map(|(offset, policy)| compress(offset, policy).map(|compressed| (offset, compressed)))
            .transpose()?;
        let moves = orders.moves().iter().map(|entry| {
            let order = SmallOrder::Move {
                service: entry.service.clone(),
                version: entry.version.clone(),
                window: entry.window,
            };
            (entry.order, order)
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

    /// Converts the excerpt to a complete batch, as if it had been read from the log.
    ///
    /// # Errors
    ///
    /// Fails when the policy cannot be decoded.
    pub fn to_batch(&self) -> anyhow::Result<OrderBatch> {
        let mut entries: Vec<Entry> = self.rest.iter().map(SmallOrder::entry).collect();
        if let Some((offset, compressed)) = &self.policy {
            entries.push(Entry {
                offset: *offset,
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
