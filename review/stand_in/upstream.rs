//! Stand-in of an upstream: serves requests and reports itself to the node beside it.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Head};
use crate::node::Node;
use crate::record::Record;

/// Interval of the liveness reports.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Time for which an upstream is cold that starts during traffic (`coldStartS`).
pub const COLD_TIME: Duration = Duration::from_secs(3);

/// Time within which a liveness report has to be acknowledged.
const BEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Length of the answer to an export.
pub const EXPORT_BYTES: usize = 3_000_000;

/// How an upstream answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// As it should.
    Sound,
    /// With a body that does not end until the connection is closed.
    Endless,
    /// One in this many answers, a large one, breaks off before its end. Answers to a range of it don't.
    BreakingOff(u64),
    /// Requests whose path begins with `/deadly/` crash it; it is back after this time.
    CrashedBy(Duration),
    /// This many in ten of its answers are failures.
    Failing(u64),
    /// It crashes when it gets more requests than this within a second; it is back after 3 s.
    Fragile(usize),
}

/// Request that arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub path: String,
}

struct State {
    id: String,
    service: String,
    version: String,
    address: SocketAddr,
    control: SocketAddr,
    zone: String,
    slots: u32,
    work: Duration,
    beat_interval: Duration,
    /// Start of the current lifetime.
    born: AtomicU64,
    sequence: AtomicU64,
    started: Mutex<Instant>,
    /// Time for which it is cold after the start of its lifetime.
    cold_time: Mutex<Duration>,
    behavior: Mutex<Behavior>,
    rate_limit: Mutex<Option<f64>>,
    arrivals: Mutex<Vec<Arrival>>,
    /// Answers so far, and those that broke off.
    answered: AtomicU64,
    broken: AtomicU64,
    /// Answers while some of them are failures.
    tried: AtomicU64,
    /// Times of its crashes.
    crashes: Mutex<Vec<Instant>>,
    connections: Mutex<Vec<TcpStream>>,
    is_down: AtomicBool,
    is_silent: AtomicBool,
    is_draining: AtomicBool,
    is_ended: AtomicBool,
    record: Record,
}

/// One lifetime of an upstream.
#[derive(Clone)]
pub struct Upstream(Arc<State>);

/// Settings of an upstream.
pub struct Settings<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub version: &'a str,
    pub slots: u32,
    pub work: Duration,
    pub cold_time: Duration,
    pub beat_interval: Duration,
}

impl Upstream {
    /// Starts an upstream beside a node.
    pub fn start(node: &Node, settings: &Settings<'_>, record: &Record) -> Self {
        let born = unix_millis();
        let upstream = Self(Arc::new(State {
            id: settings.id.into(),
            service: settings.service.into(),
            version: settings.version.into(),
            address: node.application,
            control: node.control,
            zone: node.zone.clone(),
            slots: settings.slots,
            work: settings.work,
            born: AtomicU64::new(born),
            sequence: AtomicU64::new(0),
            started: Mutex::new(Instant::now()),
            cold_time: Mutex::new(settings.cold_time),
            beat_interval: settings.beat_interval,
            behavior: Mutex::new(Behavior::Sound),
            rate_limit: Mutex::default(),
            arrivals: Mutex::default(),
            answered: AtomicU64::new(0),
            broken: AtomicU64::new(0),
            tried: AtomicU64::new(0),
            crashes: Mutex::default(),
            connections: Mutex::default(),
            is_down: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            is_ended: AtomicBool::new(false),
            record: record.clone(),
        }));
        upstream
            .0
            .line(format!("starts at {}, born {born}", node.application));
        let (accepting, beating) = (upstream.clone(), upstream.clone());
        thread::spawn(move || accepting.accept());
        thread::spawn(move || beating.beat());
        upstream
    }

    /// Sets how it answers, and counts its answers anew.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.0.answered.store(0, Ordering::SeqCst);
        self.0.broken.store(0, Ordering::SeqCst);
        *self.0.behavior.lock().unwrap() = behavior;
    }

    /// Sets the requests a second that its answers name.
    pub fn set_rate_limit(&self, limit: Option<f64>) {
        *self.0.rate_limit.lock().unwrap() = limit;
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.0.arrivals.lock().unwrap().clone()
    }

    pub fn crashes(&self) -> Vec<Instant> {
        self.0.crashes.lock().unwrap().clone()
    }

    /// Stops its liveness reports.
    pub fn stop_beats(&self) {
        self.0.is_silent.store(true, Ordering::SeqCst);
    }

    /// Ends it: closes its port and its connections.
    pub fn end(&self) {
        self.0.is_ended.store(true, Ordering::SeqCst);
        self.0.close();
    }

    /// Body of the next liveness report.
    pub fn next_beat(&self) -> String {
        let state = &self.0;
        let cold = state
            .cold_time
            .lock()
            .unwrap()
            .saturating_sub(state.started.lock().unwrap().elapsed());
        let (cold, born) = (cold.as_secs_f64(), state.born.load(Ordering::SeqCst));
        let sequence = state.sequence.fetch_add(1, Ordering::SeqCst);
        let is_draining = state.is_draining.load(Ordering::SeqCst);
        let word = if is_draining { "draining" } else { "ready" };
        let State {
            service,
            version,
            address,
            zone,
            slots,
            ..
        } = &**state;
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}","slots":{slots},"state":"{word}","coldRemainingS":{cold:.3},"sequence":{sequence},"born":{born}}}"#
        )
    }

    /// Sends a report to the node; returns whether it was acknowledged in time.
    pub fn report(&self, call: &str, body: &str) -> bool {
        let state = &self.0;
        let path = format!("/-/rpc?call=instances.{call}&of={}", state.id);
        let is_acknowledged = post(state.control, &path, body) == Some(200);
        let outcome = if is_acknowledged {
            "acknowledged"
        } else {
            "no ack"
        };
        state.line(format!("{call} {body}: {outcome}"));
        is_acknowledged
    }

    /// Says that it drains.
    pub fn drain(&self) {
        self.0.is_draining.store(true, Ordering::SeqCst);
        self.report("heartbeat", &self.next_beat());
    }

    /// Says that it leaves.
    pub fn leave(&self) -> bool {
        self.stop_beats();
        self.report("leave", &self.leave_body())
    }

    /// Body of its leave.
    pub fn leave_body(&self) -> String {
        format!(r#"{{"born":{}}}"#, self.0.born.load(Ordering::SeqCst))
    }

    fn beat(&self) {
        while !self.0.is_ended.load(Ordering::SeqCst) {
            let is_quiet = [&self.0.is_silent, &self.0.is_down];
            if !is_quiet.iter().any(|flag| flag.load(Ordering::SeqCst)) {
                self.report("heartbeat", &self.next_beat());
            }
            thread::sleep(self.0.beat_interval);
        }
    }

    fn accept(&self) {
        let state = &self.0;
        while !state.is_ended.load(Ordering::SeqCst) {
            let Ok(listener) = TcpListener::bind(state.address) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            listener.set_nonblocking(true).unwrap();
            while !state.is_ended.load(Ordering::SeqCst) && !state.is_down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        state
                            .connections
                            .lock()
                            .unwrap()
                            .push(stream.try_clone().unwrap());
                        let upstream = self.clone();
                        thread::spawn(move || upstream.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            while state.is_down.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            if http::read_body(&mut reader, &head).is_err() {
                return;
            }
            if self.answer(&mut writer, &head).is_err() {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn answer(&self, writer: &mut TcpStream, head: &Head) -> std::io::Result<()> {
        let state = &self.0;
        let id = head
            .get("buckthornworks-request-id")
            .unwrap_or("")
            .to_owned();
        let expected = head.get("buckthornworks-expected-instance");
        if expected.is_some_and(|expected| expected != state.id) {
            let answer = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
            return writer.write_all(answer.as_bytes());
        }
        let path = head.target().to_owned();
        state.line(format!("runs {id} ({} {path})", head.method()));
        let arrival = Arrival {
            at: Instant::now(),
            id: id.clone(),
            path: path.clone(),
        };
        state.arrivals.lock().unwrap().push(arrival);
        let behavior = *state.behavior.lock().unwrap();
        if matches!(behavior, Behavior::Fragile(most) if state.in_last_second() > most) {
            self.crash(Duration::from_secs(3));
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        if let (Behavior::CrashedBy(time), true) = (behavior, path.starts_with("/deadly/")) {
            thread::sleep(Duration::from_millis(20));
            self.crash(time);
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        thread::sleep(state.work);
        let mut start = format!(
            "HTTP/1.1 200 OK\r\nBuckthornworks-Request-Id: {id}\r\n\
             Buckthornworks-Response-Signature: {}.{id}\r\n",
            state.id
        );
        if let Some(limit) = *state.rate_limit.lock().unwrap() {
            start += &format!("Server-Limit: {limit}\r\n");
        }
        if behavior == Behavior::Endless {
            start += "Transfer-Encoding: chunked\r\n\r\n";
            writer.write_all(start.as_bytes())?;
            let chunk = format!(
                "4000\r\n{}\r\n",
                "these bytes are no answer ".repeat(700).split_at(0x4000).0
            );
            loop {
                writer.write_all(chunk.as_bytes())?;
            }
        }
        if path.starts_with("/order/export") {
            let answered = state.answered.fetch_add(1, Ordering::SeqCst) + 1;
            let broken = state.broken.load(Ordering::SeqCst) + 1;
            let breaks_off = matches!(behavior, Behavior::BreakingOff(one_in) if broken * one_in <= answered)
                && head.get("range").is_none();
            if breaks_off {
                state.broken.store(broken, Ordering::SeqCst);
                state.line(format!(
                    "breaks off its answer to {id}, {broken} of {answered} answers so far"
                ));
            }
            return write_export(writer, head, start, breaks_off);
        }
        if let Behavior::Failing(in_ten) = behavior {
            if state.tried.fetch_add(1, Ordering::SeqCst) * 7 % 10 < in_ten {
                state.line(format!("fails {id}"));
                start = start.replacen("200 OK", "500 Internal Server Error", 1);
                start += "Content-Length: 6\r\n\r\nfailed";
                return writer.write_all(start.as_bytes());
            }
        }
        let body = format!("whole answer to {id}");
        start += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
        writer.write_all(start.as_bytes())?;
        state.answered.fetch_add(1, Ordering::SeqCst);
        Ok(())
    }

    /// Crashes: closes the port and all connections, and is back after a time.
    fn crash(&self, time: Duration) {
        let state = &self.0;
        if state.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        state.line("crashes");
        state.crashes.lock().unwrap().push(Instant::now());
        state.close();
        let state = state.clone();
        thread::spawn(move || {
            // The port stays closed meanwhile.
            thread::sleep(Duration::from_millis(20));
            state.close();
            thread::sleep(time);
            // A new lifetime, which knows nothing of before.
            state.born.store(unix_millis(), Ordering::SeqCst);
            state.sequence.store(0, Ordering::SeqCst);
            *state.started.lock().unwrap() = Instant::now();
            *state.cold_time.lock().unwrap() = COLD_TIME;
            state.line("is back");
            state.is_down.store(false, Ordering::SeqCst);
        });
    }
}

/// Writes an export of 3 MB, whole or from an offset on. Breaks off before the end of a whole one if
/// told to.
fn write_export(
    writer: &mut TcpStream,
    head: &Head,
    start: String,
    breaks_off: bool,
) -> std::io::Result<()> {
    let body = vec![b'e'; EXPORT_BYTES];
    let range = head
        .get("range")
        .and_then(|range| range.strip_prefix("bytes="));
    let from = range.and_then(|range| range.trim_end_matches('-').parse::<usize>().ok());
    let rest = &body[from.unwrap_or(0).min(EXPORT_BYTES)..];
    let mut start = start + &format!("ETag: \"export-1\"\r\nContent-Length: {}\r\n", rest.len());
    if let Some(from) = from {
        start = start.replacen("200 OK", "206 Partial Content", 1);
        start += &format!(
            "Content-Range: bytes {from}-{}/{EXPORT_BYTES}\r\n",
            EXPORT_BYTES - 1
        );
    }
    writer.write_all((start + "\r\n").as_bytes())?;
    if breaks_off && from.is_none() {
        writer.write_all(&rest[..EXPORT_BYTES - 100_000])?;
        return Err(std::io::ErrorKind::ConnectionAborted.into());
    }
    writer.write_all(rest)
}

impl State {
    fn line(&self, text: impl AsRef<str>) {
        self.record
            .line(format!("upstream {}: {}", self.id, text.as_ref()));
    }

    /// Requests that arrived within the last second.
    fn in_last_second(&self) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        let recent = arrivals.iter().rev();
        recent
            .take_while(|arrival| arrival.at.elapsed() < Duration::from_secs(1))
            .count()
    }

    fn close(&self) {
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// Posts a JSON body and returns the status of the response, if it comes in time.
pub fn post(address: SocketAddr, path: &str, body: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, BEAT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(BEAT_TIMEOUT)).ok()?;
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let head = http::read_head(&mut BufReader::new(stream)).ok()??;
    Some(head.status())
}
