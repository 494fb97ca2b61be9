//! Slow start: the fraction of its full speed that a server has while it warms up, which limits the safe
//! concurrency.
//!
//! The permitted rate is not affected: on a cold and on a warm server alike, there is none before the first
//! window.

use crate::admission::constants::MIN_DIVISOR;
use crate::admission::quantities::Fraction;
use crate::admission::time::{Instant, Span};
use crate::interface::Settings;

/// Warm-up of a server. It is determined at startup; later settings do not change it.
#[derive(Debug)]
pub(crate) struct WarmUp {
    started_at: Instant,
    /// `None` for a server that was warm at startup.
    cold_start: Option<ColdStart>,
}

/// Parameters of a start below full speed.
#[derive(Debug)]
struct ColdStart {
    /// Fraction of full speed at the start.
    speed: f64,
    /// Time from the start until full speed.
    duration: Span,
}

impl WarmUp {
    /// Creates the warm-up state of a server that starts now.
    pub(crate) fn new(settings: &Settings, now: Instant) -> Self {
        let cold_start =
            ColdStart { speed: settings.cold_speed, duration: Span::from(settings.warm_up_time) };
        WarmUp { started_at: now, cold_start: settings.cold.then_some(cold_start) }
    }

    /// Minimum speed of the server as a fraction of its full speed; it rises linearly during warm-up.
    pub(crate) fn fraction(&self, now: Instant) -> Fraction {
        let Some(cold) = &self.cold_start else { return Fraction::ALL };
        let passed = (now - self.started_at) / cold.duration.max(Span::from_seconds(MIN_DIVISOR));
        Fraction::new((cold.speed + (1.0 - cold.speed) * passed).clamp(0.0, 1.0))
    }
}

#[cfg(test)]
mod tests;
