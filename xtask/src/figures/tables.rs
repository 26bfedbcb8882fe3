//! Markdown tables with a row per run.

use std::fmt::Write;

use super::record::{Idle, LoadReport, Record};

const MS_PER_S: f64 = 1_000.0;
const TICKS_PER_S: f64 = 100.0;
const KB_PER_MB: f64 = 1_024.0;
const PERCENT: f64 = 100.0;

/// Heading of a column and the function that formats a cell.
type Column<T> = (&'static str, fn(&T) -> String);

const RATIO_COLUMNS: [Column<LoadReport>; 10] = [
    ("jobs", |report| report.jobs.to_string()),
    ("refused", |report| report.refused().to_string()),
    ("failed", |report| failed(report).to_string()),
    ("mean", |report| {
        two_decimals(report.response_over_ideal.mean)
    }),
    ("p50", |report| two_decimals(report.response_over_ideal.p50)),
    ("p99", |report| two_decimals(report.response_over_ideal.p99)),
    ("p99.9", |report| {
        two_decimals(report.response_over_ideal.p999)
    }),
    ("wasted/task", |report| {
        format!("{:.4}", wasted_per_task(report))
    }),
    ("entry core µs/task", |report| {
        let us = report.entry_us_per_task;
        us.map_or("".to_owned(), |us| format!("{us:.0}"))
    }),
    ("send lag p99 ms", |report| {
        two_decimals(report.send_lag_ms.p99)
    }),
];

const OVERHEAD_COLUMNS: [Column<LoadReport>; 5] = [
    ("jobs", |report| report.complete.to_string()),
    ("excess mean ms", |report| {
        two_decimals(report.excess_ms.mean)
    }),
    ("p50 ms", |report| two_decimals(report.excess_ms.p50)),
    ("p99 ms", |report| two_decimals(report.excess_ms.p99)),
    ("max ms", |report| two_decimals(report.excess_ms.max)),
];

const OVERLOAD_COLUMNS: [Column<LoadReport>; 9] = [
    ("jobs", |report| report.jobs.to_string()),
    ("requests", |report| report.requests.to_string()),
    ("refused", |report| report.refused().to_string()),
    ("complete", |report| report.complete.to_string()),
    ("past deadline", |report| {
        let share = report.past_deadline() as f64 / report.admitted().max(1) as f64;
        format!("{:.2} %", share * PERCENT)
    }),
    ("failed otherwise", |report| {
        let deadline = report.failures.get("deadline").copied();
        (failed(report) - deadline.unwrap_or_default()).to_string()
    }),
    ("tasks/s over arrivals", |report| {
        format!("{:.0}", report.goodput_tasks_per_s)
    }),
    ("tasks/s to last answer", |report| {
        format!("{:.0}", report.goodput_to_last_answer())
    }),
    ("refusal p50 / p99 ms", |report| {
        let p50 = report.refusal_ms(|latency| latency.p50);
        format!("{p50:.2} / {:.2}", report.refusal_ms(|l| l.p99))
    }),
];

const IDLE_COLUMNS: [Column<Idle>; 5] = [
    ("instances", |idle| idle.instances.to_string()),
    ("store calls/s", |idle| {
        two_decimals(idle.store_calls * MS_PER_S / idle.span_ms)
    }),
    ("% of a core each", |idle| {
        let span_s = idle.span_ms / MS_PER_S;
        two_decimals(idle.cpu_ticks / TICKS_PER_S / span_s / f64::from(idle.instances) * PERCENT)
    }),
    ("RSS MB each", |idle| {
        two_decimals(idle.rss_kb / KB_PER_MB / f64::from(idle.instances))
    }),
    ("bytes/s sent each", |idle| {
        let span_s = idle.span_ms / MS_PER_S;
        format!(
            "{:.0}",
            idle.peer_bytes_sent / span_s / f64::from(idle.instances)
        )
    }),
];

fn two_decimals(value: f64) -> String {
    format!("{value:.2}")
}

fn failed(report: &LoadReport) -> u64 {
    report.failures.values().sum::<u64>() + report.lost + report.cut_off + report.not_sent
}

/// The larger of the counts by backend servers and by instances. Both cover the same run, but
/// each side misses messages that only the other side sees.
fn wasted_per_task(report: &LoadReport) -> f64 {
    let waste = &report.waste;
    waste
        .worker_messages_per_task
        .max(waste.entry_messages_per_task)
}

/// Renders the table of a set.
pub fn table(set: &str, records: &[&Record]) -> String {
    let report = |record: &Record| record.report.clone();
    match set {
        "idle" => rows(records, &IDLE_COLUMNS, |record| record.idle),
        "overhead" => rows(records, &OVERHEAD_COLUMNS, report),
        "overload" | "bursts" => rows(records, &OVERLOAD_COLUMNS, report),
        _ => rows(records, &RATIO_COLUMNS, report),
    }
}

fn rows<T>(
    records: &[&Record],
    columns: &[Column<T>],
    values: impl Fn(&Record) -> Option<T>,
) -> String {
    let mut text = "| run | seed | load average of cores |".to_owned();
    for (heading, _) in columns {
        let _ = write!(text, " {heading} |");
    }
    text.push_str("\n|---|---|---|");
    text.push_str(&"---|".repeat(columns.len()));
    text.push('\n');
    for record in records {
        let Some(values) = values(record) else {
            continue;
        };
        let (name, round, seed) = (&record.name, record.round, record.seed);
        let (before, after) = (record.load_before, record.load_after);
        let _ = write!(
            text,
            "| {name} {round} | {seed} | {before:.0} to {after:.0} of {} |",
            record.cores
        );
        for (_, format_cell) in columns {
            let _ = write!(text, " {} |", format_cell(&values));
        }
        text.push('\n');
    }
    text
}
