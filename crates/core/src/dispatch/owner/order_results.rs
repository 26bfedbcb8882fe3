//! What became of starts and stops.
//!
//! A rejected order was not carried out; an order without an answer may have
//! been, or may be yet (see [`lease_renewal`]); a refused fence ends
//! ownership, unless the order was outranked by a later one of this owner.

use super::*;

impl Owner {
    /// Takes in what became of a start.
    pub fn on_start_result(&mut self, now_ms: u64, answer: &OrderResult, out: &mut Vec<Command>) {
        if !answer.fence.same_ownership(self.fence) {
            return;
        }
        let Some(worker) = self.workers.get_mut(answer.worker) else {
            return;
        };
        let newest = answer.fence == worker.fence;
        let position = worker.position(&answer.task, answer.run_id);
        match answer.outcome {
            OrderOutcome::Done { clock_ms } => {
                worker.observe_clock(now_ms, clock_ms);
                if let Some(position) = position {
                    let ordered_ms = worker.runs[position].ordered_ms;
                    self.answer_times.answered(now_ms - ordered_ms);
                    let run = &mut worker.runs[position];
                    if matches!(run.state, RunState::Starting(_)) {
                        run.state = RunState::Running;
                        run.confirmed_ms = now_ms;
                    }
                }
            }
            OrderOutcome::NoAnswer if newest => {
                self.answer_times.unanswered();
                worker.raise_fence();
                out.push(Command::Log(LogEvent::run(
                    "start unanswered",
                    worker,
                    answer,
                )));
            }
            OrderOutcome::NoAnswer => self.answer_times.unanswered(),
            OrderOutcome::Fenced if newest => self.outranked(now_ms, answer.worker, out),
            OrderOutcome::WrongIncarnation => self.life_over(now_ms, answer.worker, out),
            OrderOutcome::Fenced | OrderOutcome::Rejected(_) => {
                out.push(Command::Log(LogEvent::run(
                    "start rejected",
                    worker,
                    answer,
                )));
                match answer.outcome {
                    OrderOutcome::Rejected(Rejection::Unhealthy) => {
                        worker.health.record_failure(now_ms)
                    }
                    OrderOutcome::Rejected(Rejection::OldRun) => self.run_seed += RUN_LEAP,
                    // What is known of it is wrong: look again.
                    OrderOutcome::Rejected(_) => worker.raise_fence(),
                    _ => {}
                }
                if let Some(position) = position {
                    let run = worker.runs.swap_remove(position);
                    // An order that a later one of this owner outranked says
                    // nothing against the worker.
                    let delay_ms = match answer.outcome {
                        OrderOutcome::Fenced => 0,
                        _ => RETRY_BACKOFF_MAX_MS,
                    };
                    self.requeue(now_ms, &run.owner, delay_ms);
                }
            }
        }
        self.dirty.insert(answer.worker);
        self.settle(now_ms, out);
    }

    /// Takes in what became of a stop; the run's end is listed by a hold.
    pub fn on_stop_result(&mut self, now_ms: u64, answer: &OrderResult, out: &mut Vec<Command>) {
        if !answer.fence.same_ownership(self.fence) {
            return;
        }
        let Some(worker) = self.workers.get_mut(answer.worker) else {
            return;
        };
        let newest = answer.fence == worker.fence;
        match answer.outcome {
            OrderOutcome::Done { clock_ms } => worker.observe_clock(now_ms, clock_ms),
            OrderOutcome::NoAnswer if newest => worker.raise_fence(),
            OrderOutcome::Fenced if newest => self.outranked(now_ms, answer.worker, out),
            OrderOutcome::WrongIncarnation => self.life_over(now_ms, answer.worker, out),
            OrderOutcome::NoAnswer | OrderOutcome::Fenced | OrderOutcome::Rejected(_) => {}
        }
        self.dirty.insert(answer.worker);
        self.settle(now_ms, out);
    }

    /// Another owner has taken the worker: this one is no longer the owner.
    pub(super) fn outranked(&mut self, now_ms: u64, key: WorkerKey, out: &mut Vec<Command>) {
        let worker = &mut self.workers[key];
        worker.fencing = FencingState::Superseded;
        out.push(Command::Log(LogEvent::worker("outranked", worker)));
        out.push(Command::Superseded);
        self.release(now_ms, out);
    }

    /// The worker's life is over, and all that ran there with it.
    pub(super) fn life_over(&mut self, now_ms: u64, key: WorkerKey, out: &mut Vec<Command>) {
        let Some(worker) = self.workers.remove(key) else {
            return;
        };
        self.worker_ids.remove(&worker.record.id);
        if self.clearance.fenced(&worker.record.id) {
            self.queue.invalidate();
        }
        self.dirty.remove(&key);
        out.push(Command::Log(LogEvent::worker(
            "worker incarnation ended",
            &worker,
        )));
        self.workers_lost(now_ms, vec![(key, worker.runs)], out);
    }
}
