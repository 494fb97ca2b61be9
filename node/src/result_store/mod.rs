//! Keys and results that outlast the process: what a request with a key began, and how it ended, is in a folder that
//! lasts before the run begins and before its answer leaves.
//!
//! [`ledger`] and [`recovery`] decide, [`record`] is how records look, [`folder`] does the I/O. That waits for the
//! disk, so it has a thread of its own; records that come meanwhile share the next wait.

pub mod folder;
pub mod record;
pub mod recovery;
pub mod segment_index;

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::time::Duration;

use oakwind_admission::RequestId;
use tokio::sync::mpsc;

use crate::clock::{self, Unix};
use crate::config::ResultStoreConfig;
use crate::log;
use folder::{SegmentLog, System};
use record::Record;
use recovery::{RecoveredState, UncertainKeys};
use segment_index::Limits;

/// Records that may wait for the disk, and answers about them; what finds no room is not kept.
const WAITING: usize = 4096;
/// Between two attempts to open a folder that the process before still has, and how long they go on.
const AGAIN: Duration = Duration::from_millis(10);
const OWED: Duration = Duration::from_secs(2);

/// What operators see of it.
#[derive(Debug, Default)]
pub struct StoreMetrics {
    /// Keys that are remembered.
    pub keys: AtomicU64,
    /// Bytes of the folder.
    pub bytes: AtomicU64,
    /// Records that were written for sure.
    pub written: AtomicU64,
    /// Records that were not.
    pub refused: AtomicU64,
    /// Waits for the disk.
    pub syncs: AtomicU64,
    /// What was damaged at the start: records that are hurt or missing, and bytes of noise.
    pub damaged: AtomicU64,
    /// The same in bytes that are no record's.
    pub noise: AtomicU64,
}

impl StoreMetrics {
    /// All of them by name.
    pub fn values(&self) -> Vec<(&'static str, u64)> {
        let figures = [
            ("remembered_keys", &self.keys),
            ("remembered_bytes", &self.bytes),
            ("remembered_written", &self.written),
            ("remembered_refused", &self.refused),
            ("remembered_syncs", &self.syncs),
            ("remembered_damaged", &self.damaged),
            ("remembered_noise_bytes", &self.noise),
        ];
        figures.map(|(name, value)| (name, value.load(Ordering::Relaxed))).into()
    }
}

/// What the thread tells of a record, or of the folder.
#[derive(Debug)]
pub enum StoreEvent {
    /// Whether the record of this try is kept for sure.
    Written(RequestId, bool),
    /// The folder that another process had is open now, and this is in it.
    Opened(RecoveredState),
}

/// The way to the thread; once this is dropped the thread writes what it was given and closes the folder.
pub struct StoreWriter {
    orders: SyncSender<(RequestId, Record)>,
    metrics: Arc<StoreMetrics>,
}

impl StoreWriter {
    /// Hands a record to the disk; false if that can't take it.
    pub fn write(&self, id: RequestId, record: Record) -> bool {
        let taken = self.orders.try_send((id, record)).is_ok();
        if !taken {
            log!("remembered: the disk does not keep up");
            self.metrics.refused.fetch_add(1, Ordering::Relaxed);
        }
        taken
    }
}

/// The keeper's part in it.
pub struct ResultStore {
    remembered: ResultStoreConfig,
    longest: Duration,
    /// None while another process of this node has the folder.
    pub writer: Option<StoreWriter>,
    told: Option<mpsc::Receiver<StoreEvent>>,
    /// Whether what is in the folder once it is open is news.
    pub loads_keys: bool,
    /// Keys that may have run, as far as damage to the folder tells.
    pub uncertain_keys: UncertainKeys,
    /// What operators see.
    pub metrics: Arc<StoreMetrics>,
}

impl ResultStore {
    /// That of a node whose folder another process of it still has.
    pub fn closed(remembered: ResultStoreConfig, longest: Duration) -> Self {
        ResultStore {
            remembered,
            longest,
            writer: None,
            told: None,
            loads_keys: false,
            uncertain_keys: UncertainKeys::default(),
            metrics: Arc::default(),
        }
    }

    /// Opens the folder, and tells what is in it; the error names the key in the file.
    pub fn open(&mut self) -> Result<RecoveredState, String> {
        let (folder, mut recovered) = open(&self.remembered, self.longest, clock::now())?;
        found(&recovered, &self.metrics);
        self.uncertain_keys = std::mem::take(&mut recovered.uncertain_keys);
        let started = spawn(self.metrics.clone(), self.remembered.batch, move |_| Some(folder));
        let (writer, told) = started.map_err(|e| format!("no thread for the folder: {e}"))?;
        (self.writer, self.told) = (Some(writer), Some(told));
        Ok(recovered)
    }

    /// Opens the folder once the process that has it lets go of it.
    pub fn open_after_predecessor(&mut self, loads_keys: bool) {
        self.loads_keys = loads_keys;
        match take_over(self.remembered.clone(), self.longest, self.metrics.clone()) {
            Ok((writer, told)) => (self.writer, self.told) = (Some(writer), Some(told)),
            Err(e) => log!("remembered: no thread for the folder: {e}"),
        }
    }

    /// The next that the folder tells; never while it is not open here.
    pub async fn next_event(&mut self) -> StoreEvent {
        let told = match &mut self.told {
            Some(told) => told.recv().await,
            None => None,
        };
        match told {
            Some(told) => told,
            // The thread has ended: all that it had to tell is told.
            None => std::future::pending().await,
        }
    }
}

/// Opens the folder of a node; the error names the key in its file.
fn open(
    remembered: &ResultStoreConfig,
    longest: Duration,
    now: Unix,
) -> Result<(SegmentLog, RecoveredState), String> {
    let limits = Limits { file: remembered.file };
    let opened = SegmentLog::open(&remembered.folder, System, limits, longest, now);
    opened.map_err(|e| format!("remembered file, folder: {}: {e}", remembered.folder.display()))
}

/// Says what was found in a folder.
fn found(recovered: &RecoveredState, metrics: &StoreMetrics) {
    log!("remembered: {} keys are known from before", recovered.keys.len());
    let damage = recovered.damage;
    metrics.damaged.store(damage.hurt + damage.missing, Ordering::Relaxed);
    metrics.noise.store(damage.noise, Ordering::Relaxed);
    if damage != Default::default() {
        log!(
            "remembered: damage: {} records can't be read, {} are missing, {} bytes are no record's",
            damage.hurt,
            damage.missing,
            damage.noise
        );
    }
    if !recovered.clock_setback.is_zero() {
        log!("remembered: the clock has gone back by {:?}, times count from now", recovered.clock_setback);
    }
}

/// Starts the thread for a folder that another process has open still, and tells what is in it once that is over.
fn take_over(
    remembered: ResultStoreConfig,
    longest: Duration,
    metrics: Arc<StoreMetrics>,
) -> io::Result<(StoreWriter, mpsc::Receiver<StoreEvent>)> {
    let (batch, until) = (remembered.batch, clock::now() + OWED);
    let seen = metrics.clone();
    spawn(metrics, batch, move |told| loop {
        match open(&remembered, longest, clock::now()) {
            Ok((folder, recovered)) => {
                found(&recovered, &seen);
                // Nobody listens any more only if the process ends.
                let _ = told.blocking_send(StoreEvent::Opened(recovered));
                return Some(folder);
            }
            Err(e) if clock::now() >= until => {
                log!("remembered: nothing more is kept: {e}");
                return None;
            }
            Err(_) => std::thread::sleep(AGAIN),
        }
    })
}

fn spawn(
    metrics: Arc<StoreMetrics>,
    batch: usize,
    folder: impl FnOnce(&mpsc::Sender<StoreEvent>) -> Option<SegmentLog> + Send + 'static,
) -> io::Result<(StoreWriter, mpsc::Receiver<StoreEvent>)> {
    let (orders, ordered) = sync_channel(WAITING);
    let (tell, told) = mpsc::channel(WAITING);
    let seen = metrics.clone();
    std::thread::Builder::new().name("remembered".into()).spawn(move || {
        let folder = folder(&tell);
        work(folder, &ordered, &tell, batch, &seen);
    })?;
    Ok((StoreWriter { orders, metrics }, told))
}

/// Writes what comes until nobody is left to give more. Without a folder nothing is kept.
fn work(
    mut folder: Option<SegmentLog>,
    ordered: &Receiver<(RequestId, Record)>,
    tell: &mpsc::Sender<StoreEvent>,
    batch: usize,
    metrics: &StoreMetrics,
) {
    while let Ok(first) = ordered.recv() {
        let more = std::iter::from_fn(|| ordered.try_recv().ok());
        let (ids, records): (Vec<_>, Vec<_>) = std::iter::once(first).chain(more.take(batch - 1)).unzip();
        let kept = match &mut folder {
            Some(folder) => {
                metrics.syncs.fetch_add(1, Ordering::Relaxed);
                folder.write(records, clock::now())
            }
            None => vec![false; ids.len()],
        };
        let written = kept.iter().filter(|kept| **kept).count() as u64;
        metrics.written.fetch_add(written, Ordering::Relaxed);
        metrics.refused.fetch_add(kept.len() as u64 - written, Ordering::Relaxed);
        if let Some((keys, bytes)) = folder.as_ref().map(SegmentLog::size) {
            metrics.keys.store(keys as u64, Ordering::Relaxed);
            metrics.bytes.store(bytes, Ordering::Relaxed);
        }
        for (id, kept) in ids.into_iter().zip(kept) {
            if tell.blocking_send(StoreEvent::Written(id, kept)).is_err() {
                break;
            }
        }
    }
}
