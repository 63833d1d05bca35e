//! Stand-in of the platform's store: keyed topics with one partition, kept in memory.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Head};

type Key = String;

/// Records of a topic, in the order of their offsets. An empty value drops the key.
type Topic = Vec<(Key, Vec<u8>)>;

#[derive(Default)]
struct State {
    topics: Mutex<BTreeMap<String, Topic>>,
    changed: Condvar,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Appends a record, as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: impl AsRef<[u8]>) {
        let mut topics = self.state.topics.lock().unwrap();
        let topic = topics.entry(topic.into()).or_default();
        topic.push((key.into(), value.as_ref().into()));
        self.state.changed.notify_all();
    }

    /// Newest value of a key, as text.
    pub fn newest_value(&self, topic: &str, key: &str) -> Option<String> {
        let topics = self.state.topics.lock().unwrap();
        let records = topics.get(topic)?;
        let (_, value) = records.iter().rev().find(|(name, _)| name == key)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    fn serve(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let Ok(body) = http::read_body(&mut reader, &head) else {
                return;
            };
            let (status, answer) = self.handle(&head, &body);
            let start = format!(
                "HTTP/1.1 {status} Status\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            if writer
                .write_all(&[start.as_bytes(), &answer].concat())
                .is_err()
            {
                return;
            }
        }
    }

    fn handle(&self, head: &Head, body: &[u8]) -> (u16, Vec<u8>) {
        let path = head.target().split('?').next().unwrap_or("");
        let topic = head.query("topic").unwrap_or("");
        match (head.method(), path) {
            ("GET", "/-/log-newest") => (200, self.newest(topic).into_bytes()),
            ("GET", "/-/log-read") => self.read(topic, head),
            ("POST", "/-/log-append") if matches!(topic, "keyed.op" | "keyed.servers") => {
                (403, Vec::new())
            }
            ("POST", "/-/log-append") => self.append(topic, head, body),
            _ => (404, Vec::new()),
        }
    }

    /// Newest record of each key, on one page.
    fn newest(&self, topic: &str) -> String {
        let mut topics = self.state.topics.lock().unwrap();
        let topic = topics.entry(topic.into()).or_default();
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in topic.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items: Vec<String> = items
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
            })
            .collect();
        let end = topic.len();
        format!(
            r#"{{"items":[{}],"hasMore":false,"endOffset":{end}}}"#,
            items.join(",")
        )
    }

    /// Records from an offset on; waits for the first one.
    fn read(&self, topic: &str, head: &Head) -> (u16, Vec<u8>) {
        let number = |name| head.query(name).and_then(|value| value.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let deadline = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut topics = self.state.topics.lock().unwrap();
        loop {
            let records = topics.entry(topic.into()).or_default();
            if from > records.len() {
                return (410, br#"{"firstOffset":0}"#.to_vec());
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let end = (records.len() as u64).to_be_bytes();
                let mut answer = [end, [0; 8]].concat();
                for (key, value) in &records[from..] {
                    let length = (1 + key.len() + value.len()) as u32;
                    answer.extend_from_slice(&length.to_be_bytes());
                    answer.push(key.len() as u8);
                    answer.extend_from_slice(key.as_bytes());
                    answer.extend_from_slice(value);
                }
                return (200, answer);
            }
            topics = self.state.changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    /// Appends the records of a call, if the topic ends where the call expects it.
    fn append(&self, topic: &str, head: &Head, mut body: &[u8]) -> (u16, Vec<u8>) {
        let mut topics = self.state.topics.lock().unwrap();
        let records = topics.entry(topic.into()).or_default();
        let at = head.query("at").and_then(|at| at.parse::<usize>().ok());
        if at.is_some_and(|at| at != records.len()) {
            return (
                412,
                format!(r#"{{"endOffset":{}}}"#, records.len()).into_bytes(),
            );
        }
        let offset = records.len();
        while body.len() > 4 {
            let length = u32::from_be_bytes(body[..4].try_into().unwrap()) as usize;
            let (record, rest) = body[4..].split_at(length);
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            body = rest;
        }
        let end = records.len();
        self.state.changed.notify_all();
        (
            200,
            format!(r#"{{"offset":{offset},"endOffset":{end}}}"#).into_bytes(),
        )
    }
}

/// Encodes bytes in base64.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = bits >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
