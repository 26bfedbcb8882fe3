//! In-memory key-value store with leases and a history of changes.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::{Duration, Instant},
};

use super::messages::{
    Blob, Compare, CompareResult, CompareTarget, DeleteRangeRequest, DeleteRangeResponse, Event,
    EventKind, Header, Int64, KeyValue, LeaseResponse, PutRequest, PutResponse, RangeRequest,
    RangeResponse, RequestOp, ResponseOp, TxnRequest, TxnResponse,
};

/// Chosen lease IDs start after this one.
const LEASE_IDS_START: i64 = 7_000;
const SECOND_MS: u64 = 1_000;

/// A key or a range of keys `[key, end)`, encoded as in etcd.
#[derive(Clone, Debug)]
pub struct KeyRange {
    key: Vec<u8>,
    end: Vec<u8>,
}

impl KeyRange {
    /// Creates a range from the fields `key` and `range_end` of a request.
    pub fn new(key: &Blob, end: &Blob) -> Self {
        Self {
            key: key.0.clone(),
            end: end.0.clone(),
        }
    }

    pub fn contains(&self, key: &[u8]) -> bool {
        match self.end.as_slice() {
            [] => key == self.key,
            [0] => key >= self.key.as_slice(),
            end => key >= self.key.as_slice() && key < end,
        }
    }
}

#[derive(Debug)]
struct Lease {
    ttl_s: i64,
    expires: Instant,
    keys: BTreeSet<Vec<u8>>,
}

/// The platform's key-value store.
#[derive(Debug)]
pub struct Store {
    revision: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    history: VecDeque<Event>,
    history_max: usize,
    /// Latest revision whose changes have been discarded.
    compacted_revision: i64,
    leases: HashMap<i64, Lease>,
    last_lease_id: i64,
}

impl Store {
    /// Creates an empty store that keeps the latest `history_max` changes.
    pub fn new(history_max: usize) -> Self {
        Self {
            revision: 1,
            keys: BTreeMap::new(),
            history: VecDeque::new(),
            history_max,
            compacted_revision: 0,
            leases: HashMap::new(),
            last_lease_id: LEASE_IDS_START,
        }
    }

    /// Header of a response at the current revision.
    pub fn header(&self) -> Header {
        Header {
            cluster_id: Int64(1),
            member_id: Int64(1),
            revision: Int64(self.revision),
        }
    }

    /// Current revision.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Latest revision whose changes have been discarded; 0 if there is none.
    pub fn compacted_revision(&self) -> i64 {
        self.compacted_revision
    }

    /// Changes of keys in `range` at revision `from` or later.
    pub fn events_from(&self, range: &KeyRange, from: i64) -> Vec<Event> {
        self.history
            .iter()
            .filter(|event| event.kv.mod_revision.0 >= from)
            .filter(|event| range.contains(&event.kv.key.0))
            .cloned()
            .collect()
    }

    /// Executes a read.
    pub fn range(&self, request: &RangeRequest) -> RangeResponse {
        let range = KeyRange::new(&request.key, &request.range_end);
        let matching = self.matching(&range);
        let count = matching.len();
        let limit = match usize::try_from(request.limit.0) {
            Ok(0) | Err(_) => count,
            Ok(limit) => limit,
        };
        let returned = if request.count_only { 0 } else { limit };
        let mut kvs: Vec<_> = matching.into_iter().take(returned).cloned().collect();
        if request.keys_only {
            kvs.iter_mut().for_each(|kv| kv.value = Blob::default());
        }
        RangeResponse {
            header: self.header(),
            more: limit < count,
            kvs,
            count: Int64(count as i64),
        }
    }

    fn matching(&self, range: &KeyRange) -> Vec<&KeyValue> {
        self.keys
            .range(range.key.clone()..)
            .take_while(|(key, _)| range.contains(key))
            .map(|(_, kv)| kv)
            .collect()
    }

    /// Writes a key at a new revision.
    pub fn put(&mut self, request: &PutRequest) -> PutResponse {
        self.revision += 1;
        self.apply_put(request)
    }

    /// Deletes keys; at a new revision, if any key exists.
    pub fn delete_range(&mut self, request: &DeleteRangeRequest) -> DeleteRangeResponse {
        let range = KeyRange::new(&request.key, &request.range_end);
        if !self.matching(&range).is_empty() {
            self.revision += 1;
        }
        self.apply_delete(request)
    }

    /// Executes a transaction; all its changes have the same revision.
    pub fn txn(&mut self, request: &TxnRequest) -> TxnResponse {
        let succeeded = request
            .compare
            .iter()
            .all(|compare| self.is_satisfied(compare));
        let operations = match succeeded {
            true => &request.success,
            false => &request.failure,
        };
        if operations.iter().any(|operation| self.modifies(operation)) {
            self.revision += 1;
        }
        let responses = operations
            .iter()
            .map(|operation| self.execute(operation))
            .collect();
        TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        }
    }

    fn modifies(&self, operation: &RequestOp) -> bool {
        match operation {
            RequestOp::Range(_) => false,
            RequestOp::Put(_) => true,
            RequestOp::DeleteRange(request) => {
                let range = KeyRange::new(&request.key, &request.range_end);
                !self.matching(&range).is_empty()
            }
        }
    }

    fn execute(&mut self, operation: &RequestOp) -> ResponseOp {
        match operation {
            RequestOp::Range(request) => ResponseOp::Range(self.range(request)),
            RequestOp::Put(request) => ResponseOp::Put(self.apply_put(request)),
            RequestOp::DeleteRange(request) => ResponseOp::DeleteRange(self.apply_delete(request)),
        }
    }

    fn is_satisfied(&self, compare: &Compare) -> bool {
        let found = self.keys.get(&compare.key.0);
        let number = |pick: fn(&KeyValue) -> Int64| found.map(pick).unwrap_or_default();
        let ordering = match compare.target {
            CompareTarget::Version => number(|kv| kv.version).cmp(&compare.version),
            CompareTarget::Create => number(|kv| kv.create_revision).cmp(&compare.create_revision),
            CompareTarget::Mod => number(|kv| kv.mod_revision).cmp(&compare.mod_revision),
            CompareTarget::Lease => number(|kv| kv.lease).cmp(&compare.lease),
            CompareTarget::Value => match found {
                Some(kv) => kv.value.cmp(&compare.value),
                None => return false,
            },
        };
        match compare.result {
            CompareResult::Equal => ordering.is_eq(),
            CompareResult::NotEqual => ordering.is_ne(),
            CompareResult::Greater => ordering.is_gt(),
            CompareResult::Less => ordering.is_lt(),
        }
    }

    fn apply_put(&mut self, request: &PutRequest) -> PutResponse {
        let revision = Int64(self.revision);
        let previous = self.keys.get(&request.key.0);
        let kv = KeyValue {
            key: request.key.clone(),
            create_revision: previous.map_or(revision, |kv| kv.create_revision),
            mod_revision: revision,
            version: Int64(previous.map_or(0, |kv| kv.version.0) + 1),
            value: request.value.clone(),
            lease: request.lease,
        };
        let previous_lease = previous.map(|kv| kv.lease.0);
        if let Some(lease) = previous_lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.remove(&request.key.0);
        }
        if let Some(lease) = self.leases.get_mut(&request.lease.0) {
            lease.keys.insert(request.key.0.clone());
        }
        self.keys.insert(request.key.0.clone(), kv.clone());
        self.record_event(EventKind::Put, kv);
        PutResponse {
            header: self.header(),
        }
    }

    fn apply_delete(&mut self, request: &DeleteRangeRequest) -> DeleteRangeResponse {
        let range = KeyRange::new(&request.key, &request.range_end);
        let found: Vec<_> = self
            .matching(&range)
            .iter()
            .map(|kv| kv.key.clone())
            .collect();
        found.iter().for_each(|key| self.delete_key(key));
        DeleteRangeResponse {
            header: self.header(),
            deleted: Int64(found.len() as i64),
        }
    }

    fn delete_key(&mut self, key: &Blob) {
        let Some(previous) = self.keys.remove(&key.0) else {
            return;
        };
        if let Some(lease) = self.leases.get_mut(&previous.lease.0) {
            lease.keys.remove(&key.0);
        }
        let kv = KeyValue {
            key: key.clone(),
            mod_revision: Int64(self.revision),
            ..KeyValue::default()
        };
        self.record_event(EventKind::Delete, kv);
    }

    fn record_event(&mut self, kind: EventKind, kv: KeyValue) {
        self.history.push_back(Event { kind, kv });
        while self.history.len() > self.history_max {
            if let Some(event) = self.history.pop_front() {
                self.compacted_revision = event.kv.mod_revision.0;
            }
        }
    }

    /// Whether a lease exists; true for 0, which stands for no lease.
    pub fn has_lease(&self, id: Int64) -> bool {
        id.0 == 0 || self.leases.contains_key(&id.0)
    }

    /// Grants a lease of `ttl` seconds; `None` if the ID is in use.
    pub fn grant(&mut self, id: Int64, ttl: Int64, now: Instant) -> Option<LeaseResponse> {
        let id = match id.0 {
            0 => self.next_lease_id(),
            id => id,
        };
        if self.leases.contains_key(&id) {
            return None;
        }
        let lease = Lease {
            ttl_s: ttl.0,
            expires: now + ttl_duration(ttl.0),
            keys: BTreeSet::new(),
        };
        self.leases.insert(id, lease);
        Some(self.lease_response(id, ttl.0))
    }

    fn next_lease_id(&mut self) -> i64 {
        self.last_lease_id += 1;
        self.last_lease_id
    }

    fn lease_response(&self, id: i64, ttl_s: i64) -> LeaseResponse {
        LeaseResponse {
            header: self.header(),
            id: Int64(id),
            ttl: Int64(ttl_s),
        }
    }

    /// Renews a lease; the response's time to live is 0 if the lease does not exist.
    pub fn keep_alive(&mut self, id: Int64, now: Instant) -> LeaseResponse {
        let ttl_s = match self.leases.get_mut(&id.0) {
            Some(lease) => {
                lease.expires = now + ttl_duration(lease.ttl_s);
                lease.ttl_s
            }
            None => 0,
        };
        self.lease_response(id.0, ttl_s)
    }

    /// Revokes a lease and deletes its keys; false if the lease does not exist.
    pub fn revoke(&mut self, id: Int64) -> bool {
        let Some(lease) = self.leases.remove(&id.0) else {
            return false;
        };
        if !lease.keys.is_empty() {
            self.revision += 1;
        }
        lease
            .keys
            .into_iter()
            .for_each(|key| self.delete_key(&Blob(key)));
        true
    }

    /// Revokes the leases that have expired by `now`; true if there were any.
    pub fn expire_leases(&mut self, now: Instant) -> bool {
        let expired: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(&id, _)| Int64(id))
            .collect();
        expired.iter().for_each(|&id| {
            self.revoke(id);
        });
        !expired.is_empty()
    }
}

fn ttl_duration(ttl_s: i64) -> Duration {
    let ttl_s = u64::try_from(ttl_s).unwrap_or(0);
    Duration::from_millis(ttl_s * SECOND_MS)
}
