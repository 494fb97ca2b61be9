//! The idempotency table: which attempt holds a key, what its run came to, and which attempts wait for that.
//!
//! At most one attempt of a key is allowed to run until the key expires. Results take a bounded amount of memory:
//! without a durable store the oldest results are dropped first, while the fact that the key has run is kept.

mod entry;

use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::time::Duration;

use bytes::Bytes;
use oakwind_admission::RequestId;

use crate::clock::UnixTime;
use crate::exchange::HandoverState;
use crate::outcome::{
    digest, BodyDigest, IdempotencyKey, IdempotencyRecord, RunState, StoredOutcome, LATE_READ_GRACE,
    MAX_RESULT_BYTES,
};
use entry::Entry;

/// Estimated memory that one entry takes beside its result, in bytes; rather too high than too low.
const ENTRY_BYTES: usize = 512;
/// Every process has capacity for this many keys, however little memory it is given.
const MIN_CAPACITY: usize = 1000;
/// Expired entries are removed at most this often.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// How an attempt relates to what is known of its key.
#[derive(Debug, PartialEq)]
pub(crate) enum KeyMatch {
    /// The key is not known, so this is its first attempt.
    New,
    /// The attempt repeats this one.
    RepeatOf(RequestId),
    /// The key is known with another body. A client must not get the result of another request.
    BodyMismatch,
}

/// A key that an attempt holds.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct AssignedKey {
    /// The key.
    pub(crate) key: IdempotencyKey,
    /// Digest of the body that its attempts carry.
    pub(crate) body_digest: BodyDigest,
    /// When the key expires.
    pub(crate) expires_at: UnixTime,
}

/// The outcome of a run of the predecessor process, and the attempts here that waited for it.
#[derive(Debug, PartialEq)]
pub(crate) struct ImportedOutcome {
    /// Attempts that waited.
    pub(crate) waiters: Vec<RequestId>,
    /// What they waited for.
    pub(crate) outcome: StoredOutcome,
}

/// All keys that have not expired.
#[derive(Debug, Default)]
pub(crate) struct IdempotencyTable {
    /// Seeds the digests of bodies, so that no client can construct a collision.
    digest_seed: u64,
    entries: HashMap<IdempotencyKey, Entry>,
    /// The key of each holder.
    key_by_holder: HashMap<RequestId, IdempotencyKey>,
    /// Keys with an attempt in the batch that is being gathered.
    batch_keys: HashSet<IdempotencyKey>,
    last_swept_at: UnixTime,
    /// Keys with outcomes, the oldest first. Some may have been removed since.
    keys_with_outcome: VecDeque<IdempotencyKey>,
    /// Memory that results take at present.
    result_bytes: usize,
    max_result_bytes: usize,
    /// No result is dropped before its key expires, and memory is reserved for the results to come.
    durable: bool,
    /// Keys without an outcome.
    pending_count: usize,
}

impl IdempotencyTable {
    /// An empty table whose results take `max_result_bytes` at most, and whose keys about as much.
    pub(crate) fn new(max_result_bytes: usize) -> Self {
        let digest_seed = RandomState::new().hash_one(());
        IdempotencyTable { digest_seed, max_result_bytes, ..IdempotencyTable::default() }
    }

    /// The same table, with results that stay for as long as their keys.
    pub(crate) fn into_durable(self) -> Self {
        IdempotencyTable { durable: true, ..self }
    }

    /// Digests bodies with a given seed, so that digests from another process match. The table must be empty.
    pub(crate) fn set_digest_seed(&mut self, seed: u64) {
        debug_assert!(self.entries.is_empty());
        self.digest_seed = seed;
    }

    fn digest(&self, body: &[u8]) -> BodyDigest {
        BodyDigest(digest(self.digest_seed, body))
    }

    /// The whole table, as it is transferred to a successor process.
    pub(crate) fn snapshot(&self) -> HandoverState {
        HandoverState {
            digest_seed: self.digest_seed,
            records: self.entries.iter().map(|(key, entry)| entry.to_record(key)).collect(),
        }
    }

    /// Takes in a record of another process, under the number `id` if its key is new here. Returns the outcome if the
    /// record brought one.
    pub(crate) fn import(&mut self, record: IdempotencyRecord, id: RequestId) -> Option<ImportedOutcome> {
        let IdempotencyRecord { key, body_digest, expires_at, state } = record;
        if !self.entries.contains_key(&key) {
            if state == RunState::NeverStarted {
                return None;
            }
            self.insert(key.clone(), Entry::of_predecessor(id, body_digest, expires_at));
        }
        let entry = self.entries.get(&key)?;
        let outcome = StoredOutcome::from_run_state(state)?;
        // A key that passed to an attempt of this process runs here now.
        if !entry.run_by_predecessor || entry.outcome.is_some() {
            return None;
        }
        let waiters = self.complete(entry.run_by?, outcome.clone());
        Some(ImportedOutcome { waiters, outcome })
    }

    /// Counts the predecessor's runs without an outcome as failed, as it reports nothing more. Returns the attempts
    /// that waited for them.
    pub(crate) fn fail_predecessor_runs(&mut self) -> Vec<RequestId> {
        let is_lost = |entry: &&Entry| entry.run_by_predecessor && entry.outcome.is_none();
        let lost: Vec<RequestId> =
            self.entries.values().filter(is_lost).filter_map(|entry| entry.run_by).collect();
        lost.into_iter().flat_map(|id| self.complete(id, StoredOutcome::Failed)).collect()
    }

    /// Whether an attempt of this key came in the batch that is being gathered.
    pub(crate) fn is_in_batch(&self, key: &IdempotencyKey) -> bool {
        self.batch_keys.contains(key)
    }

    /// The batch has been decided.
    pub(crate) fn end_batch(&mut self) {
        self.batch_keys.clear();
    }

    /// Relates an attempt with this body, which the machine received at `received_at`, to what is known of its key.
    pub(crate) fn match_attempt(
        &mut self,
        key: IdempotencyKey,
        body: &[u8],
        received_at: UnixTime,
    ) -> KeyMatch {
        let known = self.entries.get(&key);
        let known = known.map(|entry| (entry.holder, entry.has_expired(received_at), entry.body_digest));
        let matched = match known {
            Some((holder, true, _)) => {
                self.release(holder);
                KeyMatch::New
            }
            Some((_, _, body_digest)) if body_digest != self.digest(body) => return KeyMatch::BodyMismatch,
            Some((holder, ..)) => KeyMatch::RepeatOf(holder),
            None => KeyMatch::New,
        };
        self.batch_keys.insert(key);
        matched
    }

    /// Makes an attempt the holder of a key until it expires. An earlier holder loses the key.
    pub(crate) fn assign(
        &mut self,
        key: &IdempotencyKey,
        body: &[u8],
        holder: RequestId,
        expires_at: UnixTime,
    ) {
        // The entry outlives the buffer that the key was read into.
        let key = Bytes::copy_from_slice(key);
        if let Some(entry) = self.entries.get_mut(&key) {
            self.key_by_holder.remove(&entry.holder);
            entry.holder = holder;
            entry.expires_at = expires_at;
            self.key_by_holder.insert(holder, key);
            return;
        }
        let entry = Entry::new(holder, self.digest(body), expires_at);
        self.insert(key, entry);
    }

    /// Adds an entry without an outcome for a key that is not in the table.
    fn insert(&mut self, key: IdempotencyKey, entry: Entry) {
        self.key_by_holder.insert(entry.holder, key.clone());
        self.entries.insert(key, entry);
        self.pending_count += 1;
    }

    /// Removes the key that an attempt holds.
    pub(crate) fn release(&mut self, id: RequestId) {
        let entry = self.key_by_holder.remove(&id).and_then(|key| self.entries.remove(&key));
        if let Some(entry) = entry {
            self.pending_count -= usize::from(entry.outcome.is_none());
            self.result_bytes -= entry.result_bytes();
        }
    }

    /// Whether there is no capacity for one more key. A key can't be dropped before it expires, so memory is bounded
    /// by taking no more.
    pub(crate) fn is_full(&self) -> bool {
        let reserved =
            if self.durable { self.result_bytes + (self.pending_count + 1) * MAX_RESULT_BYTES } else { 0 };
        let capacity = (self.max_result_bytes / ENTRY_BYTES).max(MIN_CAPACITY);
        self.entries.len() >= capacity || reserved > self.max_result_bytes
    }

    /// The outcome of the key's run, if it is known and the key is that of this body.
    pub(crate) fn outcome(
        &self,
        key: &IdempotencyKey,
        body: &[u8],
        received_at: UnixTime,
    ) -> Option<StoredOutcome> {
        let entry = self.entries.get(key)?;
        let matches = received_at <= entry.expires_at && entry.body_digest == self.digest(body);
        entry.outcome.clone().filter(|_| matches)
    }

    /// The attempt that holds this key.
    pub(crate) fn holder(&self, key: &IdempotencyKey) -> Option<RequestId> {
        self.entries.get(key).map(|entry| entry.holder)
    }

    /// Whether anything is known of this key.
    pub(crate) fn contains(&self, key: &IdempotencyKey) -> bool {
        self.entries.contains_key(key)
    }

    /// The key that this attempt holds.
    pub(crate) fn assigned_key(&self, id: RequestId) -> Option<AssignedKey> {
        let key = self.key_by_holder.get(&id)?;
        let entry = self.entries.get(key)?;
        Some(AssignedKey { key: key.clone(), body_digest: entry.body_digest, expires_at: entry.expires_at })
    }

    /// Whether this attempt holds a key, so that the outcome of its run is stored.
    pub(crate) fn is_holder(&self, id: RequestId) -> bool {
        self.key_by_holder.contains_key(&id)
    }

    /// Whether this attempt may run, as no other attempt of its key has. From then on it counts as run.
    pub(crate) fn try_start(&mut self, key: &IdempotencyKey, id: RequestId) -> bool {
        let Some(entry) = self.entries.get_mut(key) else { return true };
        *entry.run_by.get_or_insert(id) == id
    }

    /// Makes an attempt wait for the outcome of its key's run. Returns the outcome if it is known already.
    pub(crate) fn wait_for_outcome(&mut self, key: &IdempotencyKey, id: RequestId) -> Option<StoredOutcome> {
        let Some(entry) = self.entries.get_mut(key) else { return Some(StoredOutcome::Failed) };
        if entry.outcome.is_none() {
            entry.waiters.push(id);
        }
        entry.outcome.clone()
    }

    /// Stores the outcome of an attempt's run and returns the attempts that waited for it. A run that never started
    /// frees its key, so that another attempt may run.
    pub(crate) fn complete(&mut self, id: RequestId, outcome: StoredOutcome) -> Vec<RequestId> {
        let Some(key) = self.key_by_holder.get(&id) else { return Vec::new() };
        let Some(entry) = self.entries.get_mut(key) else { return Vec::new() };
        let waiters = std::mem::take(&mut entry.waiters);
        if outcome == StoredOutcome::NeverStarted {
            self.release(id);
            return waiters;
        }
        let outcome = match outcome {
            StoredOutcome::Succeeded(result) if self.durable && result.len() > MAX_RESULT_BYTES => {
                StoredOutcome::Failed
            }
            outcome => outcome,
        };
        self.pending_count -= usize::from(entry.outcome.is_none());
        self.result_bytes -= entry.result_bytes();
        entry.outcome = Some(outcome);
        self.result_bytes += entry.result_bytes();
        self.keys_with_outcome.push_back(key.clone());
        self.drop_oldest_results();
        waiters
    }

    /// Keeps results within their bound of memory: of the oldest ones only the fact that they ran stays.
    fn drop_oldest_results(&mut self) {
        while self.result_bytes > self.max_result_bytes {
            let Some(oldest) = self.keys_with_outcome.pop_front() else { break };
            if let Some(entry) = self.entries.get_mut(&oldest) {
                self.result_bytes -= entry.result_bytes();
                entry.outcome = entry.outcome.take().map(|_| StoredOutcome::Failed);
            }
        }
    }

    /// Removes the key of an attempt whose outcome can't be known. Returns the attempts that waited for it.
    pub(crate) fn abandon(&mut self, id: RequestId) -> Vec<RequestId> {
        let entry = self.key_by_holder.get(&id).and_then(|key| self.entries.get_mut(key));
        let waiters = entry.map(|entry| std::mem::take(&mut entry.waiters)).unwrap_or_default();
        self.release(id);
        waiters
    }

    /// Extends all keys after the clock stepped ahead, so that none expires early and runs a second time.
    pub(crate) fn extend_all(&mut self, by: Duration) {
        self.entries.values_mut().for_each(|entry| entry.expires_at += by);
    }

    /// Removes expired entries, at most once per [`SWEEP_INTERVAL`].
    pub(crate) fn sweep(&mut self, now: UnixTime) {
        if now < self.last_swept_at + SWEEP_INTERVAL {
            return;
        }
        self.last_swept_at = now;
        let IdempotencyTable { key_by_holder, result_bytes, entries, pending_count, .. } = self;
        entries.retain(|_, entry| {
            let stays = now < entry.expires_at + LATE_READ_GRACE || entry.is_running();
            if !stays {
                key_by_holder.remove(&entry.holder);
                *result_bytes -= entry.result_bytes();
                *pending_count -= usize::from(entry.outcome.is_none());
            }
            stays
        });
        while self.keys_with_outcome.front().is_some_and(|key| !self.entries.contains_key(key)) {
            self.keys_with_outcome.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
