//! Measured run times of a service's tasks, for estimates.
//!
//! The declared run time is used only until enough tasks are measured, because it
//! can be wrong by a factor of ten.

/// Number of samples from which the measurements replace the declared run time.
const TRUSTED_SAMPLES: u64 = 20;
/// Minimum weight of a new sample in the moving averages.
const MEAN_GAIN: f64 = 0.01;
/// Number of histogram buckets; covers up to 65 s.
const BUCKETS: usize = 64;
/// Buckets per doubling of the run time.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Growth of the weight from one sample to the next; samples lose half of their
/// relative weight after 700 tasks.
const WEIGHT_GROWTH: f64 = 1.001;
/// Weight above which the histogram is scaled down.
const WEIGHT_MAX: f64 = 1e9;

/// Moving averages and an exponentially decaying histogram.
#[derive(Debug)]
pub(crate) struct RunTimes {
    declared_ms: f64,
    mean_ms: f64,
    mean_log2: f64,
    samples: u64,
    weights: [f64; BUCKETS],
    next_weight: f64,
}

impl RunTimes {
    pub fn new(declared_ms: u64) -> Self {
        let declared_ms = declared_ms.max(1) as f64;
        Self {
            declared_ms,
            mean_ms: declared_ms,
            mean_log2: declared_ms.log2(),
            samples: 0,
            weights: [0.0; BUCKETS],
            next_weight: 1.0,
        }
    }

    /// Records a measured run time.
    pub fn record(&mut self, run_ms: u64) {
        let run_ms = run_ms.max(1) as f64;
        self.samples += 1;
        let gain = MEAN_GAIN.max(1.0 / self.samples as f64);
        self.mean_ms += gain * (run_ms - self.mean_ms);
        self.mean_log2 += gain * (run_ms.log2() - self.mean_log2);
        self.weights[bucket(run_ms)] += self.next_weight;
        self.next_weight *= WEIGHT_GROWTH;
        if self.next_weight > WEIGHT_MAX {
            self.scale_down();
        }
    }

    fn scale_down(&mut self) {
        for weight in &mut self.weights {
            *weight /= WEIGHT_MAX;
        }
        self.next_weight /= WEIGHT_MAX;
    }

    /// Sets a new declared run time; the measurements are kept.
    pub fn declare(&mut self, declared_ms: u64) {
        self.declared_ms = declared_ms.max(1) as f64;
    }

    /// Whether enough run times were measured to use them.
    pub fn is_trusted(&self) -> bool {
        self.samples >= TRUSTED_SAMPLES
    }

    /// Mean run time in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        match self.is_trusted() {
            true => self.mean_ms,
            false => self.declared_ms,
        }
    }

    /// Mean binary logarithm of the run times in milliseconds; robust against a
    /// few stragglers.
    pub fn mean_log2(&self) -> f64 {
        self.mean_log2
    }

    /// Upper bound of the run time at `quantile`, from 0 to 1.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        if !self.is_trusted() {
            return self.declared_ms;
        }
        let total: f64 = self.weights.iter().sum();
        let wanted = total * quantile;
        let mut seen = 0.0;
        for (index, weight) in self.weights.iter().enumerate() {
            seen += weight;
            if *weight > 0.0 && seen >= wanted {
                return upper_ms(index);
            }
        }
        upper_ms(BUCKETS - 1)
    }

    /// Run time that the longest of `tasks` tasks exceeds in at most the share
    /// `late` of the jobs.
    pub fn longest_of_ms(&self, tasks: u32, late: f64) -> f64 {
        let share_beyond = late / f64::from(tasks.max(1));
        self.quantile_ms(1.0 - share_beyond.max(0.001))
    }
}

fn bucket(run_ms: f64) -> usize {
    ((run_ms.log2() * BUCKETS_PER_DOUBLING) as usize).min(BUCKETS - 1)
}

fn upper_ms(bucket: usize) -> f64 {
    ((bucket + 1) as f64 / BUCKETS_PER_DOUBLING).exp2()
}
