//! What becomes of requests, runs and keys: the types that the core, the fronts, the backends and all that keeps keys
//! share. It knows none of them.

use std::hash::Hasher;
use std::time::Duration;

use bytes::Bytes;
/// How much longer a key that has run out is kept, and the longest result that is: the same for all that keeps them.
pub use oakwind_fleet::{LONGEST_RESULT, READ_LATE};
use siphasher::sip::SipHasher13;

use crate::clock::Unix;

/// A key names one request, whichever class its tries come in: guards a request against a second run where its
/// class gets another name between two of them.
pub type Key = Bytes;

/// The one final answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// Served, with the result that a run made.
    Served(Bytes),
    /// Turned away: this try never ran.
    Refused {
        /// How long the caller should stay away.
        retry_after: Option<Duration>,
        /// The wish that it be tried nowhere else.
        stay: bool,
    },
    /// Failed; nothing is promised.
    Failed {
        /// Because its time ran out.
        overdue: bool,
    },
    /// Its key is that of a request with another body; nothing ran for it.
    Mismatched,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// With a result.
    Done(Bytes),
    /// It failed.
    Crashed,
    /// It was stopped, or ended at a call because its request was over.
    Aborted,
    /// Nothing was started, because the request was over.
    Stale,
    /// It provably never began: no server took it.
    NeverRan,
}

/// What became of the run of a key, as far as one process tells the next.
#[derive(Debug, Clone, PartialEq)]
pub enum Fate {
    /// It runs, or may yet.
    Open,
    /// It ended with this result.
    Done(Bytes),
    /// It failed and may have had its effect.
    Failed,
    /// It provably never began, so the key is free.
    NeverRan,
}

/// A remembered key, as one process hands it to the next.
#[derive(Debug, Clone, PartialEq)]
pub struct KeyRecord {
    /// The key.
    pub key: Bytes,
    /// The digest of the body that its tries carry.
    pub body: u64,
    /// How long it is remembered.
    pub until: Unix,
    /// What became of its run.
    pub fate: Fate,
}

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

impl Kept {
    /// The same as one process tells it to the next.
    pub fn fate(&self) -> Fate {
        match self {
            Kept::Done(result) => Fate::Done(result.clone()),
            Kept::Failed => Fate::Failed,
            Kept::NeverRan => Fate::NeverRan,
        }
    }
}

/// The digest of a key or a body, the same in every build.
pub fn digest(seed: u64, bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(seed, 0);
    hasher.write(bytes);
    hasher.finish()
}
