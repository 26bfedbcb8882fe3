//! Checks the histories of callers' requests against the task starts of backend servers, and
//! reports every violation of the service's guarantees.
//!
//! A `not_run` verdict is false if a task of its key started before the request was sent. It is
//! also false if a task of its key started at any time and no other submission of the key ended
//! later with another verdict, because `not_run` was then the caller's last information.

pub mod history;
mod violation;

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

use crate::worker::record::TaskStart;
use history::{HistoryEntry, RequestKind, UNREACHABLE};
pub use violation::Violation;

/// Allowed clock skew between callers and backend servers.
const CLOCK_BOUND_MS: f64 = 2.0;
const NOT_RUN: &str = "not_run";
const COMPLETE: &str = "complete";
/// Reason of a refusal of another body with a used key; the tasks of the first body may run.
const KEY_REUSED: &str = "key_reused";

/// Result of a check.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CheckReport {
    /// Number of requests.
    pub requests: usize,
    /// Number of task starts.
    pub starts: usize,
    /// Number of distinct keys in the requests.
    pub keys: usize,
    /// Number of responses with state `complete`.
    pub complete: usize,
    /// Number of responses with verdict `not_run`.
    pub not_run: usize,
    /// Violations, sorted.
    pub violations: Vec<Violation>,
}

/// Requests and task starts of one key.
#[derive(Debug, Default)]
struct KeyHistory<'a> {
    requests: Vec<&'a HistoryEntry>,
    starts: Vec<(u32, &'a TaskStart)>,
}

/// Checks requests against task starts.
pub fn check(requests: &[HistoryEntry], starts: &[TaskStart]) -> CheckReport {
    let mut violations = Vec::new();
    let keys = group_by_key(requests, starts, &mut violations);
    for (key, history) in &keys {
        violations.extend(double_starts(key, history));
        violations.extend(false_not_run(history));
        violations.extend(bad_results(history));
        violations.extend(conflicting_answers(history));
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

fn group_by_key<'a>(
    requests: &'a [HistoryEntry],
    starts: &'a [TaskStart],
    violations: &mut Vec<Violation>,
) -> BTreeMap<&'a str, KeyHistory<'a>> {
    let mut keys: BTreeMap<&str, KeyHistory<'_>> = BTreeMap::new();
    for request in requests {
        keys.entry(&request.key).or_default().requests.push(request);
    }
    for start in starts {
        match parse_task(&start.task) {
            Some((key, index)) => keys.entry(key).or_default().starts.push((index, start)),
            None => violations.push(Violation::UnnamedStart {
                worker: start.worker.clone(),
                task: start.task.clone(),
            }),
        }
    }
    keys
}

/// Parses key and index from `KEY/INDEX/ATTEMPT`; the key may contain slashes.
fn parse_task(task: &str) -> Option<(&str, u32)> {
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
            let starts = contradicting_starts(history, entry);
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

/// Number of starts that contradict a `not_run` verdict.
fn contradicting_starts(history: &KeyHistory<'_>, refused: &HistoryEntry) -> usize {
    let starts = history.starts.iter().map(|(_, start)| start);
    if refused.reason == KEY_REUSED {
        return starts
            .filter(|start| is_of_refused_body(history, refused, start))
            .count();
    }
    let is_earlier =
        |start: &&&TaskStart| (start.wall_ms as f64) + CLOCK_BOUND_MS < refused.sent_ms;
    match has_later_verdict(history, refused) {
        true => starts.filter(is_earlier).count(),
        false => starts.count(),
    }
}

/// Whether a start is of a body that was sent only in requests refused as `key_reused`.
fn is_of_refused_body(history: &KeyHistory<'_>, refused: &HistoryEntry, start: &TaskStart) -> bool {
    let Some(token) = &start.token else {
        return false;
    };
    let is_of_other_body = history
        .requests
        .iter()
        .filter(|entry| entry.reason != KEY_REUSED)
        .any(|entry| entry.tokens.contains(token));
    refused.tokens.contains(token) && !is_of_other_body
}

fn has_later_verdict(history: &KeyHistory<'_>, refused: &HistoryEntry) -> bool {
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

fn bad_results(history: &KeyHistory<'_>) -> Vec<Violation> {
    history
        .requests
        .iter()
        .flat_map(|entry| match is_complete(entry) {
            true => bad_complete_results(history, entry),
            false => unexpected_results(entry),
        })
        .collect()
}

fn unexpected_results(entry: &HistoryEntry) -> Vec<Violation> {
    match entry.results.is_empty() {
        true => Vec::new(),
        false => vec![partial_results(entry)],
    }
}

fn partial_results(entry: &HistoryEntry) -> Violation {
    Violation::PartialResults {
        key: entry.key.clone(),
        entry: entry.entry.clone(),
        state: entry.state.clone(),
        results: entry.results.len(),
        tasks: entry.tokens.len(),
    }
}

fn bad_complete_results(history: &KeyHistory<'_>, entry: &HistoryEntry) -> Vec<Violation> {
    if entry.results.len() != entry.tokens.len() {
        return vec![partial_results(entry)];
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
        return Some(Violation::WrongResult {
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

/// Token in a result, which is `{"worker": ..., "result": {"token": ...}}`.
fn token_of(result: &Value) -> Option<&str> {
    result["result"]["token"].as_str()
}

fn conflicting_answers(history: &KeyHistory<'_>) -> Option<Violation> {
    let mut complete = history.requests.iter().filter(|entry| is_complete(entry));
    let first = complete.next()?;
    let second = complete.find(|entry| entry.results != first.results)?;
    Some(Violation::ConflictingAnswers {
        key: first.key.clone(),
        first_entry: first.entry.clone(),
        second_entry: second.entry.clone(),
    })
}
