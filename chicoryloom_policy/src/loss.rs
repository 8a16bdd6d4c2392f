//! Connections that broke without an answer, until it is known what they say.
//!
//! A broken connection may be the fault of the target, of the request that crashed it, or of this
//! host's own link. A host can't tell at once, and what it tells the others binds all of them. So a loss
//! counts only once a target has answered this host after it. Losses without an answer between them are
//! judged together: a target that goes down breaks its own connections, a request that crashes targets is
//! among those lost at each of them, and a link breaks what happens to be on it.

use std::collections::HashSet;
use std::time::Duration;

use crate::Moment;
use crate::holdback::Fingerprint;
use crate::id;

/// Time in which losses with one cause become known, so that an answer within it does not separate
/// them.
const BURST_TIME: Duration = Duration::from_millis(10);
/// Time after which a loss without any later answer is dropped.
const MAX_AGE: Duration = Duration::from_secs(3);
/// Maximum number of losses that wait for judgement; later ones are dropped.
const MAX_PENDING: usize = 1024;

/// What was on a connection when it broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Nothing, as it could not be opened or was idle. That says something about other losses, but no
    /// more.
    Empty,
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
    pub stage: Stage,
    pub at: Moment,
}

impl Loss {
    /// Returns the request that the target may have crashed on.
    pub fn request(&self) -> Option<Fingerprint> {
        match self.stage {
            Stage::Request(request) => Some(request),
            Stage::Empty | Stage::Answer => None,
        }
    }
}

/// Losses of this host since a target last answered, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Losses {
    pending: Vec<Loss>,
}

impl Losses {
    /// Records a loss.
    pub fn add(&mut self, loss: Loss) {
        if self.pending.len() < MAX_PENDING {
            self.pending.push(loss);
        }
    }

    /// Returns the targets that broke the connection on a request, as far as that is not judged yet.
    pub fn lost_on(&self, request: Fingerprint) -> impl Iterator<Item = id::Target> {
        let lost = self.pending.iter().filter(move |loss| loss.request() == Some(request));
        lost.map(|loss| loss.address)
    }

    /// Returns when the latest loss that waits for judgement was recorded.
    pub fn latest(&self) -> Option<Moment> {
        self.pending.last().map(|loss| loss.at)
    }

    /// Returns the number of losses that wait for judgement.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether no loss waits for judgement.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Records that a target answered, and the request if it was one of a caller; returns the losses
    /// before it that are the fault of a target or of their request.
    pub fn record_answer(&mut self, request: Option<Fingerprint>, now: Moment) -> Vec<Loss> {
        if request.is_some() {
            // A request that is answered crashes no targets.
            for loss in self.pending.iter_mut().filter(|loss| loss.request() == request) {
                loss.stage = Stage::Answer;
            }
        }
        let Some(latest) = self.pending.last() else { return Vec::new() };
        if now.since(latest.at) < BURST_TIME {
            return Vec::new();
        }
        let mut group = std::mem::take(&mut self.pending);
        group.retain(|loss| now.since(loss.at) < MAX_AGE);
        attribute(group)
    }

    /// Drops all losses, as the host is cut off from all targets.
    pub fn clear(&mut self) {
        self.pending.clear();
    }
}

/// Returns the losses of a group that are the fault of a target or a request.
fn attribute(mut group: Vec<Loss>) -> Vec<Loss> {
    let targets: HashSet<_> = group.iter().map(|loss| loss.target.clone()).collect();
    if targets.len() <= 1 {
        group.retain(|loss| loss.stage != Stage::Empty);
        return group;
    }
    let requests: HashSet<_> = group.iter().filter_map(Loss::request).collect();
    let is_common = |request: &Fingerprint| {
        let lost = group.iter().filter(|loss| loss.request() == Some(*request));
        lost.map(|loss| &loss.target).collect::<HashSet<_>>().len() == targets.len()
    };
    let common = requests.iter().find(|request| is_common(request)).copied();
    group.retain(|loss| common.is_some() && loss.request() == common);
    group
}
