//! The table of keys: which try of a key holds it, what became of its run, and which tries wait for that.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use bytes::Bytes;
use swiftwinch::RequestId;

use crate::clock::Unix;

/// A class and a key in it.
pub type Key = (u16, Bytes);

/// An entry that has run out is kept this much longer for tries that were read late: those that came to the
/// machine in its time are still linked to it.
const READ_LATE: Duration = Duration::from_secs(8);

/// What is kept of a run that is over.
#[derive(Debug, Clone, PartialEq)]
pub enum Kept {
    /// Its result.
    Done(Bytes),
    /// It failed and may have had its effect.
    Failed,
    /// It provably never began.
    NeverRan,
}

#[derive(Debug)]
struct Entry {
    holder: RequestId,
    until: Unix,
    /// The try that was run, if any has been.
    ran: Option<RequestId>,
    kept: Option<Kept>,
    joiners: Vec<RequestId>,
}

/// All keys that are remembered.
#[derive(Debug, Default)]
pub struct Keys {
    entries: HashMap<Key, Entry>,
    /// The key that each holder holds.
    held: HashMap<RequestId, Key>,
    batch: HashSet<Key>,
    swept: Unix,
}

impl Keys {
    /// Whether a try of this key came in the batch that is being gathered.
    pub fn in_batch(&self, key: &Key) -> bool {
        self.batch.contains(key)
    }

    /// The batch has been decided.
    pub fn batch_over(&mut self) {
        self.batch.clear();
    }

    /// A try came to the machine at `door`; returns the one that it repeats.
    pub fn arrived(&mut self, key: Key, door: Unix) -> Option<RequestId> {
        let prior = self.entries.get(&key).map(|e| (e.holder, e.until));
        self.batch.insert(key);
        let (holder, until) = prior?;
        if door > until {
            self.forget(holder);
            return None;
        }
        Some(holder)
    }

    /// The try holds the key until then; the key passes to it from one that held it before.
    pub fn remember(&mut self, key: Key, id: RequestId, until: Unix) {
        // A key outlives the buffer that it was read into.
        let key = (key.0, Bytes::copy_from_slice(&key.1));
        match self.entries.get_mut(&key) {
            Some(entry) => {
                self.held.remove(&entry.holder);
                (entry.holder, entry.until) = (id, until);
            }
            None => {
                let entry = Entry { holder: id, until, ran: None, kept: None, joiners: Vec::new() };
                self.entries.insert(key.clone(), entry);
            }
        }
        self.held.insert(id, key);
    }

    /// The try gives up its key.
    pub fn forget(&mut self, id: RequestId) {
        if let Some(key) = self.held.remove(&id) {
            self.entries.remove(&key);
        }
    }

    /// Whether what becomes of this try's run will be kept.
    pub fn holds(&self, id: RequestId) -> bool {
        self.held.contains_key(&id)
    }

    /// Whether this try may run: no other try of its key has. It counts as run from now on.
    pub fn may_run(&mut self, key: &Key, id: RequestId) -> bool {
        let Some(entry) = self.entries.get_mut(key) else { return true };
        let may = entry.ran.is_none_or(|ran| ran == id);
        entry.ran = entry.ran.or(Some(id));
        may
    }

    /// The try waits for what becomes of its key's run; returns that if it is known.
    pub fn join(&mut self, key: &Key, id: RequestId) -> Option<Kept> {
        let Some(entry) = self.entries.get_mut(key) else { return Some(Kept::Failed) };
        if entry.kept.is_none() {
            entry.joiners.push(id);
        }
        entry.kept.clone()
    }

    /// The run of a try is over; returns the tries that waited for that. A run that never began frees its
    /// key, so that a further try may run.
    pub fn ended(&mut self, id: RequestId, kept: Kept) -> Vec<RequestId> {
        let Some(key) = self.held.get(&id) else { return Vec::new() };
        let Some(entry) = self.entries.get_mut(key) else { return Vec::new() };
        let joiners = std::mem::take(&mut entry.joiners);
        if kept == Kept::NeverRan {
            self.forget(id);
        } else {
            entry.kept = Some(kept);
        }
        joiners
    }

    /// Drops entries that have run out, now and then.
    pub fn sweep(&mut self, now: Unix) {
        if now < self.swept + Duration::from_secs(1) {
            return;
        }
        self.swept = now;
        let held = &mut self.held;
        self.entries.retain(|_, entry| {
            let stays = now < entry.until + READ_LATE;
            if !stays {
                held.remove(&entry.holder);
            }
            stays
        });
    }
}
