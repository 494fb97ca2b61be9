//! `draw`: draws a table of numbers as a chart.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use oakwind_fault_harness::charts;

use super::CommandError;

/// Draw a table of numbers, whose first line names the columns, as an SVG chart on standard output.
#[derive(FromArgs)]
#[argh(subcommand, name = "draw")]
pub(crate) struct Draw {
    /// the table file, with comma-separated cells
    #[argh(positional)]
    table: PathBuf,
    /// title of the chart
    #[argh(option)]
    title: String,
}

impl Draw {
    pub(crate) fn run(&self) -> Result<ExitCode, CommandError> {
        let table = std::fs::read_to_string(&self.table)
            .map_err(|source| CommandError::File { path: self.table.clone(), source })?;
        let svg = charts::draw_table(&self.title, &table)
            .map_err(|source| CommandError::Table { path: self.table.clone(), source })?;
        print!("{svg}");
        Ok(ExitCode::SUCCESS)
    }
}
