//! Buffers request bodies for retries.

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

/// Longest body, in bytes, that is buffered in memory so that it can be sent again.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// The body of a request: a buffered prefix, and a stream of the rest if it is long.
#[derive(Debug)]
pub(crate) struct Payload {
    /// The whole body, or the prefix of a long one.
    prefix: Bytes,
    /// Whether the caller announced the length; targets get the body in the same form.
    sized: bool,
    /// What follows the prefix; consumed by the first attempt.
    rest: Rest,
}

#[derive(Debug)]
enum Rest {
    /// The prefix is the whole body.
    None,
    /// The rest of the body, or `None` once an attempt has taken it.
    Stream(Mutex<Option<Body>>),
}

impl Payload {
    /// Buffers the prefix of a body, or all of it if it is short.
    pub(crate) async fn read(mut body: Body) -> Result<Self, BodyError> {
        let sized = body.size_hint().exact().is_some();
        if body.is_end_stream() {
            return Ok(Self { prefix: Bytes::new(), sized, rest: Rest::None });
        }
        let mut prefix = BytesMut::new();
        while prefix.len() <= MAX_BUFFERED_BYTES {
            let Some(frame) = body.frame().await else {
                return Ok(Self { prefix: prefix.freeze(), sized, rest: Rest::None });
            };
            if let Ok(data) = frame?.into_data() {
                prefix.extend_from_slice(&data);
            }
        }
        Ok(Self { prefix: prefix.freeze(), sized, rest: Rest::Stream(Mutex::new(Some(body))) })
    }

    /// Returns whether the length of the body is known, so that it is sent without chunks.
    pub(crate) fn is_sized(&self) -> bool {
        self.sized
    }

    /// Returns the start of the body, by which it is fingerprinted. It is the same however the bytes
    /// arrived, whereas the length of the buffered prefix depends on that.
    pub(crate) fn start(&self) -> &[u8] {
        &self.prefix[..self.prefix.len().min(MAX_BUFFERED_BYTES)]
    }

    /// Returns whether another attempt can send the body.
    pub(crate) fn is_available(&self) -> bool {
        match &self.rest {
            Rest::None => true,
            Rest::Stream(rest) => rest.lock().expect("no holder of the lock panics").is_some(),
        }
    }

    /// Returns whether the body can be sent any number of times.
    pub(crate) fn is_replayable(&self) -> bool {
        matches!(self.rest, Rest::None)
    }

    /// Returns the body for one attempt, or `None` if an earlier one consumed it.
    pub(crate) fn body(&self) -> Option<Body> {
        match &self.rest {
            Rest::None if self.sized => Some(sized_body(self.prefix.clone())),
            Rest::None => Some(UnsizedBody(Some(self.prefix.clone())).boxed_unsync()),
            Rest::Stream(rest) => {
                let rest = rest.lock().expect("no holder of the lock panics").take()?;
                Some(chained_body(self.prefix.clone(), rest))
            }
        }
    }
}

/// Returns a body of known length.
fn sized_body(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// A prefix followed by the rest of a body; its length is known if that of the rest is.
struct Chain {
    prefix: Option<Bytes>,
    rest: Body,
}

/// Returns a body of a prefix and the rest.
fn chained_body(prefix: Bytes, rest: Body) -> Body {
    Chain { prefix: Some(prefix), rest }.boxed_unsync()
}

impl hyper::body::Body for Chain {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.prefix.take() {
            Some(prefix) => Poll::Ready(Some(Ok(Frame::data(prefix)))),
            None => Pin::new(&mut self.rest).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let prefix = self.prefix.as_ref().map_or(0, |prefix| prefix.len() as u64);
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + prefix);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + prefix);
        }
        hint
    }
}

/// A body without a known length.
struct UnsizedBody(Option<Bytes>);

impl hyper::body::Body for UnsizedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Poll::Ready(self.0.take().map(|bytes| Ok(Frame::data(bytes))))
    }
}

#[cfg(test)]
mod tests;
