//! The deadline by which a client must read its responses, so that a client that reads nothing, or only a
//! byte now and then, can't hold a connection and its memory.

use std::time::Duration;

use crate::clock::UnixTime;

/// Time in which the output that is queued at some moment must be written; otherwise the connection is
/// closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// A position in the output, and the deadline for reaching it.
#[derive(Debug, Clone, Copy)]
struct Target {
    /// The position, in bytes since the connection was opened.
    total_written: u64,
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
    /// Records that the system has accepted this number of bytes.
    pub(crate) fn record_write(&mut self, bytes: usize) {
        self.total_written += bytes as u64;
    }

    /// The time at which the connection is closed unless its client reads further; none while nothing is
    /// queued. No byte stays queued for more than twice the timeout, however fast others are added.
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
