//! Structured events: one JSON line on standard output for each decision.
//!
//! Events go through a bounded queue to a writer thread. If the reader of standard output stalls,
//! events are dropped and requests aren't delayed. The next event carries the number of dropped
//! ones.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use chicoryloom_policy::Moment;
use serde_json::Map;
use serde_json::Value;

use crate::clock::Clock;

/// Events queued for the writer; 600 KB at about 300 bytes each.
const QUEUE_CAPACITY: usize = 2048;
/// Request events that a host writes per second; twice the requests that a host with one core
/// serves.
const REQUEST_EVENTS_PER_SECOND: f64 = 400.0;

/// Handle to the event writer.
#[derive(Clone, Debug)]
pub struct Events {
    queue: SyncSender<String>,
    clock: Arc<dyn Clock>,
    host: String,
    dropped: Arc<AtomicU64>,
    bucket: Arc<Mutex<Bucket>>,
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: Moment,
}

impl Events {
    /// Starts the writer thread.
    pub fn start(host: &str, clock: Arc<dyn Clock>) -> Self {
        let (queue, lines) = sync_channel(QUEUE_CAPACITY);
        let writer = thread::Builder::new().name("events".to_owned());
        if let Err(error) = writer.spawn(move || write(&lines)) {
            log::error!("events: failed to start the writer thread: {error}");
        }
        let bucket = Bucket { tokens: REQUEST_EVENTS_PER_SECOND, refilled_at: clock.now() };
        Self {
            queue,
            clock,
            host: host.to_owned(),
            dropped: Arc::default(),
            bucket: Arc::new(Mutex::new(bucket)),
        }
    }

    /// Writes an event, without a rate limit.
    pub fn emit(&self, event: &'static str, fields: Value) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut line = Map::new();
        line.insert("at_ms".to_owned(), Value::from(unix.as_millis() as u64));
        line.insert("up_s".to_owned(), Value::from(self.clock.now().since_start().as_secs_f64()));
        line.insert("host".to_owned(), Value::from(self.host.as_str()));
        line.insert("event".to_owned(), Value::from(event));
        if let Value::Object(fields) = fields {
            line.extend(fields);
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            line.insert("dropped_before".to_owned(), Value::from(dropped));
        }
        if self.queue.try_send(Value::Object(line).to_string()).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
    }

    /// Writes an event of a single request, unless it exceeds the rate limit of such events.
    pub fn emit_request(&self, event: &'static str, fields: impl FnOnce() -> Value) {
        if self.take_token() {
            self.emit(event, fields());
        } else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn take_token(&self) -> bool {
        let now = self.clock.now();
        let mut bucket = self.bucket.lock().expect("no holder of the lock panics");
        let refill = now.since(bucket.refilled_at).as_secs_f64() * REQUEST_EVENTS_PER_SECOND;
        bucket.tokens = (bucket.tokens + refill).min(REQUEST_EVENTS_PER_SECOND);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }
}

fn write(lines: &Receiver<String>) {
    let mut output = io::stdout().lock();
    while let Ok(line) = lines.recv() {
        // Standard output is closed, and there is no other channel to report that on.
        if writeln!(output, "{line}").and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}
