//! Bodies of requests that may have to be sent again.

use std::pin::Pin;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::target::Body;
use crate::target::BodyError;

/// Longest body that is held in memory so that it can be sent again.
const MAX_HELD: usize = 64 * 1024;

/// The body of a request: its beginning, and the rest if it is long.
#[derive(Debug)]
pub(crate) struct Payload {
    /// The whole body, or its beginning.
    head: Bytes,
    /// Whether the caller announced the length; a target sees the same form.
    sized: bool,
    /// What follows the beginning; taken by the first attempt.
    rest: Rest,
}

#[derive(Debug)]
enum Rest {
    /// The beginning is all.
    None,
    /// Not sent yet, or sent already.
    Stream(Mutex<Option<Body>>),
}

impl Payload {
    /// Reads a body's beginning.
    pub(crate) async fn read(mut body: Body) -> Result<Self, BodyError> {
        let sized = body.size_hint().exact().is_some();
        if body.is_end_stream() {
            return Ok(Self { head: Bytes::new(), sized, rest: Rest::None });
        }
        let mut head = BytesMut::new();
        while head.len() <= MAX_HELD {
            let Some(frame) = body.frame().await else {
                return Ok(Self { head: head.freeze(), sized, rest: Rest::None });
            };
            if let Ok(data) = frame?.into_data() {
                head.extend_from_slice(&data);
            }
        }
        Ok(Self { head: head.freeze(), sized, rest: Rest::Stream(Mutex::new(Some(body))) })
    }

    /// Returns the bytes that tell this body from others.
    pub(crate) fn head(&self) -> &Bytes {
        &self.head
    }

    /// Tells whether another attempt could send the body.
    pub(crate) fn is_left(&self) -> bool {
        match &self.rest {
            Rest::None => true,
            Rest::Stream(rest) => rest.lock().expect("no holder of the lock panics").is_some(),
        }
    }

    /// Tells whether the body can be sent as often as needed.
    pub(crate) fn is_whole(&self) -> bool {
        matches!(self.rest, Rest::None)
    }

    /// Returns the body for one attempt, or `None` if it is spent.
    pub(crate) fn body(&self) -> Option<Body> {
        match &self.rest {
            Rest::None if self.sized => Some(whole(self.head.clone())),
            Rest::None => Some(Unsized(Some(self.head.clone())).boxed_unsync()),
            Rest::Stream(rest) => {
                let rest = rest.lock().expect("no holder of the lock panics").take()?;
                Some(chain(self.head.clone(), rest))
            }
        }
    }
}

/// Returns a body of known length.
fn whole(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// A body of a beginning and the rest; its length is known if that of the rest is.
struct Chain {
    head: Option<Bytes>,
    rest: Body,
}

/// Returns a body of a beginning and the rest.
fn chain(head: Bytes, rest: Body) -> Body {
    Chain { head: Some(head), rest }.boxed_unsync()
}

impl hyper::body::Body for Chain {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.head.take() {
            Some(head) => Poll::Ready(Some(Ok(Frame::data(head)))),
            None => Pin::new(&mut self.rest).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.head.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let head = self.head.as_ref().map_or(0, |head| head.len() as u64);
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + head);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + head);
        }
        hint
    }
}

/// A body without a known length.
struct Unsized(Option<Bytes>);

impl hyper::body::Body for Unsized {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Poll::Ready(self.0.take().map(|bytes| Ok(Frame::data(bytes))))
    }
}
