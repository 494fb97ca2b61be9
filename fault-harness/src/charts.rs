//! Charts of a play as SVG.

use plotters::prelude::*;

use crate::statistics::{Band, Second, Statistics};

const SIZE: (u32, u32) = (860, 230);
/// Colours that can be told apart with colour blindness.
const BLUE: RGBColor = RGBColor(31, 97, 160);
const ORANGE: RGBColor = RGBColor(204, 102, 0);
const GREY: RGBColor = RGBColor(120, 120, 120);
const RED: RGBColor = RGBColor(170, 40, 60);
const BAND: RGBColor = RGBColor(235, 224, 200);
/// The font's size in points.
const TEXT: i32 = 13;

/// One line of a chart.
struct Curve {
    name: &'static str,
    colour: RGBColor,
    of: fn(&Second) -> f64,
}

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

/// The charts of a play.
pub fn charts(statistics: &Statistics) -> Vec<Chart> {
    let share = |second: &Second| {
        if second.requested_weight > 0.0 {
            second.served_weight / second.requested_weight * 100.0
        } else {
            100.0
        }
    };
    let wanted: [(&str, &str, Vec<Curve>); 3] = [
        ("Worth served, of 100 asked for", "served", vec![Curve { name: "served", colour: BLUE, of: share }]),
        (
            "Requests a second",
            "requests",
            vec![
                Curve { name: "asked", colour: GREY, of: |s| s.requests as f64 },
                Curve { name: "in time", colour: BLUE, of: |s| s.in_time as f64 },
                Curve { name: "refused", colour: ORANGE, of: |s| s.rejected as f64 },
                Curve { name: "failed", colour: RED, of: |s| s.failed as f64 },
            ],
        ),
        (
            "Tries, runs and new connections a second",
            "work",
            vec![
                Curve { name: "tries", colour: GREY, of: |s| s.attempts as f64 },
                Curve { name: "runs", colour: BLUE, of: |s| s.runs as f64 },
                Curve { name: "connections", colour: ORANGE, of: |s| s.connections as f64 },
            ],
        ),
    ];
    let drawn = wanted.into_iter().filter_map(|(title, name, curves)| {
        Some(Chart { title, name, svg: draw(title, &statistics.seconds, &statistics.bands, &curves)? })
    });
    drawn.collect()
}

/// A line as it is drawn.
struct Line {
    name: String,
    colour: RGBColor,
    points: Vec<(f64, f64)>,
}

/// Draws one of a play; nothing where there is nothing to draw, or it can't be drawn.
fn draw(title: &str, seconds: &[Second], bands: &[Band], curves: &[Curve]) -> Option<String> {
    let line = |curve: &Curve| {
        let points = seconds.iter().enumerate().map(|(i, second)| (i as f64 + 0.5, (curve.of)(second)));
        Line { name: curve.name.into(), colour: curve.colour, points: points.collect() }
    };
    let lines: Vec<Line> = curves.iter().map(line).collect();
    draw_lines(title, "seconds", seconds.len() as f64, bands, &lines)
}

/// Draws a table of numbers: its first line names the columns, the first column is drawn along, the others are lines.
///
/// # Errors
///
/// What is wrong with it.
pub fn of_table(title: &str, table: &str) -> Result<String, String> {
    let mut lines = table.lines().map(|line| line.split(',').map(str::trim).collect::<Vec<_>>());
    let heads = lines.next().filter(|heads| heads.len() > 1).ok_or("no line that names two columns")?;
    let mut rows: Vec<Vec<f64>> = Vec::new();
    for line in lines {
        let row = line.iter().map(|cell| cell.parse::<f64>().map_err(|e| format!("{cell:?}: {e}")));
        let row = row.collect::<Result<Vec<f64>, String>>()?;
        if row.len() != heads.len() {
            return Err(format!("a line of {} cells where {} are named", row.len(), heads.len()));
        }
        rows.push(row);
    }
    let colours = [BLUE, ORANGE, RED, GREY];
    let drawn: Vec<Line> = (1..heads.len())
        .map(|i| Line {
            name: heads[i].into(),
            colour: colours[(i - 1) % colours.len()],
            points: rows.iter().map(|row| (row[0], row[i])).collect(),
        })
        .collect();
    let end = rows.iter().map(|row| row[0]).fold(1.0, f64::max);
    draw_lines(title, heads[0], end, &[], &drawn).ok_or_else(|| "it can't be drawn".into())
}

fn draw_lines(title: &str, along: &str, end: f64, bands: &[Band], lines: &[Line]) -> Option<String> {
    let values = lines.iter().flat_map(|line| line.points.iter().map(|(_, value)| *value));
    let top = values.fold(1.0, f64::max) * 1.05;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).ok()?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", TEXT + 2))
            .margin(8)
            .x_label_area_size(26)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..end, 0.0..top)
            .ok()?;
        for band in bands {
            // One that has no length is drawn as a line.
            let until = band.until.max(band.from + end / 400.0).min(end);
            chart.draw_series([Rectangle::new([(band.from, 0.0), (until, top)], BAND.filled())]).ok()?;
        }
        chart
            .configure_mesh()
            .disable_x_mesh()
            .light_line_style(WHITE)
            .bold_line_style(RGBColor(230, 230, 230))
            .label_style(("sans-serif", TEXT - 1))
            .x_labels(12)
            .y_labels(5)
            .x_desc(along)
            .draw()
            .ok()?;
        for line in lines {
            let style = line.colour.stroke_width(2);
            let drawn = chart.draw_series(LineSeries::new(line.points.iter().copied(), style)).ok()?;
            let name = line.name.as_str();
            drawn.label(name).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
        }
        if lines.len() > 1 {
            chart
                .configure_series_labels()
                .position(SeriesLabelPosition::UpperRight)
                .background_style(WHITE.mix(0.85))
                .border_style(RGBColor(200, 200, 200))
                .label_font(("sans-serif", TEXT - 1))
                .draw()
                .ok()?;
        }
        area.present().ok()?;
    }
    Some(svg)
}

#[cfg(test)]
mod tests;
