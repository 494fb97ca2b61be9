//! The load signal: the value advertised to callers, so that they do not send requests that would be
//! rejected.
//!
//! The signal moves in small steps, so that callers do not react in lockstep, and falls over time to probe
//! for recovered capacity. It follows which arrivals were rejected; it does not reject any itself.

use crate::admission::context::Context;
use crate::admission::overload::recent_arrivals::{RecentArrival, RecentArrivals};
use crate::admission::quantities::Fraction;
use crate::admission::time::Instant;
use crate::interface::Signal;

/// Decrease of the shed fraction per tick: from full to none in five seconds.
const FALL: f64 = 0.01;
/// Fraction of the distance to the target by which the shed fraction rises per tick. It is ten times the
/// decrease because overload does harm immediately.
const RISE: f64 = 10.0 * FALL;
/// Maximum shed fraction: some requests must still arrive to show whether capacity has recovered.
const MAX_SHED_FRACTION: f64 = 0.95;
/// Number of rejected arrivals of the same rank that one admitted arrival outweighs: a rank of which a third
/// is admitted is not shed as a whole.
const ADMITTED_WEIGHT: f64 = 2.0;
/// Number of rejected arrivals that one admitted arrival outweighs under read overload, when reading itself
/// must be shed.
const ADMITTED_WEIGHT_READING: f64 = 0.5;
/// The search for the rank ends when the running sum is this many admitted arrivals below its maximum, so
/// that single rejections of higher ranks do not raise the advertised rank.
const MAX_DROP_BELOW_BEST: f64 = 2.0;
/// Minimum relative change of the advertised value that is advertised.
const MIN_CHANGE: f64 = 0.01;
/// Minimum reference value when the relative change of the advertised value is computed.
const SMALL_VALUE: f64 = 0.1;

/// Load on which the signal depends, in addition to the context.
pub(crate) struct SignalLoad<'a> {
    pub(crate) recent: &'a RecentArrivals,
    /// Whether reading requests overloads the cores.
    pub(crate) read_overload: bool,
    /// Maximum number of requests on cores.
    pub(crate) concurrency_limit: f64,
}

/// State of the load signal.
#[derive(Debug, Default)]
pub(crate) struct LoadSignal {
    /// Fraction of the arrivals that callers should not send.
    shed_fraction: Fraction,
    /// The value last advertised; `None` before the first.
    advertised: Option<f64>,
}

impl LoadSignal {
    /// Fraction of the arrivals that callers should not send.
    pub(crate) fn shed_fraction(&self) -> Fraction {
        self.shed_fraction
    }

    /// Resets the shed fraction to none, its value at startup.
    pub(crate) fn reset(&mut self) {
        self.shed_fraction = Fraction::NONE;
    }

    /// Moves the shed fraction towards its target. Returns the value to advertise if it has changed enough.
    pub(crate) fn update(&mut self, load: &SignalLoad, context: &Context) -> Option<f64> {
        let target = match context.settings.signal {
            Signal::MinRank => min_rank_to_accept(load, context.now),
            Signal::Off | Signal::Credit | Signal::Weight => load.recent.rejected_fraction(context.now),
        };
        self.move_shed_fraction(target);
        let value = self.advertised_value(load, context)?;
        let changed_enough = self
            .advertised
            .is_none_or(|advertised| (advertised - value).abs() > MIN_CHANGE * advertised.max(SMALL_VALUE));
        if !changed_enough {
            return None;
        }
        self.advertised = Some(value);
        Some(value)
    }

    /// Below the target, the shed fraction rises by a tenth of its distance to the target per tick. Otherwise
    /// it falls by 0.01 per tick, whatever the target, to probe for recovered capacity.
    fn move_shed_fraction(&mut self, target: Fraction) {
        let shed_fraction = self.shed_fraction.value();
        let rise = RISE * (target.value() - shed_fraction).max(0.0);
        let fall = if rise > 0.0 { 0.0 } else { FALL };
        self.shed_fraction = Fraction::new((shed_fraction + rise - fall).clamp(0.0, MAX_SHED_FRACTION));
    }

    /// The advertised value for the current shed fraction; `None` if callers use no signal.
    fn advertised_value(&self, load: &SignalLoad, context: &Context) -> Option<f64> {
        let shed_fraction = self.shed_fraction.value();
        match context.settings.signal {
            Signal::Off => None,
            Signal::MinRank => Some(shed_fraction),
            Signal::Weight => Some(1.0 - shed_fraction),
            // Geometric interpolation between the whole limit for each caller, when nothing is shed, and an
            // equal share of it (the limit divided by the number of callers) at full shedding.
            Signal::Credit => Some(load.concurrency_limit * context.callers().powf(-shed_fraction)),
        }
    }
}

/// The rank at which the running sum of rejected minus weighted admitted arrivals, in ascending order of
/// rank, is highest. Below this rank, rejections outweigh admissions.
fn min_rank_to_accept(load: &SignalLoad, now: Instant) -> Fraction {
    let mut by_rank: Vec<&RecentArrival> = load.recent.in_window(now).collect();
    by_rank.sort_by(|first, second| first.rank.value().total_cmp(&second.rank.value()));
    let admitted_weight = if load.read_overload { ADMITTED_WEIGHT_READING } else { ADMITTED_WEIGHT };
    let mut best_balance = 0.0;
    let mut best_rank = Fraction::NONE;
    let mut balance = 0.0;
    for arrival in by_rank {
        balance += if arrival.admitted { -admitted_weight } else { 1.0 };
        if balance > best_balance {
            best_balance = balance;
            best_rank = arrival.rank;
        } else if !load.read_overload && balance < best_balance - MAX_DROP_BELOW_BEST * admitted_weight {
            // Under read overload the search continues to the highest rank: reading itself must be shed, so
            // rejections of any rank count.
            break;
        }
    }
    best_rank
}

#[cfg(test)]
mod tests;
