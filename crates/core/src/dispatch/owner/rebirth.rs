//! Workers that start again under the id that they had.
//!
//! Answers and registry entries tell when the incarnation that they are from has started. A
//! later start than the known one shows that the known incarnation has ended, with all its
//! runs. It does not tell which runs these are: the later incarnation, which has seen no fence,
//! may have carried out orders that were meant for the ended one, and may still do so. All runs
//! therefore stay until a renewal under a higher fence does not list them, or until the longest
//! lease has expired.
//!
//! Its clock, the numbers of its completions and its health are unknown, and so is its capacity
//! until the registry lists the entry of this incarnation.

use super::super::worker::{Evidence, Run, Succession};
use super::*;

impl Owner {
    /// Compares the incarnation that has answered an order sent at `sent_ms` with the known one.
    /// Returns whether the answer is a late one of an earlier incarnation, and is to be ignored.
    pub(super) fn observe_incarnation(
        &mut self,
        now_ms: u64,
        key: WorkerKey,
        born_ms: Option<u64>,
        sent_ms: Option<u64>,
        out: &mut Vec<Command>,
    ) -> bool {
        let worker = &mut self.workers[key];
        match worker.compare_incarnation(born_ms, Evidence::Answer { sent_ms }) {
            Succession::Earlier => {
                let event = "answer of an earlier incarnation ignored";
                out.push(Command::Log(LogEvent::worker(event, worker)));
                return true;
            }
            Succession::Later => self.begin_incarnation(now_ms, key, born_ms, out),
            Succession::Same => worker.record.born_ms = worker.record.born_ms.or(born_ms),
        }
        false
    }

    /// Replaces the state of a worker by that of a later incarnation.
    pub(super) fn begin_incarnation(
        &mut self,
        now_ms: u64,
        key: WorkerKey,
        born_ms: Option<u64>,
        out: &mut Vec<Command>,
    ) {
        let Some(born_ms) = born_ms else { return };
        let worker = &mut self.workers[key];
        let mut event = LogEvent::worker("worker started again", worker);
        let ended_ms = worker.record.born_ms.unwrap_or(0);
        event.detail += &format!(" born {born_ms} before {ended_ms}");
        out.push(Command::Log(event));
        let ended = worker.record.clone();
        worker.begin_incarnation(now_ms, born_ms);
        self.dirty_workers.insert(key);
        self.worker_losses.record(now_ms, &ended.id);
        self.confirm_restart(now_ms, &ended, out);
    }

    /// Records the loss of a run that ended with an earlier incarnation of its worker. Nothing
    /// shows whether it had begun, or had ended with its lease before.
    pub(super) fn record_ended_with_incarnation(
        &mut self,
        now_ms: u64,
        key: WorkerKey,
        run: &Run,
        out: &mut Vec<Command>,
    ) {
        let rebirth = self.workers[key].rebirth.as_ref();
        let Some(rebirth) = rebirth.filter(|rebirth| run.ordered_ms <= rebirth.observed_ms) else {
            return;
        };
        let ended = rebirth.ended.clone();
        self.record_worker_loss(now_ms, &ended, run, true, out);
    }
}
