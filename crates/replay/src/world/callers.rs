//! Callers: their requests, what they are told, and who comes back.

use trefoil_core::dispatch::entry::RequestId;

use super::{Event, START_MS, World};
use crate::figures::Seen;
use crate::pattern::Returning;

/// A caller's request for its job: the first, or the one after a refusal.
#[derive(Clone, Copy, Debug)]
pub(super) struct Visit {
    pub(super) job: usize,
    is_return: bool,
}

impl Visit {
    pub(super) fn first(job: usize) -> Self {
        let is_return = false;
        Self { job, is_return }
    }

    pub(super) fn ticket(self) -> RequestId {
        self.job as u64 * 2 + u64::from(self.is_return)
    }

    pub(super) fn of_ticket(ticket: RequestId) -> Self {
        Self {
            job: (ticket / 2) as usize,
            is_return: ticket % 2 == 1,
        }
    }
}

/// What a caller that came back was told then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Returned {
    /// When it came back.
    pub at_ms: u64,
    /// What it was told then.
    pub seen: Seen,
}

/// What became of all jobs of a replay.
#[derive(Clone, Debug)]
pub struct Played {
    /// What each caller saw of its first request.
    pub seen: Vec<Seen>,
    /// What those saw that came back.
    pub returned: Vec<Option<Returned>>,
}

impl World<'_> {
    pub(super) fn entry_of(&self, job: usize) -> usize {
        let arrival = &self.arrivals[job];
        (arrival.domain * self.pattern.fleet.entries_per_domain + arrival.entry) as usize
    }

    pub(super) fn request(&mut self, visit: Visit) {
        let entry = self.entry_of(visit.job);
        let arrival = &self.arrivals[visit.job];
        let spec = arrival.spec.clone();
        let waits_ms = arrival.leaves_ms.saturating_sub(arrival.at_ms);
        let deadline_ms = self.now_ms + waits_ms + 1;
        self.with_entry(entry, |entry, now_ms, out| {
            entry.submit(now_ms, visit.ticket(), spec, deadline_ms, out);
        });
    }

    /// A caller has its answer.
    pub(super) fn answered(&mut self, visit: Visit, seen: Seen) {
        match &mut self.played.returned[visit.job] {
            Some(returned) if visit.is_return => returned.seen = seen,
            _ => {
                self.played.seen[visit.job] = seen;
                self.come_back(visit.job, seen);
            }
        }
    }

    /// Lets a refused caller come back, if callers do.
    fn come_back(&mut self, job: usize, seen: Seen) {
        let Seen::Refused { retry_after_ms, .. } = seen else {
            return;
        };
        let wait_ms = match self.pattern.returning {
            Returning::Never => return,
            Returning::AsTold => retry_after_ms,
            Returning::After { wait_ms } => wait_ms,
        };
        let arrival = &self.arrivals[job];
        let waits_ms = arrival.leaves_ms.saturating_sub(arrival.at_ms);
        let is_return = true;
        let visit = Visit { job, is_return };
        self.played.returned[job] = Some(Returned {
            at_ms: self.now_ms + wait_ms - START_MS,
            seen: Seen::Left,
        });
        self.after(wait_ms, Event::Request(visit));
        self.after(wait_ms + waits_ms, Event::CallerLeaves(visit));
    }
}
