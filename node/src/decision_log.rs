//! The decision log: what this node decided of each attempt, and by which versions of the settings, of the membership
//! configuration and of the program.
//!
//! Records go to files in a folder, whose number and length are bounded, as a chain of digests: an edit of any record shows.
//! A thread of its own writes them. No request waits for the disk; a record that it cannot take in time is dropped and
//! counted, and the log says how many were.

mod files;
mod reader;
mod writer;

use std::cell::RefCell;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use oakwind_fleet::decision_record::{Decision, Record, Versions};
use oakwind_fleet::ids::ConfigVersion;
use serde_json::Value;
use sha2::{Digest, Sha256};

use crate::clock;
use crate::config::DecisionLogConfig;
use crate::exchange::{Request, RequestOutcome};
use crate::metrics::Metric;
pub(crate) use reader::read_journal;
use writer::LogWriter;

/// Bytes of a SHA-256 digest that tell settings apart.
const SETTINGS_DIGEST_BYTES: usize = 8;

/// Why no decision can be recorded.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DecisionLogError {
    /// The folder cannot be used.
    #[error("records file, folder: {}: {source}", folder.display())]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// What is wrong with it.
        source: io::Error,
    },
    /// The writer thread could not be started.
    #[error("the writer thread of the decision log cannot be started: {0}")]
    Thread(#[source] io::Error),
}

/// Counters that operators read.
#[derive(Debug, Default)]
pub(crate) struct DecisionLogMetrics {
    written: AtomicU64,
    dropped: AtomicU64,
    bytes: AtomicU64,
}

impl DecisionLogMetrics {
    /// All counters by the names that operators know.
    pub(crate) fn values(&self) -> Vec<Metric> {
        let counters = [
            ("records_written", &self.written),
            ("records_dropped", &self.dropped),
            ("records_bytes", &self.bytes),
        ];
        counters.map(|(name, counter)| Metric::new(name, counter.load(Ordering::Relaxed))).into()
    }

    fn count_written(&self, records: usize, bytes: usize) {
        self.written.fetch_add(records as u64, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn count_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }
}

/// The handle of the dispatcher on the decision log. Once it is dropped, what waits is written and the log is closed.
pub(crate) struct DecisionLog {
    writer: LogWriter,
    /// The versions that decisions are made by now.
    versions: RefCell<Versions>,
    /// Counters for operators.
    pub(crate) metrics: Arc<DecisionLogMetrics>,
}

impl DecisionLog {
    /// Starts to record what this node decides by the settings with this digest. A folder that the predecessor still has
    /// open is waited for, and records wait with it.
    ///
    /// # Errors
    ///
    /// If the folder cannot be used.
    pub(crate) fn start(
        config: &DecisionLogConfig,
        node: &str,
        settings_digest: String,
    ) -> Result<DecisionLog, DecisionLogError> {
        let versions = Versions {
            settings: settings_digest,
            config: ConfigVersion::default(),
            program: env!("CARGO_PKG_VERSION").into(),
        };
        let first = Record::ProcessStarted { at: now_ms(), node: node.into(), versions: versions.clone() };
        let metrics = Arc::<DecisionLogMetrics>::default();
        let writer = LogWriter::start(config, first, &metrics)?;
        Ok(DecisionLog { writer, versions: RefCell::new(versions), metrics })
    }

    /// Decisions are made by other settings from now on.
    pub(crate) fn set_settings_digest(&self, digest: String) {
        self.versions.borrow_mut().settings = digest;
    }

    /// Decisions are made by this version of the membership configuration from now on.
    pub(crate) fn set_membership_version(&self, version: ConfigVersion) {
        if self.versions.borrow().config != version {
            self.versions.borrow_mut().config = version;
        }
    }

    /// Records what was decided of an attempt. The key is given in classes that must not run twice.
    pub(crate) fn record(&self, decision: Decision, request: &Request, key: Option<&[u8]>, class: &str) {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let record = Record::Attempt {
            at: now_ms(),
            decision,
            txn: text(&request.txn),
            key: key.map(text),
            class: class.into(),
            versions: self.versions.borrow().clone(),
        };
        if !self.writer.write(record) {
            self.metrics.count_dropped();
        }
    }
}

/// The digest that tells settings apart. It is the same for settings that say the same, however they are written.
pub(crate) fn settings_digest(settings: &Value) -> String {
    let digest = Sha256::digest(settings.to_string().as_bytes());
    digest.iter().take(SETTINGS_DIGEST_BYTES).map(|byte| format!("{byte:02x}")).collect()
}

/// The decision that an outcome shows.
pub(crate) fn decision_of(outcome: &RequestOutcome) -> Decision {
    match outcome {
        RequestOutcome::Served(_) => Decision::Served,
        RequestOutcome::Rejected { .. } => Decision::Rejected,
        RequestOutcome::Failed { .. } | RequestOutcome::BodyMismatch => Decision::Failed,
    }
}

/// Now, in Unix milliseconds.
fn now_ms() -> u64 {
    clock::millis(clock::now())
}

#[cfg(test)]
mod tests;
