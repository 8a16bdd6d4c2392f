//! Response bodies of targets that are streamed to callers.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use chicoryloom_policy::Moment;
use chicoryloom_policy::tail::Tail;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::time::Instant;
use tokio::time::Sleep;

use super::dispatcher::Slot;
use crate::clock::Clock;
use crate::target::AnswerBody;
use crate::target::BodyError;

/// How a body ended, other than by an error of its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum End {
    /// All of it was passed on.
    Whole { bytes: u64 },
    /// It was incomplete after its deadline, and was cut off.
    Overdue {
        /// Whether the target, and not the caller, held it up.
        is_targets_fault: bool,
    },
}

/// Called once with the end of the body.
type Callback = Box<dyn FnOnce(End) + Send>;

/// Body of a target's response; frees the request's slot at the target when it ends.
pub(super) struct StreamedBody {
    body: AnswerBody,
    slot: Option<Slot>,
    clock: Arc<dyn Clock>,
    tail: Tail,
    /// Ends the wait for the target; set while it is awaited.
    timer: Option<Pin<Box<Sleep>>>,
    on_end: Option<Callback>,
    /// Bytes passed on.
    bytes: u64,
}

impl StreamedBody {
    pub(super) fn new(
        body: AnswerBody,
        slot: Slot,
        deadline: Moment,
        clock: Arc<dyn Clock>,
        on_end: impl FnOnce(End) + Send + 'static,
    ) -> Self {
        let has_length = hyper::body::Body::size_hint(&body).exact().is_some();
        Self {
            body,
            slot: Some(slot),
            clock,
            tail: Tail::new(deadline, has_length),
            timer: None,
            on_end: Some(Box::new(on_end)),
            bytes: 0,
        }
    }

    /// Awaits the target; ready once it may be awaited no longer.
    fn poll_wait(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let timer = self.timer.get_or_insert_with(|| {
            let now = self.clock.now();
            let left = self.tail.wait(now).since(now);
            Box::pin(tokio::time::sleep_until(Instant::now() + left))
        });
        timer.as_mut().poll(context)
    }

    fn end_wait(&mut self) {
        if self.timer.take().is_some() {
            self.tail.end_wait(self.clock.now());
        }
    }

    fn end(&mut self, end: End) {
        self.slot = None;
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
        }
    }

    fn end_overdue(&mut self) -> BodyError {
        self.end(End::Overdue { is_targets_fault: self.tail.is_targets_fault() });
        BodyError::Deadline
    }
}

impl hyper::body::Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(context) else {
            if self.poll_wait(context).is_pending() {
                return Poll::Pending;
            }
            self.end_wait();
            return Poll::Ready(Some(Err(self.end_overdue())));
        };
        self.end_wait();
        let data = frame.as_ref().and_then(|frame| frame.as_ref().ok()?.data_ref());
        let bytes = data.map_or(0, Bytes::len) as u64;
        self.bytes += bytes;
        let whole = End::Whole { bytes: self.bytes };
        match &frame {
            Some(Err(_)) => self.slot = None,
            None => self.end(whole),
            Some(Ok(_)) if hyper::body::Body::is_end_stream(&self.body) => self.end(whole),
            Some(Ok(_)) => {
                let now = self.clock.now();
                if !self.tail.admit(bytes, now) {
                    return Poll::Ready(Some(Err(self.end_overdue())));
                }
            }
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        hyper::body::Body::is_end_stream(&self.body)
    }

    fn size_hint(&self) -> SizeHint {
        hyper::body::Body::size_hint(&self.body)
    }
}
