//! What will be sent and when, drawn from the seed alone.

use rand::Rng;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

use super::{
    LoadOptions,
    law::{exponential, percent},
};

const SECOND_MS: f64 = 1_000.0;
/// A resubmission or cancellation comes within this multiple of the ideal.
const SECOND_THOUGHT_RATIO: f64 = 1.5;

/// A second request about a job, while or after the first runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SecondThought {
    /// Time after the first submission, in milliseconds.
    pub after_ms: f64,
    /// Steps from the first submission's entry to this one's.
    pub entry_step: usize,
}

/// One job as planned.
#[derive(Clone, Debug, PartialEq)]
pub struct JobPlan {
    /// Place in the order of arrival.
    pub number: usize,
    /// Time of arrival since the start, in milliseconds.
    pub at_ms: f64,
    /// Team it is sent for.
    pub team: String,
    /// Run times of its tasks, in milliseconds.
    pub run_ms: Vec<f64>,
    /// Random part of its key.
    pub key_random: [u8; 10],
    /// Whether and when it is submitted again.
    pub resubmit: Option<SecondThought>,
    /// Whether and when another body is submitted under its key.
    pub reuse: Option<SecondThought>,
    /// Whether and when it is cancelled.
    pub cancel: Option<SecondThought>,
}

impl JobPlan {
    /// Longest run time, in milliseconds.
    pub fn longest_ms(&self) -> f64 {
        self.run_ms.iter().copied().fold(0.0, f64::max)
    }
}

/// The jobs of a run, in order of arrival.
#[derive(Debug)]
pub struct Plan<'a> {
    options: &'a LoadOptions,
    random: ChaCha8Rng,
    now_ms: f64,
    number: usize,
}

impl<'a> Plan<'a> {
    /// The plan that the options' seed gives.
    pub fn new(options: &'a LoadOptions) -> Self {
        Self {
            options,
            random: ChaCha8Rng::seed_from_u64(options.seed),
            now_ms: 0.0,
            number: 0,
        }
    }

    /// Moves to the next arrival: draws at the highest rate and thins.
    fn step(&mut self) -> Option<()> {
        let highest = self.options.rate_max();
        if highest <= 0.0 {
            return None;
        }
        loop {
            self.now_ms += exponential(&mut self.random, highest) * SECOND_MS;
            if self.now_ms >= self.options.duration_ms as f64 {
                return None;
            }
            let kept = self.options.rate_at(self.now_ms) / highest;
            if self.random.random::<f64>() < kept {
                return Some(());
            }
        }
    }

    fn team(&mut self) -> String {
        let teams = &self.options.teams;
        match teams.len() {
            0 => "default".to_owned(),
            count => teams[self.random.random_range(0..count)].clone(),
        }
    }

    fn run_times(&mut self) -> Vec<f64> {
        let tasks = self.options.tasks.sample(&mut self.random).round().max(1.0);
        (0..tasks as usize)
            .map(|_| self.options.run_time.sample(&mut self.random).max(0.0))
            .collect()
    }

    fn second_thought(&mut self, share: f64, longest_ms: f64) -> Option<SecondThought> {
        let wanted = percent(&mut self.random, share);
        let after = self.random.random::<f64>() * SECOND_THOUGHT_RATIO;
        let others = self.options.entries.len().max(2);
        let entry_step = self.random.random_range(1..others);
        wanted.then_some(SecondThought {
            after_ms: after * longest_ms,
            entry_step,
        })
    }
}

impl Iterator for Plan<'_> {
    type Item = JobPlan;

    fn next(&mut self) -> Option<JobPlan> {
        self.step()?;
        let team = self.team();
        let run_ms = self.run_times();
        let mut job = JobPlan {
            number: self.number,
            at_ms: self.now_ms,
            team,
            run_ms,
            key_random: self.random.random(),
            resubmit: None,
            reuse: None,
            cancel: None,
        };
        let longest_ms = job.longest_ms();
        job.resubmit = self.second_thought(self.options.resubmit_percent, longest_ms);
        job.cancel = self.second_thought(self.options.cancel_percent, longest_ms);
        job.reuse = self.second_thought(self.options.reuse_percent, longest_ms);
        self.number += 1;
        Some(job)
    }
}
