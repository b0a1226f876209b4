//! A connection on which only so many bytes may arrive until the head of an answer.
//!
//! The HTTP library reads interim answers without end before the answer itself.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Most bytes that may arrive until the head of an answer. Beyond the head and some interim
/// answers, they may include the beginning of the body.
const MAX_BYTES_BEFORE_HEAD: usize = 256 * 1024;

/// Number of bytes that may still arrive on a connection. Clones refer to the same number.
#[derive(Clone, Debug)]
pub struct ByteAllowance(Arc<AtomicUsize>);

impl ByteAllowance {
    /// Limits the bytes that arrive from now on.
    pub fn limit(&self) {
        self.0.store(MAX_BYTES_BEFORE_HEAD, Ordering::Relaxed);
    }

    /// Removes the limit.
    pub fn lift(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }
}

/// A connection whose reads fail once more bytes have arrived than allowed.
#[derive(Debug)]
pub struct LimitedStream {
    stream: TcpStream,
    allowance: ByteAllowance,
}

impl LimitedStream {
    /// Wraps a connection, without a limit at first.
    #[must_use]
    pub fn new(stream: TcpStream) -> (Self, ByteAllowance) {
        let allowance = ByteAllowance(Arc::new(AtomicUsize::new(usize::MAX)));
        let limited = Self {
            stream,
            allowance: allowance.clone(),
        };
        (limited, allowance)
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = buffer.filled().len() - before;
        let allowed = self.allowance.0.load(Ordering::Relaxed);
        if allowed == usize::MAX {
            return Poll::Ready(Ok(()));
        }
        let Some(left) = allowed.checked_sub(read) else {
            return Poll::Ready(Err(io::Error::other(
                "more bytes arrived than the head of an answer may have",
            )));
        };
        self.allowance.0.store(left, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
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
}
