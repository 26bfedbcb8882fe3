//! etcd v3 over its JSON mapping.
//!
//! Each call names the calling instance in a header, has one time limit and
//! is counted. Nothing is retried here: who calls knows whether a repeat is
//! idempotent.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode, header};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;
use trefoil_schema::settings::Settings;

use super::wire::{
    Base64, Compare, DeleteRequest, Int64, Kv, PutRequest, RangeRequest, RangeResponse, RequestOp,
    TxnRequest, TxnResponse, prefix_end,
};
use super::{CasResult, KeyValue, Listing, PlatformStore, StoreError, StoreFuture, WatchEvent};

mod counters;
mod watch;

pub use counters::{CallCounters, CallKind};

/// Header that names the calling instance.
const INSTANCE_HEADER: &str = "trefoil-instance";
/// Keys read in one call of a listing.
const PAGE_KEYS: u64 = 500;
/// Watch events kept for a slow reader before the watch waits for it.
const WATCH_QUEUE: usize = 64;
/// Longest excerpt of an error answer that is shown, in characters.
const SHOWN_CHARS_MAX: usize = 200;

/// Client of one etcd address; clones share connections and counters.
#[derive(Clone, Debug)]
pub struct EtcdClient {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    client: Client<HttpConnector, Full<Bytes>>,
    base_url: String,
    instance: String,
    call_timeout: Duration,
    reachable: AtomicBool,
    calls: CallCounters,
}

impl EtcdClient {
    /// A client for `settings.platform`, calling as `settings.instance`.
    pub fn new(settings: &Settings) -> Self {
        let call_timeout = Duration::from_millis(settings.platform.call_timeout_ms);
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // A connection that fails by itself proves that nothing was sent.
        connector.set_connect_timeout(Some(call_timeout / 2));
        let shared = Shared {
            client: Client::builder(TokioExecutor::new()).build(connector),
            base_url: format!("http://{}", settings.platform.address),
            instance: settings.instance.clone(),
            call_timeout,
            reachable: AtomicBool::new(false),
            calls: CallCounters::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Calls made so far.
    pub fn calls(&self) -> &CallCounters {
        &self.shared.calls
    }
}

impl Shared {
    async fn call<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        body: &impl Serialize,
    ) -> Result<T, StoreError> {
        self.calls.count(kind);
        let exchange = self.exchange(kind, body);
        let answer = match tokio::time::timeout(self.call_timeout, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(may_have_applied("timeout")),
        };
        self.note(answer.is_ok());
        if answer.is_err() {
            self.calls.count_failure();
        }
        answer
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        body: &impl Serialize,
    ) -> Result<T, StoreError> {
        let response = self.send(kind, body).await?;
        let collected = response.into_body().collect().await;
        let bytes = collected.map_err(may_have_applied)?.to_bytes();
        serde_json::from_slice(&bytes).map_err(may_have_applied)
    }

    /// Sends a call and takes the head of its answer; a refusal is an error.
    async fn send(
        &self,
        kind: CallKind,
        body: &impl Serialize,
    ) -> Result<Response<Incoming>, StoreError> {
        let request = self.request(kind, body)?;
        let response = self.client.request(request).await.map_err(send_error)?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let text = error_text(response).await;
        Err(refusal(status, &text))
    }

    fn request(
        &self,
        kind: CallKind,
        body: &impl Serialize,
    ) -> Result<Request<Full<Bytes>>, StoreError> {
        let body = serde_json::to_vec(body).map_err(not_applied)?;
        Request::builder()
            .method(Method::POST)
            .uri(format!("{}{}", self.base_url, kind.path()))
            .header(header::CONTENT_TYPE, "application/json")
            .header(INSTANCE_HEADER, &self.instance)
            .body(Full::new(body.into()))
            .map_err(not_applied)
    }

    fn note(&self, reachable: bool) {
        self.reachable.store(reachable, Ordering::Relaxed);
    }

    async fn range(&self, prefix: &str) -> Result<Listing, StoreError> {
        let mut request = RangeRequest {
            key: base64(prefix),
            range_end: Some(Base64(prefix_end(prefix))),
            limit: Some(Int64(PAGE_KEYS)),
            revision: None,
        };
        let mut listing = Listing::default();
        loop {
            let page: RangeResponse = self.call(CallKind::Range, &request).await?;
            if listing.revision == 0 {
                listing.revision = page.header.revision.0;
            }
            listing.keys.extend(page.kvs.into_iter().map(key_value));
            let Some(last) = listing.keys.last().filter(|_| page.more) else {
                return Ok(listing);
            };
            request.key = base64(&format!("{}\0", last.key));
            request.revision = Some(Int64(listing.revision));
        }
    }

    async fn get(&self, key: &str) -> Result<Option<KeyValue>, StoreError> {
        let page: RangeResponse = self.call(CallKind::Range, &single(key)).await?;
        Ok(page.kvs.into_iter().next().map(key_value))
    }

    async fn cas(
        &self,
        key: &str,
        expected_revision: u64,
        change: RequestOp,
    ) -> Result<CasResult, StoreError> {
        let compare = Compare {
            key: base64(key),
            target: "MOD",
            result: "EQUAL",
            mod_revision: Int64(expected_revision),
        };
        let request = TxnRequest {
            compare: vec![compare],
            success: vec![change],
            failure: vec![RequestOp::Range(single(key))],
        };
        let answer: TxnResponse = self.call(CallKind::Txn, &request).await?;
        Ok(cas_result(answer))
    }
}

impl PlatformStore for EtcdClient {
    fn range<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Listing> {
        Box::pin(self.shared.range(prefix))
    }

    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<KeyValue>> {
        Box::pin(self.shared.get(key))
    }

    fn put_if<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        expected_revision: u64,
    ) -> StoreFuture<'a, CasResult> {
        let put = PutRequest {
            key: base64(key),
            value: Base64(value),
        };
        Box::pin(self.shared.cas(key, expected_revision, RequestOp::Put(put)))
    }

    fn delete_if<'a>(&'a self, key: &'a str, expected_revision: u64) -> StoreFuture<'a, CasResult> {
        let delete = DeleteRequest { key: base64(key) };
        let change = RequestOp::Delete(delete);
        Box::pin(self.shared.cas(key, expected_revision, change))
    }

    fn watch(&self, prefix: &str, from_revision: u64) -> mpsc::Receiver<WatchEvent> {
        let (events, receiver) = mpsc::channel(WATCH_QUEUE);
        let shared = Arc::clone(&self.shared);
        let request = watch::request(prefix, from_revision);
        tokio::spawn(watch::run(shared, request, events));
        receiver
    }

    fn reachable(&self) -> bool {
        self.shared.reachable.load(Ordering::Relaxed)
    }
}

fn single(key: &str) -> RangeRequest {
    RangeRequest {
        key: base64(key),
        ..RangeRequest::default()
    }
}

fn base64(text: &str) -> Base64 {
    Base64(Bytes::copy_from_slice(text.as_bytes()))
}

fn key_text(key: &Base64) -> String {
    String::from_utf8_lossy(&key.0).into_owned()
}

fn key_value(kv: Kv) -> KeyValue {
    KeyValue {
        key: key_text(&kv.key),
        value: kv.value.0,
        revision: kv.mod_revision.0,
        created_revision: kv.create_revision.0,
        version: kv.version.0,
    }
}

fn cas_result(answer: TxnResponse) -> CasResult {
    if answer.succeeded {
        let revision = answer.header.revision.0;
        return CasResult::Applied { revision };
    }
    let ranges = answer.responses.into_iter();
    let kvs = ranges.filter_map(|response| response.response_range);
    let current = kvs.flat_map(|range| range.kvs).next().map(key_value);
    CasResult::Conflict { current }
}

fn send_error(error: hyper_util::client::legacy::Error) -> StoreError {
    if error.is_connect() {
        return not_applied(format!("no connection: {}", chain(&error)));
    }
    may_have_applied(chain(&error))
}

fn chain(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(Some(error), |error| error.source());
    let texts: Vec<String> = causes.map(ToString::to_string).collect();
    texts.join(": ")
}

// A client error was refused before any effect; a server error may follow one.
fn refusal(status: StatusCode, text: &str) -> StoreError {
    let shown: String = text.chars().take(SHOWN_CHARS_MAX).collect();
    let reason = format!("status {status}: {shown}");
    match status.is_client_error() {
        true => not_applied(reason),
        false => may_have_applied(reason),
    }
}

async fn error_text(response: Response<Incoming>) -> String {
    let collected = response.into_body().collect().await;
    let bytes = collected.map(|body| body.to_bytes()).unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}

fn not_applied(reason: impl ToString) -> StoreError {
    StoreError::NotApplied {
        reason: reason.to_string(),
    }
}

fn may_have_applied(reason: impl ToString) -> StoreError {
    StoreError::MayHaveApplied {
        reason: reason.to_string(),
    }
}
