//! By when a client has to have read what was written for it, so that a client that reads nothing, or a byte now and
//! then, does not hold its connection and memory.

use std::time::Duration;

use crate::clock::UnixTime;

/// What is queued at some moment is written this long after it, or the connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// A position in the output that is to be reached in time.
#[derive(Debug, Clone, Copy)]
struct Target {
    /// Bytes that are to be written since the connection was opened.
    total_written: u64,
    /// By when.
    deadline: UnixTime,
}

/// The progress of one connection's output.
#[derive(Debug, Default)]
pub(crate) struct WriteBacklog {
    /// Bytes that the system has accepted since the connection was opened.
    total_written: u64,
    target: Option<Target>,
}

impl WriteBacklog {
    /// Counts bytes that the system has accepted.
    pub(crate) fn record_write(&mut self, bytes: usize) {
        self.total_written += bytes as u64;
    }

    /// When the connection is to be closed unless its client reads on; none while nothing is queued. No byte is queued
    /// for more than twice the timeout, however fast more are added.
    pub(crate) fn deadline(&mut self, queued: usize, now: UnixTime) -> Option<UnixTime> {
        if queued == 0 {
            self.target = None;
        } else if self.target.is_none_or(|target| self.total_written >= target.total_written) {
            let total_written = self.total_written + queued as u64;
            self.target = Some(Target { total_written, deadline: now + WRITE_TIMEOUT });
        }
        self.target.map(|target| target.deadline)
    }
}

#[cfg(test)]
mod tests;
