//! Numbers that several decisions share; a number of one decision stands with it.

use crate::admission::time::Span;

/// The time between two ticks, the timer events that the module asks for: deadlines, gauges and the permitted rate are
/// looked at this often. A twentieth of a second is well below every latency objective and costs twenty wake-ups a
/// second.
pub(crate) const TICK_PERIOD: Span = Span::from_seconds(0.05);

/// The shortest time between two changes of the permitted rate, so that only sustained load changes it and not a
/// short spike of latency; recent calls, arrivals and latencies are looked back on for as long.
pub(crate) const RATE_WINDOW: Span = Span::from_seconds(2.0);

/// Latency is over target beyond this fraction of the latency objective: well above ordinary latency, and early
/// enough that admitted requests still meet their objective.
pub(crate) const LATENCY_TARGET_FRACTION: f64 = 0.4;

/// Samples that are evidence enough: of fewer, the relative standard error of a count, 1/sqrt(n), is over a quarter.
pub(crate) const MIN_SAMPLES: f64 = 16.0;

/// Weight of a new sample in the running means: the last ten or so decide.
pub(crate) const MEAN_WEIGHT: f64 = 0.1;

/// Weight of a new sample in the slower means: about the last twenty decide.
pub(crate) const SLOW_MEAN_WEIGHT: f64 = MEAN_WEIGHT / 2.0;

/// The fraction of the maximum safe concurrency, and of this server's share of the dependency, that is ever used: the
/// rest covers what starts before a measurement shows it.
pub(crate) const USABLE_CAPACITY_FRACTION: f64 = 0.75;

/// The fraction of the memory that is ever used: the rest is for what the server itself needs.
pub(crate) const USABLE_MEMORY_FRACTION: f64 = 0.9;

/// The shortest latency objective, work, limit or warm-up time that something is divided by.
pub(crate) const MIN_DIVISOR: f64 = 1e-3;
