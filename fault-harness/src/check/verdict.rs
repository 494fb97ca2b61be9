//! The report of the checker: the rules (the invariants of a play), the violations of them, and the verdict
//! on a whole history.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::model::Ms;

/// An invariant of a play, named after its violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// An attempt got no answer by its deadline, or one that can't be read.
    Unanswered,
    /// An attempt was answered twice.
    DuplicateAnswer,
    /// An idempotency key ran twice at a node within its window.
    DuplicateRun,
    /// An idempotency key ran twice in the fleet within its window.
    DuplicateRunInFleet,
    /// An attempt was rejected but also ran, before or after the rejection.
    RejectedAndRan,
    /// An attempt ran although it arrived after the grace period of the shutdown notice.
    RunAfterShutdownNotice,
    /// An attempt was served with a result that no run of its key made.
    ForeignResult,
    /// The interpreter received a body, class or reply that differs from what was sent, or a command for a
    /// request that was never sent to its node.
    Corrupted,
    /// A limit was exceeded: memory, descriptors, concurrency on the cores, or the time for a graceful
    /// shutdown.
    LimitExceeded,
    /// The process of a node exited unexpectedly.
    Crashed,
    /// Two nodes held the role of the virtual router for too long, although they could receive each other's
    /// advertisements.
    DualActive,
}

/// One violation of an invariant.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Violation {
    /// Time of the violation.
    pub at: Ms,
    /// The rule that was violated.
    pub rule: Rule,
    /// Description, with the attempt, node and key concerned.
    pub text: String,
}

/// The result of the check of a history.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Verdict {
    /// All violations, in order of time.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// Number of attempts that were written to nodes.
    pub written: usize,
    /// Number of those that got no answer but were exempt, because a fault or a delay of the harness affected
    /// them.
    pub excused: usize,
    /// Number of runs of a key that had already run within its window, at any node, whether or not the
    /// scenario forbids it.
    pub duplicate_runs_in_fleet: usize,
}

impl Verdict {
    /// Number of violations of each rule; rules without violations are left out.
    pub fn by_rule(&self) -> BTreeMap<Rule, usize> {
        let mut counts = BTreeMap::new();
        self.violations.iter().for_each(|violation| *counts.entry(violation.rule).or_default() += 1);
        counts
    }
}

/// Collects violations in the order in which they are found.
#[derive(Debug, Default)]
pub(super) struct Violations(Vec<Violation>);

impl Violations {
    pub(super) fn record(&mut self, at: Ms, rule: Rule, text: String) {
        self.0.push(Violation { at, rule, text });
    }

    /// All violations in order of time; those of the same moment stay in the order in which they were found.
    pub(super) fn into_sorted(mut self) -> Vec<Violation> {
        self.0.sort_by(|earlier, later| earlier.at.total_cmp(&later.at));
        self.0
    }
}
