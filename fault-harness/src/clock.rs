//! Time in a play: milliseconds since the harness's start, and the Unix clock that goes with them.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

use crate::model::{ms_of_seconds, seconds_of_ms, Ms};

/// The clock of one play.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_start: Duration,
}

impl Clock {
    /// One that begins now.
    pub fn begin() -> Clock {
        Clock { start: Instant::now(), unix_start: unix_now() }
    }

    /// Now.
    pub fn now(&self) -> Ms {
        ms_of_seconds(self.start.elapsed().as_secs_f64())
    }

    /// A moment on the Unix clock, in milliseconds.
    pub fn unix_ms(&self, at: Ms) -> u64 {
        (ms_of_seconds(self.unix_start.as_secs_f64()) + at).max(0.0) as u64
    }

    /// Waits until then. What is due already is not held up for the timer's next millisecond.
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

/// The Unix clock.
pub fn unix_now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
