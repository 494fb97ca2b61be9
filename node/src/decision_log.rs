//! The decision log: what this node decided about each attempt, and under which versions of the settings, of
//! the membership configuration and of the program.
//!
//! The log is a folder with a bounded number of files of bounded length. Its records form a hash chain, so
//! that any later edit of a record is detected. A dedicated thread writes them, and no request waits for the
//! disk: a record that finds the queue to this thread full is dropped. Drops are counted, and a record in the
//! log holds their number.

mod error;
mod files;
mod metrics;
mod reader;
mod writer;

use std::cell::RefCell;
use std::sync::Arc;

use oakwind_fleet::audit::decision_record::{Decision, Record, Versions};
use oakwind_fleet::ids::ConfigVersion;
use serde_json::Value;
use sha2::{Digest, Sha256};

use crate::clock;
use crate::config::DecisionLogConfig;
use crate::exchange::{Request, RequestOutcome};
pub(crate) use error::DecisionLogError;
use metrics::DecisionLogMetrics;
pub(crate) use reader::read_journal;
use writer::LogWriter;

/// Length of a settings digest in bytes: a truncated SHA-256.
const SETTINGS_DIGEST_BYTES: usize = 8;

/// Handle of the dispatcher on the decision log. Dropping it writes the queued records and closes the log.
pub(crate) struct DecisionLog {
    writer: LogWriter,
    /// Versions that are in effect now and go into each record.
    versions: RefCell<Versions>,
    /// Counters for operators.
    pub(crate) metrics: Arc<DecisionLogMetrics>,
}

impl DecisionLog {
    /// Starts the log of the decisions of `node`, with `settings_digest` as the version of its settings.
    /// Returns at once: if the predecessor still has the folder locked, the writer thread waits for it and
    /// records are queued.
    ///
    /// # Errors
    ///
    /// If the lock file in the folder cannot be opened or the writer thread cannot be started.
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
        let first =
            Record::ProcessStarted { at: clock::now_millis(), node: node.into(), versions: versions.clone() };
        let metrics = Arc::<DecisionLogMetrics>::default();
        let writer = LogWriter::start(config, first, &metrics)?;
        Ok(DecisionLog { writer, versions: RefCell::new(versions), metrics })
    }

    /// Sets the settings digest for all later records.
    pub(crate) fn set_settings_digest(&self, digest: String) {
        self.versions.borrow_mut().settings = digest;
    }

    /// Sets the version of the membership configuration for all later records.
    pub(crate) fn set_membership_version(&self, version: ConfigVersion) {
        if self.versions.borrow().config != version {
            self.versions.borrow_mut().config = version;
        }
    }

    /// Records the decision on an attempt. `key` is its idempotency key, absent in classes whose requests may
    /// run twice.
    pub(crate) fn record(&self, decision: Decision, request: &Request, key: Option<&[u8]>, class: &str) {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let record = Record::Attempt {
            at: clock::now_millis(),
            decision,
            txn: text(request.txn.as_bytes()),
            key: key.map(text),
            class: class.into(),
            versions: self.versions.borrow().clone(),
        };
        if !self.writer.write(record) {
            self.metrics.count_dropped();
        }
    }
}

/// Digest that identifies settings, in hexadecimal. Whitespace and the order of keys do not change it.
pub(crate) fn settings_digest(settings: &Value) -> String {
    let digest = Sha256::digest(settings.to_string().as_bytes());
    digest.iter().take(SETTINGS_DIGEST_BYTES).map(|byte| format!("{byte:02x}")).collect()
}

/// The decision to record for an attempt that ended with this outcome.
pub(crate) fn decision_of(outcome: &RequestOutcome) -> Decision {
    match outcome {
        RequestOutcome::Served(_) => Decision::Served,
        RequestOutcome::Rejected { .. } => Decision::Rejected,
        RequestOutcome::Failed { .. } | RequestOutcome::BodyMismatch => Decision::Failed,
    }
}

#[cfg(test)]
mod tests;
