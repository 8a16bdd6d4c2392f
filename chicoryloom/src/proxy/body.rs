//! Limits on the length and the pauses of request bodies.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::target::Body;
use crate::target::BodyError;

/// A request body with a limit on its length and its pauses; trailers are dropped.
struct Bounded {
    body: Incoming,
    /// Bytes that may still follow.
    left: u64,
    /// Longest pause between two frames.
    idle: Duration,
    /// Set while the next frame is awaited.
    timer: Option<Pin<Box<Sleep>>>,
}

/// Returns a body that fails once it is longer than `bound` bytes or pauses for `idle`.
pub(crate) fn bounded(body: Incoming, bound: u64, idle: Duration) -> Body {
    Bounded { body, left: bound, idle, timer: None }.boxed_unsync()
}

impl Bounded {
    fn poll_idle(&mut self, context: &mut Context<'_>) -> Poll<BodyError> {
        let end = Instant::now() + self.idle;
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(end)));
        timer.as_mut().poll(context).map(|()| BodyError::Idle)
    }
}

impl hyper::body::Body for Bounded {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => frame,
            Poll::Ready(Some(Err(error))) => {
                return Poll::Ready(Some(Err(BodyError::Broken(error))));
            }
            Poll::Ready(None) => return Poll::Ready(None),
            Poll::Pending => return self.poll_idle(context).map(|error| Some(Err(error))),
        };
        self.timer = None;
        let Ok(data) = frame.into_data() else {
            return Poll::Ready(None);
        };
        match self.left.checked_sub(data.len() as u64) {
            Some(left) => self.left = left,
            None => return Poll::Ready(Some(Err(BodyError::TooLong))),
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
