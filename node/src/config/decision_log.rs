//! The operators' file that makes a node record its decisions.

use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

use serde::Deserialize;

use super::error::ConfigError;
use super::parse::{check_absolute, check_range, parse_operators_file, read_text, MEBIBYTE};

const FILE_MB_RANGE: RangeInclusive<u64> = 1..=1024;
const DEFAULT_FILE_MB: u64 = 8;
const FILES_RANGE: RangeInclusive<u64> = 2..=1000;
const DEFAULT_FILES: usize = 8;

/// Where decisions are recorded.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct DecisionLogConfig {
    /// A folder of this node alone.
    pub(crate) folder: PathBuf,
    /// A file that has this length is closed, and the next one begun.
    pub(crate) max_file_bytes: u64,
    /// Files that are kept.
    pub(crate) max_files: usize,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawDecisionLog {
    folder: PathBuf,
    #[serde(default = "default_file_mb")]
    file_mb: u64,
    #[serde(default = "default_files")]
    files: usize,
}

fn default_file_mb() -> u64 {
    DEFAULT_FILE_MB
}

fn default_files() -> usize {
    DEFAULT_FILES
}

impl DecisionLogConfig {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// If it cannot be read or is not valid.
    pub(crate) fn read(path: &Path) -> Result<Self, ConfigError> {
        DecisionLogConfig::parse(&read_text(path)?)
    }

    /// Parses and checks the text of a file.
    ///
    /// # Errors
    ///
    /// If it is not valid.
    pub(crate) fn parse(text: &str) -> Result<Self, ConfigError> {
        let raw: RawDecisionLog = parse_operators_file("records", text)?;
        check_absolute("records file, folder", &raw.folder)?;
        check_range("records file, file_mb", raw.file_mb, FILE_MB_RANGE)?;
        check_range("records file, files", raw.files as u64, FILES_RANGE)?;
        Ok(DecisionLogConfig {
            folder: raw.folder,
            max_file_bytes: raw.file_mb * MEBIBYTE,
            max_files: raw.files,
        })
    }
}
