//! Checks the invariants (rules) that every play must keep, as a function of its history. Each rule has a
//! test with a history that violates it.
//!
//! An attempt is exempt from the rule that it gets an answer if, at some moment between its writing and its
//! deadline, its node was killed or paused, its link was disturbed by a fault, or the harness itself ran
//! late.

mod answers;
mod attempts;
mod exemptions;
mod processes;
mod router;
mod runs;
mod verdict;

pub use verdict::{Rule, Verdict, Violation};

use attempts::Attempts;
use exemptions::Exemptions;
use processes::ExceededLimits;
use router::RouterRoles;
use runs::Runs;
use verdict::Violations;

use crate::history::{Event, History, RuleParameters};
use crate::model::Ms;

/// Checks a history and returns all violations in it.
pub fn check(history: &History) -> Verdict {
    let mut checker = Checker::new(&history.parameters);
    for observation in &history.observations {
        checker.observe(observation.at, &observation.event);
    }
    checker.finish(history.observations.last().map_or(0.0, |last| last.at))
}

/// The state of a check. Rules that need several parts of the state are methods of `Checker`, grouped into
/// one module for each kind of rule; the others are types with an `observe` method.
struct Checker<'a> {
    parameters: &'a RuleParameters,
    violations: Violations,
    attempts: Attempts,
    runs: Runs,
    exemptions: Exemptions,
    exceeded_limits: ExceededLimits,
    router: RouterRoles,
}

impl<'a> Checker<'a> {
    fn new(parameters: &'a RuleParameters) -> Self {
        Checker {
            parameters,
            violations: Violations::default(),
            attempts: Attempts::default(),
            runs: Runs::default(),
            exemptions: Exemptions::default(),
            exceeded_limits: ExceededLimits::default(),
            router: RouterRoles::default(),
        }
    }

    /// Passes an event to all rules. No two of them depend on each other for the same event; their order only
    /// determines the order of violations found at the same moment.
    fn observe(&mut self, at: Ms, event: &Event) {
        self.exemptions.observe(at, event);
        self.attempts.observe(at, event);
        self.observe_answer(at, event);
        self.observe_run(at, event);
        self.observe_process(at, event);
        self.router.observe(at, event, self.parameters.max_dual_active, &mut self.violations);
    }

    fn finish(mut self, end: Ms) -> Verdict {
        let exempt = self.check_unanswered(end);
        Verdict {
            written: self.attempts.len(),
            excused: exempt,
            duplicate_runs_in_fleet: self.runs.duplicate_runs_in_fleet,
            violations: self.violations.into_sorted(),
        }
    }
}

#[cfg(test)]
mod tests;
