//! In-memory records of the log stand-in, by stream.

use std::time::{Duration, Instant};

use buckthorn::journal::record::Record;
use buckthorn::log::Batch;
use tokio::sync::watch;

/// Maximum payload bytes in one batch; a single larger record is still returned.
pub const MAX_BATCH_BYTES: usize = 1024 * 1024;

/// All streams of the log.
#[derive(Debug, Default)]
pub struct Store {
    /// Streams sorted by name.
    streams: Vec<Stream>,
}

/// One append-only stream.
#[derive(Debug)]
struct Stream {
    /// Name of the stream.
    name: String,
    /// Offset of the first record that is still held.
    earliest: u64,
    /// Held records with the time of their append; their offsets have no gaps.
    records: Vec<(Instant, Record)>,
    /// Offset of the next append; long polls subscribe to it.
    next: watch::Sender<u64>,
}

impl Store {
    /// Appends a record and returns its offset.
    pub fn append(&mut self, stream: &str, id: &str, payload: &str, now: Instant) -> u64 {
        let stream = self.stream(stream);
        let offset = *stream.next.borrow();
        let record = Record {
            offset,
            id: id.into(),
            payload: payload.into(),
        };
        stream.records.push((now, record));
        stream.next.send_replace(offset + 1);
        offset
    }

    /// Returns records from an offset on, at most `limit` and [`MAX_BATCH_BYTES`].
    pub fn read(&mut self, stream: &str, from: u64, limit: usize) -> Batch {
        let stream = self.stream(stream);
        let skipped = from.saturating_sub(stream.earliest);
        let mut bytes = 0;
        let records = stream
            .records
            .iter()
            .skip(usize::try_from(skipped).unwrap_or(usize::MAX))
            .take(limit)
            .take_while(|(_, record)| {
                let fits = bytes == 0 || bytes + record.payload.len() <= MAX_BATCH_BYTES;
                bytes += record.payload.len();
                fits
            })
            .map(|(_, record)| record.clone())
            .collect();
        Batch {
            earliest: stream.earliest,
            next: *stream.next.borrow(),
            records,
        }
    }

    /// Subscribes to a stream's next offset.
    pub fn watch(&mut self, stream: &str) -> watch::Receiver<u64> {
        self.stream(stream).next.subscribe()
    }

    /// Drops the records of a stream before an offset.
    pub fn trim(&mut self, stream: &str, before: u64) {
        let stream = self.stream(stream);
        let earliest = before.clamp(stream.earliest, *stream.next.borrow());
        let dropped = (earliest - stream.earliest) as usize;
        stream.records.drain(..dropped);
        stream.earliest = earliest;
    }

    /// Drops the records of all streams that are older than the retention.
    pub fn expire(&mut self, retention: Duration, now: Instant) {
        for stream in &mut self.streams {
            let dropped = stream
                .records
                .partition_point(|(at, _)| now.duration_since(*at) > retention);
            stream.records.drain(..dropped);
            stream.earliest += dropped as u64;
        }
    }

    /// Returns the stream with a name and creates it if needed.
    fn stream(&mut self, name: &str) -> &mut Stream {
        let index = match self.streams.binary_search_by(|s| s.name.as_str().cmp(name)) {
            Ok(index) => index,
            Err(index) => {
                let stream = Stream {
                    name: name.into(),
                    earliest: 0,
                    records: Vec::new(),
                    next: watch::Sender::new(0),
                };
                self.streams.insert(index, stream);
                index
            }
        };
        &mut self.streams[index]
    }
}
