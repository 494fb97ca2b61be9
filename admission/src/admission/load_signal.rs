//! The load signal: the value that callers are told, so that what would be rejected is not sent at all.
//!
//! It moves in small steps, so that callers do not move together, and falls by itself to find new capacity. It
//! follows which arrivals were rejected, and decides on none.

use crate::admission::context::Context;
use crate::admission::overload::recent_arrivals::{RecentArrival, RecentArrivals};
use crate::admission::quantities::Fraction;
use crate::admission::time::Instant;
use crate::interface::Signal;

/// With each tick the shed fraction falls by this much: from full to none in five seconds.
const FALL: f64 = 0.01;
/// It rises by this fraction of its distance to the target: ten times as fast, since overload hurts at once.
const RISE: f64 = 10.0 * FALL;
/// The highest shed fraction: some arrivals must come to show whether capacity has returned.
const MAX_SHED_FRACTION: f64 = 0.95;
/// An admitted arrival outweighs this many rejected ones of its rank: a rank of which a third is admitted is not
/// rejected as a whole.
const ADMITTED_WEIGHT: f64 = 2.0;
/// The same while reading is overloaded: then reading itself must be shed.
const ADMITTED_WEIGHT_READING: f64 = 0.5;
/// The search for the rank ends when the running sum is this many admitted arrivals below its highest value: single
/// rejections of higher ranks do not raise it.
const MAX_DROP_BELOW_BEST: f64 = 2.0;
/// A change by less than a hundredth of the advertised value is not worth telling.
const MIN_CHANGE: f64 = 0.01;
/// Values below this count as this when a change is compared with them.
const SMALL_VALUE: f64 = 0.1;

/// What the signal depends on, beside the context.
pub(crate) struct SignalLoad<'a> {
    pub(crate) recent: &'a RecentArrivals,
    /// Whether reading requests overloads the cores.
    pub(crate) read_overload: bool,
    /// The limit of running requests.
    pub(crate) concurrency_limit: f64,
}

/// The load signal.
#[derive(Debug, Default)]
pub(crate) struct LoadSignal {
    /// How much of the arrivals is to be kept away.
    shed_fraction: Fraction,
    advertised: Option<f64>,
}

impl LoadSignal {
    /// How much of the arrivals is to be kept away.
    pub(crate) fn shed_fraction(&self) -> Fraction {
        self.shed_fraction
    }

    /// Nothing is to be kept away, as at a start.
    pub(crate) fn reset(&mut self) {
        self.shed_fraction = Fraction::NONE;
    }

    /// Moves the shed fraction; returns the value to advertise if it has changed by enough.
    pub(crate) fn update(&mut self, load: &SignalLoad, context: &Context) -> Option<f64> {
        let target = match context.settings.signal {
            Signal::MinRank => min_rank_to_accept(load, context.now),
            Signal::Off | Signal::Credit | Signal::Weight => load.recent.rejected_fraction(context.now),
        };
        self.step(target);
        let value = self.value(load, context)?;
        let worth_telling = self
            .advertised
            .is_none_or(|advertised| (advertised - value).abs() > MIN_CHANGE * advertised.max(SMALL_VALUE));
        if !worth_telling {
            return None;
        }
        self.advertised = Some(value);
        Some(value)
    }

    /// Below the target the shed fraction rises by a tenth of its distance to it per tick. Otherwise it falls by 0.01
    /// per tick, whatever the target: it probes for capacity that has returned.
    fn step(&mut self, target: Fraction) {
        let shed_fraction = self.shed_fraction.value();
        let rise = RISE * (target.value() - shed_fraction).max(0.0);
        let fall = if rise > 0.0 { 0.0 } else { FALL };
        self.shed_fraction = Fraction::new((shed_fraction + rise - fall).clamp(0.0, MAX_SHED_FRACTION));
    }

    /// The shed fraction in the terms of the callers.
    fn value(&self, load: &SignalLoad, context: &Context) -> Option<f64> {
        let shed_fraction = self.shed_fraction.value();
        match context.settings.signal {
            Signal::Off => None,
            Signal::MinRank => Some(shed_fraction),
            Signal::Weight => Some(1.0 - shed_fraction),
            // Geometric between the whole limit for each caller, when nothing is shed, and an equal share of it (the
            // limit over the callers) at full shedding.
            Signal::Credit => Some(load.concurrency_limit * context.callers().powf(-shed_fraction)),
        }
    }
}

/// The rank at which the running sum of rejected minus weighted admitted arrivals, by ascending rank, is highest: below
/// it rejections outweigh admissions.
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
            // Under read overload the search goes on to the highest rank: reading itself must be shed, so rejections of
            // any rank count.
            break;
        }
    }
    best_rank
}

#[cfg(test)]
mod tests;
