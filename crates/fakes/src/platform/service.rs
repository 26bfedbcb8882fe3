//! HTTP calls of the stand-in, matched to the store.

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
use crate::http::{self, Answer, CloseConnection};

const LEASE_NOT_FOUND: &str = "etcdserver: requested lease not found";
const LEASE_EXISTS: &str = "etcdserver: lease already exists";

#[derive(Debug, Deserialize)]
struct ExpireLease {
    id: Int64,
}

/// Answers one request.
pub(super) async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    if let Some(order) = path.strip_prefix("/fake/") {
        let body = http::read_body(request).await?;
        return control(&shared, order, &body);
    }
    let Some(call) = call_of(&path) else {
        return http::error(StatusCode::NOT_FOUND, "no such call");
    };
    let instance = request
        .headers()
        .get(INSTANCE_HEADER)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let body = http::read_body(request).await?;
    // A task of its own: a call goes on even where its caller has gone away.
    let served = tokio::spawn(admit_and_serve(shared, call, instance, body));
    served.await.map_err(|_| CloseConnection)?
}

async fn admit_and_serve(
    shared: Arc<Shared>,
    call: Call,
    instance: Option<String>,
    body: Bytes,
) -> Answer {
    admit(&shared, call, instance.as_deref()).await?;
    serve(&shared, call, instance, &body).await
}

fn call_of(path: &str) -> Option<Call> {
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
    refuse(shared, instance)?;
    shared.counters().count(call);
    let slow_ms = shared.faults().slow_ms;
    if slow_ms > 0 {
        sleep(Duration::from_millis(slow_ms)).await;
        refuse(shared, instance)?;
    }
    Ok(())
}

fn refuse(shared: &Shared, instance: Option<&str>) -> Result<(), CloseConnection> {
    let refused = shared.faults().refuses(instance);
    if refused {
        shared.counters().refused += 1;
        return Err(CloseConnection);
    }
    Ok(())
}

async fn serve(shared: &Arc<Shared>, call: Call, instance: Option<String>, body: &Bytes) -> Answer {
    match call {
        Call::Range => parsed(body, |request| {
            answer(shared, &shared.store().range(&request))
        }),
        Call::LeaseKeepalive => parsed(body, |request| keep_alive(shared, request)),
        Call::Watch => parsed(body, |request| watch::start(shared, request, instance)),
        Call::Put => write(shared, body, put).await,
        Call::DeleteRange => {
            write(shared, body, |shared, request| {
                answer(shared, &shared.store().delete_range(&request))
            })
            .await
        }
        Call::Txn => write(shared, body, txn).await,
        Call::LeaseGrant => write(shared, body, grant).await,
        Call::LeaseRevoke => write(shared, body, revoke).await,
    }
}

fn answer<T: Serialize>(shared: &Shared, message: &T) -> Answer {
    let value = defaults::to_value(message, shared.omit_defaults);
    http::ok_json(&value.map_err(|_| CloseConnection)?)
}

fn parsed<T: DeserializeOwned>(body: &Bytes, run: impl FnOnce(T) -> Answer) -> Answer {
    match http::from_json(body) {
        Ok(request) => run(request),
        Err(error) => http::error(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

/// Syncs a write, lets it take effect, and drops its answer if so ordered.
async fn write<T: DeserializeOwned>(
    shared: &Arc<Shared>,
    body: &Bytes,
    run: fn(&Shared, T) -> Answer,
) -> Answer {
    let request = match http::from_json(body) {
        Ok(request) => request,
        Err(error) => return http::error(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let _synced = shared.sync.lock().await;
    sleep(Duration::from_millis(shared.sync_ms)).await;
    let answered = run(shared, request);
    shared.raise();
    match take_drop_answer(shared) {
        true => Err(CloseConnection),
        false => answered,
    }
}

fn take_drop_answer(shared: &Shared) -> bool {
    let mut faults = shared.faults();
    let dropped = faults.drop_answers > 0;
    if dropped {
        faults.drop_answers -= 1;
        shared.counters().dropped_answers += 1;
    }
    dropped
}

fn put(shared: &Shared, request: PutRequest) -> Answer {
    let mut store = shared.store();
    match store.has_lease(request.lease) {
        true => answer(shared, &store.put(&request)),
        false => http::error(StatusCode::NOT_FOUND, LEASE_NOT_FOUND),
    }
}

fn txn(shared: &Shared, request: TxnRequest) -> Answer {
    let mut store = shared.store();
    let lapsed = request
        .success
        .iter()
        .chain(&request.failure)
        .any(|operation| match operation {
            RequestOp::Put(put) => !store.has_lease(put.lease),
            RequestOp::Range(_) | RequestOp::DeleteRange(_) => false,
        });
    match lapsed {
        true => http::error(StatusCode::NOT_FOUND, LEASE_NOT_FOUND),
        false => answer(shared, &store.txn(&request)),
    }
}

fn grant(shared: &Shared, request: LeaseRequest) -> Answer {
    let granted = shared
        .store()
        .grant(request.id, request.ttl, Instant::now());
    match granted {
        Some(response) => answer(shared, &response),
        None => http::error(StatusCode::BAD_REQUEST, LEASE_EXISTS),
    }
}

fn revoke(shared: &Shared, request: LeaseRequest) -> Answer {
    #[derive(Serialize)]
    struct RevokeResponse {
        header: super::messages::Header,
    }
    let mut store = shared.store();
    match store.revoke(request.id) {
        true => answer(
            shared,
            &RevokeResponse {
                header: store.header(),
            },
        ),
        false => http::error(StatusCode::NOT_FOUND, LEASE_NOT_FOUND),
    }
}

fn keep_alive(shared: &Shared, request: LeaseRequest) -> Answer {
    let result = shared.store().keep_alive(request.id, Instant::now());
    answer(shared, &StreamItem { result })
}

fn control(shared: &Arc<Shared>, order: &str, body: &Bytes) -> Answer {
    match order {
        "counters" => http::ok_json(&*shared.counters()),
        "faults" => parsed(body, |order: FaultUpdate| {
            shared.update_faults(&order);
            http::ok_json(&order)
        }),
        "expire_lease" => parsed(body, |order: ExpireLease| {
            match shared.expire_lease(order.id.0) {
                true => http::ok_json(&Value::Null),
                false => http::error(StatusCode::NOT_FOUND, LEASE_NOT_FOUND),
            }
        }),
        "instances" => parsed(body, |entries: Vec<Value>| {
            shared.set_instances(entries);
            http::ok_json(&Value::Null)
        }),
        _ => http::error(StatusCode::NOT_FOUND, "no such order"),
    }
}
