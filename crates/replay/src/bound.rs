//! Upper bound on the weighted goodput of any scheduler.
//!
//! The bound is the optimum of a fluid relaxation: the workers' capacity is pooled, and work can
//! be split arbitrarily, but must be done between a job's arrival and its objective. Whatever a
//! real scheduler completes on time is feasible in the relaxation.
//!
//! Sets of work units that can be matched to capacity form a transversal matroid, so the greedy
//! choice by weight is optimal. With the classes sorted by weight, `w1 >= w2 >= ...`, and `r(k)`
//! the maximum work that can be done of the first `k` classes, the optimum is the sum of
//! `(w(k) - w(k+1)) r(k)`. Earliest-deadline-first attains `r(k)`, because the windows are
//! intervals.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::arrivals::Arrival;
use crate::pattern::Pattern;
use crate::stats::class_weight;

/// Upper bound on [`ReplayStats::weighted_goodput`](crate::stats::ReplayStats::weighted_goodput).
/// `capacity` gives the workers' total capacity at a time, in millicores of a standard worker.
pub fn max_weighted_goodput(
    pattern: &Pattern,
    arrivals: &[Arrival],
    capacity: impl Fn(u64) -> f64,
) -> f64 {
    let eligible: Vec<&Arrival> = arrivals
        .iter()
        .filter(|arrival| !arrival.always_fails && arrival.abandons_ms > arrival.useful_until_ms)
        .collect();
    let mut classes: Vec<usize> = (0..pattern.classes.len()).collect();
    let weight = |class: usize| class_weight(&pattern.classes[class]);
    classes.sort_by(|&left, &right| weight(right).total_cmp(&weight(left)));
    let mut earned = 0.0;
    for count in 1..=classes.len() {
        let heaviest = &classes[..count];
        let jobs = eligible.iter().filter(|job| heaviest.contains(&job.class));
        let jobs: Vec<&Arrival> = jobs.copied().collect();
        let next = classes.get(count).map_or(0.0, |&class| weight(class));
        earned += (weight(classes[count - 1]) - next) * max_work(&jobs, &capacity);
    }
    let all: f64 = eligible
        .iter()
        .map(|job| weight(job.class) * job.work() as f64)
        .sum();
    earned / f64::max(all, f64::MIN_POSITIVE)
}

/// Maximum work of `jobs`, sorted by arrival, that can be done within their windows.
fn max_work(jobs: &[&Arrival], capacity: &impl Fn(u64) -> f64) -> f64 {
    let mut ready: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let mut remaining: Vec<f64> = jobs.iter().map(|job| job.work() as f64).collect();
    let mut next = 0;
    let mut done = 0.0;
    let mut now_ms = 0;
    while next < jobs.len() || !ready.is_empty() {
        while next < jobs.len() && jobs[next].at_ms <= now_ms {
            ready.push(Reverse((jobs[next].due_ms, next)));
            next += 1;
        }
        let mut free = capacity(now_ms);
        while free > 0.0
            && let Some(&Reverse((due_ms, job))) = ready.peek()
        {
            let taken = match due_ms > now_ms {
                true => free.min(remaining[job]),
                false => 0.0,
            };
            free -= taken;
            done += taken;
            remaining[job] -= taken;
            if due_ms <= now_ms || remaining[job] <= 0.0 {
                ready.pop();
            }
        }
        now_ms += 1;
    }
    done
}
