//! Attempts of one request at targets, with retries and hedging.

use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::catalog::Repeat;
use chicoryloom_policy::gray::Outcome;
use chicoryloom_policy::holdback::Fingerprint;
use chicoryloom_policy::id;
use chicoryloom_policy::loss::Stage;
use chicoryloom_policy::stop::Demand;
use chicoryloom_policy::waiting::Ticket;
use futures::FutureExt;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::Version;
use http::request::Parts;
use http::uri::PathAndQuery;
use http_body_util::BodyExt;
use http_body_util::Limited;
use serde_json::json;
use tokio::time::Instant;

use super::Gateway;
use super::LATE_GRACE;
use super::SHORT_RETRY_AFTER;
use super::answer;
use super::answer::StreamedBody;
use super::binding::Place;
use super::binding::Tracker;
use super::dispatcher::Choice;
use super::dispatcher::Endpoint;
use super::dispatcher::Requirements;
use super::dispatcher::Slot;
use super::refusal::Reason;
use super::refusal::Refusal;
use super::refusal::full;
use crate::proxy::headers;
use crate::proxy::payload::Payload;
use crate::target::Answer;
use crate::target::Body;
use crate::target::Failure;
use crate::target::Lease;
use crate::target::exchange;
use crate::target::is_failure;

/// Targets tried within one attempt while none of them runs the request, such as when they refuse
/// the connection or have no room.
const MAX_TARGETS_PER_ATTEMPT: usize = 6;
/// Longest response in bytes that is buffered whole before it is passed on, so that the request can be
/// retried. A longer one of a repeatable request is streamed, and a longer failure counts as cut off:
/// it may have no end.
const MAX_BUFFERED_RESPONSE: usize = 1024 * 1024;

/// A request that is sent to targets until one responds.
pub(super) struct Job<'a> {
    pub(super) gateway: &'a Gateway,
    pub(super) id: &'a str,
    /// Route and workspace by the configuration in force.
    pub(super) tracker: &'a Tracker<'a>,
    /// Head of the request as sent to targets, except for the headers that each attempt sets.
    pub(super) parts: Parts,
    pub(super) payload: Payload,
    /// Fingerprint, with the workspace that it holds for.
    pub(super) fingerprint: Mutex<Option<(Option<id::Workspace>, Fingerprint)>>,
    pub(super) arrived: Moment,
    /// When the caller gets a response at the latest, even if it is an error.
    pub(super) deadline: Instant,
    pub(super) demand: Demand,
    pub(super) progress: Progress,
}

/// Progress of a request over all its attempts.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Whether a target may have run the request.
    may_have_run: AtomicBool,
    /// Workspace towards whose grant the request was counted.
    counted: Mutex<Option<id::Workspace>>,
    /// Repeats that were taken from the retry budget.
    repeats: AtomicU32,
    tried: Mutex<Vec<Choice>>,
    /// Targets of the attempts under way.
    under_way: Mutex<Vec<id::Instance>>,
}

impl Progress {
    /// Returns the targets that may have run the request, with the reasons for their choice.
    pub(super) fn tried(&self) -> Vec<Choice> {
        self.tried.lock().expect("no holder of the lock panics").clone()
    }

    /// Returns how many repeats were taken from the retry budget.
    pub(super) fn repeats(&self) -> u32 {
        self.repeats.load(Ordering::Relaxed)
    }

    /// Returns the targets that have run the request or may yet do so.
    fn used(&self) -> Vec<id::Instance> {
        let mut used = self.under_way.lock().expect("no holder of the lock panics").clone();
        let tried = self.tried.lock().expect("no holder of the lock panics");
        let is_new = |target: &&id::Instance| !used.contains(target);
        let tried: Vec<_> =
            tried.iter().map(|choice| &choice.target).filter(is_new).cloned().collect();
        used.extend(tried);
        used
    }

    /// Records that an attempt at a target is under way, until what is returned is dropped.
    fn begin(&self, target: &id::Instance) -> UnderWay<'_> {
        let mut under_way = self.under_way.lock().expect("no holder of the lock panics");
        under_way.push(target.clone());
        UnderWay { progress: self, target: target.clone() }
    }

    fn add_tried(&self, choice: &Choice) {
        self.tried.lock().expect("no holder of the lock panics").push(choice.clone());
    }
}

/// An attempt under way; it has ended when this is dropped.
struct UnderWay<'a> {
    progress: &'a Progress,
    target: id::Instance,
}

impl Drop for UnderWay<'_> {
    fn drop(&mut self) {
        let mut under_way = self.progress.under_way.lock().expect("no holder of the lock panics");
        if let Some(at) = under_way.iter().position(|target| *target == self.target) {
            under_way.swap_remove(at);
        }
    }
}

/// Outcome of one attempt.
enum Attempt {
    /// A response for the caller.
    Response(Response<Body>),
    /// A response whose status reports a failure of the target.
    Failed(Response<Body>),
    /// No response from a target.
    NoResponse(Failure),
    /// The attempt was refused before anything was sent to a target.
    Refused(Refusal),
}

impl Job<'_> {
    /// Sends the request to targets until one responds or no attempt is left.
    ///
    /// A repeatable request gets at most one hedging attempt, if its response is late.
    pub(super) async fn run(&self) -> Result<Response<Body>, Refusal> {
        self.gateway.dispatcher.deposit_retry(&self.service()?);
        let mut running: FuturesUnordered<BoxFuture<'_, Attempt>> = FuturesUnordered::new();
        running.push(self.attempt().boxed());
        let mut attempts = 1;
        let mut last: Option<Attempt> = None;
        let hedge_timer = tokio::time::sleep(self.late_threshold());
        tokio::pin!(hedge_timer);
        let mut may_hedge = self.is_repeatable();
        loop {
            tokio::select! {
                biased;
                Some(end) = running.next() => {
                    match end {
                        Attempt::Response(response) => return Ok(response),
                        failed => last = preferred(last, failed),
                    }
                    if attempts < self.tracker.route().max_attempts && self.may_retry(last.as_ref()) {
                        attempts += 1;
                        running.push(self.attempt().boxed());
                    } else if running.is_empty() {
                        return self.conclude(last);
                    }
                }
                () = &mut hedge_timer, if may_hedge => {
                    may_hedge = false;
                    let has_run = self.progress.may_have_run.load(Ordering::Relaxed);
                    if has_run && attempts < self.tracker.route().max_attempts && self.take_retry() {
                        attempts += 1;
                        running.push(self.attempt().boxed());
                    }
                }
                () = self.gateway.wait_to_give_up(self.demand.deadline) => {
                    let has_run = self.progress.may_have_run.load(Ordering::Relaxed);
                    // That a further attempt found no target says less than the target's silence.
                    let last = last.filter(|last| !has_run || !matches!(last, Attempt::Refused(_)));
                    return self.conclude(last.or(Some(Attempt::NoResponse(Failure::Deadline))));
                }
            }
        }
    }

    /// Returns the time that a target gets to answer.
    fn time_left(&self) -> Duration {
        self.gateway.target_time(self.demand.deadline)
    }

    /// Returns whether the request may be run more than once and its body can be sent again.
    fn is_repeatable(&self) -> bool {
        self.tracker.route().repeat == Repeat::Safe && self.payload.is_replayable()
    }

    /// Returns the time after which a response is late.
    fn late_threshold(&self) -> Duration {
        let route = self.tracker.route();
        let service = self.service();
        let latency = service.ok().and_then(|it| self.gateway.dispatcher.latency(&it, &route.name));
        latency.unwrap_or(route.target_latency).mul_f64(super::LATE_FACTOR) + LATE_GRACE
    }

    /// Returns the service whose targets run the request.
    fn service(&self) -> Result<id::Service, Refusal> {
        Ok(self.tracker.place()?.service)
    }

    /// Returns the request's fingerprint for the workspace that holds its key.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        let holder = self.tracker.workspace().map(|workspace| workspace.id.clone());
        let mut known = self.fingerprint.lock().expect("no holder of the lock panics");
        if let Some((_, fingerprint)) = known.as_ref().filter(|(of, _)| *of == holder) {
            return *fingerprint;
        }
        let fingerprint = Fingerprint::of(
            holder.as_ref().map_or("", id::Workspace::as_str),
            self.parts.method.as_str(),
            self.parts.uri.path_and_query().map_or("/", PathAndQuery::as_str),
            self.payload.start(),
        );
        *known = Some((holder, fingerprint));
        fingerprint
    }

    fn take_retry(&self) -> bool {
        let service = self.service();
        let is_taken = service.is_ok_and(|it| self.gateway.dispatcher.take_retry(&it));
        self.progress.repeats.fetch_add(u32::from(is_taken), Ordering::Relaxed);
        is_taken
    }

    fn may_retry(&self, last: Option<&Attempt>) -> bool {
        if self.time_left().is_zero()
            || self.gateway.dispatcher.held_for(self.fingerprint()).is_some()
        {
            return false;
        }
        match last {
            Some(Attempt::Failed(_)) => self.is_repeatable() && self.take_retry(),
            Some(Attempt::NoResponse(Failure::Body(_)) | Attempt::Refused(_)) => false,
            Some(Attempt::NoResponse(failure)) => {
                let may_repeat =
                    self.is_repeatable() || (failure.is_not_run() && self.payload.is_available());
                may_repeat && self.take_retry()
            }
            Some(Attempt::Response(_)) | None => false,
        }
    }

    /// Turns the outcome of the last attempt into the caller's response.
    fn conclude(&self, last: Option<Attempt>) -> Result<Response<Body>, Refusal> {
        let may_have_run = self.progress.may_have_run.load(Ordering::Relaxed);
        let refusal = match last {
            Some(Attempt::Response(response) | Attempt::Failed(response)) => return Ok(response),
            Some(Attempt::Refused(refusal)) => refusal,
            Some(Attempt::NoResponse(Failure::Body(reason))) if !may_have_run => {
                Refusal::new(Reason::BodyTooLong, reason)
            }
            Some(Attempt::NoResponse(failure)) => {
                let reason = match failure {
                    Failure::Deadline => Reason::Timeout,
                    _ => Reason::AnswerLost,
                };
                Refusal::new(reason, failure.to_string())
            }
            None => Refusal::new(Reason::NoTargetInTime, "no attempt was made"),
        };
        if may_have_run {
            // An earlier attempt may have run, so that the refusal must not claim that the request
            // has not run.
            let reason = if refusal.reason == Reason::Timeout {
                Reason::Timeout
            } else {
                Reason::AnswerLost
            };
            return Err(Refusal { reason, retry_after: None, ..refusal });
        }
        match refusal.reason {
            Reason::AnswerLost | Reason::Timeout => {
                Err(Refusal::new(Reason::NoTargetInTime, refusal.detail)
                    .retry_after(SHORT_RETRY_AFTER))
            }
            _ => Err(refusal),
        }
    }

    /// Sends the request to one target, or to further ones while none of them has run it.
    async fn attempt(&self) -> Attempt {
        let mut last = Failure::Cap;
        let mut index = 0;
        while index < MAX_TARGETS_PER_ATTEMPT {
            let (slot, place) = match self.acquire_slot().await {
                Ok(acquired) => acquired,
                Err(refusal) if index == 0 => return Attempt::Refused(refusal),
                Err(_) => return Attempt::NoResponse(last),
            };
            if let Err(refusal) = self.gateway.wait_until_complete(self.time_left()).await {
                return Attempt::Refused(refusal);
            }
            match self.tracker.is_in(&place) {
                Ok(true) => {}
                Ok(false) => continue,
                Err(refusal) => return Attempt::Refused(refusal),
            }
            if let Err(refusal) = self.admit() {
                return Attempt::Refused(refusal);
            }
            index += 1;
            if !self.payload.is_available() {
                return Attempt::NoResponse(Failure::Unsent);
            }
            let endpoint = slot.endpoint.clone();
            let _under_way = self.progress.begin(&endpoint.target.instance);
            let begun = self.gateway.clock.now();
            match self.send(slot, &place).await {
                Err(failure) => {
                    self.record_failure(&endpoint, &failure, begun);
                    let is_unsent = matches!(
                        failure,
                        Failure::Cap | Failure::Connect(_) | Failure::Unsent | Failure::Withdrawn
                    );
                    let is_shed = matches!(failure, Failure::Shed(_) | Failure::Misdirected);
                    let goes_on = is_unsent || (is_shed && self.take_retry());
                    if !goes_on {
                        return Attempt::NoResponse(failure);
                    }
                    last = failure;
                }
                Ok(end) => return end,
            }
        }
        log::debug!("gateway: request {}: no target accepted it, last: {last}", self.id);
        Attempt::NoResponse(last)
    }

    /// Waits for a slot at a target, as long as the usual latency leaves time for the response; returns
    /// where the request has waited as well.
    async fn acquire_slot(&self) -> Result<(Slot, Place), Refusal> {
        let (mut ticket, mut service) = (None, None);
        loop {
            let waiting = self.tracker.wait_for_grant(self.time_left());
            self.gateway.unless_stopped(self.demand, waiting).await??;
            let place = self.tracker.place()?;
            if service.replace(place.service.clone()).is_some_and(|it| it != place.service) {
                ticket = None;
            }
            tokio::select! {
                biased;
                slot = self.acquire_at(&place, &mut ticket) => return Ok((slot?, place)),
                moved = self.tracker.wait_until_moved(&place) => moved?,
            }
        }
    }

    async fn acquire_at(
        &self,
        place: &Place,
        ticket: &mut Option<Ticket>,
    ) -> Result<Slot, Refusal> {
        let now = self.gateway.clock.now();
        let time_left = self.time_left();
        let Place { service, rank, .. } = place;
        let route = self.tracker.route();
        let latency = self.gateway.dispatcher.latency(service, &route.name);
        let needed = latency.unwrap_or_default() + LATE_GRACE;
        let latest = now.after(time_left.saturating_sub(needed));
        let tried = self.progress.used();
        let attempts = usize::try_from(route.max_attempts).unwrap_or(usize::MAX);
        let requirements = Requirements {
            service: service.clone(),
            rank: *rank,
            can_retry: self.is_repeatable() && tried.len() + 1 < attempts,
            tried,
            arrived: self.arrived,
            latest,
        };
        let acquire = self.gateway.dispatcher.acquire(requirements, ticket);
        let acquired = self.gateway.unless_stopped(self.demand, acquire).await?;
        acquired.map_err(|rejection| {
            let detail = if self.gateway.dispatcher.is_cut() {
                "this host reaches no target".to_owned()
            } else {
                format!("{} requests wait for {service}", rejection.ahead)
            };
            Refusal::new(Reason::NoTargetInTime, detail).retry_after(rejection.retry_after)
        })
    }

    /// Counts the request towards the grant of its key's holder, once over all attempts. For another holder
    /// than before it is another request, which may be held back.
    fn admit(&self) -> Result<(), Refusal> {
        if self.is_admitted() {
            return Ok(());
        }
        if let Some(wait) = self.gateway.dispatcher.held_for(self.fingerprint()) {
            return Err(Refusal::held_back(wait));
        }
        if let Some(workspace) = self.tracker.workspace() {
            self.gateway.admit(&workspace)?;
            let counted = &self.progress.counted;
            *counted.lock().expect("no holder of the lock panics") = Some(workspace.id.clone());
        }
        Ok(())
    }

    /// Returns whether the request was counted towards the grant of its key's present holder, if it needs
    /// one.
    fn is_admitted(&self) -> bool {
        let counted = self.progress.counted.lock().expect("no holder of the lock panics");
        self.tracker.workspace().is_none_or(|workspace| counted.as_ref() == Some(&workspace.id))
    }

    /// Sends the request over a connection to a target.
    async fn send(&self, slot: Slot, place: &Place) -> Result<Attempt, Failure> {
        let endpoint = slot.endpoint.clone();
        let begun = self.gateway.clock.now();
        let lease = match self.connect(endpoint.backend.lease()).await {
            Ok(lease) => lease,
            Err(refusal) => return Ok(Attempt::Refused(refusal)),
        };
        if matches!(lease, Err(Failure::Connect(_))) {
            self.gateway.dispatcher.record_opening(&endpoint, begun, false);
        }
        let lease = lease?;
        if !self.may_send(&slot, place) {
            return Err(Failure::Withdrawn);
        }
        let mut is_fresh = lease.is_new();
        let sent = self.gateway.clock.now();
        let mut opened = sent.before(lease.age());
        let started = Instant::now();
        self.progress.may_have_run.store(true, Ordering::Relaxed);
        self.tracker.mark_sent();
        let protocol = self.gateway.dialect.protocol();
        let request = self.target_request(&endpoint).ok_or(Failure::Unsent)?;
        self.gateway.dispatcher.count_send(&endpoint);
        let mut answer =
            self.await_response(exchange(lease, request, None, protocol), &endpoint).await;
        // The target closed an idle connection, which is no sign of bad health.
        if matches!(answer, Err(Failure::Unsent)) && !is_fresh && self.payload.is_available() {
            let lease = match self.connect(endpoint.backend.lease_new()).await {
                Ok(lease) => lease.inspect_err(|_| self.clear_may_have_run())?,
                Err(refusal) => {
                    self.clear_may_have_run();
                    return Ok(Attempt::Refused(refusal));
                }
            };
            if !self.may_send(&slot, place) {
                self.clear_may_have_run();
                return Err(Failure::Withdrawn);
            }
            let request = self.target_request(&endpoint).ok_or(Failure::Unsent)?;
            is_fresh = true;
            opened = self.gateway.clock.now();
            answer = self.await_response(exchange(lease, request, None, protocol), &endpoint).await;
        }
        // A connection that breaks on a request was open: that may be the fault of the request.
        if is_fresh && !matches!(answer, Err(Failure::Body(_) | Failure::Lost(_))) {
            let is_answered = !matches!(answer, Err(Failure::Unsent));
            self.gateway.dispatcher.record_opening(&endpoint, begun, is_answered);
        }
        let answer = answer.inspect_err(|failure| {
            if failure.is_not_run() {
                self.clear_may_have_run();
            } else {
                self.progress.add_tried(&slot.choice);
                if matches!(failure, Failure::Lost(_)) {
                    let now = self.gateway.clock.now();
                    self.gateway.dispatcher.record_loss(
                        &endpoint,
                        Stage::Request(self.fingerprint()),
                        opened,
                        now,
                    );
                }
            }
        })?;
        self.progress.add_tried(&slot.choice);
        self.handle_response(answer, slot, opened, sent, started).await
    }

    /// Returns whether the request may still be sent to the target that was chosen for it. The target may
    /// have withdrawn since, the configuration may have changed, and a stop of the process puts all that was
    /// decided before it out of date.
    fn may_send(&self, slot: &Slot, place: &Place) -> bool {
        let mirror = &self.gateway.mirror;
        !mirror.was_stopped(slot.assigned)
            && mirror.is_complete()
            && self.tracker.is_in(place).is_ok_and(|is_in| is_in)
            && self.is_admitted()
            && !self.gateway.dispatcher.is_withdrawn(&slot.endpoint)
    }

    /// Opens a connection to a target in time; refuses the request if the host stops meanwhile and
    /// can't finish it any more.
    async fn connect(
        &self,
        lease: impl Future<Output = Result<Lease, Failure>>,
    ) -> Result<Result<Lease, Failure>, Refusal> {
        let lease = tokio::time::timeout_at(self.deadline, lease);
        let lease = self.gateway.unless_stopped(self.demand, lease).await?;
        Ok(lease.unwrap_or(Err(Failure::Connect("deadline".to_owned()))))
    }

    /// Clears the mark that the request may have run, unless another attempt may have run.
    fn clear_may_have_run(&self) {
        let is_first = self.progress.tried().is_empty();
        if is_first {
            self.progress.may_have_run.store(false, Ordering::Relaxed);
        }
    }

    /// Awaits a response; if it is late, reports the target as silent so that other requests avoid
    /// it.
    async fn await_response(
        &self,
        answer: impl Future<Output = Result<Answer, Failure>>,
        endpoint: &Endpoint,
    ) -> Result<Answer, Failure> {
        tokio::pin!(answer);
        let begun = self.gateway.clock.now();
        if let Ok(answer) = tokio::time::timeout(self.late_threshold(), answer.as_mut()).await {
            return answer;
        }
        let now = self.gateway.clock.now();
        self.gateway.dispatcher.record_late(begun);
        self.gateway.dispatcher.observe(endpoint, Outcome::Silent, now);
        answer.await
    }

    /// Returns the request for a target, or `None` if its body is spent.
    fn target_request(&self, endpoint: &Endpoint) -> Option<Request<Body>> {
        let body = self.payload.body()?;
        let mut parts = self.parts.clone();
        let names = self.gateway.dialect.headers();
        let time_left = self.time_left().as_millis();
        let time_left = u64::try_from(time_left).unwrap_or(u64::MAX);
        parts.headers.insert(names.deadline_ms.clone(), HeaderValue::from(time_left));
        let instance = HeaderValue::from_bytes(endpoint.target.name.as_bytes()).ok()?;
        parts.headers.insert(names.instance.clone(), instance);
        if let Some(workspace) = self.tracker.workspace() {
            let name = HeaderValue::from_bytes(workspace.name.as_bytes()).ok()?;
            parts.headers.insert(names.workspace.clone(), name);
        }
        if !self.payload.is_sized() {
            headers::mark_chunked(&mut parts.headers);
        }
        parts.version = Version::HTTP_11;
        Some(Request::from_parts(parts, body))
    }

    /// Turns a target's response into the caller's, and records the outcome for the target.
    ///
    /// Failures, and short responses to repeatable requests, are buffered; others are streamed.
    async fn handle_response(
        &self,
        answer: Answer,
        slot: Slot,
        opened: Moment,
        sent: Moment,
        started: Instant,
    ) -> Result<Attempt, Failure> {
        let dispatcher = &self.gateway.dispatcher;
        let endpoint = slot.endpoint.clone();
        let (service, route) = (&endpoint.target.service, self.tracker.route());
        let protocol = self.gateway.dialect.protocol();
        dispatcher.record_answer(&endpoint, Some(opened), Some(self.fingerprint()));
        dispatcher.apply_terms(&endpoint, &protocol.terms(answer.status(), answer.headers()), sent);
        let is_failure = is_failure(answer.status());
        let outcome = if is_failure { Outcome::Failed } else { Outcome::Ok };
        if is_failure {
            dispatcher.observe(&endpoint, outcome, sent);
        } else {
            dispatcher.record_latency(service, &route.name, started.elapsed());
        }
        dispatcher.record_response(self.fingerprint(), &endpoint);
        let (mut parts, body) = answer.into_parts();
        headers::strip_hop_by_hop(&mut parts.headers);
        parts.version = Version::HTTP_11;
        let length = hyper::body::Body::size_hint(&body).exact();
        let is_buffered = is_failure
            || (self.is_repeatable()
                && length.is_some_and(|length| length <= MAX_BUFFERED_RESPONSE as u64));
        if !is_buffered {
            dispatcher.observe(&endpoint, outcome, sent);
            let (dispatcher, clock) = (dispatcher.clone(), self.gateway.clock.clone());
            let (service, route) = (service.clone(), route.name.clone());
            let on_end = move |end| match end {
                answer::End::Whole { bytes } => {
                    dispatcher.record_end(&service, &route, started.elapsed(), bytes);
                }
                answer::End::Overdue { is_targets_fault: true } => {
                    dispatcher.observe(&endpoint, Outcome::Silent, clock.now());
                }
                answer::End::Overdue { is_targets_fault: false } => {}
            };
            let (deadline, clock) = (self.demand.deadline, self.gateway.clock.clone());
            let body = StreamedBody::new(body, slot, deadline, clock, on_end).boxed_unsync();
            return Ok(Attempt::Response(Response::from_parts(parts, body)));
        }
        let body = match Limited::new(body, MAX_BUFFERED_RESPONSE).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => {
                let now = self.gateway.clock.now();
                dispatcher.record_loss(&endpoint, Stage::Answer, opened, now);
                return Err(Failure::Lost(error.to_string()));
            }
        };
        dispatcher.observe(&endpoint, outcome, sent);
        if !is_failure {
            let (took, bytes) = (started.elapsed(), body.len() as u64);
            dispatcher.record_end(service, &route.name, took, bytes);
        }
        drop(slot);
        let response = Response::from_parts(parts, full(body));
        Ok(if is_failure { Attempt::Failed(response) } else { Attempt::Response(response) })
    }

    /// Records a failed attempt that began at `begun` as an outcome for its target, and writes an
    /// event.
    fn record_failure(&self, endpoint: &Endpoint, failure: &Failure, begun: Moment) {
        let now = self.gateway.clock.now();
        match failure {
            Failure::Connect(_) | Failure::Unsent => {
                self.gateway.dispatcher.record_unreached(endpoint, begun);
            }
            Failure::Lost(_) => self.gateway.dispatcher.doubt_links(),
            Failure::Shed(_) | Failure::Misdirected | Failure::Malformed(_) => {
                self.gateway.dispatcher.record_answer(endpoint, None, None);
            }
            _ => {}
        }
        let outcome = match failure {
            Failure::Cap | Failure::Body(_) | Failure::Withdrawn => None,
            Failure::Connect(_) | Failure::Unsent | Failure::Misdirected | Failure::Deadline => {
                endpoint.backend.close_idle();
                Some(Outcome::Silent)
            }
            Failure::Shed(terms) => {
                self.gateway.dispatcher.apply_terms(endpoint, terms, begun);
                Some(Outcome::Shed)
            }
            // Whether the target failed is judged once it is known that the link did not.
            Failure::Lost(_) => {
                endpoint.backend.close_idle();
                Some(Outcome::Silent)
            }
            Failure::Malformed(_)
            | Failure::Mismatched
            | Failure::CloseDelimited
            | Failure::Unsealed => {
                endpoint.backend.close_idle();
                Some(Outcome::Failed)
            }
        };
        if let Some(outcome) = outcome {
            self.gateway.dispatcher.observe(endpoint, outcome, now);
        }
        self.gateway.events.emit_request("attempt", || {
            json!({
                "id": self.id, "target": endpoint.target.name.as_str(),
                "service": endpoint.target.service.as_str(), "failure": failure.to_string(),
                "not_run": failure.is_not_run(),
            })
        });
    }
}

/// Returns the outcome of two failed attempts that tells the caller more.
fn preferred(first: Option<Attempt>, second: Attempt) -> Option<Attempt> {
    match (first, second) {
        // A target's own response says more than the lack of one.
        (Some(Attempt::Failed(response)), Attempt::Refused(_) | Attempt::NoResponse(_)) => {
            Some(Attempt::Failed(response))
        }
        (Some(Attempt::NoResponse(failure)), Attempt::Refused(_)) => {
            Some(Attempt::NoResponse(failure))
        }
        (_, second) => Some(second),
    }
}
