//! Requests with run keys, which run at most once.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use chicoryloom_policy::id;
use chicoryloom_policy::run;
use chicoryloom_policy::run::Fingerprint;
use chicoryloom_policy::run::Key;
use chicoryloom_policy::run::Verdict;
use chicoryloom_wire::caller::Code;
use chicoryloom_wire::caller::Refusal;
use chicoryloom_wire::caller::Run;
use chicoryloom_wire::generated::caller as raw;
use chicoryloom_wire::header;
use futures::StreamExt;
use futures::stream;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::BodyStream;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame;

use super::Admission;
use super::Proxy;
use super::SHORT_RETRY_AFTER;
use super::answer;
use super::key;
use super::request::RoutedRequest;
use crate::control::View;
use crate::run as runs;
use crate::run::Outcome;
use crate::target::Body;
use crate::target::BodyError;

/// Longest body of a request with a run key, in bytes.
const MAX_REQUEST_BODY: usize = 1024 * 1024;
/// Longest body of an answer that is kept for repeats, in bytes.
const MAX_KEPT_ANSWER_BODY: usize = 64 * 1024;

/// Returns the request's run key, unless its route is repeatable and needs none.
pub(super) fn run_key<B>(
    request: &Request<B>,
    routed: &RoutedRequest,
) -> Result<Option<Key>, Refusal> {
    let Some(value) = request.headers().get(header::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    if routed.route.repeatable {
        return Ok(None);
    }
    let key = value.to_str().ok().and_then(|text| text.parse().ok());
    let detail = "the key is none of a series that this fleet issued";
    key.map(Some).ok_or_else(|| Refusal::not_run(Code::RunKey, detail))
}

/// Marks a refusal as unknown if the request has a run key that was not looked up yet.
///
/// The request may have run earlier under the same key.
pub(super) fn early_refusal<B>(request: &Request<B>, refusal: Refusal) -> Refusal {
    if request.headers().contains_key(header::IDEMPOTENCY_KEY) {
        return unknown(refusal);
    }
    refusal
}

impl Proxy {
    /// Issues a series of run keys, which uses up a rate-limit token as a request does.
    pub(super) async fn issue_series(
        &self,
        request: Request<Body>,
        service: &id::Service,
    ) -> Result<Response<Body>, Refusal> {
        if request.method() != Method::POST {
            return Err(Refusal::not_run(Code::Route, "a series is issued on POST"));
        }
        self.check_fresh()?;
        let view = self.published.view();
        let owner = key::from_headers(request.headers())?.map(id::Digest::of);
        let workspace = owner.and_then(|owner| view.workspace(&owner).cloned());
        let (Some(owner), Some(workspace)) = (owner, workspace) else {
            let detail = "the key is missing, unknown or withdrawn";
            return Err(Refusal::not_run(Code::Key, detail));
        };
        let document = view.documents.get(service);
        let document =
            document.ok_or_else(|| Refusal::not_run(Code::Route, "no service of this name"))?;
        let is_first = !request.headers().contains_key(header::HOP);
        let holder = if view.homes(service).contains(&self.name) {
            match self.admit_workspace(&view, document, workspace.clone(), is_first)? {
                Admission::Local(_) => None,
                Admission::Remote(_, holder) => Some(holder),
            }
        } else {
            view.homes(service).first().filter(|_| is_first).cloned()
        };
        if let Some(holder) = holder {
            let timeout = self.settings.idle_timeout;
            return self.forward_to(request, view.hosts.get(&holder), timeout).await;
        }
        let now = self.clock.now();
        let series = self.runs.issue(&workspace, owner, service, now);
        Ok(answer::json(&raw::Series {
            series: series.to_string(),
            first: run::FIRST_NUMBER,
            expires_in_ms: u64::try_from(run::SERIES_IDLE_TIMEOUT.as_millis()).unwrap_or(u64::MAX),
        }))
    }

    /// Runs a request under its run key, or repeats the outcome of its earlier run.
    pub(super) async fn serve_keyed(
        self: &Arc<Self>,
        request: Request<Body>,
        view: &View,
        routed: RoutedRequest,
        key: Key,
    ) -> Result<Response<Body>, Refusal> {
        if key.series.issuer != *self.runs.issuer() {
            return self.relay(request, view, &routed, &key).await;
        }
        // A request that is refused before its series is looked up may have run earlier.
        let workspace = routed.workspace(view).map_err(unknown)?;
        let workspace = workspace.ok_or_else(|| {
            Refusal::unknown(Code::Key, "a run key is used with the key it was issued to")
        })?;
        let (parts, body) = request.into_parts();
        let body = read_body(body).await?;
        let fingerprint = Fingerprint::of(parts.method.as_str(), &routed.path, &body);
        let service = routed.document.service.clone();
        let run = runs::Request { workspace, service, key, fingerprint };
        let begun = self.runs.begin(&run, self.clock.now());
        let verdict = tokio::time::timeout(routed.route.deadline, begun).await;
        match verdict {
            Ok(Verdict::Run) => {
                let request = Request::from_parts(parts, full(body));
                let proxy = self.clone();
                // A separate task, so that the run and its outcome survive if the caller leaves.
                let ran = tokio::spawn(async move { proxy.run_keyed(request, routed, run).await });
                let lost = |_| Refusal::unknown(Code::Answer, "the run ended without an outcome");
                ran.await.map_err(lost)?
            }
            Ok(Verdict::Repeat(outcome)) => repeat_outcome(&outcome),
            Ok(verdict) => Err(refusal(&verdict)),
            Err(_) => {
                let detail = "the first request with this run key is still in flight";
                Err(Refusal::unknown(Code::Deadline, detail).retry_after(SHORT_RETRY_AFTER))
            }
        }
    }

    /// Forwards a request to the host that issued its run key.
    async fn relay(
        &self,
        request: Request<Body>,
        view: &View,
        routed: &RoutedRequest,
        key: &Key,
    ) -> Result<Response<Body>, Refusal> {
        let issuer = &key.series.issuer;
        let is_gone = issuer.host == self.name || request.headers().contains_key(header::HOP);
        let Some(host) = view.hosts.get(&issuer.host).filter(|_| !is_gone) else {
            let detail = "the host that issued the run key is gone, and no other runs it";
            return Err(Refusal::unknown(Code::IssuerGone, detail));
        };
        let sent = self.forward_to(request, Some(host), routed.route.deadline).await;
        sent.map_err(|refusal| match refusal.run {
            Run::NotRun => Refusal { code: Code::IssuerGone, ..unknown(refusal) },
            Run::Unknown => refusal,
        })
    }

    /// Runs the first request with a run key and keeps its outcome.
    async fn run_keyed(
        &self,
        request: Request<Body>,
        routed: RoutedRequest,
        run: runs::Request,
    ) -> Result<Response<Body>, Refusal> {
        let answered = self.run_admitted(request, &routed, &run).await;
        let (outcome, response) = match answered {
            Ok(response) => keep_outcome(response).await,
            Err(refusal) => (Outcome::Refusal(refusal.clone()), Err(refusal)),
        };
        self.runs.end(&run, outcome);
        response
    }

    async fn run_admitted(
        &self,
        request: Request<Body>,
        routed: &RoutedRequest,
        run: &runs::Request,
    ) -> Result<Response<Body>, Refusal> {
        let started = Instant::now();
        self.check_fresh()?;
        let view = self.published.view();
        // Only the issuer runs requests with this key, so the request can't be handed over.
        self.admit_workspace(&view, &routed.document, run.workspace.clone(), false)?;
        self.run(request, routed, Some(run.workspace.clone()), started).await
    }
}

/// Marks a refusal as unknown with regard to whether the request ran.
fn unknown(refusal: Refusal) -> Refusal {
    Refusal { run: Run::Unknown, ..refusal }
}

fn refusal(verdict: &Verdict<Arc<Outcome>>) -> Refusal {
    match verdict {
        Verdict::Reused => {
            let detail = "the run key was used for another request; this one never runs";
            Refusal::not_run(Code::RunKey, detail)
        }
        Verdict::Forgotten => {
            let detail = "a request with this run key has ended; its outcome is no longer kept";
            Refusal::unknown(Code::RunKey, detail)
        }
        Verdict::Busy => {
            let detail = "too many requests of the series are in flight; repeat this one later";
            Refusal::unknown(Code::NoCapacity, detail).retry_after(SHORT_RETRY_AFTER)
        }
        Verdict::Unknown | Verdict::Run | Verdict::Wait | Verdict::Repeat(_) => {
            let detail = "the series has ended or is not this workspace's; no request of it runs";
            Refusal::unknown(Code::RunKey, detail)
        }
    }
}

async fn read_body(mut body: Body) -> Result<Bytes, Refusal> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Refusal::unknown(Code::Bound, error.to_string()))?;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > MAX_REQUEST_BODY {
            let detail = "the body is too long for a request with a run key";
            return Err(Refusal::unknown(Code::Bound, detail));
        }
    }
    Ok(bytes.freeze())
}

/// Reads an answer up to the size limit; returns the outcome to keep and the caller's response.
async fn keep_outcome(response: Response<Body>) -> (Outcome, Result<Response<Body>, Refusal>) {
    let (parts, mut body) = response.into_parts();
    let mut bytes = BytesMut::new();
    while bytes.len() <= MAX_KEPT_ANSWER_BODY {
        let frame = match body.frame().await {
            None => {
                let body = bytes.freeze();
                let (status, headers) = (parts.status, parts.headers.clone());
                let outcome = Outcome::Answer { status, headers, body: body.clone() };
                return (outcome, Ok(Response::from_parts(parts, full(body))));
            }
            Some(Err(error)) => {
                let refusal = Refusal::unknown(Code::Answer, error.to_string());
                return (Outcome::Refusal(refusal.clone()), Err(refusal));
            }
            Some(Ok(frame)) => frame,
        };
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    let outcome = Outcome::TooLong { status: parts.status };
    let head = stream::once(async move { Ok::<_, BodyError>(Frame::data(bytes.freeze())) });
    let whole = BodyExt::boxed_unsync(StreamBody::new(head.chain(BodyStream::new(body))));
    (outcome, Ok(Response::from_parts(parts, whole)))
}

/// Returns the response to a repeat of a request whose run has ended.
fn repeat_outcome(outcome: &Outcome) -> Result<Response<Body>, Refusal> {
    let (status, headers, body) = match outcome {
        Outcome::Refusal(refusal) => return Err(refusal.clone()),
        Outcome::TooLong { status } => {
            let detail = format!("the request ran with status {status}; its answer was too long");
            return Err(Refusal::unknown(Code::RunKey, detail));
        }
        Outcome::Answer { status, headers, body } => (status, headers, body),
    };
    let mut response = Response::new(full(body.clone()));
    *response.status_mut() = *status;
    *response.headers_mut() = headers.clone();
    response.headers_mut().insert(header::REPEATED, HeaderValue::from_static("1"));
    Ok(response)
}

fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
