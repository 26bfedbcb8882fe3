//! A stream that counts the bytes its socket accepted.
//!
//! The count is the proof behind "not run": a task whose request got no byte
//! into the socket cannot have started. Bytes that the socket accepted may
//! have reached the worker, whatever error follows.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Bytes that a socket accepted for sending.
pub type BytesWritten = Arc<AtomicU64>;

/// A TCP stream that counts what it writes.
#[derive(Debug)]
pub struct MeteredStream {
    stream: TokioIo<TcpStream>,
    written: BytesWritten,
}

impl MeteredStream {
    /// Counts what `stream` writes in `written`.
    pub fn new(stream: TcpStream, written: BytesWritten) -> Self {
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

impl Read for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl Write for MeteredStream {
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
