//! Free capacity of a pool by shape, as an entry knows it.
//!
//! The owner's report is reduced by what this entry delegates, so that it does not send
//! two jobs to the same piece before the next report. What other entries delegate is not
//! known; the owner decides then, and its refusal carries its current load.

use trefoil_schema::dispatch::{FreeCpu, Job as JobSpec, Load};

/// Maximum number of amounts that are accepted; owners send at most 12.
const AMOUNTS_MAX: usize = 64;
/// Maximum number of workers in a report.
const WORKERS_MAX: u32 = 100_000;

/// Free CPU of single workers: amount in millicores, and number of workers.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct PoolRoom(Vec<(u64, u32)>);

/// What the free CPU in a load report is worth.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum ReportedRoom {
    Known(PoolRoom),
    /// The owner is an older instance, or has no worker that accepts tasks.
    Absent,
    /// The amounts contradict each other.
    Malformed,
}

impl PoolRoom {
    /// Reads the free CPU in a load report.
    pub(super) fn parse(load: &Load) -> ReportedRoom {
        let amounts = &load.free_cpu;
        if amounts.is_empty() {
            return ReportedRoom::Absent;
        }
        let is_sorted = amounts.is_sorted_by(|left, right| left.millicores > right.millicores);
        let counted = |amount: &FreeCpu| (1..=WORKERS_MAX).contains(&amount.workers);
        let free = amounts.iter().fold(0_u64, |sum, amount| {
            sum.saturating_add(u64::from(amount.millicores) * u64::from(amount.workers))
        });
        let is_valid = amounts.len() <= AMOUNTS_MAX
            && is_sorted
            && amounts.iter().all(counted)
            && free <= load.capacity_millicores;
        if !is_valid {
            return ReportedRoom::Malformed;
        }
        let amounts = amounts.iter();
        ReportedRoom::Known(Self(
            amounts
                .map(|amount| (u64::from(amount.millicores), amount.workers))
                .collect(),
        ))
    }

    /// Whether all tasks that can start at once fit.
    pub(super) fn fits(&self, spec: &JobSpec) -> bool {
        self.without(spec).is_some()
    }

    /// Takes the CPU of all tasks that can start at once, or all that is free if they do
    /// not fit.
    pub(super) fn take(&mut self, spec: &JobSpec) {
        *self = self.without(spec).unwrap_or_default();
    }

    /// What is left once the tasks that can start at once are placed, the largest first;
    /// `None` if they do not fit.
    fn without(&self, spec: &JobSpec) -> Option<Self> {
        let mut phases: Vec<_> = spec
            .phases
            .iter()
            .filter(|phase| phase.after.is_empty() && phase.cpu_millicores > 0)
            .collect();
        phases.sort_by_key(|phase| std::cmp::Reverse(phase.cpu_millicores));
        let mut room = self.clone();
        for phase in phases {
            let per_worker_max = match phase.per_worker_max {
                0 => u64::MAX,
                max => u64::from(max),
            };
            room = room.without_tasks(phase.count, phase.cpu_millicores, per_worker_max)?;
        }
        Some(room)
    }

    fn without_tasks(&self, count: u32, millicores: u64, per_worker_max: u64) -> Option<Self> {
        let mut left = u64::from(count);
        let mut room = Vec::with_capacity(self.0.len() + 1);
        // Smaller pieces first: large ones are left for larger tasks.
        for &(free, workers) in self.0.iter().rev() {
            let per_worker = (free / millicores).min(per_worker_max);
            if per_worker == 0 || left == 0 {
                room.push((free, workers));
                continue;
            }
            let filled = u32::try_from(left / per_worker).unwrap_or(u32::MAX);
            let filled = filled.min(workers);
            left -= u64::from(filled) * per_worker;
            if filled > 0 {
                room.push((free - per_worker * millicores, filled));
            }
            if filled < workers {
                if left > 0 {
                    room.push((free - left * millicores, 1));
                }
                let untouched = workers - filled - u32::from(left > 0);
                left = 0;
                if untouched > 0 {
                    room.push((free, untouched));
                }
            }
        }
        room.sort_by_key(|&(free, _)| std::cmp::Reverse(free));
        (left == 0).then_some(Self(room))
    }
}
