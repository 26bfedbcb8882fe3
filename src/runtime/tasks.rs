//! Placements on their way to workers.

use std::sync::Arc;

use trefoil_core::engine::{Command, TaskId, TaskOutcome};

use super::Runtime;
use crate::util::telemetry::metrics::Outcome;
use crate::util::telemetry::trace::{Hop, TraceParent};
use crate::workers::WorkerCall;

/// One placement of a task, chosen by the engine.
#[derive(Debug)]
pub struct Placement {
    /// Id to report the outcome under.
    pub task: TaskId,
    /// What to send where.
    pub call: WorkerCall,
}

/// Sends a placement, reports its outcome, and goes on with the first
/// placement that the outcome makes room for.
pub async fn run(runtime: Arc<Runtime>, placement: Placement) {
    let mut out = Vec::new();
    let mut next = Some(placement);
    while let Some(placement) = next {
        let report = OutcomeReport::new(&runtime, placement.task);
        let outcome = call(&runtime, placement.call).await;
        report.finish(outcome, &mut out);
        next = execute(&runtime, &mut out);
    }
}

/// Calls the worker, within a span that the worker gets as its parent.
async fn call(runtime: &Runtime, mut call: WorkerCall) -> TaskOutcome {
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

fn execute(runtime: &Arc<Runtime>, commands: &mut Vec<Command>) -> Option<Placement> {
    let mut first = None;
    for command in commands.drain(..) {
        let Some(placement) = runtime.execute_one(command) else {
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

/// Owes the engine an outcome; dropped without one, it reports that the task
/// may have run.
struct OutcomeReport<'a> {
    runtime: &'a Arc<Runtime>,
    task: Option<TaskId>,
}

impl<'a> OutcomeReport<'a> {
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

impl Drop for OutcomeReport<'_> {
    fn drop(&mut self) {
        let mut out = Vec::new();
        let abandoned = TaskOutcome::MayHaveRun("the call was abandoned".to_owned());
        self.report(abandoned, &mut out);
        self.runtime.execute(&mut out);
    }
}
