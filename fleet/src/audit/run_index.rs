//! The runs and rejections of all nodes, by key and by attempt.

use std::collections::{BTreeMap, BTreeSet};

use super::decision_record::{Decision, Journal, Record};
use super::report::{DuplicateRun, RunRecord};
use super::AuditOptions;

/// An attempt at one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct NodeAttempt<'a> {
    node: &'a str,
    txn: &'a str,
}

/// The runs and rejections of all nodes.
#[derive(Default)]
pub(super) struct RunIndex<'a> {
    by_key: BTreeMap<&'a str, Vec<RunRecord>>,
    ran: BTreeSet<NodeAttempt<'a>>,
    rejected: Vec<NodeAttempt<'a>>,
}

impl<'a> RunIndex<'a> {
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
                    self.by_key.entry(key).or_default().push(run);
                }
            }
            Decision::NeverStarted => {
                self.ran.remove(&NodeAttempt { node, txn });
                if let Some(runs) = key.as_deref().and_then(|key| self.by_key.get_mut(key)) {
                    runs.retain(|run| run.node != node || run.txn != *txn);
                }
            }
            Decision::Rejected => self.rejected.push(NodeAttempt { node, txn }),
            Decision::Served | Decision::Failed => {}
        }
    }

    pub(super) fn duplicate_runs(&self, window_ms: u64) -> Vec<DuplicateRun> {
        let duplicates = self.by_key.iter().filter_map(|(key, runs)| {
            let mut runs = runs.clone();
            runs.sort();
            let is_duplicate = runs.windows(2).any(|pair| pair[1].at - pair[0].at < window_ms);
            is_duplicate.then(|| DuplicateRun { key: (*key).into(), runs })
        });
        duplicates.collect()
    }

    pub(super) fn rejected_after_run(&self) -> Vec<String> {
        let ran = self.rejected.iter().filter(|attempt| self.ran.contains(*attempt));
        ran.map(|NodeAttempt { node, txn }| format!("{txn} at {node}")).collect()
    }
}
