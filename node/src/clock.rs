//! Time is the system's Unix clock. Deadlines are points on it and travel with what they bound.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::{Instant, Sleep};

/// A point in time, as the time since the Unix epoch.
pub type Unix = Duration;

/// Now.
pub fn now() -> Unix {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// A time in whole milliseconds, as it is written and sent.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Sleeps until a point in time.
pub fn until(at: Unix) -> Sleep {
    tokio::time::sleep_until(Instant::now() + at.saturating_sub(now()).min(Duration::from_secs(86_400)))
}
