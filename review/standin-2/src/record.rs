//! What was sent, answered and run, with the time of each.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Lines in the order in which they were added.
#[derive(Clone, Debug)]
pub struct Record {
    begun: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { begun: Instant::now(), lines: Arc::default() }
    }

    /// Returns the time since the record began.
    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    pub fn add(&self, line: impl Into<String>) {
        self.lines.lock().unwrap().push((self.now(), line.into()));
    }

    pub fn write(&self, path: &Path) -> io::Result<()> {
        let lines = self.lines.lock().unwrap();
        let lines = lines.iter().map(|(at, line)| format!("{:9.3} s  {line}\n", at.as_secs_f64()));
        fs::write(path, lines.collect::<String>())
    }
}
