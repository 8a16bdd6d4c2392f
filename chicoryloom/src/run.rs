//! Requests under run keys that this host has issued, and the outcomes kept for their repeats.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use bytes::Bytes;
use chicoryloom_policy::Moment;
use chicoryloom_policy::id;
use chicoryloom_policy::ledger::Holder;
use chicoryloom_policy::run::Fingerprint;
use chicoryloom_policy::run::Key;
use chicoryloom_policy::run::Registry;
use chicoryloom_policy::run::Series;
use chicoryloom_policy::run::Verdict;
use chicoryloom_wire::caller::Refusal;
use http::HeaderMap;
use http::StatusCode;
use tokio::sync::Notify;

/// How a run ended, as reported to repeats of its request.
#[derive(Clone, Debug)]
pub(crate) enum Outcome {
    Answer {
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
    },
    /// An answer whose body is too long to be kept.
    TooLong {
        status: StatusCode,
    },
    Refusal(Refusal),
}

impl Outcome {
    /// Returns the approximate size of the outcome in bytes.
    fn size(&self) -> usize {
        match self {
            Self::Answer { headers, body, .. } => {
                let header = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
                    name.as_str().len() + value.len()
                };
                body.len() + headers.iter().map(header).sum::<usize>()
            }
            Self::TooLong { .. } => 0,
            Self::Refusal(refusal) => refusal.detail.len(),
        }
    }
}

/// A request with a run key.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) workspace: id::Workspace,
    pub(crate) service: id::Service,
    pub(crate) key: Key,
    pub(crate) fingerprint: Fingerprint,
}

/// The series and outcomes of this incarnation.
#[derive(Debug)]
pub(crate) struct Runs {
    issuer: Holder,
    registry: Mutex<Registry<Arc<Outcome>>>,
    /// Notified at the end of each run.
    ended: Notify,
}

impl Runs {
    pub(crate) fn new(issuer: Holder) -> Self {
        let registry = Mutex::new(Registry::new(issuer.clone()));
        Self { issuer, registry, ended: Notify::new() }
    }

    /// Returns the host and incarnation that issues these run keys.
    pub(crate) fn issuer(&self) -> &Holder {
        &self.issuer
    }

    fn lock(&self) -> MutexGuard<'_, Registry<Arc<Outcome>>> {
        self.registry.lock().expect("no holder of the lock panics")
    }

    /// Issues a series of run keys to the holder of a caller's key.
    pub(crate) fn issue(
        &self,
        workspace: &id::Workspace,
        owner: id::Digest,
        service: &id::Service,
        now: Moment,
    ) -> Series {
        self.lock().issue(workspace, owner, service, now)
    }

    /// Decides what to do with a request, after waiting for an earlier one with the same run key.
    pub(crate) async fn begin(&self, request: &Request, now: Moment) -> Verdict<Arc<Outcome>> {
        loop {
            let ended = self.ended.notified();
            tokio::pin!(ended);
            // Registered before the check, so that a run that ends in between wakes this task.
            ended.as_mut().enable();
            match self.try_begin(request, now) {
                Verdict::Wait => ended.await,
                verdict => return verdict,
            }
        }
    }

    fn try_begin(&self, request: &Request, now: Moment) -> Verdict<Arc<Outcome>> {
        let Request { workspace, service, key, fingerprint } = request;
        self.lock().begin(workspace, service, key, *fingerprint, now)
    }

    /// Records the outcome of a run and wakes the requests that wait for it.
    pub(crate) fn end(&self, request: &Request, outcome: Outcome) {
        let size = outcome.size();
        self.lock().end(&request.workspace, &request.key, Arc::new(outcome), size);
        self.ended.notify_waiters();
    }
}
