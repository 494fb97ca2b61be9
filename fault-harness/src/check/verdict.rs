//! What the checker reports: the rules (the invariants of a play), each violation of one, and the verdict on a whole history.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::model::Ms;

/// An invariant, named by what violates it.
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
    /// An attempt was rejected that had run, or that runs later.
    RejectedAndRan,
    /// An attempt ran that came after the shutdown notice and its grace period.
    RunAfterShutdownNotice,
    /// An attempt was served with a result that no run of its key made.
    ForeignResult,
    /// What reached the interpreter differs from what was sent.
    Corrupted,
    /// A limit was exceeded: memory, descriptors, concurrency on the cores, or the time for a graceful shutdown.
    LimitExceeded,
    /// The program exited unexpectedly.
    Crashed,
    /// Two nodes had the role of the virtual router for too long, though they could receive each other's advertisements.
    DualActive,
}

/// One violation of an invariant.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Violation {
    /// When the rule was broken.
    pub at: Ms,
    /// Which rule.
    pub rule: Rule,
    /// What happened, with the attempt, the node and the key.
    pub text: String,
}

/// What the checker found.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Verdict {
    /// Every violation, by time.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// Attempts written to nodes.
    pub written: usize,
    /// Those among them that were exempt from an answer, since a fault or a delay of the harness affected them.
    pub excused: usize,
    /// Runs of a key that had already run within its window, at any node, whether or not the scenario forbids it.
    pub duplicate_runs_in_fleet: usize,
}

impl Verdict {
    /// How often each rule was broken.
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
    /// Records a violation.
    pub(super) fn record(&mut self, at: Ms, rule: Rule, text: String) {
        self.0.push(Violation { at, rule, text });
    }

    /// All violations by time; those of one moment stay in the order in which they were found.
    pub(super) fn into_sorted(mut self) -> Vec<Violation> {
        self.0.sort_by(|earlier, later| earlier.at.total_cmp(&later.at));
        self.0
    }
}
