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
use crate::config::Remembered;
use crate::log;
use folder::{Folder, System};
use record::Record;
use recovery::{Doubts, Recovered};
use segment_index::Limits;

/// Records that may wait for the disk, and answers about them; what finds no room is not kept.
const WAITING: usize = 4096;
/// Between two attempts to open a folder that the process before still has, and how long they go on.
const AGAIN: Duration = Duration::from_millis(10);
const OWED: Duration = Duration::from_secs(2);

/// What operators see of it.
#[derive(Debug, Default)]
pub struct Tally {
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

impl Tally {
    /// All of them by name.
    pub fn all(&self) -> Vec<(&'static str, u64)> {
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
pub enum Told {
    /// Whether the record of this try is kept for sure.
    Written(RequestId, bool),
    /// The folder that another process had is open now, and this is in it.
    Opened(Recovered),
}

/// The way to the thread; once this is dropped the thread writes what it was given and closes the folder.
pub struct Recorder {
    orders: SyncSender<(RequestId, Record)>,
    tally: Arc<Tally>,
}

impl Recorder {
    /// Hands a record to the disk; false if that can't take it.
    pub fn write(&self, id: RequestId, record: Record) -> bool {
        let taken = self.orders.try_send((id, record)).is_ok();
        if !taken {
            log!("remembered: the disk does not keep up");
            self.tally.refused.fetch_add(1, Ordering::Relaxed);
        }
        taken
    }
}

/// The keeper's part in it.
pub struct ResultStore {
    remembered: Remembered,
    longest: Duration,
    /// None while another process of this node has the folder.
    pub recorder: Option<Recorder>,
    told: Option<mpsc::Receiver<Told>>,
    /// Whether what is in the folder once it is open is news.
    pub recalls: bool,
    /// Keys that may have run, as far as damage to the folder tells.
    pub doubts: Doubts,
    /// What operators see.
    pub tally: Arc<Tally>,
}

impl ResultStore {
    /// That of a node whose folder another process of it still has.
    pub fn closed(remembered: Remembered, longest: Duration) -> Self {
        ResultStore {
            remembered,
            longest,
            recorder: None,
            told: None,
            recalls: false,
            doubts: Doubts::default(),
            tally: Arc::default(),
        }
    }

    /// Opens the folder, and tells what is in it; the error names the key in the file.
    pub fn open(&mut self) -> Result<Recovered, String> {
        let (folder, mut recovered) = open(&self.remembered, self.longest, clock::now())?;
        found(&recovered, &self.tally);
        self.doubts = std::mem::take(&mut recovered.doubts);
        let started = spawn(self.tally.clone(), self.remembered.batch, move |_| Some(folder));
        let (recorder, told) = started.map_err(|e| format!("no thread for the folder: {e}"))?;
        (self.recorder, self.told) = (Some(recorder), Some(told));
        Ok(recovered)
    }

    /// Opens the folder once the process that has it lets go of it.
    pub fn take_over(&mut self, recalls: bool) {
        self.recalls = recalls;
        match take_over(self.remembered.clone(), self.longest, self.tally.clone()) {
            Ok((recorder, told)) => (self.recorder, self.told) = (Some(recorder), Some(told)),
            Err(e) => log!("remembered: no thread for the folder: {e}"),
        }
    }

    /// The next that the folder tells; never while it is not open here.
    pub async fn told(&mut self) -> Told {
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
fn open(remembered: &Remembered, longest: Duration, now: Unix) -> Result<(Folder, Recovered), String> {
    let limits = Limits { file: remembered.file };
    let opened = Folder::open(&remembered.folder, System, limits, longest, now);
    opened.map_err(|e| format!("remembered file, folder: {}: {e}", remembered.folder.display()))
}

/// Says what was found in a folder.
fn found(recovered: &Recovered, tally: &Tally) {
    log!("remembered: {} keys are known from before", recovered.keys.len());
    let damage = recovered.damage;
    tally.damaged.store(damage.hurt + damage.missing, Ordering::Relaxed);
    tally.noise.store(damage.noise, Ordering::Relaxed);
    if damage != Default::default() {
        log!(
            "remembered: damage: {} records can't be read, {} are missing, {} bytes are no record's",
            damage.hurt,
            damage.missing,
            damage.noise
        );
    }
    if !recovered.back.is_zero() {
        log!("remembered: the clock has gone back by {:?}, times count from now", recovered.back);
    }
}

/// Starts the thread for a folder that another process has open still, and tells what is in it once that is over.
fn take_over(
    remembered: Remembered,
    longest: Duration,
    tally: Arc<Tally>,
) -> io::Result<(Recorder, mpsc::Receiver<Told>)> {
    let (batch, until) = (remembered.batch, clock::now() + OWED);
    let seen = tally.clone();
    spawn(tally, batch, move |told| loop {
        match open(&remembered, longest, clock::now()) {
            Ok((folder, recovered)) => {
                found(&recovered, &seen);
                // Nobody listens any more only if the process ends.
                let _ = told.blocking_send(Told::Opened(recovered));
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
    tally: Arc<Tally>,
    batch: usize,
    folder: impl FnOnce(&mpsc::Sender<Told>) -> Option<Folder> + Send + 'static,
) -> io::Result<(Recorder, mpsc::Receiver<Told>)> {
    let (orders, ordered) = sync_channel(WAITING);
    let (tell, told) = mpsc::channel(WAITING);
    let seen = tally.clone();
    std::thread::Builder::new().name("remembered".into()).spawn(move || {
        let folder = folder(&tell);
        work(folder, &ordered, &tell, batch, &seen);
    })?;
    Ok((Recorder { orders, tally }, told))
}

/// Writes what comes until nobody is left to give more. Without a folder nothing is kept.
fn work(
    mut folder: Option<Folder>,
    ordered: &Receiver<(RequestId, Record)>,
    tell: &mpsc::Sender<Told>,
    batch: usize,
    tally: &Tally,
) {
    while let Ok(first) = ordered.recv() {
        let more = std::iter::from_fn(|| ordered.try_recv().ok());
        let (ids, records): (Vec<_>, Vec<_>) = std::iter::once(first).chain(more.take(batch - 1)).unzip();
        let kept = match &mut folder {
            Some(folder) => {
                tally.syncs.fetch_add(1, Ordering::Relaxed);
                folder.write(records, clock::now())
            }
            None => vec![false; ids.len()],
        };
        let written = kept.iter().filter(|kept| **kept).count() as u64;
        tally.written.fetch_add(written, Ordering::Relaxed);
        tally.refused.fetch_add(kept.len() as u64 - written, Ordering::Relaxed);
        if let Some((keys, bytes)) = folder.as_ref().map(Folder::size) {
            tally.keys.store(keys as u64, Ordering::Relaxed);
            tally.bytes.store(bytes, Ordering::Relaxed);
        }
        for (id, kept) in ids.into_iter().zip(kept) {
            if tell.blocking_send(Told::Written(id, kept)).is_err() {
                break;
            }
        }
    }
}
