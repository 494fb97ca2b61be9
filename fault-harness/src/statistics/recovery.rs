//! How much was served over stretches of a play, and when the fleet recovered after its faults.

use super::{Band, Return, Second};

/// Service has recovered where this fraction of what was served before is served again.
const RECOVERED_FRACTION: f64 = 0.9;
/// Seconds to either side that the figure of a second is smoothed over.
const SMOOTHING_RADIUS: usize = 1;
/// Seconds at the start that are left out of what was served before.
const SETTLING_SECONDS: usize = 3;

/// The fraction of the weight that is served in the worst stretch of so many seconds.
pub(super) fn worst(seconds: &[Second], length: usize) -> f64 {
    let fractions = seconds.windows(length.min(seconds.len())).map(served_fraction);
    fractions.fold(f64::INFINITY, f64::min).min(1.0)
}

/// The fraction of the weight requested that is served.
fn served_fraction(seconds: &[Second]) -> f64 {
    let asked: f64 = seconds.iter().map(|second| second.asked_worth).sum();
    if asked > 0.0 {
        seconds.iter().map(|second| second.served_worth).sum::<f64>() / asked
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
pub(super) fn back(seconds: &[Second], bands: &[Band]) -> Option<Return> {
    let from = bands.iter().map(|band| band.from).fold(f64::INFINITY, f64::min);
    let until = bands.iter().map(|band| band.until).fold(0.0, f64::max);
    let first = from.floor().max(0.0) as usize;
    if !from.is_finite() || first >= seconds.len() {
        return None;
    }
    let before = served_fraction(&seconds[SETTLING_SECONDS.min(first / 2)..first.max(1)]);
    let affected = first..seconds.len();
    let least = affected.clone().map(|second| served_fraction(&seconds[second..=second]));
    let least = least.fold(f64::INFINITY, f64::min);
    let is_enough = |second: usize| smoothed_fraction(seconds, second) >= RECOVERED_FRACTION * before;
    let recovered_at = match affected.clone().rfind(|second| !is_enough(*second)) {
        Some(last_bad) if last_bad + 1 >= seconds.len() => None,
        Some(last_bad) => Some((last_bad + 1) as f64),
        None => Some(from),
    };
    Some(Return {
        before,
        from_start: recovered_at.map(|at| (at - from).max(0.0)),
        from_end: recovered_at.map(|at| (at - until).max(0.0)),
        least: if before > 0.0 { least / before } else { 0.0 },
    })
}
