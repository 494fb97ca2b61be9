//! The stages of a node's recovery: the condition that completes each stage, the loss of a condition that
//! returns the node to an earlier stage, and the permissions in each stage.
//!
//! The node passes through every stage. If the condition of a stage is not met in time, the stage times out
//! and the timeout is reported, so that a node with a running backend always reaches the last stage.

use std::fmt;
use std::time::Duration;

use crate::Time;

/// Time after which a node that hears no majority continues without one, because requests that are safe to
/// repeat need no quorum.
const STARTING_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time for which catching up delays the later stages; it continues during them.
const CATCHING_UP_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which the backend counts as warm regardless of what it reports.
const WARMING_TIMEOUT: Duration = Duration::from_secs(60);
/// Fraction of the usual rate at which a node serves state transfers to other nodes while its backend warms
/// up, because the cold cores slow down both.
const WARMING_DONOR_RATE: f64 = 0.5;

/// A stage of recovery, in order. The metrics report the number of the stage, so the order must not change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// The node waits until its backend runs and a majority of the members is heard.
    Starting,
    /// The node waits for the transfer of state that it missed.
    CatchingUp,
    /// The node waits until the backend's cores are warm.
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
    /// Whether the backend runs.
    pub backend_running: bool,
    /// Whether a majority of the members is heard.
    pub has_quorum: bool,
    /// Whether all live donors have sent their tables or the node missed no state.
    pub caught_up: bool,
    /// When the backend's cores are warm; `None` if they did not start cold.
    pub warm_at: Option<Time>,
}

impl Conditions {
    fn is_cold(&self, now: Time) -> bool {
        self.warm_at.is_some_and(|warm_at| now < warm_at)
    }
}

/// The reason for the end of a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransitionReason {
    /// The condition of the stage is met.
    Completed,
    /// The stage timed out before its condition was met.
    TimedOut,
    /// The condition of an earlier stage is no longer met.
    ConditionLost,
}

/// A change of stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transition {
    /// The stage that ended.
    pub from: Stage,
    /// The stage that begins.
    pub to: Stage,
    /// The reason for the end of the previous stage.
    pub reason: TransitionReason,
    /// Duration of the stage that ended.
    pub elapsed: Duration,
}

impl fmt::Display for Transition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Transition { from, to, reason, elapsed } = self;
        let reason = match (reason, from) {
            (TransitionReason::Completed, _) => "",
            (TransitionReason::TimedOut, Stage::Starting) => ": timed out without a quorum",
            (TransitionReason::TimedOut, Stage::CatchingUp) => ": timed out before the node had caught up",
            (TransitionReason::TimedOut, _) => ": timed out while the backend was cold",
            (TransitionReason::ConditionLost, _) => ": the condition of an earlier stage is no longer met",
        };
        write!(f, "stage={to} previous={from} after_ms={}{reason}", elapsed.as_millis())
    }
}

/// The permissions of a node in a stage.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Permissions {
    /// Whether the node registers itself with the membership service and passes health checks, so that
    /// clients connect. A node that returns to an earlier stage keeps its clients, because requests that are
    /// safe to repeat still run.
    pub accept_clients: bool,
    /// Fraction of the usual rate at which the node serves state transfers to other nodes, from 0 to 1.
    pub donor_rate: f64,
}

/// The state of one node's recovery.
#[derive(Debug, Clone)]
pub struct RecoveryStages {
    stage: Stage,
    entered_at: Time,
    /// The conditions at the previous tick.
    previous: Option<Conditions>,
    /// Whether the first stage has ended once, after which clients may be connected.
    accepts_clients: bool,
}

impl RecoveryStages {
    /// Creates the state of a node that starts now, in the first stage.
    pub fn new(now: Time) -> RecoveryStages {
        RecoveryStages { stage: Stage::Starting, entered_at: now, previous: None, accepts_clients: false }
    }

    /// Returns the current stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns when the current stage times out; `None` for the last stage.
    pub fn deadline(&self) -> Option<Time> {
        match self.stage {
            Stage::Starting => Some(self.entered_at + STARTING_TIMEOUT),
            Stage::CatchingUp => Some(self.entered_at + CATCHING_UP_TIMEOUT),
            Stage::Warming => Some(self.entered_at + WARMING_TIMEOUT),
            Stage::Full => None,
        }
    }

    /// Returns the permissions in the current stage.
    pub fn permissions(&self) -> Permissions {
        let donor_rate = if self.stage == Stage::Warming { WARMING_DONOR_RATE } else { 1.0 };
        Permissions { accept_clients: self.accepts_clients, donor_rate }
    }

    /// Advances the time. Returns the transition if the stage changes. The caller must then call this again,
    /// because the condition of the new stage may be met already.
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
        // A stage does not time out without a backend, which the platform restarts, because the node can't
        // run requests anyway.
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

    /// Returns the earlier stage to which the node returns, if the condition of that stage was met at the
    /// previous tick and is no longer met.
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
