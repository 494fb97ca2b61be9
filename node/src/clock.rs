//! Time is the system's Unix clock. Deadlines are points on it and travel with what they bound.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::{Instant, Sleep};

/// A point in time, as the time since the Unix epoch.
pub type Unix = Duration;

/// Now.
pub fn now() -> Unix {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Sleeps until a point in time.
pub fn until(at: Unix) -> Sleep {
    tokio::time::sleep_until(Instant::now() + at.saturating_sub(now()).min(Duration::from_secs(86_400)))
}
