//! A pooled HTTP client for the load generator and for tests.

use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, StatusCode, body::Incoming};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};

/// Why a request has no response.
#[derive(Clone, Debug, Display, Error)]
pub enum CallError {
    /// The connection could not be established; nothing was sent.
    #[display("cannot connect: {detail}; is the server up?")]
    Connect {
        /// Error message of the operating system.
        detail: String,
    },
    /// The connection ended before the whole response; the request may have been received.
    #[display("incomplete response: {detail}")]
    Broken {
        /// Error message of the HTTP library.
        detail: String,
    },
}

/// A response whose body has been read.
#[expect(missing_docs, reason = "the fields explain themselves")]
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// A client that keeps connections open between calls.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let inner = legacy::Client::builder(TokioExecutor::new())
            // A retry inside the client could make the server see a request twice.
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner }
    }
}

impl Client {
    /// Sends a request and reads the whole response.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Reply, CallError> {
        let response = self.open(request).await?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(|error| CallError::Broken {
            detail: error.to_string(),
        })?;
        Ok(Reply {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }

    /// Sends a request and returns the response with its body unread.
    pub async fn open(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<hyper::Response<Incoming>, CallError> {
        self.inner.request(request).await.map_err(|error| {
            let detail = error.to_string();
            match error.is_connect() {
                true => CallError::Connect { detail },
                false => CallError::Broken { detail },
            }
        })
    }

    /// Sends a GET request for `path` to `address`.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Reply, CallError> {
        self.send(request(Method::GET, address, path, Bytes::new()))
            .await
    }

    /// Sends a POST request with a JSON `body` to `path` at `address`.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Reply, CallError> {
        self.send(request(Method::POST, address, path, body)).await
    }
}

/// Builds a request with a JSON body; an invalid `path` is replaced by `/`.
pub fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: impl Into<Bytes>,
) -> Request<Full<Bytes>> {
    let uri = format!("http://{address}{path}")
        .parse()
        .unwrap_or_default();
    let mut request = Request::new(Full::new(body.into()));
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    request.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    request
}
