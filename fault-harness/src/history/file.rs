//! History files: one line with the parameters, then one line per event, as JSON.

use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;

use serde_json::{Map, Value};

use super::{History, Observation};

/// Field that holds the kind of an event.
const TAG: &str = "event";
/// Name of that field in the first version of the history format.
const FORMER_TAG: &str = "e";

/// Reason why a history cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum HistoryError {
    /// The file cannot be opened or read.
    #[error("cannot read the history file: {0}")]
    Io(#[from] io::Error),
    /// The file has no lines, not even the parameters.
    #[error("the history file is empty; its first line must hold the parameters of the play")]
    Empty,
    /// A line is not valid JSON, or not the parameters (line 1) or an event (any other line).
    #[error("line {line}: {source}")]
    Line {
        /// Line number, from 1.
        line: usize,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
}

impl History {
    /// Reads a file that [`History::write`] wrote, or one in the first version of the format.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, is empty, or has a line that is not valid.
    pub fn read(path: &Path) -> Result<History, HistoryError> {
        let mut lines = BufReader::new(File::open(path)?).lines();
        let first = lines.next().ok_or(HistoryError::Empty)??;
        let parameters =
            serde_json::from_str(&first).map_err(|source| HistoryError::Line { line: 1, source })?;
        let mut observations = Vec::new();
        for (index, text) in lines.enumerate() {
            // Line 1 holds the parameters, so the events start at line 2.
            let line = index + 2;
            let observation = parse(&text?).map_err(|source| HistoryError::Line { line, source })?;
            observations.push(observation);
        }
        Ok(History { parameters, observations })
    }

    /// Writes the history to a file, one event per line.
    ///
    /// # Errors
    ///
    /// If the file cannot be written.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut file = BufWriter::new(File::create(path)?);
        serde_json::to_writer(&mut file, &self.parameters)?;
        file.write_all(b"\n")?;
        for observation in &self.observations {
            serde_json::to_writer(&mut file, observation)?;
            file.write_all(b"\n")?;
        }
        file.flush()
    }
}

/// Parses a line that holds an event. `serde` has no alias for the tag of an enum, so the former name of that
/// field is replaced first.
fn parse(line: &str) -> Result<Observation, serde_json::Error> {
    let mut fields: Map<String, Value> = serde_json::from_str(line)?;
    if let Some(kind) = fields.remove(FORMER_TAG) {
        fields.insert(TAG.into(), kind);
    }
    serde_json::from_value(Value::Object(fields))
}
