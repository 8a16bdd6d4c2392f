//! Connections that broke without an answer, until it is known what they say.
//!
//! A broken connection may be the fault of the target, of the request that crashed it, or of this
//! host's own link. A host can't tell at once, and what it tells the others binds all of them. So a loss
//! counts only with a proof: either a connection that is older than the loss still answers, as a link
//! that breaks takes all of them along, or the target can't be reached any more while others answer.
//! Where nothing could have proved it, the loss counts at this host alone.

use std::collections::HashSet;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::Moment;
use crate::holdback::Crash;
use crate::holdback::Fingerprint;
use crate::id;

/// Time in which losses with one cause become known, so that an answer within it proves nothing.
const BURST_TIME: Duration = Duration::from_millis(10);
/// Time after which a loss without a proof is dropped.
const MAX_AGE: Duration = Duration::from_secs(3);
/// Time before a loss in which another target has answered if the link's other connections could
/// prove the loss; targets keep idle connections for longer.
const WITNESS_TIME: Duration = Duration::from_secs(2);
/// Time after which a loss is no longer held against its request at this host, if the link could have
/// proved it, did not, and the target answers again.
const DOUBT_TIME: Duration = Duration::from_millis(300);
/// Time after which a loss that nothing can prove counts at this host.
const UNPROVEN_TIME: Duration = Duration::from_secs(1);
/// Time after a loss from which targets are asked for a proof, unless one came meanwhile.
const CHECK_DELAY: Duration = Duration::from_millis(50);
/// Shortest time between two such checks, and time until a loss is checked again, which doubles with
/// each check: losses come with each lost request at each host, and what two checks don't prove a third
/// seldom does.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Targets without losses that are tried at a check.
const WITNESSES: usize = 2;
/// Maximum number of losses that wait for judgement; later ones are dropped.
const MAX_PENDING: usize = 1024;

/// What was on a connection when it broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// A request that the target had not begun to answer.
    Request(Fingerprint),
    /// An answer.
    Answer,
}

/// A connection to a target that broke without a whole answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Loss {
    pub target: id::Instance,
    pub address: id::Target,
    /// Start time of the target's process.
    pub born: u64,
    pub stage: Stage,
    /// When the connection was opened.
    pub opened: Moment,
    pub at: Moment,
}

impl Loss {
    /// Returns the crash of the target, if its request is to blame.
    pub fn crash(&self) -> Crash {
        Crash { target: self.address, born: self.born, at: self.at }
    }

    /// Returns the request that the target may have crashed on.
    pub fn request(&self) -> Option<Fingerprint> {
        match self.stage {
            Stage::Request(request) => Some(request),
            Stage::Answer => None,
        }
    }
}

/// An answer of a target, whatever it said.
#[derive(Clone, Copy, Debug)]
pub struct Answer<'a> {
    pub target: &'a id::Instance,
    /// When its connection was opened, if that is known.
    pub opened: Option<Moment>,
    /// The request, if it was one of a caller.
    pub request: Option<Fingerprint>,
}

/// Why a loss counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Proof {
    /// An older connection answered after it, and one that was opened later, too.
    Link,
    /// The target could not be reached after it, while others answered.
    Absence,
    /// Nothing could have shown whether the link broke; the loss counts at this host alone.
    Missing,
}

/// A loss that is the fault of a target or its request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Verdict {
    pub loss: Loss,
    pub proof: Proof,
}

#[derive(Clone, Debug)]
struct Pending {
    loss: Loss,
    /// Number of the group that it is judged with: no answer came between the losses of a group.
    group: u32,
    /// Whether something could have proved it, as connections to other targets were in use shortly
    /// before, or whether the link was down as far as can be told.
    has_witness: bool,
    /// Whether a connection answered after the loss that had been opened before it.
    is_spanned: bool,
    /// Whether a connection answered after the loss that was opened later than the lost one.
    is_renewed: bool,
    /// Whether the target could not be reached after the loss.
    is_absent: bool,
    /// Whether only the target's absence can still prove the loss.
    is_dismissed: bool,
    /// When it is to be checked next.
    next_check: Moment,
    /// Time from that check to the one after it.
    check_interval: Duration,
}

/// The connection over which a target is tried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Over {
    New,
    /// One that is open already.
    Idle,
}

/// Returns which of the targets without losses to try, given whether each has an idle connection, and
/// how.
///
/// An old connection that answers shows that the link outlived the loss; new ones are opened to the
/// targets of the losses anyway, so that these are tried only where no connection is open.
pub fn witnesses<R: Rng + ?Sized>(have_idle: &[bool], rng: &mut R) -> Vec<(usize, Over)> {
    let idle = (0..have_idle.len()).filter(|index| have_idle[*index]);
    let chosen = idle.choose_multiple(rng, WITNESSES);
    if !chosen.is_empty() {
        return chosen.into_iter().map(|index| (index, Over::Idle)).collect();
    }
    let any = (0..have_idle.len()).choose_multiple(rng, WITNESSES);
    any.into_iter().map(|index| (index, Over::New)).collect()
}

/// A target that failed since the latest answer.
#[derive(Clone, Debug)]
struct Failed {
    target: id::Instance,
    /// Whether no connection could be opened.
    is_unopened: bool,
    /// Whether that was tried after a loss there and after the latest answer of any target.
    is_missed: bool,
}

impl Pending {
    fn proof(&self, now: Moment) -> Option<Proof> {
        if self.is_absent {
            return Some(Proof::Absence);
        }
        if self.is_dismissed {
            return None;
        }
        if self.is_spanned && self.is_renewed {
            return Some(Proof::Link);
        }
        let is_old = now.since(self.loss.at) >= UNPROVEN_TIME;
        (!self.has_witness && is_old).then_some(Proof::Missing)
    }
}

/// Losses of this host that wait for judgement, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Losses {
    pending: Vec<Pending>,
    /// Number of the group that the next loss belongs to.
    group: u32,
    /// The two targets that answered last.
    answered: Vec<(id::Instance, Moment)>,
    /// Targets that failed since the latest answer.
    failed: Vec<Failed>,
    checked: Option<Moment>,
}

impl Losses {
    /// Records a loss.
    pub fn add(&mut self, loss: Loss) {
        self.add_failed(&loss.target, false, false);
        if self.pending.len() >= MAX_PENDING {
            return;
        }
        let is_witness = |(target, at): &(id::Instance, Moment)| {
            *target != loss.target && loss.at.since(*at) < WITNESS_TIME
        };
        let is_out_of_reach = |one: &Failed| one.is_unopened && one.target != loss.target;
        self.pending.push(Pending {
            group: self.group,
            has_witness: self.answered.iter().any(is_witness)
                || self.failed.iter().any(is_out_of_reach),
            is_spanned: false,
            is_renewed: false,
            is_absent: false,
            is_dismissed: false,
            next_check: loss.at.after(CHECK_DELAY),
            check_interval: CHECK_INTERVAL,
            loss,
        });
    }

    /// Records that a target could not be reached over a new connection, tried from `begun` on.
    pub fn record_unopened(&mut self, target: &id::Instance, begun: Moment) {
        let answered = self.answered.first().map(|(_, at)| *at);
        let is_missed = answered.is_some_and(|at| begun >= at)
            && self.pending.iter().any(|one| one.loss.target == *target && begun >= one.loss.at);
        self.add_failed(target, true, is_missed);
        // Another target that is out of reach at the same time speaks against the link.
        for one in self.pending.iter_mut().filter(|one| one.loss.target != *target) {
            one.has_witness |= answered.is_none_or(|at| at < one.loss.at);
        }
    }

    fn add_failed(&mut self, target: &id::Instance, is_unopened: bool, is_missed: bool) {
        if let Some(known) = self.failed.iter_mut().find(|one| one.target == *target) {
            known.is_unopened |= is_unopened;
            known.is_missed |= is_missed;
        } else if self.failed.len() < MAX_PENDING {
            self.failed.push(Failed { target: target.clone(), is_unopened, is_missed });
        }
    }

    /// Returns the losses on a request that are not judged yet.
    pub fn lost_on(&self, request: Fingerprint) -> impl Iterator<Item = Crash> {
        let waiting = self.pending.iter().filter(|one| !one.is_dismissed);
        let lost = waiting.filter(move |one| one.loss.request() == Some(request));
        lost.map(|one| one.loss.crash())
    }

    /// Returns whether no loss waits for judgement.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the targets of losses to be proved if a check is due, and records the check. These
    /// targets are to be tried over new connections, and others as [`witnesses`] tells.
    pub fn check(&mut self, now: Moment) -> Vec<id::Instance> {
        if self.pending.is_empty() {
            return Vec::new();
        }
        self.pending.retain(|one| now.since(one.loss.at) < MAX_AGE);
        if self.checked.is_some_and(|at| now.since(at) < CHECK_INTERVAL) {
            return Vec::new();
        }
        let mut targets = HashSet::new();
        for one in self.pending.iter_mut().filter(|one| one.next_check <= now) {
            one.next_check = now.after(one.check_interval);
            one.check_interval *= 2;
            targets.insert(one.loss.target.clone());
        }
        if !targets.is_empty() {
            self.checked = Some(now);
        }
        targets.into_iter().collect()
    }

    /// Records that a target answered; returns the losses that it proves to be the fault of a target or
    /// of their request.
    pub fn record_answer(&mut self, answer: Answer<'_>, now: Moment) -> Vec<Verdict> {
        self.record_evidence(answer, now);
        let settled = |one: &&Pending| now.since(one.loss.at) >= BURST_TIME;
        let is_open = |one: &&Pending| !one.is_dismissed && !one.is_absent;
        // Losses with one cause are judged together, by what they have in common.
        let open: Vec<_> = self.pending.iter().filter(settled).filter(is_open).collect();
        let (mut judged, mut blamed) = (HashSet::new(), Vec::new());
        for group in open.iter().map(|one| one.group).collect::<HashSet<_>>() {
            let losses = || open.iter().filter(|one| one.group == group);
            if losses().all(|one| one.proof(now).is_some()) {
                judged.insert(group);
                blamed.extend(attribute(&losses().map(|one| one.loss.clone()).collect::<Vec<_>>()));
            }
        }
        let mut verdicts = Vec::new();
        self.pending.retain_mut(|one| {
            if now.since(one.loss.at) < BURST_TIME {
                return true;
            }
            let Some(proof) = one.proof(now) else { return true };
            if proof == Proof::Absence || blamed.contains(&one.loss) {
                verdicts.push(Verdict { loss: one.loss.clone(), proof });
                return false;
            }
            one.is_dismissed |= judged.contains(&one.group);
            true
        });
        verdicts
    }

    /// Records what an answer says of the losses.
    fn record_evidence(&mut self, answer: Answer<'_>, now: Moment) {
        let absent = match &self.failed[..] {
            [one] if one.is_missed && one.target != *answer.target => Some(one.target.clone()),
            _ => None,
        };
        self.failed.clear();
        self.answered.retain(|(target, _)| target != answer.target);
        self.answered.insert(0, (answer.target.clone(), now));
        self.answered.truncate(2);
        let latest = self.pending.last().map(|one| one.loss.at);
        if latest.is_some_and(|at| now.since(at) >= BURST_TIME) {
            self.group = self.group.wrapping_add(1);
        }
        self.pending.retain(|one| now.since(one.loss.at) < MAX_AGE);
        for one in &mut self.pending {
            let Loss { target, opened, at, .. } = &one.loss;
            if answer.request.is_some() && one.loss.request() == answer.request {
                // A request that is answered crashes no targets.
                one.loss.stage = Stage::Answer;
                continue;
            }
            if now.since(*at) < BURST_TIME {
                continue;
            }
            one.is_spanned |= answer.opened.is_some_and(|before| before < *at);
            one.is_renewed |= answer.opened.is_some_and(|after| after >= *opened);
            one.is_absent |= absent.as_ref() == Some(target);
            let is_back = target == answer.target && answer.opened.is_some_and(|new| new >= *at);
            let is_late = now.since(*at) >= DOUBT_TIME;
            one.is_dismissed |= is_back && is_late && one.has_witness && !one.is_spanned;
        }
    }

    /// Holds no loss so far against a request unless its target is gone, as the host is cut off from all
    /// targets.
    pub fn dismiss(&mut self) {
        self.pending.iter_mut().for_each(|one| one.is_dismissed = true);
    }
}

/// Returns the losses of a group that are the fault of a target or a request.
fn attribute(group: &[Loss]) -> Vec<Loss> {
    let targets: HashSet<_> = group.iter().map(|loss| &loss.target).collect();
    if targets.len() <= 1 {
        return group.to_vec();
    }
    let requests: HashSet<_> = group.iter().filter_map(Loss::request).collect();
    let is_common = |request: &Fingerprint| {
        let lost = group.iter().filter(|loss| loss.request() == Some(*request));
        lost.map(|loss| &loss.target).collect::<HashSet<_>>().len() == targets.len()
    };
    let common = requests.iter().find(|request| is_common(request)).copied();
    let blamed = group.iter().filter(|loss| common.is_some() && loss.request() == common);
    blamed.cloned().collect()
}
