//! Stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::http::{Reply, Request, Server};

/// Time until the store answers, as on the pages of the deployments.
const ANSWER: Duration = Duration::from_millis(4);
const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    /// Standard base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Revision, key and the item as written; `None` for a removal.
    history: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    last_lease: u64,
    /// End and duration of leases.
    leases: BTreeMap<u64, (Instant, u64)>,
    /// Name of the instance whose write of a pool's claim came last, by pool.
    leaders: BTreeMap<String, String>,
    /// Number of reads of the workers' entries, by instance.
    registry_reads: BTreeMap<String, u64>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

/// The path of one instance to the store.
pub struct Gate {
    pub address: SocketAddr,
    cut: AtomicBool,
}

impl Gate {
    /// Partitions the instance from the store, or heals that.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }
}

impl Store {
    pub fn start() -> Arc<Self> {
        let store = Arc::new(Self::default());
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        store
    }

    /// Opens a listener for one instance.
    pub fn gate(self: &Arc<Self>, instance: &str) -> Arc<Gate> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let gate = Arc::new(Gate {
            address: listener.local_addr().unwrap(),
            cut: AtomicBool::new(false),
        });
        let (store, passed) = (Arc::clone(self), Arc::clone(&gate));
        let instance = instance.to_owned();
        Server::start(listener, move |request| {
            if passed.is_cut() {
                // Lost in the partition.
                while passed.is_cut() {
                    thread::sleep(Duration::from_millis(10));
                }
                return Reply::Close;
            }
            thread::sleep(ANSWER / 2);
            let (status, body) = store.handle(&instance, &request);
            thread::sleep(ANSWER / 2);
            let mut was_cut = false;
            while passed.is_cut() {
                was_cut = true;
                thread::sleep(Duration::from_millis(10));
            }
            match was_cut {
                true => Reply::Close,
                false => Reply::Answer(status, body),
            }
        });
        gate
    }

    /// A write of the operator or of a worker.
    pub fn put(&self, key: &str, value: &Value) {
        let mut state = self.state.lock().unwrap();
        state.write(key, STANDARD.encode(value.to_string()), 0);
        self.changed.notify_all();
    }

    /// The instance that last wrote the claim on a pool under a condition.
    pub fn leader(&self, pool: &str) -> Option<String> {
        self.state.lock().unwrap().leaders.get(pool).cloned()
    }

    /// Waits until an instance has read the workers' entries; it is an error if it doesn't.
    pub fn wait_for_registry_read(&self, instance: &str) -> Result<(), String> {
        let reads = || {
            let state = self.state.lock().unwrap();
            state.registry_reads.get(instance).copied().unwrap_or(0)
        };
        let before = reads();
        let until = Instant::now() + Duration::from_secs(3);
        while reads() == before {
            if Instant::now() > until {
                return Err(format!("{instance} doesn't read the workers' entries"));
            }
            thread::sleep(Duration::from_millis(1));
        }
        Ok(())
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in &ended {
            state.end_lease(*lease);
        }
        if !ended.is_empty() {
            self.changed.notify_all();
        }
    }

    fn handle(&self, instance: &str, request: &Request) -> (u16, Value) {
        let path = request.path.as_str();
        if request
            .query
            .get("prefix")
            .is_some_and(|prefix| prefix == "servers/")
        {
            let mut state = self.state.lock().unwrap();
            *state.registry_reads.entry(instance.to_owned()).or_default() += 1;
        }
        match (request.method.as_str(), path) {
            ("GET", "/api/kv-key") => {
                let state = self.state.lock().unwrap();
                let key = &request.query["key"];
                match state.items.get(key) {
                    Some(item) => {
                        let mut body = item_body(key, item);
                        body["as_of"] = json!(state.revision);
                        (200, body)
                    }
                    None => (404, json!({"as_of": state.revision})),
                }
            }
            ("GET", "/api/kv-range") => {
                let state = self.state.lock().unwrap();
                let prefix = &request.query["prefix"];
                let after = request.query.get("after").map_or("", String::as_str);
                let items = state.items.iter();
                let mut items: Vec<Value> = items
                    .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
                    .take(PAGE + 1)
                    .map(|(key, item)| item_body(key, item))
                    .collect();
                let has_more = items.len() > PAGE;
                items.truncate(PAGE);
                (
                    200,
                    json!({"items": items, "has_more": has_more, "as_of": state.revision}),
                )
            }
            ("GET", "/api/kv-watch") => self.watch(request),
            ("POST", "/api/kv-txn") => self.commit(instance, &request.body),
            ("POST", "/api/kv-lease") => {
                let mut state = self.state.lock().unwrap();
                let ttl_ms = request.body["ttl_ms"].as_u64().unwrap_or(1000).max(1000);
                state.last_lease += 1;
                let lease = state.last_lease;
                let end = Instant::now() + Duration::from_millis(ttl_ms);
                state.leases.insert(lease, (end, ttl_ms));
                (200, json!({"lease": lease, "ttl_ms": ttl_ms}))
            }
            _ if path.starts_with("/api/kv-keep/") => {
                let mut state = self.state.lock().unwrap();
                let lease = path.rsplit('/').next().and_then(|id| id.parse().ok());
                match lease.and_then(|lease: u64| state.leases.get_mut(&lease)) {
                    Some((end, ttl_ms)) => {
                        *end = Instant::now() + Duration::from_millis(*ttl_ms);
                        (200, json!({"ttl_ms": *ttl_ms}))
                    }
                    None => (404, Value::Null),
                }
            }
            _ if path.starts_with("/api/kv-lease-end/") => {
                let mut state = self.state.lock().unwrap();
                let lease = path.rsplit('/').next().and_then(|id| id.parse().ok());
                state.end_lease(lease.unwrap_or(0));
                self.changed.notify_all();
                (200, Value::Null)
            }
            _ => (400, Value::Null),
        }
    }

    fn watch(&self, request: &Request) -> (u16, Value) {
        let prefix = &request.query["prefix"];
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse().ok());
        let after: u64 = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        loop {
            let events: Vec<Value> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_body(key, item),
                    None => json!({"key": key, "revision": revision, "deleted": true}),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, json!({"events": events, "as_of": state.revision}));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn commit(&self, instance: &str, body: &Value) -> (u16, Value) {
        let none = Vec::new();
        let rows = |name: &str| body[name].as_array().unwrap_or(&none).clone();
        let mut state = self.state.lock().unwrap();
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let conditions = rows("if_rev");
        let holds = |row: &Value| {
            let known = state.items.get(row["key"].as_str().unwrap_or_default());
            known.map_or(0, |item| item.revision) == row["revision"].as_u64().unwrap_or(0)
        };
        if !conditions.iter().all(holds) {
            let items: Vec<Value> = conditions
                .iter()
                .filter_map(|row| {
                    let key = row["key"].as_str()?;
                    Some(item_body(key, state.items.get(key)?))
                })
                .collect();
            return (412, json!({ "items": items }));
        }
        let writes = rows("writes");
        let removes = rows("remove");
        let keys = writes.iter().map(|row| text(&row["key"]));
        let mut keys = keys.chain(removes.iter().map(text));
        if keys.any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
            return (403, Value::Null);
        }
        let lease_of = |row: &Value| row["lease"].as_u64().unwrap_or(0);
        let is_gone = |row: &Value| lease_of(row) > 0 && !state.leases.contains_key(&lease_of(row));
        if writes.iter().any(is_gone) {
            return (404, Value::Null);
        }
        for row in &writes {
            let key = text(&row["key"]);
            if let Some(pool) = key.strip_prefix("trefoilbay/owners/") {
                state.leaders.insert(pool.to_owned(), instance.to_owned());
            }
            state.write(&key, text(&row["value"]), lease_of(row));
        }
        for key in &removes {
            state.remove(&text(key));
        }
        self.changed.notify_all();
        (200, json!({"revision": state.revision}))
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let items = self.items.iter();
        let keys: Vec<String> = items
            .filter(|(_, item)| lease > 0 && item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

fn item_body(key: &str, item: &Item) -> Value {
    json!({
        "key": key, "value": item.value, "revision": item.revision,
        "created": item.created, "lease": item.lease,
    })
}
