//! Plan of all requests of a run, generated from its seed.

use rand::Rng;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

use super::{
    LoadOptions,
    distribution::{chance, exponential},
};

const SECOND_MS: f64 = 1_000.0;
/// Follow-up requests are sent within this multiple of the longest run time.
const FOLLOW_UP_RATIO: f64 = 1.5;

/// A follow-up request for a job, such as a resubmission or cancellation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FollowUp {
    /// Time after the first submission, in milliseconds.
    pub after_ms: f64,
    /// Offset of its entry instance from that of the first submission.
    pub entry_step: usize,
}

/// A planned job.
#[derive(Clone, Debug, PartialEq)]
pub struct JobPlan {
    /// Position in the order of arrival.
    pub number: usize,
    /// Time of submission after the start, in milliseconds.
    pub at_ms: f64,
    /// Team of the job.
    pub team: String,
    /// Run times of its tasks, in milliseconds.
    pub run_ms: Vec<f64>,
    /// Random part of its key.
    pub key_random: [u8; 10],
    /// Resubmission, if any.
    pub resubmit: Option<FollowUp>,
    /// Submission of another body with its key, if any.
    pub reuse: Option<FollowUp>,
    /// Cancellation, if any.
    pub cancel: Option<FollowUp>,
}

impl JobPlan {
    /// Longest run time of its tasks, in milliseconds.
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
    /// Creates the plan for the options' seed.
    pub fn new(options: &'a LoadOptions) -> Self {
        Self {
            options,
            random: ChaCha8Rng::seed_from_u64(options.seed),
            now_ms: 0.0,
            number: 0,
        }
    }

    /// Advances to the next arrival of an inhomogeneous Poisson process, by thinning.
    fn advance(&mut self) -> Option<()> {
        let rate_max = self.options.rate_max();
        if rate_max <= 0.0 {
            return None;
        }
        loop {
            self.now_ms += exponential(&mut self.random, rate_max) * SECOND_MS;
            if self.now_ms >= self.options.duration_ms as f64 {
                return None;
            }
            let acceptance = self.options.rate_at(self.now_ms) / rate_max;
            if self.random.random::<f64>() < acceptance {
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

    fn plan_follow_up(&mut self, share_percent: f64, longest_ms: f64) -> Option<FollowUp> {
        let is_sent = chance(&mut self.random, share_percent);
        let after_ratio = self.random.random::<f64>() * FOLLOW_UP_RATIO;
        let others = self.options.entries.len().max(2);
        let entry_step = self.random.random_range(1..others);
        is_sent.then_some(FollowUp {
            after_ms: after_ratio * longest_ms,
            entry_step,
        })
    }
}

impl Iterator for Plan<'_> {
    type Item = JobPlan;

    fn next(&mut self) -> Option<JobPlan> {
        self.advance()?;
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
        job.resubmit = self.plan_follow_up(self.options.resubmit_percent, longest_ms);
        job.cancel = self.plan_follow_up(self.options.cancel_percent, longest_ms);
        job.reuse = self.plan_follow_up(self.options.reuse_percent, longest_ms);
        self.number += 1;
        Some(job)
    }
}
