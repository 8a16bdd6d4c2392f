//! Retries and hedges of a request.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use chicoryloom_policy::holdback::Fingerprint;
use chicoryloom_policy::id;
use chicoryloom_wire::caller::Code;
use chicoryloom_wire::caller::Refusal;
use chicoryloom_wire::caller::Run;
use futures::future::Either;
use futures::future::select;
use http::Request;
use http::Response;
use http::Uri;
use http::Version;
use http_body_util::BodyExt;
use tokio::time::Instant;

use super::Proxy;
use super::SHORT_RETRY_AFTER;
use super::attempt::AttemptError;
use super::attempt::Job;
use super::headers;
use super::payload::Payload;
use super::request::RoutedRequest;
use crate::control::View;
use crate::target::Answer;
use crate::target::Body;
use crate::target::Failure;
use crate::target::Member;
use crate::target::Place;
use crate::target::is_failure;

/// Most targets that one request is sent to, hedges included.
const MAX_TARGETS: usize = 4;

impl Proxy {
    /// Sends a request to a target, with retries and hedges at others, and returns the answer.
    pub(super) async fn attempt(
        &self,
        request: Request<Body>,
        view: &View,
        routed: &RoutedRequest,
        workspace: Option<id::Workspace>,
    ) -> Result<Response<Body>, Refusal> {
        let started = Instant::now();
        let budget = super::request::budget(request.headers(), routed.route.deadline);
        let deadline = started + budget;
        let place = Place::of(view, &routed.document.service, &self.name);
        let service = self.targets.service(&routed.document, place);
        let (mut parts, body) = request.into_parts();
        let uri: Result<Uri, _> = routed.path.parse();
        parts.uri = uri.map_err(|error| Refusal::not_run(Code::Route, error.to_string()))?;
        let payload = self.payload(body, deadline).await?;
        let name = workspace.as_ref().map_or("", id::Workspace::as_str);
        let method = parts.method.as_str();
        let fingerprint = Fingerprint::of(name, method, &routed.path, payload.start());
        if let Some(wait) = service.try_pass(fingerprint, self.clock.now()) {
            let detail = "requests like this one took targets down";
            return Err(Refusal::not_run(Code::HeldBack, detail).retry_after(wait));
        }
        let job = Job {
            proxy: self,
            routed,
            service,
            workspace,
            parts,
            payload,
            fingerprint,
            deadline,
            is_route_deadline: budget * 2 >= routed.route.deadline,
            may_have_run: AtomicBool::new(false),
        };
        let answer = job.run().await?;
        let mut response = answer.map(BodyExt::boxed_unsync);
        *response.version_mut() = Version::HTTP_11;
        headers::to_caller(response.headers_mut());
        Ok(response)
    }

    async fn payload(&self, body: Body, deadline: Instant) -> Result<Payload, Refusal> {
        let read = Payload::read(body);
        match tokio::time::timeout_at(deadline, read).await {
            Ok(Ok(payload)) => Ok(payload),
            Ok(Err(error)) => Err(Refusal::not_run(Code::Bound, error.to_string())),
            Err(_) => Err(Refusal::not_run(Code::Deadline, "the body did not come in time")),
        }
    }
}

impl Job<'_> {
    /// Sends the request until a target answers or no further attempt is allowed.
    async fn run(&self) -> Result<Answer, Refusal> {
        self.service.deposit();
        let mut tried = Vec::new();
        let mut last = None;
        while tried.len() < MAX_TARGETS {
            let Some(member) = self.pick(&tried) else {
                break;
            };
            tried.push(member.target.id);
            let answer = self.hedged(&member, &mut tried).await;
            if !self.may_retry(&answer) {
                return answer.map_err(|error| self.refusal(&error));
            }
            last = Some(answer);
        }
        match last {
            Some(answer) => answer.map_err(|error| self.refusal(&error)),
            None => {
                let detail = "no target that is in use can take the request";
                Err(Refusal::not_run(Code::NoCapacity, detail).retry_after(SHORT_RETRY_AFTER))
            }
        }
    }

    fn pick(&self, tried: &[id::Target]) -> Option<Member> {
        self.service.pick(&self.routed.route, tried, self.proxy.clock.now())
    }

    /// Returns whether to try another target, and charges the attempt to the retry budget.
    fn may_retry(&self, answer: &Result<Answer, AttemptError>) -> bool {
        if Instant::now() >= self.deadline || !self.payload.is_available() {
            return false;
        }
        let repeatable = self.routed.route.repeatable;
        match answer {
            Ok(answer) if repeatable && is_failure(answer.status()) => {
                self.may_have_run.store(true, Ordering::Relaxed);
                self.service.take_retry()
            }
            Ok(_) => false,
            Err(AttemptError::NotFresh | AttemptError::KeyWithdrawn | AttemptError::BodySpent) => {
                false
            }
            // Nothing reached a target, so a retry adds no load and is not charged to the budget.
            Err(AttemptError::Failure(Failure::Cap | Failure::Connect(_) | Failure::Unsent)) => {
                true
            }
            Err(AttemptError::Failure(failure)) => {
                let held = self.service.remaining_hold(self.fingerprint, self.proxy.clock.now());
                (repeatable || failure.is_not_run()) && held.is_none() && self.service.take_retry()
            }
        }
    }

    /// Sends the request to a target, and to a second one if the first is late.
    async fn hedged(
        &self,
        member: &Member,
        tried: &mut Vec<id::Target>,
    ) -> Result<Answer, AttemptError> {
        let mut first = std::pin::pin!(self.attempt(member));
        if !self.routed.route.repeatable || !self.payload.is_replayable() {
            return first.await;
        }
        let limit = self.service.latency_limit(&self.routed.route.name);
        let wait = self.deadline.saturating_duration_since(Instant::now()).min(limit);
        if let Ok(answer) = tokio::time::timeout(wait, first.as_mut()).await {
            return answer;
        }
        let Some(second) = self.pick_hedge(tried) else {
            return first.await;
        };
        tried.push(second.target.id);
        let second = std::pin::pin!(self.attempt(&second));
        // The slower attempt is dropped, which closes its connection.
        match select(first, second).await {
            Either::Left((answer, other)) if is_failed(&answer) => {
                prefer_success(answer, other.await)
            }
            Either::Right((answer, other)) if is_failed(&answer) => {
                prefer_success(answer, other.await)
            }
            Either::Left((answer, _)) | Either::Right((answer, _)) => answer,
        }
    }

    /// Returns the refusal for the last failed attempt.
    ///
    /// It says "not run" only if that is true of all attempts.
    fn refusal(&self, error: &AttemptError) -> Refusal {
        let mut refusal = refusal(error);
        if self.may_have_run.load(Ordering::Relaxed) {
            refusal.run = Run::Unknown;
        }
        refusal
    }

    /// Picks a target for a hedge if the retry budget allows one.
    fn pick_hedge(&self, tried: &[id::Target]) -> Option<Member> {
        if Instant::now() >= self.deadline || tried.len() >= MAX_TARGETS {
            return None;
        }
        let member = self.pick(tried)?;
        self.service.take_retry().then_some(member)
    }
}

fn is_failed(answer: &Result<Answer, AttemptError>) -> bool {
    answer.as_ref().map_or(true, |answer| is_failure(answer.status()))
}

fn prefer_success(
    one: Result<Answer, AttemptError>,
    other: Result<Answer, AttemptError>,
) -> Result<Answer, AttemptError> {
    if is_failed(&other) { one } else { other }
}

/// Returns the refusal for a failed attempt, regardless of earlier ones.
fn refusal(error: &AttemptError) -> Refusal {
    let failure = match error {
        AttemptError::Failure(failure) => failure,
        AttemptError::NotFresh => {
            let detail = "this host may have missed a change; use another one";
            return Refusal::not_run(Code::NotFresh, detail).retry_after(SHORT_RETRY_AFTER);
        }
        AttemptError::KeyWithdrawn => {
            let detail = "the key was withdrawn before the request was sent";
            return Refusal::not_run(Code::Key, detail);
        }
        AttemptError::BodySpent => {
            let detail = "the body is longer than what is kept for another try";
            return Refusal::not_run(Code::NoCapacity, detail).retry_after(SHORT_RETRY_AFTER);
        }
    };
    match failure {
        Failure::Deadline => Refusal::unknown(Code::Deadline, failure.to_string()),
        Failure::Body(reason) => Refusal::unknown(Code::Bound, reason.clone()),
        failure if failure.is_not_run() => {
            Refusal::not_run(Code::NoCapacity, failure.to_string()).retry_after(SHORT_RETRY_AFTER)
        }
        failure => Refusal::unknown(Code::Answer, failure.to_string()),
    }
}
