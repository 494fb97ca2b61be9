//! The decision log: what this node decided of each attempt, and by which versions of the settings, of the membership
//! configuration and of the program.
//!
//! Records go to files in a folder, whose number and length are bounded, as a chain of digests: an edit of any record shows.
//! A thread of its own writes them. No request waits for the disk; a record that it cannot take in time is dropped and
//! counted, and the log says how many were.

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

/// Bytes of a SHA-256 digest that tell settings apart.
const SETTINGS_DIGEST_BYTES: usize = 8;

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
        let first =
            Record::ProcessStarted { at: clock::now_millis(), node: node.into(), versions: versions.clone() };
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

#[cfg(test)]
mod tests;
