//! SVG charts: the seconds of a play, with its faults as shaded bands, and arbitrary tables of numbers.

mod drawing;
mod table;

use plotters::style::RGBColor;

use crate::statistics::{Band, Second, Statistics};
use drawing::{Drawing, Point, Series, BLUE, GREY, ORANGE, RED};

pub use drawing::DrawingError;
pub use table::{draw_table, TableError};

/// Factor from a fraction to a percentage.
const PERCENT: f64 = 100.0;
/// Offset of a second's point on the time axis, so that it is drawn in the middle of the second.
const MIDDLE_OF_SECOND: f64 = 0.5;

/// A rendered chart.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Chart {
    /// Title above the chart.
    pub title: &'static str,
    /// File name without its extension.
    pub name: &'static str,
    /// The chart as an SVG document.
    pub svg: String,
}

/// One line of a chart: a figure computed for each second.
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

/// Draws the charts of a play: the percentage served, the requests by outcome, and the load on the nodes. A chart that
/// cannot be drawn is omitted.
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

/// The percentage of a second's requested weight that was served; 100 for a second without requests.
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
    let svg = draw_seconds(title, &statistics.seconds, &statistics.bands, curves)?;
    Some(Chart { title, name, svg })
}

fn draw_seconds(title: &str, seconds: &[Second], bands: &[Band], curves: &[Curve]) -> Option<String> {
    let series: Vec<Series> = curves.iter().map(|curve| series(curve, seconds)).collect();
    let end = seconds.len() as f64;
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
