//! HTTP server, response bodies and JSON helpers shared by the fakes.

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

/// Returned by a handler to close the connection without a response.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("connection closed by an injected fault")]
pub struct CloseConnection;

/// Result of a request handler.
pub type HandlerResult = Result<Response<Body>, CloseConnection>;

/// A chunk of a streamed body.
pub type Chunk = Result<Bytes, CloseConnection>;

/// Body of a response.
#[derive(Debug)]
pub enum Body {
    /// A complete body; `None` once it has been sent.
    Full(Option<Bytes>),
    /// Sent chunk by chunk.
    Stream(mpsc::Receiver<Chunk>),
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = CloseConnection;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CloseConnection>>> {
        let chunk = match self.get_mut() {
            Self::Full(bytes) => bytes.take().map(Ok),
            Self::Stream(chunks) => ready!(chunks.poll_recv(context)),
        };
        Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
    }
}

/// A running server. Dropping it stops the server and closes its connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Serves the connections of `listener` with `handler`.
    pub fn start<H, F>(listener: TcpListener, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = HandlerResult> + Send + 'static,
    {
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept_connections(listener, handler));
        Ok(Self { address, task })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the server stops.
    pub async fn wait(&mut self) {
        let _ = (&mut self.task).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_connections<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
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
    F: Future<Output = HandlerResult>,
{
    let _ = stream.set_nodelay(true);
    // Errors come from the client or from injected faults.
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

/// Parses JSON; an empty body counts as `{}`.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, serde_json::Error> {
    let body = if body.is_empty() { b"{}" } else { body };
    serde_json::from_slice(body)
}

/// A response of status 200 with a JSON body.
pub fn ok_json<T: Serialize>(value: &T) -> HandlerResult {
    json(StatusCode::OK, value)
}

/// A response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> HandlerResult {
    let bytes = serde_json::to_vec(value).map_err(|_| CloseConnection)?;
    let mut response = Response::new(Body::Full(Some(bytes.into())));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, json_content_type());
    Ok(response)
}

/// A response whose JSON body holds an error message.
pub fn error(status: StatusCode, message: &str) -> HandlerResult {
    json(status, &ErrorBody { error: message })
}

/// A streamed JSON response.
pub fn stream(chunks: mpsc::Receiver<Chunk>) -> HandlerResult {
    let mut response = Response::new(Body::Stream(chunks));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, json_content_type());
    Ok(response)
}

fn json_content_type() -> hyper::header::HeaderValue {
    hyper::header::HeaderValue::from_static("application/json")
}

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}
