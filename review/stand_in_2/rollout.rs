//! A bad version of a service whose old servers are lost while it is brought in.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::http;
use crate::mesh::{self, Machine, Mesh};
use crate::record::Record;
use crate::upstream::{Settings, Upstream};

/// Service that is rolled out.
const SERVICE: &str = "cards";

/// Senders of requests.
const SENDERS: usize = 12;

/// Interval of the requests of one sender.
const INTERVAL: Duration = Duration::from_millis(100);

/// Time from the first request until the order.
const CALM: Duration = Duration::from_secs(3);

/// Time budget of the roll-out: `durationS`.
const TIME_BUDGET: Duration = Duration::from_secs(16);

/// Time from the order until the old servers are lost.
const LOST_AFTER: Duration = Duration::from_secs(1);

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(30);

/// Route on which every second request of the bad version fails.
const FAILS_ON: &str = "/unsafe/";

/// One in this many requests goes there.
const ORDERS_DIVISOR: usize = 40;

/// Bound `exposureShare`, as a divisor.
const EXPOSURE_DIVISOR: usize = 10;

/// Bound `exposureSlack`.
const EXPOSURE_SLACK: usize = 50;

pub fn run(record: &Record, is_troubled: bool) -> io::Result<Outcome> {
    let machine = |service: &str, id: &str, version, fails_on, zone| Machine {
        upstream: Settings {
            service: service.into(),
            id: id.into(),
            version,
            work: WORK,
            fails_on,
            reads_after: Duration::ZERO,
            deadly: None,
        },
        zone,
        descriptors: 4_100,
        memory_mb: 260,
    };
    let bad = Some(FAILS_ON);
    let machines = vec![
        machine("front", "i-front", "v1", None, "zc"),
        machine(SERVICE, "i-old-1", "v1", None, "za"),
        machine(SERVICE, "i-old-2", "v1", None, "za"),
        machine(SERVICE, "i-new-1", "v2", bad, "zb"),
        machine(SERVICE, "i-new-2", "v2", bad, "zb"),
    ];
    let mut mesh = Mesh::prepare(machines, &mesh::config(SERVICE), record)?;
    for index in [3, 4] {
        let upstream = &mesh.nodes[index].upstream;
        upstream.is_reporting.store(false, Ordering::SeqCst);
    }
    mesh.await_ready()?;
    mesh.await_served(record)?;
    let entry = mesh.nodes[0].outbound;
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
                let request = match (sender + number) % ORDERS_DIVISOR {
                    0 => mesh::post("/unsafe/1", &format!("order-{sender}-{number}")),
                    _ => mesh::get("/safe/1", &format!("lookup-{sender}-{number}")),
                };
                let answer = http::call(entry, request.as_bytes(), Duration::from_secs(3));
                let is_served = answer.is_some_and(|(head, _)| head.status() == 200);
                served.fetch_add(u64::from(is_served), Ordering::SeqCst);
                thread::sleep(INTERVAL.saturating_sub(begin.elapsed()));
            }
        })
    });
    let senders: Vec<_> = senders.collect();
    thread::sleep(CALM);
    let ordered_at = Instant::now();
    let seconds = TIME_BUDGET.as_secs();
    let order = format!(r#"{{"service":"{SERVICE}","targetVersion":"v2","durationS":{seconds}}}"#);
    mesh.store
        .put("keyed.op", &format!("rollout/{SERVICE}"), order.as_bytes());
    record.line("the operator orders the roll-out of v2");
    for index in [3, 4] {
        let upstream = &mesh.nodes[index].upstream;
        upstream.is_reporting.store(true, Ordering::SeqCst);
    }
    thread::sleep(LOST_AFTER);
    if is_troubled {
        mesh.lose(1, record);
        mesh.lose(2, record);
    }
    thread::sleep(TIME_BUDGET.saturating_sub(ordered_at.elapsed()));
    is_over.store(true, Ordering::SeqCst);
    for sender in senders {
        let _ = sender.join();
    }
    let ended_at = ordered_at + TIME_BUDGET;
    let count = |indices: [usize; 2]| -> usize {
        let upstreams = indices.map(|index| &mesh.nodes[index].upstream);
        let runs = |upstream: &Arc<Upstream>| {
            let runs = upstream.runs.lock().map(|runs| runs.clone());
            let runs = runs.unwrap_or_default();
            let is_counted = |at| (ordered_at..ended_at).contains(at);
            runs.iter().filter(|run| is_counted(&run.at)).count()
        };
        upstreams.into_iter().map(runs).sum()
    };
    let (old, new) = (count([1, 2]), count([3, 4]));
    for (key, value) in mesh.store.records("keyed.status") {
        record.line(format!("status/{key}: {value}"));
    }
    let allowed = (old + new) / EXPOSURE_DIVISOR + EXPOSURE_SLACK;
    record.say(format!(
        "from the order to its time budget v1 got {old} requests and the bad v2 {new}; EXPOSURE \
         allows {allowed}"
    ));
    if served.load(Ordering::SeqCst) == 0 {
        return Err(io::Error::other("no request was served"));
    }
    Ok(if new > allowed {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
