//! Whether this host reaches targets at all.
//!
//! A host whose links to all targets are cut sees each of them fail, while the other hosts see all of
//! them well. So a connection that fails says something about a target only where this host reaches
//! others; where it reaches none, it says something about the host.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::Moment;
use crate::id;

/// Targets that must be out of reach, without an answer of any other, for the host to be cut off; all
/// targets if there are fewer. Two may well go down together.
const MIN_UNREACHED: usize = 3;
/// Services with such targets; all services if there are fewer. All targets of one service may well be
/// down.
const MIN_SERVICES: usize = 3;
/// Time after the first target was out of reach from which the links are checked. Where requests are
/// frequent, another target answers within it.
const CHECK_DELAY: Duration = Duration::from_millis(100);
/// Targets that are tried at a time to find out whether the host is cut off.
const CHECK_TARGETS: usize = 3;
/// Shortest time between two such checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time without an answer after which a host checks its links when it hears that another one is cut
/// off. The same fault often cuts many hosts, and those without callers have no other evidence.
const UNPROVEN_AFTER: Duration = Duration::from_secs(1);

/// Whether a host reaches targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Links {
    /// As far as is known.
    Up,
    /// No target was reached since this moment.
    Cut(Moment),
}

/// How many targets the platform lists, and of how many services.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listed {
    pub targets: usize,
    pub services: usize,
}

/// What a host that is cut off knows of the connections that were open before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OldConnections {
    /// Nothing; a request tries one at this moment, if any does.
    Unknown(Option<Moment>),
    /// A target answered on one.
    Alive,
    /// One did not answer or broke.
    Dead,
}

/// Evidence on the links from this host to all targets.
#[derive(Clone, Debug)]
pub struct Reach {
    links: Links,
    /// When the host noticed the latest cut.
    cut_at: Moment,
    /// Connections that were open then.
    old: OldConnections,
    /// When a target last answered.
    answered: Moment,
    /// Targets that were out of reach since then, with their services and the latest time of each.
    unreached: HashMap<id::Instance, (id::Service, Moment)>,
    /// Targets to which no connection could be opened since one was last opened to any.
    unopened: HashSet<id::Instance>,
    checked: Option<Moment>,
    /// When a connection first broke since then that may have been the fault of a request.
    doubted: Option<Moment>,
    /// Whether the links are to be checked until a target answers, as the host has just started or
    /// another one said that it is cut off.
    is_questioned: bool,
}

impl Reach {
    /// Returns the state of a host that starts at `now`, which checks its links first: it may have
    /// restarted during a cut.
    pub fn new(now: Moment) -> Self {
        Self {
            links: Links::Up,
            cut_at: now,
            old: OldConnections::Unknown(None),
            answered: now,
            unreached: HashMap::new(),
            unopened: HashSet::new(),
            checked: None,
            doubted: None,
            is_questioned: true,
        }
    }

    /// Returns whether this host reaches targets.
    pub fn links(&self) -> Links {
        self.links
    }

    /// Returns whether this host is cut off from all targets.
    pub fn is_cut(&self) -> bool {
        matches!(self.links, Links::Cut(_))
    }

    /// Returns whether a request may go to targets now. While the host is cut off, it may do so on a
    /// connection that was open before, if these are known to work on, or if it may be repeated and is
    /// the only one to find out.
    pub fn admits(&mut self, is_repeatable: bool, now: Moment) -> bool {
        if !self.is_cut() {
            return true;
        }
        match self.old {
            OldConnections::Alive => true,
            OldConnections::Unknown(None) if is_repeatable => {
                self.old = OldConnections::Unknown(Some(now));
                true
            }
            OldConnections::Unknown(_) | OldConnections::Dead => false,
        }
    }

    /// Returns the number of targets that were out of reach since the latest answer.
    pub fn unreached(&self) -> usize {
        self.unreached.len()
    }

    /// Returns the time since the latest answer.
    pub fn silence(&self, now: Moment) -> Duration {
        now.since(self.answered)
    }

    /// Returns whether new connections to targets can be opened, as far as is known. Open ones may work
    /// on where they can't.
    pub fn can_open(&self) -> bool {
        self.unopened.len() < MIN_UNREACHED
    }

    /// Records that a target answered on a connection that was opened at `opened`. If that was after a
    /// cut was noticed, it ends the cut; returns since when the host was cut off then.
    pub fn record_opened(&mut self, opened: Moment, now: Moment) -> Option<Moment> {
        if self.is_cut() && opened < self.cut_at {
            self.record_answer(now);
            return None;
        }
        self.unopened.clear();
        let before = std::mem::replace(&mut self.links, Links::Up);
        self.record_answer(now);
        match before {
            Links::Up => None,
            Links::Cut(since) => Some(since),
        }
    }

    /// Records that a new connection to a target could not be opened, or broke on a check.
    pub fn record_unopened(&mut self, target: &id::Instance) {
        if !self.unopened.contains(target) {
            self.unopened.insert(target.clone());
        }
    }

    /// Records that a target answered, whatever the answer.
    ///
    /// That does not end a cut: old connections may work on while no new one can be opened.
    pub fn record_answer(&mut self, now: Moment) {
        self.answered = now;
        if self.is_cut() {
            self.old = OldConnections::Alive;
            return;
        }
        self.unreached.clear();
        self.doubted = None;
        self.is_questioned = false;
    }

    /// Records that a target could not be reached or broke the connection without an answer; returns
    /// whether the host is cut off as of now.
    ///
    /// `since` is the moment from which the target was out of reach: that of a broken connection, or
    /// the beginning of a wait.
    pub fn record_unreached(
        &mut self,
        target: &id::Instance,
        service: &id::Service,
        listed: Listed,
        since: Moment,
        now: Moment,
    ) -> bool {
        if since < self.answered {
            return false;
        }
        self.unreached.insert(target.clone(), (service.clone(), now));
        let services: HashSet<_> = self.unreached.values().map(|(service, _)| service).collect();
        if self.is_cut()
            || services.len() < MIN_SERVICES.min(listed.services)
            || self.unreached.len() < MIN_UNREACHED.min(listed.targets)
        {
            return false;
        }
        self.links = Links::Cut(self.answered);
        self.cut_at = now;
        self.old = OldConnections::Unknown(None);
        true
    }

    /// Records that an answer to a request which was sent at `sent` is late. A slow target or a busy
    /// host may be the cause, so that the links are only checked; during a cut, the old connections are
    /// given up.
    pub fn record_late(&mut self, sent: Moment, now: Moment) {
        if self.is_cut() && sent >= self.cut_at {
            self.old = OldConnections::Dead;
        } else if sent >= self.answered {
            self.doubt(now);
        }
    }

    /// Records that a connection broke on a request, which may have been the fault of the request.
    pub fn doubt(&mut self, now: Moment) {
        self.doubted.get_or_insert(now);
    }

    /// Records that another host said that it is cut off.
    pub fn question(&mut self, now: Moment) {
        self.is_questioned |= self.silence(now) >= UNPROVEN_AFTER;
    }

    /// Returns whether the links are in doubt and should be checked now.
    pub fn is_check_due(&self, now: Moment) -> bool {
        let is_overdue = |(_, at): &(id::Service, Moment)| now.since(*at) >= CHECK_DELAY;
        let is_doubtful = self.is_cut()
            || self.is_questioned
            || !self.can_open()
            || self.unreached.len() > 1
            || self.doubted.is_some_and(|at| now.since(at) >= CHECK_DELAY)
            || self.unreached.values().any(is_overdue);
        is_doubtful && self.checked.is_none_or(|at| now.since(at) >= CHECK_INTERVAL)
    }

    /// Returns the targets to try now, which is none unless a check is due. Those of services of which
    /// none is known to be out of reach come first, since all targets of one service may be down.
    pub fn check<'a, R: Rng + ?Sized>(
        &mut self,
        targets: &[(&'a id::Instance, &'a id::Service)],
        now: Moment,
        rng: &mut R,
    ) -> Vec<&'a id::Instance> {
        if !self.is_check_due(now) {
            return Vec::new();
        }
        self.checked = Some(now);
        let mut failed: HashMap<&id::Service, usize> = HashMap::new();
        for (target, service) in targets {
            *failed.entry(*service).or_default() +=
                usize::from(self.unreached.contains_key(*target));
        }
        let mut order: Vec<_> = targets.to_vec();
        order.shuffle(rng);
        order.sort_by_key(|(target, service)| {
            (failed[service], self.unreached.contains_key(*target))
        });
        let mut chosen: Vec<&id::Instance> = Vec::new();
        let mut services: Vec<&id::Service> = Vec::new();
        // One target of each service before a second one of any.
        for is_second in [false, true] {
            for (target, service) in &order {
                let is_known = services.contains(service);
                if chosen.len() < CHECK_TARGETS && is_known == is_second && !chosen.contains(target)
                {
                    chosen.push(target);
                    services.push(service);
                }
            }
        }
        chosen
    }
}
