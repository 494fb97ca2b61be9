//! The time of a play in milliseconds since its start, and its conversion to Unix time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

use crate::model::{ms_of_seconds, seconds_of_ms, Ms};

/// The clock of one play. It is monotonic: later changes of the system clock do not affect it.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_start: Duration,
}

impl Clock {
    /// Starts a clock at 0.
    pub fn begin() -> Clock {
        Clock { start: Instant::now(), unix_start: unix_now() }
    }

    /// Milliseconds since the clock started.
    pub fn now(&self) -> Ms {
        ms_of_seconds(self.start.elapsed().as_secs_f64())
    }

    /// Converts a time on this clock to Unix time in milliseconds.
    pub fn unix_ms(&self, at: Ms) -> u64 {
        (ms_of_seconds(self.unix_start.as_secs_f64()) + at).max(0.0) as u64
    }

    /// Waits until a time on this clock; forever if the time is infinite. A time that has passed returns at once,
    /// because even a due timer would wait for the next millisecond tick.
    pub async fn until(&self, at: Ms) {
        if at <= self.now() {
            return;
        }
        if at.is_finite() {
            let since_start = Duration::from_secs_f64(seconds_of_ms(at.max(0.0)));
            tokio::time::sleep_until(self.start + since_start).await;
        } else {
            std::future::pending::<()>().await;
        }
    }
}

/// The time since the Unix epoch on the system clock; zero if the system clock is set before the epoch.
pub fn unix_now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
