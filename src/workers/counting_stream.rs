//! A TCP stream that counts the bytes its socket accepted.
//!
//! A task is reported as not run only if the socket accepted no byte of its
//! request. Accepted bytes may have reached the worker even if an error follows.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Number of bytes that a socket accepted for sending.
pub(crate) type BytesWritten = Arc<AtomicU64>;

/// A TCP stream that counts the bytes written.
#[derive(Debug)]
pub(crate) struct CountingStream {
    stream: TokioIo<TcpStream>,
    written: BytesWritten,
}

impl CountingStream {
    /// Wraps `stream`, adding the bytes it writes to `written`.
    pub(crate) fn new(stream: TcpStream, written: BytesWritten) -> Self {
        Self {
            stream: TokioIo::new(stream),
            written,
        }
    }

    fn count(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = result {
            self.written.fetch_add(*bytes as u64, Ordering::Relaxed);
        }
    }
}

impl Read for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl Write for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buffer);
        self.count(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, buffers);
        self.count(&result);
        result
    }
}
