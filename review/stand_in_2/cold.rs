//! A server that turns cold again while it serves.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::http;
use crate::mesh::{self, Machine, Mesh};
use crate::record::Record;
use crate::upstream::Settings;

/// Senders of requests.
const SENDERS: usize = 6;

/// Interval of the requests of one sender.
const INTERVAL: Duration = Duration::from_millis(100);

/// Time from the first request until the server turns cold.
const WARM_TIME: Duration = Duration::from_secs(6);

/// Time for which it stays cold: `coldStartS`.
const COLD_TIME: Duration = Duration::from_secs(3);

/// Requests that a cold server may get in one second: `coldPerS` x `coldOvershoot` + `coldSlack`.
const ALLOWED: usize = 16 * 3 / 2 + 5;

pub fn run(record: &Record, is_troubled: bool) -> io::Result<Outcome> {
    let machine = |service: &str, id: &str, zone| Machine {
        upstream: Settings {
            service: service.into(),
            id: id.into(),
            work: Duration::from_millis(40),
            reads_after: Duration::ZERO,
            deadly: None,
        },
        zone,
        descriptors: 4_100,
        memory_mb: 260,
    };
    let machines = vec![
        machine("front", "i-front", "za"),
        machine("cards", "i-cards", "zb"),
    ];
    let mesh = Mesh::start(machines, &mesh::config("cards"), record)?;
    mesh.await_served(record)?;
    let (entry, upstream) = (mesh.nodes[0].outbound, &mesh.nodes[1].upstream);
    let (served, is_over) = (
        Arc::new(AtomicU64::new(0)),
        Arc::new(AtomicBool::new(false)),
    );
    let senders = (0..SENDERS).map(|sender| {
        let (served, is_over) = (served.clone(), is_over.clone());
        thread::spawn(move || {
            for number in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    break;
                }
                let begin = Instant::now();
                let request = mesh::get("/safe/1", &format!("lookup-{sender}-{number}"));
                let answer = http::call(entry, request.as_bytes(), Duration::from_secs(3));
                let is_served = answer.is_some_and(|(head, _)| head.status() == 200);
                served.fetch_add(u64::from(is_served), Ordering::SeqCst);
                thread::sleep(INTERVAL.saturating_sub(begin.elapsed()));
            }
        })
    });
    let senders: Vec<_> = senders.collect();
    thread::sleep(WARM_TIME);
    let reports = upstream.reports.load(Ordering::SeqCst);
    while upstream.reports.load(Ordering::SeqCst) == reports {
        thread::sleep(Duration::from_millis(10));
    }
    let cold_at = Instant::now();
    if is_troubled {
        upstream.turn_cold(COLD_TIME);
    }
    thread::sleep(COLD_TIME);
    let warm_at = Instant::now();
    is_over.store(true, Ordering::SeqCst);
    for sender in senders {
        let _ = sender.join();
    }
    let runs = upstream.runs.lock().map(|runs| runs.clone());
    let times: Vec<Instant> = runs
        .unwrap_or_default()
        .iter()
        .map(|run| run.at)
        .filter(|at| is_troubled && (cold_at..warm_at).contains(at))
        .collect();
    let second = Duration::from_secs(1);
    let most = (0..times.len())
        .map(|first| {
            times[first..]
                .iter()
                .filter(|at| **at - times[first] < second)
                .count()
        })
        .max()
        .unwrap_or(0);
    record.say(format!(
        "{} requests were served; while cold the server got {} requests, {most} of them within \
         one second; FAILBACK allows {ALLOWED}",
        served.load(Ordering::SeqCst),
        times.len()
    ));
    if served.load(Ordering::SeqCst) == 0 {
        return Err(io::Error::other("no request was served"));
    }
    Ok(if most > ALLOWED {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
