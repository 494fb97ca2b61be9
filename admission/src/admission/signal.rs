//! What callers learn beside answers: the advertised value, and how long idle connections stay open.

use std::collections::BTreeMap;

use super::{Admission, Mean, MEAN_WEIGHT, MIN_SAMPLES, RATE_WINDOW, TIMER_PERIOD};
use crate::interface::{Action, CallerId, RequestId, Signal};

/// Each period the shed level falls by this much, or rises by ten times this part of its distance.
const SIGNAL_STEP: f64 = 0.01;
/// An admitted arrival outweighs this many rejected ones of its rank.
const ADMITTED_WEIGHT: f64 = 2.0;
/// The same while reading is overloaded: then reading itself must be shed.
const ADMITTED_WEIGHT_READING: f64 = 0.5;
/// Reading is overloaded when reads and connects are more than this part of what is runnable.
const READING_HIGH: f64 = 0.6;

#[derive(Debug)]
pub(super) struct RecentArrival {
    pub(super) id: RequestId,
    pub(super) at: f64,
    pub(super) rank: f64,
    pub(super) priority: f64,
    pub(super) admitted: bool,
}

/// How long idle connections are kept: the more callers return to them, the longer.
#[derive(Debug, Default)]
pub(super) struct Connections {
    last_seen: BTreeMap<CallerId, f64>,
    returning_fraction: Mean,
    pub(super) limit: f64,
    min_limit: f64,
}

impl Connections {
    pub(super) fn new(limit: f64) -> Self {
        let returning_fraction = Mean { average: 1.0, readings: MIN_SAMPLES };
        Connections { returning_fraction, limit, ..Connections::default() }
    }

    pub(super) fn request_from(&mut self, caller: CallerId, now: f64, idle: f64) {
        let before = self.last_seen.insert(caller, now);
        let returned = before.is_some_and(|at| now - at <= idle);
        self.returning_fraction.add(if returned { 1.0 } else { 0.0 }, MEAN_WEIGHT / 2.0);
    }

    /// Falls with the square of the part of callers that returns; longest in a flood, to spare handshakes.
    pub(super) fn tune(
        &mut self,
        now: f64,
        idle: f64,
        callers: f64,
        flood: bool,
        spare: bool,
    ) -> Option<f64> {
        self.last_seen.retain(|_, at| now - *at <= idle);
        let part = self.returning_fraction.average * (self.last_seen.len() as f64 / callers).min(1.0);
        let closing = if spare { MEAN_WEIGHT } else { MEAN_WEIGHT * TIMER_PERIOD / RATE_WINDOW };
        let relaxed = (self.min_limit * (1.0 - closing)).max(TIMER_PERIOD);
        self.min_limit = if flood { idle } else { relaxed };
        let least = if self.min_limit > 1.0 { self.min_limit } else { TIMER_PERIOD };
        let wanted = (idle * part.powi(2)).max(least);
        let moved = (wanted - self.limit).abs() > 0.2 * self.limit;
        moved.then(|| self.limit = wanted).map(|()| wanted)
    }
}

impl Admission {
    /// Moves in small steps, so that callers do not move together, and falls by itself to find new capacity.
    pub(super) fn update_signal(&mut self, out: &mut Vec<Action>) {
        let wanted = match self.settings.signal {
            Signal::Level => self.signal_level(),
            _ => self.rejected_fraction(),
        };
        let up = 10.0 * SIGNAL_STEP * (wanted - self.shed_level).max(0.0);
        let down = if up > 0.0 { 0.0 } else { SIGNAL_STEP };
        self.shed_level = (self.shed_level + up - down).clamp(0.0, 0.95);
        let value = match self.settings.signal {
            Signal::Off => return,
            Signal::Level => self.shed_level,
            Signal::Weight => 1.0 - self.shed_level,
            Signal::Credit => self.run_limit * f64::from(self.settings.callers.max(1)).powf(-self.shed_level),
        };
        if self.advertised.is_none_or(|advertised| (advertised - value).abs() > 0.01 * advertised.max(0.1)) {
            self.advertised = Some(value);
            out.push(Action::Advertise(value));
        }
    }

    pub(super) fn read_overload(&self) -> bool {
        self.overhead.average > READING_HIGH
    }

    fn recent_window(&self) -> impl Iterator<Item = &RecentArrival> {
        self.recent.iter().filter(|s| s.at > self.now - RATE_WINDOW)
    }

    /// The rejected part of recent arrivals; fewer than eight say little.
    pub(super) fn rejected_fraction(&self) -> f64 {
        let rejected = self.recent_window().filter(|s| !s.admitted).count() as f64;
        rejected / self.recent_window().count().max(8) as f64
    }

    /// The rank below which rejections outweigh admissions.
    fn signal_level(&self) -> f64 {
        let mut ranked: Vec<_> = self.recent_window().map(|s| (s.rank, s.admitted)).collect();
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        let read_overload = self.read_overload();
        let weight = if read_overload { ADMITTED_WEIGHT_READING } else { ADMITTED_WEIGHT };
        let (mut best, mut best_rank, mut sum) = (0.0, 0.0, 0.0);
        for (rank, admitted) in ranked {
            sum += if admitted { -weight } else { 1.0 };
            if sum > best {
                (best, best_rank) = (sum, rank);
            } else if !read_overload && sum < best - 2.0 * weight {
                break;
            }
        }
        best_rank
    }
}
