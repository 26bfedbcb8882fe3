//! Faults on order, and counters of calls.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Header by which an instance names itself to the platform.
pub const INSTANCE_HEADER: &str = "trefoil-instance";

/// Faults in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every call and watch has its connection closed.
    pub down: bool,
    /// Delay of every call, in milliseconds.
    pub slow_ms: u64,
    /// Answers to writes still to be dropped after they took effect.
    pub drop_answers: u64,
    /// Time until a change of the instance list can be read, in milliseconds.
    pub instance_list_lag_ms: u64,
    /// Instances that are cut off from the platform.
    pub block_instances: Vec<String>,
}

impl Faults {
    /// Whether a call of `instance` is refused.
    pub fn refuses(&self, instance: Option<&str>) -> bool {
        let blocked = |name| self.block_instances.iter().any(|other| other == name);
        self.down || instance.is_some_and(blocked)
    }
}

/// An order that changes the faults; fields left out stay as they are.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultUpdate {
    /// See [`Faults::down`].
    pub down: Option<bool>,
    /// Down at once, and up again after so many milliseconds.
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
    /// Changes `faults` as ordered.
    pub fn apply(&self, faults: &mut Faults) {
        let down = self.down_for_ms.map(|_| true).or(self.down);
        set(&mut faults.down, &down);
        set(&mut faults.slow_ms, &self.slow_ms);
        set(&mut faults.drop_answers, &self.drop_answers);
        set(&mut faults.instance_list_lag_ms, &self.instance_list_lag_ms);
        set(&mut faults.block_instances, &self.block_instances);
    }
}

fn set<T: Clone>(field: &mut T, order: &Option<T>) {
    if let Some(value) = order {
        *field = value.clone();
    }
}

/// Kinds of calls.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Call {
    /// Reads.
    Range,
    /// Writes one key.
    Put,
    /// Deletes.
    DeleteRange,
    /// Compares and swaps.
    Txn,
    /// Grants a lease.
    LeaseGrant,
    /// Renews a lease.
    LeaseKeepalive,
    /// Ends a lease.
    LeaseRevoke,
    /// Watches; counts as a call for as long as it waits.
    Watch,
}

/// Calls counted by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Reads.
    pub range: u64,
    /// Writes of one key.
    pub put: u64,
    /// Deletions.
    pub delete_range: u64,
    /// Transactions.
    pub txn: u64,
    /// Leases granted.
    pub lease_grant: u64,
    /// Leases renewed.
    pub lease_keepalive: u64,
    /// Leases revoked.
    pub lease_revoke: u64,
    /// Watches started.
    pub watch: u64,
    /// Watches waiting now.
    pub watches_waiting: u64,
    /// All of the calls above, watches among them.
    pub calls: u64,
    /// Calls refused while down or cut off, counted apart from those above.
    pub refused: u64,
    /// Answers dropped after the write took effect.
    pub dropped_answers: u64,
}

impl Counters {
    /// Counts a call.
    pub fn count(&mut self, call: Call) {
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
