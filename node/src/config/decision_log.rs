//! The operators' file that enables the decision log.

use std::ops::RangeInclusive;
use std::path::PathBuf;

use serde::Deserialize;

use super::error::ConfigError;
use super::parse::{check_absolute, check_range, OperatorsFile, MEBIBYTE};

const FILE_MB_RANGE: RangeInclusive<u64> = 1..=1024;
const DEFAULT_FILE_MB: u64 = 8;
const FILES_RANGE: RangeInclusive<u64> = 2..=1000;
const DEFAULT_FILES: usize = 8;

/// Location and limits of the decision log.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct DecisionLogConfig {
    /// The folder of the log files, which no other node uses.
    pub(crate) folder: PathBuf,
    /// Size, in bytes, at which a log file is closed and the next one begun.
    pub(crate) max_file_bytes: u64,
    /// Maximum number of log files that are kept.
    pub(crate) max_files: usize,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawDecisionLog {
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

impl OperatorsFile for DecisionLogConfig {
    const FILE: &'static str = "records";
    type Raw = RawDecisionLog;

    fn from_raw(raw: RawDecisionLog) -> Result<Self, ConfigError> {
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
