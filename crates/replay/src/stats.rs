//! What callers got, by job class.

use std::fmt::{self, Display, Formatter};

use crate::arrivals::Arrival;
use crate::pattern::Pattern;

/// How a caller's request ended. Times count from the first possible arrival.
#[expect(missing_docs, reason = "the fields explain themselves")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// All results were returned.
    Completed { at_ms: u64 },
    /// Refused before any task ran.
    Refused {
        at_ms: u64,
        /// Delay that the refusal asks for before a retry.
        retry_after_ms: u64,
    },
    /// Failed, or ended after tasks may have run.
    Failed { at_ms: u64 },
    /// The caller gave up without an answer.
    Abandoned,
}

/// Counts and latencies of one job class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassStats {
    /// Jobs that can succeed and whose callers wait long enough; the other fields count only these.
    pub eligible: u64,
    /// Completed within the objective.
    pub on_time: u64,
    /// Completed after the objective, but still of use.
    pub late: u64,
    /// Completed too late to be of use.
    pub too_late: u64,
    /// Refused before any task ran.
    pub refused: u64,
    /// Failed, or ended after tasks may have run.
    pub failed: u64,
    /// Abandoned by the caller without an answer.
    pub abandoned: u64,
    /// Work of the on-time jobs, in millicore-milliseconds.
    pub on_time_work: f64,
    /// Work of all eligible jobs, in millicore-milliseconds.
    pub eligible_work: f64,
    /// Latencies of refusals, sorted.
    pub refusal_latencies_ms: Vec<u64>,
    /// Latencies of completions, sorted.
    pub completion_latencies_ms: Vec<u64>,
}

/// Results of one replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplayStats {
    /// By job class, in the pattern's order.
    pub classes: Vec<ClassStats>,
}

/// Quantile of sorted values; 0 if there are none.
pub fn quantile(sorted: &[u64], fraction: f64) -> u64 {
    let last = sorted.len().saturating_sub(1) as f64;
    let position = (last * fraction).round() as usize;
    sorted.get(position).copied().unwrap_or(0)
}

impl ReplayStats {
    /// Summarizes the outcomes of first requests, given in the order of `arrivals`.
    pub fn new(pattern: &Pattern, arrivals: &[Arrival], outcomes: &[CallerOutcome]) -> Self {
        let mut stats = Self {
            classes: vec![ClassStats::default(); pattern.classes.len()],
        };
        for (arrival, outcome) in arrivals.iter().zip(outcomes) {
            let is_eligible =
                !arrival.always_fails && arrival.abandons_ms > arrival.useful_until_ms;
            if is_eligible {
                stats.classes[arrival.class].record(arrival, *outcome);
            }
        }
        for class in &mut stats.classes {
            class.refusal_latencies_ms.sort_unstable();
            class.completion_latencies_ms.sort_unstable();
        }
        stats
    }

    /// Share of the eligible work that was completed on time, weighted by class so that every
    /// class counts the same at its base rate.
    pub fn weighted_goodput(&self, pattern: &Pattern) -> f64 {
        let classes = self.classes.iter().zip(&pattern.classes);
        let sums = classes.fold((0.0, 0.0), |(earned, eligible), (stats, class)| {
            let weight = class_weight(class);
            (
                earned + weight * stats.on_time_work,
                eligible + weight * stats.eligible_work,
            )
        });
        sums.0 / f64::max(sums.1, f64::MIN_POSITIVE)
    }

    /// Sum of a count over all classes.
    pub fn sum(&self, count: impl Fn(&ClassStats) -> u64) -> u64 {
        self.classes.iter().map(count).sum()
    }

    /// Latencies of refusals of all classes, sorted.
    pub fn refusal_latencies_ms(&self) -> Vec<u64> {
        let classes = self.classes.iter();
        let mut all: Vec<u64> = classes
            .flat_map(|class| class.refusal_latencies_ms.iter().copied())
            .collect();
        all.sort_unstable();
        all
    }
}

/// Weight of a unit of a class's work: every class counts the same at its base rate.
pub(crate) fn class_weight(class: &crate::pattern::JobClass) -> f64 {
    1.0 / (class.base_rate_per_s * class.tasks_mean * class.run_mean_ms)
}

impl ClassStats {
    fn record(&mut self, arrival: &Arrival, outcome: CallerOutcome) {
        let latency_ms = |at_ms: u64| at_ms.saturating_sub(arrival.at_ms);
        let work = arrival.work() as f64;
        self.eligible += 1;
        self.eligible_work += work;
        match outcome {
            CallerOutcome::Completed { at_ms } => {
                self.completion_latencies_ms.push(latency_ms(at_ms));
                if at_ms <= arrival.due_ms {
                    self.on_time += 1;
                    self.on_time_work += work;
                } else if at_ms <= arrival.useful_until_ms {
                    self.late += 1;
                } else {
                    self.too_late += 1;
                }
            }
            CallerOutcome::Refused { at_ms, .. } => {
                self.refused += 1;
                self.refusal_latencies_ms.push(latency_ms(at_ms));
            }
            CallerOutcome::Failed { .. } => self.failed += 1,
            CallerOutcome::Abandoned => self.abandoned += 1,
        }
    }
}

/// Displays the results of a replay as a table.
pub struct Table<'a> {
    /// Pattern that was replayed.
    pub pattern: &'a Pattern,
    /// Results of the replay.
    pub stats: &'a ReplayStats,
    /// Upper bound on the weighted goodput.
    pub bound: f64,
}

impl Table<'_> {
    /// Summary of all classes on one line.
    pub fn line(&self) -> String {
        let stats = self.stats;
        let weighted_goodput = stats.weighted_goodput(self.pattern);
        let eligible = stats.sum(|class| class.eligible).max(1) as f64;
        let share = |count: fn(&ClassStats) -> u64| stats.sum(count) as f64 / eligible;
        let refusal_latencies_ms = stats.refusal_latencies_ms();
        format!(
            "{:<14} goodput {weighted_goodput:.3} of {:.3} ({:.2}); on time {:.3} late {:.3} \
             too late {:.3} refused {:.3} (p50 {} p99 {} ms) failed {:.3} abandoned {:.3}",
            self.pattern.name,
            self.bound,
            weighted_goodput / self.bound,
            share(|class| class.on_time),
            share(|class| class.late),
            share(|class| class.too_late),
            share(|class| class.refused),
            quantile(&refusal_latencies_ms, 0.5),
            quantile(&refusal_latencies_ms, 0.99),
            share(|class| class.failed),
            share(|class| class.abandoned),
        )
    }
}

impl Display for Table<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let weighted_goodput = self.stats.weighted_goodput(self.pattern);
        writeln!(
            f,
            "{}: goodput {weighted_goodput:.3} of {:.3} ({:.2})",
            self.pattern.name,
            self.bound,
            weighted_goodput / self.bound
        )?;
        writeln!(
            f,
            "  class  eligible on-time  late too late refused failed abandoned | refusal p50 p99 | \
             completion p50 p99"
        )?;
        for (class, stats) in self.pattern.classes.iter().zip(&self.stats.classes) {
            let share = |count: u64| count as f64 / stats.eligible.max(1) as f64;
            writeln!(
                f,
                "  {:<6} {:>8}   {:.3} {:.3}    {:.3}   {:.3}  {:.3}     {:.3} | {:>11} {:>3} | {:>14} {:>3}",
                class.name,
                stats.eligible,
                share(stats.on_time),
                share(stats.late),
                share(stats.too_late),
                share(stats.refused),
                share(stats.failed),
                share(stats.abandoned),
                quantile(&stats.refusal_latencies_ms, 0.5),
                quantile(&stats.refusal_latencies_ms, 0.99),
                quantile(&stats.completion_latencies_ms, 0.5),
                quantile(&stats.completion_latencies_ms, 0.99),
            )?;
        }
        Ok(())
    }
}
