//! How long an expired key is kept for attempts that were sent within its window and are read after it.
//!
//! A client waits for an attempt up to the deadline of its class, so that it may be read that much later than it was sent,
//! and later still if this process stands still meanwhile. No key is kept for less than [`LATE_READ_GRACE`], for which other
//! nodes and the result store keep it.

use std::time::Duration;

use oakwind_admission::Settings;

use crate::clock::UnixTime;
use crate::outcome::LATE_READ_GRACE;

/// Longest time between two batches of a process that has a backend and runs without an interruption.
const MAX_BATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Time in which a process reads everything that had arrived while it stood still.
const CATCH_UP_TIME: Duration = Duration::from_secs(1);

/// Decides when expired keys may be removed.
pub(super) struct LateReads {
    /// The longest deadline of any class, in the settings in force or in earlier ones.
    longest_deadline: Duration,
    last_batch_at: UnixTime,
    /// When this process went on after it last stood still.
    resumed_at: UnixTime,
}

impl LateReads {
    /// The state of a process that starts with these settings.
    pub(super) fn new(settings: &Settings) -> Self {
        let mut late_reads = LateReads {
            longest_deadline: Duration::ZERO,
            last_batch_at: UnixTime::ZERO,
            resumed_at: UnixTime::ZERO,
        };
        late_reads.follow_settings(settings);
        late_reads
    }

    /// Follows a change of the settings. Attempts that were sent under the earlier ones may still be unread.
    pub(super) fn follow_settings(&mut self, settings: &Settings) {
        let longest = settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        self.longest_deadline = self.longest_deadline.max(longest);
    }

    /// Records a batch. Returns the time by which a key must have expired to be removed now; none while attempts may be
    /// unread because this process stood still.
    pub(super) fn removable_before(&mut self, now: UnixTime) -> Option<UnixTime> {
        if now > self.last_batch_at + MAX_BATCH_INTERVAL {
            self.resumed_at = now;
        }
        self.last_batch_at = now;
        let has_caught_up = now >= self.resumed_at + CATCH_UP_TIME;
        let kept_for = (self.longest_deadline + CATCH_UP_TIME).max(LATE_READ_GRACE);
        has_caught_up.then(|| now.saturating_sub(kept_for))
    }
}

#[cfg(test)]
mod tests;
