//! Logger that writes JSON lines, and statsd client for the counters of a node.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, QueuingMetricSink, StatsdClient};
use slog::{Drain, Logger, o};

use crate::counter::{Counter, Counters};
use crate::name::Name;

/// Prefix of the name of every metric.
const METRIC_PREFIX: &str = "buckthorn";

/// Capacity of the queue of log lines; further lines are dropped, and a line reports their number.
const LOG_QUEUE: usize = 1_024;

/// Creates a logger that writes JSON lines to standard output without blocking the caller.
pub fn logger(level: slog::Level, host: &Name) -> Logger {
    let json = slog_json::Json::default(io::stdout()).fuse();
    let drain = slog_async::Async::new(json)
        .chan_size(LOG_QUEUE)
        .build()
        .fuse();
    let drain = slog::LevelFilter::new(drain, level).fuse();
    Logger::root(drain, o!("host" => host.to_string()))
}

/// Creates a logger that discards all lines.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Sends counters to a statsd daemon.
pub struct Statsd {
    /// Client of the statsd daemon.
    client: StatsdClient,
    /// Counters to send.
    counters: Arc<Counters>,
    /// Values already sent, in the order of [`Counter::ALL`].
    sent: Vec<u64>,
}

impl Statsd {
    /// Creates a client of the daemon at an address.
    ///
    /// # Errors
    ///
    /// Fails when the UDP socket cannot be created.
    pub fn new(address: SocketAddr, counters: Arc<Counters>) -> anyhow::Result<Self> {
        let local = if address.is_ipv4() {
            "0.0.0.0:0"
        } else {
            "[::]:0"
        };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = QueuingMetricSink::from(BufferedUdpMetricSink::from(address, socket)?);
        let client = StatsdClient::from_sink(METRIC_PREFIX, sink);
        Ok(Self {
            client,
            counters,
            sent: vec![0; Counter::ALL.len()],
        })
    }

    /// Sends the increments since the last flush.
    pub fn flush(&mut self) {
        for (sent, (counter, value)) in self.sent.iter_mut().zip(self.counters.list()) {
            if value > *sent {
                // A lost increment is not sent again; statsd is best effort.
                let _ = self.client.count(counter.name(), (value - *sent) as i64);
                *sent = value;
            }
        }
    }
}
