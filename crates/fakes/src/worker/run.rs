//! Handles task requests of a fake backend server.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode, header::HeaderValue};
use serde::{Deserialize, Serialize};
use serde_json::{Value, value::RawValue};
use tokio::{sync::OwnedSemaphorePermit, time::sleep};

use super::{
    BackendServer, Shared,
    faults::WorkerFaults,
    record::{STARTS_MAX, TaskStart, body_hash, unix_ms},
};
use crate::http::{self, CloseConnection, HandlerResult};

/// Request and response header that names the task.
pub const TASK_HEADER: &str = "trefoil-task";
/// Task named by responses under [`WorkerFaults::wrong_task`].
const OTHER_TASK: &str = "0000000000000-other/0/1";
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Payload of a task.
#[derive(Debug, Deserialize)]
struct Payload {
    #[serde(default)]
    run_ms: f64,
    #[serde(default)]
    result: Option<Box<RawValue>>,
    #[serde(default)]
    fail: bool,
}

#[derive(Debug, Serialize)]
struct TaskResponse<'a> {
    worker: &'a str,
    result: &'a Option<Box<RawValue>>,
}

/// Marks the start as dropped unless its task was answered.
struct StartGuard {
    shared: Arc<Shared>,
    /// Index of the recorded start.
    start: Option<usize>,
    answered: bool,
}

impl Drop for StartGuard {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        self.shared.counters().dropped += 1;
        if let Some(start) = self.start {
            self.shared.starts()[start].dropped = true;
        }
    }
}

/// Handles one task request.
pub(super) async fn run_task(
    shared: Arc<Shared>,
    server: Arc<BackendServer>,
    headers: HeaderMap,
    body: Bytes,
) -> HandlerResult {
    shared.counters().requests += 1;
    let Ok(payload) = http::parse_json::<Payload>(&body) else {
        shared.counters().malformed += 1;
        return http::error(StatusCode::BAD_REQUEST, "invalid task payload");
    };
    let faults = server.faults();
    if faults.refuse_all {
        shared.counters().refused_ordered += 1;
        return http::error(
            StatusCode::SERVICE_UNAVAILABLE,
            "refused by an injected fault",
        );
    }
    let Ok(slot) = Arc::clone(&server.slots).try_acquire_owned() else {
        shared.counters().refused_busy += 1;
        return http::error(StatusCode::SERVICE_UNAVAILABLE, "all slots are in use");
    };
    let task = headers.get(TASK_HEADER).cloned();
    let mut guard = record_start(&shared, &server, task.as_ref(), &payload, &body);
    occupy_slot(slot, &faults, payload.run_ms).await?;
    if faults.drop_after_start {
        return Err(CloseConnection);
    }
    sleep(Duration::from_millis(faults.late_ms)).await;
    guard.answered = true;
    respond(&shared, &server, &faults, &payload, task)
}

/// Occupies the slot for the run time, even if the connection closes meanwhile.
async fn occupy_slot(
    slot: OwnedSemaphorePermit,
    faults: &WorkerFaults,
    run_ms: f64,
) -> Result<(), CloseConnection> {
    let run_us = run_ms.max(0.0) * faults.slow_factor * MICROS_PER_MILLI;
    let run_time = match faults.hang {
        true => Duration::MAX,
        false => Duration::from_micros(run_us as u64),
    };
    let running = tokio::spawn(async move {
        sleep(run_time).await;
        drop(slot);
    });
    running.await.map_err(|_| CloseConnection)
}

fn record_start(
    shared: &Arc<Shared>,
    server: &BackendServer,
    task: Option<&HeaderValue>,
    payload: &Payload,
    body: &[u8],
) -> StartGuard {
    let slots_in_use = (shared.slots - server.slots.available_permits()) as u64;
    let task = task.and_then(|task| task.to_str().ok()).unwrap_or_default();
    let start = TaskStart {
        task: task.to_owned(),
        worker: server.name.clone(),
        started_us: shared.started.elapsed().as_micros() as u64,
        wall_ms: unix_ms(),
        body_hash: body_hash(body),
        token: token_of(payload),
        dropped: false,
    };
    let mut starts = shared.starts();
    let mut counters = shared.counters();
    counters.starts += 1;
    counters.slots_held_max = counters.slots_held_max.max(slots_in_use);
    let is_recorded = starts.len() < STARTS_MAX;
    match is_recorded {
        true => starts.push(start),
        false => counters.starts_not_recorded += 1,
    }
    StartGuard {
        shared: Arc::clone(shared),
        start: is_recorded.then(|| starts.len() - 1),
        answered: false,
    }
}

fn token_of(payload: &Payload) -> Option<String> {
    let result = payload.result.as_ref()?;
    let result: Value = serde_json::from_str(result.get()).ok()?;
    result["token"].as_str().map(str::to_owned)
}

fn respond(
    shared: &Shared,
    server: &BackendServer,
    faults: &WorkerFaults,
    payload: &Payload,
    task: Option<HeaderValue>,
) -> HandlerResult {
    let task = match faults.wrong_task {
        true => Some(HeaderValue::from_static(OTHER_TASK)),
        false => task,
    };
    let mut response = match faults.fail_all || payload.fail {
        true => {
            shared.counters().failed += 1;
            http::error(StatusCode::INTERNAL_SERVER_ERROR, "the task failed")
        }
        false => {
            shared.counters().answered += 1;
            http::ok_json(&TaskResponse {
                worker: &server.name,
                result: &payload.result,
            })
        }
    }?;
    if let Some(task) = task {
        response.headers_mut().insert(TASK_HEADER, task);
    }
    Ok(response)
}
