//! The little of HTTP that the stand-ins share: a server, bodies and JSON.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::BodyExt;
use hyper::{
    Request, Response, StatusCode,
    body::{Frame, Incoming},
    header::CONTENT_TYPE,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::{JoinHandle, JoinSet},
};

/// Ends a connection without an answer.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the connection is closed on order")]
pub struct CloseConnection;

/// What a handler gives: an answer, or the end of the connection.
pub type Answer = Result<Response<Body>, CloseConnection>;

/// A piece of a streamed body.
pub type Piece = Result<Bytes, CloseConnection>;

/// Body of an answer.
#[derive(Debug)]
pub enum Body {
    /// Known as a whole; `None` once it has been sent.
    Whole(Option<Bytes>),
    /// Sent piece by piece.
    Stream(mpsc::Receiver<Piece>),
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = CloseConnection;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CloseConnection>>> {
        let piece = match self.get_mut() {
            Self::Whole(bytes) => bytes.take().map(Ok),
            Self::Stream(pieces) => ready!(pieces.poll_recv(context)),
        };
        Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
    }
}

/// A server that stops, with all its connections, when dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Serves `handler` on `listener`.
    pub fn start<H, F>(listener: TcpListener, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Answer> + Send + 'static,
    {
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept_all(listener, handler));
        Ok(Self { address, task })
    }

    /// Address served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for as long as the server runs.
    pub async fn wait(&mut self) {
        let _ = (&mut self.task).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_all<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve_connection(stream, handler.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Answer>,
{
    let _ = stream.set_nodelay(true);
    // An error of a connection is its peer's or ordered: nothing to report.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service_fn(handler))
        .await;
}

/// Reads the whole body of a request.
pub async fn read_body(request: Request<Incoming>) -> Result<Bytes, CloseConnection> {
    let collected = request.into_body().collect().await;
    collected
        .map(|body| body.to_bytes())
        .map_err(|_| CloseConnection)
}

/// Reads JSON; an empty body stands for `{}`.
pub fn from_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, serde_json::Error> {
    let body = if body.is_empty() { b"{}" } else { body };
    serde_json::from_slice(body)
}

/// An answer of status 200 with a JSON body.
pub fn ok_json<T: Serialize>(value: &T) -> Answer {
    json(StatusCode::OK, value)
}

/// An answer with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    let bytes = serde_json::to_vec(value).map_err(|_| CloseConnection)?;
    let mut response = Response::new(Body::Whole(Some(bytes.into())));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, mime_json());
    Ok(response)
}

/// An answer that names an error.
pub fn error(status: StatusCode, message: &str) -> Answer {
    json(status, &ErrorBody { error: message })
}

/// A streamed JSON answer.
pub fn stream(pieces: mpsc::Receiver<Piece>) -> Answer {
    let mut response = Response::new(Body::Stream(pieces));
    response.headers_mut().insert(CONTENT_TYPE, mime_json());
    Ok(response)
}

fn mime_json() -> hyper::header::HeaderValue {
    hyper::header::HeaderValue::from_static("application/json")
}

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}
