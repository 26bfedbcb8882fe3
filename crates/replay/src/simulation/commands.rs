//! Commands of entries and owners, whose effects arrive after the latency of the network.

use trefoil_core::dispatch::entry::{self, Answer, Entry};
use trefoil_core::dispatch::job::Origin;
use trefoil_core::dispatch::owner::{self, Owner};

use super::callers::Attempt;
use super::{Event, ONE_WAY_MS, Simulation, WARM_UP_MS};
use crate::stats::CallerOutcome;

impl Simulation<'_> {
    pub(super) fn with_entry(
        &mut self,
        entry: usize,
        event: impl FnOnce(&mut Entry, u64, &mut Vec<entry::Command>),
    ) {
        let mut out = Vec::new();
        event(&mut self.entries[entry], self.now_ms, &mut out);
        for command in out {
            self.execute_entry_command(entry, command);
        }
    }

    fn execute_entry_command(&mut self, entry: usize, command: entry::Command) {
        match command {
            entry::Command::Delegate {
                to,
                spec,
                unsafe_for_ms,
                ..
            } => {
                let pool = self.pool_positions[&to.pool];
                let spec = Box::new(spec);
                self.schedule_after(
                    ONE_WAY_MS,
                    Event::Delegate {
                        entry,
                        pool,
                        spec,
                        unsafe_for_ms,
                    },
                );
            }
            entry::Command::Cancel { to, job_id, .. } => {
                let pool = self.pool_positions[&to.pool];
                self.schedule_after(
                    ONE_WAY_MS,
                    Event::Cancel {
                        entry,
                        pool,
                        job_id,
                    },
                );
            }
            entry::Command::Revoked { .. } | entry::Command::StaleResult { .. } => {}
            entry::Command::Answer { request_id, answer } => {
                let at_ms = self.now_ms - WARM_UP_MS;
                let outcome = match answer {
                    Answer::Completed => CallerOutcome::Completed { at_ms },
                    Answer::NotRun { retry_after_ms, .. } => CallerOutcome::Refused {
                        at_ms,
                        retry_after_ms,
                    },
                    Answer::Failed | Answer::MayHaveRun { .. } | Answer::OtherJob => {
                        CallerOutcome::Failed { at_ms }
                    }
                };
                self.on_answer(Attempt::from_request_id(request_id), outcome);
            }
        }
    }

    pub(super) fn with_owner(
        &mut self,
        pool: usize,
        event: impl FnOnce(&mut Owner, u64, &mut Vec<owner::Command>),
    ) {
        let mut out = Vec::new();
        event(&mut self.owners[pool], self.now_ms, &mut out);
        for command in out {
            self.execute_owner_command(pool, command);
        }
    }

    fn execute_owner_command(&mut self, pool: usize, command: owner::Command) {
        match command {
            owner::Command::Start(order) => {
                self.schedule_after(ONE_WAY_MS, Event::Start { pool, order })
            }
            owner::Command::Stop(order) => {
                self.schedule_after(ONE_WAY_MS, Event::Stop { pool, order })
            }
            owner::Command::Renew(order) => {
                self.schedule_after(ONE_WAY_MS, Event::Renew { pool, order })
            }
            owner::Command::JobEnded {
                origin: Origin::Link(entry),
                result,
                ..
            } => {
                let job_ended = Event::JobEnded {
                    entry: entry as usize,
                    pool,
                    result,
                };
                self.schedule_after(ONE_WAY_MS, job_ended);
            }
            owner::Command::JobEnded { .. } => {}
            owner::Command::Superseded | owner::Command::Log(_) => {}
        }
    }
}
