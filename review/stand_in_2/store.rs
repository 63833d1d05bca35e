//! The platform's store: keyed topics of a log.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Body, Connection, Head};

/// Alphabet of base64.
const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// One keyed topic; the offset of a record is its index.
#[derive(Default)]
struct Topic {
    /// Records as key and value.
    records: Vec<(String, Vec<u8>)>,
}

/// Topics and their change signal.
#[derive(Default)]
struct Shared {
    topics: Mutex<BTreeMap<String, Topic>>,
    changed: Condvar,
}

/// Running store.
#[derive(Clone)]
pub struct Store {
    /// Address that it listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    /// Starts an empty store.
    pub fn start(ip: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        Ok(store)
    }

    /// Appends a record as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        if let Ok(mut topics) = self.shared.topics.lock() {
            let topic = topics.entry(topic.into()).or_default();
            topic.records.push((key.into(), value.into()));
        }
        self.shared.changed.notify_all();
    }

    /// Serves one connection.
    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(head)) = connection.read_head() {
            let body = connection.read_body(&head, false);
            if !body.is_whole {
                return;
            }
            let (status, bytes) = self.handle(&head, &body);
            let head = format!(
                "HTTP/1.1 {status} Status\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n",
                bytes.len()
            );
            let message = [head.as_bytes(), &bytes].concat();
            if connection.send(&message).is_err() {
                return;
            }
        }
    }

    /// Handles one call; returns the status and the body of its response.
    fn handle(&self, head: &Head, body: &Body) -> (u16, Vec<u8>) {
        let (_, target) = head.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let topic = query.get("topic").copied().unwrap_or("");
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        match path {
            "/-/log-newest" => (200, self.newest(topic)),
            "/-/log-read" => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                self.read(topic, number("from").unwrap_or(0) as usize, wait)
            }
            "/-/log-append" => self.append(topic, number("at"), &body.bytes),
            _ => (404, Vec::new()),
        }
    }

    /// Returns a page with the newest record of each key.
    fn newest(&self, topic: &str) -> Vec<u8> {
        let Ok(mut topics) = self.shared.topics.lock() else {
            return Vec::new();
        };
        let topic = topics.entry(topic.into()).or_default();
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in topic.records.iter().enumerate() {
            match value.is_empty() {
                true => newest.remove(key.as_str()),
                false => newest.insert(key, (offset, value)),
            };
        }
        let items: Vec<String> = newest
            .iter()
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
            })
            .collect();
        format!(
            r#"{{"items":[{}],"hasMore":false,"endOffset":{}}}"#,
            items.join(","),
            topic.records.len()
        )
        .into_bytes()
    }

    /// Returns the records from an offset on, after a wait if there are none.
    fn read(&self, topic: &str, from: usize, wait: Duration) -> (u16, Vec<u8>) {
        let deadline = Instant::now() + wait;
        let Ok(mut topics) = self.shared.topics.lock() else {
            return (503, Vec::new());
        };
        loop {
            let held = topics.entry(topic.into()).or_default();
            let end = held.records.len();
            if from > end {
                return (410, br#"{"firstOffset":0}"#.to_vec());
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                let mut bytes = [(end as u64).to_be_bytes(), [0; 8]].concat();
                for (key, value) in &held.records[from..] {
                    let length = 1 + key.len() + value.len();
                    bytes.extend_from_slice(&(length as u32).to_be_bytes());
                    bytes.push(key.len() as u8);
                    bytes.extend_from_slice(key.as_bytes());
                    bytes.extend_from_slice(value);
                }
                return (200, bytes);
            }
            match self.shared.changed.wait_timeout(topics, left) {
                Ok((guard, _)) => topics = guard,
                Err(_) => return (503, Vec::new()),
            }
        }
    }

    /// Appends the records of a call.
    fn append(&self, topic: &str, at: Option<u64>, mut body: &[u8]) -> (u16, Vec<u8>) {
        if ["keyed.op", "keyed.servers"].contains(&topic) {
            return (403, Vec::new());
        }
        let Ok(mut topics) = self.shared.topics.lock() else {
            return (503, Vec::new());
        };
        let held = topics.entry(topic.into()).or_default();
        let first = held.records.len() as u64;
        if at.is_some_and(|at| at != first) {
            let conflict = format!(r#"{{"endOffset":{first}}}"#);
            return (412, conflict.into_bytes());
        }
        while body.len() > 5 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            let content = &body[4..4 + length];
            let (key, value) = content[1..].split_at(usize::from(content[0]));
            let key = String::from_utf8_lossy(key).into_owned();
            held.records.push((key, value.to_vec()));
            body = &body[4 + length..];
        }
        let end = held.records.len();
        drop(topics);
        self.shared.changed.notify_all();
        let done = format!(r#"{{"offset":{first},"endOffset":{end}}}"#);
        (200, done.into_bytes())
    }
}

/// Encodes bytes in base64.
fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let symbol = ALPHABET[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() {
                symbol as char
            } else {
                '='
            });
        }
    }
    text
}
