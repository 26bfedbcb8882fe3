//! Injected faults and counters of calls of the fake platform.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Request header in which an instance names itself.
pub const INSTANCE_HEADER: &str = "trefoil-instance";

/// Current faults.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// The connections of all calls and watches are closed.
    pub down: bool,
    /// Delay of every call, in milliseconds.
    pub slow_ms: u64,
    /// Number of writes to come whose response is dropped after they took effect.
    pub drop_answers: u64,
    /// Delay of changes of the instance list, in milliseconds.
    pub instance_list_lag_ms: u64,
    /// Instances whose calls are refused.
    pub block_instances: Vec<String>,
}

impl Faults {
    /// Whether a call from `instance` is refused.
    pub fn refuses(&self, instance: Option<&str>) -> bool {
        let is_blocked = |name| self.block_instances.iter().any(|other| other == name);
        self.down || instance.is_some_and(is_blocked)
    }
}

/// A partial update of the faults; `None` leaves a field unchanged.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultUpdate {
    /// See [`Faults::down`].
    pub down: Option<bool>,
    /// Sets [`Faults::down`] for a time, in milliseconds.
    pub down_for_ms: Option<u64>,
    /// See [`Faults::slow_ms`].
    pub slow_ms: Option<u64>,
    /// See [`Faults::drop_answers`].
    pub drop_answers: Option<u64>,
    /// See [`Faults::instance_list_lag_ms`].
    pub instance_list_lag_ms: Option<u64>,
    /// See [`Faults::block_instances`].
    pub block_instances: Option<Vec<String>>,
}

impl FaultUpdate {
    /// Applies the update to `faults`.
    pub fn apply(&self, faults: &mut Faults) {
        let down = self.down_for_ms.map(|_| true).or(self.down);
        set(&mut faults.down, &down);
        set(&mut faults.slow_ms, &self.slow_ms);
        set(&mut faults.drop_answers, &self.drop_answers);
        set(&mut faults.instance_list_lag_ms, &self.instance_list_lag_ms);
        set(&mut faults.block_instances, &self.block_instances);
    }
}

fn set<T: Clone>(field: &mut T, update: &Option<T>) {
    if let Some(value) = update {
        *field = value.clone();
    }
}

/// Calls of the key-value service.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Call {
    Range,
    Put,
    DeleteRange,
    Txn,
    LeaseGrant,
    LeaseKeepalive,
    LeaseRevoke,
    Watch,
}

/// Counters of calls.
#[expect(missing_docs, reason = "most fields are named after etcd's calls")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    pub range: u64,
    pub put: u64,
    pub delete_range: u64,
    pub txn: u64,
    pub lease_grant: u64,
    pub lease_keepalive: u64,
    pub lease_revoke: u64,
    /// Watches started.
    pub watch: u64,
    /// Watches that are open now.
    pub watches_waiting: u64,
    /// Sum of the calls above; started watches count as one call.
    pub calls: u64,
    /// Calls refused by [`Faults::down`] or [`Faults::block_instances`]; not in `calls` if refused
    /// on arrival.
    pub refused: u64,
    /// Responses dropped after the write took effect.
    pub dropped_answers: u64,
}

impl Counters {
    /// Counts a call.
    pub(crate) fn count(&mut self, call: Call) {
        self.calls += 1;
        let counter = match call {
            Call::Range => &mut self.range,
            Call::Put => &mut self.put,
            Call::DeleteRange => &mut self.delete_range,
            Call::Txn => &mut self.txn,
            Call::LeaseGrant => &mut self.lease_grant,
            Call::LeaseKeepalive => &mut self.lease_keepalive,
            Call::LeaseRevoke => &mut self.lease_revoke,
            Call::Watch => &mut self.watch,
        };
        *counter += 1;
    }
}
