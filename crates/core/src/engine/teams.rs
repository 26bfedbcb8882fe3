//! Teams' quotas and fair shares within one service.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use trefoil_schema::resources::TeamSpec;

use super::job::JobId;

/// Head start over its fair share that a team has before others go first.
const BURST_MS: f64 = 250.0;

/// Position of a team; small, and the same for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TeamIndex(usize);

/// One team's use of the service here.
#[derive(Debug)]
pub(crate) struct Team {
    weight: f64,
    /// Most placements out at once from here; 0 sets no bound.
    slots_max: u32,
    /// Most tasks queued at once here; 0 sets no bound.
    queued_tasks_max: u32,
    pub running: u32,
    pub queued: u32,
    jobs: u32,
    /// Time up to which the team has used its fair share.
    virtual_finish_ms: f64,
    /// Jobs that wait until the team is below its bound of slots.
    pub parked: BTreeSet<(u64, JobId)>,
}

impl Team {
    /// Whether the team has all the slots it may have.
    pub fn is_at_slots_max(&self) -> bool {
        self.slots_max > 0 && self.running >= self.slots_max
    }

    /// Slots that the team may use, of `slots`.
    pub fn usable_slots(&self, slots: f64) -> f64 {
        match self.slots_max {
            0 => slots,
            slots_max => slots.min(f64::from(slots_max)),
        }
    }

    /// Whether `tasks` more may be queued.
    pub fn can_queue(&self, tasks: u32) -> bool {
        self.queued_tasks_max == 0 || self.queued.saturating_add(tasks) <= self.queued_tasks_max
    }
}

/// All teams that ever used the service here.
#[derive(Debug, Default)]
pub(crate) struct Teams {
    teams: Vec<Team>,
    by_name: HashMap<Arc<str>, TeamIndex>,
    /// Weight of the teams that have jobs.
    active_weight: f64,
}

impl Teams {
    /// The team of a name, with its declared terms.
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

    /// A team's use.
    pub fn get(&mut self, index: TeamIndex) -> &mut Team {
        &mut self.teams[index.0]
    }

    /// How far a team is ahead of its fair share, in milliseconds.
    pub fn lead_ms(&self, index: TeamIndex, now_ms: u64) -> f64 {
        let virtual_finish_ms = self.teams[index.0].virtual_finish_ms;
        (virtual_finish_ms - now_ms as f64 - BURST_MS).max(0.0)
    }

    /// Charges a team for a job that takes all slots for `size_ms`.
    pub fn job_admitted(&mut self, index: TeamIndex, now_ms: u64, size_ms: f64) {
        let team = &mut self.teams[index.0];
        if team.jobs == 0 {
            self.active_weight += team.weight;
        }
        team.jobs += 1;
        let from_ms = team.virtual_finish_ms.max(now_ms as f64);
        team.virtual_finish_ms = from_ms + size_ms * self.active_weight / team.weight;
    }

    /// Multiplies what every team is ahead by `ratio`.
    pub fn rescale(&mut self, now_ms: u64, ratio: f64) {
        let now_ms = now_ms as f64;
        for team in &mut self.teams {
            let ahead_ms = (team.virtual_finish_ms - now_ms).max(0.0);
            team.virtual_finish_ms = now_ms + ahead_ms * ratio;
        }
    }

    /// Notes that one of a team's jobs is over.
    pub fn job_ended(&mut self, index: TeamIndex) {
        let team = &mut self.teams[index.0];
        team.jobs -= 1;
        if team.jobs == 0 {
            self.active_weight -= team.weight;
        }
    }
}

/// An instance's part of a bound that holds for the failure domain: at least
/// one, so that a small bound does not shut a team out of an instance; 0 means
/// no bound.
pub(crate) fn share_of_limit(limit: u32, position: u32, members: u32) -> u32 {
    if limit == 0 || members == 0 {
        return limit;
    }
    let part = limit / members + u32::from(position < limit % members);
    part.max(1)
}
