//! Random faults of a history, and what instances may rest on meanwhile.

use rand::Rng;
use trefoil_core::key::JobKey;

use super::{CALM, Network, World};

/// Time between faults.
pub const STEP_MS: u64 = 1_500;
/// Clock offsets that `gone_clock_bound_ms` allows: twice this and
/// `vouch_ahead_ms` make 5,000.
const OFFSET_MAX_MS: i64 = 1_700;
/// Clock offsets where no rule rests on clocks.
const OFFSET_ANY_MS: i64 = 3_600_000;

/// What instances may rest on in a history.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Setting {
    /// Word of ended processes, and clocks within the bound.
    PlatformTells,
    /// No such word while there are faults.
    Silence,
    /// No such word, and clocks that are wrong by up to an hour. Fresh keys
    /// need not be served: a view that begins an hour ahead stays.
    AnyClocks,
}

impl Setting {
    pub fn of(seed: u64) -> Self {
        match seed % 3 {
            0 => Self::PlatformTells,
            1 => Self::Silence,
            _ => Self::AnyClocks,
        }
    }
}

pub fn set_clock(world: &mut World, index: usize, setting: Setting) {
    let bound_ms = match setting {
        Setting::AnyClocks => OFFSET_ANY_MS,
        _ => OFFSET_MAX_MS,
    };
    world.nodes[index].clock_offset_ms = match world.rng.random_range(0..4) {
        0 => world.rng.random_range(-bound_ms..=bound_ms),
        _ => world.rng.random_range(-20..=20),
    };
}

pub fn fault(world: &mut World, setting: Setting) {
    let count = world.nodes.len();
    let index = world.rng.random_range(0..count);
    let other = world.rng.random_range(0..count);
    match world.rng.random_range(0..16) {
        0 => world.kill(index),
        1 | 2 => world.restart(index),
        3 | 4 => {
            let for_ms = world.rng.random_range(100..20_000);
            world.freeze(index, for_ms);
        }
        5 | 6 => cut(world, index, other),
        7 => cut_off(world, index),
        8 => {
            world.cuts.clear();
            world.store_cuts.clear();
        }
        9 => world.store.down = true,
        10 => {
            world.store.slow_max_ms = world.rng.random_range(0..1_500);
            world.store.lost_percent = world.rng.random_range(0..60);
        }
        11 => world.store.down = false,
        12 => {
            world.network = Network {
                loss_percent: world.rng.random_range(0..40),
                duplicate_percent: world.rng.random_range(0..20),
                delay_max_ms: world.rng.random_range(1..800),
            }
        }
        13 => world.network = CALM,
        14 => set_clock(world, index, setting),
        _ => {
            if world.nodes[index].alive {
                world.leave(index);
            }
        }
    }
}

fn cut(world: &mut World, a: usize, b: usize) {
    world.cuts.insert((a, b));
    world.cuts.insert((b, a));
}

fn cut_off(world: &mut World, index: usize) {
    if world.rng.random() {
        world.store_cuts.insert(index);
    }
    for other in 0..world.nodes.len() {
        cut(world, index, other);
    }
}

/// New keys, and some of the old ones again, each at a random instance.
pub fn submit(world: &mut World, keys: &mut Vec<JobKey>) {
    for _ in 0..12 {
        let clock = world.rng.random_range(0..world.nodes.len());
        let wall_ms = world.wall_ms(clock);
        let ahead_ms = world.rng.random_range(-2_000..4_000);
        keys.push(world.key(wall_ms.saturating_add_signed(ahead_ms)));
    }
    for _ in 0..48 {
        let recent = keys.len().min(120);
        let at = keys.len() - 1 - world.rng.random_range(0..recent);
        let key = keys[at].clone();
        let node = world.rng.random_range(0..world.nodes.len());
        let after_ms = world.rng.random_range(0..STEP_MS);
        world.submit(node, &key, after_ms);
    }
}

pub fn heal(world: &mut World, setting: Setting) {
    world.cuts.clear();
    world.store_cuts.clear();
    world.network = CALM;
    world.store.down = false;
    world.store.slow_max_ms = 0;
    world.store.lost_percent = 0;
    world.platform_tells = setting != Setting::AnyClocks;
    for index in 0..world.nodes.len() {
        world.nodes[index].clock_offset_ms = 0;
        if !world.nodes[index].alive || world.nodes[index].membership.leaving() {
            world.restart(index);
        }
    }
}
