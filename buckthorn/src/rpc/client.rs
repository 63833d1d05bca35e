//! Sending side of the control protocol.
//!
//! A connection is kept per peer for as long as it is used; the least recently used beyond
//! [`MAX_PEERS`] and those idle for [`IDLE_TIMEOUT`] are closed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use anyhow::Context;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::traits::ToRpcParams;
use jsonrpsee::http_client::{HeaderMap, HeaderValue, HttpClient, HttpClientBuilder};
use serde_json::value::RawValue;

use crate::counter::{Counter, Counters};

use super::message::Envelope;
use super::{
    FRAME_BYTES, MAX_MESSAGE_BYTES, METHOD, REQUEST_HEADER_BYTES, RESPONSE_HEADER_BYTES, depth,
};
use crate::secret::Secrets;

/// Peers to which connections are kept.
pub const MAX_PEERS: usize = 32;

/// Time after which an unused connection is closed, shorter than the server's.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limits of an exchange.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// For opening a connection.
    pub connect: Duration,
    /// For the whole exchange.
    pub exchange: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            exchange: Duration::from_secs(2),
        }
    }
}

/// Client of the control protocol.
#[derive(Debug)]
pub struct Client {
    /// Headers of every request.
    headers: HeaderMap,
    /// Time limits.
    timeouts: Timeouts,
    /// Counters.
    counters: Arc<Counters>,
    /// Peers sorted by address.
    peers: Mutex<Vec<Peer>>,
}

/// Connection to a peer.
#[derive(Debug)]
struct Peer {
    /// Address.
    address: SocketAddr,
    /// Library's client, which holds the connection.
    client: HttpClient,
    /// When it was last used.
    used: Instant,
}

/// Parameters that are encoded already.
struct Encoded(Box<RawValue>);

impl ToRpcParams for Encoded {
    fn to_rpc_params(self) -> Result<Option<Box<RawValue>>, serde_json::Error> {
        Ok(Some(self.0))
    }
}

impl Client {
    /// Client that presents the current secret.
    ///
    /// # Errors
    ///
    /// Fails when the secret does not fit a header.
    pub fn new(
        secrets: &Secrets,
        timeouts: Timeouts,
        counters: Arc<Counters>,
    ) -> anyhow::Result<Self> {
        let mut value = HeaderValue::from_str(&secrets.bearer())
            .context("the shared secret holds characters that no header takes")?;
        value.set_sensitive(true);
        let mut headers = HeaderMap::new();
        headers.insert(http::header::AUTHORIZATION, value);
        Ok(Self {
            headers,
            timeouts,
            counters,
            peers: Mutex::new(Vec::new()),
        })
    }

    /// Sends an envelope and returns the answer.
    ///
    /// # Errors
    ///
    /// Fails when the peer cannot be reached, refuses, is too slow, or answers with something
    /// malformed or too large.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        envelope: &Envelope,
    ) -> anyhow::Result<Envelope> {
        let params = serde_json::value::to_raw_value(&[envelope])?;
        let sent = params.get().len() as u64 + FRAME_BYTES + REQUEST_HEADER_BYTES;
        let secret = self.headers.values().map(HeaderValue::len).sum::<usize>() as u64;
        let client = self.client(address)?;
        self.counters.add(Counter::ControlBytesOut, sent + secret);
        let answer = tokio::time::timeout(
            self.timeouts.exchange,
            client.request::<Box<RawValue>, _>(METHOD, Encoded(params)),
        )
        .await;
        match answer {
            Ok(Ok(result)) => self.decode(&result),
            Ok(Err(error)) => {
                self.forget(address);
                Err(anyhow::Error::new(error).context(format!("exchange with {address}")))
            }
            Err(_) => {
                self.forget(address);
                anyhow::bail!("exchange with {address}: no answer in time")
            }
        }
    }

    /// Decodes an answer.
    fn decode(&self, result: &RawValue) -> anyhow::Result<Envelope> {
        let bytes = result.get().len() as u64;
        self.counters.add(
            Counter::ControlBytesIn,
            bytes + FRAME_BYTES + RESPONSE_HEADER_BYTES,
        );
        if !depth::is_within(result.get(), depth::MAX_DEPTH) {
            self.counters.increment(Counter::MessagesRefused);
            anyhow::bail!("answer is nested too deep");
        }
        serde_json::from_str(result.get())
            .inspect_err(|_| self.counters.increment(Counter::MessagesRefused))
            .context("malformed answer")
    }

    /// Library's client for a peer.
    fn client(&self, address: SocketAddr) -> anyhow::Result<HttpClient> {
        let now = Instant::now();
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.retain(|p| now.duration_since(p.used) < IDLE_TIMEOUT);
        let index = match peers.binary_search_by(|p| p.address.cmp(&address)) {
            Ok(index) => {
                peers[index].used = now;
                return Ok(peers[index].client.clone());
            }
            Err(index) => index,
        };
        let client = HttpClientBuilder::default()
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .request_timeout(self.timeouts.exchange)
            .connect_timeout(self.timeouts.connect)
            .set_headers(self.headers.clone())
            .build(format!("http://{address}/"))?;
        let peer = Peer {
            address,
            client: client.clone(),
            used: now,
        };
        peers.insert(index, peer);
        self.counters.increment(Counter::ConnectionsOpened);
        if peers.len() > MAX_PEERS
            && let Some(oldest) = (0..peers.len()).min_by_key(|&i| peers[i].used)
        {
            peers.remove(oldest);
        }
        Ok(client)
    }

    /// Closes the connection to a peer after a failure.
    fn forget(&self, address: SocketAddr) {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.retain(|p| p.address != address);
    }
}
