//! Random faults, and fault models that determine the guarantees during them.

use rand::Rng;
use trefoil_core::key::JobKey;

use super::{Network, RELIABLE, Simulation};

/// Interval between faults.
pub const STEP_MS: u64 = 1_500;
/// Maximum clock offset allowed by `gone_clock_bound_ms`, which covers twice this offset
/// plus `vouch_ahead_ms`.
const OFFSET_MAX_MS: i64 = 1_700;
/// Maximum clock offset if the protocol may not rely on clocks.
const OFFSET_ANY_MS: i64 = 3_600_000;

/// What instances can rely on during a history.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultModel {
    /// The platform reports ended processes, and clock offsets are bounded.
    PlatformReports,
    /// Ended processes are not reported during faults; clock offsets are bounded.
    NoReports,
    /// Ended processes are not reported, and clocks are wrong by up to an hour. New keys
    /// may remain unserved, because a view that starts an hour ahead is kept.
    UnboundedClocks,
}

impl FaultModel {
    pub fn of(seed: u64) -> Self {
        match seed % 3 {
            0 => Self::PlatformReports,
            1 => Self::NoReports,
            _ => Self::UnboundedClocks,
        }
    }
}

pub fn randomize_clock(sim: &mut Simulation, index: usize, model: FaultModel) {
    let bound_ms = match model {
        FaultModel::UnboundedClocks => OFFSET_ANY_MS,
        _ => OFFSET_MAX_MS,
    };
    sim.nodes[index].clock_offset_ms = match sim.rng.random_range(0..4) {
        0 => sim.rng.random_range(-bound_ms..=bound_ms),
        _ => sim.rng.random_range(-20..=20),
    };
}

pub fn inject_fault(sim: &mut Simulation, model: FaultModel) {
    let count = sim.nodes.len();
    let index = sim.rng.random_range(0..count);
    let other = sim.rng.random_range(0..count);
    match sim.rng.random_range(0..16) {
        0 => sim.kill(index),
        1 | 2 => sim.restart(index),
        3 | 4 => {
            let for_ms = sim.rng.random_range(100..20_000);
            sim.freeze(index, for_ms);
        }
        5 | 6 => partition(sim, index, other),
        7 => isolate(sim, index),
        8 => {
            sim.partitions.clear();
            sim.store_partitions.clear();
        }
        9 => sim.store.down = true,
        10 => {
            sim.store.extra_latency_max_ms = sim.rng.random_range(0..1_500);
            sim.store.lost_write_percent = sim.rng.random_range(0..60);
        }
        11 => sim.store.down = false,
        12 => {
            sim.network = Network {
                loss_percent: sim.rng.random_range(0..40),
                duplicate_percent: sim.rng.random_range(0..20),
                delay_max_ms: sim.rng.random_range(1..800),
            }
        }
        13 => sim.network = RELIABLE,
        14 => randomize_clock(sim, index, model),
        _ => {
            if sim.nodes[index].alive {
                sim.leave(index);
            }
        }
    }
}

fn partition(sim: &mut Simulation, a: usize, b: usize) {
    sim.partitions.insert((a, b));
    sim.partitions.insert((b, a));
}

fn isolate(sim: &mut Simulation, index: usize) {
    if sim.rng.random() {
        sim.store_partitions.insert(index);
    }
    for other in 0..sim.nodes.len() {
        partition(sim, index, other);
    }
}

/// Creates new keys, and submits random recent keys at random instances.
pub fn submit_random_keys(sim: &mut Simulation, keys: &mut Vec<JobKey>) {
    for _ in 0..12 {
        let clock = sim.rng.random_range(0..sim.nodes.len());
        let wall_ms = sim.wall_ms(clock);
        let ahead_ms = sim.rng.random_range(-2_000..4_000);
        keys.push(sim.key(wall_ms.saturating_add_signed(ahead_ms)));
    }
    for _ in 0..48 {
        let recent = keys.len().min(120);
        let at = keys.len() - 1 - sim.rng.random_range(0..recent);
        let key = keys[at].clone();
        let node = sim.rng.random_range(0..sim.nodes.len());
        let after_ms = sim.rng.random_range(0..STEP_MS);
        sim.submit(node, &key, after_ms);
    }
}

pub fn end_faults(sim: &mut Simulation, model: FaultModel) {
    sim.partitions.clear();
    sim.store_partitions.clear();
    sim.network = RELIABLE;
    sim.store.down = false;
    sim.store.extra_latency_max_ms = 0;
    sim.store.lost_write_percent = 0;
    sim.platform_reports_exits = model != FaultModel::UnboundedClocks;
    for index in 0..sim.nodes.len() {
        sim.nodes[index].clock_offset_ms = 0;
        if !sim.nodes[index].alive || sim.nodes[index].membership.leaving() {
            sim.restart(index);
        }
    }
}
