//! Charts of comma-separated tables of numbers.

use std::num::ParseFloatError;

use plotters::style::RGBColor;
use thiserror::Error;

use super::drawing::{Drawing, DrawingError, Point, Series, BLUE, GREY, ORANGE, RED};

/// Line colours of the columns, repeated when there are more columns.
const COLUMN_COLOURS: [RGBColor; 4] = [BLUE, ORANGE, RED, GREY];

/// The error of a table that cannot be drawn.
#[derive(Debug, Error)]
pub enum TableError {
    /// The first line names fewer than two columns, or there is none.
    #[error("the first line does not name at least two columns")]
    NoColumns,
    /// A cell is not a number.
    #[error("cell {cell:?} is not a number: {source}")]
    NotANumber {
        /// The content of the cell.
        cell: String,
        /// The error of parsing it.
        source: ParseFloatError,
    },
    /// The number of cells in a line differs from the number of columns.
    #[error("a line has {cells} cells, but the first line names {columns} columns")]
    WidthMismatch {
        /// Number of cells in the line.
        cells: usize,
        /// Number of columns that the first line names.
        columns: usize,
    },
    /// The values cannot be drawn.
    #[error("the chart cannot be drawn: {0}")]
    NotDrawable(#[from] DrawingError),
}

/// Draws a comma-separated table of numbers. The first line names the columns. The first column is the horizontal
/// axis, and each other column is a line.
///
/// # Errors
///
/// If the table is malformed or cannot be drawn.
pub fn draw_table(title: &str, table: &str) -> Result<String, TableError> {
    let mut lines = table.lines().map(|line| line.split(',').map(str::trim).collect::<Vec<_>>());
    let columns = lines.next().filter(|columns| columns.len() > 1).ok_or(TableError::NoColumns)?;
    let mut rows = Vec::new();
    for line in lines {
        let row = line.into_iter().map(parse_cell).collect::<Result<Vec<f64>, _>>()?;
        if row.len() != columns.len() {
            return Err(TableError::WidthMismatch { cells: row.len(), columns: columns.len() });
        }
        rows.push(row);
    }
    let series: Vec<Series> = (1..columns.len()).map(|column| series(&columns, &rows, column)).collect();
    let end = rows.iter().map(|row| row[0]).fold(1.0, f64::max);
    let drawing = Drawing { title, x_label: columns[0], end, bands: &[], series: &series };
    Ok(drawing.to_svg()?)
}

fn parse_cell(cell: &str) -> Result<f64, TableError> {
    cell.parse().map_err(|source| TableError::NotANumber { cell: cell.into(), source })
}

/// The line of a column, plotted against the first column.
fn series(columns: &[&str], rows: &[Vec<f64>], column: usize) -> Series {
    Series {
        name: columns[column].into(),
        colour: COLUMN_COLOURS[(column - 1) % COLUMN_COLOURS.len()],
        points: rows.iter().map(|row| Point { x: row[0], y: row[column] }).collect(),
    }
}
