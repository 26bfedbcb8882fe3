//! Runs and ends that an earlier owner left behind, given to the tasks of a job
//! that comes again.

use super::*;

impl Owner {
    /// Gives runs and ends of an earlier owner to the tasks of a job.
    pub(super) fn adopt(&mut self, key: JobKey) {
        let names: BTreeMap<Arc<str>, usize> = {
            let tasks = self.jobs[key].tasks.iter().enumerate();
            tasks
                .map(|(index, task)| (task.name.clone(), index))
                .collect()
        };
        for (name, &index) in &names {
            if let Some((RunOutcome::Done, _)) = self.orphan_ends.get(name) {
                self.jobs[key].tasks[index].state = TaskState::Done;
                self.jobs[key].started = true;
            }
        }
        for (worker_key, worker) in &mut self.workers {
            for run in &mut worker.runs {
                let free = matches!(run.owner, RunOwner::Orphan { .. });
                let stopping = matches!(run.state, RunState::Stopping { .. });
                let Some(&index) = names.get(&run.task).filter(|_| free) else {
                    continue;
                };
                let job = &mut self.jobs[key];
                let task = &mut job.tasks[index];
                if stopping {
                    // Comes free when its end is listed.
                    let not_before_ms = u64::MAX;
                    task.state = TaskState::Waiting { not_before_ms };
                } else {
                    task.state = TaskState::Assigned(worker_key);
                    let phase = job.spec.phases[usize::from(task.phase)].clone();
                    run.resources = Some(placement::room_of(&phase));
                    run.estimate_ms = phase.estimate_ms;
                    run.expected_ms = phase.estimate_ms;
                    run.timeouts = placement::patience(run.expected_ms, 0);
                }
                task.run_id = task.run_id.max(run.run_id);
                run.owner = RunOwner::Task(key, index);
                job.started = true;
            }
        }
    }
}
