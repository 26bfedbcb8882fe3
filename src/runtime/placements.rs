//! Sends placed tasks to workers and reports their outcomes to the engine.

use std::sync::Arc;

use trefoil_core::engine::{Command, TaskId, TaskOutcome};

use super::Runtime;
use crate::util::telemetry::metrics::Outcome;
use crate::util::telemetry::trace::{Hop, TraceParent};
use crate::workers::WorkerCall;

/// A task that the engine placed on a worker.
#[derive(Debug)]
pub(crate) struct Placement {
    /// Id under which the outcome is reported.
    pub(crate) task: TaskId,
    /// The call to the worker.
    pub(crate) call: WorkerCall,
}

/// Sends a placement and reports its outcome, then continues with the first
/// placement that the outcome made possible.
pub(crate) async fn run(runtime: Arc<Runtime>, placement: Placement) {
    let mut out = Vec::new();
    let mut next = Some(placement);
    while let Some(placement) = next {
        let guard = OutcomeGuard::new(&runtime, placement.task);
        let outcome = call_worker(&runtime, placement.call).await;
        guard.finish(outcome, &mut out);
        next = execute_commands(&runtime, &mut out);
    }
}

/// Calls the worker within a span that is sent to it as the parent.
async fn call_worker(runtime: &Runtime, mut call: WorkerCall) -> TaskOutcome {
    let Some(telemetry) = &runtime.telemetry else {
        return runtime.workers.call(&call).await;
    };
    let parent = call.traceparent.as_deref().and_then(TraceParent::parse);
    let mut span = telemetry.span(Hop::BackendServer, parent);
    if span.is_recording() {
        span.set_attribute("address", call.address.to_string());
        span.set_attribute("index", i64::from(call.index));
        span.set_attribute("attempt", i64::from(call.attempt));
        call.traceparent = span.trace_parent().map(|next| next.to_string().into());
    }
    let outcome = runtime.workers.call(&call).await;
    let ended = Outcome::from(&outcome);
    telemetry.metrics().record_task_outcome(ended);
    if ended != Outcome::Done {
        span.set_error(ended.label());
    }
    outcome
}

fn execute_commands(runtime: &Arc<Runtime>, commands: &mut Vec<Command>) -> Option<Placement> {
    let mut first = None;
    for command in commands.drain(..) {
        let Some(placement) = runtime.execute_command(command) else {
            continue;
        };
        if first.is_none() {
            first = Some(placement);
        } else {
            runtime.spawn(placement);
        }
    }
    first
}

/// Ensures that the engine receives an outcome: reports on drop that the task
/// may have run, unless an outcome was reported before.
struct OutcomeGuard<'a> {
    runtime: &'a Arc<Runtime>,
    task: Option<TaskId>,
}

impl<'a> OutcomeGuard<'a> {
    fn new(runtime: &'a Arc<Runtime>, task: TaskId) -> Self {
        Self {
            runtime,
            task: Some(task),
        }
    }

    fn finish(mut self, outcome: TaskOutcome, out: &mut Vec<Command>) {
        self.report(outcome, out);
    }

    fn report(&mut self, outcome: TaskOutcome, out: &mut Vec<Command>) {
        if let Some(task) = self.task.take() {
            let now = self.runtime.now();
            self.runtime.engine.task_finished(now, task, outcome, out);
        }
    }
}

impl Drop for OutcomeGuard<'_> {
    fn drop(&mut self) {
        let mut out = Vec::new();
        let aborted = TaskOutcome::MayHaveRun("the call was aborted".to_owned());
        self.report(aborted, &mut out);
        self.runtime.execute_commands(&mut out);
    }
}
