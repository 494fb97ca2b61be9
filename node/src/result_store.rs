//! The durable store of idempotency keys and their results.
//!
//! A record that the run of a key starts is durable before the run starts, and a record of how the run ended
//! is durable before its answer is sent. After a restart, the process answers a repeat from the stored result
//! and never runs a request again that may have run already.
//!
//! The store is a log of records in segment files. [`segment_index`] and [`recovery`] hold the logic without
//! I/O, [`record`] and [`segment`] the byte formats. [`segment_log`] does the I/O through [`disk`], on the
//! thread of [`writer`].

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

/// Delay between attempts to open a folder that the predecessor of this process still has open.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Time after which the attempts to open the folder end and the process continues without a store.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Reason why a result store could not be opened.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StoreError {
    /// The folder or a file in it cannot be accessed, or another process has the folder open.
    #[error("folder: {}: {source}", folder.display())]
    Folder {
        /// Folder of the store, as configured.
        folder: PathBuf,
        /// Error of the operation on the folder; `WouldBlock` if another process has it open.
        source: io::Error,
    },
    /// The operating system refused to start the writer thread.
    #[error("the writer thread of the result store cannot be started: {0}")]
    Thread(#[source] io::Error),
}

/// Source from which a process learns the keys of another process of its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum KeySource {
    /// The predecessor transfers them in the handover.
    Predecessor,
    /// They are read from the store once the other process has closed it.
    Store,
}

/// The result store: its configuration, its writer thread and what was recovered from it.
pub(crate) struct ResultStore {
    config: ResultStoreConfig,
    /// Longest idempotency window of any key.
    max_window: Duration,
    /// Absent until this process opens the folder or waits in the background to open it.
    pub(crate) writer: Option<StoreWriter>,
    events: Option<mpsc::Receiver<StoreEvent>>,
    /// Source of the predecessor's keys in an upgrade in place.
    pub(crate) key_source: KeySource,
    /// Keys that may have run although no intact record says so, because files of the store are damaged.
    pub(crate) uncertain_keys: UncertainKeys,
    /// Counters for operators.
    pub(crate) metrics: Arc<StoreMetrics>,
}

impl ResultStore {
    /// Creates the store without opening its folder, which another process of this node may still have open.
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

    /// Opens the folder, starts the writer thread and returns the recovered state.
    ///
    /// # Errors
    ///
    /// If the folder cannot be accessed, another process has it open, or the writer thread cannot be started.
    pub(crate) fn open(&mut self) -> Result<RecoveredState, StoreError> {
        let OpenedLog { log, mut recovered } = open_log(&self.config, self.max_window)?;
        report_recovery(&recovered, &self.metrics);
        self.uncertain_keys = std::mem::take(&mut recovered.uncertain_keys);
        self.start_writer(move |_| Some(log)).map_err(StoreError::Thread)?;
        Ok(recovered)
    }

    /// Opens the folder in the background once the predecessor has closed it, and then sends
    /// [`StoreEvent::Opened`]. If that fails, it sends [`StoreEvent::OpenFailed`], and every record counts as not
    /// durable.
    pub(crate) fn open_after_predecessor(&mut self, key_source: KeySource) {
        self.key_source = key_source;
        let config = self.config.clone();
        let max_window = self.max_window;
        let metrics = self.metrics.clone();
        let opened = self.start_writer(move |events| {
            let (event, log) = match open_with_retries(&config, max_window) {
                Some(OpenedLog { log, recovered }) => {
                    report_recovery(&recovered, &metrics);
                    (StoreEvent::Opened(recovered), Some(log))
                }
                None => (StoreEvent::OpenFailed, None),
            };
            // The receiver is dropped only when the process ends; the event has no use then.
            let _ = events.blocking_send(event);
            log
        });
        if let Err(error) = opened.map_err(StoreError::Thread) {
            log!("result store: open failed, keys and results are not stored: error={error}");
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

    /// Waits for the next event of the writer thread; pending for ever if there is no such thread or it has
    /// ended.
    pub(crate) async fn next_event(&mut self) -> StoreEvent {
        let event = match &mut self.events {
            Some(events) => events.recv().await,
            None => None,
        };
        match event {
            Some(event) => event,
            // There is no writer thread, or it has ended and all its events were received.
            None => std::future::pending().await,
        }
    }
}

fn open_log(config: &ResultStoreConfig, max_window: Duration) -> Result<OpenedLog, StoreError> {
    let limits = Limits { max_bytes: config.max_bytes };
    SegmentLog::open(&config.folder, SystemDisk, limits, max_window, clock::now())
        .map_err(|source| StoreError::Folder { folder: config.folder.clone(), source })
}

/// Opens the log of a folder that the predecessor is about to close; none if it still fails after
/// [`OPEN_TIMEOUT`].
fn open_with_retries(config: &ResultStoreConfig, max_window: Duration) -> Option<OpenedLog> {
    let give_up_at = clock::now() + OPEN_TIMEOUT;
    loop {
        match open_log(config, max_window) {
            Ok(opened) => return Some(opened),
            Err(error) if clock::now() >= give_up_at => {
                log!("result store: open failed, keys and results are not stored: error={error}");
                return None;
            }
            Err(_) => std::thread::sleep(OPEN_RETRY_INTERVAL),
        }
    }
}

/// Logs the number of recovered keys, damage and a clock setback, and sets the damage counters.
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
            "result store: clock was set back, expiry times are moved back as far: setback_ms={}",
            clock::millis(recovered.clock_setback)
        );
    }
}
