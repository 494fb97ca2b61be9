//! The idempotency table: which attempt holds a key, the outcome of its run, and the attempts that wait for it.
//!
//! At most one of the attempts with the same key is allowed to run until the key expires. Results take a
//! bounded amount of memory: without a durable store the oldest results are dropped first, while the fact
//! that the key has run is kept.

mod entry;
mod transfer;

use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::time::Duration;

use bytes::Bytes;
use oakwind_admission::RequestId;

use crate::clock::UnixTime;
use crate::outcome::{digest, BodyDigest, IdempotencyKey, StoredOutcome, MAX_RESULT_BYTES};
use entry::Entry;
pub(crate) use transfer::ImportedOutcome;

/// Upper estimate of the memory of one entry without its result, in bytes.
const ENTRY_BYTES: usize = 512;
/// Minimum capacity of a table in keys; it applies even if the memory bound allows fewer.
const MIN_CAPACITY: usize = 1000;
/// Shortest interval between two removals of expired entries.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Result of matching an attempt against the entry of its key.
#[derive(Debug, PartialEq)]
pub(crate) enum KeyMatch {
    /// The key is unknown or has expired, so this is its first attempt.
    New,
    /// The attempt repeats the request of this attempt, which holds the key.
    RepeatOf(RequestId),
    /// The key is known with another body, so it belongs to another request, whose result the client must not get.
    BodyMismatch,
}

/// A key that an attempt holds.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct AssignedKey {
    pub(crate) key: IdempotencyKey,
    /// Digest of the body that its attempts carry.
    pub(crate) body_digest: BodyDigest,
    pub(crate) expires_at: UnixTime,
}

/// The entries of all keys until some time after they expire, or until their run has ended if that is later.
#[derive(Debug, Default)]
pub(crate) struct IdempotencyTable {
    /// Seeds the digests of bodies. It is random, so that no client can construct a collision.
    digest_seed: u64,
    entries: HashMap<IdempotencyKey, Entry>,
    /// The key that each attempt holds, for the attempts that hold one (see [`Entry::holder`]).
    key_by_holder: HashMap<RequestId, IdempotencyKey>,
    /// Keys of the attempts in the current batch.
    keys_in_batch: HashSet<IdempotencyKey>,
    last_swept_at: UnixTime,
    /// Keys in the order in which their outcomes came, the oldest first. Some may have been removed since.
    keys_with_outcome: VecDeque<IdempotencyKey>,
    /// Total length of the stored results.
    result_bytes: usize,
    max_result_bytes: usize,
    /// Whether results must be kept until their keys expire, as a durable store requires. Memory is then
    /// reserved for the results of pending runs.
    durable: bool,
    /// Number of keys without an outcome.
    pending_count: usize,
}

impl IdempotencyTable {
    /// Creates an empty table whose results take at most `max_result_bytes`, and whose keys up to about the
    /// same amount in addition.
    pub(crate) fn new(max_result_bytes: usize) -> Self {
        // The hasher is seeded at random, so its hash of a constant is a random number.
        let digest_seed = RandomState::new().hash_one(());
        IdempotencyTable { digest_seed, max_result_bytes, ..IdempotencyTable::default() }
    }

    /// Makes the table keep results until their keys expire.
    pub(crate) fn into_durable(self) -> Self {
        IdempotencyTable { durable: true, ..self }
    }

    /// Sets the seed of the body digests, so that they match those of another process. The table must be empty.
    pub(crate) fn set_digest_seed(&mut self, seed: u64) {
        debug_assert!(self.entries.is_empty());
        self.digest_seed = seed;
    }

    fn digest(&self, body: &[u8]) -> BodyDigest {
        BodyDigest(digest(self.digest_seed, body))
    }

    /// Whether the current batch has an attempt with this key.
    pub(crate) fn is_in_batch(&self, key: &IdempotencyKey) -> bool {
        self.keys_in_batch.contains(key)
    }

    /// Empties the set of keys in the current batch. Called when the batch is passed to the admission module.
    pub(crate) fn end_batch(&mut self) {
        self.keys_in_batch.clear();
    }

    /// Matches an attempt against the entry of its key and, unless the bodies differ, adds the key to the
    /// current batch. `received_at` is when this node received the attempt; an entry that had expired by then
    /// is released.
    pub(crate) fn register_attempt(
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
        self.keys_in_batch.insert(key);
        matched
    }

    /// Makes an attempt the holder of a key until `expires_at`. An earlier holder loses the key.
    pub(crate) fn assign(
        &mut self,
        key: &IdempotencyKey,
        body: &[u8],
        holder: RequestId,
        expires_at: UnixTime,
    ) {
        // Copied, because the entry outlives the buffer that the key was read into.
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

    /// Removes the entry of the key that an attempt holds, if it holds one.
    pub(crate) fn release(&mut self, id: RequestId) {
        let entry = self.key_by_holder.remove(&id).and_then(|key| self.entries.remove(&key));
        if let Some(entry) = entry {
            self.pending_count -= usize::from(entry.outcome.is_none());
            self.result_bytes -= entry.result_bytes();
        }
    }

    /// Whether the table has no capacity for another key. A key can't be dropped before it expires, so memory is
    /// bounded by refusing new keys.
    pub(crate) fn is_full(&self) -> bool {
        // Assumes a result of the maximum length for each pending key and for the new key, so that no result
        // has to be dropped.
        let worst_case_result_bytes =
            if self.durable { self.result_bytes + (self.pending_count + 1) * MAX_RESULT_BYTES } else { 0 };
        let capacity = (self.max_result_bytes / ENTRY_BYTES).max(MIN_CAPACITY);
        self.entries.len() >= capacity || worst_case_result_bytes > self.max_result_bytes
    }

    /// Returns the outcome of the key's run if it is known, the key had not expired at `received_at`, and its
    /// attempts carry this body.
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

    /// Returns the attempt that holds this key.
    pub(crate) fn holder(&self, key: &IdempotencyKey) -> Option<RequestId> {
        self.entries.get(key).map(|entry| entry.holder)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether the table has an entry for this key.
    pub(crate) fn contains(&self, key: &IdempotencyKey) -> bool {
        self.entries.contains_key(key)
    }

    /// Whether the table has an entry for this key that had not expired at `received_at`.
    pub(crate) fn contains_current(&self, key: &IdempotencyKey, received_at: UnixTime) -> bool {
        self.entries.get(key).is_some_and(|entry| !entry.has_expired(received_at))
    }

    /// Returns the key that this attempt holds.
    pub(crate) fn assigned_key(&self, id: RequestId) -> Option<AssignedKey> {
        let key = self.key_by_holder.get(&id)?;
        let entry = self.entries.get(key)?;
        Some(AssignedKey { key: key.clone(), body_digest: entry.body_digest, expires_at: entry.expires_at })
    }

    /// Whether this attempt holds a key, so that the outcome of its run is stored.
    pub(crate) fn is_holder(&self, id: RequestId) -> bool {
        self.key_by_holder.contains_key(&id)
    }

    /// Returns whether this attempt may run: it may unless another attempt with the same key has been
    /// started. If it may, it is recorded as the one that runs. If the key is not in the table, because it
    /// was released or has expired, nothing is recorded and the attempt may run.
    pub(crate) fn try_start(&mut self, key: &IdempotencyKey, id: RequestId) -> bool {
        let Some(entry) = self.entries.get_mut(key) else { return true };
        *entry.run_by.get_or_insert(id) == id
    }

    /// Makes an attempt wait for the outcome of its key's run. Returns the outcome if it is known already.
    pub(crate) fn wait_for_outcome(&mut self, key: &IdempotencyKey, id: RequestId) -> Option<StoredOutcome> {
        // The entry that the attempt was matched against may have been released since. In that case the
        // outcome of the run is not known any more, so the attempt fails.
        let Some(entry) = self.entries.get_mut(key) else { return Some(StoredOutcome::Failed) };
        if entry.outcome.is_none() {
            entry.waiters.push(id);
        }
        entry.outcome.clone()
    }

    /// Stores the outcome for the key that attempt `id` holds, and returns the attempts that waited for it.
    /// If the run never started, the key is released, so that another attempt may run.
    pub(crate) fn complete(&mut self, id: RequestId, outcome: StoredOutcome) -> Vec<RequestId> {
        let Some(key) = self.key_by_holder.get(&id) else { return Vec::new() };
        let Some(entry) = self.entries.get_mut(key) else { return Vec::new() };
        let waiters = std::mem::take(&mut entry.waiters);
        if outcome == StoredOutcome::NeverStarted {
            self.release(id);
            return waiters;
        }
        let outcome = match outcome {
            // The run succeeded, but its result is too long to be stored. Repeated attempts fail instead of
            // running again.
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

    /// Keeps results within their memory bound: drops the oldest results. The outcome of their keys becomes
    /// `Failed`, so that repeated attempts fail instead of running again. In a durable table there is nothing
    /// to drop, as [`is_full`](Self::is_full) reserves memory for all results to come.
    fn drop_oldest_results(&mut self) {
        while self.result_bytes > self.max_result_bytes {
            let Some(oldest) = self.keys_with_outcome.pop_front() else { break };
            if let Some(entry) = self.entries.get_mut(&oldest) {
                self.result_bytes -= entry.result_bytes();
                entry.outcome = entry.outcome.take().map(|_| StoredOutcome::Failed);
            }
        }
    }

    /// Releases the key of an attempt that can't get the key's outcome (see `Dispatcher::abandon_key`).
    /// Returns the attempts that waited for that outcome.
    pub(crate) fn abandon(&mut self, id: RequestId) -> Vec<RequestId> {
        let entry = self.key_by_holder.get(&id).and_then(|key| self.entries.get_mut(key));
        let waiters = entry.map(|entry| std::mem::take(&mut entry.waiters)).unwrap_or_default();
        self.release(id);
        waiters
    }

    /// Postpones the expiry of all keys after the clock stepped ahead, so that no key expires early and no
    /// request runs a second time.
    pub(crate) fn postpone_expiry(&mut self, by: Duration) {
        self.entries.values_mut().for_each(|entry| entry.expires_at += by);
    }

    /// Removes the entries that had expired before a time, at most once per [`SWEEP_INTERVAL`].
    pub(crate) fn sweep(&mut self, now: UnixTime, expired_before: UnixTime) {
        if now < self.last_swept_at + SWEEP_INTERVAL {
            return;
        }
        self.last_swept_at = now;
        let IdempotencyTable { key_by_holder, result_bytes, entries, pending_count, .. } = self;
        entries.retain(|_, entry| {
            let stays = entry.expires_at > expired_before || entry.is_running();
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
