//! The fake platform behaves as etcd does, and injects faults on request.

use std::{net::SocketAddr, time::Duration};

use base64::{Engine, prelude::BASE64_STANDARD};
use http_body_util::BodyExt;
use hyper::{Method, body::Incoming};
use serde_json::{Value, json};
use tokio::time::timeout;
use trefoil_fakes::{
    client::{Client, request},
    platform::{self, PlatformHandle, PlatformOptions, faults::FaultUpdate},
};

async fn start() -> (PlatformHandle, Client) {
    start_with(PlatformOptions::default()).await
}

async fn start_with(options: PlatformOptions) -> (PlatformHandle, Client) {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let handle = platform::start(address, options).await.unwrap();
    (handle, Client::default())
}

fn b64(text: &str) -> String {
    BASE64_STANDARD.encode(text)
}

async fn call(client: &Client, platform: &PlatformHandle, path: &str, body: Value) -> Value {
    let reply = client.post(platform.address, path, body.to_string()).await;
    serde_json::from_slice(&reply.unwrap().body).unwrap()
}

/// Transaction that writes `value` if the key is at `mod_revision`, and reads the key otherwise.
fn cas(key: &str, mod_revision: &str, value: &str) -> Value {
    json!({
        "compare": [{
            "key": b64(key), "target": "MOD", "result": "EQUAL", "mod_revision": mod_revision,
        }],
        "success": [{"request_put": {"key": b64(key), "value": b64(value)}}],
        "failure": [{"request_range": {"key": b64(key)}}],
    })
}

async fn next_line(body: &mut Incoming) -> Value {
    let frame = timeout(Duration::from_secs(5), body.frame()).await;
    let data = frame.unwrap().unwrap().unwrap().into_data().unwrap();
    serde_json::from_slice(&data).unwrap()
}

async fn watch(client: &Client, platform: &PlatformHandle, start_revision: &str) -> Incoming {
    let body = json!({"create_request": {
        "key": b64("a/"), "range_end": b64("a0"), "start_revision": start_revision,
    }});
    let request = request(
        Method::POST,
        platform.address,
        "/v3/watch",
        body.to_string(),
    );
    let mut stream = client.open(request).await.unwrap().into_body();
    let first = next_line(&mut stream).await;
    assert_eq!(first["result"]["created"], true);
    stream
}

#[tokio::test]
async fn only_one_of_two_swaps_of_the_same_revision_succeeds() {
    let (platform, client) = start().await;
    let (first, second) = tokio::join!(
        call(&client, &platform, "/v3/kv/txn", cas("a/x", "0", "one")),
        call(&client, &platform, "/v3/kv/txn", cas("a/x", "0", "two")),
    );
    let (winner, loser) = match first["succeeded"] == true {
        true => (first, second),
        false => (second, first),
    };
    assert_eq!(winner["succeeded"], true);
    assert_eq!(winner["header"]["revision"], "2");
    assert_eq!(loser["succeeded"], false);
    let read = &loser["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(read["mod_revision"], "2");
    assert_eq!(read["version"], "1");
}

#[tokio::test]
async fn watch_replays_history_and_continues() {
    let (platform, client) = start().await;
    for key in ["a/1", "b/1", "a/2"] {
        let body = json!({"key": b64(key), "value": b64("v")});
        call(&client, &platform, "/v3/kv/put", body).await;
    }
    let mut stream = watch(&client, &platform, "3").await;
    let replayed = next_line(&mut stream).await;
    let events = replayed["result"]["events"].as_array().unwrap();
    assert_eq!(events.len(), 1);
    assert_eq!(events[0]["kv"]["key"], b64("a/2"));
    assert_eq!(events[0]["kv"]["mod_revision"], "4");
    let body = json!({"key": b64("a/1")});
    call(&client, &platform, "/v3/kv/deleterange", body).await;
    let next = next_line(&mut stream).await;
    assert_eq!(next["result"]["events"][0]["type"], "DELETE");
    assert_eq!(platform.counters().watches_waiting, 1);
}

#[tokio::test]
async fn write_with_dropped_response_takes_effect() {
    let (platform, client) = start().await;
    platform.update_faults(&FaultUpdate {
        drop_answers: Some(1),
        ..FaultUpdate::default()
    });
    let body = cas("a/x", "0", "one").to_string();
    let lost = client.post(platform.address, "/v3/kv/txn", body).await;
    assert!(lost.is_err());
    let again = call(&client, &platform, "/v3/kv/txn", cas("a/x", "0", "two")).await;
    assert_eq!(again["succeeded"], false);
    let read = &again["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(read["value"], b64("one"));
    assert_eq!(platform.counters().dropped_answers, 1);
}

#[tokio::test]
async fn outage_closes_watches_and_refuses_calls() {
    let (platform, client) = start().await;
    let mut stream = watch(&client, &platform, "0").await;
    platform.update_faults(&FaultUpdate {
        down: Some(true),
        ..FaultUpdate::default()
    });
    let ended = timeout(Duration::from_secs(5), stream.frame()).await;
    assert!(ended.unwrap().unwrap().is_err());
    let refused = client.post(platform.address, "/v3/kv/range", "{}").await;
    assert!(refused.is_err());
}

#[tokio::test]
async fn expired_lease_deletes_its_keys() {
    let (platform, client) = start().await;
    let lease = json!({"TTL": "60", "ID": "0"});
    let granted = call(&client, &platform, "/v3/lease/grant", lease).await;
    let id = granted["ID"].as_str().unwrap();
    let body = json!({"key": b64("a/x"), "value": "", "lease": id});
    call(&client, &platform, "/v3/kv/put", body).await;
    assert!(platform.expire_lease(id.parse().unwrap()));
    let body = json!({"key": b64("a/x")});
    let read = call(&client, &platform, "/v3/kv/range", body).await;
    assert_eq!(read["count"], "0");
    let alive = call(&client, &platform, "/v3/lease/keepalive", json!({"ID": id})).await;
    assert_eq!(alive["result"]["TTL"], "0");
}

#[tokio::test]
async fn instance_list_changes_after_its_lag() {
    let (platform, client) = start().await;
    platform.update_faults(&FaultUpdate {
        instance_list_lag_ms: Some(300),
        ..FaultUpdate::default()
    });
    let body = json!({"create_request": {
        "key": b64("/platform/instances/"), "range_end": b64("/platform/instances0"),
    }});
    let request = request(
        Method::POST,
        platform.address,
        "/v3/watch",
        body.to_string(),
    );
    let mut stream = client.open(request).await.unwrap().into_body();
    next_line(&mut stream).await;
    platform.set_instances(vec![json!({"name": "one", "state": "live"})]);
    let all = json!({"key": b64("/platform/instances/"), "range_end": b64("/platform/instances0")});
    let read = call(&client, &platform, "/v3/kv/range", all).await;
    assert_eq!(read["count"], "0");
    let shown = next_line(&mut stream).await;
    let key = &shown["result"]["events"][0]["kv"]["key"];
    assert_eq!(*key, b64("/platform/instances/one"));
    platform.set_instances(vec![json!({"name": "two", "state": "live"})]);
    let changed = next_line(&mut stream).await;
    let events = changed["result"]["events"].as_array().unwrap();
    let kinds: Vec<_> = events.iter().map(|event| &event["type"]).collect();
    assert_eq!(kinds, ["DELETE", "PUT"]);
}

#[tokio::test]
async fn only_blocked_instances_are_refused() {
    let (platform, client) = start().await;
    platform.update_faults(&FaultUpdate {
        block_instances: Some(vec!["one".to_owned()]),
        ..FaultUpdate::default()
    });
    let range = |instance: &'static str| {
        let mut request = request(Method::POST, platform.address, "/v3/kv/range", "{}");
        let name = hyper::header::HeaderValue::from_static(instance);
        request.headers_mut().insert("trefoil-instance", name);
        client.send(request)
    };
    assert!(range("one").await.is_err());
    assert!(range("two").await.is_ok());
    let counters = platform.counters();
    assert_eq!((counters.range, counters.refused), (1, 1));
}

#[tokio::test]
async fn fields_with_default_values_can_be_omitted() {
    let options = PlatformOptions {
        omit_defaults: true,
        ..PlatformOptions::default()
    };
    let (platform, client) = start_with(options).await;
    let absent = json!({"key": b64("a/x")});
    let read = call(&client, &platform, "/v3/kv/range", absent).await;
    let header = json!({"cluster_id": "1", "member_id": "1", "revision": "1"});
    assert_eq!(read, json!({"header": header}));
    call(&client, &platform, "/v3/kv/txn", cas("a/x", "0", "one")).await;
    let lost = call(&client, &platform, "/v3/kv/txn", cas("a/x", "0", "two")).await;
    assert_eq!(lost.get("succeeded"), None);
    let kv = &lost["responses"][0]["response_range"]["kvs"][0];
    assert_eq!((&kv["version"], kv.get("lease")), (&json!("1"), None));
    let mut stream = watch(&client, &platform, "2").await;
    let event = &next_line(&mut stream).await["result"]["events"][0];
    assert_eq!(event.get("type"), None);
    assert_eq!(event["kv"]["value"], b64("one"));
}

#[tokio::test]
async fn slow_write_takes_effect_after_its_client_disconnects() {
    let (platform, client) = start().await;
    let mut stream = watch(&client, &platform, "0").await;
    platform.update_faults(&FaultUpdate {
        slow_ms: Some(200),
        ..FaultUpdate::default()
    });
    let body = json!({"key": b64("a/x"), "value": b64("v")}).to_string();
    let put = client.post(platform.address, "/v3/kv/put", body);
    assert!(timeout(Duration::from_millis(50), put).await.is_err());
    let event = &next_line(&mut stream).await["result"]["events"][0];
    assert_eq!(event["kv"]["key"], b64("a/x"));
}
