//! The folder of what this node has granted: what the last process left in it, and the marker that says whether, and how
//! far, that can be relied on.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use oakwind_fleet::ids::Incarnation;
use oakwind_fleet::message::ReplicaRecord;
use oakwind_fleet::replica_node::RestoredState;
use oakwind_fleet::replica_table::StoredRecord;
use oakwind_fleet::staleness::StatePosition;
use oakwind_fleet::LATE_READ_GRACE;

use crate::clock;
use crate::config::FleetConfig as Config;
use crate::log;
use crate::outcome::RunState;
use crate::result_store::ResultStore;

/// Between two attempts to open a folder that another process still has, and how long they go on.
const AGAIN: Duration = Duration::from_millis(10);
const OWED: Duration = Duration::from_secs(2);
/// The marker, and what it is called while it is written.
const MARKER: &str = "sound";
const UNFINISHED: &str = "sound-new";

/// A folder, and what it kept if that can be relied on.
pub type Opened = (ResultStore, Option<RestoredState>);

/// Opens the folder and takes in what the last process left, if that can be relied on. None where there is no folder.
///
/// # Errors
///
/// One line that names the key in the file.
pub fn open(config: &Config) -> Result<Option<Opened>, String> {
    let Some(remembered) = config.folder.clone() else { return Ok(None) };
    let mut marker = Marker::new(&remembered.folder, true);
    let mut folder = ResultStore::closed(remembered, config.list.window() + LATE_READ_GRACE);
    let recovered = folder.open().map_err(|e| format!("fleet file: {e}"))?;
    let whole = recovered.damage == Default::default() && recovered.clock_setback.is_zero();
    let now = clock::now();
    let records = recovered.keys.iter().map(|record| {
        let RunState::Succeeded(bytes) = &record.state else { return None };
        let stored: StoredRecord = postcard::from_bytes(bytes).ok()?;
        let retain_ms = clock::millis(record.expires_at.saturating_sub(now));
        let record = ReplicaRecord { retain_ms, ..stored.record };
        Some(StoredRecord { record, ..stored })
    });
    let records: Option<Vec<_>> = records.collect();
    let marked = marker.read();
    let kept =
        records.zip(marked).filter(|_| whole).map(|(records, position)| RestoredState { records, position });
    if kept.is_none() && marked.is_some() {
        log!("fleet: what is in the folder can't be relied on, and counts as lost");
        // Otherwise the next start would rely on what this one does not.
        marker.void();
    }
    Ok(Some((folder, kept)))
}

/// The same where another process of this node may have it for a moment more.
pub async fn open_soon(config: &Config) -> Option<Opened> {
    let by = clock::now() + OWED;
    loop {
        match open(config) {
            Ok(opened) => return opened,
            Err(e) if clock::now() >= by => {
                log!("{e}");
                return None;
            }
            Err(_) => clock::until(clock::now() + AGAIN).await,
        }
    }
}

/// Says in the folder that what is in it can be relied on, and up to which point of the node's lives.
pub struct Marker {
    folder: PathBuf,
    /// Whether it does.
    valid: bool,
    written: Option<StatePosition>,
}

impl Marker {
    /// The marker of a folder; `valid` if what that holds is relied on.
    pub fn new(folder: &Path, valid: bool) -> Marker {
        Marker { folder: folder.into(), valid, written: None }
    }

    /// How far the last process reached; none if nothing can be relied on.
    fn read(&self) -> Option<StatePosition> {
        let text = fs::read_to_string(self.folder.join(MARKER)).ok()?;
        let (incarnation, uptime_seconds) = text.trim_end().split_once(' ')?;
        Some(StatePosition {
            incarnation: Incarnation(incarnation.parse().ok()?),
            uptime_seconds: uptime_seconds.parse().ok()?,
        })
    }

    /// What is in the folder can be relied on from now on.
    pub fn holds(&mut self, mark: StatePosition) {
        self.valid = true;
        self.reaches(mark);
    }

    /// This process is here in its lives; written when that has changed. It need not outlast the machine: where it does not,
    /// others know better, or nobody is left who does.
    pub fn reaches(&mut self, mark: StatePosition) {
        if !self.valid || self.written == Some(mark) {
            return;
        }
        let unfinished = self.folder.join(UNFINISHED);
        let written = fs::write(&unfinished, format!("{} {}\n", mark.incarnation, mark.uptime_seconds))
            .and_then(|()| fs::rename(&unfinished, self.folder.join(MARKER)));
        match written {
            Ok(()) => self.written = Some(mark),
            Err(e) => log!("fleet: the folder does not say that it can be relied on: {e}"),
        }
    }

    /// Nothing in the folder can be relied on any more.
    pub fn void(&mut self) {
        self.valid = false;
        // Where it can't be removed, the next start finds out as this one did.
        let _ = fs::remove_file(self.folder.join(MARKER));
    }

    /// Another process has the folder from now on.
    pub fn rest(&mut self) {
        self.valid = false;
    }
}

#[cfg(test)]
mod tests;
