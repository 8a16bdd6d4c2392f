//! Objects, host list, fault switches and call counts of the platform.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use chicoryloom_wire::generated::platform::Changes;
use chicoryloom_wire::generated::platform::Host;
use chicoryloom_wire::generated::platform::Hosts;
use chicoryloom_wire::generated::platform::Object;
use chicoryloom_wire::generated::platform::Put;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

/// Largest value of an object, in bytes.
pub(super) const MAX_VALUE_BYTES: usize = 1024 * 1024;
/// Maximum number of objects in one response to a query for changes.
const MAX_CHANGES: usize = 1000;
/// Window over which calls are counted against the rate limits.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Faults and limits that tests switch under live traffic.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Switches {
    /// Whether every call is refused.
    pub down: bool,
    /// Time added before each call takes effect, in milliseconds.
    pub slow_ms: u64,
    /// How many further writes take effect but lose their response.
    pub lose_answers: u32,
    /// Whether reads and watches return the state from the time this was switched on.
    pub stale: bool,
    /// Delay before a change of the host list becomes visible, in milliseconds.
    pub hosts_lag_ms: u64,
    /// Limit on writes per second.
    pub writes_per_s: u32,
    /// Limit on reads per second; a waiting watch counts as one read.
    pub reads_per_s: u32,
}

impl Default for Switches {
    fn default() -> Self {
        Self {
            down: false,
            slow_ms: 0,
            lose_answers: 0,
            stale: false,
            hosts_lag_ms: 0,
            writes_per_s: 500,
            reads_per_s: 2000,
        }
    }
}

/// Numbers of calls since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Counts {
    pub reads: u64,
    pub watches: u64,
    pub writes: u64,
    /// Calls refused by the rate limits.
    pub limited: u64,
    /// Calls refused while the platform was switched down.
    pub down: u64,
}

/// Kind of a call, which decides the count and the limit that apply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Call {
    Read,
    Watch,
    Write,
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Refusal {
    Down,
    Limit,
    /// The object has this version, not the expected one.
    Conflict(u64),
    TooLarge,
}

type ObjectKey = (String, String);

#[derive(Clone, Debug, Default)]
struct Objects {
    revision: u64,
    by_name: BTreeMap<ObjectKey, Object>,
    by_version: BTreeMap<u64, ObjectKey>,
}

impl Objects {
    fn put(&mut self, kind: &str, name: &str, put: Put, deleted: bool) -> Result<u64, Refusal> {
        let key = (kind.to_owned(), name.to_owned());
        let old = self.by_name.get(&key).map_or(0, |object| object.version);
        if old != put.expected {
            return Err(Refusal::Conflict(old));
        }
        self.by_version.remove(&old);
        self.revision += 1;
        let object = Object {
            kind: key.0.clone(),
            name: key.1.clone(),
            version: self.revision,
            value: put.value,
            write: put.write,
            deleted,
        };
        self.by_version.insert(self.revision, key.clone());
        self.by_name.insert(key, object);
        Ok(self.revision)
    }

    fn changes_since(&self, revision: u64) -> Changes {
        let newer = self.by_version.range(revision + 1..).take(MAX_CHANGES);
        let objects: Vec<_> = newer.map(|(_, name)| self.by_name[name].clone()).collect();
        let revision = match objects.last() {
            Some(last) if objects.len() == MAX_CHANGES => last.version,
            _ => self.revision,
        };
        Changes { revision, objects }
    }
}

#[derive(Debug, Default)]
struct Inner {
    objects: Objects,
    /// Snapshot that reads return while the `stale` switch is on.
    stale: Option<Objects>,
    saved: Option<Objects>,
    /// Host lists with the time at which each was set, oldest first.
    hosts: VecDeque<(Instant, Vec<Host>)>,
    switches: Switches,
    counts: Counts,
    window_start: Option<Instant>,
    window_reads: u32,
    window_writes: u32,
}

impl Inner {
    fn admit(&mut self, call: Call) -> Result<(), Refusal> {
        if self.switches.down {
            self.counts.down += 1;
            return Err(Refusal::Down);
        }
        self.start_window();
        let (used, limit) = match call {
            Call::Write => (&mut self.window_writes, self.switches.writes_per_s),
            Call::Read | Call::Watch => (&mut self.window_reads, self.switches.reads_per_s),
        };
        if *used >= limit {
            self.counts.limited += 1;
            return Err(Refusal::Limit);
        }
        *used += 1;
        match call {
            Call::Read => self.counts.reads += 1,
            Call::Watch => self.counts.watches += 1,
            Call::Write => self.counts.writes += 1,
        }
        Ok(())
    }

    fn start_window(&mut self) {
        let now = Instant::now();
        let over = self.window_start.is_none_or(|start| now - start >= RATE_WINDOW);
        if over {
            self.window_start = Some(now);
            self.window_reads = 0;
            self.window_writes = 0;
        }
    }

    fn visible_objects(&self) -> &Objects {
        self.stale.as_ref().unwrap_or(&self.objects)
    }
}

/// State of the platform, shared by all calls.
#[derive(Debug)]
pub(super) struct State {
    inner: Mutex<Inner>,
    revision: watch::Sender<u64>,
}

impl Default for State {
    fn default() -> Self {
        Self { inner: Mutex::default(), revision: watch::Sender::new(0) }
    }
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }

    /// Counts a call, or refuses it if the platform is down or the rate limit is reached.
    pub(super) fn admit(&self, call: Call) -> Result<(), Refusal> {
        self.lock().admit(call)
    }

    /// Returns the time to wait before a call takes effect.
    pub(super) fn added_delay(&self) -> Duration {
        Duration::from_millis(self.lock().switches.slow_ms)
    }

    pub(super) fn get(&self, kind: &str, name: &str) -> Option<Object> {
        let key = (kind.to_owned(), name.to_owned());
        self.lock().visible_objects().by_name.get(&key).cloned()
    }

    /// Applies a conditional update.
    ///
    /// Returns the new version and whether the response is to be lost.
    pub(super) fn put(
        &self,
        kind: &str,
        name: &str,
        put: Put,
        deleted: bool,
    ) -> Result<(u64, bool), Refusal> {
        if put.value.len() > MAX_VALUE_BYTES {
            return Err(Refusal::TooLarge);
        }
        let mut inner = self.lock();
        let version = inner.objects.put(kind, name, put, deleted)?;
        let lost = inner.switches.lose_answers > 0;
        inner.switches.lose_answers = inner.switches.lose_answers.saturating_sub(1);
        drop(inner);
        self.revision.send_replace(version);
        Ok((version, lost))
    }

    pub(super) fn changes_since(&self, revision: u64) -> Changes {
        self.lock().visible_objects().changes_since(revision)
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Returns the newest host list that is at least `hosts_lag_ms` old, or else the oldest one.
    pub(super) fn hosts(&self) -> Hosts {
        let mut inner = self.lock();
        let lag = Duration::from_millis(inner.switches.hosts_lag_ms);
        let now = Instant::now();
        while inner.hosts.len() > 1 && inner.hosts[1].0 + lag <= now {
            inner.hosts.pop_front();
        }
        let hosts = inner.hosts.front().map(|(_, hosts)| hosts.clone());
        Hosts { hosts: hosts.unwrap_or_default() }
    }

    pub(super) fn set_hosts(&self, hosts: Hosts) {
        self.lock().hosts.push_back((Instant::now(), hosts.hosts));
    }

    pub(super) fn switches(&self) -> Switches {
        self.lock().switches.clone()
    }

    pub(super) fn set_switches(&self, switches: Switches) {
        let mut inner = self.lock();
        inner.stale = match (switches.stale, inner.stale.take()) {
            (true, None) => Some(inner.objects.clone()),
            (true, stale) => stale,
            (false, _) => None,
        };
        inner.switches = switches;
    }

    pub(super) fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Saves a copy of all objects for a later `restore`.
    pub(super) fn save(&self) {
        let mut inner = self.lock();
        inner.saved = Some(inner.objects.clone());
    }

    /// Returns to the saved copy, if there is one, like a restore from a backup.
    pub(super) fn restore(&self) {
        let mut inner = self.lock();
        if let Some(saved) = inner.saved.clone() {
            inner.objects = saved;
        }
        let revision = inner.objects.revision;
        drop(inner);
        self.revision.send_replace(revision);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn put(expected: u64) -> Put {
        Put { expected, value: "v".into(), write: "w".into() }
    }

    #[test]
    fn second_writer_of_a_version_is_refused() {
        let state = State::default();
        let (version, _) = state.put("keys", "a", put(0), false).unwrap();
        assert!(state.put("keys", "a", put(version), false).is_ok());
        assert_eq!(
            state.put("keys", "a", put(version), false),
            Err(Refusal::Conflict(version + 1))
        );
    }

    #[test]
    fn changes_hold_each_object_once() {
        let state = State::default();
        state.put("keys", "a", put(0), false).unwrap();
        state.put("keys", "b", put(0), false).unwrap();
        state.put("keys", "a", put(1), false).unwrap();
        let changes = state.changes_since(0);
        let names: Vec<_> = changes.objects.iter().map(|object| object.name.as_str()).collect();
        assert_eq!((changes.revision, names), (3, vec!["b", "a"]));
    }
}
