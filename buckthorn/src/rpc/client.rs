//! Client of the control protocol.
//!
//! One connection is kept per peer. The least recently used connection is closed when there are
//! more than [`MAX_PEERS`], and so is every connection idle for [`IDLE_TIMEOUT`].

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

/// Maximum number of peers with an open connection.
pub const MAX_PEERS: usize = 32;

/// Time after which an idle connection is closed. Shorter than the server's, so that the client
/// closes first.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeouts of an exchange.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Time limit for opening a connection.
    pub connect: Duration,
    /// Time limit for the whole exchange, including the connect.
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

/// Sends envelopes to peers.
#[derive(Debug)]
pub struct Client {
    /// Headers of every request, which carry the secret.
    headers: HeaderMap,
    /// Timeouts of every exchange.
    timeouts: Timeouts,
    /// Counters of the node.
    counters: Arc<Counters>,
    /// Connections, sorted by address.
    peers: Mutex<Vec<Peer>>,
}

/// Connection to a peer.
#[derive(Debug)]
struct Peer {
    /// Address of the peer's control protocol.
    address: SocketAddr,
    /// HTTP client that holds the connection.
    client: HttpClient,
    /// When the connection was last used.
    used_at: Instant,
}

/// Parameters that are already serialized.
struct Encoded(Box<RawValue>);

impl ToRpcParams for Encoded {
    fn to_rpc_params(self) -> Result<Option<Box<RawValue>>, serde_json::Error> {
        Ok(Some(self.0))
    }
}

impl Client {
    /// Creates a client that authenticates with the current secret.
    ///
    /// # Errors
    ///
    /// Fails if the secret is not valid in an HTTP header.
    pub fn new(
        secrets: &Secrets,
        timeouts: Timeouts,
        counters: Arc<Counters>,
    ) -> anyhow::Result<Self> {
        let mut value = HeaderValue::from_str(&secrets.bearer()).context(
            "the shared secret contains characters that are not allowed in an HTTP header",
        )?;
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

    /// Sends an envelope and returns the reply.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached, refuses the envelope or does not reply in time, or if
    /// the reply is malformed or too large.
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
        let reply = tokio::time::timeout(
            self.timeouts.exchange,
            client.request::<Box<RawValue>, _>(METHOD, Encoded(params)),
        )
        .await;
        match reply {
            Ok(Ok(result)) => self.decode(&result),
            Ok(Err(error)) => {
                self.close(address);
                Err(anyhow::Error::new(error).context(format!("exchange with {address}")))
            }
            Err(_) => {
                self.close(address);
                anyhow::bail!("exchange with {address}: timed out waiting for the reply")
            }
        }
    }

    /// Decodes a reply and counts its bytes.
    fn decode(&self, result: &RawValue) -> anyhow::Result<Envelope> {
        let bytes = result.get().len() as u64;
        self.counters.add(
            Counter::ControlBytesIn,
            bytes + FRAME_BYTES + RESPONSE_HEADER_BYTES,
        );
        if !depth::is_within(result.get(), depth::MAX_DEPTH) {
            self.counters.increment(Counter::MessagesRefused);
            anyhow::bail!("reply is nested too deep");
        }
        serde_json::from_str(result.get())
            .inspect_err(|_| self.counters.increment(Counter::MessagesRefused))
            .context("malformed reply")
    }

    /// Returns the HTTP client of a peer, creating it if necessary.
    fn client(&self, address: SocketAddr) -> anyhow::Result<HttpClient> {
        let now = Instant::now();
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.retain(|p| now.duration_since(p.used_at) < IDLE_TIMEOUT);
        let index = match peers.binary_search_by(|p| p.address.cmp(&address)) {
            Ok(index) => {
                peers[index].used_at = now;
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
            used_at: now,
        };
        peers.insert(index, peer);
        self.counters.increment(Counter::ConnectionsOpened);
        if peers.len() > MAX_PEERS
            && let Some(oldest) = (0..peers.len()).min_by_key(|&i| peers[i].used_at)
        {
            peers.remove(oldest);
        }
        Ok(client)
    }

    /// Closes the connection to a peer after a failure.
    fn close(&self, address: SocketAddr) {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.retain(|p| p.address != address);
    }
}
