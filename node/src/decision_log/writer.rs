//! The writer thread of the decision log, and the queue to it.

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

/// Capacity of the queue to the writer thread, in records. A record that finds the queue full is dropped.
const QUEUE_CAPACITY: usize = 8192;
/// Most queued records that one write takes in addition to its first.
const MAX_BATCH: usize = 512;
/// Delay between attempts to lock a folder that the predecessor still has locked.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// File that the process which writes to the folder holds a lock on.
const LOCK_FILE: &str = "lock";
const THREAD_NAME: &str = "decision-log";

/// State shared by the handle and the writer thread.
#[derive(Default)]
struct Shared {
    /// Dropped records that no [`Record::Dropped`] in the log covers yet.
    unreported_drops: AtomicU64,
    /// Set when the process ends; the thread then no longer waits for the lock of the folder.
    is_closing: AtomicBool,
}

/// Handle of the writer thread. Dropping it waits until the thread has written all queued records. There is
/// no timeout: if the disk hangs meanwhile, the process lasts until the platform kills it.
pub(super) struct LogWriter {
    queue: Option<SyncSender<Record>>,
    thread: Option<JoinHandle<()>>,
    shared: Arc<Shared>,
}

impl LogWriter {
    /// Starts the thread, which locks the folder, waiting for the predecessor if necessary, and writes
    /// `start_record`.
    pub(super) fn start(
        config: &DecisionLogConfig,
        start_record: Record,
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
            start_record,
            records,
            shared: shared.clone(),
            metrics: metrics.clone(),
        };
        let thread = std::thread::Builder::new().name(THREAD_NAME.into()).spawn(move || thread.run());
        let thread = thread.map_err(DecisionLogError::Thread)?;
        Ok(LogWriter { queue: Some(queue), thread: Some(thread), shared })
    }

    /// Queues a record. Returns false if the queue is full or closed and the record is dropped.
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
            // An I/O error needs no handling here: the thread has logged it.
            let _ = thread.join();
        }
    }
}

/// State owned by the writer thread.
struct WriterThread {
    config: DecisionLogConfig,
    lock: File,
    start_record: Record,
    records: Receiver<Record>,
    shared: Arc<Shared>,
    metrics: Arc<DecisionLogMetrics>,
}

impl WriterThread {
    fn run(self) {
        let folder = self.config.folder.clone();
        if let Err(error) = self.lock_and_write() {
            let folder = folder.display();
            log!(
                "decision log: writer failed, no more decisions are recorded: folder={folder} error={error}"
            );
        }
    }

    fn lock_and_write(self) -> io::Result<()> {
        if self.wait_for_lock()? {
            self.write_all()
        } else {
            Ok(())
        }
    }

    /// Waits until the folder is locked for this process. Returns false if this process ends first.
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

    /// Writes the start record, then queued records until the queue is closed and empty, then the stop
    /// record.
    fn write_all(self) -> io::Result<()> {
        let mut files = LogFiles::open(&self.config)?;
        files.append(&[self.start_record], &self.metrics)?;
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
