//! HTTP client for the entry instances.
//!
//! A request goes to the first entry that accepts a connection. Once it may have been
//! sent, it is retried at another entry only if it is idempotent: a read, or a
//! submission with an idempotency key.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, ETAG, HeaderName, HeaderValue};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use tokio::task::JoinSet;
use trefoil_schema::api;

use super::error::{OpsError, Refusal, TransportError};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Settings of a [`Client`].
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Addresses of entry instances, IP:PORT, in order of preference.
    pub entries: Vec<String>,
    /// Timeout of each request, in milliseconds.
    pub timeout_ms: u64,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            entries: vec!["127.0.0.1:7400".to_owned()],
            timeout_ms: 30_000,
        }
    }
}

/// Whether a request may be retried after it may have been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// The request is idempotent.
    Safe,
    /// A repeated request could take effect twice.
    Never,
}

/// A request to the HTTP API, independent of the entry it is sent to.
#[derive(Clone, Debug)]
pub struct ApiRequest {
    method: Method,
    path: String,
    headers: Vec<(HeaderName, HeaderValue)>,
    body: Bytes,
    retry: Retry,
    has_effects: bool,
    first_request: bool,
    timeout_ms: Option<u64>,
}

impl ApiRequest {
    /// Creates a request. By default, only a `GET` is read-only and may be retried.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        let has_effects = method != Method::GET;
        let retry = if has_effects {
            Retry::Never
        } else {
            Retry::Safe
        };
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            retry,
            has_effects,
            first_request: false,
            timeout_ms: None,
        }
    }

    /// Marks the request as one that changes no state and starts no task.
    #[must_use]
    pub fn read_only(mut self) -> Self {
        self.has_effects = false;
        self.idempotent()
    }

    /// Appends a header.
    #[must_use]
    pub fn header(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.push((name, value));
        self
    }

    /// Sets a JSON body and its content type.
    #[must_use]
    pub fn json(mut self, body: &impl serde::Serialize) -> Self {
        self.body = serde_json::to_vec(body).unwrap_or_default().into();
        self.header(CONTENT_TYPE, HeaderValue::from_static("application/json"))
    }

    /// Marks the request as safe to retry.
    #[must_use]
    pub fn idempotent(mut self) -> Self {
        self.retry = Retry::Safe;
        self
    }

    /// Marks the request as the first one with its idempotency key.
    #[must_use]
    pub fn first_request(mut self) -> Self {
        self.first_request = true;
        self
    }

    /// Overrides the client's timeout, in milliseconds.
    #[must_use]
    pub fn timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = Some(timeout_ms);
        self
    }

    fn method_and_path(&self) -> String {
        format!("{} {}", self.method, self.path)
    }

    fn to_http(&self, entry: &str) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{entry}{}", self.path))
            .body(Full::new(self.body.clone()))?;
        request.headers_mut().extend(self.headers.iter().cloned());
        Ok(request)
    }
}

/// A response, whether success or error.
#[derive(Clone, Debug)]
pub struct ApiResponse {
    request: String,
    has_effects: bool,
    first_request: bool,
    /// HTTP status code.
    pub status: StatusCode,
    /// The `ETag` header, unparsed.
    pub etag: Option<String>,
    body: Bytes,
}

impl ApiResponse {
    /// Turns an error status into an error with the problem details of the body.
    pub fn error_for_status(self) -> Result<Self, OpsError> {
        if self.status.is_success() {
            return Ok(self);
        }
        let problem: api::Problem = self.decode()?;
        Err(OpsError::Refused {
            request: self.request,
            source: Refusal {
                problem: Box::new(problem),
                first_request: self.first_request,
            },
        })
    }

    /// Deserializes the body.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, OpsError> {
        serde_json::from_slice(&self.body).map_err(|source| OpsError::UnexpectedResponse {
            request: self.request.clone(),
            has_effects: self.has_effects,
            status: self.status,
            source,
        })
    }
}

/// A client of a deployment's entry instances.
#[derive(Clone, Debug)]
pub struct Client {
    entries: Arc<[String]>,
    timeout_ms: u64,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client. Fails if there are no entries or one is not an IP:PORT.
    pub fn new(settings: ClientSettings) -> Result<Self, OpsError> {
        let entries = settings
            .entries
            .iter()
            .map(|entry| parse_entry(entry))
            .collect::<Result<Vec<_>, _>>()?;
        if entries.is_empty() {
            return Err(OpsError::Usage {
                message: "no entry instances given".to_owned(),
            });
        }
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // No connection reuse: if a pooled connection closes during a request, it is
        // unknown whether the server read the request.
        let http = legacy::Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Ok(Self {
            entries: entries.into(),
            timeout_ms: settings.timeout_ms,
            http,
        })
    }

    /// Addresses of the entries, in order of preference.
    pub fn entries(&self) -> &[String] {
        &self.entries
    }

    /// Returns a client whose list of entries is rotated left by `offset`.
    #[must_use]
    pub fn rotated(&self, offset: usize) -> Self {
        let mut entries = self.entries.to_vec();
        let count = entries.len();
        entries.rotate_left(offset % count);
        Self {
            entries: entries.into(),
            ..self.clone()
        }
    }

    /// Returns a client with the same settings for a single entry.
    pub fn for_entry(&self, entry: &str) -> Result<Self, OpsError> {
        Ok(Self {
            entries: vec![parse_entry(entry)?].into(),
            ..self.clone()
        })
    }

    /// Sends a request to the first entry that responds, with any status.
    pub async fn send(&self, request: &ApiRequest) -> Result<ApiResponse, OpsError> {
        let mut lost = None;
        let mut not_sent = None;
        for entry in self.entries.iter() {
            match self.send_to(entry, request).await {
                Ok(mut response) => {
                    response.first_request = request.first_request && lost.is_none();
                    return Ok(response);
                }
                Err(error @ TransportError::NotSent { .. }) => not_sent = Some(error),
                Err(error) => {
                    lost = Some(error);
                    if request.retry == Retry::Never {
                        break;
                    }
                }
            }
        }
        match lost.or(not_sent) {
            Some(error) => Err(self.transport_error(request, error)),
            None => Err(OpsError::Usage {
                message: "no entry instances given".to_owned(),
            }),
        }
    }

    /// The error of a request to which no entry responded.
    pub fn transport_error(&self, request: &ApiRequest, error: TransportError) -> OpsError {
        match &error {
            TransportError::NotSent { .. } => OpsError::Connect {
                entries: self.entries.join(", "),
                source: error,
            },
            TransportError::Disconnected { entry, .. } | TransportError::TimedOut { entry, .. } => {
                OpsError::ResponseLost {
                    request: request.method_and_path(),
                    entry: entry.clone(),
                    has_effects: request.has_effects,
                    source: error,
                }
            }
        }
    }

    /// Sends a request to all entries concurrently. Responses are in the entries' order.
    pub async fn send_all(
        &self,
        request: &ApiRequest,
    ) -> Vec<(String, Result<ApiResponse, TransportError>)> {
        let mut requests = JoinSet::new();
        for (index, entry) in self.entries.iter().cloned().enumerate() {
            let client = self.clone();
            let request = request.clone();
            requests.spawn(async move {
                let response = client.send_to(&entry, &request).await;
                (index, entry, response)
            });
        }
        let mut responses = requests.join_all().await;
        responses.sort_by_key(|(index, _, _)| *index);
        responses
            .into_iter()
            .map(|(_, entry, response)| (entry, response))
            .collect()
    }

    async fn send_to(
        &self,
        entry: &str,
        request: &ApiRequest,
    ) -> Result<ApiResponse, TransportError> {
        let timeout_ms = request.timeout_ms.unwrap_or(self.timeout_ms);
        let exchange = self.exchange(entry, request);
        tokio::time::timeout(Duration::from_millis(timeout_ms), exchange)
            .await
            .unwrap_or_else(|_| {
                Err(TransportError::TimedOut {
                    entry: entry.to_owned(),
                    timeout_ms,
                })
            })
    }

    async fn exchange(
        &self,
        entry: &str,
        request: &ApiRequest,
    ) -> Result<ApiResponse, TransportError> {
        let disconnected =
            |source: Box<dyn std::error::Error + Send + Sync>| TransportError::Disconnected {
                entry: entry.to_owned(),
                source,
            };
        let http_request = request
            .to_http(entry)
            .map_err(|error| disconnected(error.into()))?;
        let response = self.http.request(http_request).await.map_err(|source| {
            if source.is_connect() {
                TransportError::NotSent {
                    entry: entry.to_owned(),
                    source: source.into(),
                }
            } else {
                disconnected(source.into())
            }
        })?;
        let (head, body) = response.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|error| disconnected(error.into()))?;
        Ok(ApiResponse {
            request: request.method_and_path(),
            has_effects: request.has_effects,
            first_request: false,
            status: head.status,
            etag: header_text(head.headers.get(ETAG)),
            body: body.to_bytes(),
        })
    }
}

fn header_text(value: Option<&HeaderValue>) -> Option<String> {
    value?.to_str().ok().map(str::to_owned)
}

/// Parses IP:PORT with an optional `http://` prefix and trailing slash.
fn parse_entry(text: &str) -> Result<String, OpsError> {
    let address = text.trim();
    let address = address.strip_prefix("http://").unwrap_or(address);
    let address = address.trim_end_matches('/');
    address
        .parse::<std::net::SocketAddr>()
        .map(|address| address.to_string())
        .map_err(|_| OpsError::Usage {
            message: format!("entry `{text}` is not IP:PORT"),
        })
}
