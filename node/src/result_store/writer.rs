//! The thread that waits for the disk. Records that arrive while it waits share the next wait.

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

/// Records that may wait for the disk, and events that may wait to be read. A record beyond that is not stored.
const QUEUE_CAPACITY: usize = 4096;
const THREAD_NAME: &str = "result-store";

/// What the writer thread reports.
#[derive(Debug)]
pub(crate) enum StoreEvent {
    /// A record was processed.
    Written {
        /// The request that it was written for.
        request: RequestId,
        /// Whether it survives a crash from now on; otherwise it may or may not be found by the next start.
        durable: bool,
    },
    /// The folder that the predecessor had open is open here now.
    Opened(RecoveredState),
}

/// A record to be written for a request.
struct WriteRequest {
    request: RequestId,
    record: Record,
}

/// A writer whose thread has been started.
pub(super) struct StartedWriter {
    /// The queue to the thread.
    pub(super) writer: StoreWriter,
    /// What the thread reports.
    pub(super) events: mpsc::Receiver<StoreEvent>,
}

/// The queue to the writer thread. Once it is dropped, the thread writes what it was given and closes the log.
pub(crate) struct StoreWriter {
    queue: SyncSender<WriteRequest>,
    metrics: Arc<StoreMetrics>,
}

impl StoreWriter {
    /// Queues a record; a [`StoreEvent::Written`] follows. Returns false if the queue is full, and then no event follows.
    pub(crate) fn write(&self, request: RequestId, record: Record) -> bool {
        let queued = self.queue.try_send(WriteRequest { request, record }).is_ok();
        if !queued {
            log!("result store: write queue full: capacity={QUEUE_CAPACITY}");
            self.metrics.count_batch(0, 1);
        }
        queued
    }

    /// Starts the thread. It gets its log by `open`, which may send an event first; without a log nothing is stored. At
    /// most `max_batch` records share a wait for the disk.
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

/// The state of the thread.
struct WriterThread {
    log: Option<SegmentLog>,
    requests: Receiver<WriteRequest>,
    events: mpsc::Sender<StoreEvent>,
    max_batch: usize,
    metrics: Arc<StoreMetrics>,
}

impl WriterThread {
    /// Writes until the queue is closed and empty.
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
