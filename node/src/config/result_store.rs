//! The operators' file that enables the result store, which makes idempotency keys and results survive a
//! restart.

use std::ops::RangeInclusive;
use std::path::PathBuf;

use serde::Deserialize;

use super::error::ConfigError;
use super::parse::{check_absolute, check_range, OperatorsFile, MEBIBYTE};

/// Allowed maximum size of a store, in mebibytes.
pub(super) const FILE_MB_RANGE: RangeInclusive<u64> = 4..=65_536;
pub(super) const DEFAULT_FILE_MB: u64 = 64;
const BATCH_RANGE: RangeInclusive<u64> = 1..=4096;
pub(super) const DEFAULT_BATCH: usize = 1024;

/// Location and limits of a store that survives a restart of the process.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ResultStoreConfig {
    /// A folder on a persistent disk, which no other node uses.
    pub(crate) folder: PathBuf,
    /// Maximum size of the folder, in bytes.
    pub(crate) max_bytes: u64,
    /// Maximum number of records that are written with one sync of the disk.
    pub(crate) max_batch: usize,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawResultStore {
    folder: PathBuf,
    #[serde(default = "default_file_mb")]
    file_mb: u64,
    #[serde(default = "default_batch")]
    batch: usize,
}

pub(super) fn default_file_mb() -> u64 {
    DEFAULT_FILE_MB
}

fn default_batch() -> usize {
    DEFAULT_BATCH
}

impl OperatorsFile for ResultStoreConfig {
    const FILE: &'static str = "remembered";
    type Raw = RawResultStore;

    fn from_raw(raw: RawResultStore) -> Result<Self, ConfigError> {
        check_absolute("remembered file, folder", &raw.folder)?;
        check_range("remembered file, file_mb", raw.file_mb, FILE_MB_RANGE)?;
        check_range("remembered file, batch", raw.batch as u64, BATCH_RANGE)?;
        Ok(ResultStoreConfig { folder: raw.folder, max_bytes: raw.file_mb * MEBIBYTE, max_batch: raw.batch })
    }
}
