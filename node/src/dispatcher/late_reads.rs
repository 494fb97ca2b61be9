//! Attempts that were sent within the window of their key and are read after it: when they may have been sent, and how long
//! an expired key is kept for them.
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

/// Follows the standstills of this process.
pub(super) struct LateReads {
    /// The longest deadline of any class, in the settings in force or in earlier ones.
    longest_deadline: Duration,
    last_batch_at: UnixTime,
    /// The last batch before this process last stood still.
    stopped_at: UnixTime,
    /// When this process went on after it last stood still.
    resumed_at: UnixTime,
}

impl LateReads {
    /// The state of a process that starts now with these settings.
    pub(super) fn new(settings: &Settings, now: UnixTime) -> Self {
        let mut late_reads = LateReads {
            longest_deadline: Duration::ZERO,
            last_batch_at: now,
            stopped_at: now,
            resumed_at: now,
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
        if self.stood_still_until(now) {
            self.stopped_at = self.last_batch_at;
            self.resumed_at = now;
        }
        self.last_batch_at = now;
        let has_caught_up = now >= self.resumed_at + CATCH_UP_TIME;
        let kept_for = (self.longest_deadline + CATCH_UP_TIME).max(LATE_READ_GRACE);
        has_caught_up.then(|| now.saturating_sub(kept_for))
    }

    /// When an attempt that is read now reached this machine at the earliest. `stated` is when it did, if its protocol
    /// states that. Other attempts may have come at any time in a standstill from which this process has just resumed.
    pub(super) fn earliest_receipt(&self, stated: Option<UnixTime>, now: UnixTime) -> UnixTime {
        let read_at = if self.stood_still_until(now) {
            self.last_batch_at
        } else if now < self.resumed_at + CATCH_UP_TIME {
            self.stopped_at
        } else {
            now
        };
        stated.unwrap_or(read_at)
    }

    fn stood_still_until(&self, now: UnixTime) -> bool {
        now > self.last_batch_at + MAX_BATCH_INTERVAL
    }
}

#[cfg(test)]
mod tests;
