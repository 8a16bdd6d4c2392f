//! Permits that a host has asked for and got.

use std::collections::HashMap;
use std::time::Duration;

use crate::Moment;
use crate::withdrawal::Process;

/// Interval at which a host repeats an ask while its requests wait.
const RENEW_INTERVAL: Duration = Duration::from_millis(300);
/// Time after the ask for which a permit may be used. It is counted on the clock of the host that
/// asked, so that neither a late message nor a pause of the host extends it.
pub(super) const PERMIT_TTL: Duration = Duration::from_secs(1);
/// Time after the latest news of a process after which it is dropped.
const ENTRY_TTL: Duration = Duration::from_secs(10);

/// Asks that are not answered with a permit yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    first: Moment,
    latest: Moment,
}

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    pending: Option<Pending>,
    /// Unused permits, all of which end at `until`.
    count: u32,
    until: Moment,
    /// When the responsible host expects to give out the next permit.
    turn: Option<Moment>,
    updated: Moment,
}

/// Permits of this host, by process.
#[derive(Clone, Debug, Default)]
pub struct Permits {
    entries: HashMap<Process, Entry>,
}

impl Permits {
    /// Returns whether a permit may be used.
    pub fn is_valid(&self, process: &Process, now: Moment) -> bool {
        self.entries.get(process).is_some_and(|entry| entry.count > 0 && now < entry.until)
    }

    /// Uses a permit; returns false if there is none.
    pub fn take(&mut self, process: &Process, now: Moment) -> bool {
        if !self.is_valid(process, now) {
            return false;
        }
        if let Some(entry) = self.entries.get_mut(process) {
            entry.count -= 1;
        }
        true
    }

    /// Returns whether an ask is under way.
    pub fn is_pending(&self, process: &Process, now: Moment) -> bool {
        let pending = self.entries.get(process).and_then(|entry| entry.pending);
        pending.is_some_and(|pending| now.since(pending.latest) < PERMIT_TTL)
    }

    /// Returns whether this host should ask now, and records that it does.
    pub fn ask(&mut self, process: &Process, now: Moment) -> bool {
        if self.is_valid(process, now) {
            return false;
        }
        let entry = self.entries.entry(process.clone()).or_default();
        entry.updated = now;
        let known = entry.pending.filter(|pending| now.since(pending.latest) < PERMIT_TTL);
        if known.is_some_and(|pending| now.since(pending.latest) < RENEW_INTERVAL) {
            return false;
        }
        let first = known.map_or(now, |pending| pending.first);
        entry.pending = Some(Pending { first, latest: now });
        true
    }

    /// Records permits that this host gave itself.
    pub fn add_own(&mut self, process: &Process, now: Moment) {
        let entry = self.entries.entry(process.clone()).or_default();
        *entry = Entry { count: 1, until: now.after(PERMIT_TTL), updated: now, ..Entry::default() };
    }

    /// Records permits in answer to an ask of `asked`; returns false if they can't be used, as the
    /// ask was answered before or is too old.
    pub fn grant(&mut self, process: &Process, asked: Moment, count: u32, now: Moment) -> bool {
        let Some(entry) = self.entries.get_mut(process) else { return false };
        let Some(pending) = entry.pending else { return false };
        let until = asked.after(PERMIT_TTL);
        if asked < pending.first || asked > pending.latest || now >= until {
            return false;
        }
        *entry = Entry { count, until, updated: now, ..Entry::default() };
        true
    }

    /// Records the time after which a permit is expected.
    pub fn announce(&mut self, process: &Process, wait: Duration, now: Moment) {
        if let Some(entry) = self.entries.get_mut(process).filter(|entry| entry.pending.is_some()) {
            entry.turn = Some(now.after(wait));
            entry.updated = now;
        }
    }

    /// Returns when the next permit is expected, if the responsible host said so.
    pub fn turn(&self, process: &Process) -> Option<Moment> {
        self.entries.get(process)?.turn
    }

    /// Drops what is out of date.
    pub fn sweep(&mut self, now: Moment) {
        self.entries.retain(|_, entry| now.since(entry.updated) < ENTRY_TTL);
    }
}
