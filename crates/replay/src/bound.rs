//! What no scheduler can exceed.
//!
//! The workers are taken as one fluid: all room in one place, any task in any
//! piece of it, work that can be cut as finely as one likes. Each job's work
//! must be done between its request and its objective. Whatever a real
//! scheduler completes in aim is also done in this model, so its best credit
//! bounds every scheduler's.
//!
//! In the model, units of work with windows of time are matched to units of
//! room. The sets of units that can be matched together form a transversal
//! matroid, so the greedy choice by worth is the best one: with the classes by
//! worth of a unit, `d1 >= d2 >= ...`, and `r(k)` the most work that can be
//! done of the first `k` classes, the best credit is the sum of
//! `(d(k) - d(k+1)) r(k)`. `r(k)` is what earliest-due-first does, which is the
//! best matching where windows are intervals.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::arrivals::Arrival;
use crate::figures::density_of;
use crate::pattern::Pattern;

/// Largest credit that any scheduler earns for answers in aim; `room` gives the
/// workers' room at an instant, thousandths of a core of common speed.
pub fn credit(pattern: &Pattern, arrivals: &[Arrival], room: impl Fn(u64) -> f64) -> f64 {
    let owed: Vec<&Arrival> = arrivals
        .iter()
        .filter(|arrival| !arrival.fails && arrival.leaves_ms > arrival.late_ms)
        .collect();
    let mut classes: Vec<usize> = (0..pattern.classes.len()).collect();
    let density = |class: usize| density_of(&pattern.classes[class]);
    classes.sort_by(|&left, &right| density(right).total_cmp(&density(left)));
    let mut earned = 0.0;
    for taken in 1..=classes.len() {
        let first = &classes[..taken];
        let jobs = owed.iter().filter(|job| first.contains(&job.class));
        let jobs: Vec<&Arrival> = jobs.copied().collect();
        let next = classes.get(taken).map_or(0.0, |&class| density(class));
        earned += (density(classes[taken - 1]) - next) * most_work(&jobs, &room);
    }
    let all: f64 = owed
        .iter()
        .map(|job| density(job.class) * job.work() as f64)
        .sum();
    earned / f64::max(all, f64::MIN_POSITIVE)
}

/// Most work of `jobs`, sorted by arrival, that fits into their windows.
fn most_work(jobs: &[&Arrival], room: &impl Fn(u64) -> f64) -> f64 {
    let mut open: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let mut left: Vec<f64> = jobs.iter().map(|job| job.work() as f64).collect();
    let mut next = 0;
    let mut done = 0.0;
    let mut now_ms = 0;
    while next < jobs.len() || !open.is_empty() {
        while next < jobs.len() && jobs[next].at_ms <= now_ms {
            open.push(Reverse((jobs[next].due_ms, next)));
            next += 1;
        }
        let mut free = room(now_ms);
        while free > 0.0
            && let Some(&Reverse((due_ms, job))) = open.peek()
        {
            let taken = match due_ms > now_ms {
                true => free.min(left[job]),
                false => 0.0,
            };
            free -= taken;
            done += taken;
            left[job] -= taken;
            if due_ms <= now_ms || left[job] <= 0.0 {
                open.pop();
            }
        }
        now_ms += 1;
    }
    done
}
