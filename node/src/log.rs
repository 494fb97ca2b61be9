//! The log: [`log!`](macro@crate::log) writes a line to standard error, a few a second from each place in the code.
//!
//! A line is `SECONDS COMPONENT: EVENT: KEY=VALUE ...`; an error comes last, as `error=...`, and may have spaces.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock;

/// Lines that one place may write in a second.
const MAX_LINES_PER_SECOND: u64 = 5;

/// What one place in the code has written in the current second. However many errors a peer causes, they take neither
/// the node's core nor its supervisor's disk.
pub(crate) struct RateLimiter {
    second: AtomicU64,
    lines: AtomicU64,
}

impl RateLimiter {
    /// A place that has written nothing yet.
    pub(crate) const fn new() -> Self {
        RateLimiter { second: AtomicU64::new(0), lines: AtomicU64::new(0) }
    }

    /// Whether a line may be written in this second; if so, how many were suppressed just before it.
    pub(crate) fn admit(&self, second: u64) -> Option<u64> {
        let suppressed = if self.second.swap(second, Ordering::Relaxed) == second {
            0
        } else {
            self.lines.swap(0, Ordering::Relaxed).saturating_sub(MAX_LINES_PER_SECOND)
        };
        (self.lines.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_SECOND).then_some(suppressed)
    }
}

/// Writes a line, `COMPONENT: EVENT: KEY=VALUE ...`, unless this place has written enough in this second. Takes the
/// arguments of `format!`.
#[macro_export]
macro_rules! log {
    ($($arguments:tt)*) => {{
        static LIMITER: $crate::log::RateLimiter = $crate::log::RateLimiter::new();
        $crate::log::write(&LIMITER, format_args!($($arguments)*));
    }};
}

/// What the macro expands to; not to be called otherwise.
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
