//! The one way to the log: [`log!`](crate::log) writes a line to standard error, a few a second from each place.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock;

/// Lines a second that one place may write.
const PER_SECOND: u64 = 5;

/// What one place in the code has written in the second under way. Guards the node against spending its core
/// and its supervisor's disk on a peer's mistakes, however many those are.
pub struct Place {
    second: AtomicU64,
    lines: AtomicU64,
}

impl Place {
    /// A place that has written nothing yet.
    pub const fn new() -> Self {
        Place { second: AtomicU64::new(0), lines: AtomicU64::new(0) }
    }

    /// Whether a line may be written now, and how many were left out just before it.
    pub fn admit(&self, second: u64) -> Option<u64> {
        let left_out = if self.second.swap(second, Ordering::Relaxed) == second {
            0
        } else {
            self.lines.swap(0, Ordering::Relaxed).saturating_sub(PER_SECOND)
        };
        (self.lines.fetch_add(1, Ordering::Relaxed) < PER_SECOND).then_some(left_out)
    }
}

/// Writes a line unless this place has written enough this second.
#[macro_export]
macro_rules! log {
    ($($words:tt)*) => {{
        static PLACE: $crate::log::Place = $crate::log::Place::new();
        $crate::log::write(&PLACE, format_args!($($words)*));
    }};
}

/// What the macro calls; not for use by itself.
pub fn write(place: &Place, words: std::fmt::Arguments) {
    let now = clock::now();
    match place.admit(now.as_secs()) {
        Some(0) => eprintln!("{}.{:03} {words}", now.as_secs(), now.subsec_millis()),
        Some(n) => eprintln!("{}.{:03} {words} ({n} like it left out)", now.as_secs(), now.subsec_millis()),
        None => {}
    }
}

#[cfg(test)]
mod tests;
