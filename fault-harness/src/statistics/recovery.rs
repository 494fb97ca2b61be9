//! The fractions served in parts of a play, and the time at which the fleet recovered from its faults.

use std::ops::Range;

use serde::Serialize;

use super::{Band, Second};

/// Service counts as recovered when it reaches this fraction of the service before the first fault.
const RECOVERED_FRACTION: f64 = 0.9;
/// Number of seconds on either side over which the fraction served in a second is smoothed.
const SMOOTHING_RADIUS: usize = 1;
/// Number of seconds at the start of a play that are excluded from the service before the first fault.
const SETTLING_SECONDS: usize = 3;

/// The recovery of a fleet from all faults of a play.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Recovery {
    /// Fraction of the requested weight that was served before the first fault.
    pub before: f64,
    /// Seconds from the start of the first fault until service recovered for the rest of the play; `None` if it never did
    /// so.
    pub from_start: Option<f64>,
    /// Seconds from the end of the last fault to the same time; 0 if service recovered before that end.
    pub from_end: Option<f64>,
    /// Lowest fraction served in any second since the first fault, divided by `before`.
    pub least: f64,
}

/// The lowest fraction of the requested weight that was served in any `length` consecutive seconds.
pub(super) fn lowest_served_fraction(seconds: &[Second], length: usize) -> f64 {
    let fractions = seconds.windows(length.min(seconds.len())).map(served_fraction);
    fractions.fold(f64::INFINITY, f64::min).min(1.0)
}

/// The fraction of the requested weight that was served; 1 if nothing was requested.
fn served_fraction(seconds: &[Second]) -> f64 {
    let requested: f64 = seconds.iter().map(|second| second.requested_weight).sum();
    if requested > 0.0 {
        seconds.iter().map(|second| second.served_weight).sum::<f64>() / requested
    } else {
        1.0
    }
}

/// The fraction served in a second together with its neighbours.
fn smoothed_fraction(seconds: &[Second], second: usize) -> f64 {
    let end = (second + SMOOTHING_RADIUS + 1).min(seconds.len());
    served_fraction(&seconds[second.saturating_sub(SMOOTHING_RADIUS)..end])
}

/// Computes the recovery from all faults. Service has recovered from the second on from which the smoothed fraction
/// served stays sufficient until the end. `None` without a fault during the load.
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

/// The last second whose smoothed fraction is insufficient.
fn last_insufficient(seconds: &[Second], mut affected: Range<usize>, before: f64) -> Option<usize> {
    affected.rfind(|second| smoothed_fraction(seconds, *second) < RECOVERED_FRACTION * before)
}
