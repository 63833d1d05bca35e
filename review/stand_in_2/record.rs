//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Record of a case, shared by its threads.
#[derive(Clone)]
pub struct Record {
    /// File and lines.
    inner: Arc<Mutex<File>>,
    /// Start of the case.
    origin: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            inner: Arc::new(Mutex::new(File::create(path)?)),
            origin: Instant::now(),
        })
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: impl AsRef<str>) {
        let time = self.origin.elapsed().as_secs_f64();
        if let Ok(mut file) = self.inner.lock() {
            let _ = writeln!(file, "{time:9.3} {}", text.as_ref());
        }
    }

    /// Writes a line, and prints it.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
