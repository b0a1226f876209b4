//! Time limit for receiving the head of a request.
//!
//! The HTTP library applies a single time-out to idle waiting and to reading a head.
//! Callers may leave a connection idle for long, but must send a head quickly once they
//! have started it. Otherwise a connection that trickles bytes stays open for the whole
//! idle time-out, and a few thousand of them exhaust the file descriptors.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// Phase of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HeadPhase {
    Idle,
    ReadingHead(Instant),
    Serving,
}

/// Measures how long one connection takes to send a request head.
#[derive(Debug)]
pub struct HeaderTimer {
    phase: Cell<HeadPhase>,
    head_started: Notify,
}

impl Default for HeaderTimer {
    fn default() -> Self {
        Self {
            phase: Cell::new(HeadPhase::Idle),
            head_started: Notify::new(),
        }
    }
}

impl HeaderTimer {
    /// Records that a whole head was received and its request is being served.
    pub fn head_received(&self) {
        self.phase.set(HeadPhase::Serving);
    }

    /// Records that the response was sent and the connection is idle.
    pub fn answer_sent(&self) {
        self.phase.set(HeadPhase::Idle);
    }

    fn bytes_received(&self) {
        if self.phase.get() == HeadPhase::Idle {
            self.phase.set(HeadPhase::ReadingHead(Instant::now()));
            self.head_started.notify_one();
        }
    }

    /// Completes when a head has been incomplete for longer than `limit`.
    pub async fn timed_out(&self, limit: Duration) {
        loop {
            match self.phase.get() {
                HeadPhase::ReadingHead(since) if since.elapsed() >= limit => return,
                HeadPhase::ReadingHead(since) => sleep_until(since + limit).await,
                HeadPhase::Idle | HeadPhase::Serving => self.head_started.notified().await,
            }
        }
    }
}

/// A caller's connection that reports received bytes to its [`HeaderTimer`].
pub struct TimedStream {
    inner: TcpStream,
    timer: Rc<HeaderTimer>,
}

impl TimedStream {
    /// Wraps a caller's connection.
    #[must_use]
    pub fn new(inner: TcpStream, timer: Rc<HeaderTimer>) -> Self {
        Self { inner, timer }
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.timer.bytes_received();
        }
        polled
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
