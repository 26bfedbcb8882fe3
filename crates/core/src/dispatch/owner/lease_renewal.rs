//! Lease renewal, and recovery of unanswered orders.
//!
//! A worker with runs has one renewal open, which extends its lease and is answered
//! as soon as a run completes. An unanswered order may still be carried out, so the
//! fence is raised; the next renewal invalidates the order and lists whether it was
//! carried out. While the worker does not answer, its runs occupy capacity until
//! their leases have expired.

use super::super::limits::{
    ADOPTION_GRACE_MS, IDLE_ACK_DELAY_MS, IDLE_RETRY_BACKOFF_MAX_MS, LEASE_MAX_MS, LEASE_MS,
    RENEW_WAIT_MS,
};
use super::super::order::{ListedRun, RenewOutcome};
use super::super::worker::{OpenRenewal, Run};
use super::*;

impl Owner {
    /// Sends a lease renewal to a worker if one is due, or removes the worker if it has
    /// left the registry.
    pub(super) fn renew_if_due(&mut self, now_ms: u64, key: WorkerKey, out: &mut Vec<Command>) {
        if !self.workers.contains_key(key) {
            return;
        }
        let overdue_ms = self.max_origin_overdue_ms(now_ms, key);
        let worker = &mut self.workers[key];
        let unacked = worker.acked_completion < worker.last_completion;
        if worker.has_left(now_ms) && worker.runs.is_empty() && !unacked {
            // If the worker is listed again, it rejects any older fence.
            self.fence = self.fence.max(worker.fence);
            let id = worker.record.id.clone();
            self.workers.remove(key);
            self.worker_ids.remove(&id);
            return;
        }
        let is_open = worker
            .renewal
            .is_some_and(|renewal| renewal.fence == worker.fence);
        if (is_open && !worker.poll_due) || now_ms < worker.backoff_until_ms {
            return;
        }
        let started = |run: &Run| !matches!(run.state, RunState::Starting(_));
        let wait_ms = match worker.fencing {
            FencingState::Superseded => return,
            FencingState::Unfenced => 0,
            FencingState::Fenced if worker.poll_due => 0,
            FencingState::Fenced if worker.runs.iter().any(started) => RENEW_WAIT_MS,
            FencingState::Fenced if !worker.runs.is_empty() || !unacked => return,
            FencingState::Fenced if now_ms < worker.last_completion_ms + IDLE_ACK_DELAY_MS => {
                return;
            }
            FencingState::Fenced => 0,
        };
        // Runs that are being stopped, and starts that may not have arrived, do not
        // justify a longer lease.
        let running = |run: &Run| matches!(run.state, RunState::Running);
        let renews = !worker.last_renewal_unanswered && worker.runs.iter().any(running);
        let deadline_ms = match renews {
            true => worker.extend_lease(now_ms, LEASE_MS, overdue_ms),
            false => None,
        };
        worker.poll_due = false;
        worker.renewals_sent += 1;
        worker.renewal = Some(OpenRenewal {
            number: worker.renewals_sent,
            fence: worker.fence,
            acked_completion: worker.last_completion,
            sent_ms: now_ms,
            wait_ms,
        });
        out.push(Command::Renew(RenewOrder {
            target: target_of(key, worker),
            number: worker.renewals_sent,
            deadline_ms,
            acked_completion: worker.last_completion,
            wait_ms,
            answer_timeout_ms: self.answer_timeout.timeout_ms(),
        }));
    }

    /// Handles the result of the lease renewal with this number, sent under `fence`.
    pub fn on_renew_result(
        &mut self,
        now_ms: u64,
        key: WorkerKey,
        fence: Fence,
        number: u64,
        outcome: RenewOutcome,
        out: &mut Vec<Command>,
    ) {
        if !fence.same_ownership(self.fence) {
            return;
        }
        if !self.workers.contains_key(key) {
            return;
        }
        if outcome == RenewOutcome::WrongIncarnation {
            self.on_incarnation_ended(now_ms, key, out);
            return self.schedule(now_ms, out);
        }
        let mut outcome = outcome;
        let renewal = self.workers[key].renewal;
        let sent_ms = renewal
            .filter(|renewal| renewal.number == number)
            .map(|renewal| renewal.sent_ms);
        if let RenewOutcome::Renewed { born_ms, .. } = outcome
            && self.observe_incarnation(now_ms, key, born_ms, sent_ms, out)
        {
            outcome = RenewOutcome::NoAnswer;
        }
        let worker = &mut self.workers[key];
        let Some(renewal) = worker.renewal.filter(|renewal| renewal.number == number) else {
            return self.take_late_completions(now_ms, key, outcome, out);
        };
        worker.renewal = None;
        self.dirty_workers.insert(key);
        if fence != worker.fence {
            return self.schedule(now_ms, out);
        }
        match outcome {
            RenewOutcome::Renewed {
                clock_ms,
                running,
                completions,
                ..
            } => {
                worker.observe_clock(now_ms, clock_ms);
                let was_unfenced = worker.fencing == FencingState::Unfenced;
                if was_unfenced {
                    worker.fencing = FencingState::Fenced;
                    out.push(Command::Log(LogEvent::worker("fenced", worker)));
                }
                if self.predecessor.record_fenced(&worker.record.id) {
                    self.queue.invalidate();
                }
                worker.last_renewal_unanswered = false;
                worker.unanswered_renewals = 0;
                worker.last_heard_ms = now_ms;
                if renewal.wait_ms == 0 {
                    self.answer_timeout.record_answer(now_ms - renewal.sent_ms);
                }
                worker.acked_completion = worker.acked_completion.max(renewal.acked_completion);
                for completion in completions {
                    self.take_completion(now_ms, key, &completion, out);
                }
                self.reconcile(now_ms, key, renewal, &running, out);
                if was_unfenced && let Some(worker) = self.workers.get(key) {
                    let record = worker.record.clone();
                    self.clear_suspicion(now_ms, &record, out);
                }
            }
            RenewOutcome::Fenced => self.on_superseded(now_ms, key, out),
            RenewOutcome::WrongIncarnation => {}
            RenewOutcome::Unhealthy | RenewOutcome::NoAnswer => {
                if worker.fencing == FencingState::Fenced {
                    out.push(Command::Log(LogEvent::worker(
                        "lease renewal unanswered",
                        worker,
                    )));
                }
                worker.fencing = FencingState::Unfenced;
                worker.last_renewal_unanswered = true;
                worker.record_unanswered_renewal(now_ms);
                self.answer_timeout.record_unanswered();
            }
        }
        self.schedule(now_ms, out);
    }

    /// Handles the completions in the answer to a renewal that a newer one has replaced.
    fn take_late_completions(
        &mut self,
        now_ms: u64,
        key: WorkerKey,
        outcome: RenewOutcome,
        out: &mut Vec<Command>,
    ) {
        if let RenewOutcome::Renewed { completions, .. } = outcome {
            for completion in completions {
                self.take_completion(now_ms, key, &completion, out);
            }
            self.dirty_workers.insert(key);
            self.schedule(now_ms, out);
        }
    }

    /// Compares the runs that a worker lists with those that were ordered.
    fn reconcile(
        &mut self,
        now_ms: u64,
        key: WorkerKey,
        renewal: OpenRenewal,
        running: &[ListedRun],
        out: &mut Vec<Command>,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let mut missing_positions = Vec::new();
        for (position, run) in worker.runs.iter_mut().enumerate() {
            let listed = running
                .iter()
                .any(|listed| listed.run_id == run.run_id && listed.task == run.task);
            match run.state {
                RunState::Starting(_) if listed => {
                    run.state = RunState::Running;
                    run.confirmed_ms = now_ms;
                }
                RunState::Starting(fence) if fence < renewal.fence => {
                    missing_positions.push(position)
                }
                RunState::Starting(_) => {}
                RunState::Running | RunState::Stopping { .. } => {
                    if !listed && run.confirmed_ms < renewal.sent_ms {
                        missing_positions.push(position);
                    }
                }
            }
        }
        let mut missing_runs = Vec::new();
        for position in missing_positions.into_iter().rev() {
            missing_runs.push(worker.runs.swap_remove(position));
        }
        let unknown_runs: Vec<&ListedRun> = running
            .iter()
            .filter(|listed| worker.position(&listed.task, listed.run_id).is_none())
            .collect();
        for run in missing_runs {
            let mut event = LogEvent::job("run not found", &run.task);
            event.worker = self.workers[key].record.id.to_string();
            out.push(Command::Log(event));
            self.requeue(now_ms, &run.owner, 0);
            self.record_ended_with_incarnation(now_ms, key, &run, out);
        }
        for listed in unknown_runs {
            self.take_unknown_run(now_ms, key, listed, out);
        }
    }

    /// Adds a run that an earlier owner started: to its task if the job is here and the
    /// task waits, otherwise as an orphan.
    fn take_unknown_run(
        &mut self,
        now_ms: u64,
        key: WorkerKey,
        listed: &ListedRun,
        out: &mut Vec<Command>,
    ) {
        let task = self.find_task(&listed.task);
        let waiting = |&(job, index): &(JobKey, usize)| {
            !self.jobs[job].stopping && self.jobs[job].tasks[index].is_waiting()
        };
        let adopted = task.filter(waiting);
        let (owner, resources, expected_ms) = match adopted {
            Some((job_key, index)) => {
                let job = &mut self.jobs[job_key];
                job.started = true;
                job.tasks[index].state = TaskState::Assigned(key);
                job.tasks[index].run_id = listed.run_id;
                let phase = &job.spec.phases[usize::from(job.tasks[index].phase)];
                let resources = placement::resources_of(phase);
                (
                    RunOwner::Task(job_key, index),
                    Some(resources),
                    phase.estimate_ms,
                )
            }
            None => {
                // A duplicate run of a task that is not waiting is stopped at once.
                let grace_ms = if task.is_some() { 0 } else { ADOPTION_GRACE_MS };
                let stop_at_ms = now_ms + grace_ms;
                (RunOwner::Orphan { stop_at_ms }, None, 0)
            }
        };
        let mut event = LogEvent::job("run of previous owner found", &listed.task);
        event.detail = format!("adopted {}", adopted.is_some());
        let worker = &mut self.workers[key];
        event.worker = worker.record.id.to_string();
        out.push(Command::Log(event));
        worker.runs.push(Run {
            task: listed.task.clone(),
            run_id: listed.run_id,
            owner,
            state: RunState::Running,
            resources,
            ordered_ms: now_ms,
            confirmed_ms: now_ms,
            estimate_ms: expected_ms,
            expected_ms,
            timeouts: placement::run_timeouts(expected_ms, 0, false),
        });
        // The earlier owner may have renewed the lease just before.
        worker.leases_expire_ms = worker
            .leases_expire_ms
            .max(now_ms + LEASE_MAX_MS + IDLE_RETRY_BACKOFF_MAX_MS);
        self.dirty_workers.insert(key);
    }

    /// Finds a task by the name that workers know it by.
    pub(super) fn find_task(&self, name: &str) -> Option<(JobKey, usize)> {
        let (job_id, _) = name.split_once('.')?;
        let &key = self.job_ids.get(job_id)?;
        let mut tasks = self.jobs[key].tasks.iter();
        let index = tasks.position(|task| &*task.name == name)?;
        Some((key, index))
    }

    /// Handles expired leases and overdue runs.
    pub(super) fn check_deadlines(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        self.expire_leases(now_ms, out);
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            self.stop_overdue(now_ms, key, out);
        }
    }

    /// Treats the runs of unresponsive workers as lost once their leases have expired.
    fn expire_leases(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        let mut lost = Vec::new();
        for (key, worker) in &mut self.workers {
            let is_fenced = worker.fencing == FencingState::Fenced;
            if is_fenced || worker.runs.is_empty() || now_ms < worker.leases_expire_ms {
                continue;
            }
            out.push(Command::Log(LogEvent::worker("leases expired", worker)));
            worker.health.record_failure(now_ms);
            // Invalidates orders under the current fence that may still arrive.
            worker.raise_fence();
            lost.push((key, std::mem::take(&mut worker.runs)));
        }
        if !lost.is_empty() {
            self.on_workers_lost(now_ms, lost, out);
        }
    }
}
