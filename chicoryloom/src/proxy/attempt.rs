//! One attempt to send a request to a target.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chicoryloom_policy::health::Failed;
use chicoryloom_policy::health::Outcome;
use chicoryloom_policy::holdback::Fingerprint;
use chicoryloom_policy::id;
use chicoryloom_wire::header;
use http::Request;
use http::Version;
use http::request::Parts;
use tokio::time::Instant;

use super::Proxy;
use super::headers;
use super::payload::Payload;
use super::request::RoutedRequest;
use crate::target::Answer;
use crate::target::Failure;
use crate::target::Lease;
use crate::target::Member;
use crate::target::Protocol;
use crate::target::Service;
use crate::target::exchange;
use crate::target::is_failure;

/// Most times that one attempt in flight is reported as late, each at twice the previous age.
const MAX_LATE_REPORTS: u32 = 3;

/// Delay of a timer beyond which this host itself is taken to have stalled.
const TIMER_STALL: Duration = Duration::from_millis(20);

/// A request with all that its attempts share.
#[derive(Debug)]
pub(super) struct Job<'a> {
    pub(super) proxy: &'a Proxy,
    pub(super) routed: &'a RoutedRequest,
    pub(super) service: Arc<Service>,
    pub(super) workspace: Option<id::Workspace>,
    /// Head of the request as sent to targets, without the headers that each attempt sets.
    pub(super) parts: Parts,
    pub(super) payload: Payload,
    pub(super) fingerprint: Fingerprint,
    pub(super) deadline: Instant,
    /// Whether the deadline leaves a target at least half of the route's time.
    pub(super) is_route_deadline: bool,
    /// Whether a target may have run the request already.
    pub(super) may_have_run: AtomicBool,
}

/// Why an attempt returned no answer.
#[derive(Debug)]
pub(super) enum AttemptError {
    Failure(Failure),
    /// The host may have missed a change since it admitted the request; nothing was sent.
    NotFresh,
    /// The key was withdrawn since the request was admitted; nothing was sent.
    KeyWithdrawn,
    /// The body was consumed by an earlier attempt; nothing was sent.
    BodySpent,
}

impl Job<'_> {
    /// Sends the request to one target and records the result in the target's health.
    pub(super) async fn attempt(&self, member: &Member) -> Result<Answer, AttemptError> {
        let answer = self.lease_and_send(member).await;
        if let Err(AttemptError::Failure(failure)) = &answer {
            log::debug!("proxy: attempt at target {} failed: {failure}", member.target.id);
            if !failure.is_not_run() {
                self.may_have_run.store(true, Ordering::Relaxed);
            }
        }
        answer
    }

    async fn lease_and_send(&self, member: &Member) -> Result<Answer, AttemptError> {
        let lease = tokio::time::timeout_at(self.deadline, member.backend.lease()).await;
        let lease = lease.unwrap_or(Err(Failure::Connect("deadline".to_owned())));
        let lease = lease.inspect_err(|failure| self.observe_failure(member, failure, true));
        let lease = lease.map_err(AttemptError::Failure)?;
        let fresh = lease.is_new();
        match self.send(member, lease).await {
            // The target closed an idle connection, which says nothing about its health.
            Err(AttemptError::Failure(Failure::Unsent))
                if !fresh && self.payload.is_available() =>
            {
                let lease = member.backend.lease_new().await;
                let lease = lease.inspect_err(|error| self.observe_failure(member, error, true));
                self.send(member, lease.map_err(AttemptError::Failure)?).await
            }
            sent => sent,
        }
    }

    async fn send(&self, member: &Member, lease: Lease) -> Result<Answer, AttemptError> {
        let fresh = lease.is_new();
        let request = self.request(member)?;
        // This host may have been paused since it admitted the request.
        self.proxy.check_fresh().map_err(|_| AttemptError::NotFresh)?;
        self.check_key()?;
        let started = Instant::now();
        let mut late = false;
        let exchange =
            exchange(lease, request, Some(self.proxy.settings.idle_timeout), Protocol::own());
        let sent = self.await_answer(member, exchange, started, &mut late).await;
        match sent {
            Ok(mut answer) => {
                self.observe_answer(member, &answer, started.elapsed(), late);
                self.observe_truncation(member, &mut answer);
                Ok(answer)
            }
            Err(failure) => {
                self.observe_failure(member, &failure, fresh);
                Err(AttemptError::Failure(failure))
            }
        }
    }

    /// Fails unless the request's key still belongs to the workspace that it was admitted for.
    fn check_key(&self) -> Result<(), AttemptError> {
        let workspace = self.routed.workspace(&self.proxy.published.view());
        let holds = workspace.is_ok_and(|workspace| workspace == self.workspace);
        if holds { Ok(()) } else { Err(AttemptError::KeyWithdrawn) }
    }

    /// Waits for an answer until the deadline and reports the target as late while none arrives.
    async fn await_answer(
        &self,
        member: &Member,
        exchange: impl Future<Output = Result<Answer, Failure>>,
        started: Instant,
        late: &mut bool,
    ) -> Result<Answer, Failure> {
        let mut exchange = std::pin::pin!(exchange);
        let limit = self.service.latency_limit(&self.routed.route.name);
        for level in 0..MAX_LATE_REPORTS {
            let age = limit.saturating_mul(1 << level);
            let Some(at) = started.checked_add(age).filter(|at| *at < self.deadline) else {
                break;
            };
            match tokio::time::timeout_at(at, exchange.as_mut()).await {
                Ok(sent) => return sent,
                // A timer that itself fires late shows that this host stalled, not the target.
                Err(_) if at.elapsed() > TIMER_STALL => {}
                Err(_) => {
                    *late = true;
                    self.observe(member, Outcome::Late);
                }
            }
        }
        let last = tokio::time::timeout_at(self.deadline, exchange).await;
        last.unwrap_or(Err(Failure::Deadline))
    }

    fn request(&self, member: &Member) -> Result<Request<crate::target::Body>, AttemptError> {
        let body = self.payload.body().ok_or(AttemptError::BodySpent)?;
        let mut parts = self.parts.clone();
        let id = format!("{:016x}", rand::random::<u64>());
        let left = self.deadline.saturating_duration_since(Instant::now());
        let workspace = self.workspace.as_ref();
        headers::to_target(&mut parts.headers, member.target.id, workspace, &id, left);
        if !self.payload.is_sized() {
            headers::mark_chunked(&mut parts.headers);
        }
        // With a caller's older HTTP version the target would answer in that version too.
        parts.version = Version::HTTP_11;
        Ok(Request::from_parts(parts, body))
    }

    fn observe(&self, member: &Member, outcome: Outcome) {
        let now = self.proxy.clock.now();
        self.service.observe(member.target.id, &self.routed.route.name, outcome, now);
    }

    fn observe_answer(&self, member: &Member, answer: &Answer, took: Duration, late: bool) {
        let slots = member.target.slots.0;
        member.backend.gauge().record_answer(took, late, slots);
        self.service.record_answer(self.fingerprint, member.target.id, self.proxy.clock.now());
        if answer.headers().contains_key(header::DRAINING) {
            self.service.mark_draining(member.target.id, self.proxy.clock.now());
        }
        if is_failure(answer.status()) {
            self.observe(member, Outcome::Failed(Failed::Error));
        } else {
            // If no timer reported an answer beyond the limit, this host delayed it.
            let limit = self.service.latency_limit(&self.routed.route.name);
            let took = if late { took } else { took.min(limit) };
            self.observe(member, Outcome::Ok { took, late });
        }
    }

    /// Counts an answer whose body is cut off as a failure of the target.
    fn observe_truncation(&self, member: &Member, answer: &mut Answer) {
        let service = self.service.clone();
        let target = member.target.id;
        let route = self.routed.route.name.clone();
        let clock = self.proxy.clock.clone();
        answer.body_mut().on_abort(move || {
            service.observe(target, &route, Outcome::Failed(Failed::Reset), clock.now());
        });
    }

    fn observe_failure(&self, member: &Member, failure: &Failure, fresh: bool) {
        let now = self.proxy.clock.now();
        let failed = match failure {
            Failure::Cap | Failure::Body(_) | Failure::Withdrawn => return,
            Failure::Unsent if !fresh => return,
            Failure::Connect(_) | Failure::Unsent => Failed::Refused,
            Failure::Shed(terms) => {
                member.backend.gauge().record_shed(now);
                if terms.is_leaving {
                    self.service.mark_draining(member.target.id, now);
                }
                return;
            }
            Failure::Lost(_) => {
                self.service.record_loss(self.fingerprint, member.target.id, now);
                Failed::Reset
            }
            Failure::Malformed(_)
            | Failure::Mismatched
            | Failure::CloseDelimited
            | Failure::Unsealed
            | Failure::Misdirected => Failed::Error,
            // A caller with a very short deadline must not cause targets to be ejected.
            Failure::Deadline if !self.is_route_deadline => return,
            Failure::Deadline => Failed::Timeout,
        };
        self.observe(member, Outcome::Failed(failed));
    }
}
