//! One HTTP/1.1 connection to a worker, driven by the task that uses it.
//!
//! No background task polls the connection. So once a call gives up and drops
//! it, nothing can write another byte, and the count of bytes written is final.

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

use super::metered::{BytesWritten, MeteredStream};
use super::outcome::{Answer, BodyError, CallError};
use super::request::TASK_HEADER;

/// Largest result of one task, in bytes.
pub const RESULT_BYTES_MAX: usize = 8 * 1024 * 1024;
/// Most bytes reserved on the word of a `Content-Length`.
const RESERVE_BYTES_MAX: usize = 64 * 1024;

type Driver = http1::Connection<MeteredStream, Full<Bytes>>;

/// An open connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Driver,
    written: BytesWritten,
}

impl Connection {
    /// Connects to `address`, IP:PORT.
    pub async fn open(address: &str) -> Result<Self, CallError> {
        let address: SocketAddr = address
            .parse()
            .map_err(|_| not_connected(format!("{address} is no IP:PORT")))?;
        let stream = TcpStream::connect(address).await.map_err(not_connected)?;
        stream.set_nodelay(true).map_err(not_connected)?;
        let written = BytesWritten::default();
        let stream = MeteredStream::new(stream, BytesWritten::clone(&written));
        let (sender, driver) = http1::handshake(stream).await.map_err(not_connected)?;
        Ok(Self {
            sender,
            driver,
            written,
        })
    }

    /// Whether it can carry a request: still open, and nothing unread on it.
    pub async fn is_usable(&mut self) -> bool {
        poll_fn(|cx| {
            let open = Pin::new(&mut self.driver).poll(cx).is_pending();
            Poll::Ready(open && self.sender.is_ready())
        })
        .await
    }

    /// Sends `request` and reads its answer, until `give_up`.
    ///
    /// After an error the connection must be dropped.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        give_up: Instant,
    ) -> Result<Answer, CallError> {
        let before = self.written.load(Ordering::Relaxed);
        let sent = self.sender.send_request(request);
        let answer = async { read_answer(sent.await?).await };
        let answered = tokio::time::timeout_at(give_up, drive(&mut self.driver, answer)).await;
        let error = match answered {
            Ok(Some(Ok(mut answer))) => {
                answer.reusable = answer.body.is_ok() && self.is_usable().await;
                return Ok(answer);
            }
            Ok(Some(Err(error))) => chain(&error),
            Ok(None) => "connection closed".to_owned(),
            Err(_) => "no answer within the timeout".to_owned(),
        };
        if self.written.load(Ordering::Relaxed) == before {
            return Err(CallError::NotConnected(error));
        }
        Err(CallError::Lost(error))
    }
}

/// Runs `work` and the connection it depends on; `None` if the connection
/// ended without completing it.
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

async fn read_answer(response: Response<Incoming>) -> hyper::Result<Answer> {
    let (head, body) = response.into_parts();
    let framed = body.size_hint().exact().is_some() || is_chunked(&head.headers);
    let body = if framed {
        collect(body).await
    } else {
        Err(BodyError::Unframed)
    };
    Ok(Answer {
        status: head.status,
        echo: head.headers.get(TASK_HEADER).cloned(),
        body,
        reusable: false,
    })
}

/// Copies the body out of the connection's read buffer: results are kept for
/// resubmissions, and a slice of that buffer would keep all of it.
async fn collect(mut body: Incoming) -> Result<Bytes, BodyError> {
    let expected = body.size_hint().exact().unwrap_or(0) as usize;
    let mut whole = Vec::with_capacity(expected.min(RESERVE_BYTES_MAX));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Truncated(chain(&error)))?;
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

fn not_connected(error: impl std::fmt::Display) -> CallError {
    CallError::NotConnected(error.to_string())
}

/// An error and its causes, in one line.
fn chain(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(Some(error), |error| error.source());
    let texts: Vec<String> = causes.map(ToString::to_string).collect();
    texts.join(": ")
}
