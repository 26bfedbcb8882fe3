//! Checker of histories: reads what callers sent and got and what backend
//! servers started, and names every promise broken. It knows nothing of what
//! stands between the two.
//!
//! A "not run" answer is false in either of two cases. A task of its key had
//! started before the request was sent. Or tasks of its key started at any
//! time, and no other submission of the key ended after it with another
//! verdict: "not run" was then the last that the caller heard.

pub mod history;
mod violation;

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

use crate::worker::record::TaskStart;
use history::{HistoryEntry, RequestKind, UNREACHABLE};
pub use violation::Violation;

/// Difference allowed between the clocks of callers and backend servers.
const CLOCK_BOUND_MS: f64 = 2.0;
const NOT_RUN: &str = "not_run";
const COMPLETE: &str = "complete";
/// Refusal of a body, not of the key: the key's own tasks may well run.
const KEY_REUSED: &str = "key_reused";

/// What a check found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CheckReport {
    /// Requests read.
    pub requests: usize,
    /// Starts read.
    pub starts: usize,
    /// Distinct keys in the requests.
    pub keys: usize,
    /// Complete answers checked.
    pub complete: usize,
    /// Answers that said "not run".
    pub not_run: usize,
    /// Promises broken, in order.
    pub violations: Vec<Violation>,
}

/// All that is known of one key.
#[derive(Debug, Default)]
struct KeyHistory<'a> {
    requests: Vec<&'a HistoryEntry>,
    starts: Vec<(u32, &'a TaskStart)>,
}

/// Checks requests against starts.
pub fn check(requests: &[HistoryEntry], starts: &[TaskStart]) -> CheckReport {
    let mut violations = Vec::new();
    let keys = by_key(requests, starts, &mut violations);
    for (key, history) in &keys {
        violations.extend(double_starts(key, history));
        violations.extend(false_not_run(history));
        violations.extend(bad_answers(history));
        violations.extend(two_answers(history));
    }
    violations.sort();
    CheckReport {
        requests: requests.len(),
        starts: starts.len(),
        keys: keys.values().filter(|key| !key.requests.is_empty()).count(),
        complete: requests.iter().filter(|entry| is_complete(entry)).count(),
        not_run: requests
            .iter()
            .filter(|entry| entry.verdict == NOT_RUN)
            .count(),
        violations,
    }
}

fn by_key<'a>(
    requests: &'a [HistoryEntry],
    starts: &'a [TaskStart],
    violations: &mut Vec<Violation>,
) -> BTreeMap<&'a str, KeyHistory<'a>> {
    let mut keys: BTreeMap<&str, KeyHistory<'_>> = BTreeMap::new();
    for request in requests {
        keys.entry(&request.key).or_default().requests.push(request);
    }
    for start in starts {
        match task_of(&start.task) {
            Some((key, index)) => keys.entry(key).or_default().starts.push((index, start)),
            None => violations.push(Violation::UnnamedStart {
                worker: start.worker.clone(),
                task: start.task.clone(),
            }),
        }
    }
    keys
}

/// Key and index out of `KEY/INDEX/ATTEMPT`; the key itself may hold slashes.
fn task_of(task: &str) -> Option<(&str, u32)> {
    let mut parts = task.rsplitn(3, '/');
    let _attempt = parts.next()?;
    let index = parts.next()?.parse().ok()?;
    Some((parts.next()?, index))
}

fn double_starts(key: &str, history: &KeyHistory<'_>) -> Vec<Violation> {
    let mut counts: BTreeMap<u32, usize> = BTreeMap::new();
    for (index, _) in &history.starts {
        *counts.entry(*index).or_default() += 1;
    }
    counts
        .into_iter()
        .filter(|(_, starts)| *starts > 1)
        .map(|(index, starts)| Violation::DoubleStart {
            key: key.to_owned(),
            index,
            starts,
        })
        .collect()
}

fn false_not_run(history: &KeyHistory<'_>) -> Vec<Violation> {
    history
        .requests
        .iter()
        .filter(|entry| entry.verdict == NOT_RUN)
        .filter_map(|entry| {
            let starts = starts_against(history, entry);
            (starts > 0).then(|| Violation::FalseNotRun {
                key: entry.key.clone(),
                entry: entry.entry.clone(),
                status: entry.status,
                reason: entry.reason.clone(),
                starts,
            })
        })
        .collect()
}

/// Starts that show a "not run" answer false.
fn starts_against(history: &KeyHistory<'_>, refused: &HistoryEntry) -> usize {
    let starts = history.starts.iter().map(|(_, start)| start);
    if refused.reason == KEY_REUSED {
        return starts
            .filter(|start| is_only_of(history, refused, start))
            .count();
    }
    let earlier = |start: &&&TaskStart| (start.wall_ms as f64) + CLOCK_BOUND_MS < refused.sent_ms;
    match has_later_word(history, refused) {
        true => starts.filter(earlier).count(),
        false => starts.count(),
    }
}

/// Whether a start is of a body that only the refused kind of request sent.
fn is_only_of(history: &KeyHistory<'_>, refused: &HistoryEntry, start: &TaskStart) -> bool {
    let Some(token) = &start.token else {
        return false;
    };
    let sent_otherwise = history
        .requests
        .iter()
        .filter(|entry| entry.reason != KEY_REUSED)
        .any(|entry| entry.tokens.contains(token));
    refused.tokens.contains(token) && !sent_otherwise
}

fn has_later_word(history: &KeyHistory<'_>, refused: &HistoryEntry) -> bool {
    history
        .requests
        .iter()
        .filter(|entry| entry.kind == RequestKind::Submit)
        .filter(|entry| entry.verdict != NOT_RUN && entry.reason != KEY_REUSED)
        .filter(|entry| entry.reason != UNREACHABLE)
        .any(|entry| entry.answered_ms >= refused.answered_ms)
}

fn is_complete(entry: &HistoryEntry) -> bool {
    entry.state == COMPLETE
}

fn bad_answers(history: &KeyHistory<'_>) -> Vec<Violation> {
    history
        .requests
        .iter()
        .flat_map(|entry| match is_complete(entry) {
            true => bad_results(history, entry),
            false => leaked_results(entry),
        })
        .collect()
}

fn leaked_results(entry: &HistoryEntry) -> Vec<Violation> {
    match entry.results.is_empty() {
        true => Vec::new(),
        false => vec![partial(entry)],
    }
}

fn partial(entry: &HistoryEntry) -> Violation {
    Violation::Partial {
        key: entry.key.clone(),
        entry: entry.entry.clone(),
        state: entry.state.clone(),
        results: entry.results.len(),
        tasks: entry.tokens.len(),
    }
}

fn bad_results(history: &KeyHistory<'_>, entry: &HistoryEntry) -> Vec<Violation> {
    if entry.results.len() != entry.tokens.len() {
        return vec![partial(entry)];
    }
    let started: BTreeSet<_> = history.starts.iter().map(|(index, _)| *index).collect();
    entry
        .tokens
        .iter()
        .zip(&entry.results)
        .enumerate()
        .filter_map(|(index, (sent, result))| bad_result(&started, entry, index, sent, result))
        .collect()
}

fn bad_result(
    started: &BTreeSet<u32>,
    entry: &HistoryEntry,
    index: usize,
    sent: &str,
    result: &Value,
) -> Option<Violation> {
    let got = token_of(result);
    if got != Some(sent) {
        return Some(Violation::Crossed {
            key: entry.key.clone(),
            entry: entry.entry.clone(),
            index,
            sent: sent.to_owned(),
            got: got.unwrap_or("no token").to_owned(),
        });
    }
    let started = started.contains(&(index as u32));
    (!started).then(|| Violation::ResultWithoutStart {
        key: entry.key.clone(),
        entry: entry.entry.clone(),
        index,
    })
}

/// The token that a backend server echoed: `{"worker", "result": {"token"}}`.
fn token_of(result: &Value) -> Option<&str> {
    result["result"]["token"].as_str()
}

fn two_answers(history: &KeyHistory<'_>) -> Option<Violation> {
    let mut complete = history.requests.iter().filter(|entry| is_complete(entry));
    let first = complete.next()?;
    let second = complete.find(|entry| entry.results != first.results)?;
    Some(Violation::TwoAnswers {
        key: first.key.clone(),
        first_entry: first.entry.clone(),
        second_entry: second.entry.clone(),
    })
}
