//! SVG plots.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use plotters::prelude::*;

use super::record::Record;
use crate::Result;

const SIZE: (u32, u32) = (720, 420);
const FONT: (&str, u32) = ("sans-serif", 15);
/// Ratio of an axis' end to its highest value.
const HEADROOM: f64 = 1.1;
const MS_PER_S: f64 = 1_000.0;

/// Points of a line; each y is the median over the rounds.
type Line = Vec<(f64, f64)>;

struct Plot<'a> {
    file: &'a Path,
    title: &'a str,
    x_label: &'a str,
    y_label: &'a str,
    lines: BTreeMap<String, Line>,
}

/// Draws the plots for which there are records.
pub fn draw(records: &[Record], dir: &Path) -> Result<()> {
    fs::create_dir_all(dir)?;
    let p99 = |record: &Record| Some(record.report.as_ref()?.response_over_ideal.p99);
    let mean = |record: &Record| Some(record.report.as_ref()?.response_over_ideal.mean);
    let calls = |record: &Record| {
        let idle = record.idle?;
        Some(idle.store_calls * MS_PER_S / idle.span_ms)
    };
    draw_one(Plot {
        file: &dir.join("ratio-p99.svg"),
        title: "p99 of response time over ideal, jobs of 8 to 16 tasks",
        x_label: "share of the slots, %",
        y_label: "response / ideal",
        lines: lines(records, "ratio", by_share, p99),
    })?;
    draw_one(Plot {
        file: &dir.join("ratio-mean.svg"),
        title: "mean response time over ideal, jobs of 8 to 16 tasks",
        x_label: "share of the slots, %",
        y_label: "response / ideal",
        lines: lines(records, "ratio", by_share, mean),
    })?;
    draw_one(Plot {
        file: &dir.join("idle-store-calls.svg"),
        title: "calls to the store by idle instances",
        x_label: "instances",
        y_label: "calls/s",
        lines: lines(records, "idle", by_instances, calls),
    })
}

/// Returns the line's name and the x value of a run named POLICY-jobs-SHARE.
fn by_share(record: &Record) -> Option<(String, f64)> {
    let (policy, share) = record.name.split_once("-jobs-")?;
    Some((policy.to_owned(), share.parse().ok()?))
}

fn by_instances(record: &Record) -> Option<(String, f64)> {
    let instances = record.idle?.instances;
    Some(("all instances".to_owned(), f64::from(instances)))
}

fn lines(
    records: &[Record],
    set: &str,
    line_and_x: fn(&Record) -> Option<(String, f64)>,
    value: impl Fn(&Record) -> Option<f64>,
) -> BTreeMap<String, Line> {
    let mut values: BTreeMap<String, BTreeMap<u64, Vec<f64>>> = BTreeMap::new();
    for record in records.iter().filter(|record| record.set == set) {
        if let (Some((line, x)), Some(y)) = (line_and_x(record), value(record)) {
            let line = values.entry(line).or_default();
            line.entry(x as u64).or_default().push(y);
        }
    }
    let points = |line: BTreeMap<u64, Vec<f64>>| {
        line.into_iter()
            .map(|(x, y)| (x as f64, median(y)))
            .collect()
    };
    values
        .into_iter()
        .map(|(name, line)| (name, points(line)))
        .collect()
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn draw_one(plot: Plot<'_>) -> Result<()> {
    let points = || plot.lines.values().flatten().copied();
    let axis_end = |of: fn((f64, f64)) -> f64| points().map(of).fold(0.0, f64::max) * HEADROOM;
    let (x_max, y_max) = (axis_end(|(x, _)| x), axis_end(|(_, y)| y));
    if plot.lines.is_empty() {
        return Ok(());
    }
    let area = SVGBackend::new(plot.file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(plot.title, FONT)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;
    chart
        .configure_mesh()
        .x_desc(plot.x_label)
        .y_desc(plot.y_label)
        .draw()?;
    for (number, (name, line)) in plot.lines.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let markers = line
            .iter()
            .map(|point| Circle::new(*point, 3, color.filled()));
        chart.draw_series(markers)?;
        chart
            .draw_series(LineSeries::new(line.iter().copied(), color.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
