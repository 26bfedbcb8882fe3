//! Placement of queued tasks on workers.

use std::sync::Arc;

use super::{Placement, PoolState, TASK_COUNTER_BITS};
use crate::engine::command::Command;
use crate::engine::event::{TaskId, WorkerId};
use crate::engine::job::{ActiveJob, JobId, NextTask};
use crate::engine::teams::TeamIndex;
use crate::time::Now;

impl PoolState {
    /// Starts queued tasks while a worker has a free slot.
    pub(super) fn dispatch(&mut self, now: Now, out: &mut Vec<Command>) {
        self.workers
            .expire_timers(now.mono_ms, self.run_times.mean_log2());
        while let Some(job) = self.queue.first() {
            if self.park_if_at_slots_max(job) {
                continue;
            }
            let Some(next) = self.jobs.get(job).and_then(ActiveJob::peek) else {
                return;
            };
            let Some(worker) = self.workers.choose(next.avoid) else {
                return;
            };
            self.start(now, job, next, worker, out);
        }
    }

    /// Takes a job out of the queue if its team uses all the slots that it may.
    fn park_if_at_slots_max(&mut self, job: JobId) -> bool {
        let Some(active) = self.jobs.get_mut(job) else {
            return false;
        };
        let team = self.teams.get(active.team);
        if !team.is_at_slots_max() {
            return false;
        }
        active.parked = true;
        team.parked.insert((active.rank_ms, job));
        self.queue.remove(active.rank_ms, job, active.queued());
        true
    }

    /// Queues a team's first parked job if the team may use another slot.
    pub(super) fn unpark(&mut self, team: TeamIndex) {
        let team = self.teams.get(team);
        if team.is_at_slots_max() {
            return;
        }
        let Some((rank_ms, job)) = team.parked.pop_first() else {
            return;
        };
        let Some(active) = self.jobs.get_mut(job) else {
            return;
        };
        active.parked = false;
        self.queue
            .add(rank_ms, job, active.queued(), active.latest_start_ms);
    }

    fn start(
        &mut self,
        now: Now,
        job: JobId,
        next: NextTask,
        worker: WorkerId,
        out: &mut Vec<Command>,
    ) {
        let Some(address) = self.workers.address(worker) else {
            return;
        };
        let task = self.next_task_id();
        let active = &mut self.jobs[job];
        active.take_next();
        self.queue.take(active.rank_ms, job, active.queued() == 0);
        let placement = Placement {
            job,
            team: active.team,
            index: next.index,
            attempt: next.attempt,
            worker,
            started_ms: now.mono_ms,
        };
        out.push(Command::StartTask {
            task,
            key: Arc::clone(&active.key),
            index: next.index,
            attempt: next.attempt,
            worker,
            address,
            path: Arc::clone(&self.params.path),
            payload: active.tasks[next.index as usize].clone(),
            timeout_ms: self.params.task_timeout_ms,
        });
        self.placements.insert(task, placement);
        self.count_start(now, placement);
    }

    fn next_task_id(&mut self) -> TaskId {
        self.last_placement += 1;
        TaskId(self.number << TASK_COUNTER_BITS | self.last_placement)
    }

    fn count_start(&mut self, now: Now, placement: Placement) {
        let run_log2 = self.run_times.mean_log2();
        self.workers.start(now.mono_ms, run_log2, placement.worker);
        let team = self.teams.get(placement.team);
        team.queued -= 1;
        team.running += 1;
        self.stats.tasks_queued -= 1;
        self.stats.tasks_started += 1;
        match placement.attempt {
            1 => self.retries.first_start(),
            _ => self.stats.tasks_retried += 1,
        }
    }
}
