//! Orders whose servers read a long body late, while more clients come than a node takes connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::http::Connection;
use crate::mesh::{self, HOST, Machine, Mesh};
use crate::record::Record;
use crate::upstream::Settings;

/// Descriptors of each process; 200 are for files, and half of the rest for connections of clients.
const DESCRIPTORS: u32 = 600;

/// Connections of clients that a node takes with these.
const CONNECTIONS: usize = 200;

/// Threads that open the connections of the other clients.
const OPENERS: usize = 8;

/// Clients that send an order, each on a connection that it has used before.
const ORDERS: usize = 12;

/// Bytes of an order, within `maxBodyBytes`.
const ORDER_BYTES: usize = 12_000_000;

/// Time from the head of an order until its server reads on.
const READS_AFTER: Duration = Duration::from_millis(1_900);

/// Time from the orders until more clients come.
const CROWD_AFTER: Duration = Duration::from_millis(1_600);

/// Clients that come then.
const CROWD: usize = 40;

/// Time within which a client gets an answer or a closed connection.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);

/// Closed connections that the rule allows.
const ALLOWED: usize = 3;

/// How an order ended for its client.
enum End {
    /// It was answered with a status.
    Answered(u16),
    /// Its connection ended without an answer.
    Closed,
    /// Neither came in time.
    Silent,
}

pub fn run(record: &Record, is_troubled: bool) -> io::Result<Outcome> {
    let machine = |service: &str, id: &str, zone| Machine {
        upstream: Settings {
            service: service.into(),
            id: id.into(),
            work: Duration::from_millis(100),
            reads_after: READS_AFTER,
            deadly: None,
        },
        zone,
        descriptors: DESCRIPTORS,
        memory_mb: 260,
    };
    let machines = vec![
        machine("front", "i-front", "za"),
        machine("orders", "i-orders-1", "zb"),
        machine("orders", "i-orders-2", "zc"),
    ];
    let mesh = Mesh::start(machines, &mesh::config("orders"), record)?;
    mesh.await_served(record)?;
    let entry = mesh.nodes[0].outbound;
    // Most clients keep a connection on which they wait for nothing.
    let idle = CONNECTIONS - ORDERS - 4;
    let openers = (0..OPENERS).map(|opener| {
        thread::spawn(move || {
            let numbers = (opener..idle).step_by(OPENERS);
            let opened = numbers.map(|number| open_used(entry, &format!("idle-{number}")));
            opened.collect::<io::Result<Vec<_>>>()
        })
    });
    let mut idle: Vec<Connection> = Vec::new();
    for opener in openers.collect::<Vec<_>>() {
        idle.extend(
            opener
                .join()
                .map_err(|_| io::Error::other("a client failed"))??,
        );
    }
    record.line(format!("{} clients keep an idle connection", idle.len()));
    thread::sleep(Duration::from_millis(1_100));
    let orders: Vec<JoinHandle<io::Result<End>>> = (0..ORDERS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || order(entry, number, &record))
        })
        .collect();
    thread::sleep(CROWD_AFTER);
    let mut crowd = Vec::new();
    if is_troubled {
        for _ in 0..CROWD {
            crowd.extend(Connection::open(entry, Duration::from_secs(1)).ok());
        }
        record.line(format!("{} more clients connect", crowd.len()));
    }
    let (mut answered, mut closed) = (0, 0);
    for (number, end) in orders.into_iter().enumerate() {
        let end = end
            .join()
            .map_err(|_| io::Error::other("a client failed"))??;
        let text = match end {
            End::Answered(status) => format!("is answered with {status}"),
            End::Closed => "is closed without an answer".to_owned(),
            End::Silent => "gets no answer in time".to_owned(),
        };
        record.line(format!("order-{number} {text}"));
        let is_passed_on = is_passed_on(&mesh, number);
        match end {
            End::Answered(200) => answered += 1,
            End::Closed if is_passed_on => closed += 1,
            _ => {}
        }
    }
    let kept = idle
        .iter()
        .filter(|connection| connection.is_open())
        .count();
    record.say(format!(
        "{answered} of {ORDERS} orders were answered with 200, {closed} were passed on and closed \
         without an answer; LOST allows {ALLOWED}; {kept} of {} idle connections are still open",
        idle.len()
    ));
    drop(crowd);
    if answered == 0 && closed == 0 {
        return Err(io::Error::other("no order reached a server"));
    }
    Ok(if closed > ALLOWED {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// Returns whether an order reached a server.
fn is_passed_on(mesh: &Mesh, number: usize) -> bool {
    let id = format!("order-{number}");
    let mut upstreams = mesh.nodes.iter().map(|node| &node.upstream);
    upstreams.any(|upstream| upstream.heads.lock().is_ok_and(|heads| heads.contains(&id)))
}

/// Opens a connection, and gets an answer to an ordinary request on it.
fn open_used(entry: SocketAddr, id: &str) -> io::Result<Connection> {
    for attempt in 0..20 {
        let mut connection = Connection::open(entry, Duration::from_secs(1))?;
        let timeout = Some(Duration::from_secs(3));
        connection.stream.set_read_timeout(timeout)?;
        connection.send(mesh::get("/safe/1", &format!("{id}-{attempt}")).as_bytes())?;
        if let Some(head) = connection.read_head()?
            && connection.read_body(&head, true).is_whole
            && head.status() == 200
        {
            return Ok(connection);
        }
    }
    Err(io::Error::other("an ordinary request is not served"))
}

/// Sends an order on a connection that was used before, and waits for its end.
fn order(entry: SocketAddr, number: usize, record: &Record) -> io::Result<End> {
    let id = format!("order-{number}");
    let mut connection = open_used(entry, &format!("{id}-before"))?;
    let head = format!(
        "POST /unsafe/orders HTTP/1.1\r\nHost: {HOST}\r\nBuckthornworks-Request-Id: {id}\r\n\
         Buckthornworks-Deadline-Milliseconds: 2500\r\nContent-Length: {ORDER_BYTES}\r\n\r\n"
    );
    connection.send(head.as_bytes())?;
    record.line(format!("{id} is sent with {ORDER_BYTES} bytes"));
    // The body is sent as fast as the node reads it.
    let is_ended = Arc::new(AtomicBool::new(false));
    let sender = {
        let (mut stream, is_ended) = (connection.stream.try_clone()?, is_ended.clone());
        thread::spawn(move || {
            use std::io::Write;
            let piece = [b'x'; 64 * 1024];
            let mut left = ORDER_BYTES;
            while left > 0 && !is_ended.load(Ordering::SeqCst) {
                match stream.write(&piece[..left.min(piece.len())]) {
                    Ok(count) => left -= count,
                    Err(_) => return,
                }
            }
        })
    };
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    connection.stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    let end = match connection.read_head() {
        Ok(Some(head)) => End::Answered(head.status()),
        Err(_) if Instant::now() >= deadline => End::Silent,
        Ok(None) | Err(_) => End::Closed,
    };
    is_ended.store(true, Ordering::SeqCst);
    let _ = connection.stream.shutdown(std::net::Shutdown::Both);
    let _ = sender.join();
    Ok(end)
}
