//! The table of keys: which try of a key holds it, what became of its run, and which tries wait for that.

use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::time::Duration;

use bytes::Bytes;
use oakwind_admission::RequestId;

use crate::clock::Unix;
use crate::outcome::{digest, IdempotencyKey, RunState, StoredOutcome, LATE_READ_GRACE, MAX_RESULT_BYTES};

/// Memory that a remembered key takes, by a generous estimate, beside its result.
const ENTRY_BYTES: usize = 512;
/// So many keys may be remembered in any process.
const FEWEST: usize = 1000;

#[derive(Debug)]
struct Entry {
    holder: RequestId,
    /// A digest of the body that all tries of the key carry.
    body: u64,
    until: Unix,
    /// The try that was run, if any has been.
    ran: Option<RequestId>,
    /// The process before this one ran it.
    elsewhere: bool,
    kept: Option<StoredOutcome>,
    joiners: Vec<RequestId>,
}

impl Entry {
    /// Whether a try that came then is a new request: its time is up and nothing of it runs. Guards against a second
    /// run beside a first one that takes longer than its key is remembered.
    fn is_over(&self, received_at: Unix) -> bool {
        received_at > self.until && !self.runs()
    }

    /// It was begun, and its end is not known.
    fn runs(&self) -> bool {
        self.ran.is_some() && self.kept.is_none()
    }

    fn fate(&self) -> RunState {
        self.kept.as_ref().map_or(RunState::Pending, StoredOutcome::fate)
    }

    /// What its result takes.
    fn bytes(&self) -> usize {
        if let Some(StoredOutcome::Succeeded(result)) = &self.kept {
            result.len()
        } else {
            0
        }
    }
}

/// What a try's key says of it.
#[derive(Debug, PartialEq)]
pub enum Linked {
    /// It is the first try, as far as is remembered.
    First,
    /// It repeats this one.
    To(RequestId),
    /// The key is that of a request with another body. Guards a client against the result of another's request.
    Elsewhere,
}

/// All keys that are remembered.
#[derive(Debug, Default)]
pub struct Keys {
    /// Bodies are digested with this, in a way that no client can foresee.
    seed: u64,
    entries: HashMap<IdempotencyKey, Entry>,
    /// The key that each holder holds.
    held: HashMap<RequestId, IdempotencyKey>,
    batch: HashSet<IdempotencyKey>,
    swept: Unix,
    /// Keys with results, the oldest first, and what those take. Some may have been forgotten since.
    results: VecDeque<IdempotencyKey>,
    bytes: usize,
    most_bytes: usize,
    /// No result is dropped before its time, and those to come have their room set aside.
    lasting: bool,
    /// Keys whose runs have not ended.
    open: usize,
}

impl Keys {
    /// An empty table whose results take so many bytes at the most, and whose keys about as many.
    pub fn new(most_bytes: usize) -> Self {
        Keys { seed: RandomState::new().hash_one(()), most_bytes, ..Keys::default() }
    }

    /// The same in every build: the digest may come from another process.
    fn digest(&self, body: &[u8]) -> u64 {
        digest(self.seed, body)
    }

    /// The same table, whose results stay for as long as their keys.
    pub fn lasting(self) -> Self {
        Keys { lasting: true, ..self }
    }

    /// How bodies are digested, and all keys: the digest of the body, how long each is remembered and what
    /// became of its run.
    pub fn all(&self) -> (u64, impl Iterator<Item = (&IdempotencyKey, u64, Unix, RunState)>) {
        (self.seed, self.entries.iter().map(|(key, entry)| (key, entry.body, entry.until, entry.fate())))
    }

    /// From now on bodies are digested as the process before this one did. Nothing may be remembered yet.
    pub fn digests_with(&mut self, seed: u64) {
        debug_assert!(self.entries.is_empty());
        self.seed = seed;
    }

    /// Takes in what the process before this one knows of a key, under the number `id` if it is a new one.
    /// Returns the tries that waited for what became of its run, and that.
    pub fn inherit(
        &mut self,
        key: IdempotencyKey,
        (body, until, fate): (u64, Unix, RunState),
        id: RequestId,
    ) -> Option<(Vec<RequestId>, StoredOutcome)> {
        if !self.entries.contains_key(&key) {
            if fate == RunState::NeverStarted {
                return None;
            }
            let entry = Entry {
                holder: id,
                body,
                until,
                ran: Some(id),
                elsewhere: true,
                kept: None,
                joiners: vec![],
            };
            self.entries.insert(key.clone(), entry);
            self.open += 1;
            self.held.insert(id, key.clone());
        }
        let entry = self.entries.get(&key)?;
        let kept = match fate {
            RunState::Pending => return None,
            RunState::Succeeded(result) => StoredOutcome::Succeeded(result),
            RunState::Failed => StoredOutcome::Failed,
            RunState::NeverStarted => StoredOutcome::NeverStarted,
        };
        // One that this process took over runs here now.
        if !entry.elsewhere || entry.kept.is_some() {
            return None;
        }
        Some((self.ended(entry.ran?, kept.clone()), kept))
    }

    /// The process before this one tells nothing more: what it may have run has failed. Returns the tries that
    /// waited for that.
    pub fn inheritance_over(&mut self) -> Vec<RequestId> {
        let open = |entry: &&Entry| entry.elsewhere && entry.kept.is_none();
        let lost: Vec<RequestId> = self.entries.values().filter(open).filter_map(|entry| entry.ran).collect();
        lost.into_iter().flat_map(|id| self.ended(id, StoredOutcome::Failed)).collect()
    }

    /// Whether a try of this key came in the batch that is being gathered.
    pub fn in_batch(&self, key: &IdempotencyKey) -> bool {
        self.batch.contains(key)
    }

    /// The batch has been decided.
    pub fn batch_over(&mut self) {
        self.batch.clear();
    }

    /// A try with this body came to the machine at `received_at`.
    pub fn arrived(&mut self, key: IdempotencyKey, body: &[u8], received_at: Unix) -> Linked {
        let prior = self.entries.get(&key).map(|e| (e.holder, e.is_over(received_at), e.body));
        let linked = match prior {
            Some((holder, true, _)) => {
                self.forget(holder);
                Linked::First
            }
            Some((_, _, digest)) if digest != self.digest(body) => return Linked::Elsewhere,
            Some((holder, ..)) => Linked::To(holder),
            None => Linked::First,
        };
        self.batch.insert(key);
        linked
    }

    /// The try holds the key until then; the key passes to it from one that held it before.
    pub fn remember(&mut self, key: IdempotencyKey, body: &[u8], id: RequestId, until: Unix) {
        // A key outlives the buffer that it was read into.
        let key = Bytes::copy_from_slice(&key);
        match self.entries.get_mut(&key) {
            Some(entry) => {
                self.held.remove(&entry.holder);
                (entry.holder, entry.until) = (id, until);
            }
            None => {
                let body = self.digest(body);
                let entry = Entry {
                    holder: id,
                    body,
                    until,
                    ran: None,
                    elsewhere: false,
                    kept: None,
                    joiners: vec![],
                };
                self.entries.insert(key.clone(), entry);
                self.open += 1;
            }
        }
        self.held.insert(id, key);
    }

    /// The try gives up its key.
    pub fn forget(&mut self, id: RequestId) {
        let entry = self.held.remove(&id).and_then(|key| self.entries.remove(&key));
        self.open -= usize::from(entry.as_ref().is_some_and(|entry| entry.kept.is_none()));
        self.bytes -= entry.map_or(0, |entry| entry.bytes());
    }

    /// Whether there is no room for one more key. Guards the memory of the process: a key can't be forgotten before
    /// its time.
    pub fn full(&self) -> bool {
        let to_come = if self.lasting { self.bytes + (self.open + 1) * MAX_RESULT_BYTES } else { 0 };
        self.entries.len() >= (self.most_bytes / ENTRY_BYTES).max(FEWEST) || to_come > self.most_bytes
    }

    /// What is kept of the run of this key, if that has ended and the key is that of this body.
    pub fn kept(&self, key: &IdempotencyKey, body: &[u8], received_at: Unix) -> Option<StoredOutcome> {
        let entry = self
            .entries
            .get(key)
            .filter(|entry| received_at <= entry.until && entry.body == self.digest(body))?;
        entry.kept.clone()
    }

    /// The try that holds this key.
    pub fn holder(&self, key: &IdempotencyKey) -> Option<RequestId> {
        self.entries.get(key).map(|entry| entry.holder)
    }

    /// Whether anything is remembered of this key.
    pub fn knows(&self, key: &IdempotencyKey) -> bool {
        self.entries.contains_key(key)
    }

    /// The key that this try holds, the digest of its body and how long it is remembered.
    pub fn held_by(&self, id: RequestId) -> Option<(IdempotencyKey, u64, Unix)> {
        let key = self.held.get(&id)?;
        self.entries.get(key).map(|entry| (key.clone(), entry.body, entry.until))
    }

    /// Whether what becomes of this try's run will be kept.
    pub fn holds(&self, id: RequestId) -> bool {
        self.held.contains_key(&id)
    }

    /// Whether this try may run: no other try of its key has. It counts as run from now on.
    pub fn may_run(&mut self, key: &IdempotencyKey, id: RequestId) -> bool {
        let Some(entry) = self.entries.get_mut(key) else { return true };
        let may = entry.ran.is_none_or(|ran| ran == id);
        entry.ran = entry.ran.or(Some(id));
        may
    }

    /// The try waits for what becomes of its key's run; returns that if it is known.
    pub fn join(&mut self, key: &IdempotencyKey, id: RequestId) -> Option<StoredOutcome> {
        let Some(entry) = self.entries.get_mut(key) else { return Some(StoredOutcome::Failed) };
        if entry.kept.is_none() {
            entry.joiners.push(id);
        }
        entry.kept.clone()
    }

    /// The run of a try is over; returns the tries that waited for that. A run that never began frees its
    /// key, so that a further try may run.
    pub fn ended(&mut self, id: RequestId, kept: StoredOutcome) -> Vec<RequestId> {
        let Some(key) = self.held.get(&id) else { return Vec::new() };
        let Some(entry) = self.entries.get_mut(key) else { return Vec::new() };
        let joiners = std::mem::take(&mut entry.joiners);
        if kept == StoredOutcome::NeverStarted {
            self.forget(id);
            return joiners;
        }
        let too_long = |kept: &StoredOutcome| matches!(kept, StoredOutcome::Succeeded(result) if result.len() > MAX_RESULT_BYTES);
        let kept = if self.lasting && too_long(&kept) { StoredOutcome::Failed } else { kept };
        self.open -= usize::from(entry.kept.is_none());
        self.bytes -= entry.bytes();
        entry.kept = Some(kept);
        self.bytes += entry.bytes();
        self.results.push_back(key.clone());
        // Guards the memory of the process: of the oldest results only that there was a run is still known.
        while self.bytes > self.most_bytes {
            let Some(oldest) = self.results.pop_front() else { break };
            if let Some(entry) = self.entries.get_mut(&oldest) {
                self.bytes -= entry.bytes();
                entry.kept = entry.kept.take().map(|_| StoredOutcome::Failed);
            }
        }
        joiners
    }

    /// It is not known what became of a try's key: nothing of it is remembered here. Returns the tries that waited.
    pub fn abandon(&mut self, id: RequestId) -> Vec<RequestId> {
        let entry = self.held.get(&id).and_then(|key| self.entries.get_mut(key));
        let joiners = entry.map(|entry| std::mem::take(&mut entry.joiners)).unwrap_or_default();
        self.forget(id);
        joiners
    }

    /// Time has jumped ahead by so much: what is remembered stays for as long as it would have without that. Guards
    /// against a second run of a key that was forgotten because the clock was set.
    pub fn jumped(&mut self, by: Duration) {
        self.entries.values_mut().for_each(|entry| entry.until += by);
    }

    /// Drops entries that have run out, now and then.
    pub fn sweep(&mut self, now: Unix) {
        if now < self.swept + Duration::from_secs(1) {
            return;
        }
        self.swept = now;
        let Keys { held, bytes, entries, results, open, .. } = self;
        entries.retain(|_, entry| {
            let stays = now < entry.until + LATE_READ_GRACE || entry.runs();
            if !stays {
                held.remove(&entry.holder);
                *bytes -= entry.bytes();
                *open -= usize::from(entry.kept.is_none());
            }
            stays
        });
        while results.front().is_some_and(|key| !entries.contains_key(key)) {
            results.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
