//! Adoption of runs that an earlier owner started, when their job is delegated again.

use super::*;

impl Owner {
    /// Assigns orphan runs and orphan completions to the tasks of a job.
    pub(super) fn adopt(&mut self, key: JobKey) {
        let names: BTreeMap<Arc<str>, usize> = {
            let tasks = self.jobs[key].tasks.iter().enumerate();
            tasks
                .map(|(index, task)| (task.name.clone(), index))
                .collect()
        };
        for (name, &index) in &names {
            if let Some((RunOutcome::Done, _)) = self.orphan_completions.get(name) {
                self.jobs[key].tasks[index].state = TaskState::Done;
                self.jobs[key].started = true;
            }
        }
        for (worker_key, worker) in &mut self.workers {
            for run in &mut worker.runs {
                let is_orphan = matches!(run.owner, RunOwner::Orphan { .. });
                let stopping = matches!(run.state, RunState::Stopping { .. });
                let Some(&index) = names.get(&run.task).filter(|_| is_orphan) else {
                    continue;
                };
                let job = &mut self.jobs[key];
                let task = &mut job.tasks[index];
                if stopping {
                    // Requeued when the worker lists the completion of the run.
                    let not_before_ms = u64::MAX;
                    task.state = TaskState::Waiting { not_before_ms };
                } else {
                    task.state = TaskState::Assigned(worker_key);
                    let phase = job.spec.phases[usize::from(task.phase)].clone();
                    run.resources = Some(placement::resources_of(&phase));
                    run.estimate_ms = phase.estimate_ms;
                    run.expected_ms = phase.estimate_ms;
                    run.timeouts = placement::run_timeouts(run.expected_ms, 0, false);
                }
                task.run_id = task.run_id.max(run.run_id);
                run.owner = RunOwner::Task(key, index);
                job.started = true;
            }
        }
    }
}
