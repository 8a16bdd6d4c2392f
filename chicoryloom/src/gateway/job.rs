//! One admitted request and its attempts at targets.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::catalog::Repeat;
use chicoryloom_policy::catalog::Route;
use chicoryloom_policy::catalog::Workspace;
use chicoryloom_policy::dispatch::Rank;
use chicoryloom_policy::gray::Outcome;
use chicoryloom_policy::holdback::Fingerprint;
use chicoryloom_policy::id;
use futures::FutureExt;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Version;
use http::request::Parts;
use http_body_util::BodyExt;
use serde_json::json;
use tokio::time::Instant;

use super::Gateway;
use super::SOON;
use super::answer::Streamed;
use super::dispatcher::Choice;
use super::dispatcher::Live;
use super::dispatcher::Seat;
use super::dispatcher::Wish;
use super::refusal::Reason;
use super::refusal::Refusal;
use super::refusal::full;
use crate::proxy::headers;
use crate::proxy::payload::Payload;
use crate::target::Answer;
use crate::target::Body;
use crate::target::Failure;
use crate::target::exchange;

/// Targets that may refuse a connection or have no room before a request is given up.
const MAX_TURNS: usize = 6;
/// Longest answer that is taken in whole before it is passed on, so that a cut one can be asked
/// for again.
const MAX_HELD: u64 = 1024 * 1024;
/// Multiple of the usual time of work after which an answer is late.
const LATE_FACTOR: f64 = 3.0;
/// Time that any answer may take beyond that.
const LATE_GRACE: Duration = Duration::from_millis(40);
/// Longest pause within an answer.
const ANSWER_IDLE: Duration = Duration::from_secs(10);

/// A request on its way to some target.
pub(super) struct Job<'a> {
    pub(super) gateway: &'a Gateway,
    pub(super) id: &'a str,
    pub(super) route: Arc<Route>,
    pub(super) service: id::Service,
    pub(super) workspace: Option<Arc<Workspace>>,
    /// Digest of the caller's key.
    pub(super) key: Option<id::Digest>,
    /// Head of the request as targets get it, but for the headers that the gateway sets.
    pub(super) parts: Parts,
    pub(super) payload: Payload,
    pub(super) fingerprint: Fingerprint,
    pub(super) arrived: Moment,
    /// When the caller gets its answer, whatever it is.
    pub(super) end: Instant,
    pub(super) progress: Progress,
}

/// What has happened to a request so far.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Whether a target may have run it.
    may_have_run: AtomicBool,
    /// Whether it was counted towards its workspace's grant.
    is_counted: AtomicBool,
    tried: Mutex<Vec<Choice>>,
}

impl Progress {
    /// Returns the targets that had the request, with what they were chosen by.
    pub(super) fn tried(&self) -> Vec<Choice> {
        self.tried.lock().expect("no holder of the lock panics").clone()
    }

    fn note(&self, choice: &Choice) {
        self.tried.lock().expect("no holder of the lock panics").push(choice.clone());
    }
}

/// How one attempt ended.
enum End {
    /// An answer for the caller.
    Answer(Response<Body>),
    /// An answer that tells of a failure of the target.
    Failed(Response<Body>),
    /// No answer.
    Broken(Failure),
    /// Nothing was sent to a target.
    Refused(Refusal),
}

impl Job<'_> {
    /// Sends the request to targets until one answers or nothing more may be tried.
    pub(super) async fn run(&self) -> Result<Response<Body>, Refusal> {
        self.gateway.dispatcher.deposit(&self.service);
        let mut running: FuturesUnordered<BoxFuture<'_, End>> = FuturesUnordered::new();
        running.push(self.attempt().boxed());
        let mut started = 1;
        let mut last: Option<End> = None;
        let late = tokio::time::sleep(self.patience());
        tokio::pin!(late);
        let mut may_hedge = self.is_safe();
        loop {
            tokio::select! {
                biased;
                Some(end) = running.next() => {
                    match end {
                        End::Answer(response) => return Ok(response),
                        failed => last = better(last, failed),
                    }
                    if started < self.route.attempts && self.may_retry(last.as_ref()) {
                        started += 1;
                        running.push(self.attempt().boxed());
                    } else if running.is_empty() {
                        return self.conclude(last);
                    }
                }
                () = &mut late, if may_hedge => {
                    may_hedge = false;
                    let has_run = self.progress.may_have_run.load(Ordering::Relaxed);
                    if has_run && started < self.route.attempts && self.take_retry() {
                        started += 1;
                        running.push(self.attempt().boxed());
                    }
                }
                () = tokio::time::sleep_until(self.end) => {
                    return self.conclude(last.or(Some(End::Broken(Failure::Deadline))));
                }
            }
        }
    }

    fn is_safe(&self) -> bool {
        self.route.repeat == Repeat::Safe && self.payload.is_whole()
    }

    /// Returns the time after which an answer is late.
    fn patience(&self) -> Duration {
        let work = self.gateway.dispatcher.work(&self.service, &self.route.name);
        work.unwrap_or(self.route.aim).mul_f64(LATE_FACTOR) + LATE_GRACE
    }

    fn take_retry(&self) -> bool {
        self.gateway.dispatcher.take_retry(&self.service)
    }

    fn may_retry(&self, last: Option<&End>) -> bool {
        if Instant::now() >= self.end || self.gateway.dispatcher.held(self.fingerprint).is_some() {
            return false;
        }
        match last {
            Some(End::Failed(_)) => self.is_safe() && self.take_retry(),
            Some(End::Broken(Failure::Body(_)) | End::Refused(_)) => false,
            Some(End::Broken(failure)) => {
                let may_repeat = self.is_safe() || (failure.is_not_run() && self.payload.is_left());
                may_repeat && self.take_retry()
            }
            Some(End::Answer(_)) | None => false,
        }
    }

    /// Turns the last failed attempt into the caller's answer.
    fn conclude(&self, last: Option<End>) -> Result<Response<Body>, Refusal> {
        let may_have_run = self.progress.may_have_run.load(Ordering::Relaxed);
        let refusal = match last {
            Some(End::Answer(response) | End::Failed(response)) => return Ok(response),
            Some(End::Refused(refusal)) => refusal,
            Some(End::Broken(Failure::Body(reason))) if !may_have_run => {
                Refusal::new(Reason::Body, reason)
            }
            Some(End::Broken(failure)) => {
                let reason = match failure {
                    Failure::Deadline => Reason::Timeout,
                    _ => Reason::Lost,
                };
                Refusal::new(reason, failure.to_string())
            }
            None => Refusal::new(Reason::Late, "no attempt was made"),
        };
        if may_have_run {
            // A refusal of a later attempt must not say that the request has not run.
            let reason =
                if refusal.reason == Reason::Timeout { Reason::Timeout } else { Reason::Lost };
            return Err(Refusal { reason, retry_after: None, ..refusal });
        }
        match refusal.reason {
            Reason::Lost | Reason::Timeout => {
                Err(Refusal::new(Reason::Late, refusal.detail).retry_after(SOON))
            }
            _ => Err(refusal),
        }
    }

    /// Sends the request to one target; targets that surely don't run it are passed over.
    async fn attempt(&self) -> End {
        let mut last = Failure::Cap;
        for turn in 0..MAX_TURNS {
            let seat = match self.seat().await {
                Ok(seat) => seat,
                Err(refusal) if turn == 0 => return End::Refused(refusal),
                Err(_) => return End::Broken(last),
            };
            if let Err(refusal) = self.admit() {
                return End::Refused(refusal);
            }
            if !self.payload.is_left() {
                return End::Broken(Failure::Unsent);
            }
            let live = seat.live.clone();
            match self.send(seat).await {
                Err(failure) => {
                    self.note_failure(&live, &failure);
                    let is_unsent =
                        matches!(failure, Failure::Cap | Failure::Connect(_) | Failure::Unsent);
                    let is_shed = matches!(failure, Failure::Shed { .. } | Failure::Misdirected);
                    let goes_on = is_unsent || (is_shed && self.take_retry());
                    if !goes_on {
                        return End::Broken(failure);
                    }
                    last = failure;
                }
                Ok(end) => return end,
            }
        }
        log::debug!("gateway: {}: no target took the request", self.id);
        End::Broken(last)
    }

    async fn seat(&self) -> Result<Seat, Refusal> {
        let now = self.gateway.clock.now();
        let left = self.end.saturating_duration_since(Instant::now());
        let work = self.gateway.dispatcher.work(&self.service, &self.route.name);
        let latest = now.after(left.saturating_sub(work.unwrap_or_default()));
        let tried: Vec<_> = self.progress.tried().into_iter().map(|choice| choice.target).collect();
        let attempts = usize::try_from(self.route.attempts).unwrap_or(usize::MAX);
        let wish = Wish {
            service: self.service.clone(),
            rank: self.rank(),
            can_retry: self.is_safe() && tried.len() + 1 < attempts,
            tried,
            arrived: self.arrived,
            latest,
        };
        self.gateway.dispatcher.seat(wish).await.map_err(|late| {
            let detail = format!("{} requests wait for {}", late.ahead, self.service);
            Refusal::new(Reason::Late, detail).retry_after(late.wait)
        })
    }

    fn rank(&self) -> Rank {
        let workspace = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        Rank { priority: workspace.unwrap_or(self.route.priority), route: self.route.priority }
    }

    /// Counts the request towards its workspace's grant, unless the key was withdrawn meanwhile.
    fn admit(&self) -> Result<(), Refusal> {
        let Some(workspace) = &self.workspace else { return Ok(()) };
        let catalog = self.gateway.mirror.catalog();
        let holder = self.key.as_ref().and_then(|key| catalog.as_ref()?.keys.get(key).cloned());
        if holder.is_none_or(|holder| holder.name != workspace.name) {
            return Err(Refusal::new(Reason::Key, "the key was withdrawn"));
        }
        if self.progress.is_counted.swap(true, Ordering::Relaxed) {
            return Ok(());
        }
        self.gateway.admit(workspace).inspect_err(|_| {
            self.progress.is_counted.store(false, Ordering::Relaxed);
        })
    }

    /// Sends the request over a connection of a target.
    async fn send(&self, seat: Seat) -> Result<End, Failure> {
        let live = seat.live.clone();
        let lease = tokio::time::timeout_at(self.end, live.backend.lease()).await;
        let lease = lease.unwrap_or(Err(Failure::Connect("deadline".to_owned())))?;
        let fresh = lease.is_fresh();
        let sent = self.gateway.clock.now();
        let begun = Instant::now();
        self.progress.may_have_run.store(true, Ordering::Relaxed);
        let protocol = self.gateway.dialect.protocol();
        let request = self.request(&live).ok_or(Failure::Unsent)?;
        let mut answer = self.watched(exchange(lease, request, ANSWER_IDLE, protocol), &live).await;
        // The target closed an idle connection; that says nothing of its health.
        if matches!(answer, Err(Failure::Unsent)) && !fresh && self.payload.is_left() {
            let lease = live.backend.lease_fresh().await.inspect_err(|_| self.unsent())?;
            let request = self.request(&live).ok_or(Failure::Unsent)?;
            answer = self.watched(exchange(lease, request, ANSWER_IDLE, protocol), &live).await;
        }
        let answer = answer.inspect_err(|failure| {
            if failure.is_not_run() {
                self.unsent();
            } else {
                self.progress.note(&seat.choice);
                let is_loss = matches!(failure, Failure::Lost(_));
                if is_loss {
                    let address = live.target.address;
                    self.gateway.dispatcher.note_crash(self.fingerprint, address, false);
                }
            }
        })?;
        self.progress.note(&seat.choice);
        self.deliver(answer, seat, sent, begun).await
    }

    /// Takes back that the request may have run, unless an earlier attempt was sent too.
    fn unsent(&self) {
        let is_first = self.progress.tried().is_empty();
        if is_first {
            self.progress.may_have_run.store(false, Ordering::Relaxed);
        }
    }

    /// Awaits an answer, and leaves the target alone meanwhile if it is late.
    async fn watched(
        &self,
        answer: impl Future<Output = Result<Answer, Failure>>,
        live: &Live,
    ) -> Result<Answer, Failure> {
        tokio::pin!(answer);
        if let Ok(answer) = tokio::time::timeout(self.patience(), answer.as_mut()).await {
            return answer;
        }
        let now = self.gateway.clock.now();
        self.gateway.dispatcher.observe(live, Outcome::Silent, now);
        answer.await
    }

    fn request(&self, live: &Live) -> Option<Request<Body>> {
        let body = self.payload.body()?;
        let mut parts = self.parts.clone();
        let names = self.gateway.dialect.headers();
        let left = self.end.saturating_duration_since(Instant::now()).as_millis();
        let left = u64::try_from(left).unwrap_or(u64::MAX);
        parts.headers.insert(names.deadline_ms.clone(), HeaderValue::from(left));
        let instance = HeaderValue::from_str(live.target.instance.as_str()).ok()?;
        parts.headers.insert(names.instance.clone(), instance);
        if let Some(workspace) = &self.workspace {
            let name = HeaderValue::from_str(workspace.name.as_str()).ok()?;
            parts.headers.insert(names.workspace.clone(), name);
        }
        parts.version = Version::HTTP_11;
        Some(Request::from_parts(parts, body))
    }

    /// Turns a target's answer into the caller's, and takes in what it shows of the target.
    async fn deliver(
        &self,
        answer: Answer,
        seat: Seat,
        sent: Moment,
        begun: Instant,
    ) -> Result<End, Failure> {
        let dispatcher = &self.gateway.dispatcher;
        let live = seat.live.clone();
        let is_failure = is_failure(answer.status());
        let outcome = if is_failure { Outcome::Failed } else { Outcome::Ok };
        if is_failure {
            dispatcher.observe(&live, outcome, sent);
        } else {
            dispatcher.worked(&self.service, &self.route.name, begun.elapsed());
        }
        dispatcher.note_crash(self.fingerprint, live.target.address, true);
        let (mut parts, body) = answer.into_parts();
        headers::strip_hop_by_hop(&mut parts.headers);
        parts.version = Version::HTTP_11;
        let length = hyper::body::Body::size_hint(&body).exact();
        let is_held = is_failure || (self.is_safe() && length.is_some_and(|n| n <= MAX_HELD));
        if !is_held {
            dispatcher.observe(&live, outcome, sent);
            let body = Streamed::new(body, seat).boxed_unsync();
            return Ok(End::Answer(Response::from_parts(parts, body)));
        }
        let body = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => return Err(Failure::Lost(error.to_string())),
        };
        dispatcher.observe(&live, outcome, sent);
        drop(seat);
        let response = Response::from_parts(parts, full(body));
        Ok(if is_failure { End::Failed(response) } else { End::Answer(response) })
    }

    /// Takes in what a failed attempt shows of its target.
    fn note_failure(&self, live: &Live, failure: &Failure) {
        let now = self.gateway.clock.now();
        let outcome = match failure {
            Failure::Cap | Failure::Body(_) => None,
            Failure::Connect(_) | Failure::Unsent | Failure::Misdirected | Failure::Deadline => {
                live.backend.close_idle();
                Some(Outcome::Silent)
            }
            Failure::Shed { .. } => Some(Outcome::Shed),
            Failure::Lost(_) | Failure::Crossed | Failure::Endless | Failure::Unsealed => {
                live.backend.close_idle();
                Some(Outcome::Failed)
            }
        };
        if let Some(outcome) = outcome {
            self.gateway.dispatcher.observe(live, outcome, now);
        }
        self.gateway.events.request("attempt", || {
            json!({
                "id": self.id, "target": live.target.instance.as_str(),
                "service": self.service.as_str(), "failure": failure.to_string(),
                "not_run": failure.is_not_run(),
            })
        });
    }
}

/// Returns the better end of two failed attempts for the caller.
fn better(one: Option<End>, other: End) -> Option<End> {
    match (one, other) {
        // A target's own answer says more than the lack of one.
        (Some(End::Failed(response)), End::Refused(_) | End::Broken(_)) => {
            Some(End::Failed(response))
        }
        (Some(End::Broken(failure)), End::Refused(_)) => Some(End::Broken(failure)),
        (_, other) => Some(other),
    }
}

/// Tells whether a status says that the target failed.
fn is_failure(status: StatusCode) -> bool {
    matches!(status.as_u16(), 500 | 502 | 503 | 504)
}
