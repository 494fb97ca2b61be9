//! The stages in which a node recovers: what completes each stage, what sends the node back to an earlier
//! one, and what the node is permitted in each.
//!
//! No stage is skipped and none lasts for ever: if what it waits for does not come, it times out, and that
//! is reported.

use std::fmt;
use std::time::Duration;

use crate::Time;

/// A node that hears no majority continues without one after this: requests that are safe to repeat need
/// none.
const STARTING_TIMEOUT: Duration = Duration::from_secs(5);
/// Catching up continues during later stages, but delays them no longer than this.
const CATCHING_UP_TIMEOUT: Duration = Duration::from_secs(5);
/// The backend counts as warm after this, whatever it reports.
const WARMING_TIMEOUT: Duration = Duration::from_secs(60);
/// The fraction of the usual rate at which a node serves donors' requests while its backend warms up: the
/// cores are slow for both.
const WARMING_DONOR_RATE: f64 = 0.5;

/// A stage of recovery, the earliest first. Its number is part of the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// The backend does not run yet, or no majority of the members is heard.
    Starting,
    /// State that the node missed is still to be transferred.
    CatchingUp,
    /// The backend's cores are cold.
    Warming,
    /// The node has recovered.
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
            Stage::CatchingUp => "catching_up",
            Stage::Warming => "warming",
            Stage::Full => "full",
        })
    }
}

/// The conditions that the stages depend on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Conditions {
    /// A backend runs requests.
    pub backend_running: bool,
    /// A majority of the members is heard.
    pub has_quorum: bool,
    /// All donors that are alive have sent their tables, or nothing was missed.
    pub caught_up: bool,
    /// When the backend's cores are warm, if they started cold.
    pub warm_at: Option<Time>,
}

impl Conditions {
    fn is_cold(&self, now: Time) -> bool {
        self.warm_at.is_some_and(|warm_at| now < warm_at)
    }
}

/// Why a stage ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransitionReason {
    /// Its condition is met.
    Completed,
    /// Its condition is not met, and it has timed out.
    TimedOut,
    /// The condition of an earlier stage is not met any more.
    ConditionLost,
}

/// A change of stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transition {
    /// The stage that ended.
    pub from: Stage,
    /// The stage that begins.
    pub to: Stage,
    /// Why.
    pub reason: TransitionReason,
    /// How long the stage lasted that ended.
    pub elapsed: Duration,
}

impl fmt::Display for Transition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Transition { from, to, reason, elapsed } = self;
        let reason = match (reason, from) {
            (TransitionReason::Completed, _) => "",
            (TransitionReason::TimedOut, Stage::Starting) => ": timed out without a quorum",
            (TransitionReason::TimedOut, Stage::CatchingUp) => ": timed out before it had caught up",
            (TransitionReason::TimedOut, _) => ": timed out while the backend was cold",
            (TransitionReason::ConditionLost, _) => ": its condition was lost",
        };
        write!(f, "stage={to} previous={from} after_ms={}{reason}", elapsed.as_millis())
    }
}

/// What a node is permitted in a stage.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Permissions {
    /// It reports itself to the membership service and passes health checks, so that clients connect. A
    /// node that fell back to an earlier stage keeps its clients, as requests that are safe to repeat still
    /// run.
    pub accept_clients: bool,
    /// The fraction of the usual rate at which it serves other nodes that catch up.
    pub donor_rate: f64,
}

/// The recovery of one node.
#[derive(Debug, Clone)]
pub struct RecoveryStages {
    stage: Stage,
    entered_at: Time,
    previous: Option<Conditions>,
    /// The first stage has ended once: clients know the node.
    accepts_clients: bool,
}

impl RecoveryStages {
    /// Creates the stages of a node that starts now.
    pub fn new(now: Time) -> RecoveryStages {
        RecoveryStages { stage: Stage::Starting, entered_at: now, previous: None, accepts_clients: false }
    }

    /// Returns the current stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns when the stage ends at the latest; none for the last.
    pub fn deadline(&self) -> Option<Time> {
        match self.stage {
            Stage::Starting => Some(self.entered_at + STARTING_TIMEOUT),
            Stage::CatchingUp => Some(self.entered_at + CATCHING_UP_TIMEOUT),
            Stage::Warming => Some(self.entered_at + WARMING_TIMEOUT),
            Stage::Full => None,
        }
    }

    /// Returns what the node is permitted in the current stage.
    pub fn permissions(&self) -> Permissions {
        let donor_rate = if self.stage == Stage::Warming { WARMING_DONOR_RATE } else { 1.0 };
        Permissions { accept_clients: self.accepts_clients, donor_rate }
    }

    /// Advances the time. Returns the transition if the stage changes; call it again then, as it may change
    /// once more.
    pub fn tick(&mut self, now: Time, conditions: Conditions) -> Option<Transition> {
        let previous = self.previous.replace(conditions);
        if let Some(to) = self.lost_condition(now, previous.as_ref(), &conditions) {
            return Some(self.enter(now, to, TransitionReason::ConditionLost));
        }
        let is_complete = match self.stage {
            Stage::Starting => conditions.backend_running && conditions.has_quorum,
            Stage::CatchingUp => conditions.caught_up,
            Stage::Warming => !conditions.is_cold(now),
            Stage::Full => return None,
        };
        // Without a backend there is nothing to recover for; the platform restarts it.
        let has_timed_out =
            self.deadline().is_some_and(|deadline| now >= deadline) && conditions.backend_running;
        if is_complete {
            Some(self.enter(now, self.stage.next(), TransitionReason::Completed))
        } else if has_timed_out {
            Some(self.enter(now, self.stage.next(), TransitionReason::TimedOut))
        } else {
            None
        }
    }

    /// Returns the earlier stage that the node falls back to, if the condition of that stage was met and is
    /// not any more.
    fn lost_condition(
        &self,
        now: Time,
        previous: Option<&Conditions>,
        conditions: &Conditions,
    ) -> Option<Stage> {
        let previous = previous?;
        let stage = if previous.has_quorum && !conditions.has_quorum {
            Stage::Starting
        } else if previous.caught_up && !conditions.caught_up {
            Stage::CatchingUp
        } else if !previous.is_cold(now) && conditions.is_cold(now) {
            Stage::Warming
        } else {
            return None;
        };
        (stage < self.stage).then_some(stage)
    }

    fn enter(&mut self, now: Time, to: Stage, reason: TransitionReason) -> Transition {
        let from = self.stage;
        let elapsed = now.saturating_sub(self.entered_at);
        self.stage = to;
        self.entered_at = now;
        self.accepts_clients |= to > Stage::Starting;
        Transition { from, to, reason, elapsed }
    }
}

#[cfg(test)]
mod tests;
