//! A single request to a target and its answer.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::LazyLock;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use chicoryloom_policy::throttle::InvalidLimit;
use chicoryloom_policy::throttle::Limit;
use chicoryloom_policy::withdrawal::InvalidPause;
use chicoryloom_policy::withdrawal::Pause;
use chicoryloom_wire::header;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::HOST;
use http::header::RETRY_AFTER;
use http::header::TRANSFER_ENCODING;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use tokio::time::Sleep;

use super::pool::Backend;
use super::pool::Lease;

/// Headers by which targets report the outcome of a request, and what an answer must carry.
#[derive(Clone, Debug)]
pub struct Protocol {
    /// Header with the identifier of the attempt, which a target echoes.
    pub request_id: HeaderName,
    /// Whether an answer without the echo is accepted as the answer to the request.
    pub allows_no_echo: bool,
    /// Set on an answer to a request that was not run.
    pub not_run: HeaderName,
    /// Set by a target that is draining, in all its answers; the value 0 means that it is not.
    pub draining: Option<HeaderName>,
    /// Set by a target in need, in all its answers, to the requests per second that it takes from all
    /// hosts together; `None` if targets don't name such limits.
    pub limit: Option<HeaderName>,
    /// Set by a target on each whole answer and required on successful ones; `None` if targets
    /// don't set it.
    pub seal: Option<HeaderName>,
    /// Set by a target on answers to checks of its health to the milliseconds for which it remains
    /// cold; `None` if targets don't set it.
    pub warmup_ms: Option<HeaderName>,
    /// Whether an answer may end with the close of the connection.
    pub allows_close_delimited: bool,
}

impl Protocol {
    /// Returns the protocol of chicoryloom's own targets.
    pub(crate) fn own() -> &'static Self {
        static OWN: LazyLock<Protocol> = LazyLock::new(|| Protocol {
            request_id: HeaderName::from_static(header::REQUEST_ID),
            allows_no_echo: true,
            not_run: HeaderName::from_static(header::NOT_RUN),
            draining: Some(HeaderName::from_static(header::DRAINING)),
            limit: None,
            seal: None,
            warmup_ms: None,
            allows_close_delimited: false,
        });
        &OWN
    }
}

/// What a target says in an answer about further requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Terms {
    /// Whether the target is leaving.
    pub(crate) is_leaving: bool,
    /// Time for which it wants no requests, if it turned this one away.
    pub(crate) pause: Option<Result<Pause, InvalidPause>>,
    /// Limit on the requests of all hosts together.
    pub(crate) limit: Option<Result<Limit, InvalidLimit>>,
}

impl Protocol {
    /// Returns what the head of an answer says about further requests.
    pub(crate) fn terms(&self, status: StatusCode, headers: &HeaderMap) -> Terms {
        let draining = self.draining.as_ref().and_then(|name| headers.get(name));
        let is_leaving = draining.is_some_and(|value| value.as_bytes().trim_ascii() != b"0");
        let pause = headers.get(RETRY_AFTER).filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
        let parse_pause =
            |value: &HeaderValue| value.to_str().map_err(|_| InvalidPause::NotSeconds)?.parse();
        let limit = self.limit.as_ref().and_then(|name| headers.get(name));
        let parse_limit =
            |value: &HeaderValue| value.to_str().map_err(|_| InvalidLimit::NotANumber)?.parse();
        Terms { is_leaving, pause: pause.map(parse_pause), limit: limit.map(parse_limit) }
    }
}

/// Body of a request to a target, or of an answer to a caller.
pub(crate) type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Why a body was cut off before its end.
#[derive(Debug)]
pub(crate) enum BodyError {
    /// The sender's connection broke, or the body was shorter than announced.
    Broken(hyper::Error),
    /// The sender paused for too long.
    Idle,
    /// The body was not complete at its deadline.
    Deadline,
    /// The body is longer than allowed.
    TooLong,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(error) => write!(f, "body: {error}"),
            Self::Idle => f.write_str("body: paused for too long"),
            Self::Deadline => f.write_str("body: incomplete at the deadline"),
            Self::TooLong => f.write_str("body: longer than the bound"),
        }
    }
}

impl std::error::Error for BodyError {}

/// Why an attempt failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The cap on connections to the target is reached; nothing was sent.
    Cap,
    /// No connection could be opened; nothing was sent.
    Connect(String),
    /// The connection was closed before a byte of the request was sent.
    Unsent,
    /// The connection broke after the request may have been sent.
    Lost(String),
    /// The caller's body was cut off or exceeded a limit after part of it may have been sent.
    Body(String),
    /// The target sent bytes that are no answer.
    Malformed(String),
    /// The answer belongs to another request.
    Mismatched,
    /// The answer ends only with the close of the connection, so a truncated body could not be
    /// told from a whole one.
    CloseDelimited,
    /// No answer arrived before the deadline.
    Deadline,
    /// The target reports that it did not run the request.
    Shed(Terms),
    /// The target asked for no more requests before this one was sent.
    Withdrawn,
    /// The address now belongs to another target, which did not run the request.
    Misdirected,
    /// The answer is successful but lacks the header that a target sets on whole answers.
    Unsealed,
}

impl Failure {
    /// Returns whether it is certain that the target didn't run the request.
    pub(crate) fn is_not_run(&self) -> bool {
        !matches!(
            self,
            Self::Lost(_)
                | Self::Body(_)
                | Self::Malformed(_)
                | Self::Mismatched
                | Self::CloseDelimited
                | Self::Unsealed
                | Self::Deadline
        )
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Cap => f.write_str("connection cap reached"),
            Self::Connect(reason) => write!(f, "connect: {reason}"),
            Self::Unsent => f.write_str("closed before the request was sent"),
            Self::Lost(reason) => write!(f, "answer lost: {reason}"),
            Self::Body(reason) => f.write_str(reason),
            Self::Malformed(reason) => write!(f, "no answer: {reason}"),
            Self::Mismatched => f.write_str("answer belongs to another request"),
            Self::CloseDelimited => f.write_str("answer without a length or chunks"),
            Self::Deadline => f.write_str("the target did not answer before the deadline"),
            Self::Shed(Terms { is_leaving: true, .. }) => f.write_str("shed by a draining target"),
            Self::Shed(_) => f.write_str("shed by the target"),
            Self::Withdrawn => f.write_str("the target asked for no more requests"),
            Self::Misdirected => f.write_str("another target has the address"),
            Self::Unsealed => f.write_str("answer without a target's seal"),
        }
    }
}

/// An answer whose body returns its connection to the pool at the end.
pub(crate) type Answer = Response<AnswerBody>;

/// Sends a request over a leased connection and waits for the head of the answer. Its body may pause
/// for `idle`, if that is set.
pub(crate) async fn exchange(
    mut lease: Lease,
    request: Request<Body>,
    idle: Option<Duration>,
    protocol: &Protocol,
) -> Result<Answer, Failure> {
    let id = request.headers().get(&protocol.request_id).cloned();
    let is_first = lease.is_new();
    let Some(sender) = lease.sender() else {
        return Err(Failure::Unsent);
    };
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            // hyper returns the request only if it wrote no byte of it.
            return Err(match error.take_message() {
                Some(_) => Failure::Unsent,
                None => classify_error(&error.into_error()),
            });
        }
    };
    check_response(&response, id.as_ref(), is_first, protocol)?;
    Ok(response.map(|body| AnswerBody::new(body, lease, idle)))
}

impl Backend {
    /// Asks the target on a new connection whether it is well, and waits for the head of any answer.
    /// Returns how long the target says that it remains cold, and the time since the connection was
    /// opened.
    pub(crate) async fn check(
        self: &Arc<Self>,
        path: &str,
        warmup: Option<&HeaderName>,
    ) -> Result<(Duration, Duration), Failure> {
        let mut lease = self.lease_new().await?;
        let answer = self.ask(&mut lease, path).await?;
        let headers = answer.as_ref().map(Response::headers);
        let cold = warmup.and_then(|name| headers?.get(name));
        let millis = cold.and_then(|value| value.to_str().ok()?.trim().parse::<f64>().ok());
        let cold = millis.and_then(|millis| Duration::try_from_secs_f64(millis / 1000.0).ok());
        Ok((cold.unwrap_or_default(), lease.age()))
    }

    /// Asks the target on an idle connection, if there is one, and closes it; returns the time since it
    /// was opened.
    pub(crate) async fn check_idle(
        self: &Arc<Self>,
        path: &str,
    ) -> Option<Result<Duration, Failure>> {
        let mut lease = self.lease_idle()?;
        let answer = self.ask(&mut lease, path).await;
        Some(answer.map(|_| lease.age()))
    }

    /// Returns the head of the answer, or `None` for bytes that are none: they too come from the target.
    async fn ask(
        self: &Arc<Self>,
        lease: &mut Lease,
        path: &str,
    ) -> Result<Option<Response<Incoming>>, Failure> {
        let request = Request::get(path).header(HOST, self.target().to_string());
        let request = request.body(Empty::new().map_err(|never| match never {}).boxed_unsync());
        let request = request.map_err(|error| Failure::Connect(error.to_string()))?;
        let Some(sender) = lease.sender() else { return Err(Failure::Unsent) };
        match sender.send_request(request).await {
            Ok(answer) => Ok(Some(answer)),
            Err(error) if error.is_parse() => Ok(None),
            Err(error) => Err(Failure::Lost(error.to_string())),
        }
    }
}

/// Distinguishes a failed body of the caller and bytes that are no answer from a broken connection to the target.
fn classify_error(error: &hyper::Error) -> Failure {
    let source = std::error::Error::source(error);
    match source.and_then(|source| source.downcast_ref::<BodyError>()) {
        Some(body) => Failure::Body(body.to_string()),
        None if error.is_parse() => Failure::Malformed(error.to_string()),
        None => Failure::Lost(error.to_string()),
    }
}

/// Returns whether a status reports a failure of the target. One of no class that HTTP has counts as 5xx.
pub(crate) fn is_failure(status: StatusCode) -> bool {
    matches!(status.as_u16(), 500 | 502 | 503 | 504 | 600..)
}

fn check_response(
    response: &Response<Incoming>,
    id: Option<&HeaderValue>,
    is_first: bool,
    protocol: &Protocol,
) -> Result<(), Failure> {
    if response.status() == StatusCode::SWITCHING_PROTOCOLS {
        return Err(Failure::Malformed("the target changed the protocol unasked".to_owned()));
    }
    let headers = response.headers();
    let echoed = headers.get(&protocol.request_id);
    let is_own = echoed == id || (echoed.is_none() && protocol.allows_no_echo);
    // A target that refuses a request before it reads the head can't echo the identifier. On a connection
    // that has had other requests, such a refusal may be one of theirs.
    let is_refusal_own = is_own || (echoed.is_none() && is_first);
    if response.status() == StatusCode::MISDIRECTED_REQUEST && is_refusal_own {
        return Err(Failure::Misdirected);
    }
    if headers.contains_key(&protocol.not_run) && is_refusal_own {
        return Err(Failure::Shed(protocol.terms(response.status(), headers)));
    }
    if !is_own {
        return Err(Failure::Mismatched);
    }
    if let Some(seal) = &protocol.seal
        && response.status().is_success()
        && !headers.contains_key(seal)
    {
        return Err(Failure::Unsealed);
    }
    if !protocol.allows_close_delimited && is_close_delimited(response) {
        return Err(Failure::CloseDelimited);
    }
    Ok(())
}

/// Returns whether the body ends only with the close of the connection.
fn is_close_delimited(response: &Response<Incoming>) -> bool {
    let has_length = hyper::body::Body::size_hint(response.body()).exact().is_some();
    let has_chunks = response.headers().contains_key(TRANSFER_ENCODING);
    !has_length && !has_chunks && !hyper::body::Body::is_end_stream(response.body())
}

/// Called once if the body of an answer is cut off.
type Callback = Box<dyn FnOnce() + Send>;

/// Body of a target's answer.
pub(crate) struct AnswerBody {
    body: Incoming,
    on_abort: Option<Callback>,
    /// Released once the whole body has arrived; otherwise dropped, which closes the connection.
    lease: Option<Lease>,
    /// Longest pause of the target, if it is bounded here.
    idle: Option<Duration>,
    /// Ends the pause; set while the next frame is awaited, so that a slow caller's pauses don't count.
    timer: Option<Pin<Box<Sleep>>>,
}

impl AnswerBody {
    fn new(body: Incoming, lease: Lease, idle: Option<Duration>) -> Self {
        let mut answer = Self { body, on_abort: None, lease: Some(lease), idle, timer: None };
        answer.finish_if_ended();
        answer
    }

    /// Sets the function that is called if the body is cut off.
    pub(crate) fn on_abort(&mut self, on_abort: impl FnOnce() + Send + 'static) {
        self.on_abort = Some(Box::new(on_abort));
    }

    fn abort(&mut self) {
        self.lease = None;
        if let Some(on_abort) = self.on_abort.take() {
            on_abort();
        }
    }

    fn finish_if_ended(&mut self) {
        if hyper::body::Body::is_end_stream(&self.body)
            && let Some(lease) = self.lease.take()
        {
            lease.release();
        }
    }
}

impl hyper::body::Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        let frame = Pin::new(&mut this.body).poll_frame(context);
        if frame.is_ready() {
            this.timer = None;
        }
        match frame {
            Poll::Ready(Some(Ok(frame))) => {
                this.finish_if_ended();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                this.abort();
                Poll::Ready(Some(Err(BodyError::Broken(error))))
            }
            Poll::Ready(None) => {
                if let Some(lease) = this.lease.take() {
                    lease.release();
                }
                Poll::Ready(None)
            }
            Poll::Pending => {
                let Some(idle) = this.idle else { return Poll::Pending };
                let timer = this.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(idle)));
                if timer.as_mut().poll(context).is_pending() {
                    return Poll::Pending;
                }
                this.abort();
                Poll::Ready(Some(Err(BodyError::Idle)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        hyper::body::Body::is_end_stream(&self.body)
    }

    fn size_hint(&self) -> SizeHint {
        hyper::body::Body::size_hint(&self.body)
    }
}
