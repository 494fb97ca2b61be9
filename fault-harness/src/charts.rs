//! Charts as SVG: of a play second by second, with its faults as bands, and of any table of numbers.

mod drawing;
mod table;

use plotters::style::RGBColor;

use crate::statistics::{Band, Second, Statistics};
use drawing::{Drawing, Point, Series, BLUE, GREY, ORANGE, RED};

pub use drawing::DrawingError;
pub use table::{of_table, TableError};

/// What an axis of shares ends at.
const PERCENT: f64 = 100.0;
/// A second is drawn at its middle.
const MIDDLE_OF_SECOND: f64 = 0.5;

/// A chart: its name and its SVG.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Chart {
    /// What it shows.
    pub title: &'static str,
    /// A name for its file.
    pub name: &'static str,
    /// The picture.
    pub svg: String,
}

/// A figure of each second, as one line of a chart.
struct Curve {
    name: &'static str,
    colour: RGBColor,
    value: fn(&Second) -> f64,
}

impl Curve {
    const fn new(name: &'static str, colour: RGBColor, value: fn(&Second) -> f64) -> Curve {
        Curve { name, colour, value }
    }
}

/// The charts of a play: the share served, what became of requests, and the work that they caused.
pub fn charts(statistics: &Statistics) -> Vec<Chart> {
    let served = [Curve::new("served", BLUE, served_percent)];
    let requests = [
        Curve::new("sent", GREY, |second| second.requests as f64),
        Curve::new("within objective", BLUE, |second| second.in_time as f64),
        Curve::new("rejected", ORANGE, |second| second.rejected as f64),
        Curve::new("failed", RED, |second| second.failed as f64),
    ];
    let work = [
        Curve::new("attempts", GREY, |second| second.attempts as f64),
        Curve::new("runs", BLUE, |second| second.runs as f64),
        Curve::new("connections", ORANGE, |second| second.connections as f64),
    ];
    let drawn = [
        chart("Weight served, percent of what was sent", "served", statistics, &served),
        chart("Requests per second", "requests", statistics, &requests),
        chart("Attempts, runs and new connections per second", "work", statistics, &work),
    ];
    drawn.into_iter().flatten().collect()
}

/// The share of a second's weight that was served; all of it where nothing was sent.
fn served_percent(second: &Second) -> f64 {
    if second.requested_weight > 0.0 {
        second.served_weight / second.requested_weight * PERCENT
    } else {
        PERCENT
    }
}

fn chart(
    title: &'static str,
    name: &'static str,
    statistics: &Statistics,
    curves: &[Curve],
) -> Option<Chart> {
    let svg = draw(title, &statistics.seconds, &statistics.bands, curves)?;
    Some(Chart { title, name, svg })
}

fn draw(title: &str, seconds: &[Second], bands: &[Band], curves: &[Curve]) -> Option<String> {
    let series: Vec<Series> = curves.iter().map(|curve| series(curve, seconds)).collect();
    let end = seconds.len() as f64;
    // A chart that cannot be drawn is left out.
    Drawing { title, x_label: "seconds", end, bands, series: &series }.to_svg().ok()
}

fn series(curve: &Curve, seconds: &[Second]) -> Series {
    let points = seconds
        .iter()
        .enumerate()
        .map(|(position, second)| Point { x: position as f64 + MIDDLE_OF_SECOND, y: (curve.value)(second) });
    Series { name: curve.name.into(), colour: curve.colour, points: points.collect() }
}

#[cfg(test)]
mod tests;
