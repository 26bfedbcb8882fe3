//! Lease renewal and recovery of unacknowledged starts.
//!
//! A worker with runs has one hold open, which renews the lease and comes back
//! as soon as something ends. An order without an answer may be carried out
//! later; so the fence is raised, and the next hold under it both kills that
//! order and tells whether it was carried out before. While the worker does
//! not answer, its runs are counted as running until their leases lapse.

use super::super::limits::{
    ADOPTION_GRACE_MS, IDLE_ACK_DELAY_MS, IDLE_RETRY_BACKOFF_MAX_MS, LEASE_MAX_MS, LEASE_MS,
    RENEW_WAIT_MS,
};
use super::super::order::{ListedRun, RenewOutcome};
use super::super::worker::{OpenRenewal, Run};
use super::*;

impl Owner {
    /// Renews leases that are due and evicts workers that left the registry.
    pub(super) fn hold_if_due(&mut self, now_ms: u64, key: WorkerKey, out: &mut Vec<Command>) {
        if !self.workers.contains_key(key) {
            return;
        }
        let overdue_ms = self.overdue_on(now_ms, key);
        let worker = &mut self.workers[key];
        let unacked = worker.acked_completion < worker.last_completion;
        if worker.has_left(now_ms) && worker.runs.is_empty() && !unacked {
            // It may come back, and has seen this fence.
            self.fence = self.fence.max(worker.fence);
            let id = worker.record.id.clone();
            self.workers.remove(key);
            self.worker_ids.remove(&id);
            return;
        }
        let open = worker
            .renewal
            .is_some_and(|hold| hold.fence == worker.fence);
        if (open && !worker.poll_due) || now_ms < worker.backoff_until_ms {
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
        // Neither runs that are being stopped nor starts of unknown fate get more time.
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
            answer_timeout_ms: self.answer_times.limit_ms(),
        }));
    }

    /// Takes in what became of the hold of this number, sent under `fence`.
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
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if outcome == RenewOutcome::WrongIncarnation {
            self.life_over(now_ms, key, out);
            return self.settle(now_ms, out);
        }
        let Some(hold) = worker.renewal.filter(|hold| hold.number == number) else {
            return self.take_late_ends(now_ms, key, outcome, out);
        };
        worker.renewal = None;
        self.dirty.insert(key);
        if fence != worker.fence {
            return self.settle(now_ms, out);
        }
        match outcome {
            RenewOutcome::Renewed {
                clock_ms,
                running,
                completions: ended,
            } => {
                worker.observe_clock(now_ms, clock_ms);
                let is_back = worker.fencing == FencingState::Unfenced;
                if is_back {
                    worker.fencing = FencingState::Fenced;
                    out.push(Command::Log(LogEvent::worker("fenced", worker)));
                }
                if self.clearance.fenced(&worker.record.id) {
                    self.queue.invalidate();
                }
                worker.last_renewal_unanswered = false;
                worker.unanswered_renewals = 0;
                worker.last_heard_ms = now_ms;
                if hold.wait_ms == 0 {
                    self.answer_times.answered(now_ms - hold.sent_ms);
                }
                worker.acked_completion = worker.acked_completion.max(hold.acked_completion);
                for end in ended {
                    self.take_end(now_ms, key, &end, out);
                }
                self.reconcile(now_ms, key, hold, &running, out);
                if is_back {
                    self.acquit_tasks(key);
                }
            }
            RenewOutcome::Fenced => self.outranked(now_ms, key, out),
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
                self.answer_times.unanswered();
            }
        }
        self.settle(now_ms, out);
    }

    /// Takes in the ends that an earlier hold tells, after a later one was sent.
    fn take_late_ends(
        &mut self,
        now_ms: u64,
        key: WorkerKey,
        outcome: RenewOutcome,
        out: &mut Vec<Command>,
    ) {
        if let RenewOutcome::Renewed {
            completions: ended, ..
        } = outcome
        {
            for end in ended {
                self.take_end(now_ms, key, &end, out);
            }
            self.dirty.insert(key);
            self.settle(now_ms, out);
        }
    }

    /// Compares what a worker lists as running with what was ordered.
    fn reconcile(
        &mut self,
        now_ms: u64,
        key: WorkerKey,
        hold: OpenRenewal,
        running: &[ListedRun],
        out: &mut Vec<Command>,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let mut absent = Vec::new();
        for (position, run) in worker.runs.iter_mut().enumerate() {
            let listed = running
                .iter()
                .any(|listed| listed.run_id == run.run_id && listed.task == run.task);
            match run.state {
                RunState::Starting(_) if listed => {
                    run.state = RunState::Running;
                    run.confirmed_ms = now_ms;
                }
                RunState::Starting(fence) if fence < hold.fence => absent.push(position),
                RunState::Starting(_) => {}
                RunState::Running | RunState::Stopping { .. } => {
                    if !listed && run.confirmed_ms < hold.sent_ms {
                        absent.push(position);
                    }
                }
            }
        }
        let mut gone = Vec::new();
        for position in absent.into_iter().rev() {
            gone.push(worker.runs.swap_remove(position));
        }
        let strangers: Vec<&ListedRun> = running
            .iter()
            .filter(|listed| worker.position(&listed.task, listed.run_id).is_none())
            .collect();
        for run in gone {
            let mut note = LogEvent::job("run not found", &run.task);
            note.worker = self.workers[key].record.id.to_string();
            out.push(Command::Log(note));
            self.requeue(now_ms, &run.owner, 0);
        }
        for listed in strangers {
            self.take_stranger(now_ms, key, listed, out);
        }
    }

    /// Takes in a run of an earlier owner: its job's, if that is here.
    fn take_stranger(
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
        let (owner, room, expected_ms) = match adopted {
            Some((job_key, index)) => {
                let job = &mut self.jobs[job_key];
                job.started = true;
                job.tasks[index].state = TaskState::Assigned(key);
                job.tasks[index].run_id = listed.run_id;
                let phase = &job.spec.phases[usize::from(job.tasks[index].phase)];
                let room = placement::room_of(phase);
                (
                    RunOwner::Task(job_key, index),
                    Some(room),
                    phase.estimate_ms,
                )
            }
            None => {
                // A second run of a task that runs elsewhere is stopped at once.
                let grace_ms = if task.is_some() { 0 } else { ADOPTION_GRACE_MS };
                let stop_at_ms = now_ms + grace_ms;
                (RunOwner::Orphan { stop_at_ms }, None, 0)
            }
        };
        let mut note = LogEvent::job("run of previous owner found", &listed.task);
        note.detail = format!("adopted {}", adopted.is_some());
        let worker = &mut self.workers[key];
        note.worker = worker.record.id.to_string();
        out.push(Command::Log(note));
        worker.runs.push(Run {
            task: listed.task.clone(),
            run_id: listed.run_id,
            owner,
            state: RunState::Running,
            resources: room,
            ordered_ms: now_ms,
            confirmed_ms: now_ms,
            estimate_ms: expected_ms,
            expected_ms,
            timeouts: placement::patience(expected_ms, 0),
        });
        // The earlier owner may have renewed its lease just before.
        worker.leases_expire_ms = worker
            .leases_expire_ms
            .max(now_ms + LEASE_MAX_MS + IDLE_RETRY_BACKOFF_MAX_MS);
        self.dirty.insert(key);
    }

    /// The task of a job here, by the name that workers know.
    pub(super) fn find_task(&self, name: &str) -> Option<(JobKey, usize)> {
        let (job_id, _) = name.split_once('.')?;
        let &key = self.job_ids.get(job_id)?;
        let mut tasks = self.jobs[key].tasks.iter();
        let index = tasks.position(|task| &*task.name == name)?;
        Some((key, index))
    }

    /// Expires leases and stops runs that have taken too long.
    pub(super) fn expire(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        self.expire_leases(now_ms, out);
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            self.stop_overdue(now_ms, key, out);
        }
    }

    /// Expires the leases of workers that have not answered for a whole lease.
    fn expire_leases(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        let mut lost = Vec::new();
        for (key, worker) in &mut self.workers {
            let answers = worker.fencing == FencingState::Fenced;
            if answers || worker.runs.is_empty() || now_ms < worker.leases_expire_ms {
                continue;
            }
            out.push(Command::Log(LogEvent::worker("leases expired", worker)));
            worker.health.record_failure(now_ms);
            // What was ordered under the present fence must not start any more.
            worker.raise_fence();
            lost.push((key, std::mem::take(&mut worker.runs)));
        }
        if !lost.is_empty() {
            self.workers_lost(now_ms, lost, out);
        }
    }
}
