//! An HTTP/1.1 connection to a worker.
//!
//! The connection is polled by the call that uses it, not by a background task.
//! Once a call has timed out, no more bytes are written, so its count of bytes
//! written is final.

use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::atomic::Ordering;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::header::{HeaderMap, TRANSFER_ENCODING};
use hyper::{Request, Response};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::counting_stream::{BytesWritten, CountingStream};
use super::outcome::{BodyError, CallError, WorkerResponse};
use super::request::TASK_HEADER;

/// Maximum size of a task's result, in bytes.
pub const RESULT_BYTES_MAX: usize = 8 * 1024 * 1024;
/// Maximum number of bytes preallocated for a declared `Content-Length`.
const RESERVE_BYTES_MAX: usize = 64 * 1024;

type Driver = http1::Connection<CountingStream, Full<Bytes>>;

/// An open connection that carries one request at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Driver,
    written: BytesWritten,
}

impl Connection {
    /// Connects to `address`, an `IP:PORT`.
    pub(crate) async fn open(address: &str) -> Result<Self, CallError> {
        let address: SocketAddr = address
            .parse()
            .map_err(|_| not_sent(format!("{address} is not an IP:PORT address")))?;
        let stream = TcpStream::connect(address).await.map_err(not_sent)?;
        stream.set_nodelay(true).map_err(not_sent)?;
        let written = BytesWritten::default();
        let stream = CountingStream::new(stream, BytesWritten::clone(&written));
        let (sender, driver) = http1::handshake(stream).await.map_err(not_sent)?;
        Ok(Self {
            sender,
            driver,
            written,
        })
    }

    /// Whether it can send a request: it is open and has no unread data.
    pub(crate) async fn is_usable(&mut self) -> bool {
        poll_fn(|cx| {
            let open = Pin::new(&mut self.driver).poll(cx).is_pending();
            Poll::Ready(open && self.sender.is_ready())
        })
        .await
    }

    /// Sends `request` and reads its response, until `deadline`.
    ///
    /// The connection must be dropped after an error.
    pub(crate) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<WorkerResponse, CallError> {
        let before = self.written.load(Ordering::Relaxed);
        let sent = self.sender.send_request(request);
        let response = async { read_response(sent.await?).await };
        let result = tokio::time::timeout_at(deadline, drive(&mut self.driver, response)).await;
        let error = match result {
            Ok(Some(Ok(mut response))) => {
                response.reusable = response.body.is_ok() && self.is_usable().await;
                return Ok(response);
            }
            Ok(Some(Err(error))) => error_chain(&error),
            Ok(None) => "connection closed".to_owned(),
            Err(_) => "no response within the timeout".to_owned(),
        };
        if self.written.load(Ordering::Relaxed) == before {
            return Err(CallError::NotSent(error));
        }
        Err(CallError::ResponseLost(error))
    }
}

/// Polls `work` together with the connection it depends on; `None` if the
/// connection closed before `work` completed.
async fn drive<T>(driver: &mut Driver, work: impl Future<Output = T>) -> Option<T> {
    let mut work = pin!(work);
    let mut closed = false;
    poll_fn(|cx| {
        if let Poll::Ready(done) = work.as_mut().poll(cx) {
            return Poll::Ready(Some(done));
        }
        closed = closed || Pin::new(&mut *driver).poll(cx).is_ready();
        match work.as_mut().poll(cx) {
            Poll::Ready(done) => Poll::Ready(Some(done)),
            Poll::Pending if closed => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    })
    .await
}

async fn read_response(response: Response<Incoming>) -> hyper::Result<WorkerResponse> {
    let (head, body) = response.into_parts();
    let framed = body.size_hint().exact().is_some() || is_chunked(&head.headers);
    let body = if framed {
        collect(body).await
    } else {
        Err(BodyError::Unframed)
    };
    Ok(WorkerResponse {
        status: head.status,
        echoed_task: head.headers.get(TASK_HEADER).cloned(),
        body,
        reusable: false,
    })
}

/// Reads the body into a buffer of its own; a slice of the connection's read
/// buffer would keep that whole buffer alive while the result is stored.
async fn collect(mut body: Incoming) -> Result<Bytes, BodyError> {
    let expected = body.size_hint().exact().unwrap_or(0) as usize;
    let mut whole = Vec::with_capacity(expected.min(RESERVE_BYTES_MAX));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Truncated(error_chain(&error)))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if whole.len() + data.len() > RESULT_BYTES_MAX {
            return Err(BodyError::Oversized(RESULT_BYTES_MAX));
        }
        whole.extend_from_slice(&data);
    }
    Ok(Bytes::from(whole.into_boxed_slice()))
}

fn is_chunked(headers: &HeaderMap) -> bool {
    headers
        .get(TRANSFER_ENCODING)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.rsplit(',').next())
        .is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"))
}

fn not_sent(error: impl std::fmt::Display) -> CallError {
    CallError::NotSent(error.to_string())
}

/// Formats an error and its causes on one line.
fn error_chain(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(Some(error), |error| error.source());
    let texts: Vec<String> = causes.map(ToString::to_string).collect();
    texts.join(": ")
}
