//! Drawing of line charts as SVG, with faults as shaded bands behind the lines.

use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

use crate::statistics::Band;

/// Line colours that remain distinguishable with colour blindness.
pub(super) const BLUE: RGBColor = RGBColor(31, 97, 160);
pub(super) const ORANGE: RGBColor = RGBColor(204, 102, 0);
pub(super) const GREY: RGBColor = RGBColor(120, 120, 120);
pub(super) const RED: RGBColor = RGBColor(170, 40, 60);
const BAND_COLOUR: RGBColor = RGBColor(235, 224, 200);
const GRID_COLOUR: RGBColor = RGBColor(230, 230, 230);
const LEGEND_BORDER_COLOUR: RGBColor = RGBColor(200, 200, 200);

/// Width and height of a chart. All sizes are in pixels.
const SIZE: (u32, u32) = (860, 230);
const MARGIN: u32 = 8;
const X_LABEL_HEIGHT: u32 = 26;
const Y_LABEL_WIDTH: u32 = 44;
const FONT: &str = "sans-serif";
const TITLE_FONT_SIZE: i32 = 15;
const LABEL_FONT_SIZE: i32 = 12;
const LINE_WIDTH: u32 = 2;
const LEGEND_LINE_LENGTH: i32 = 16;
/// The legend is translucent, so that it does not hide the lines behind it.
const LEGEND_OPACITY: f64 = 0.85;
/// Maximum number of labels along each axis.
const X_LABELS: usize = 12;
const Y_LABELS: usize = 5;
/// Ratio of the end of the vertical axis to the highest point.
const HEADROOM: f64 = 1.05;
/// Minimum width of a band as a fraction of the chart's width, so that an instantaneous fault is visible.
const MIN_BAND_WIDTH: f64 = 1.0 / 400.0;

/// The error of a chart that cannot be drawn.
pub type DrawingError = DrawingAreaErrorKind<<SVGBackend<'static> as DrawingBackend>::ErrorType>;

type Chart<'area> = ChartContext<'area, SVGBackend<'area>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// A data point of a line.
#[derive(Debug, Clone, Copy)]
pub(super) struct Point {
    pub(super) x: f64,
    pub(super) y: f64,
}

/// A line with its name in the legend.
pub(super) struct Series {
    pub(super) name: String,
    pub(super) colour: RGBColor,
    pub(super) points: Vec<Point>,
}

/// The content of a chart.
pub(super) struct Drawing<'a> {
    pub(super) title: &'a str,
    /// Label of the horizontal axis.
    pub(super) x_label: &'a str,
    /// Upper end of the horizontal axis, which starts at 0.
    pub(super) end: f64,
    pub(super) bands: &'a [Band],
    pub(super) series: &'a [Series],
}

impl Drawing<'_> {
    /// Renders the chart as SVG.
    pub(super) fn to_svg(&self) -> Result<String, DrawingError> {
        let mut svg = String::new();
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(self.title, (FONT, TITLE_FONT_SIZE))
            .margin(MARGIN)
            .x_label_area_size(X_LABEL_HEIGHT)
            .y_label_area_size(Y_LABEL_WIDTH)
            .build_cartesian_2d(0.0..self.end, 0.0..self.top())?;
        self.draw_bands(&mut chart)?;
        self.draw_axes(&mut chart)?;
        for series in self.series {
            draw_series(&mut chart, series)?;
        }
        if self.series.len() > 1 {
            draw_legend(&mut chart)?;
        }
        area.present()?;
        drop(chart);
        drop(area);
        Ok(svg)
    }

    /// Upper end of the vertical axis, which starts at 0.
    fn top(&self) -> f64 {
        let points = self.series.iter().flat_map(|series| &series.points);
        points.map(|point| point.y).fold(1.0, f64::max) * HEADROOM
    }

    fn draw_bands(&self, chart: &mut Chart) -> Result<(), DrawingError> {
        for band in self.bands {
            let until = band.until.max(band.from + self.end * MIN_BAND_WIDTH).min(self.end);
            let corners = [(band.from, 0.0), (until, self.top())];
            chart.draw_series([Rectangle::new(corners, BAND_COLOUR.filled())])?;
        }
        Ok(())
    }

    fn draw_axes(&self, chart: &mut Chart) -> Result<(), DrawingError> {
        chart
            .configure_mesh()
            .disable_x_mesh()
            .light_line_style(WHITE)
            .bold_line_style(GRID_COLOUR)
            .label_style((FONT, LABEL_FONT_SIZE))
            .x_labels(X_LABELS)
            .y_labels(Y_LABELS)
            .x_desc(self.x_label)
            .draw()
    }
}

fn draw_series(chart: &mut Chart, series: &Series) -> Result<(), DrawingError> {
    let style = series.colour.stroke_width(LINE_WIDTH);
    let points = series.points.iter().map(|point| (point.x, point.y));
    let drawn = chart.draw_series(LineSeries::new(points, style))?;
    let legend_line = move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE_LENGTH, y)], style);
    drawn.label(series.name.as_str()).legend(legend_line);
    Ok(())
}

fn draw_legend(chart: &mut Chart) -> Result<(), DrawingError> {
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(LEGEND_OPACITY))
        .border_style(LEGEND_BORDER_COLOUR)
        .label_font((FONT, LABEL_FONT_SIZE))
        .draw()
}
