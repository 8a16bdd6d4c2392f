//! Response bodies of targets that are streamed to callers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::dispatcher::Slot;
use crate::target::AnswerBody;
use crate::target::BodyError;

/// Body of a target's response; frees the request's slot at the target when it ends.
pub(super) struct StreamedBody {
    body: AnswerBody,
    slot: Option<Slot>,
}

impl StreamedBody {
    pub(super) fn new(body: AnswerBody, slot: Slot) -> Self {
        Self { body, slot: Some(slot) }
    }
}

impl hyper::body::Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        let is_over = matches!(frame, Poll::Ready(None | Some(Err(_))));
        if is_over || hyper::body::Body::is_end_stream(&self.body) {
            self.slot = None;
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        hyper::body::Body::is_end_stream(&self.body)
    }

    fn size_hint(&self) -> SizeHint {
        hyper::body::Body::size_hint(&self.body)
    }
}
