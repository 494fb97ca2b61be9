//! By when a client has to have read what was written for it. Guards a connection's room and memory against one that
//! reads nothing, or a byte now and then.

use std::time::Duration;

use crate::clock::Unix;

/// What waits at some moment is written this long after it at the latest, or never.
const UNREAD: Duration = Duration::from_secs(5);

/// What one connection has to write.
#[derive(Debug, Default)]
pub struct WriteBacklog {
    /// Bytes that the system has taken.
    written: u64,
    /// So many are to be taken by then.
    owed: Option<(u64, Unix)>,
}

impl WriteBacklog {
    /// The system took so many bytes.
    pub fn wrote(&mut self, bytes: usize) {
        self.written += bytes as u64;
    }

    /// When the connection ends unless it goes on, while so many bytes wait. No byte waits for more than twice the
    /// time, however fast more of them come.
    pub fn until(&mut self, waiting: usize, now: Unix) -> Option<Unix> {
        if waiting == 0 {
            self.owed = None;
        } else if self.owed.is_none_or(|(bytes, _)| self.written >= bytes) {
            self.owed = Some((self.written + waiting as u64, now + UNREAD));
        }
        self.owed.map(|(_, until)| until)
    }
}

#[cfg(test)]
mod tests;
