//! Injected faults of fake backend servers.

use serde::{Deserialize, Serialize};

/// Current faults of one backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// Refuse every task before it starts.
    pub refuse_all: bool,
    /// Start every task and report it as failed.
    pub fail_all: bool,
    /// Factor on run times.
    pub slow_factor: f64,
    /// Responses name another task.
    pub wrong_task: bool,
    /// Connections are closed after the run, without a response.
    pub drop_after_start: bool,
    /// Delay of responses after the end of the run, in milliseconds.
    pub late_ms: u64,
    /// Started tasks never end and keep their slots.
    pub hang: bool,
}

impl Default for WorkerFaults {
    fn default() -> Self {
        Self {
            refuse_all: false,
            fail_all: false,
            slow_factor: 1.0,
            wrong_task: false,
            drop_after_start: false,
            late_ms: 0,
            hang: false,
        }
    }
}

/// A partial update of the faults; `None` leaves a field unchanged.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaultUpdate {
    /// Index of the backend server; `None` for all.
    pub worker: Option<usize>,
    /// See [`WorkerFaults::refuse_all`].
    pub refuse_all: Option<bool>,
    /// See [`WorkerFaults::fail_all`].
    pub fail_all: Option<bool>,
    /// See [`WorkerFaults::slow_factor`].
    pub slow_factor: Option<f64>,
    /// See [`WorkerFaults::wrong_task`].
    pub wrong_task: Option<bool>,
    /// See [`WorkerFaults::drop_after_start`].
    pub drop_after_start: Option<bool>,
    /// See [`WorkerFaults::late_ms`].
    pub late_ms: Option<u64>,
    /// See [`WorkerFaults::hang`].
    pub hang: Option<bool>,
}

impl WorkerFaultUpdate {
    /// Applies the update to `faults`.
    pub fn apply(&self, faults: &mut WorkerFaults) {
        set(&mut faults.refuse_all, self.refuse_all);
        set(&mut faults.fail_all, self.fail_all);
        set(&mut faults.slow_factor, self.slow_factor);
        set(&mut faults.wrong_task, self.wrong_task);
        set(&mut faults.drop_after_start, self.drop_after_start);
        set(&mut faults.late_ms, self.late_ms);
        set(&mut faults.hang, self.hang);
    }
}

fn set<T>(field: &mut T, update: Option<T>) {
    if let Some(value) = update {
        *field = value;
    }
}
