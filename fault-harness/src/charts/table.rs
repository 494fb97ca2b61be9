//! Charts of tables of numbers.

use std::num::ParseFloatError;

use plotters::style::RGBColor;
use thiserror::Error;

use super::drawing::{Drawing, DrawingError, Point, Series, BLUE, GREY, ORANGE, RED};

/// The colours of the columns, in turn.
const COLUMN_COLOURS: [RGBColor; 4] = [BLUE, ORANGE, RED, GREY];

/// Why a table cannot be drawn.
#[derive(Debug, Error)]
pub enum TableError {
    /// The first line does not name at least two columns.
    #[error("no line that names two columns")]
    NoColumns,
    /// A cell is not a number.
    #[error("{cell:?}: {source}")]
    NotANumber {
        /// What is in the cell.
        cell: String,
        /// Why it is not a number.
        source: ParseFloatError,
    },
    /// A line has more or fewer cells than there are columns.
    #[error("a line of {cells} cells where {columns} are named")]
    WidthMismatch {
        /// The line's cells.
        cells: usize,
        /// The columns that the first line names.
        columns: usize,
    },
    /// The chart cannot be drawn with these numbers.
    #[error("it can't be drawn: {0}")]
    NotDrawable(#[from] DrawingError),
}

/// Draws a table of numbers: its first line names the columns, the first column is drawn along, the others are lines.
///
/// # Errors
///
/// If the table is malformed or cannot be drawn.
pub fn of_table(title: &str, table: &str) -> Result<String, TableError> {
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

/// A column over the first one.
fn series(columns: &[&str], rows: &[Vec<f64>], column: usize) -> Series {
    Series {
        name: columns[column].into(),
        colour: COLUMN_COLOURS[(column - 1) % COLUMN_COLOURS.len()],
        points: rows.iter().map(|row| Point { x: row[0], y: row[column] }).collect(),
    }
}
