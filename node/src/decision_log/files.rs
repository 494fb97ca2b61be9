//! The files of a decision log, and the hash chain that continues from one file to the next.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use oakwind_fleet::audit::decision_record::Record;
use oakwind_fleet::audit::hash_chain::{self, Chain};

use super::metrics::DecisionLogMetrics;
use crate::config::DecisionLogConfig;

/// File with the number and the digest of the last record, which reveals a truncated log.
pub(super) const END_FILE: &str = "end";
/// Name of the end file while it is being written; it is then renamed to replace the old one atomically.
const TEMPORARY_END_FILE: &str = "end-new";
const FILE_EXTENSION: &str = "log";

/// The log files in a folder, by the number of their first record.
pub(super) fn log_files(folder: &Path) -> io::Result<BTreeMap<u64, PathBuf>> {
    let mut files = BTreeMap::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if let Some(first_record) = first_record_of(&path) {
            files.insert(first_record, path);
        }
    }
    Ok(files)
}

/// Number of the first record of a log file, from its name; none if the name is not that of a log file.
fn first_record_of(path: &Path) -> Option<u64> {
    if path.extension()? != FILE_EXTENSION {
        return None;
    }
    path.file_stem()?.to_str()?.parse().ok()
}

/// Writer of the log files in a folder. Each process begins a new file, so that an incomplete record at the
/// end of the previous process's file stays as it is.
pub(super) struct LogFiles {
    folder: PathBuf,
    chain: Chain,
    file: Option<File>,
    file_bytes: u64,
    max_file_bytes: u64,
    max_files: usize,
}

impl LogFiles {
    /// Opens a folder, to continue the chain behind the last record of its newest file.
    pub(super) fn open(config: &DecisionLogConfig) -> io::Result<LogFiles> {
        let mut chain = Chain::default();
        if let Some((first_record, newest)) = log_files(&config.folder)?.pop_last() {
            chain = Chain::before(first_record);
            hash_chain::read(&String::from_utf8_lossy(&fs::read(newest)?), &mut chain);
        }
        Ok(LogFiles {
            folder: config.folder.clone(),
            chain,
            file: None,
            file_bytes: 0,
            max_file_bytes: config.max_file_bytes,
            max_files: config.max_files,
        })
    }

    /// Appends records to the chain and to the current file, and updates the end file and the counters.
    pub(super) fn append(&mut self, records: &[Record], metrics: &DecisionLogMetrics) -> io::Result<()> {
        let first_record = self.chain.number() + 1;
        let mut text = String::new();
        for record in records {
            // Serialization cannot fail: a record holds only strings, numbers and enums.
            let line = serde_json::to_string(record).unwrap_or_default();
            self.chain.append(&line, &mut text);
        }
        let mut file = match self.file.take().filter(|_| self.file_bytes < self.max_file_bytes) {
            Some(file) => file,
            None => self.next_file(first_record)?,
        };
        file.write_all(text.as_bytes())?;
        self.file = Some(file);
        self.file_bytes += text.len() as u64;
        self.write_end()?;
        metrics.count_written(records.len(), text.len());
        Ok(())
    }

    /// Creates the next file, after removing the oldest ones to stay within `max_files`.
    fn next_file(&mut self, first_record: u64) -> io::Result<File> {
        let mut files = log_files(&self.folder)?;
        while files.len() >= self.max_files {
            let Some((_, oldest)) = files.pop_first() else { break };
            fs::remove_file(oldest)?;
        }
        self.file_bytes = 0;
        let path = self.folder.join(format!("{first_record:012}.{FILE_EXTENSION}"));
        File::options().append(true).create_new(true).open(path)
    }

    /// Replaces the end file by one that names the last record written.
    fn write_end(&self) -> io::Result<()> {
        let temporary = self.folder.join(TEMPORARY_END_FILE);
        fs::write(&temporary, format!("{} {}\n", self.chain.number(), self.chain.digest()))?;
        fs::rename(&temporary, self.folder.join(END_FILE))
    }
}
