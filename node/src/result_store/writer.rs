//! The writer thread of the result store. Records that arrive during a sync of the disk share the next one.

use std::io;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;

use oakwind_admission::RequestId;
use tokio::sync::mpsc;

use super::metrics::StoreMetrics;
use super::record::Record;
use super::recovery::RecoveredState;
use super::segment_log::SegmentLog;
use crate::clock;
use crate::log;

/// Capacity of the queue of records to write and of the queue of events. A record that finds the record queue
/// full is not stored; if the event queue is full, the writer thread waits.
const QUEUE_CAPACITY: usize = 4096;
const THREAD_NAME: &str = "result-store";

/// Event that the writer thread reports.
#[derive(Debug)]
pub(crate) enum StoreEvent {
    /// A record was written, or could not be.
    Written {
        /// Request that the record belongs to.
        request: RequestId,
        /// Whether the record survives a crash from now on. If false, the next start may or may not recover
        /// it.
        durable: bool,
    },
    /// The folder was opened after the predecessor closed it; this is its recovered state.
    Opened(RecoveredState),
    /// The folder could not be opened after the predecessor closed it.
    OpenFailed,
}

/// Record to be written for a request.
struct WriteRequest {
    request: RequestId,
    record: Record,
}

/// A started writer thread: its handle and its events.
pub(super) struct StartedWriter {
    /// Handle that queues records.
    pub(super) writer: StoreWriter,
    /// Events of the thread.
    pub(super) events: mpsc::Receiver<StoreEvent>,
}

/// Handle of the writer thread. After it is dropped, the thread writes the queued records and closes the log.
pub(crate) struct StoreWriter {
    queue: SyncSender<WriteRequest>,
    metrics: Arc<StoreMetrics>,
}

impl StoreWriter {
    /// Queues a record, for which a [`StoreEvent::Written`] will follow. Returns false, with no event to
    /// follow, if the queue is full.
    pub(crate) fn write(&self, request: RequestId, record: Record) -> bool {
        let queued = self.queue.try_send(WriteRequest { request, record }).is_ok();
        if !queued {
            log!("result store: write queue full, record not stored: capacity={QUEUE_CAPACITY}");
            self.metrics.count_batch(0, 1);
        }
        queued
    }

    /// Starts the thread. It calls `open` for its log, which may send an event. If `open` returns none, every
    /// record is reported as not durable. At most `max_batch` records share one sync of the disk.
    ///
    /// # Errors
    ///
    /// If the thread cannot be started.
    pub(super) fn spawn(
        metrics: Arc<StoreMetrics>,
        max_batch: usize,
        open: impl FnOnce(&mpsc::Sender<StoreEvent>) -> Option<SegmentLog> + Send + 'static,
    ) -> io::Result<StartedWriter> {
        let (queue, requests) = sync_channel(QUEUE_CAPACITY);
        let (events, event_receiver) = mpsc::channel(QUEUE_CAPACITY);
        let thread_metrics = metrics.clone();
        std::thread::Builder::new().name(THREAD_NAME.into()).spawn(move || {
            let log = open(&events);
            WriterThread { log, requests, events, max_batch, metrics: thread_metrics }.run();
        })?;
        Ok(StartedWriter { writer: StoreWriter { queue, metrics }, events: event_receiver })
    }
}

/// State owned by the writer thread.
struct WriterThread {
    log: Option<SegmentLog>,
    requests: Receiver<WriteRequest>,
    events: mpsc::Sender<StoreEvent>,
    max_batch: usize,
    metrics: Arc<StoreMetrics>,
}

impl WriterThread {
    /// Writes queued records in batches until the queue is closed and empty.
    fn run(mut self) {
        while let Ok(first) = self.requests.recv() {
            let more = std::iter::from_fn(|| self.requests.try_recv().ok()).take(self.max_batch - 1);
            let batch = std::iter::once(first).chain(more);
            let (requests, records) = batch.map(|write| (write.request, write.record)).unzip();
            self.write_batch(requests, records);
        }
    }

    fn write_batch(&mut self, requests: Vec<RequestId>, records: Vec<Record>) {
        let durable = match &mut self.log {
            Some(log) => {
                self.metrics.count_sync();
                log.write(records, clock::now())
            }
            None => vec![false; requests.len()],
        };
        let written = durable.iter().filter(|durable| **durable).count() as u64;
        self.metrics.count_batch(written, durable.len() as u64 - written);
        if let Some(log) = &self.log {
            self.metrics.set_size(log.key_count(), log.bytes());
        }
        for (request, durable) in requests.into_iter().zip(durable) {
            if self.events.blocking_send(StoreEvent::Written { request, durable }).is_err() {
                break;
            }
        }
    }
}
