//! The jobs of a pattern, drawn from a seed.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use trefoil_fakes::load::law::{Law, exponential};
use trefoil_schema::dispatch::{Job, Phase};

use crate::pattern::{Change, Class, Pattern};

/// Objective: this factor of the longest task ...
pub const STRETCH: f64 = 1.6;
/// ... and this much more.
pub const SLO_MS: u64 = 60;
/// Up to this multiple of the objective, an answer is late but of some use.
pub const LATE_FACTOR: u64 = 3;
/// How long callers wait beyond their late objective.
const PATIENCE_MS: u64 = 1500;
/// Spread of widths and run times within a class (deviation of the logarithm).
const CLASS_SIGMA: f64 = 0.4;
/// Spread of run times within a job.
const TASK_SIGMA: f64 = 0.15;
/// Estimates are off by so much (deviation of the logarithm).
const ESTIMATE_SIGMA: f64 = 0.4;
/// Most tasks, in multiples of the class's mean.
const TASKS_FACTOR_MAX: f64 = 4.0;
/// Longest run, in multiples of the class's mean.
const RUN_FACTOR_MAX: f64 = 4.0;
/// Processor that a task takes: about half of a common worker.
const CPU: Law = Law::Lognormal {
    mean: 8000.0,
    sigma: 0.2,
};
/// Largest processor share of a task.
const CPU_MAX: f64 = 12_000.0;

/// One job that a caller sends.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When its request arrives.
    pub at_ms: u64,
    /// Position of its class.
    pub class: usize,
    /// Failure domain of the entry that it reaches.
    pub domain: u32,
    /// Entry of that failure domain.
    pub entry: u32,
    /// The job, as the caller declares it.
    pub spec: Job,
    /// True run times of its tasks on a worker of common speed.
    pub runs_ms: Vec<u64>,
    /// Whether its tasks fail whenever they run.
    pub fails: bool,
    /// When the caller leaves without an answer.
    pub leaves_ms: u64,
    /// Until when an answer meets the objective.
    pub due_ms: u64,
    /// Until when an answer is of some use.
    pub late_ms: u64,
}

impl Arrival {
    /// Work, thousandths of a core times milliseconds.
    pub fn work(&self) -> u64 {
        let run_ms: u64 = self.runs_ms.iter().sum();
        run_ms * self.spec.phases[0].cpu_millicores
    }
}

/// All jobs of a pattern, by arrival.
pub fn draw(pattern: &Pattern, seed: u64) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for class in 0..pattern.classes.len() {
        draw_class(pattern, class, &mut random, &mut arrivals);
    }
    arrivals.sort_by_key(|arrival: &Arrival| arrival.at_ms);
    for (index, arrival) in arrivals.iter_mut().enumerate() {
        arrival.spec.id = format!("{index:016x}");
    }
    arrivals
}

fn draw_class(
    pattern: &Pattern,
    class: usize,
    random: &mut ChaCha8Rng,
    arrivals: &mut Vec<Arrival>,
) {
    let mut at_ms = 0.0;
    loop {
        let factor = burst_factor(pattern, class, at_ms as u64);
        let per_ms = pattern.classes[class].usual_per_s * factor / 1000.0;
        at_ms += exponential(random, per_ms);
        if at_ms >= pattern.length_ms as f64 {
            return;
        }
        arrivals.push(arrival(pattern, class, at_ms as u64, random));
    }
}

fn burst_factor(pattern: &Pattern, class: usize, now_ms: u64) -> f64 {
    let factors = pattern.changes.iter().filter_map(|change| match *change {
        Change::Burst {
            class: one,
            factor,
            from_ms,
            to_ms,
        } if one.is_none_or(|one| one == class) && (from_ms..to_ms).contains(&now_ms) => {
            Some(factor)
        }
        _ => None,
    });
    factors.product()
}

fn arrival(pattern: &Pattern, class: usize, at_ms: u64, random: &mut ChaCha8Rng) -> Arrival {
    let shape = &pattern.classes[class];
    let run_law = Law::Lognormal {
        mean: shape.run_mean_ms,
        sigma: CLASS_SIGMA,
    };
    let run_max_ms = shape.run_mean_ms * RUN_FACTOR_MAX;
    let run_ms = run_law.sample(random).clamp(1.0, run_max_ms);
    let tasks = tasks_of(shape, random);
    let uneven = spread(TASK_SIGMA);
    let runs_ms: Vec<u64> = (0..tasks)
        .map(|_| (run_ms * uneven.sample(random)).max(1.0) as u64)
        .collect();
    let estimate_ms = (run_ms * spread(ESTIMATE_SIGMA).sample(random)).max(1.0) as u64;
    let longest_ms = runs_ms.iter().copied().max().unwrap_or(0);
    let objective_ms = (STRETCH * longest_ms as f64) as u64 + SLO_MS;
    let mut arrival = Arrival {
        at_ms,
        class,
        domain: random.random_range(0..pattern.fleet.domains),
        entry: random.random_range(0..pattern.fleet.entries_per_domain),
        spec: spec_of(shape, tasks, estimate_ms, random),
        runs_ms,
        fails: false,
        leaves_ms: at_ms + LATE_FACTOR * objective_ms + PATIENCE_MS,
        due_ms: at_ms + objective_ms,
        late_ms: at_ms + LATE_FACTOR * objective_ms,
    };
    for change in &pattern.changes {
        apply(change, &mut arrival, random);
    }
    arrival.spec.patience_ms = LATE_FACTOR * objective_ms + PATIENCE_MS;
    arrival
}

/// A factor whose logarithm deviates by `sigma`.
fn spread(sigma: f64) -> Law {
    Law::Lognormal { mean: 1.0, sigma }
}

fn tasks_of(shape: &Class, random: &mut ChaCha8Rng) -> u32 {
    let law = Law::Lognormal {
        mean: shape.tasks_mean,
        sigma: CLASS_SIGMA,
    };
    let tasks = law.sample(random).round();
    tasks.clamp(1.0, shape.tasks_mean * TASKS_FACTOR_MAX) as u32
}

fn spec_of(shape: &Class, count: u32, estimate_ms: u64, random: &mut ChaCha8Rng) -> Job {
    Job {
        service: "service".to_owned(),
        priority: shape.priority,
        attempts_max: 4,
        stretch: STRETCH,
        slo_ms: SLO_MS,
        class: shape.name.to_owned(),
        phases: vec![Phase {
            count,
            cpu_millicores: CPU.sample(random).min(CPU_MAX) as u64,
            memory_mb: 64,
            estimate_ms,
            ..Phase::default()
        }],
        ..Job::default()
    }
}

fn apply(change: &Change, arrival: &mut Arrival, random: &mut ChaCha8Rng) {
    let at_ms = arrival.at_ms;
    let mut drawn = |share: f64| random.random::<f64>() < share;
    match *change {
        Change::Impatience {
            share,
            after_ms,
            from_ms,
            to_ms,
        } if (from_ms..to_ms).contains(&at_ms) && drawn(share) => {
            arrival.leaves_ms = at_ms + after_ms;
        }
        Change::Hopeless {
            share,
            from_ms,
            to_ms,
        } if (from_ms..to_ms).contains(&at_ms) && drawn(share) => arrival.fails = true,
        Change::Shift {
            share,
            from_ms,
            to_ms,
        } if (from_ms..to_ms).contains(&at_ms) && arrival.domain == 0 && drawn(share) => {
            arrival.domain = 1;
        }
        // Their objectives count from the first try.
        Change::Outage { from_ms, to_ms } if (from_ms..to_ms).contains(&at_ms) => {
            arrival.at_ms = to_ms;
        }
        _ => {}
    }
}
