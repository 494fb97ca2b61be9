//! Constants that several decisions share. A constant of a single decision is defined in the module of that
//! decision.

use crate::admission::time::Span;

/// Time between two ticks, the timer events that the module requests to check deadlines, gauges and the
/// permitted rate. A twentieth of a second is well below every latency objective and costs twenty wake-ups
/// per second.
pub(crate) const TICK_PERIOD: Span = Span::from_seconds(0.05);

/// Shortest time between two changes of the permitted rate, so that only sustained load changes it and not a
/// short latency spike. Recent calls, arrivals and latencies are kept for the same time.
pub(crate) const RATE_WINDOW: Span = Span::from_seconds(2.0);

/// The latency target as a fraction of the latency objective: well above ordinary latency, yet low enough
/// that admitted requests still meet their objective.
pub(crate) const LATENCY_TARGET_FRACTION: f64 = 0.4;

/// Minimum number of samples for a decision: with fewer, the relative standard error of a count, 1/sqrt(n),
/// is over a quarter.
pub(crate) const MIN_SAMPLES: f64 = 16.0;

/// Weight of a new sample in the running means: about the last ten samples dominate.
pub(crate) const MEAN_WEIGHT: f64 = 0.1;

/// Weight of a new sample in the slower running means: about the last twenty samples dominate.
pub(crate) const SLOW_MEAN_WEIGHT: f64 = MEAN_WEIGHT / 2.0;

/// Maximum fraction used of the maximum safe concurrency and of this server's share of the dependency. The
/// rest covers requests and calls that start before a measurement shows their load.
pub(crate) const USABLE_CAPACITY_FRACTION: f64 = 0.75;

/// Maximum fraction used of the configured memory. The rest is left for the server itself.
pub(crate) const USABLE_MEMORY_FRACTION: f64 = 0.9;

/// Minimum used in place of a smaller latency objective, work, limit or warm-up time when dividing by it.
pub(crate) const MIN_DIVISOR: f64 = 1e-3;
