//! Teams' quotas and fair shares within one service.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use trefoil_schema::resources::TeamSpec;

use super::job::JobId;

/// How far a team may exceed its fair share before its jobs are ranked lower.
const BURST_MS: f64 = 250.0;

/// Stable index of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TeamIndex(usize);

/// One team's usage of the service on this instance.
#[derive(Debug)]
pub(crate) struct Team {
    weight: f64,
    /// Maximum number of running placements; 0 means no limit.
    slots_max: u32,
    /// Maximum number of queued tasks; 0 means no limit.
    queued_tasks_max: u32,
    pub running: u32,
    pub queued: u32,
    jobs: u32,
    /// Virtual finish time: when the team's fair share will have served all the
    /// jobs that it was charged for.
    virtual_finish_ms: f64,
    /// Jobs that wait until the team runs fewer than `slots_max` tasks.
    pub parked: BTreeSet<(u64, JobId)>,
}

impl Team {
    pub fn is_at_slots_max(&self) -> bool {
        self.slots_max > 0 && self.running >= self.slots_max
    }

    /// Number of slots that the team may use, out of `slots`.
    pub fn usable_slots(&self, slots: f64) -> f64 {
        match self.slots_max {
            0 => slots,
            slots_max => slots.min(f64::from(slots_max)),
        }
    }

    pub fn can_queue(&self, tasks: u32) -> bool {
        self.queued_tasks_max == 0 || self.queued.saturating_add(tasks) <= self.queued_tasks_max
    }
}

/// All teams that ever used the service on this instance.
#[derive(Debug, Default)]
pub(crate) struct Teams {
    teams: Vec<Team>,
    by_name: HashMap<Arc<str>, TeamIndex>,
    /// Sum of the weights of the teams that have jobs.
    active_weight: f64,
}

impl Teams {
    /// Adds a team or updates its declared weight and limits.
    pub fn declare(&mut self, name: &Arc<str>, spec: &TeamSpec) -> TeamIndex {
        let index = match self.by_name.get(name) {
            Some(index) => *index,
            None => self.insert(name),
        };
        let team = &mut self.teams[index.0];
        let weight = f64::from(spec.weight.max(1));
        if team.jobs > 0 {
            self.active_weight += weight - team.weight;
        }
        team.weight = weight;
        team.slots_max = spec.slots_max;
        team.queued_tasks_max = spec.queued_tasks_max;
        index
    }

    fn insert(&mut self, name: &Arc<str>) -> TeamIndex {
        let index = TeamIndex(self.teams.len());
        self.by_name.insert(Arc::clone(name), index);
        self.teams.push(Team {
            weight: 1.0,
            slots_max: 0,
            queued_tasks_max: 0,
            running: 0,
            queued: 0,
            jobs: 0,
            virtual_finish_ms: 0.0,
            parked: BTreeSet::new(),
        });
        index
    }

    pub fn get(&mut self, index: TeamIndex) -> &mut Team {
        &mut self.teams[index.0]
    }

    /// How far a team is above its fair share, beyond `BURST_MS`, in milliseconds.
    pub fn lead_ms(&self, index: TeamIndex, now_ms: u64) -> f64 {
        let virtual_finish_ms = self.teams[index.0].virtual_finish_ms;
        (virtual_finish_ms - now_ms as f64 - BURST_MS).max(0.0)
    }

    /// Charges a team for a job that occupies all slots for `size_ms`.
    pub fn job_admitted(&mut self, index: TeamIndex, now_ms: u64, size_ms: f64) {
        let team = &mut self.teams[index.0];
        if team.jobs == 0 {
            self.active_weight += team.weight;
        }
        team.jobs += 1;
        let from_ms = team.virtual_finish_ms.max(now_ms as f64);
        team.virtual_finish_ms = from_ms + size_ms * self.active_weight / team.weight;
    }

    /// Multiplies every team's outstanding charge by `ratio`.
    pub fn rescale(&mut self, now_ms: u64, ratio: f64) {
        let now_ms = now_ms as f64;
        for team in &mut self.teams {
            let ahead_ms = (team.virtual_finish_ms - now_ms).max(0.0);
            team.virtual_finish_ms = now_ms + ahead_ms * ratio;
        }
    }

    pub fn job_ended(&mut self, index: TeamIndex) {
        let team = &mut self.teams[index.0];
        team.jobs -= 1;
        if team.jobs == 0 {
            self.active_weight -= team.weight;
        }
    }
}

/// An instance's share of a limit on the whole failure domain. It is at least
/// one, so that a small limit does not exclude a team from an instance; 0 means
/// no limit.
pub(crate) fn share_of_limit(limit: u32, position: u32, members: u32) -> u32 {
    if limit == 0 || members == 0 {
        return limit;
    }
    let part = limit / members + u32::from(position < limit % members);
    part.max(1)
}
