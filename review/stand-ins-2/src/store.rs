//! The platform's store: keys with revisions, transactions, watches and leases.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::http::{Received, serve};

const PAGE_ITEMS: usize = 500;

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Revision and event of each change.
    history: Vec<(u64, Value)>,
    revision: u64,
    last_lease: u64,
    leases: BTreeMap<u64, (Instant, u64)>,
}

#[derive(Clone, Default)]
pub struct Store(Rc<RefCell<State>>);

impl Store {
    /// Serves one machine, which the store turns away while `refuses` is set.
    pub async fn start(
        &self,
        stop: watch::Receiver<bool>,
        refuses: Rc<Cell<bool>>,
    ) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let store = self.clone();
        serve(listener, stop, move |request| {
            let (store, refuses) = (store.clone(), Rc::clone(&refuses));
            async move {
                match refuses.get() {
                    true => (429, Value::Null),
                    false => store.handle(request).await,
                }
            }
        });
        Ok(address)
    }

    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<Value> {
        let state = self.0.borrow();
        let value = STANDARD.decode(&state.items.get(key)?.value).ok()?;
        serde_json::from_slice(&value).ok()
    }

    /// Writes of the operator and the workers.
    pub fn put(&self, key: &str, value: &Value) {
        let mut state = self.0.borrow_mut();
        state.revision += 1;
        state.write(key, &STANDARD.encode(value.to_string()), 0);
    }

    async fn handle(&self, request: Received) -> (u16, Value) {
        self.0.borrow_mut().expire_leases();
        let path = request.path.as_str();
        if path == "/api/kv-watch" {
            return self.watch(&request).await;
        }
        let mut state = self.0.borrow_mut();
        match (request.method.as_str(), path) {
            ("GET", "/api/kv-key") => state.item(&request),
            ("GET", "/api/kv-range") => state.range(&request),
            ("POST", "/api/kv-txn") => state.transact(&request.body),
            ("POST", "/api/kv-lease") => state.grant(&request.body),
            ("POST", path) => match path.strip_prefix("/api/kv-keep/") {
                Some(lease) => state.keep(lease.parse().unwrap_or(0)),
                None => (404, Value::Null),
            },
            ("DELETE", path) => match path.strip_prefix("/api/kv-lease-end/") {
                Some(lease) => state.end_lease(lease.parse().unwrap_or(0)),
                None => (404, Value::Null),
            },
            _ => (404, Value::Null),
        }
    }

    async fn watch(&self, request: &Received) -> (u16, Value) {
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let until =
            Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
        let after = number("after").unwrap_or(0);
        let prefix = request.query("prefix").unwrap_or_default();
        loop {
            {
                let state = self.0.borrow();
                let news = state.history.iter().filter(|(revision, event)| {
                    *revision > after
                        && event["key"]
                            .as_str()
                            .is_some_and(|key| key.starts_with(prefix))
                });
                let events: Vec<&Value> = news.map(|(_, event)| event).collect();
                if !events.is_empty() || Instant::now() >= until {
                    return (200, json!({"events": events, "as_of": state.revision}));
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

impl State {
    fn write(&mut self, key: &str, value: &str, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let value = value.to_owned();
        let event = json!({"key": key, "value": value, "revision": revision, "created": created,
            "lease": lease});
        self.history.push((revision, event));
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = json!({"key": key, "revision": self.revision, "deleted": true});
            self.history.push((self.revision, event));
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.0 <= now)
            .map(|(&id, _)| id)
            .collect();
        ended.into_iter().for_each(|id| drop(self.end_lease(id)));
    }

    fn end_lease(&mut self, lease: u64) -> (u16, Value) {
        if self.leases.remove(&lease).is_none() {
            return (404, Value::Null);
        }
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        keys.iter().for_each(|key| self.delete(key));
        (200, json!({}))
    }

    fn grant(&mut self, body: &Value) -> (u16, Value) {
        let ttl_ms = body["ttl_ms"].as_u64().unwrap_or(1000).clamp(1000, 600_000);
        self.last_lease += 1;
        let until = Instant::now() + Duration::from_millis(ttl_ms);
        self.leases.insert(self.last_lease, (until, ttl_ms));
        (200, json!({"lease": self.last_lease, "ttl_ms": ttl_ms}))
    }

    fn keep(&mut self, lease: u64) -> (u16, Value) {
        let Some((until, ttl_ms)) = self.leases.get_mut(&lease) else {
            return (404, Value::Null);
        };
        *until = Instant::now() + Duration::from_millis(*ttl_ms);
        (200, json!({"ttl_ms": *ttl_ms}))
    }

    fn encode(key: &str, item: &Item) -> Value {
        json!({"key": key, "value": item.value, "revision": item.revision,
            "created": item.created, "lease": item.lease})
    }

    fn item(&self, request: &Received) -> (u16, Value) {
        let key = request.query("key").unwrap_or_default();
        let Some(item) = self.items.get(key) else {
            return (404, Value::Null);
        };
        let mut body = Self::encode(key, item);
        body["as_of"] = json!(self.revision);
        (200, body)
    }

    fn range(&self, request: &Received) -> (u16, Value) {
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let items = self.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<Value> = items.map(|(key, item)| Self::encode(key, item)).collect();
        let has_more = items.len() > PAGE_ITEMS;
        let page = &items[..items.len().min(PAGE_ITEMS)];
        (
            200,
            json!({"items": page, "has_more": has_more, "as_of": self.revision}),
        )
    }

    fn transact(&mut self, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let revision_of = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let conditions = rows("if_rev");
        let key_of = |row: &Value| row["key"].as_str().unwrap_or_default().to_owned();
        if conditions
            .iter()
            .any(|row| Some(revision_of(&key_of(row))) != row["revision"].as_u64())
        {
            let current = conditions.iter().filter_map(|row| {
                let key = key_of(row);
                Some(Self::encode(&key, self.items.get(&key)?))
            });
            return (412, json!({"items": current.collect::<Vec<_>>()}));
        }
        let writes = rows("writes");
        let lease_of = |row: &Value| row["lease"].as_u64().unwrap_or(0);
        if writes
            .iter()
            .any(|row| lease_of(row) != 0 && !self.leases.contains_key(&lease_of(row)))
        {
            return (404, Value::Null);
        }
        let removes = rows("remove");
        let mut keys = writes.iter().map(key_of).chain(
            removes
                .iter()
                .filter_map(|key| Some(key.as_str()?.to_owned())),
        );
        if keys.any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
            return (403, Value::Null);
        }
        self.revision += 1;
        for row in &writes {
            self.write(
                &key_of(row),
                row["value"].as_str().unwrap_or_default(),
                lease_of(row),
            );
        }
        for key in &removes {
            self.delete(key.as_str().unwrap_or_default());
        }
        (200, json!({"revision": self.revision}))
    }
}
