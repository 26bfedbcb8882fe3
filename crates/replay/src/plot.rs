//! Plots the goodput of two admission policies relative to the bound.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

const HEIGHT: u32 = 420;
/// Width of one row's bars and label.
const ROW_WIDTH: u32 = 95;
/// Width of the y axis and the margins.
const SIDE_WIDTH: u32 = 70;
/// Upper end of the y axis; leaves space for the legend.
const Y_MAX: f64 = 1.15;
const FONT: (&str, u32) = ("sans-serif", 13);
/// Share of a row's width that its two bars take.
const BARS_SHARE: f64 = 0.8;

/// Weighted goodput of one replay under two admission policies, as shares of the bound.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// Row label.
    pub pattern: String,
    /// With admission control.
    pub admission_control: f64,
    /// With every job admitted.
    pub admit_all: f64,
}

/// Writes the plot as SVG.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn write_svg(rows: &[Comparison], file: &Path) -> Result<(), Box<dyn Error>> {
    let width = SIDE_WIDTH + ROW_WIDTH * rows.len() as u32;
    let root = SVGBackend::new(file, (width, HEIGHT)).into_drawing_area();
    root.fill(&WHITE)?;
    let title = "weighted goodput, share of the upper bound";
    let mut chart = ChartBuilder::on(&root)
        .caption(title, FONT)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..rows.len() as f64, 0.0..Y_MAX)?;
    let label = |x: &f64| {
        let row = rows.get(*x as usize);
        row.map_or(String::new(), |row| row.pattern.clone())
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(rows.len() + 1)
        .x_label_formatter(&label)
        .x_label_offset(ROW_WIDTH as i32 / 2)
        .label_style(FONT)
        .draw()?;
    let half = BARS_SHARE / 2.0;
    let gray = RGBColor(190, 190, 190);
    let blue = RGBColor(40, 100, 170);
    for (label, color, shift) in [("every job admitted", gray, 0.0), ("judged", blue, half)] {
        let value = |row: &Comparison| match shift > 0.0 {
            true => row.admission_control,
            false => row.admit_all,
        };
        let bars = rows.iter().enumerate().map(|(index, row)| {
            let left = index as f64 + (1.0 - BARS_SHARE) / 2.0 + shift;
            Rectangle::new([(left, 0.0), (left + half, value(row))], color.filled())
        });
        chart
            .draw_series(bars)?
            .label(label)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], color.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .label_font(FONT)
        .position(SeriesLabelPosition::UpperRight)
        .draw()?;
    root.present()?;
    Ok(())
}
