//! The cases.

use std::fs;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Ended, Outcome, Request};
use crate::node::{Node, Site};
use crate::record::Record;
use crate::store::Store;
use crate::upstream::{self, Behavior, Settings, Upstream};

/// Result of a case.
pub struct Verdict {
    pub is_broken: bool,
    pub text: String,
}

type Result<T> = std::result::Result<T, String>;

/// Service of the upstreams.
const SERVICE: &str = "desk";

/// Bound `contactWindowS`.
const CONTACT_WINDOW: Duration = Duration::from_secs(3);

/// Bound `drainPeriodS`.
const DRAIN_PERIOD: Duration = Duration::from_secs(2);

/// `timeoutS` of all routes.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Requests a second that a cold upstream takes (`coldPerS`).
const COLD_PER_S: f64 = 16.0;

/// Runs a case by its name.
pub fn run(name: &str, is_troubled: bool, record: &Record) -> Result<Verdict> {
    match name {
        "endless" => endless(is_troubled, record),
        "cold" => cold(is_troubled, record),
        "late_beat" => late_beat(is_troubled, record),
        "deadly" => deadly(is_troubled, record),
        "limit" => limit(is_troubled, record),
        "rollback" => rollback(is_troubled, record),
        "twice" => twice(is_troubled, record),
        "late_leave" => late_leave(is_troubled, record),
        _ => Err(format!("unknown case {name}")),
    }
}

/// Machines with their nodes, and the store.
struct Mesh {
    store: Store,
    nodes: Vec<Node>,
    site: Site,
    record: Record,
}

impl Drop for Mesh {
    fn drop(&mut self) {
        crate::node::end_all();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.site.directory);
        }
    }
}

impl Mesh {
    /// Starts the store with a configuration, and the nodes.
    fn start(count: usize, record: &Record) -> Result<Self> {
        let root = std::env::current_dir().map_err(|error| error.to_string())?;
        let site = Site::new(&root);
        let store = Store::start();
        store.put("keyed.op", "config", policy());
        let new = |index| Node::new(&site, index, SERVICE, store.address, record);
        let nodes: Vec<Node> = (0..count).map(new).collect();
        let mesh = Self {
            store,
            nodes,
            site,
            record: record.clone(),
        };
        for node in &mesh.nodes {
            node.start();
        }
        for node in &mesh.nodes {
            node.wait_until_ready()?;
        }
        Ok(mesh)
    }

    /// Waits until a node serves requests.
    fn wait_until_served(&self, node: &Node) -> Result<()> {
        let started = Instant::now();
        while self.get(node, "/read/probe").status != 200 {
            if started.elapsed() > Duration::from_secs(15) {
                return Err(format!("{} serves nothing", node.name));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Sends a safe request to a node, with a time budget of 2.5 s.
    fn get(&self, node: &Node, path: &str) -> Outcome {
        let request = Request {
            method: "GET",
            path,
            id: client::next_id(),
            budget: Duration::from_millis(2_500),
            patience: Duration::from_millis(2_600),
        };
        self.send(node, &request)
    }

    fn send(&self, node: &Node, request: &Request<'_>) -> Outcome {
        send(&self.record, node, request)
    }
}

/// Sends a request to a node and records it.
fn send(record: &Record, node: &Node, request: &Request<'_>) -> Outcome {
    let sent = record.now();
    let outcome = client::send(node.outbound, request);
    record.line(format!(
        "client at {}: {} {} {} sent at {:.3} s: {:?}, status {}, {} bytes, after {} ms",
        node.name,
        request.method,
        request.path,
        request.id,
        sent.as_secs_f64(),
        outcome.ended,
        outcome.status,
        outcome.bytes,
        outcome.took.as_millis()
    ));
    outcome
}

/// Configuration with routes for safe and unsafe requests to the service.
fn policy() -> String {
    let route = |prefix: &str, kind: &str, attempts: u32| {
        let host = client::HOST;
        let timeout = ROUTE_TIMEOUT.as_secs_f64();
        format!(
            r#""r-{kind}-{attempts}":{{"host":"{host}","pathPrefix":"{prefix}","kind":"{kind}","timeoutS":{timeout},"targetLatencyS":0.4,"priority":2,"service":"{SERVICE}","attempts":{attempts}}}"#
        )
    };
    let routes = [
        route("/read/", "safe", 2),
        route("/order/", "unsafe", 2),
        route("/deadly/", "safe", 3),
    ];
    format!(
        r#"{{"version":"00000007","routes":{{{}}},"services":{{"{SERVICE}":{{"healthCheckPath":"/health","connectionLimit":130,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":{COLD_PER_S}}}}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}}}"#,
        routes.join(",")
    )
}

/// Settings of an upstream that is warm.
fn warm<'a>(id: &'a str, work_ms: u64) -> Settings<'a> {
    Settings {
        id,
        service: SERVICE,
        version: "v1",
        slots: 9,
        work: Duration::from_millis(work_ms),
        cold_time: Duration::ZERO,
        beat_interval: upstream::BEAT_INTERVAL,
    }
}

/// Clients that send requests at a steady rate until they are stopped.
struct Load {
    is_over: Arc<AtomicBool>,
    sender: Option<thread::JoinHandle<()>>,
    outcomes: Arc<Mutex<Vec<(Instant, String, Outcome)>>>,
}

impl Load {
    fn start(
        record: &Record,
        node: &Node,
        method: &'static str,
        path: &'static str,
        rate: u32,
    ) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let outcomes: Arc<Mutex<Vec<_>>> = Arc::default();
        let (over, all) = (is_over.clone(), outcomes.clone());
        let (record, node) = (record.clone(), node.clone());
        let sender = thread::spawn(move || {
            let started = Instant::now();
            let mut sent = 0;
            let mut clients = Vec::new();
            while !over.load(Ordering::SeqCst) {
                let due = started + Duration::from_secs(1) * sent / rate;
                thread::sleep(due.saturating_duration_since(Instant::now()));
                sent += 1;
                let (record, node, all) = (record.clone(), node.clone(), all.clone());
                clients.push(thread::spawn(move || {
                    let id = client::next_id();
                    let request = Request {
                        method,
                        path,
                        id: id.clone(),
                        budget: Duration::from_millis(2_500),
                        patience: Duration::from_millis(2_600),
                    };
                    let at = Instant::now();
                    let outcome = send(&record, &node, &request);
                    all.lock().unwrap().push((at, id, outcome));
                }));
            }
            for client in clients {
                let _ = client.join();
            }
        });
        Self {
            is_over,
            sender: Some(sender),
            outcomes,
        }
    }

    /// Stops and returns when each request was sent, its identifier and how it ended.
    fn stop(mut self) -> Vec<(Instant, String, Outcome)> {
        self.is_over.store(true, Ordering::SeqCst);
        if let Some(sender) = self.sender.take() {
            let _ = sender.join();
        }
        let mut outcomes = self.outcomes.lock().unwrap().clone();
        outcomes.sort_by_key(|(at, ..)| *at);
        outcomes
    }
}

/// Largest number of arrivals in a sliding span.
fn most_in(times: &[Instant], span: Duration) -> usize {
    let count = |from: &Instant| {
        times
            .iter()
            .filter(|at| **at >= *from && **at < *from + span)
            .count()
    };
    times.iter().map(count).max().unwrap_or(0)
}

/// CONFIG: requests have their final answer half a second after their route's `timeoutS`.
fn endless(is_troubled: bool, record: &Record) -> Result<Verdict> {
    const REQUESTS: usize = 12;
    let budget = Duration::from_secs(10);
    let mesh = Mesh::start(2, record)?;
    let upstreams = [
        Upstream::start(&mesh.nodes[0], &warm("i-a", 20), record),
        Upstream::start(&mesh.nodes[1], &warm("i-b", 20), record),
    ];
    for node in &mesh.nodes {
        mesh.wait_until_served(node)?;
    }
    thread::sleep(CONTACT_WINDOW + Duration::from_secs(1));
    if is_troubled {
        for upstream in &upstreams {
            upstream.set_behavior(Behavior::Endless);
        }
    }
    let clients: Vec<_> = (0..REQUESTS)
        .map(|index| {
            let (record, node) = (record.clone(), mesh.nodes[index % 2].clone());
            thread::spawn(move || {
                let request = Request {
                    method: "GET",
                    path: "/read/1",
                    id: client::next_id(),
                    budget,
                    patience: budget,
                };
                send(&record, &node, &request)
            })
        })
        .collect();
    let outcomes: Vec<Outcome> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    for upstream in &upstreams {
        upstream.end();
    }
    let bound = ROUTE_TIMEOUT + Duration::from_millis(500);
    let lasted = outcomes
        .iter()
        .filter(|outcome| outcome.took > ROUTE_TIMEOUT)
        .count();
    let late = outcomes
        .iter()
        .filter(|outcome| outcome.took > bound)
        .count();
    let unended = outcomes
        .iter()
        .filter(|outcome| outcome.ended == Ended::GaveUp)
        .count();
    Ok(Verdict {
        is_broken: late >= 8 && late * 4 > lasted,
        text: format!(
            "of {REQUESTS} requests {lasted} lasted longer than timeoutS, {late} had no final \
             answer 0.5 s later, and {unended} none at the end of their time budget of 10 s"
        ),
    })
}

/// FAILBACK: a cold upstream gets a bounded number of requests a second.
fn cold(is_troubled: bool, record: &Record) -> Result<Verdict> {
    let bound = (COLD_PER_S * 1.5 + 5.0) as usize;
    let mesh = Mesh::start(3, record)?;
    let [owner, other, third] = [&mesh.nodes[0], &mesh.nodes[1], &mesh.nodes[2]];
    let helpers = [
        Upstream::start(other, &warm("i-warm", 40), record),
        Upstream::start(third, &warm("i-warm-too", 40), record),
    ];
    for node in &mesh.nodes {
        mesh.wait_until_served(node)?;
    }
    thread::sleep(CONTACT_WINDOW);
    let loads = [
        Load::start(record, owner, "POST", "/order/1", 100),
        Load::start(record, other, "POST", "/order/2", 100),
        Load::start(record, third, "GET", "/read/3", 100),
    ];
    thread::sleep(Duration::from_secs(2));
    let settings = Settings {
        cold_time: upstream::COLD_TIME,
        beat_interval: Duration::from_millis(1_700),
        ..warm("i-cold", 40)
    };
    let upstream = Upstream::start(owner, &settings, record);
    // Twice the rate that it takes while it is cold.
    upstream.set_behavior(Behavior::Fragile(2 * COLD_PER_S as usize));
    // Its second liveness report comes 1.7 s after the first one.
    thread::sleep(Duration::from_millis(1_300));
    if is_troubled {
        owner.kill();
        thread::sleep(Duration::from_millis(200));
        owner.start();
    }
    thread::sleep(Duration::from_millis(1_600));
    let arrivals = upstream.arrivals();
    let crashes = upstream.crashes();
    let outcomes: Vec<_> = loads.into_iter().flat_map(Load::stop).collect();
    upstream.end();
    helpers.iter().for_each(Upstream::end);
    if arrivals.is_empty() {
        return Err("the cold upstream got nothing".into());
    }
    let is_lost = |crash: &Instant, id: &str| {
        let (from, to) = (
            *crash - Duration::from_millis(60),
            *crash + Duration::from_millis(20),
        );
        arrivals
            .iter()
            .any(|a| a.id == id && a.at >= from && a.at <= to && a.path != "/read/3")
    };
    let orders = outcomes
        .iter()
        .filter(|(.., outcome)| outcome.status != 200);
    let lost = orders
        .filter(|(_, id, _)| crashes.iter().any(|crash| is_lost(crash, id)))
        .count();
    // Only requests that were also sent inside the second count.
    let sent_at = |id: &str| {
        outcomes
            .iter()
            .find(|(_, sent, _)| sent == id)
            .map(|(at, ..)| *at)
    };
    let spans: Vec<(Instant, Instant)> = arrivals
        .iter()
        .filter_map(|arrival| Some((sent_at(&arrival.id)?, arrival.at)))
        .collect();
    let within = |from: Instant| {
        let to = from + Duration::from_secs(1);
        spans
            .iter()
            .filter(|(sent, arrived)| *sent >= from && *arrived < to)
            .count()
    };
    let most = spans
        .iter()
        .map(|(sent, _)| within(*sent))
        .max()
        .unwrap_or(0);
    Ok(Verdict {
        is_broken: most > bound,
        text: format!(
            "the cold upstream got {most} requests in one second; the bound is {bound}; it crashed \
             {} times, and {lost} orders that it had begun were lost then",
            crashes.len()
        ),
    })
}

/// DRAIN: no request reaches an upstream later than `drainPeriodS` after the ack of its leaving.
fn late_beat(is_troubled: bool, record: &Record) -> Result<Verdict> {
    let mesh = Mesh::start(3, record)?;
    let [owner, other, _] = [&mesh.nodes[0], &mesh.nodes[1], &mesh.nodes[2]];
    let upstreams = [
        Upstream::start(owner, &warm("i-leaving", 40), record),
        Upstream::start(other, &warm("i-staying", 40), record),
        Upstream::start(&mesh.nodes[2], &warm("i-staying-too", 40), record),
    ];
    for node in &mesh.nodes {
        mesh.wait_until_served(node)?;
    }
    thread::sleep(CONTACT_WINDOW + Duration::from_secs(1));
    let leaving = &upstreams[0];
    // A report that is on its way for 3 s.
    leaving.stop_beats();
    let late = leaving.next_beat();
    let delayed = {
        let (leaving, late) = (leaving.clone(), late.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(3));
            leaving.report("heartbeat", &late);
        })
    };
    record.line(format!(
        "upstream i-leaving: sends a report that is delayed by 3 s: {late}"
    ));
    thread::sleep(Duration::from_millis(100));
    if !leaving.leave() {
        return Err("the leave was not acknowledged".into());
    }
    let acknowledged = Instant::now();
    thread::sleep(Duration::from_millis(400));
    if is_troubled {
        for node in &mesh.nodes {
            node.kill();
        }
        thread::sleep(Duration::from_millis(500));
        for node in &mesh.nodes {
            node.start();
        }
    }
    let started = Instant::now();
    for node in &mesh.nodes {
        node.wait_until_ready()?;
    }
    let in_touch = started + CONTACT_WINDOW + Duration::from_millis(200);
    let loads: Vec<Load> = mesh
        .nodes
        .iter()
        .map(|node| Load::start(record, node, "GET", "/read/1", 10))
        .collect();
    thread::sleep(Duration::from_secs(9).saturating_sub(acknowledged.elapsed()));
    let outcomes: Vec<_> = loads.into_iter().flat_map(Load::stop).collect();
    let _ = delayed.join();
    let from = in_touch.max(acknowledged + DRAIN_PERIOD);
    let arrivals = leaving.arrivals();
    // Sent and run when all nodes had been in touch.
    let is_counted = |id: &str| {
        outcomes
            .iter()
            .any(|(sent, sent_id, _)| *sent >= from && sent_id == id)
    };
    let counted: Vec<_> = arrivals
        .iter()
        .filter(|arrival| is_counted(&arrival.id))
        .collect();
    let served = outcomes
        .iter()
        .filter(|(.., outcome)| outcome.status == 200)
        .count();
    for upstream in &upstreams {
        upstream.end();
    }
    let last = counted
        .last()
        .map_or(0.0, |last| (last.at - acknowledged).as_secs_f64());
    Ok(Verdict {
        is_broken: !counted.is_empty(),
        text: format!(
            "{} requests that were sent over 2 s after the ack of the leave, by machines in touch, \
             reached the upstream that had left; the last one {last:.1} s after the ack; {served} \
             of {} requests were served",
            counted.len(),
            outcomes.len()
        ),
    })
}

/// BUDGET: a request that has crashed three upstreams reaches upstreams in at most three retries.
fn deadly(is_troubled: bool, record: &Record) -> Result<Verdict> {
    let mesh = Mesh::start(6, record)?;
    let names = ["i-0", "i-1", "i-2", "i-3", "i-4", "i-5"];
    let upstreams: Vec<Upstream> = mesh
        .nodes
        .iter()
        .zip(names)
        .map(|(node, name)| Upstream::start(node, &warm(name, 300), record))
        .collect();
    for node in &mesh.nodes {
        mesh.wait_until_served(node)?;
    }
    thread::sleep(CONTACT_WINDOW + Duration::from_secs(1));
    for upstream in &upstreams {
        upstream.set_behavior(Behavior::CrashedBy(Duration::from_secs(3)));
    }
    let count = || -> usize {
        let deadly = |upstream: &Upstream| {
            upstream
                .arrivals()
                .iter()
                .filter(|a| a.path.starts_with("/deadly/"))
                .count()
        };
        upstreams.iter().map(deadly).sum()
    };
    // The request comes again and again, until it is contained.
    for round in 0..4 {
        mesh.get(&mesh.nodes[round % 6], "/deadly/1");
        thread::sleep(Duration::from_secs(1));
    }
    let crashes = count();
    if crashes < 3 {
        return Err(format!("the request crashed only {crashes} upstreams"));
    }
    let after_third = Instant::now();
    thread::sleep(Duration::from_secs(4));
    if is_troubled {
        for node in &mesh.nodes {
            node.kill();
        }
        thread::sleep(Duration::from_millis(500));
        for node in &mesh.nodes {
            node.start();
        }
    }
    for node in &mesh.nodes {
        node.wait_until_ready()?;
    }
    for node in &mesh.nodes {
        mesh.wait_until_served(node)?;
    }
    thread::sleep(CONTACT_WINDOW + Duration::from_secs(2));
    let before = count();
    let sent_after = after_third.elapsed();
    // Unsafe orders of other clients, which are in progress when the upstreams crash.
    let loads: Vec<Load> = mesh
        .nodes
        .iter()
        .map(|node| Load::start(record, node, "POST", "/order/1", 15))
        .collect();
    thread::sleep(Duration::from_secs(1));
    for round in 0..4 {
        mesh.get(&mesh.nodes[round % 6], "/deadly/1");
        thread::sleep(Duration::from_millis(1_500));
    }
    let again = count() - before;
    let orders: Vec<_> = loads.into_iter().flat_map(Load::stop).collect();
    let is_lost = |(_, id, outcome): &&(Instant, String, Outcome)| {
        let has_run = upstreams
            .iter()
            .any(|u| u.arrivals().iter().any(|a| a.id == *id));
        has_run && outcome.status != 200
    };
    let lost = orders.iter().filter(is_lost).count();
    for upstream in &upstreams {
        upstream.end();
    }
    Ok(Verdict {
        is_broken: again > 3,
        text: format!(
            "the request had crashed {crashes} upstreams; sent again by machines in touch, {:.0} s \
             later, it reached upstreams {again} times; of {} orders of other clients {lost} began \
             to run and were lost in the crashes",
            sent_after.as_secs_f64(),
            orders.len()
        ),
    })
}

/// LIMIT: an upstream gets at most one and a half times the requests that it names, and 5 more.
fn limit(is_troubled: bool, record: &Record) -> Result<Verdict> {
    const LIMIT: f64 = 1.0;
    let span = Duration::from_secs(4);
    let bound = (LIMIT * 4.0 * 1.5 + 5.0) as usize;
    let mesh = Mesh::start(3, record)?;
    let owner = &mesh.nodes[0];
    let upstreams: Vec<Upstream> = mesh
        .nodes
        .iter()
        .zip(["i-in-need", "i-1", "i-2"])
        .map(|(node, name)| Upstream::start(node, &warm(name, 300), record))
        .collect();
    for node in &mesh.nodes {
        mesh.wait_until_served(node)?;
    }
    thread::sleep(CONTACT_WINDOW + Duration::from_secs(1));
    upstreams[0].set_rate_limit(Some(LIMIT));
    let loads: Vec<Load> = mesh.nodes[1..]
        .iter()
        .map(|node| Load::start(record, node, "GET", "/read/1", 40))
        .collect();
    thread::sleep(CONTACT_WINDOW + Duration::from_secs(5));
    let from = Instant::now() - Duration::from_secs(4);
    if is_troubled {
        owner.kill();
        thread::sleep(Duration::from_secs(1));
        owner.start();
    }
    thread::sleep(Duration::from_secs(9));
    let outcomes: Vec<_> = loads.into_iter().flat_map(Load::stop).collect();
    let sent: Vec<&String> = outcomes.iter().map(|(_, id, _)| id).collect();
    let times: Vec<Instant> = upstreams[0]
        .arrivals()
        .iter()
        .filter(|arrival| arrival.at >= from && sent.contains(&&arrival.id))
        .map(|arrival| arrival.at)
        .collect();
    for upstream in &upstreams {
        upstream.end();
    }
    let most = most_in(&times, span);
    Ok(Verdict {
        is_broken: most > bound,
        text: format!("the upstream got {most} requests in 4 s; the bound is {bound}"),
    })
}

/// A late leave of the lifetime before holds for that lifetime only.
fn late_leave(is_troubled: bool, record: &Record) -> Result<Verdict> {
    let mesh = Mesh::start(1, record)?;
    let node = &mesh.nodes[0];
    let before = Upstream::start(node, &warm("i-same", 40), record);
    mesh.wait_until_served(node)?;
    thread::sleep(CONTACT_WINDOW + Duration::from_secs(1));
    before.stop_beats();
    let leave = before.leave_body();
    let delayed = {
        let control = node.control;
        let record = record.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(if is_troubled { 3_000 } else { 0 }));
            let path = "/-/rpc?call=instances.leave&of=i-same";
            let status = upstream::post(control, path, &leave);
            record.line(format!(
                "the leave of the first lifetime arrives: {status:?}"
            ));
        })
    };
    thread::sleep(Duration::from_millis(800));
    before.end();
    thread::sleep(Duration::from_millis(200));
    let after = Upstream::start(node, &warm("i-same", 40), record);
    let _ = delayed.join();
    thread::sleep(Duration::from_secs(4));
    let load = Load::start(record, node, "GET", "/read/1", 10);
    thread::sleep(Duration::from_secs(20));
    let outcomes = load.stop();
    after.end();
    let served = outcomes
        .iter()
        .filter(|(.., outcome)| outcome.status == 200)
        .count();
    Ok(Verdict {
        is_broken: served * 4 < outcomes.len(),
        text: format!(
            "{served} of {} requests to the new lifetime were served",
            outcomes.len()
        ),
    })
}

/// TWICE: a request that isn't idempotent runs once.
fn twice(is_troubled: bool, record: &Record) -> Result<Verdict> {
    const REQUESTS: usize = 30;
    let mesh = Mesh::start(3, record)?;
    let upstreams: Vec<Upstream> = mesh
        .nodes
        .iter()
        .zip(["i-0", "i-1", "i-2"])
        .map(|(node, name)| Upstream::start(node, &warm(name, 40), record))
        .collect();
    for node in &mesh.nodes {
        mesh.wait_until_served(node)?;
    }
    thread::sleep(CONTACT_WINDOW + Duration::from_secs(1));
    let loads: Vec<Load> = mesh
        .nodes
        .iter()
        .map(|node| Load::start(record, node, "GET", "/read/1", 40))
        .collect();
    thread::sleep(Duration::from_secs(4));
    let from = Instant::now();
    if is_troubled {
        // 2 in 100 of its answers, for 5 s.
        upstreams[0].set_behavior(Behavior::BreakingOff(50));
    }
    let mut ids = Vec::new();
    for index in 0..REQUESTS {
        if from.elapsed() > Duration::from_secs(5) {
            upstreams[0].set_behavior(Behavior::Sound);
        }
        let request = Request {
            method: "GET",
            path: "/order/export",
            id: client::next_id(),
            budget: Duration::from_millis(2_500),
            patience: Duration::from_millis(2_600),
        };
        mesh.send(&mesh.nodes[index % 3], &request);
        ids.push(request.id);
        thread::sleep(Duration::from_millis(300));
    }
    loads.into_iter().for_each(|load| drop(load.stop()));
    let runs = |id: &String| -> usize {
        let count = |upstream: &Upstream| {
            upstream
                .arrivals()
                .iter()
                .filter(|arrival| arrival.id == *id)
                .count()
        };
        upstreams.iter().map(count).sum()
    };
    let doubled = ids.iter().filter(|id| runs(id) > 1).count();
    let once = ids.iter().filter(|id| runs(id) == 1).count();
    for upstream in &upstreams {
        upstream.end();
    }
    if once + doubled == 0 {
        return Err("no request has run".into());
    }
    Ok(Verdict {
        is_broken: doubled > 0,
        text: format!(
            "of {REQUESTS} requests on an unsafe route {once} ran once and {doubled} more than once"
        ),
    })
}

/// EXPOSURE: a bad version gets a bounded part of the requests to its service.
fn rollback(is_troubled: bool, record: &Record) -> Result<Verdict> {
    let window = Duration::from_secs(12);
    let drain_delay = Duration::from_secs(5);
    let mesh = Mesh::start(8, record)?;
    let ids = ["i-0", "i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7"];
    let start = |index: usize, version: &'static str| {
        let cold_time = if version == "v1" {
            Duration::ZERO
        } else {
            upstream::COLD_TIME
        };
        let settings = Settings {
            version,
            cold_time,
            ..warm(ids[index], 40)
        };
        Upstream::start(&mesh.nodes[index], &settings, record)
    };
    let old: Vec<Upstream> = (0..3).map(|index| start(index, "v1")).collect();
    for node in &mesh.nodes {
        mesh.wait_until_served(node)?;
    }
    thread::sleep(CONTACT_WINDOW + Duration::from_secs(1));
    let loads: Vec<Load> = mesh
        .nodes
        .iter()
        .map(|node| Load::start(record, node, "POST", "/order/1", 30))
        .collect();
    let bad: Vec<Upstream> = (3..6).map(|index| start(index, "v2")).collect();
    for upstream in &bad {
        upstream.set_behavior(Behavior::Failing(5));
    }
    let key = format!("rollout/{SERVICE}");
    let order = |version: &str| {
        let value = format!(
            r#"{{"service":"{SERVICE}","targetVersion":"{version}","durationS":{}}}"#,
            window.as_secs()
        );
        mesh.store.put("keyed.op", &key, &value);
        record.line(format!("operator: {key} {value}"));
    };
    order("v2");
    let ordered = Instant::now();
    let status = || {
        mesh.store
            .newest_value("keyed.status", &key)
            .unwrap_or_default()
    };
    while !status().contains("rolled_back") {
        if ordered.elapsed() > window {
            return Err(format!("the bad version was not rolled back: {}", status()));
        }
        thread::sleep(Duration::from_millis(20));
    }
    let rolled_back = Instant::now();
    record.line(format!("operator: reads status/{key} {}", status()));
    let mut next = Vec::new();
    if is_troubled {
        thread::sleep(Duration::from_millis(500));
        next = (6..8).map(|index| start(index, "v3")).collect();
        order("v3");
    }
    thread::sleep(drain_delay.saturating_sub(rolled_back.elapsed()));
    bad.iter().for_each(Upstream::drain);
    thread::sleep(window.saturating_sub(ordered.elapsed()));
    let outcomes: Vec<_> = loads.into_iter().flat_map(Load::stop).collect();
    let in_window = |at: Instant| at >= ordered && at < ordered + window;
    let count = |upstreams: &[Upstream]| -> usize {
        let count = |upstream: &Upstream| {
            upstream
                .arrivals()
                .iter()
                .filter(|arrival| in_window(arrival.at))
                .count()
        };
        upstreams.iter().map(count).sum()
    };
    let exposed = count(&bad);
    let all = count(&old) + exposed + count(&next);
    let after = |upstream: &Upstream| {
        upstream
            .arrivals()
            .iter()
            .filter(|arrival| arrival.at > rolled_back)
            .count()
    };
    let late: usize = bad.iter().map(after).sum();
    let failed = outcomes
        .iter()
        .filter(|(.., outcome)| outcome.status == 500)
        .count();
    for upstream in old.iter().chain(&bad).chain(&next) {
        upstream.end();
    }
    let bound = all / 10 + 50;
    Ok(Verdict {
        is_broken: exposed > bound,
        text: format!(
            "the bad version got {exposed} of {all} requests in its window, {late} of them after it \
             was rolled back; the bound is {bound}; {failed} orders failed"
        ),
    })
}
