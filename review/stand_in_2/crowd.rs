//! Clients that send many requests ahead without reading the answers.

use std::fmt::Write as _;
use std::io::{self, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::http::Connection;
use crate::mesh::{self, HOST, Machine, Mesh};
use crate::record::Record;
use crate::upstream::Settings;

/// Service that the requests go to.
const SERVICE: &str = "cards";

/// Memory that the platform grants a process, in megabytes, as in the site file.
const MEMORY_MB: u64 = 260;

/// Clients of the crowd at one machine; a node takes 1,024 connections with these settings.
const CLIENTS: usize = 300;

/// Short fields of each of their requests, besides the usual ones.
const FIELDS: usize = 90;

/// Bytes that a client sends at most.
const MAX_SENT: usize = 1_000_000;

/// Time for which the crowd stays.
const STAY: Duration = Duration::from_secs(5);

/// Times that the process of a machine ends by itself when the rule is broken.
const ENDS: usize = 3;

/// Machines that the crowds visit.
const MACHINES: [usize; 2] = [0, 1];

/// Pause of the platform before it starts a process again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

pub fn run(record: &Record, is_troubled: bool) -> io::Result<Outcome> {
    let machine = |service: &str, id: &str, zone| Machine {
        upstream: Settings {
            service: service.into(),
            id: id.into(),
            work: Duration::from_millis(120),
            reads_after: Duration::ZERO,
            deadly: None,
        },
        zone,
        descriptors: 4_100,
        memory_mb: MEMORY_MB,
    };
    let machines = vec![
        machine("front", "i-front-1", "za"),
        machine("front", "i-front-2", "zb"),
        machine(SERVICE, "i-cards", "zc"),
    ];
    let mut mesh = Mesh::start(machines, &mesh::config(SERVICE), record)?;
    mesh.await_served(record)?;
    let mut ends = [0; MACHINES.len()];
    let (mut most, mut lost, mut served) = (0, 0, 0);
    for round in 1..=ENDS {
        for machine in MACHINES {
            let entry = mesh.nodes[machine].outbound;
            let ordinary = Ordinary::start(entry, &format!("{round}-{machine}"));
            thread::sleep(Duration::from_millis(500));
            let is_over = Arc::new(AtomicBool::new(false));
            let crowd: Vec<JoinHandle<()>> = (0..CLIENTS)
                .map(|client| {
                    let is_over = is_over.clone();
                    let name = format!("{round}-{machine}-{client}");
                    thread::spawn(move || match is_troubled {
                        true => send_ahead(entry, &name, &is_over),
                        false => send_in_turn(entry, &name, &is_over),
                    })
                })
                .collect();
            record.line(format!("{CLIENTS} clients come to machine {machine}"));
            let begin = Instant::now();
            let (mut peak, mut is_ended) = (0, false);
            while begin.elapsed() < STAY && !is_ended {
                let memory_mb = mesh.memory_mb(machine);
                peak = peak.max(memory_mb);
                if memory_mb > MEMORY_MB {
                    // The platform kills a process that exceeds its memory.
                    mesh.kill(machine, record);
                    is_ended = true;
                }
                is_ended |= !mesh.is_running(machine);
                thread::sleep(Duration::from_millis(10));
            }
            most = most.max(peak);
            is_over.store(true, Ordering::SeqCst);
            for client in crowd {
                let _ = client.join();
            }
            let (answered, unanswered) = ordinary.stop();
            record.line(format!(
                "machine {machine}: {peak} MB at most, ended: {is_ended}; ordinary requests: \
                 {answered} answered, {unanswered} without an answer"
            ));
            served += answered;
            if is_ended {
                ends[machine] += 1;
                lost += unanswered;
                thread::sleep(RESTART_PAUSE);
                mesh.restart(machine, record)?;
                mesh.await_ready()?;
            }
        }
    }
    record.say(format!(
        "the processes took up to {most} MB of {MEMORY_MB} and ended {ends:?} times; {served} \
         ordinary requests were answered, {lost} got no answer as a process ended"
    ));
    if served == 0 {
        return Err(io::Error::other("no ordinary request was answered"));
    }
    Ok(if ends.iter().all(|ends| *ends >= ENDS) {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// Ordinary clients, each with one request at a time on a kept connection.
struct Ordinary {
    is_over: Arc<AtomicBool>,
    answered: Arc<AtomicU64>,
    unanswered: Arc<AtomicU64>,
    clients: Vec<JoinHandle<()>>,
}

impl Ordinary {
    /// Starts some clients.
    fn start(entry: SocketAddr, name: &str) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let (answered, unanswered): (Arc<AtomicU64>, Arc<AtomicU64>) = Default::default();
        let clients = (0..6).map(|client| {
            let (is_over, answered) = (is_over.clone(), answered.clone());
            let (unanswered, name) = (unanswered.clone(), name.to_owned());
            thread::spawn(move || {
                let Ok(mut connection) = Connection::open(entry, Duration::from_secs(1)) else {
                    return;
                };
                let timeout = Some(Duration::from_secs(4));
                let _ = connection.stream.set_read_timeout(timeout);
                for number in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let request = mesh::get("/safe/1", &format!("calm-{name}-{client}-{number}"));
                    let answer = connection.send(request.as_bytes());
                    let head = answer.and_then(|()| connection.read_head());
                    let Ok(Some(head)) = head else {
                        unanswered.fetch_add(1, Ordering::SeqCst);
                        return;
                    };
                    connection.read_body(&head, true);
                    answered.fetch_add(1, Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(20));
                }
            })
        });
        Self {
            clients: clients.collect(),
            is_over,
            answered,
            unanswered,
        }
    }

    /// Ends the clients; returns how many requests were answered and how many were not.
    fn stop(self) -> (u64, u64) {
        self.is_over.store(true, Ordering::SeqCst);
        for client in self.clients {
            let _ = client.join();
        }
        let load = |count: &AtomicU64| count.load(Ordering::SeqCst);
        (load(&self.answered), load(&self.unanswered))
    }
}

/// Returns a request with many short fields.
fn request(id: &str) -> String {
    let mut text = format!(
        "GET /safe/1 HTTP/1.1\r\nHost: {HOST}\r\nBuckthornworks-Request-Id: {id}\r\n\
         Buckthornworks-Deadline-Milliseconds: 2500\r\n"
    );
    for field in 0..FIELDS {
        let _ = write!(text, "a{field}:1\r\n");
    }
    text + "\r\n"
}

/// Sends requests ahead and reads no answer.
fn send_ahead(entry: SocketAddr, name: &str, is_over: &AtomicBool) {
    let Ok(mut stream) = TcpStream::connect_timeout(&entry, Duration::from_secs(2)) else {
        return;
    };
    let _ = stream.set_write_timeout(Some(Duration::from_millis(100)));
    let (mut sent, mut number) = (0, 0);
    let mut rest = Vec::new();
    while sent < MAX_SENT && !is_over.load(Ordering::SeqCst) {
        if rest.is_empty() {
            rest = request(&format!("ahead-{name}-{number}")).into_bytes();
            number += 1;
        }
        match stream.write(&rest) {
            Ok(count) => {
                rest.drain(..count);
                sent += count;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
    while !is_over.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(50));
    }
}

/// Sends the same requests one at a time and reads their answers.
fn send_in_turn(entry: SocketAddr, name: &str, is_over: &AtomicBool) {
    let Ok(mut connection) = Connection::open(entry, Duration::from_secs(2)) else {
        return;
    };
    let timeout = Some(Duration::from_secs(3));
    let _ = connection.stream.set_read_timeout(timeout);
    for number in 0.. {
        let request = request(&format!("turn-{name}-{number}"));
        if is_over.load(Ordering::SeqCst) || connection.send(request.as_bytes()).is_err() {
            return;
        }
        let Ok(Some(head)) = connection.read_head() else {
            return;
        };
        connection.read_body(&head, true);
        thread::sleep(Duration::from_millis(200));
    }
}
