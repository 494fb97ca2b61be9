//! The durable store of idempotency keys and their results.
//!
//! That the run of a key starts is on the disk before it starts, and how it ended is there before its answer leaves. A
//! process that starts again finds both: it answers a repeat with the first result, and never runs again what may have run.
//!
//! The store is a log of records in segment files. [`segment_index`] and [`recovery`] decide without I/O, [`record`] and
//! [`segment`] are the byte formats, [`segment_log`] does the I/O on a [`disk`], and [`writer`] is the thread that waits for
//! it.

mod disk;
mod metrics;
pub(crate) mod record;
pub(crate) mod recovery;
mod segment;
mod segment_index;
mod segment_log;
mod writer;

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::clock;
use crate::config::ResultStoreConfig;
use crate::log;
use disk::SystemDisk;
use metrics::StoreMetrics;
use recovery::{Damage, RecoveredState, UncertainKeys};
use segment_index::Limits;
use segment_log::{OpenedLog, SegmentLog};
pub(crate) use writer::StoreEvent;
use writer::{StartedWriter, StoreWriter};

/// Between two attempts to open a folder that the predecessor of this process still has open.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// How long such a folder is waited for.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a result store could not be opened.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StoreError {
    /// The folder cannot be used.
    #[error("folder: {}: {source}", folder.display())]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// What is wrong with it.
        source: io::Error,
    },
    /// The writer thread could not be started.
    #[error("the writer thread of the result store cannot be started: {0}")]
    Thread(#[source] io::Error),
}

/// Where a process learns the keys of the one that had the store open before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum KeySource {
    /// That process transfers them.
    Predecessor,
    /// They are read from the store.
    Store,
}

/// The result store as its user sees it.
pub(crate) struct ResultStore {
    config: ResultStoreConfig,
    /// The longest that any key is remembered.
    max_window: Duration,
    /// None while another process of this node has the folder open.
    pub(crate) writer: Option<StoreWriter>,
    events: Option<mpsc::Receiver<StoreEvent>>,
    /// Where the keys of the process that had the folder open come from.
    pub(crate) key_source: KeySource,
    /// Keys that may have run, as damage to the folder left that uncertain.
    pub(crate) uncertain_keys: UncertainKeys,
    /// Counters for operators.
    pub(crate) metrics: Arc<StoreMetrics>,
}

impl ResultStore {
    /// A store whose folder is not open, as another process of this node may have it.
    pub(crate) fn closed(config: ResultStoreConfig, max_window: Duration) -> Self {
        ResultStore {
            config,
            max_window,
            writer: None,
            events: None,
            key_source: KeySource::Predecessor,
            uncertain_keys: UncertainKeys::default(),
            metrics: Arc::default(),
        }
    }

    /// Opens the folder and returns what is in it.
    ///
    /// # Errors
    ///
    /// If the folder cannot be used, or another process has it open.
    pub(crate) fn open(&mut self) -> Result<RecoveredState, StoreError> {
        let OpenedLog { log, mut recovered } = open_log(&self.config, self.max_window)?;
        report_recovery(&recovered, &self.metrics);
        self.uncertain_keys = std::mem::take(&mut recovered.uncertain_keys);
        self.start_writer(move |_| Some(log)).map_err(StoreError::Thread)?;
        Ok(recovered)
    }

    /// Opens the folder in the background once the predecessor has closed it; a [`StoreEvent::Opened`] follows.
    pub(crate) fn open_after_predecessor(&mut self, key_source: KeySource) {
        self.key_source = key_source;
        let config = self.config.clone();
        let max_window = self.max_window;
        let metrics = self.metrics.clone();
        let opened = self.start_writer(move |events| {
            let OpenedLog { log, recovered } = open_with_retries(&config, max_window)?;
            report_recovery(&recovered, &metrics);
            // Nobody receives events any more only if the process ends.
            let _ = events.blocking_send(StoreEvent::Opened(recovered));
            Some(log)
        });
        if let Err(error) = opened.map_err(StoreError::Thread) {
            log!("result store: not opened, nothing is stored: error={error}");
        }
    }

    fn start_writer(
        &mut self,
        open: impl FnOnce(&mpsc::Sender<StoreEvent>) -> Option<SegmentLog> + Send + 'static,
    ) -> io::Result<()> {
        let StartedWriter { writer, events } =
            StoreWriter::spawn(self.metrics.clone(), self.config.max_batch, open)?;
        self.writer = Some(writer);
        self.events = Some(events);
        Ok(())
    }

    /// The next event of the writer thread; never while the folder is not open here.
    pub(crate) async fn next_event(&mut self) -> StoreEvent {
        let event = match &mut self.events {
            Some(events) => events.recv().await,
            None => None,
        };
        match event {
            Some(event) => event,
            // The thread has ended and reported all.
            None => std::future::pending().await,
        }
    }
}

fn open_log(config: &ResultStoreConfig, max_window: Duration) -> Result<OpenedLog, StoreError> {
    let limits = Limits { max_bytes: config.max_bytes };
    SegmentLog::open(&config.folder, SystemDisk, limits, max_window, clock::now())
        .map_err(|source| StoreError::Folder { folder: config.folder.clone(), source })
}

/// Opens the log of a folder that the predecessor may have open for a moment more; none if that takes too long.
fn open_with_retries(config: &ResultStoreConfig, max_window: Duration) -> Option<OpenedLog> {
    let give_up_at = clock::now() + OPEN_TIMEOUT;
    loop {
        match open_log(config, max_window) {
            Ok(opened) => return Some(opened),
            Err(error) if clock::now() >= give_up_at => {
                log!("result store: not opened, nothing is stored: error={error}");
                return None;
            }
            Err(_) => std::thread::sleep(OPEN_RETRY_INTERVAL),
        }
    }
}

/// Logs and counts what was found in a folder.
fn report_recovery(recovered: &RecoveredState, metrics: &StoreMetrics) {
    log!("result store: recovered: keys={}", recovered.keys.len());
    let damage = recovered.damage;
    metrics.set_damage(damage);
    if damage != Damage::default() {
        log!(
            "result store: damaged: unreadable_records={} missing_records={} unrecognized_bytes={}",
            damage.unreadable,
            damage.missing,
            damage.unrecognized_bytes
        );
    }
    if !recovered.clock_setback.is_zero() {
        log!(
            "result store: clock was set back, what is left of each key's window counts from now: setback_ms={}",
            clock::millis(recovered.clock_setback)
        );
    }
}
