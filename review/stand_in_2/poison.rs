//! A request that crashes its servers, whose body comes in small pieces.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::http::{self, Connection};
use crate::mesh::{self, HOST, Machine, Mesh};
use crate::record::Record;
use crate::upstream::Settings;

/// Service that the requests go to.
const SERVICE: &str = "orders";

/// Time for which the request comes again.
const DURATION: Duration = Duration::from_secs(20);

/// Pause of its sender between two attempts.
const PAUSE: Duration = Duration::from_millis(700);

/// Pause between two other requests.
const OTHERS_PAUSE: Duration = Duration::from_millis(20);

/// Senders of other requests.
const OTHERS: usize = 4;

/// Bytes of its body.
const BODY_BYTES: usize = 600;

/// Bytes of the largest piece.
const MAX_PIECE: u64 = 60;

/// Pause between two pieces, as on a slow link.
const PIECE_PAUSE: Duration = Duration::from_millis(8);

/// Crashes after which the request may reach servers only [`ALLOWED`] times more.
const CRASHES: usize = 3;

/// Bound `contactWindowS`, after which retries count.
const CONTACT_WINDOW: Duration = Duration::from_secs(3);

/// Retries that the rule allows then.
const ALLOWED: usize = 3;

/// Runs the case; the body is sent in one piece unless `is_split`.
pub fn run(record: &Record, is_troubled: bool, is_split: bool) -> io::Result<Outcome> {
    let body: Vec<u8> = (0..BODY_BYTES).map(|i| b'a' + (i % 23) as u8).collect();
    let machines = ["za", "zb", "zc", "za", "zb", "zc"].into_iter().enumerate();
    let machines = machines.map(|(index, zone)| Machine {
        upstream: Settings {
            service: SERVICE.into(),
            id: format!("i-{}", index + 1),
            work: Duration::from_millis(40),
            reads_after: Duration::ZERO,
            deadly: is_troubled.then(|| body.clone()),
        },
        zone,
        descriptors: 4_100,
        memory_mb: 260,
    });
    let mesh = Mesh::start(machines.collect(), &mesh::config(SERVICE), record)?;
    let entries: Vec<SocketAddr> = mesh.nodes.iter().map(|node| node.outbound).collect();
    mesh.await_served(record)?;
    let (served, asked) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let is_over = Arc::new(AtomicBool::new(false));
    let others = (0..OTHERS).map(|sender| {
        let (served, asked, is_over) = (served.clone(), asked.clone(), is_over.clone());
        let entries = entries.clone();
        thread::spawn(move || {
            for number in sender.. {
                if is_over.load(Ordering::SeqCst) {
                    break;
                }
                let request = mesh::get("/safe/1", &format!("other-{sender}-{number}"));
                let entry = entries[number % entries.len()];
                let answer = http::call(entry, request.as_bytes(), Duration::from_secs(3));
                asked.fetch_add(1, Ordering::SeqCst);
                let is_served = answer.is_some_and(|(head, _)| head.status() == 200);
                served.fetch_add(u64::from(is_served), Ordering::SeqCst);
                thread::sleep(OTHERS_PAUSE);
            }
        })
    });
    let others: Vec<_> = others.collect();
    let started = Instant::now();
    let mut random = 0x9e37_79b9_7f4a_7c15_u64 ^ u64::from(std::process::id());
    let mut sent = 0;
    for number in 0.. {
        if started.elapsed() > DURATION {
            break;
        }
        sent += 1;
        let id = format!("order-{number}");
        let entry = entries[number % entries.len()];
        let status = send(entry, &id, &body, is_split, &mut random);
        record.line(format!("{id} at {entry}: status {status:?}"));
        thread::sleep(PAUSE);
    }
    is_over.store(true, Ordering::SeqCst);
    for sender in others {
        let _ = sender.join();
    }
    let mut crashes: Vec<Instant> = Vec::new();
    for node in &mesh.nodes {
        if let Ok(times) = node.upstream.crashes.lock() {
            crashes.extend(times.iter());
        }
    }
    crashes.sort();
    let counted_from = crashes.get(CRASHES - 1).map(|at| *at + CONTACT_WINDOW);
    let late = counted_from.map_or(0, |from| crashes.iter().filter(|at| **at > from).count());
    let (asked, served) = (asked.load(Ordering::SeqCst), served.load(Ordering::SeqCst));
    record.say(format!(
        "the request was sent {sent} times, {served} of {asked} other requests were served"
    ));
    record.say(format!(
        "the request crashed servers {} times, {late} of them later than 3 s after the third; \
         BUDGET allows {ALLOWED}",
        crashes.len()
    ));
    if served == 0 {
        return Err(io::Error::other("no other request was served"));
    }
    Ok(if late > ALLOWED {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// Sends the request once; returns the status of its response.
fn send(entry: SocketAddr, id: &str, body: &[u8], is_split: bool, random: &mut u64) -> Option<u16> {
    let framing = match is_split {
        true => "Transfer-Encoding: chunked".to_owned(),
        false => format!("Content-Length: {}", body.len()),
    };
    let head = format!(
        "POST /unsafe/orders HTTP/1.1\r\nHost: {HOST}\r\nBuckthornworks-Request-Id: {id}\r\n\
         Buckthornworks-Deadline-Milliseconds: 2500\r\n{framing}\r\n\r\n"
    );
    let mut connection = Connection::open(entry, Duration::from_secs(1)).ok()?;
    connection
        .stream
        .set_read_timeout(Some(Duration::from_secs(3)))
        .ok()?;
    connection.send(head.as_bytes()).ok()?;
    let mut rest = body;
    while is_split && !rest.is_empty() {
        *random ^= *random << 13;
        *random ^= *random >> 7;
        *random ^= *random << 17;
        let size = (1 + *random % MAX_PIECE) as usize;
        let (piece, left) = rest.split_at(size.min(rest.len()));
        rest = left;
        let line = format!("{:x}\r\n", piece.len());
        // A node that refuses the request may close before its end.
        if connection
            .send(&[line.as_bytes(), piece, b"\r\n"].concat())
            .is_err()
        {
            break;
        }
        thread::sleep(PIECE_PAUSE);
    }
    let _ = connection.send(if is_split { b"0\r\n\r\n" } else { body });
    Some(connection.read_head().ok()??.status())
}
