//! HTTP interface of the fake platform.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Request, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;
use tokio::time::sleep;

use super::{
    Shared, defaults,
    faults::{Call, FaultUpdate, INSTANCE_HEADER},
    messages::{Int64, LeaseRequest, PutRequest, RequestOp, StreamItem, TxnRequest},
    watch,
};
use crate::http::{self, CloseConnection, HandlerResult};

const LEASE_NOT_FOUND: &str = "etcdserver: requested lease not found";
const LEASE_EXISTS: &str = "etcdserver: lease already exists";

#[derive(Debug, Deserialize)]
struct ExpireLease {
    id: Int64,
}

/// Handles one request.
pub(super) async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> HandlerResult {
    let path = request.uri().path().to_owned();
    if let Some(endpoint) = path.strip_prefix("/fake/") {
        let body = http::read_body(request).await?;
        return handle_control(&shared, endpoint, &body);
    }
    let Some(call) = parse_call(&path) else {
        return http::error(StatusCode::NOT_FOUND, "no such call");
    };
    let instance = request
        .headers()
        .get(INSTANCE_HEADER)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let body = http::read_body(request).await?;
    // Spawned so that a call completes even if its client disconnects.
    let served = tokio::spawn(admit_and_execute(shared, call, instance, body));
    served.await.map_err(|_| CloseConnection)?
}

async fn admit_and_execute(
    shared: Arc<Shared>,
    call: Call,
    instance: Option<String>,
    body: Bytes,
) -> HandlerResult {
    admit(&shared, call, instance.as_deref()).await?;
    execute(&shared, call, instance, &body).await
}

fn parse_call(path: &str) -> Option<Call> {
    let call = match path {
        "/v3/kv/range" => Call::Range,
        "/v3/kv/put" => Call::Put,
        "/v3/kv/deleterange" => Call::DeleteRange,
        "/v3/kv/txn" => Call::Txn,
        "/v3/lease/grant" => Call::LeaseGrant,
        "/v3/lease/keepalive" => Call::LeaseKeepalive,
        "/v3/lease/revoke" | "/v3/kv/lease/revoke" => Call::LeaseRevoke,
        "/v3/watch" => Call::Watch,
        _ => return None,
    };
    Some(call)
}

async fn admit(shared: &Shared, call: Call, instance: Option<&str>) -> Result<(), CloseConnection> {
    check_refused(shared, instance)?;
    shared.counters().count(call);
    let slow_ms = shared.faults().slow_ms;
    if slow_ms > 0 {
        sleep(Duration::from_millis(slow_ms)).await;
        check_refused(shared, instance)?;
    }
    Ok(())
}

fn check_refused(shared: &Shared, instance: Option<&str>) -> Result<(), CloseConnection> {
    let is_refused = shared.faults().refuses(instance);
    if is_refused {
        shared.counters().refused += 1;
        return Err(CloseConnection);
    }
    Ok(())
}

async fn execute(
    shared: &Arc<Shared>,
    call: Call,
    instance: Option<String>,
    body: &Bytes,
) -> HandlerResult {
    match call {
        Call::Range => with_parsed(body, |request| {
            respond(shared, &shared.store().range(&request))
        }),
        Call::LeaseKeepalive => with_parsed(body, |request| keep_alive(shared, request)),
        Call::Watch => with_parsed(body, |request| watch::start(shared, request, instance)),
        Call::Put => write(shared, body, put).await,
        Call::DeleteRange => {
            write(shared, body, |shared, request| {
                respond(shared, &shared.store().delete_range(&request))
            })
            .await
        }
        Call::Txn => write(shared, body, txn).await,
        Call::LeaseGrant => write(shared, body, grant).await,
        Call::LeaseRevoke => write(shared, body, revoke).await,
    }
}

/// A response with `message` as its JSON body.
fn respond<T: Serialize>(shared: &Shared, message: &T) -> HandlerResult {
    let value = defaults::to_value(message, shared.omit_defaults);
    http::ok_json(&value.map_err(|_| CloseConnection)?)
}

fn with_parsed<T: DeserializeOwned>(
    body: &Bytes,
    run: impl FnOnce(T) -> HandlerResult,
) -> HandlerResult {
    match http::parse_json(body) {
        Ok(request) => run(request),
        Err(error) => http::error(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

/// Syncs and applies a write; drops its response if a fault says so.
async fn write<T: DeserializeOwned>(
    shared: &Arc<Shared>,
    body: &Bytes,
    run: fn(&Shared, T) -> HandlerResult,
) -> HandlerResult {
    let request = match http::parse_json(body) {
        Ok(request) => request,
        Err(error) => return http::error(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let _sync_guard = shared.sync.lock().await;
    sleep(Duration::from_millis(shared.sync_ms)).await;
    let result = run(shared, request);
    shared.notify_change();
    match take_response_drop(shared) {
        true => Err(CloseConnection),
        false => result,
    }
}

/// Whether the response is to be dropped; uses up one of the drops that were set.
fn take_response_drop(shared: &Shared) -> bool {
    let mut faults = shared.faults();
    let is_dropped = faults.drop_answers > 0;
    if is_dropped {
        faults.drop_answers -= 1;
        shared.counters().dropped_answers += 1;
    }
    is_dropped
}

fn put(shared: &Shared, request: PutRequest) -> HandlerResult {
    let mut store = shared.store();
    match store.has_lease(request.lease) {
        true => respond(shared, &store.put(&request)),
        false => http::error(StatusCode::NOT_FOUND, LEASE_NOT_FOUND),
    }
}

fn txn(shared: &Shared, request: TxnRequest) -> HandlerResult {
    let mut store = shared.store();
    let names_expired_lease = request
        .success
        .iter()
        .chain(&request.failure)
        .any(|operation| match operation {
            RequestOp::Put(put) => !store.has_lease(put.lease),
            RequestOp::Range(_) | RequestOp::DeleteRange(_) => false,
        });
    match names_expired_lease {
        true => http::error(StatusCode::NOT_FOUND, LEASE_NOT_FOUND),
        false => respond(shared, &store.txn(&request)),
    }
}

fn grant(shared: &Shared, request: LeaseRequest) -> HandlerResult {
    let granted = shared
        .store()
        .grant(request.id, request.ttl, Instant::now());
    match granted {
        Some(response) => respond(shared, &response),
        None => http::error(StatusCode::BAD_REQUEST, LEASE_EXISTS),
    }
}

fn revoke(shared: &Shared, request: LeaseRequest) -> HandlerResult {
    #[derive(Serialize)]
    struct RevokeResponse {
        header: super::messages::Header,
    }
    let mut store = shared.store();
    match store.revoke(request.id) {
        true => respond(
            shared,
            &RevokeResponse {
                header: store.header(),
            },
        ),
        false => http::error(StatusCode::NOT_FOUND, LEASE_NOT_FOUND),
    }
}

fn keep_alive(shared: &Shared, request: LeaseRequest) -> HandlerResult {
    let result = shared.store().keep_alive(request.id, Instant::now());
    respond(shared, &StreamItem { result })
}

fn handle_control(shared: &Arc<Shared>, endpoint: &str, body: &Bytes) -> HandlerResult {
    match endpoint {
        "counters" => http::ok_json(&*shared.counters()),
        "faults" => with_parsed(body, |update: FaultUpdate| {
            shared.update_faults(&update);
            http::ok_json(&update)
        }),
        "expire_lease" => with_parsed(body, |request: ExpireLease| {
            match shared.expire_lease(request.id.0) {
                true => http::ok_json(&Value::Null),
                false => http::error(StatusCode::NOT_FOUND, LEASE_NOT_FOUND),
            }
        }),
        "instances" => with_parsed(body, |entries: Vec<Value>| {
            shared.set_instances(entries);
            http::ok_json(&Value::Null)
        }),
        _ => http::error(StatusCode::NOT_FOUND, "no such control endpoint"),
    }
}
