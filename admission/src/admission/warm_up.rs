//! Slow start: how much of its full speed a server has while it warms up, and so how many concurrent runs are safe.
//! The permitted rate starts alike on a cold and on a warm server: there is none before the first window.

use crate::admission::constants::MIN_DIVISOR;
use crate::admission::quantities::Fraction;
use crate::admission::time::{Instant, Span};
use crate::interface::Settings;

/// How a server warms up. It is settled at the start; later settings do not change it.
#[derive(Debug)]
pub(crate) struct WarmUp {
    started_at: Instant,
    /// None for a server that was warm at its start.
    cold_start: Option<ColdStart>,
}

/// A start at less than full speed.
#[derive(Debug)]
struct ColdStart {
    /// Fraction of full speed at the start.
    speed: f64,
    /// The time until full speed.
    duration: Span,
}

impl WarmUp {
    /// A server that starts now.
    pub(crate) fn new(settings: &Settings, now: Instant) -> Self {
        let cold_start =
            ColdStart { speed: settings.cold_speed, duration: Span::from(settings.warm_up_time) };
        WarmUp { started_at: now, cold_start: settings.cold.then_some(cold_start) }
    }

    /// The fraction of its full speed that the server has at the least: it rises evenly while it warms up.
    pub(crate) fn fraction(&self, now: Instant) -> Fraction {
        let Some(cold) = &self.cold_start else { return Fraction::ALL };
        let passed = (now - self.started_at) / cold.duration.max(Span::from_seconds(MIN_DIVISOR));
        Fraction::new((cold.speed + (1.0 - cold.speed) * passed).clamp(0.0, 1.0))
    }
}

#[cfg(test)]
mod tests;
