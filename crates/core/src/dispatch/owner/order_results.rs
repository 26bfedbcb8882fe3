//! Results of start and stop orders.
//!
//! A rejected order was not carried out, nor was one that was not sent. An unanswered one may
//! have been, or may still be (see [`lease_renewal`]). A rejected fence ends ownership, unless this
//! owner itself has used a newer fence on the worker since.

use super::*;

impl Owner {
    /// Handles the result of a start order.
    pub fn on_start_result(&mut self, now_ms: u64, result: &OrderResult, out: &mut Vec<Command>) {
        if !result.fence.same_ownership(self.fence) {
            return;
        }
        let worker = self.workers.get(result.worker);
        let was_reborn = worker.is_some_and(|worker| worker.rebirth.is_some());
        let never_began = match result.outcome {
            OrderOutcome::WrongIncarnation
            | OrderOutcome::OtherIncarnation { .. }
            | OrderOutcome::NotSent => true,
            OrderOutcome::Fenced => was_reborn,
            _ => false,
        };
        if never_began {
            self.clear_loss_of_run(now_ms, &result.task, result.run_id);
        }
        let Some(worker) = self.workers.get_mut(result.worker) else {
            return;
        };
        let is_current = worker.is_current(result.fence);
        let is_newest = result.fence == worker.fence;
        let position = worker.position(&result.task, result.run_id);
        match result.outcome {
            OrderOutcome::Done { clock_ms } => {
                if is_current {
                    if let Some(position) = position {
                        let ordered_ms = worker.runs[position].ordered_ms;
                        worker.reset_clock_if_anew(now_ms, ordered_ms, clock_ms);
                    }
                    worker.observe_clock(now_ms, clock_ms);
                }
                if let Some(position) = position {
                    let ordered_ms = worker.runs[position].ordered_ms;
                    self.answer_timeout.record_answer(now_ms - ordered_ms);
                    let run = &mut worker.runs[position];
                    if matches!(run.state, RunState::Starting(_)) {
                        run.state = RunState::Running;
                        run.confirmed_ms = now_ms;
                    }
                }
            }
            OrderOutcome::NoAnswer => {
                self.answer_timeout.record_unanswered();
                if is_newest {
                    worker.raise_fence();
                }
                out.push(Command::Log(LogEvent::run(
                    "start unanswered",
                    worker,
                    result,
                )));
            }
            OrderOutcome::OtherIncarnation { born_ms } => {
                let rejected = position.map(|position| worker.runs.swap_remove(position));
                let sent_ms = rejected.as_ref().map(|run| run.ordered_ms);
                self.observe_incarnation(now_ms, result.worker, Some(born_ms), sent_ms, out);
                if let Some(run) = rejected {
                    self.requeue(now_ms, &run.owner, 0);
                }
            }
            OrderOutcome::NotSent => {
                self.answer_timeout.record_unanswered();
                if is_newest {
                    worker.raise_fence();
                    worker.backoff_until_ms = now_ms + RETRY_BACKOFF_MAX_MS;
                }
                out.push(Command::Log(LogEvent::run(
                    "start not sent",
                    worker,
                    result,
                )));
                if let Some(position) = position {
                    let run = worker.runs.swap_remove(position);
                    self.requeue(now_ms, &run.owner, 0);
                }
            }
            OrderOutcome::Fenced if is_newest => self.on_superseded(now_ms, result.worker, out),
            OrderOutcome::WrongIncarnation => {
                // It never began, so that its loss is none of its task's.
                let rejected = position.map(|position| worker.runs.swap_remove(position));
                self.on_incarnation_ended(now_ms, result.worker, out);
                if let Some(run) = rejected {
                    self.requeue(now_ms, &run.owner, 0);
                }
            }
            OrderOutcome::Fenced | OrderOutcome::Rejected(_) => {
                out.push(Command::Log(LogEvent::run(
                    "start rejected",
                    worker,
                    result,
                )));
                match result.outcome {
                    OrderOutcome::Rejected(Rejection::Unhealthy) => {
                        worker.health.record_failure(now_ms)
                    }
                    OrderOutcome::Rejected(Rejection::Congested) => {}
                    OrderOutcome::Rejected(Rejection::OldRun) => self.run_id_counter += RUN_ID_LEAP,
                    // The worker's state differs from what is known of it: fence it again,
                    // which lists its runs.
                    OrderOutcome::Rejected(_) => worker.raise_fence(),
                    _ => {}
                }
                if let Some(position) = position {
                    let run = worker.runs.swap_remove(position);
                    // Superseded by a newer order of this owner: no reason to wait.
                    let delay_ms = match result.outcome {
                        OrderOutcome::Fenced => 0,
                        _ => RETRY_BACKOFF_MAX_MS,
                    };
                    self.requeue(now_ms, &run.owner, delay_ms);
                }
            }
        }
        self.dirty_workers.insert(result.worker);
        self.schedule(now_ms, out);
    }

    /// Handles the result of a stop order. The run's completion is listed by a lease
    /// renewal.
    pub fn on_stop_result(&mut self, now_ms: u64, result: &OrderResult, out: &mut Vec<Command>) {
        if !result.fence.same_ownership(self.fence) {
            return;
        }
        let Some(worker) = self.workers.get_mut(result.worker) else {
            return;
        };
        let is_newest = result.fence == worker.fence;
        match result.outcome {
            OrderOutcome::Done { clock_ms } if worker.is_current(result.fence) => {
                worker.observe_clock(now_ms, clock_ms)
            }
            OrderOutcome::NoAnswer | OrderOutcome::NotSent if is_newest => worker.raise_fence(),
            OrderOutcome::Fenced if is_newest => self.on_superseded(now_ms, result.worker, out),
            OrderOutcome::WrongIncarnation => self.on_incarnation_ended(now_ms, result.worker, out),
            OrderOutcome::OtherIncarnation { born_ms } => {
                self.observe_incarnation(now_ms, result.worker, Some(born_ms), None, out);
            }
            OrderOutcome::Done { .. }
            | OrderOutcome::NoAnswer
            | OrderOutcome::NotSent
            | OrderOutcome::Fenced
            | OrderOutcome::Rejected(_) => {}
        }
        self.dirty_workers.insert(result.worker);
        self.schedule(now_ms, out);
    }

    /// Gives up ownership: the worker has accepted another owner's fence.
    pub(super) fn on_superseded(&mut self, now_ms: u64, key: WorkerKey, out: &mut Vec<Command>) {
        let worker = &mut self.workers[key];
        worker.fencing = FencingState::Superseded;
        out.push(Command::Log(LogEvent::worker("outranked", worker)));
        out.push(Command::Superseded);
        self.release(now_ms, out);
    }

    /// Removes a worker whose incarnation has ended, with all its runs.
    pub(super) fn on_incarnation_ended(
        &mut self,
        now_ms: u64,
        key: WorkerKey,
        out: &mut Vec<Command>,
    ) {
        let Some(worker) = self.workers.remove(key) else {
            return;
        };
        let record = &worker.record;
        self.worker_ids.remove(&record.id);
        self.ended_incarnations
            .insert(record.id.clone(), (record.address.clone(), record.born_ms));
        if self.predecessor.record_fenced(&worker.record.id) {
            self.queue.invalidate();
        }
        self.dirty_workers.remove(&key);
        out.push(Command::Log(LogEvent::worker(
            "worker incarnation ended",
            &worker,
        )));
        self.on_worker_crashed(now_ms, worker, out);
    }
}
