//! The platform's metadata store: items with revisions, transactions, watches and leases.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};
use crate::json::{Value, object};

const PAGE_ITEMS: usize = 500;
/// Time of an answer, by the sheets.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const LEASE_CHECK: Duration = Duration::from_millis(50);

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
    /// Revision, key and the item as it was written; `None` if it was deleted.
    history: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    next_lease: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
}

/// Address of the store for one instance, which the store may turn away.
#[derive(Clone)]
pub struct Gate {
    pub address: SocketAddr,
    is_refused: Arc<AtomicBool>,
}

impl Gate {
    /// Answers all calls of the instance with 429, or serves it again.
    pub fn set_refused(&self, is_refused: bool) {
        self.is_refused.store(is_refused, Ordering::Relaxed);
    }
}

/// Handle to the store.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
}

impl Store {
    pub fn start() -> Self {
        let store = Self {
            state: Arc::default(),
        };
        let leases = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(LEASE_CHECK);
                leases.expire_leases();
            }
        });
        store
    }

    /// Serves one instance at an address of its own.
    pub fn open_gate(&self, listener: TcpListener) -> Gate {
        let gate = Gate {
            address: listener.local_addr().expect("a bound listener"),
            is_refused: Arc::default(),
        };
        let (store, is_refused) = (self.clone(), Arc::clone(&gate.is_refused));
        http::serve(listener, move |_| {
            let (store, is_refused) = (store.clone(), Arc::clone(&is_refused));
            move |request| match is_refused.load(Ordering::Relaxed) {
                true => Reply::Send(429, Value::Null),
                false => store.handle(&request),
            }
        });
        gate
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    /// Writes a JSON value, as the operator and the workers do.
    pub fn put(&self, key: &str, value: &Value) {
        self.state()
            .write(key, encode_base64(value.to_string().as_bytes()), 0);
    }

    pub fn remove(&self, key: &str) {
        self.state().remove(key);
    }

    /// Decodes an item; `Null` if there is none.
    pub fn get(&self, key: &str) -> Value {
        let state = self.state();
        let bytes = state.items.get(key).map(|item| decode_base64(&item.value));
        let text = bytes.and_then(|bytes| String::from_utf8(bytes).ok());
        text.and_then(|text| crate::json::parse(&text))
            .unwrap_or(Value::Null)
    }

    fn expire_leases(&self) {
        let mut state = self.state();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (until, _))| *until < now)
            .map(|(&lease, _)| lease)
            .collect();
        for lease in ended {
            state.end_lease(lease);
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        thread::sleep(ANSWER_TIME);
        let path = request.path.as_str();
        let (status, body) = match path {
            "/api/kv-key" => self.state().read(request),
            "/api/kv-range" => self.state().range(request),
            "/api/kv-watch" => self.watch(request),
            "/api/kv-txn" => self.state().commit(&request.body),
            "/api/kv-lease" => self.state().grant(&request.body),
            _ => {
                let lease = path.rsplit('/').next().and_then(|id| id.parse().ok());
                let lease = lease.unwrap_or(0);
                let mut state = self.state();
                match path.starts_with("/api/kv-keep/") {
                    true => state.keep(lease),
                    false => state.end_lease(lease),
                }
            }
        };
        Reply::Send(status, body)
    }

    fn watch(&self, request: &Request) -> (u16, Value) {
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse().ok());
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + wait;
        loop {
            let (events, revision) = self.state().events(request, after);
            if !events.is_empty() || Instant::now() >= until {
                let body = object([("events", events.into()), ("as_of", revision.into())]);
                return (200, body);
            }
            thread::sleep(Duration::from_millis(2));
        }
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history
            .push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn read(&self, request: &Request) -> (u16, Value) {
        let key = request.query.get("key").map_or("", String::as_str);
        match self.items.get(key) {
            Some(item) => (200, item_value(key, item)),
            None => (404, Value::Null),
        }
    }

    fn range(&self, request: &Request) -> (u16, Value) {
        let text = |name: &str| request.query.get(name).map_or("", String::as_str);
        let (prefix, after) = (text("prefix"), text("after"));
        let items = self.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut items: Vec<Value> = items.map(|(key, item)| item_value(key, item)).collect();
        let has_more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        let body = object([
            ("items", items.into()),
            ("has_more", has_more.into()),
            ("as_of", self.revision.into()),
        ]);
        (200, body)
    }

    fn events(&self, request: &Request, after: u64) -> (Vec<Value>, u64) {
        let prefix = request.query.get("prefix").map_or("", String::as_str);
        let events = self.history.iter();
        let events = events.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
        let events = events.take(PAGE_ITEMS).map(|(at, key, item)| match item {
            Some(item) => item_value(key, item),
            None => object([
                ("key", key.as_str().into()),
                ("revision", (*at).into()),
                ("deleted", true.into()),
            ]),
        });
        (events.collect(), self.revision)
    }

    fn commit(&mut self, body: &Value) -> (u16, Value) {
        let key_of = |row: &Value| row.get("key").as_str().unwrap_or_default().to_owned();
        let conditions = body.get("if_rev").as_list();
        let holds = conditions.iter().all(|row| {
            let revision = self.items.get(&key_of(row)).map_or(0, |item| item.revision);
            Some(revision) == row.get("revision").as_u64()
        });
        if !holds {
            let items = conditions.iter().filter_map(|row| {
                let key = key_of(row);
                Some(item_value(&key, self.items.get(&key)?))
            });
            return (412, object([("items", items.collect::<Vec<_>>().into())]));
        }
        let lease_of = |row: &Value| row.get("lease").as_u64().unwrap_or(0);
        let writes = body.get("writes").as_list();
        let is_known = |lease: u64| lease == 0 || self.leases.contains_key(&lease);
        if !writes.iter().all(|row| is_known(lease_of(row))) {
            return (404, Value::Null);
        }
        for row in writes {
            let value = row.get("value").as_str().unwrap_or_default().to_owned();
            self.write(&key_of(row), value, lease_of(row));
        }
        for key in body.get("remove").as_list() {
            self.remove(key.as_str().unwrap_or_default());
        }
        (200, object([("revision", self.revision.into())]))
    }

    fn grant(&mut self, body: &Value) -> (u16, Value) {
        let ttl_ms = body.get("ttl_ms").as_u64().unwrap_or(1000).max(1000);
        let ttl = Duration::from_millis(ttl_ms);
        self.next_lease += 1;
        self.leases
            .insert(self.next_lease, (Instant::now() + ttl, ttl));
        let lease = self.next_lease;
        (
            200,
            object([("lease", lease.into()), ("ttl_ms", ttl_ms.into())]),
        )
    }

    fn keep(&mut self, lease: u64) -> (u16, Value) {
        match self.leases.get_mut(&lease) {
            Some((until, ttl)) => {
                *until = Instant::now() + *ttl;
                (200, object([("ttl_ms", (ttl.as_millis() as u64).into())]))
            }
            None => (404, Value::Null),
        }
    }

    fn end_lease(&mut self, lease: u64) -> (u16, Value) {
        if self.leases.remove(&lease).is_none() {
            return (404, Value::Null);
        }
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
        (200, object([]))
    }
}

fn item_value(key: &str, item: &Item) -> Value {
    object([
        ("key", key.into()),
        ("value", item.value.as_str().into()),
        ("revision", item.revision.into()),
        ("created", item.created.into()),
        ("lease", item.lease.into()),
    ])
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for position in 0..4 {
            let sextet = bits >> (18 - 6 * position) & 63;
            let is_padding = position > chunk.len();
            text.push(if is_padding {
                '='
            } else {
                BASE64[sextet as usize] as char
            });
        }
    }
    text
}

fn decode_base64(text: &str) -> Vec<u8> {
    let sextets = text
        .bytes()
        .filter_map(|byte| BASE64.iter().position(|&known| known == byte));
    let sextets: Vec<u32> = sextets.map(|sextet| sextet as u32).collect();
    let mut bytes = Vec::new();
    for chunk in sextets.chunks(4) {
        let bits =
            chunk.iter().fold(0, |bits, sextet| bits << 6 | sextet) << (6 * (4 - chunk.len()));
        let group = [(bits >> 16) as u8, (bits >> 8) as u8, bits as u8];
        bytes.extend(&group[..chunk.len() - 1]);
    }
    bytes
}
