//! Human-readable report of a run.

use std::fmt::{self, Display, Formatter};

use super::{LoadReport, Summary};

/// Displays a report as a table.
#[derive(Clone, Copy, Debug)]
pub struct Table<'a>(pub &'a LoadReport);

impl Display for Table<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let report = self.0;
        write_counts(f, report)?;
        write_heading(f)?;
        write_summary(f, "response / ideal", &report.response_over_ideal)?;
        write_summary(f, "excess ms", &report.excess_ms)?;
        write_summary(f, "response ms", &report.response_ms)?;
        write_summary(f, "send lag ms", &report.send_lag_ms)?;
        for (reason, latency) in &report.refusals {
            write_summary(f, &format!("refused {reason} ms"), latency)?;
        }
        for (reason, count) in &report.failures {
            writeln!(f, "{:<28}{count:>10}", format!("failed {reason}"))?;
        }
        write_waste(f, report)
    }
}

fn write_counts(f: &mut Formatter<'_>, report: &LoadReport) -> fmt::Result {
    let counts = [
        ("jobs", report.jobs),
        ("not sent", report.not_sent),
        ("requests", report.requests),
        ("resubmissions", report.resubmissions),
        ("cancellations", report.cancellations),
        ("asked again", report.asked_again),
        ("keys not minted", report.keys_not_minted),
        ("complete", report.complete),
        ("complete late", report.complete_late),
        ("cancelled", report.cancelled),
        ("lost", report.lost),
        ("replayed", report.replayed),
        ("cut off", report.cut_off),
    ];
    for (name, count) in counts {
        writeln!(f, "{name:<28}{count:>10}")?;
    }
    let (jobs, tasks) = (report.goodput_jobs_per_s, report.goodput_tasks_per_s);
    writeln!(f, "{:<28}{jobs:>10.1}", "goodput jobs/s")?;
    writeln!(f, "{:<28}{tasks:>10.1}", "goodput tasks/s")
}

fn write_heading(f: &mut Formatter<'_>) -> fmt::Result {
    let columns = ["count", "mean", "p50", "p99", "p99.9", "max"];
    write!(f, "{:<28}", "")?;
    for column in columns {
        write!(f, "{column:>10}")?;
    }
    writeln!(f)
}

fn write_summary(f: &mut Formatter<'_>, name: &str, summary: &Summary) -> fmt::Result {
    write!(f, "{name:<28}{:>10}", summary.count)?;
    let values = [
        summary.mean,
        summary.p50,
        summary.p99,
        summary.p999,
        summary.max,
    ];
    for value in values {
        write!(f, "{value:>10.3}")?;
    }
    writeln!(f)
}

fn write_waste(f: &mut Formatter<'_>, report: &LoadReport) -> fmt::Result {
    let waste = &report.waste;
    writeln!(f, "{:<28}{:>10}", "tasks started", waste.starts)?;
    let per_task = [
        ("wasted/task, workers", waste.worker_messages_per_task),
        ("wasted/task, entries", waste.entry_messages_per_task),
    ];
    for (name, value) in per_task {
        writeln!(f, "{name:<28}{value:>10.4}")?;
    }
    match waste.unread {
        0 => Ok(()),
        unread => writeln!(f, "{:<28}{unread:>10}", "counters unread"),
    }
}
