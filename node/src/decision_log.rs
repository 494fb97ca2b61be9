//! Records of what was decided of each try, and by which versions, in files of a folder that are bounded and chained. A
//! thread of its own writes them: nobody waits for the disk, and what it can't take in time is dropped and counted.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::{self, File, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use oakwind_fleet::decision_record::{Decision, FileBreak, Journal, Record, Versions};
use oakwind_fleet::hash_chain::{self, Chain, ChainBreak, ChainError};
use oakwind_fleet::ids::ConfigVersion;
use serde_json::Value;
use sha2::{Digest, Sha256};

use crate::clock;
use crate::config::DecisionLogConfig as Config;
use crate::exchange::{Request, RequestOutcome};
use crate::log;

/// Records that may wait for the disk; more are dropped.
const WAITING: usize = 8192;
/// Records that share one write.
const BATCH: usize = 512;
/// Between two attempts to open a folder that the process before still has.
const AGAIN: Duration = Duration::from_millis(50);
/// This process alone writes in the folder.
const LOCK: &str = "lock";
/// Where the chain ends, as far as it was written, and what that is called while it is written itself.
const END: &str = "end";
const UNFINISHED: &str = "end-new";
/// What files of records end in.
const KIND: &str = "log";

/// What operators see of it.
#[derive(Debug, Default)]
pub struct DecisionLogMetrics {
    written: AtomicU64,
    dropped: AtomicU64,
    bytes: AtomicU64,
}

impl DecisionLogMetrics {
    /// All of them by name.
    pub fn values(&self) -> Vec<(&'static str, u64)> {
        let figures = [
            ("records_written", &self.written),
            ("records_dropped", &self.dropped),
            ("records_bytes", &self.bytes),
        ];
        figures.map(|(name, value)| (name, value.load(Ordering::Relaxed))).into()
    }
}

/// The digest by which settings are told apart: the same wherever they say the same.
pub fn settings_digest(settings: &Value) -> String {
    let digest = Sha256::digest(settings.to_string().as_bytes());
    digest.iter().take(8).map(|byte| format!("{byte:02x}")).collect()
}

/// What an answer says of what was decided.
pub fn decision_of(outcome: &RequestOutcome) -> Decision {
    match outcome {
        RequestOutcome::Served(_) => Decision::Served,
        RequestOutcome::Rejected { .. } => Decision::Rejected,
        RequestOutcome::Failed { .. } | RequestOutcome::BodyMismatch => Decision::Failed,
    }
}

/// The way to the thread that writes.
pub struct DecisionLog {
    orders: Option<SyncSender<Record>>,
    thread: Option<JoinHandle<()>>,
    by: RefCell<Versions>,
    /// What was dropped and is still to be recorded.
    missed: Arc<AtomicU64>,
    /// The process ends: a folder that is not open by now is not waited for.
    over: Arc<AtomicBool>,
    /// What operators see.
    pub metrics: Arc<DecisionLogMetrics>,
}

impl DecisionLog {
    /// Begins to record what this node decides by these settings.
    ///
    /// # Errors
    ///
    /// One line that names the key in the file.
    pub fn start(config: &Config, node: &str, settings: String) -> Result<DecisionLog, String> {
        let problem = |e: io::Error| format!("records file, folder: {}: {e}", config.folder.display());
        // A process before this one may still have it: that is waited for, by the thread.
        let lock = File::options().write(true).create(true).truncate(false).open(config.folder.join(LOCK));
        let lock = lock.map_err(problem)?;
        let by = Versions {
            settings,
            config: ConfigVersion::default(),
            program: env!("CARGO_PKG_VERSION").into(),
        };
        let (orders, waiting) = sync_channel(WAITING);
        let (missed, metrics) = (Arc::<AtomicU64>::default(), Arc::<DecisionLogMetrics>::default());
        let began = Record::ProcessStarted {
            at: clock::millis(clock::now()),
            node: node.into(),
            versions: by.clone(),
        };
        let over = Arc::<AtomicBool>::default();
        let (config, missing, counted, ends) =
            (config.clone(), missed.clone(), metrics.clone(), over.clone());
        let thread = std::thread::Builder::new().name("records".into()).spawn(move || {
            let opened = wait_for(&lock, &ends);
            let written = opened.and_then(|opened| match opened {
                true => write_all(&config, began, &waiting, &missing, &counted),
                false => Ok(()),
            });
            if let Err(e) = written {
                log!("records: {}: {e}; nothing more is kept", config.folder.display());
            }
        });
        let thread = thread.map_err(|e| format!("no thread for the records: {e}"))?;
        let by = RefCell::new(by);
        Ok(DecisionLog { orders: Some(orders), thread: Some(thread), by, missed, over, metrics })
    }

    /// Other settings hold from now on.
    pub fn set_settings_digest(&self, digest: String) {
        self.by.borrow_mut().settings = digest;
    }

    /// The fleet goes by this list.
    pub fn set_membership_version(&self, version: ConfigVersion) {
        if self.by.borrow().config != version {
            self.by.borrow_mut().config = version;
        }
    }

    /// Something was decided of a try; the key is given in classes that must not run twice.
    pub fn record(&self, did: Decision, request: &Request, key: Option<&[u8]>, class: &str) {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let record = Record::Attempt {
            at: clock::millis(clock::now()),
            decision: did,
            txn: text(&request.txn),
            key: key.map(text),
            class: class.into(),
            versions: self.by.borrow().clone(),
        };
        if self.orders.as_ref().is_none_or(|orders| orders.try_send(record).is_err()) {
            self.missed.fetch_add(1, Ordering::Relaxed);
            self.metrics.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Drop for DecisionLog {
    /// What waits is written before the process ends; a disk that stands still then is left alone by the platform's stop.
    fn drop(&mut self) {
        self.orders = None;
        self.over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // It logs what went wrong itself.
            let _ = thread.join();
        }
    }
}

/// Waits until no other process has the folder; false if this one ends before.
fn wait_for(lock: &File, ends: &AtomicBool) -> io::Result<bool> {
    loop {
        match lock.try_lock() {
            Ok(()) => return Ok(true),
            Err(TryLockError::WouldBlock) if ends.load(Ordering::Relaxed) => return Ok(false),
            Err(TryLockError::WouldBlock) => std::thread::sleep(AGAIN),
            Err(TryLockError::Error(e)) => return Err(e),
        }
    }
}

/// Writes until nobody has anything more to say.
fn write_all(
    config: &Config,
    began: Record,
    orders: &Receiver<Record>,
    missed: &AtomicU64,
    metrics: &DecisionLogMetrics,
) -> io::Result<()> {
    let mut files = Files::open(config)?;
    files.append(&[began], metrics)?;
    while let Ok(first) = orders.recv() {
        let mut batch = vec![first];
        batch.extend(orders.try_iter().take(BATCH));
        let count = missed.swap(0, Ordering::Relaxed);
        if count > 0 {
            batch.push(Record::Dropped { at: clock::millis(clock::now()), count });
        }
        files.append(&batch, metrics)?;
    }
    files.append(&[Record::ProcessStopped { at: clock::millis(clock::now()) }], metrics)
}

/// The files of a folder, the oldest first, by the number of their first record.
fn files(folder: &Path) -> io::Result<BTreeMap<u64, PathBuf>> {
    let mut found = BTreeMap::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        let number =
            path.file_stem().and_then(|stem| stem.to_str()).and_then(|stem| stem.parse::<u64>().ok());
        if let Some(number) = number.filter(|_| path.extension().is_some_and(|kind| kind == KIND)) {
            found.insert(number, path);
        }
    }
    Ok(found)
}

/// The files that this process writes: each process begins one of its own, so that what the one before left unfinished stays
/// as it is.
struct Files {
    folder: PathBuf,
    chain: Chain,
    file: Option<File>,
    bytes: u64,
    most_bytes: u64,
    most_files: usize,
}

impl Files {
    fn open(config: &Config) -> io::Result<Files> {
        let mut chain = Chain::default();
        if let Some((first, last)) = files(&config.folder)?.pop_last() {
            chain = Chain::before(first);
            hash_chain::read(&String::from_utf8_lossy(&fs::read(last)?), &mut chain);
        }
        Ok(Files {
            folder: config.folder.clone(),
            chain,
            file: None,
            bytes: 0,
            most_bytes: config.file,
            most_files: config.files,
        })
    }

    fn append(&mut self, records: &[Record], metrics: &DecisionLogMetrics) -> io::Result<()> {
        let (first, mut text) = (self.chain.number() + 1, String::new());
        for record in records {
            // Everything in a record can be written.
            let line = serde_json::to_string(record).unwrap_or_default();
            self.chain.append(&line, &mut text);
        }
        let mut file = match self.file.take().filter(|_| self.bytes < self.most_bytes) {
            Some(file) => file,
            None => self.next_file(first)?,
        };
        file.write_all(text.as_bytes())?;
        self.file = Some(file);
        self.bytes += text.len() as u64;
        let (number, digest) = (self.chain.number(), self.chain.digest());
        let unfinished = self.folder.join(UNFINISHED);
        fs::write(&unfinished, format!("{number} {digest}\n"))?;
        fs::rename(&unfinished, self.folder.join(END))?;
        metrics.written.fetch_add(records.len() as u64, Ordering::Relaxed);
        metrics.bytes.fetch_add(text.len() as u64, Ordering::Relaxed);
        Ok(())
    }

    fn next_file(&mut self, first: u64) -> io::Result<File> {
        let mut old = files(&self.folder)?;
        while old.len() >= self.most_files {
            let Some((_, oldest)) = old.pop_first() else { break };
            fs::remove_file(oldest)?;
        }
        self.bytes = 0;
        let path = self.folder.join(format!("{first:012}.{KIND}"));
        File::options().append(true).create_new(true).open(path)
    }
}

/// Reads what a node's folder holds.
///
/// # Errors
///
/// Where it can't be read.
pub fn read(folder: &Path) -> io::Result<Journal> {
    let name = folder.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
    let mut journal = Journal { node: name, ..Journal::default() };
    let all = files(folder)?;
    let mut chain = all.first_key_value().map_or(Chain::default(), |(first, _)| Chain::before(*first));
    let mut named = false;
    for path in all.into_values() {
        let file = path.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
        let text = String::from_utf8_lossy(&fs::read(&path)?).into_owned();
        let read = hash_chain::read(&text, &mut chain);
        for (_, line) in read.records {
            // A later build may know other records.
            let Ok(record) = serde_json::from_str::<Record>(line) else { continue };
            if let (Record::ProcessStarted { node, .. }, false) = (&record, named) {
                (journal.node, named) = (node.clone(), true);
            }
            journal.records.push(record);
        }
        // One that was being written when its process ended is no edit: what comes behind it goes on before it.
        let edits = read.breaks.into_iter().filter(|broken| broken.error != ChainError::Incomplete);
        journal.breaks.extend(edits.map(|chain_break| FileBreak { file: file.clone(), chain_break }));
    }
    let end = fs::read_to_string(folder.join(END)).ok();
    let end = end.as_deref().and_then(|text| text.split(' ').next()?.parse::<u64>().ok());
    if let Some(last) = end.filter(|end| *end > chain.number()) {
        let chain_break = ChainBreak { line: 1, error: ChainError::Truncated { last } };
        journal.breaks.push(FileBreak { file: END.into(), chain_break });
    }
    Ok(journal)
}

#[cfg(test)]
mod tests;
