//! Connection handling and shared state of a target.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::journal::Counts;
use super::journal::Journal;
use super::slot::Slots;
use super::switches::Switches;
use super::work;

/// The current switches, and those before the latest change.
#[derive(Debug)]
struct SwitchHistory {
    current: Switches,
    previous: Switches,
    changed_at: Instant,
}

/// State that all connections of a target share.
#[derive(Debug)]
pub(super) struct State {
    pub(super) journal: Journal,
    pub(super) slots: Slots,
    started: Instant,
    switches: Mutex<SwitchHistory>,
    counts: Mutex<Counts>,
    /// When the target last came up, or will come up; a change closes all connections.
    up_since: watch::Sender<Instant>,
}

impl State {
    pub(super) fn new(switches: Switches) -> Self {
        let now = Instant::now();
        Self {
            journal: Journal::default(),
            slots: Slots::new(switches.slots),
            started: now,
            switches: Mutex::new(SwitchHistory {
                previous: switches.clone(),
                current: switches,
                changed_at: now,
            }),
            counts: Mutex::default(),
            up_since: watch::Sender::new(now),
        }
    }

    fn lock_switches(&self) -> MutexGuard<'_, SwitchHistory> {
        self.switches.lock().expect("no holder of the lock panics")
    }

    pub(super) fn switches(&self) -> Switches {
        self.lock_switches().current.clone()
    }

    /// Returns the switches as the health endpoint sees them, `lag_ms` late.
    pub(super) fn delayed_switches(&self) -> Switches {
        let history = self.lock_switches();
        let lag = Duration::from_millis(history.current.lag_ms);
        let known =
            if history.changed_at.elapsed() < lag { &history.previous } else { &history.current };
        known.clone()
    }

    pub(super) fn set_switches(&self, switches: Switches) {
        let mut history = self.lock_switches();
        let previous = std::mem::replace(&mut history.current, switches);
        history.previous = previous;
        history.changed_at = Instant::now();
    }

    pub(super) fn counts(&self) -> Counts {
        *self.lock_counts()
    }

    pub(super) fn lock_counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().expect("no holder of the lock panics")
    }

    /// Returns the time since the start, in milliseconds.
    pub(super) fn elapsed_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns whether the target came up less than `cold_ms` ago.
    pub(super) fn is_cold(&self) -> bool {
        let up = self.up_since.borrow().elapsed();
        up < Duration::from_millis(self.switches().cold_ms)
    }

    /// Takes the target down for `restart_ms`: closes all connections and refuses new ones.
    pub(super) fn go_down(&self) {
        let downtime = Duration::from_millis(self.switches().restart_ms);
        self.lock_counts().deaths += 1;
        self.up_since.send_replace(Instant::now() + downtime);
    }

    fn is_down(&self) -> bool {
        *self.up_since.borrow() > Instant::now()
    }

    fn open_connection(&self) -> bool {
        let limit = self.switches().connections;
        let mut counts = self.lock_counts();
        if counts.connections_open >= limit || self.is_down() {
            counts.connections_refused += 1;
            return false;
        }
        counts.connections_made += 1;
        counts.connections_open += 1;
        counts.connections_peak = counts.connections_peak.max(counts.connections_open);
        true
    }

    fn close_connection(&self) {
        self.lock_counts().connections_open -= 1;
    }
}

/// Accepts connections until the task is aborted.
pub(super) async fn run(listener: TcpListener, state: Arc<State>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        if state.open_connection() {
            tokio::spawn(serve(stream, state.clone()));
        }
    }
}

async fn serve(stream: TcpStream, state: Arc<State>) {
    // Nagle's algorithm would delay small responses until the peer's acknowledgement.
    let _ = stream.set_nodelay(true);
    state.slots.hold_if_free(Duration::from_millis(state.switches().connection_ms)).await;
    let mut went_down = state.up_since.subscribe();
    let shared = state.clone();
    let service = service_fn(move |request| work::answer(request, shared.clone()));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {},
        _ = went_down.changed() => {},
    }
    state.close_connection();
}
