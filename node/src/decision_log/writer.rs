//! The thread that writes the decision log.

use std::fs::{File, TryLockError};
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use oakwind_fleet::audit::decision_record::Record;

use super::error::DecisionLogError;
use super::files::LogFiles;
use super::metrics::DecisionLogMetrics;
use crate::clock;
use crate::config::DecisionLogConfig;
use crate::log;

/// Records that may wait for the disk; more are dropped.
const QUEUE_CAPACITY: usize = 8192;
/// Records that share one write, beside the first.
const MAX_BATCH: usize = 512;
/// Between two attempts to lock a folder that the predecessor still has.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Locked by the process that writes to the folder.
const LOCK_FILE: &str = "lock";
const THREAD_NAME: &str = "decision-log";

/// What the handle and the thread share.
#[derive(Default)]
struct Shared {
    /// Records that were dropped, of which the log is still to tell.
    unreported_drops: AtomicU64,
    /// The process ends: a folder that is not locked by now is not waited for.
    is_closing: AtomicBool,
}

/// The queue to the thread. When it is dropped, the thread writes what waits, and that is waited for; if the disk stands
/// still then, the platform's stop ends the process.
pub(super) struct LogWriter {
    queue: Option<SyncSender<Record>>,
    thread: Option<JoinHandle<()>>,
    shared: Arc<Shared>,
}

impl LogWriter {
    /// Starts the thread, which waits for the folder if the predecessor still has it and then writes `first`.
    pub(super) fn start(
        config: &DecisionLogConfig,
        first: Record,
        metrics: &Arc<DecisionLogMetrics>,
    ) -> Result<LogWriter, DecisionLogError> {
        let folder = &config.folder;
        let lock = File::options().write(true).create(true).truncate(false).open(folder.join(LOCK_FILE));
        let lock = lock.map_err(|source| DecisionLogError::Folder { folder: folder.clone(), source })?;
        let (queue, records) = sync_channel(QUEUE_CAPACITY);
        let shared = Arc::<Shared>::default();
        let thread = WriterThread {
            config: config.clone(),
            lock,
            first,
            records,
            shared: shared.clone(),
            metrics: metrics.clone(),
        };
        let thread = std::thread::Builder::new().name(THREAD_NAME.into()).spawn(move || thread.run());
        let thread = thread.map_err(DecisionLogError::Thread)?;
        Ok(LogWriter { queue: Some(queue), thread: Some(thread), shared })
    }

    /// Queues a record; false if it is dropped.
    pub(super) fn write(&self, record: Record) -> bool {
        let queued = self.queue.as_ref().is_some_and(|queue| queue.try_send(record).is_ok());
        if !queued {
            self.shared.unreported_drops.fetch_add(1, Ordering::Relaxed);
        }
        queued
    }
}

impl Drop for LogWriter {
    fn drop(&mut self) {
        self.queue = None;
        self.shared.is_closing.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // The thread has logged what went wrong.
            let _ = thread.join();
        }
    }
}

/// The state of the thread.
struct WriterThread {
    config: DecisionLogConfig,
    lock: File,
    first: Record,
    records: Receiver<Record>,
    shared: Arc<Shared>,
    metrics: Arc<DecisionLogMetrics>,
}

impl WriterThread {
    fn run(self) {
        let folder = self.config.folder.clone();
        if let Err(error) = self.lock_and_write() {
            let folder = folder.display();
            log!("decision log: failed, nothing more is recorded: folder={folder} error={error}");
        }
    }

    fn lock_and_write(self) -> io::Result<()> {
        if self.wait_for_lock()? {
            self.write_all()
        } else {
            Ok(())
        }
    }

    /// Waits until no other process has the folder; false if this one ends before.
    fn wait_for_lock(&self) -> io::Result<bool> {
        loop {
            match self.lock.try_lock() {
                Ok(()) => return Ok(true),
                Err(TryLockError::WouldBlock) if self.shared.is_closing.load(Ordering::Relaxed) => {
                    return Ok(false);
                }
                Err(TryLockError::WouldBlock) => std::thread::sleep(LOCK_RETRY_INTERVAL),
                Err(TryLockError::Error(e)) => return Err(e),
            }
        }
    }

    /// Writes until the queue is closed and empty.
    fn write_all(self) -> io::Result<()> {
        let mut files = LogFiles::open(&self.config)?;
        files.append(&[self.first], &self.metrics)?;
        while let Ok(next) = self.records.recv() {
            let mut batch = vec![next];
            batch.extend(self.records.try_iter().take(MAX_BATCH));
            let count = self.shared.unreported_drops.swap(0, Ordering::Relaxed);
            if count > 0 {
                batch.push(Record::Dropped { at: clock::now_millis(), count });
            }
            files.append(&batch, &self.metrics)?;
        }
        files.append(&[Record::ProcessStopped { at: clock::now_millis() }], &self.metrics)
    }
}
