//! Client for etcd v3 over its JSON gateway.
//!
//! Each call has a timeout, is counted, and names the calling instance in a header.
//! Calls are not retried here, as only the caller knows whether they are idempotent.

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
/// Maximum number of keys read in one call.
const PAGE_KEYS: u64 = 500;
/// Events buffered for the receiver of a watch.
const WATCH_BUFFER: usize = 64;
/// Characters of an error response that are included in the error.
const ERROR_CHARS_MAX: usize = 200;

/// Client for one etcd address; clones share connections and counters.
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
    /// Creates a client for `settings.platform` that identifies itself as
    /// `settings.instance`.
    pub fn new(settings: &Settings) -> Self {
        let call_timeout = Duration::from_millis(settings.platform.call_timeout_ms);
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // Shorter than the call timeout: a failure to connect shows that the call was
        // not sent.
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

    /// Counters of the calls.
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
        let response = self.call_without_timeout(kind, body);
        let result = match tokio::time::timeout(self.call_timeout, response).await {
            Ok(result) => result,
            Err(_) => Err(may_have_applied("timeout")),
        };
        self.set_reachable(result.is_ok());
        if result.is_err() {
            self.calls.count_failure();
        }
        result
    }

    async fn call_without_timeout<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        body: &impl Serialize,
    ) -> Result<T, StoreError> {
        let response = self.send(kind, body).await?;
        let collected = response.into_body().collect().await;
        let bytes = collected.map_err(may_have_applied)?.to_bytes();
        serde_json::from_slice(&bytes).map_err(may_have_applied)
    }

    /// Sends a call and waits for the head of the response; fails on an error status.
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
        Err(status_error(status, &text))
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

    fn set_reachable(&self, reachable: bool) {
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
        let page: RangeResponse = self.call(CallKind::Range, &single_key(key)).await?;
        Ok(page.kvs.into_iter().next().map(key_value))
    }

    async fn compare_and_swap(
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
            failure: vec![RequestOp::Range(single_key(key))],
        };
        let response: TxnResponse = self.call(CallKind::Txn, &request).await?;
        Ok(cas_result(response))
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
        Box::pin(
            self.shared
                .compare_and_swap(key, expected_revision, RequestOp::Put(put)),
        )
    }

    fn delete_if<'a>(&'a self, key: &'a str, expected_revision: u64) -> StoreFuture<'a, CasResult> {
        let delete = DeleteRequest { key: base64(key) };
        let change = RequestOp::Delete(delete);
        Box::pin(self.shared.compare_and_swap(key, expected_revision, change))
    }

    fn watch(&self, prefix: &str, from_revision: u64) -> mpsc::Receiver<WatchEvent> {
        let (events, receiver) = mpsc::channel(WATCH_BUFFER);
        let shared = Arc::clone(&self.shared);
        let request = watch::request(prefix, from_revision);
        tokio::spawn(watch::run(shared, request, events));
        receiver
    }

    fn reachable(&self) -> bool {
        self.shared.reachable.load(Ordering::Relaxed)
    }
}

fn single_key(key: &str) -> RangeRequest {
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

fn cas_result(response: TxnResponse) -> CasResult {
    if response.succeeded {
        let revision = response.header.revision.0;
        return CasResult::Applied { revision };
    }
    let ranges = response.responses.into_iter();
    let kvs = ranges.filter_map(|response| response.response_range);
    let current = kvs.flat_map(|range| range.kvs).next().map(key_value);
    CasResult::Conflict { current }
}

fn send_error(error: hyper_util::client::legacy::Error) -> StoreError {
    if error.is_connect() {
        return not_applied(format!("cannot connect: {}", error_chain(&error)));
    }
    may_have_applied(error_chain(&error))
}

fn error_chain(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(Some(error), |error| error.source());
    let texts: Vec<String> = causes.map(ToString::to_string).collect();
    texts.join(": ")
}

// A call with a client error had no effect; one with a server error may have.
fn status_error(status: StatusCode, text: &str) -> StoreError {
    let excerpt: String = text.chars().take(ERROR_CHARS_MAX).collect();
    let reason = format!("status {status}: {excerpt}");
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
