//! Bounds the time in which a caller sends the head of a request.
//!
//! The HTTP library has one limit for waiting and for reading a head. Callers may
//! leave a connection idle for long but, once they begin, have to send the head
//! soon: a connection that trickles bytes would otherwise be held for the whole
//! idle time, and a few thousand of them take all descriptors.

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

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HeadPhase {
    Idle,
    ReadingHead(Instant),
    Serving,
}

/// Clock of one connection.
#[derive(Debug)]
pub struct HeaderTimer {
    phase: Cell<HeadPhase>,
    begun: Notify,
}

impl Default for HeaderTimer {
    fn default() -> Self {
        Self {
            phase: Cell::new(HeadPhase::Idle),
            begun: Notify::new(),
        }
    }
}

impl HeaderTimer {
    /// Notes that a head was read and its request is served.
    pub fn note_head(&self) {
        self.phase.set(HeadPhase::Serving);
    }

    /// Notes that a request was answered.
    pub fn note_answered(&self) {
        self.phase.set(HeadPhase::Idle);
    }

    fn note_bytes(&self) {
        if self.phase.get() == HeadPhase::Idle {
            self.phase.set(HeadPhase::ReadingHead(Instant::now()));
            self.begun.notify_one();
        }
    }

    /// Completes when a head has been on its way for longer than `limit`.
    pub async fn overdue(&self, limit: Duration) {
        loop {
            match self.phase.get() {
                HeadPhase::ReadingHead(since) if since.elapsed() >= limit => return,
                HeadPhase::ReadingHead(since) => sleep_until(since + limit).await,
                HeadPhase::Idle | HeadPhase::Serving => self.begun.notified().await,
            }
        }
    }
}

/// A caller's connection that tells its clock of each byte.
pub struct TimedStream {
    inner: TcpStream,
    clock: Rc<HeaderTimer>,
}

impl TimedStream {
    /// Wraps a connection.
    #[must_use]
    pub fn new(inner: TcpStream, clock: Rc<HeaderTimer>) -> Self {
        Self { inner, clock }
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
            self.clock.note_bytes();
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
