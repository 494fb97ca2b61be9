//! The log: [`log!`](macro@crate::log) writes a line to standard error. The rate of lines from each call site
//! is limited.
//!
//! A line is `SECONDS COMPONENT: EVENT: KEY=VALUE ...`. An error comes last, as `error=...`, and may contain
//! spaces.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock;

/// Maximum number of lines that one call site may write in a second.
const MAX_LINES_PER_SECOND: u64 = 5;

/// Limits the lines that one call site writes in a second, so that a peer that causes many errors can fill
/// neither the node's core nor the disk of its supervisor.
pub(crate) struct RateLimiter {
    second: AtomicU64,
    lines: AtomicU64,
}

impl RateLimiter {
    /// Creates the limiter of a call site that has written nothing.
    pub(crate) const fn new() -> Self {
        RateLimiter { second: AtomicU64::new(0), lines: AtomicU64::new(0) }
    }

    /// The number of lines that were suppressed just before this one; none if this one must be suppressed
    /// too. `second` is the current time.
    pub(crate) fn admit(&self, second: u64) -> Option<u64> {
        let suppressed = if self.second.swap(second, Ordering::Relaxed) == second {
            0
        } else {
            self.lines.swap(0, Ordering::Relaxed).saturating_sub(MAX_LINES_PER_SECOND)
        };
        (self.lines.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_SECOND).then_some(suppressed)
    }
}

/// Writes a line, `COMPONENT: EVENT: KEY=VALUE ...`, unless this call site has reached its limit for the
/// current second. Takes the arguments of `format!`.
#[macro_export]
macro_rules! log {
    ($($arguments:tt)*) => {{
        static LIMITER: $crate::log::RateLimiter = $crate::log::RateLimiter::new();
        $crate::log::write(&LIMITER, format_args!($($arguments)*));
    }};
}

/// Implements [`log!`](macro@crate::log), and must not be called directly.
pub(crate) fn write(limiter: &RateLimiter, line: std::fmt::Arguments) {
    let now = clock::now();
    let seconds = now.as_secs();
    let millis = now.subsec_millis();
    match limiter.admit(seconds) {
        Some(0) => eprintln!("{seconds}.{millis:03} {line}"),
        Some(suppressed) => eprintln!("{seconds}.{millis:03} {line} (suppressed={suppressed})"),
        None => {}
    }
}

#[cfg(test)]
mod tests;
