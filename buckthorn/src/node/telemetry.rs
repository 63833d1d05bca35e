//! JSON-lines log and statsd metrics of a node.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, QueuingMetricSink, StatsdClient};
use slog::{Drain, Logger, o};

use crate::counter::{Counter, Counters};
use crate::name::Name;

/// Prefix of every metric.
const METRIC_PREFIX: &str = "buckthorn";

/// Lines that may wait to be written; more are dropped and counted in a line.
const LOG_QUEUE: usize = 1_024;

/// Logger that writes JSON lines to standard output without blocking the caller.
pub fn logger(level: slog::Level, host: &Name) -> Logger {
    let json = slog_json::Json::default(io::stdout()).fuse();
    let drain = slog_async::Async::new(json)
        .chan_size(LOG_QUEUE)
        .build()
        .fuse();
    let drain = slog::LevelFilter::new(drain, level).fuse();
    Logger::root(drain, o!("host" => host.to_string()))
}

/// Logger that drops everything.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Sends counters to a statsd daemon.
pub struct Statsd {
    /// Client.
    client: StatsdClient,
    /// Counters.
    counters: Arc<Counters>,
    /// Values already sent, in the order of [`Counter::ALL`].
    sent: Vec<u64>,
}

impl Statsd {
    /// Client of the daemon at an address.
    ///
    /// # Errors
    ///
    /// Fails when no socket can be made.
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

    /// Sends what was counted since the last time.
    pub fn flush(&mut self) {
        for (sent, (counter, value)) in self.sent.iter_mut().zip(self.counters.list()) {
            if value > *sent {
                // A lost metric is made up for by nothing; statsd promises no more.
                let _ = self.client.count(counter.name(), (value - *sent) as i64);
                *sent = value;
            }
        }
    }
}
