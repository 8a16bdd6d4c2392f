//! The byte stream of a caller's connection, with a write timeout and a lingering close.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;

/// Longest time for which a closed connection reads and discards what its caller still sends.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes per read from a closed connection.
const LINGER_BUFFER_SIZE: usize = 4096;

/// A stream with a write timeout that discards incoming bytes for a while after its shutdown.
///
/// Without the timeout, a caller that stops reading would occupy a slot of its target forever.
/// Closing a socket with unread bytes resets the connection, and the caller could lose the answer
/// that it was sent before.
#[derive(Debug)]
pub(crate) struct Stream {
    stream: TcpStream,
    write_timeout: Duration,
    /// Set while a write is blocked.
    write_timer: Option<Pin<Box<Sleep>>>,
    /// Set once the stream is shut down.
    linger_timer: Option<Pin<Box<Sleep>>>,
}

impl Stream {
    pub(crate) fn new(stream: TcpStream, write_timeout: Duration) -> Self {
        Self { stream, write_timeout, write_timer: None, linger_timer: None }
    }

    fn check_write_timeout<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.write_timer = None;
            return written;
        }
        let end = Instant::now() + self.write_timeout;
        let timer = self.write_timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(end)));
        match timer.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }

    /// Discards what the caller still sends, until it closes or the timeout ends.
    fn poll_linger(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let timer =
            self.linger_timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(LINGER_TIMEOUT)));
        if timer.as_mut().poll(context).is_ready() {
            return Poll::Ready(());
        }
        let mut bytes = [0; LINGER_BUFFER_SIZE];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.stream).poll_read(context, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {}
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return Poll::Pending,
            }
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check_write_timeout(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.check_write_timeout(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger_timer.is_none() {
            match Pin::new(&mut self.stream).poll_shutdown(context) {
                Poll::Ready(Ok(())) => {}
                closed => return closed,
            }
        }
        self.poll_linger(context).map(Ok)
    }
}
