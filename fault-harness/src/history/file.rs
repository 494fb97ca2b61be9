//! The file of a history: a line with its parameters, and a line for each event, as JSON.

use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;

use serde_json::{Map, Value};

use super::{History, Observation};

/// The field that names the kind of an event.
const TAG: &str = "event";
/// The name of that field in the first form of histories.
const FORMER_TAG: &str = "e";

/// Why a history can't be read.
#[derive(Debug, thiserror::Error)]
pub enum HistoryError {
    /// The file can't be opened or read.
    #[error("the file cannot be read: {0}")]
    Io(#[from] io::Error),
    /// The file has no line at all.
    #[error("the file is empty")]
    Empty,
    /// A line is not what a history has there.
    #[error("line {line}: {source}")]
    Line {
        /// Its number, from 1.
        line: usize,
        /// What is wrong with it.
        source: serde_json::Error,
    },
}

impl History {
    /// Reads a file that [`History::write`] wrote, or one in the first form of histories.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, or a line of it is no event.
    pub fn read(path: &Path) -> Result<History, HistoryError> {
        let mut lines = BufReader::new(File::open(path)?).lines();
        let first = lines.next().ok_or(HistoryError::Empty)??;
        let parameters =
            serde_json::from_str(&first).map_err(|source| HistoryError::Line { line: 1, source })?;
        let mut observations = Vec::new();
        for (index, text) in lines.enumerate() {
            // The parameters are line 1.
            let line = index + 2;
            let observation = parse(&text?).map_err(|source| HistoryError::Line { line, source })?;
            observations.push(observation);
        }
        Ok(History { parameters, observations })
    }

    /// Writes it, an event a line.
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

/// Parses the line of an event. `serde` knows no alias for the field that names an event's kind: it is renamed first.
fn parse(line: &str) -> Result<Observation, serde_json::Error> {
    let mut fields: Map<String, Value> = serde_json::from_str(line)?;
    if let Some(kind) = fields.remove(FORMER_TAG) {
        fields.insert(TAG.into(), kind);
    }
    serde_json::from_value(Value::Object(fields))
}
