//! Requests to the entry instances.
//!
//! A request goes to the first entry that can be connected. Once it may have
//! been sent, it goes to another entry only if that cannot do harm: reads, and
//! submissions that carry an idempotency key.

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

use super::error::{CallError, OpsError, Refusal};

/// Longest time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Settings of a [`Client`].
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Instances to ask, IP:PORT, in the order of preference.
    pub entries: Vec<String>,
    /// Longest time to wait for an answer, in milliseconds.
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

/// Whether a request that may have been sent may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resend {
    /// Sending it twice has the effect of sending it once.
    Harmless,
    /// Its effect may depend on how often it is sent.
    Never,
}

/// A request, before an entry is chosen for it.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<(HeaderName, HeaderValue)>,
    body: Bytes,
    resend: Resend,
    changes: bool,
    first_request: bool,
    timeout_ms: Option<u64>,
}

impl Call {
    /// A request for `path`; reads are harmless to resend, others are not.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        let changes = method != Method::GET;
        let resend = if changes {
            Resend::Never
        } else {
            Resend::Harmless
        };
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            resend,
            changes,
            first_request: false,
            timeout_ms: None,
        }
    }

    /// Says that it changes nothing and starts no task.
    #[must_use]
    pub fn changes_nothing(mut self) -> Self {
        self.changes = false;
        self.resend_harmless()
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.push((name, value));
        self
    }

    /// Sets a JSON body.
    #[must_use]
    pub fn json(mut self, body: &impl serde::Serialize) -> Self {
        self.body = serde_json::to_vec(body).unwrap_or_default().into();
        self.header(CONTENT_TYPE, HeaderValue::from_static("application/json"))
    }

    /// Says that sending it twice has the effect of sending it once.
    #[must_use]
    pub fn resend_harmless(mut self) -> Self {
        self.resend = Resend::Harmless;
        self
    }

    /// Says that no request was made before under its idempotency key.
    #[must_use]
    pub fn first_request(mut self) -> Self {
        self.first_request = true;
        self
    }

    /// Waits at most this long, in milliseconds, in place of the client's setting.
    #[must_use]
    pub fn timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = Some(timeout_ms);
        self
    }

    fn title(&self) -> String {
        format!("{} {}", self.method, self.path)
    }

    fn request(&self, entry: &str) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{entry}{}", self.path))
            .body(Full::new(self.body.clone()))?;
        request.headers_mut().extend(self.headers.iter().cloned());
        Ok(request)
    }
}

/// An answer, whatever its status.
#[derive(Clone, Debug)]
pub struct Answer {
    request: String,
    changes: bool,
    first_request: bool,
    /// Status of the answer.
    pub status: StatusCode,
    /// Its `ETag`, as sent.
    pub etag: Option<String>,
    body: Bytes,
}

impl Answer {
    /// The answer, or the problem that it is.
    pub fn accept(self) -> Result<Self, OpsError> {
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

    /// The body, read as `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, OpsError> {
        serde_json::from_slice(&self.body).map_err(|source| OpsError::Unexpected {
            request: self.request.clone(),
            changes: self.changes,
            status: self.status,
            source,
        })
    }
}

/// A client of the deployment's entry instances.
#[derive(Clone, Debug)]
pub struct Client {
    entries: Arc<[String]>,
    timeout_ms: u64,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// A client; refuses a list of entries that is empty or has no IP:PORT.
    pub fn new(settings: ClientSettings) -> Result<Self, OpsError> {
        let entries = settings
            .entries
            .iter()
            .map(|entry| parse_entry(entry))
            .collect::<Result<Vec<_>, _>>()?;
        if entries.is_empty() {
            return Err(OpsError::Usage {
                message: "no entry is named".to_owned(),
            });
        }
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // A connection for each request: a kept one may close under a request,
        // and then it is unknown whether the request was read.
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

    /// The entries, in the order of preference.
    pub fn entries(&self) -> &[String] {
        &self.entries
    }

    /// The same client that prefers the entry `offset` places further on.
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

    /// The same client, for one entry alone.
    pub fn only(&self, entry: &str) -> Result<Self, OpsError> {
        Ok(Self {
            entries: vec![parse_entry(entry)?].into(),
            ..self.clone()
        })
    }

    /// Sends a request to the first entry that takes it; any status is an answer.
    pub async fn send(&self, call: &Call) -> Result<Answer, OpsError> {
        let mut lost = None;
        let mut unconnected = None;
        for entry in self.entries.iter() {
            match self.send_to(entry, call).await {
                Ok(mut answer) => {
                    answer.first_request = call.first_request && lost.is_none();
                    return Ok(answer);
                }
                Err(error @ CallError::NotSent { .. }) => unconnected = Some(error),
                Err(error) => {
                    lost = Some(error);
                    if call.resend == Resend::Never {
                        break;
                    }
                }
            }
        }
        match lost.or(unconnected) {
            Some(error) => Err(self.unanswered(call, error)),
            None => Err(OpsError::Usage {
                message: "no entry is named".to_owned(),
            }),
        }
    }

    /// The failure of a request that no entry answered.
    pub fn unanswered(&self, call: &Call, error: CallError) -> OpsError {
        match &error {
            CallError::NotSent { .. } => OpsError::Connect {
                entries: self.entries.join(", "),
                source: error,
            },
            CallError::Broken { entry, .. } | CallError::TimedOut { entry, .. } => OpsError::Lost {
                request: call.title(),
                entry: entry.clone(),
                changes: call.changes,
                source: error,
            },
        }
    }

    /// Sends a request to every entry at once; answers in the entries' order.
    pub async fn send_all(&self, call: &Call) -> Vec<(String, Result<Answer, CallError>)> {
        let mut calls = JoinSet::new();
        for (index, entry) in self.entries.iter().cloned().enumerate() {
            let client = self.clone();
            let call = call.clone();
            calls.spawn(async move {
                let answer = client.send_to(&entry, &call).await;
                (index, entry, answer)
            });
        }
        let mut answers = calls.join_all().await;
        answers.sort_by_key(|(index, _, _)| *index);
        answers
            .into_iter()
            .map(|(_, entry, answer)| (entry, answer))
            .collect()
    }

    async fn send_to(&self, entry: &str, call: &Call) -> Result<Answer, CallError> {
        let timeout_ms = call.timeout_ms.unwrap_or(self.timeout_ms);
        let exchange = self.exchange(entry, call);
        tokio::time::timeout(Duration::from_millis(timeout_ms), exchange)
            .await
            .unwrap_or_else(|_| {
                Err(CallError::TimedOut {
                    entry: entry.to_owned(),
                    timeout_ms,
                })
            })
    }

    async fn exchange(&self, entry: &str, call: &Call) -> Result<Answer, CallError> {
        let broken = |source: Box<dyn std::error::Error + Send + Sync>| CallError::Broken {
            entry: entry.to_owned(),
            source,
        };
        let request = call.request(entry).map_err(|error| broken(error.into()))?;
        let response = self.http.request(request).await.map_err(|source| {
            if source.is_connect() {
                CallError::NotSent {
                    entry: entry.to_owned(),
                    source: source.into(),
                }
            } else {
                broken(source.into())
            }
        })?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|error| broken(error.into()))?;
        Ok(Answer {
            request: call.title(),
            changes: call.changes,
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

/// Reads IP:PORT, with or without `http://` before it.
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
