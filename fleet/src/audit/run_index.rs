//! An index of the runs and rejections that all nodes recorded, which finds duplicate runs of a key and
//! rejections after a run.

use std::collections::{BTreeMap, BTreeSet};

use super::decision_record::{Decision, Journal, Record};
use super::report::{DuplicateRun, RunRecord};
use super::AuditOptions;

/// An attempt, identified by its node and its transaction id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct NodeAttempt<'a> {
    node: &'a str,
    txn: &'a str,
}

/// The recorded runs and rejections of all nodes.
#[derive(Default)]
pub(super) struct RunIndex<'a> {
    runs_by_key: BTreeMap<&'a str, Vec<RunRecord>>,
    /// Attempts whose run has started.
    ran: BTreeSet<NodeAttempt<'a>>,
    rejected: Vec<NodeAttempt<'a>>,
}

impl<'a> RunIndex<'a> {
    /// Indexes the records that the audit covers.
    pub(super) fn new(journals: &'a [Journal], options: &'a AuditOptions) -> RunIndex<'a> {
        let mut index = RunIndex::default();
        for journal in journals {
            for record in options.records(journal) {
                index.add(&journal.node, record);
            }
        }
        index
    }

    fn add(&mut self, node: &'a str, record: &'a Record) {
        let Record::Attempt { at, decision, txn, key, .. } = record else { return };
        match decision {
            Decision::Run => {
                self.ran.insert(NodeAttempt { node, txn });
                if let Some(key) = key {
                    let run = RunRecord { at: *at, node: node.into(), txn: txn.clone() };
                    self.runs_by_key.entry(key).or_default().push(run);
                }
            }
            Decision::NeverStarted => {
                self.ran.remove(&NodeAttempt { node, txn });
                if let Some(runs) = key.as_deref().and_then(|key| self.runs_by_key.get_mut(key)) {
                    runs.retain(|run| run.node != node || run.txn != *txn);
                }
            }
            Decision::Rejected => self.rejected.push(NodeAttempt { node, txn }),
            Decision::Served | Decision::Failed => {}
        }
    }

    /// Returns the keys of which two runs started less than `window_ms` apart.
    pub(super) fn duplicate_runs(&self, window_ms: u64) -> Vec<DuplicateRun> {
        let duplicates = self.runs_by_key.iter().filter_map(|(key, runs)| {
            let mut runs = runs.clone();
            runs.sort();
            let is_duplicate = runs.windows(2).any(|pair| pair[1].at - pair[0].at < window_ms);
            is_duplicate.then(|| DuplicateRun { key: (*key).into(), runs })
        });
        duplicates.collect()
    }

    /// Returns the attempts that were rejected and whose run had started, as `TXN at NODE`.
    pub(super) fn rejected_after_run(&self) -> Vec<String> {
        let ran = self.rejected.iter().filter(|attempt| self.ran.contains(*attempt));
        ran.map(|NodeAttempt { node, txn }| format!("{txn} at {node}")).collect()
    }
}
