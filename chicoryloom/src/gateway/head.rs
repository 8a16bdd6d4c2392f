//! Detects requests with both `Content-Length` and `Transfer-Encoding`.
//!
//! The HTTP library drops the length of such a request silently, so that the raw bytes of its head
//! are inspected. The request is refused, since another proxy on its way may have delimited the
//! body differently (request smuggling).

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Blank line that ends a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Result for the present request of a connection, shared with the code that serves it.
#[derive(Debug, Default)]
pub(super) struct Inspection {
    /// Whether the latest head had both a length and a transfer encoding.
    ambiguous: AtomicBool,
    /// Whether the previous request has been answered, so that a head comes next.
    answered: AtomicBool,
}

impl Inspection {
    /// Returns whether the present request has both a length and a transfer encoding.
    pub(super) fn is_ambiguous(&self) -> bool {
        self.ambiguous.load(Ordering::Relaxed)
    }

    /// Records that the present request has been answered.
    pub(super) fn mark_answered(&self) {
        self.answered.store(true, Ordering::Relaxed);
    }
}

/// Part of a request that the next bytes belong to.
#[derive(Debug)]
enum Part {
    /// A head, with the bytes received so far.
    Head(Vec<u8>),
    /// A body, with the number of bytes still to be received.
    Body(u64),
    /// A chunked body, or bytes that can't be delimited; they are skipped until the request has
    /// been answered.
    Chunks,
}

/// A stream that inspects the request heads read from it.
#[derive(Debug)]
pub(super) struct Inspector<S> {
    stream: S,
    part: Part,
    max_head: usize,
    inspection: Arc<Inspection>,
}

impl<S> Inspector<S> {
    /// Inspects heads of up to `max_head` bytes; the HTTP library refuses longer ones.
    pub(super) fn new(stream: S, max_head: usize) -> (Self, Arc<Inspection>) {
        let inspection = Arc::new(Inspection::default());
        (
            Self { stream, part: Part::Head(Vec::new()), max_head, inspection: inspection.clone() },
            inspection,
        )
    }

    fn inspect(&mut self, mut bytes: &[u8]) {
        if self.inspection.answered.swap(false, Ordering::Relaxed)
            && matches!(self.part, Part::Chunks)
        {
            self.part = Part::Head(Vec::new());
        }
        while !bytes.is_empty() {
            match &mut self.part {
                Part::Chunks => return,
                Part::Body(left) => {
                    let taken = bytes.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
                    *left -= taken as u64;
                    bytes = &bytes[taken..];
                    if *left == 0 {
                        self.part = Part::Head(Vec::new());
                    }
                }
                Part::Head(head) => {
                    let before = head.len();
                    head.extend_from_slice(bytes);
                    let from = before.saturating_sub(HEAD_END.len() - 1);
                    let end =
                        head[from..].windows(HEAD_END.len()).position(|window| window == HEAD_END);
                    let Some(end) = end.map(|at| from + at + HEAD_END.len()) else {
                        if head.len() > self.max_head {
                            self.part = Part::Chunks;
                        }
                        return;
                    };
                    bytes = &bytes[end - before..];
                    let part = self.parse_head(end);
                    self.part = part;
                }
            }
        }
    }

    /// Parses a whole head, records whether it is ambiguous, and returns the part that follows.
    fn parse_head(&self, end: usize) -> Part {
        let Part::Head(head) = &self.part else { return Part::Chunks };
        let text = String::from_utf8_lossy(&head[..end]).to_ascii_lowercase();
        let value = |name: &str| {
            let mut lines = text.split("\r\n").filter_map(|line| line.split_once(':'));
            lines.find(|(found, _)| found.trim() == name).map(|(_, value)| value.trim().to_owned())
        };
        let (length, encoding) = (value("content-length"), value("transfer-encoding"));
        self.inspection.ambiguous.store(length.is_some() && encoding.is_some(), Ordering::Relaxed);
        match (encoding, length.map(|length| length.parse())) {
            (None, None | Some(Ok(0))) => Part::Head(Vec::new()),
            (None, Some(Ok(length))) => Part::Body(length),
            _ => Part::Chunks,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Inspector<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if matches!(read, Poll::Ready(Ok(()))) {
            self.inspect(&buffer.filled()[before..]);
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Inspector<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
