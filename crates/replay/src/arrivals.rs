//! The jobs of a pattern, generated from a seed.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use trefoil_fakes::load::distribution::{Distribution, exponential};
use trefoil_schema::dispatch::{Job, Phase};

use crate::pattern::{Disturbance, JobClass, Pattern, Tail};

/// The response time objective is `STRETCH` times the longest run time plus `SLO_MS`.
const STRETCH: f64 = 1.6;
const SLO_MS: u64 = 60;
/// Answers up to this multiple of the objective count as late, beyond it as too late.
const LATE_FACTOR: u64 = 3;
/// How long callers wait after an answer has become too late.
const PATIENCE_MS: u64 = 1500;
/// Standard deviation of the logarithm of widths and run times within a class.
const CLASS_SIGMA: f64 = 0.4;
/// Standard deviation of the logarithm of run times within a job.
const TASK_SIGMA: f64 = 0.15;
/// Standard deviation of the logarithm of the estimates' error.
const ESTIMATE_SIGMA: f64 = 0.4;
/// Maximum number of tasks, as a multiple of the class's mean.
const TASKS_FACTOR_MAX: f64 = 4.0;
/// Maximum run time, as a multiple of the class's mean.
const RUN_FACTOR_MAX: f64 = 4.0;
/// CPU request of a task: about half a standard worker.
const CPU_MILLICORES: Distribution = Distribution::Lognormal {
    mean: 8000.0,
    sigma: 0.2,
};
const CPU_MILLICORES_MAX: f64 = 12_000.0;

/// A job submitted by a caller. Times count from the first possible arrival.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Arrival time of the first request.
    pub at_ms: u64,
    /// Position of its class in the pattern.
    pub class: usize,
    /// Failure domain of its entry instance.
    pub domain: u32,
    /// Index of its entry instance within the failure domain.
    pub entry: u32,
    /// The submitted job, with the caller's estimates.
    pub spec: Job,
    /// Actual run times of its tasks on a standard worker.
    pub run_times_ms: Vec<u64>,
    /// Whether its tasks fail on every attempt.
    pub always_fails: bool,
    /// When the caller gives up waiting.
    pub abandons_ms: u64,
    /// Latest answer that meets the objective.
    pub due_ms: u64,
    /// Latest answer that counts as late rather than too late.
    pub useful_until_ms: u64,
}

impl Arrival {
    /// Total CPU work, in millicore-milliseconds.
    pub fn work(&self) -> u64 {
        let run_ms: u64 = self.run_times_ms.iter().sum();
        run_ms * self.spec.phases[0].cpu_millicores
    }
}

/// All jobs of a pattern, in order of arrival.
pub fn generate(pattern: &Pattern, seed: u64) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for class in 0..pattern.classes.len() {
        generate_class(pattern, class, &mut random, &mut arrivals);
    }
    arrivals.sort_by_key(|arrival: &Arrival| arrival.at_ms);
    for (index, arrival) in arrivals.iter_mut().enumerate() {
        arrival.spec.id = format!("{index:016x}");
    }
    arrivals
}

fn generate_class(
    pattern: &Pattern,
    class: usize,
    random: &mut ChaCha8Rng,
    arrivals: &mut Vec<Arrival>,
) {
    let mut at_ms = 0.0;
    loop {
        let factors = domain_factors(pattern, class, at_ms as u64);
        let factor = factors.iter().sum::<f64>() / factors.len() as f64;
        let per_ms = pattern.classes[class].base_rate_per_s * factor / 1000.0;
        at_ms += exponential(random, per_ms);
        if at_ms >= pattern.duration_ms as f64 {
            return;
        }
        arrivals.push(arrival(pattern, class, at_ms as u64, &factors, random));
    }
}

/// Factors on a class's base rate, by failure domain of the callers.
fn domain_factors(pattern: &Pattern, class: usize, now_ms: u64) -> Vec<f64> {
    let domains = 0..pattern.topology.domains;
    let factor = |domain| {
        let disturbances = pattern.disturbances.iter();
        let factors =
            disturbances.map(|disturbance| rate_factor(disturbance, class, domain, now_ms));
        factors.product()
    };
    domains.map(factor).collect()
}

fn rate_factor(disturbance: &Disturbance, class: usize, domain: u32, now_ms: u64) -> f64 {
    match *disturbance {
        Disturbance::Burst {
            class: burst_class,
            domain: burst_domain,
            factor,
            from_ms,
            to_ms,
        } if burst_class.is_none_or(|burst_class| burst_class == class)
            && burst_domain.is_none_or(|burst_domain| burst_domain == domain)
            && (from_ms..to_ms).contains(&now_ms) =>
        {
            factor
        }
        Disturbance::Wave {
            swing,
            period_ms,
            phase_step,
        } => {
            let periods = now_ms as f64 / period_ms as f64 + phase_step * f64::from(domain);
            1.0 + swing * (periods * std::f64::consts::TAU).sin()
        }
        _ => 1.0,
    }
}

/// Draws the failure domain of a caller, with probabilities proportional to the rates.
fn sample_domain(factors: &[f64], random: &mut ChaCha8Rng) -> u32 {
    let is_even = factors.iter().all(|factor| *factor == factors[0]);
    if is_even {
        return random.random_range(0..factors.len() as u32);
    }
    let mut left = random.random::<f64>() * factors.iter().sum::<f64>();
    let position = factors.iter().position(|factor| {
        left -= factor;
        left < 0.0
    });
    position.unwrap_or(factors.len() - 1) as u32
}

fn arrival(
    pattern: &Pattern,
    class: usize,
    at_ms: u64,
    domain_factors: &[f64],
    random: &mut ChaCha8Rng,
) -> Arrival {
    let shape = &pattern.classes[class];
    let run_time_distribution = Distribution::Lognormal {
        mean: shape.run_mean_ms,
        sigma: CLASS_SIGMA,
    };
    let run_max_ms = shape.run_mean_ms * RUN_FACTOR_MAX;
    let run_ms = run_time_distribution.sample(random).clamp(1.0, run_max_ms);
    let tasks = sample_task_count(shape, random);
    let task_noise = noise_factor(TASK_SIGMA);
    let run_times_ms: Vec<u64> = (0..tasks)
        .map(|_| run_ms * task_noise.sample(random) * tail_factor(pattern.tail, random))
        .map(|run_ms| run_ms.max(1.0) as u64)
        .collect();
    let estimate_ms = (run_ms * noise_factor(ESTIMATE_SIGMA).sample(random)).max(1.0) as u64;
    let longest_ms = run_times_ms.iter().copied().max().unwrap_or(0);
    let objective_ms = (STRETCH * longest_ms as f64) as u64 + SLO_MS;
    let mut arrival = Arrival {
        at_ms,
        class,
        domain: sample_domain(domain_factors, random),
        entry: random.random_range(0..pattern.topology.entries_per_domain),
        spec: job_spec(shape, tasks, estimate_ms, random),
        run_times_ms,
        always_fails: false,
        abandons_ms: at_ms + LATE_FACTOR * objective_ms + PATIENCE_MS,
        due_ms: at_ms + objective_ms,
        useful_until_ms: at_ms + LATE_FACTOR * objective_ms,
    };
    for disturbance in &pattern.disturbances {
        apply(disturbance, &mut arrival, random);
    }
    arrival.spec.patience_ms = LATE_FACTOR * objective_ms + PATIENCE_MS;
    arrival
}

/// Factor on the run time of one task.
fn tail_factor(tail: Option<Tail>, random: &mut ChaCha8Rng) -> f64 {
    match tail {
        Some(tail) if random.random::<f64>() < tail.share => tail.factor,
        _ => 1.0,
    }
}

/// Lognormal factor of mean 1.
fn noise_factor(sigma: f64) -> Distribution {
    Distribution::Lognormal { mean: 1.0, sigma }
}

fn sample_task_count(shape: &JobClass, random: &mut ChaCha8Rng) -> u32 {
    let distribution = Distribution::Lognormal {
        mean: shape.tasks_mean,
        sigma: CLASS_SIGMA,
    };
    let tasks = distribution.sample(random).round();
    tasks.clamp(1.0, shape.tasks_mean * TASKS_FACTOR_MAX) as u32
}

fn job_spec(shape: &JobClass, count: u32, estimate_ms: u64, random: &mut ChaCha8Rng) -> Job {
    Job {
        service: "service".to_owned(),
        priority: shape.priority,
        attempts_max: 4,
        stretch: STRETCH,
        slo_ms: SLO_MS,
        class: shape.name.to_owned(),
        phases: vec![Phase {
            count,
            cpu_millicores: CPU_MILLICORES.sample(random).min(CPU_MILLICORES_MAX) as u64,
            memory_mb: 64,
            estimate_ms,
            ..Phase::default()
        }],
        ..Job::default()
    }
}

fn apply(disturbance: &Disturbance, arrival: &mut Arrival, random: &mut ChaCha8Rng) {
    let at_ms = arrival.at_ms;
    let mut selected = |share: f64| random.random::<f64>() < share;
    match *disturbance {
        Disturbance::Abandonment {
            share,
            after_ms,
            from_ms,
            to_ms,
        } if (from_ms..to_ms).contains(&at_ms) && selected(share) => {
            arrival.abandons_ms = at_ms + after_ms;
        }
        Disturbance::AlwaysFailing {
            share,
            from_ms,
            to_ms,
        } if (from_ms..to_ms).contains(&at_ms) && selected(share) => arrival.always_fails = true,
        Disturbance::CallersMove {
            share,
            from_ms,
            to_ms,
        } if (from_ms..to_ms).contains(&at_ms) && arrival.domain == 0 && selected(share) => {
            arrival.domain = 1;
        }
        // The objective still counts from the original arrival.
        Disturbance::Outage { from_ms, to_ms } if (from_ms..to_ms).contains(&at_ms) => {
            arrival.at_ms = to_ms;
        }
        _ => {}
    }
}
