//! Response bodies of targets that are streamed to callers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::time::Instant;
use tokio::time::Sleep;

use super::dispatcher::Slot;
use crate::target::AnswerBody;
use crate::target::BodyError;

/// Time for which a target may be awaited in total after the deadline: what it has sent is ready
/// nearly at once, also if a slow caller held it up.
const LATE_WAIT: Duration = Duration::from_millis(250);

/// How a body ended, other than by an error of its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum End {
    /// All of it was passed on.
    Whole,
    /// It was incomplete after its deadline, and was cut off.
    Overdue,
}

/// Called once with the end of the body.
type Callback = Box<dyn FnOnce(End) + Send>;

/// Body of a target's response; frees the request's slot at the target when it ends.
///
/// After the deadline, a body of known length is still delivered as far as it is ready; one without
/// a length may have no end, and is cut off.
pub(super) struct StreamedBody {
    body: AnswerBody,
    slot: Option<Slot>,
    deadline: Instant,
    /// Time for which the target may still be awaited after the deadline.
    late_wait: Duration,
    /// Since when the target is awaited, the deadline at the earliest.
    waiting_since: Option<Instant>,
    /// Ends the wait; set when it begins.
    timer: Pin<Box<Sleep>>,
    on_end: Option<Callback>,
}

impl StreamedBody {
    pub(super) fn new(
        body: AnswerBody,
        slot: Slot,
        deadline: Instant,
        on_end: impl FnOnce(End) + Send + 'static,
    ) -> Self {
        Self {
            body,
            slot: Some(slot),
            deadline,
            late_wait: LATE_WAIT,
            waiting_since: None,
            timer: Box::pin(tokio::time::sleep_until(deadline)),
            on_end: Some(Box::new(on_end)),
        }
    }

    fn poll_overrun(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.waiting_since.is_none() {
            let since = Instant::now().max(self.deadline);
            self.waiting_since = Some(since);
            self.timer.as_mut().reset(since + self.late_wait);
        }
        self.timer.as_mut().poll(context)
    }

    /// Ends the wait for a frame, and returns whether the body must end here.
    fn is_overdue(&mut self) -> bool {
        let now = Instant::now();
        if let Some(since) = self.waiting_since.take() {
            self.late_wait = self.late_wait.saturating_sub(now.saturating_duration_since(since));
        }
        now >= self.deadline && hyper::body::Body::size_hint(&self.body).exact().is_none()
    }

    fn end(&mut self, end: End) {
        self.slot = None;
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
        }
    }

    fn end_overdue(&mut self) -> BodyError {
        self.end(End::Overdue);
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
            return self.poll_overrun(context).map(|()| Some(Err(self.end_overdue())));
        };
        let is_overdue = self.is_overdue();
        match &frame {
            Some(Err(_)) => self.slot = None,
            None => self.end(End::Whole),
            Some(Ok(_)) if hyper::body::Body::is_end_stream(&self.body) => self.end(End::Whole),
            Some(Ok(_)) if is_overdue => return Poll::Ready(Some(Err(self.end_overdue()))),
            Some(Ok(_)) => {}
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
