//! The way back of a node: the stages of its return, what lets it go on, what sends it back, and what each one allows. No
//! stage is left out and none lasts for ever: where what it waits for does not come, its time ends it, and that is told.

use std::fmt;
use std::time::Duration;

use crate::Time;

/// A node that hears no majority goes on without one after this: requests that are safe to repeat need none.
const STARTING: Duration = Duration::from_secs(5);
/// Catching up goes on behind the later stages, but holds them up no longer than this.
const CATCHING: Duration = Duration::from_secs(5);
/// Cores are taken to be warm after this, whatever they say.
const WARMING: Duration = Duration::from_secs(60);

/// A stage of a return, the earliest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// Nothing runs requests yet, or no majority of the list is heard.
    Starting,
    /// What it missed is still to be learnt.
    CatchingUp,
    /// Its cores are cold.
    Warming,
    /// It is back.
    Full,
}

impl Stage {
    fn next(self) -> Stage {
        match self {
            Stage::Starting => Stage::CatchingUp,
            Stage::CatchingUp => Stage::Warming,
            Stage::Warming | Stage::Full => Stage::Full,
        }
    }
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Stage::Starting => "starting",
            Stage::CatchingUp => "catching up",
            Stage::Warming => "warming",
            Stage::Full => "full",
        })
    }
}

/// How the node stands, as far as its stage goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Conditions {
    /// Something runs requests.
    pub runs: bool,
    /// A majority of the list is heard.
    pub level: bool,
    /// All that are heard have told what they know, or nothing was missed.
    pub caught_up: bool,
    /// When its cores are warm, if they started cold.
    pub warm_at: Option<Time>,
}

/// Why a stage has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransitionReason {
    /// What it waited for has come.
    Done,
    /// It has not come, and its time is up.
    Overdue,
    /// What an earlier stage had waited for is gone.
    Lost,
}

/// A change of stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transition {
    /// From this one.
    pub from: Stage,
    /// To this one.
    pub to: Stage,
    /// Why.
    pub why: TransitionReason,
    /// How long it was in the one before.
    pub after: Duration,
}

impl fmt::Display for Transition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Transition { from, to, why, after } = self;
        let why = match (why, from) {
            (TransitionReason::Done, _) => "",
            (TransitionReason::Overdue, Stage::Starting) => ", though no majority is heard",
            (TransitionReason::Overdue, Stage::CatchingUp) => ", though not all that was missed is known",
            (TransitionReason::Overdue, _) => ", though its cores still say that they are cold",
            (TransitionReason::Lost, _) => ", as what that needs was lost",
        };
        write!(f, "{to}, after {} ms of {from}{why}", after.as_millis())
    }
}

/// What a stage allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Permissions {
    /// It reports itself to the membership service and answers health checks as good, so that front ends come. Who fell
    /// back goes on: what is safe to repeat runs.
    pub clients: bool,
    /// The part of the usual rate at which it gives to others that catch up.
    pub gives: f64,
}

/// The way back of one node.
#[derive(Debug, Clone)]
pub struct RecoveryStages {
    stage: Stage,
    since: Time,
    before: Option<Conditions>,
    /// It has been past the first stage: front ends know it.
    known: bool,
}

impl RecoveryStages {
    /// A node that starts now.
    pub fn new(now: Time) -> RecoveryStages {
        RecoveryStages { stage: Stage::Starting, since: now, before: None, known: false }
    }

    /// The stage that it is in.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// When the stage ends at the latest; none for the last.
    pub fn ends(&self) -> Option<Time> {
        match self.stage {
            Stage::Starting => Some(self.since + STARTING),
            Stage::CatchingUp => Some(self.since + CATCHING),
            Stage::Warming => Some(self.since + WARMING),
            Stage::Full => None,
        }
    }

    /// What the stage allows.
    pub fn allows(&self) -> Permissions {
        // While its cores are slow, so is the process beside them.
        let gives = if self.stage == Stage::Warming { 0.5 } else { 1.0 };
        Permissions { clients: self.known, gives }
    }

    /// Time passes, and the node stands so; one step at the most.
    pub fn tick(&mut self, now: Time, seen: Conditions) -> Option<Transition> {
        let before = self.before.replace(seen);
        let to = self.falls_back(now, before.as_ref(), &seen);
        if let Some(to) = to {
            return Some(self.go(now, to, TransitionReason::Lost));
        }
        let done = match self.stage {
            Stage::Starting => seen.runs && seen.level,
            Stage::CatchingUp => seen.caught_up,
            Stage::Warming => seen.warm_at.is_none_or(|at| now >= at),
            Stage::Full => return None,
        };
        // Without what runs requests there is nothing to go on to; the platform sees to that.
        let overdue = self.ends().is_some_and(|ends| now >= ends) && seen.runs;
        let why = match (done, overdue) {
            (true, _) => TransitionReason::Done,
            (false, true) => TransitionReason::Overdue,
            (false, false) => return None,
        };
        Some(self.go(now, self.stage.next(), why))
    }

    /// What an earlier stage had and is no longer there sends it back to that.
    fn falls_back(&self, now: Time, before: Option<&Conditions>, seen: &Conditions) -> Option<Stage> {
        let before = before?;
        let cold = |seen: &Conditions| seen.warm_at.filter(|at| now < *at);
        let lost = if before.level && !seen.level {
            Stage::Starting
        } else if before.caught_up && !seen.caught_up {
            Stage::CatchingUp
        } else if cold(before).is_none() && cold(seen).is_some() {
            Stage::Warming
        } else {
            return None;
        };
        (lost < self.stage).then_some(lost)
    }

    fn go(&mut self, now: Time, to: Stage, why: TransitionReason) -> Transition {
        let (from, after) = (self.stage, now.saturating_sub(self.since));
        (self.stage, self.since) = (to, now);
        self.known |= to > Stage::Starting;
        Transition { from, to, why, after }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{Rng, SeedableRng};
    use rand_chacha::ChaCha8Rng;

    const COLD: Conditions = Conditions { runs: false, level: false, caught_up: false, warm_at: None };
    const WARM_AFTER: Duration = Duration::from_secs(8);

    fn at(millis: u64) -> Time {
        Duration::from_millis(millis)
    }

    /// Goes on until nothing more follows; the steps.
    fn steps(way: &mut RecoveryStages, now: Time, seen: Conditions) -> Vec<(Stage, TransitionReason)> {
        std::iter::from_fn(|| way.tick(now, seen)).map(|step| (step.to, step.why)).collect()
    }

    #[test]
    fn a_return_goes_through_every_stage_as_what_each_waits_for_comes() {
        let mut way = RecoveryStages::new(at(0));
        assert!(!way.allows().clients);
        assert_eq!(steps(&mut way, at(10), COLD), []);
        let mut seen = Conditions { level: true, ..COLD };
        assert_eq!(steps(&mut way, at(20), seen), [], "nothing runs requests");
        (seen.runs, seen.warm_at) = (true, Some(at(8000)));
        assert_eq!(steps(&mut way, at(30), seen), [(Stage::CatchingUp, TransitionReason::Done)]);
        assert!(way.allows().clients);
        seen.caught_up = true;
        assert_eq!(steps(&mut way, at(40), seen), [(Stage::Warming, TransitionReason::Done)]);
        assert!(way.allows().gives < 1.0);
        assert_eq!(steps(&mut way, at(7_999), seen), []);
        assert_eq!(steps(&mut way, at(8_000), seen), [(Stage::Full, TransitionReason::Done)]);
        assert_eq!(way.ends(), None);
    }

    #[test]
    fn a_stage_whose_wait_is_for_nothing_ends_by_its_time_and_says_so() {
        let mut way = RecoveryStages::new(at(0));
        let seen = Conditions { runs: true, warm_at: Some(at(1_000_000)), ..COLD };
        assert_eq!(steps(&mut way, at(4_999), seen), []);
        let mut told = Vec::new();
        for now in (5_000..90_000).step_by(50) {
            told.extend(way.tick(at(now), seen).map(|step| (now, step.to, step.why)));
        }
        let overdue = |now, stage| (now, stage, TransitionReason::Overdue);
        let wanted = [
            overdue(5_000, Stage::CatchingUp),
            overdue(10_000, Stage::Warming),
            overdue(70_000, Stage::Full),
        ];
        assert_eq!(told, wanted);
    }

    #[test]
    fn what_is_lost_on_the_way_sends_it_back_to_where_it_is_needed() {
        let there = Conditions { runs: true, level: true, caught_up: true, warm_at: None };
        let mut way = RecoveryStages::new(at(0));
        assert_eq!(steps(&mut way, at(0), there).len(), 3);
        let cold = Conditions { warm_at: Some(at(9_000)), ..there };
        assert_eq!(
            steps(&mut way, at(1_000), cold),
            [(Stage::Warming, TransitionReason::Lost)],
            "its cores started anew"
        );
        let behind = Conditions { caught_up: false, ..cold };
        assert_eq!(steps(&mut way, at(2_000), behind), [(Stage::CatchingUp, TransitionReason::Lost)]);
        let unheard = Conditions { level: false, ..behind };
        assert_eq!(steps(&mut way, at(3_000), unheard), [(Stage::Starting, TransitionReason::Lost)]);
        assert!(way.allows().clients, "who is known stays");
        assert_eq!(steps(&mut way, at(4_000), there).len(), 3, "and back again: it is warm");
    }

    #[test]
    fn who_went_on_without_a_majority_is_not_sent_back_for_not_having_one() {
        let mut way = RecoveryStages::new(at(0));
        let alone = Conditions { runs: true, caught_up: true, ..COLD };
        steps(&mut way, at(0), alone);
        steps(&mut way, at(5_000), alone);
        assert_eq!((way.stage(), steps(&mut way, at(60_000), alone)), (Stage::Full, vec![]));
    }

    /// Whatever happens in whatever order: no stage is left out on the way up, and none lasts longer than its time while
    /// something runs requests.
    #[test]
    fn no_sequence_of_events_leaves_a_stage_out_or_makes_one_last_for_ever() {
        for seed in 0..300 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let (mut now, mut seen) = (at(0), COLD);
            let mut way = RecoveryStages::new(now);
            let mut entered = now;
            for _ in 0..400 {
                now += at(rng.random_range(1..400));
                match rng.random_range(0..12) {
                    0 => seen.level = !seen.level,
                    1 => seen.caught_up = !seen.caught_up,
                    2 => seen.warm_at = Some(now + WARM_AFTER),
                    3 => seen.warm_at = None,
                    _ => seen.runs = true,
                }
                while let Some(step) = way.tick(now, seen) {
                    assert!(step.to == step.from.next() || step.to < step.from, "seed {seed}: {step:?}");
                    assert_eq!(
                        step.why == TransitionReason::Lost,
                        step.to < step.from,
                        "seed {seed}: {step:?}"
                    );
                    entered = now;
                }
                let most = WARMING + at(400);
                assert!(!seen.runs || way.stage() == Stage::Full || now - entered <= most, "seed {seed}");
                assert!(way.ends().is_none_or(|ends| !seen.runs || now < ends), "seed {seed}");
            }
        }
    }
}
