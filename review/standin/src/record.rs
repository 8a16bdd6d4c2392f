//! What was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    pub begun: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { begun: Instant::now(), lines: Arc::default() }
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    pub fn add(&self, text: impl Into<String>) {
        self.lines.lock().unwrap().push((self.now(), text.into()));
    }

    /// Adds a line that is printed as well.
    pub fn say(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{:8.3} {text}", self.now());
        self.add(text);
    }

    pub fn write(&self, folder: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let Ok(mut file) = File::create(folder.join("record.txt")) else { return };
        for (at, text) in lines {
            let _ = writeln!(file, "{at:8.3} {text}");
        }
    }
}
