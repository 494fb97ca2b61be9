//! How much was served over stretches of a play, and when the fleet recovered after its faults.

use std::ops::Range;

use serde::Serialize;

use super::{Band, Second};

/// Service has recovered where this fraction of what was served before is served again.
const RECOVERED_FRACTION: f64 = 0.9;
/// Seconds to either side that the figure of a second is smoothed over.
const SMOOTHING_RADIUS: usize = 1;
/// Seconds at the start that are left out of what was served before.
const SETTLING_SECONDS: usize = 3;

/// How long a fleet took to recover.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Recovery {
    /// The fraction of the weight requested that was served before the first fault.
    pub before: f64,
    /// Seconds from the start of the first fault until service has recovered and stays so; none if it has not by the end.
    pub from_start: Option<f64>,
    /// The same from the end of the last fault.
    pub from_end: Option<f64>,
    /// The least that a second served meanwhile, as a fraction of `before`.
    pub least: f64,
}

/// The fraction of the weight that is served in the worst stretch of so many seconds.
pub(super) fn worst_stretch(seconds: &[Second], length: usize) -> f64 {
    let fractions = seconds.windows(length.min(seconds.len())).map(served_fraction);
    fractions.fold(f64::INFINITY, f64::min).min(1.0)
}

/// The fraction of the weight requested that is served.
fn served_fraction(seconds: &[Second]) -> f64 {
    let requested: f64 = seconds.iter().map(|second| second.requested_weight).sum();
    if requested > 0.0 {
        seconds.iter().map(|second| second.served_weight).sum::<f64>() / requested
    } else {
        1.0
    }
}

/// The fraction served in a second and its neighbours.
fn smoothed_fraction(seconds: &[Second], second: usize) -> f64 {
    let end = (second + SMOOTHING_RADIUS + 1).min(seconds.len());
    served_fraction(&seconds[second.saturating_sub(SMOOTHING_RADIUS)..end])
}

/// The recovery from all faults: from which second on each one, smoothed with its neighbours, serves enough.
pub(super) fn recovery(seconds: &[Second], bands: &[Band]) -> Option<Recovery> {
    let from = bands.iter().map(|band| band.from).fold(f64::INFINITY, f64::min);
    let until = bands.iter().map(|band| band.until).fold(0.0, f64::max);
    let first = from.floor().max(0.0) as usize;
    if !from.is_finite() || first >= seconds.len() {
        return None;
    }
    let before = served_fraction(&seconds[SETTLING_SECONDS.min(first / 2)..first.max(1)]);
    let affected = first..seconds.len();
    let by_second = affected.clone().map(|second| served_fraction(&seconds[second..=second]));
    let least = by_second.fold(f64::INFINITY, f64::min);
    let recovered_at = match last_insufficient(seconds, affected, before) {
        Some(last) if last + 1 >= seconds.len() => None,
        Some(last) => Some((last + 1) as f64),
        None => Some(from),
    };
    Some(Recovery {
        before,
        from_start: recovered_at.map(|at| (at - from).max(0.0)),
        from_end: recovered_at.map(|at| (at - until).max(0.0)),
        least: if before > 0.0 { least / before } else { 0.0 },
    })
}

/// The last second in which too little was served.
fn last_insufficient(seconds: &[Second], mut affected: Range<usize>, before: f64) -> Option<usize> {
    affected.rfind(|second| smoothed_fraction(seconds, *second) < RECOVERED_FRACTION * before)
}
