//! Backend server: runs requests that arrived whole, signs its answers and sends liveness reports.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Body, Connection, Head};
use crate::record::Record;

/// Interval of liveness reports.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Path of health probes.
const HEALTH_PATH: &str = "/health";

/// Time for which a server that crashed is away.
const CRASH_TIME: Duration = Duration::from_millis(2_000);

/// Interval at which the accepting thread looks whether the server has crashed.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

/// Bytes from which a body is long.
const LONG_BYTES: usize = 1_000_000;

/// A request that the server ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// When it began.
    pub at: Instant,
}

/// Settings of a server.
#[derive(Clone)]
pub struct Settings {
    /// Service that it belongs to.
    pub service: String,
    /// Identifier.
    pub id: String,
    /// Time that a request takes.
    pub work: Duration,
    /// Time from the head of a request until the server reads on, if its body is long.
    pub reads_after: Duration,
    /// Body whose requests crash the server, if any.
    pub deadly: Option<Vec<u8>>,
}

/// Shared state of a server.
pub struct Upstream {
    /// Settings.
    pub settings: Settings,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Identifiers of the requests whose heads it got.
    pub heads: Mutex<Vec<String>>,
    /// Requests that it ran.
    pub runs: Mutex<Vec<Run>>,
    /// Times at which a request crashed it.
    pub crashes: Mutex<Vec<Instant>>,
    /// End of its cold time in Unix milliseconds.
    cold_until: AtomicU64,
    /// Liveness reports that were acknowledged.
    pub reports: AtomicU64,
    /// Whether it is away after a crash.
    is_down: AtomicBool,
    /// Start of its lifetime in Unix milliseconds.
    born: AtomicU64,
    /// Open connections.
    open: Mutex<Vec<TcpStream>>,
    /// Record of the case.
    record: Record,
}

impl Upstream {
    /// Starts a server that reports to the control address of its node.
    pub fn start(
        ip: &str,
        settings: Settings,
        control: SocketAddr,
        record: &Record,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let upstream = Arc::new(Self {
            settings,
            address: listener.local_addr()?,
            heads: Mutex::default(),
            runs: Mutex::default(),
            crashes: Mutex::default(),
            cold_until: AtomicU64::new(0),
            reports: AtomicU64::new(0),
            is_down: AtomicBool::new(false),
            born: AtomicU64::new(unix_ms()),
            open: Mutex::default(),
            record: record.clone(),
        });
        let accepting = upstream.clone();
        thread::spawn(move || accepting.accept(Some(listener)));
        let reporting = upstream.clone();
        thread::spawn(move || reporting.report(control));
        Ok(upstream)
    }

    /// Turns the server cold for a time, which its next liveness report and its health responses tell.
    pub fn turn_cold(&self, time: Duration) {
        let until = unix_ms() + time.as_millis() as u64;
        self.cold_until.store(until, Ordering::SeqCst);
        let name = &self.settings.id;
        self.record.line(format!("{name} turns cold for {time:?}"));
    }

    /// Returns the milliseconds for which the server stays cold.
    fn cold_ms(&self) -> u64 {
        let until = self.cold_until.load(Ordering::SeqCst);
        until.saturating_sub(unix_ms())
    }

    /// Accepts connections; while the server is away its port is closed.
    fn accept(self: Arc<Self>, mut listener: Option<TcpListener>) {
        loop {
            let Some(listening) = listener
                .take()
                .or_else(|| TcpListener::bind(self.address).ok())
            else {
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            let _ = listening.set_nonblocking(true);
            while !self.is_down.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listening.accept() else {
                    thread::sleep(ACCEPT_INTERVAL);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let (Ok(mut open), Ok(copy)) = (self.open.lock(), stream.try_clone()) {
                    open.push(copy);
                }
                let serving = self.clone();
                thread::spawn(move || serving.serve(Connection::new(stream)));
            }
            drop(listening);
            if let Ok(mut open) = self.open.lock() {
                for stream in open.drain(..) {
                    let _ = stream.shutdown(Shutdown::Both);
                }
            }
            thread::sleep(CRASH_TIME);
            self.born.store(unix_ms(), Ordering::SeqCst);
            self.is_down.store(false, Ordering::SeqCst);
        }
    }

    /// Serves the requests of one connection.
    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(head)) = connection.read_head() {
            let id = head
                .get("buckthornworks-request-id")
                .unwrap_or("")
                .to_owned();
            let (method, target) = head.target();
            self.record.line(format!(
                "{} gets the head of {id}: {method} {target}",
                self.settings.id
            ));
            if let Ok(mut heads) = self.heads.lock() {
                heads.push(id.clone());
            }
            if is_long(&head) {
                thread::sleep(self.settings.reads_after);
            }
            let body = connection.read_body(&head, false);
            if !body.is_whole {
                self.record.line(format!(
                    "{} doesn't run {id}: its body broke off after {} bytes",
                    self.settings.id,
                    body.bytes.len()
                ));
                return;
            }
            let Some(answer) = self.run(&head, &id, body) else {
                return;
            };
            if self.is_down.load(Ordering::SeqCst) || connection.send(&answer).is_err() {
                return;
            }
        }
    }

    /// Runs a request; returns its answer unless it crashes the server.
    fn run(&self, head: &Head, id: &str, body: Body) -> Option<Vec<u8>> {
        let expected = head.get("buckthornworks-expected-instance");
        if expected.is_some_and(|expected| expected != self.settings.id) {
            let answer = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
            return Some(answer.as_bytes().to_vec());
        }
        let name = &self.settings.id;
        if head.target().1 == HEALTH_PATH {
            let answer = format!(
                "HTTP/1.1 200 OK\r\nBuckthornworks-Instance-Id: {name}\r\n\
                 Buckthornworks-Cold-Milliseconds: {}\r\nContent-Length: 0\r\n\r\n",
                self.cold_ms()
            );
            return Some(answer.into_bytes());
        }
        self.record.line(format!(
            "{name} runs {id} with a body of {} bytes",
            body.bytes.len()
        ));
        let is_deadly = self.settings.deadly.as_ref() == Some(&body.bytes);
        if let Ok(mut runs) = self.runs.lock() {
            runs.push(Run { at: Instant::now() });
        }
        if is_deadly {
            if let Ok(mut crashes) = self.crashes.lock() {
                crashes.push(Instant::now());
            }
            self.record.line(format!("{name} crashes"));
            self.is_down.store(true, Ordering::SeqCst);
            return None;
        }
        thread::sleep(self.settings.work);
        let text = format!("done by {name}");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nBuckthornworks-Request-Id: {id}\r\n\
             Buckthornworks-Response-Signature: {name}.{id}\r\n\
             Content-Length: {}\r\n\r\n{text}",
            text.len()
        );
        Some(answer.into_bytes())
    }

    /// Sends liveness reports.
    fn report(&self, control: SocketAddr) {
        let (mut born, mut sequence) = (0, 0);
        loop {
            if !self.is_down.load(Ordering::SeqCst) {
                let lifetime = self.born.load(Ordering::SeqCst);
                sequence = if lifetime == born { sequence + 1 } else { 1 };
                born = lifetime;
                let acknowledged = self.send_report(control, born, sequence);
                if !acknowledged {
                    thread::sleep(Duration::from_millis(100));
                    continue;
                }
            }
            let until = Instant::now() + HEARTBEAT_INTERVAL;
            while Instant::now() < until && self.born.load(Ordering::SeqCst) == born {
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    /// Sends one liveness report; returns whether it was acknowledged.
    fn send_report(&self, control: SocketAddr, born: u64, sequence: u64) -> bool {
        let Settings { service, id, .. } = &self.settings;
        let cold = self.cold_ms() as f64 / 1_000.0;
        self.record
            .line(format!("{id} reports that it stays cold for {cold} s"));
        let body = format!(
            r#"{{"service":"{service}","address":"{}","zone":"za","version":"v1","slots":9,"state":"ready","coldRemainingS":{cold},"sequence":{sequence},"born":{born}}}"#,
            self.address
        );
        let request = format!(
            "POST /-/rpc?call=instances.heartbeat&of={id} HTTP/1.1\r\nHost: {control}\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let answer = http::call(control, request.as_bytes(), Duration::from_secs(1));
        let is_acknowledged = answer.is_some_and(|(head, _)| head.status() == 200);
        self.reports
            .fetch_add(u64::from(is_acknowledged), Ordering::SeqCst);
        is_acknowledged
    }
}

/// Returns whether a request has a long body.
fn is_long(head: &Head) -> bool {
    let length = head
        .get("content-length")
        .and_then(|text| text.parse().ok());
    length.is_some_and(|length: usize| length >= LONG_BYTES)
}

/// Returns the time of day in Unix milliseconds.
fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map(|now| now.as_millis() as u64).unwrap_or(0)
}
