//! What callers saw, by class.

use std::fmt::{self, Display, Formatter};

use crate::arrivals::Arrival;
use crate::pattern::Pattern;

/// How a caller's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// Whole, at this instant.
    Completed {
        /// When.
        at_ms: u64,
    },
    /// Refused: it had not run.
    Refused {
        /// When.
        at_ms: u64,
        /// When to come back.
        retry_after_ms: u64,
    },
    /// Failed, or given up after it may have run.
    Failed {
        /// When.
        at_ms: u64,
    },
    /// The caller left without an answer.
    Left,
}

/// Counts of one class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassFigures {
    /// Jobs that could be done and whose callers waited.
    pub owed: u64,
    /// Answered within the objective.
    pub in_aim: u64,
    /// Answered later, but of some use.
    pub late: u64,
    /// Answered when it was of no use.
    pub useless: u64,
    /// Refused as not run.
    pub refused: u64,
    /// Failed, or given up half-done.
    pub failed: u64,
    /// Left without any answer.
    pub left: u64,
    /// Work of those in aim, thousandths of a core times milliseconds.
    pub work_in_aim: f64,
    /// Work of all that is owed.
    pub work_owed: f64,
    /// Times from request to refusal, sorted.
    pub refusal_ms: Vec<u64>,
    /// Times from request to a complete answer, sorted.
    pub answer_ms: Vec<u64>,
}

/// Figures of one replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// By class, in the pattern's order.
    pub classes: Vec<ClassFigures>,
}

/// The value at a share of a sorted list; 0 of an empty one.
pub fn quantile(sorted: &[u64], share: f64) -> u64 {
    let last = sorted.len().saturating_sub(1) as f64;
    let position = (last * share).round() as usize;
    sorted.get(position).copied().unwrap_or(0)
}

impl Figures {
    /// Counts what callers saw of their jobs.
    pub fn count(pattern: &Pattern, arrivals: &[Arrival], seen: &[Seen]) -> Self {
        let mut figures = Self {
            classes: vec![ClassFigures::default(); pattern.classes.len()],
        };
        for (arrival, seen) in arrivals.iter().zip(seen) {
            let is_owed = !arrival.fails && arrival.leaves_ms > arrival.late_ms;
            if is_owed {
                figures.classes[arrival.class].take(arrival, *seen);
            }
        }
        for class in &mut figures.classes {
            class.refusal_ms.sort_unstable();
            class.answer_ms.sort_unstable();
        }
        figures
    }

    /// Credit of the answers in aim against all that is owed, where each
    /// class's work counts so that its usual traffic is worth as much as any
    /// other's.
    pub fn credit(&self, pattern: &Pattern) -> f64 {
        let classes = self.classes.iter().zip(&pattern.classes);
        let sums = classes.fold((0.0, 0.0), |(earned, owed), (figures, class)| {
            let density = density_of(class);
            (
                earned + density * figures.work_in_aim,
                owed + density * figures.work_owed,
            )
        });
        sums.0 / f64::max(sums.1, f64::MIN_POSITIVE)
    }

    /// A count over all classes.
    pub fn sum(&self, count: impl Fn(&ClassFigures) -> u64) -> u64 {
        self.classes.iter().map(count).sum()
    }

    /// Times to refusal of all classes, sorted.
    pub fn refusal_ms(&self) -> Vec<u64> {
        let classes = self.classes.iter();
        let mut all: Vec<u64> = classes
            .flat_map(|class| class.refusal_ms.iter().copied())
            .collect();
        all.sort_unstable();
        all
    }
}

/// Worth of a unit of a class's work: usual traffic of all classes is worth
/// the same.
pub fn density_of(class: &crate::pattern::Class) -> f64 {
    1.0 / (class.usual_per_s * class.tasks_mean * class.run_mean_ms)
}

impl ClassFigures {
    fn take(&mut self, arrival: &Arrival, seen: Seen) {
        let since_ms = |at_ms: u64| at_ms.saturating_sub(arrival.at_ms);
        let work = arrival.work() as f64;
        self.owed += 1;
        self.work_owed += work;
        match seen {
            Seen::Completed { at_ms } => {
                self.answer_ms.push(since_ms(at_ms));
                if at_ms <= arrival.due_ms {
                    self.in_aim += 1;
                    self.work_in_aim += work;
                } else if at_ms <= arrival.late_ms {
                    self.late += 1;
                } else {
                    self.useless += 1;
                }
            }
            Seen::Refused { at_ms, .. } => {
                self.refused += 1;
                self.refusal_ms.push(since_ms(at_ms));
            }
            Seen::Failed { .. } => self.failed += 1,
            Seen::Left => self.left += 1,
        }
    }
}

/// Shows figures as a table, beside the bound.
pub struct Table<'a> {
    /// The pattern.
    pub pattern: &'a Pattern,
    /// Its figures.
    pub figures: &'a Figures,
    /// Bound on the credit.
    pub bound: f64,
}

impl Table<'_> {
    /// All classes together, on one line.
    pub fn line(&self) -> String {
        let figures = self.figures;
        let credit = figures.credit(self.pattern);
        let owed = figures.sum(|class| class.owed).max(1) as f64;
        let share = |count: fn(&ClassFigures) -> u64| figures.sum(count) as f64 / owed;
        let refusal_ms = figures.refusal_ms();
        format!(
            "{:<14} credit {credit:.3} of {:.3} ({:.2}); in aim {:.3} late {:.3} useless {:.3} \
             refused {:.3} (p50 {} p99 {} ms) failed {:.3} left {:.3}",
            self.pattern.name,
            self.bound,
            credit / self.bound,
            share(|class| class.in_aim),
            share(|class| class.late),
            share(|class| class.useless),
            share(|class| class.refused),
            quantile(&refusal_ms, 0.5),
            quantile(&refusal_ms, 0.99),
            share(|class| class.failed),
            share(|class| class.left),
        )
    }
}

impl Display for Table<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let credit = self.figures.credit(self.pattern);
        writeln!(
            f,
            "{}: credit {credit:.3} of {:.3} ({:.2})",
            self.pattern.name,
            self.bound,
            credit / self.bound
        )?;
        writeln!(
            f,
            "  class    owed in-aim  late useless refused failed  left | refused after p50 p99 | \
             answer p50 p99"
        )?;
        for (class, figures) in self.pattern.classes.iter().zip(&self.figures.classes) {
            let share = |count: u64| count as f64 / figures.owed.max(1) as f64;
            writeln!(
                f,
                "  {:<6} {:>6}  {:.3} {:.3}   {:.3}   {:.3}  {:.3} {:.3} | {:>17} {:>3} | {:>10} {:>3}",
                class.name,
                figures.owed,
                share(figures.in_aim),
                share(figures.late),
                share(figures.useless),
                share(figures.refused),
                share(figures.failed),
                share(figures.left),
                quantile(&figures.refusal_ms, 0.5),
                quantile(&figures.refusal_ms, 0.99),
                quantile(&figures.answer_ms, 0.5),
                quantile(&figures.answer_ms, 0.99),
            )?;
        }
        Ok(())
    }
}
