//! Audits the records of all nodes: which versions they decided by, which nodes used an old version for too
//! long, which keys ran twice, and where records are missing.
//!
//! Records come in, a report goes out. The report is also printed as JSON; the names in it must not change.

pub mod decision_record;
pub mod hash_chain;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;

use self::decision_record::{Decision, FileBreak, Journal, Record, Versions};

/// A kind of version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VersionKind {
    /// Of the settings.
    Settings,
    /// Of the membership configuration.
    #[serde(rename = "list")]
    MembershipConfig,
    /// Of the program.
    Program,
}

impl fmt::Display for VersionKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            VersionKind::Settings => "Settings",
            VersionKind::MembershipConfig => "List",
            VersionKind::Program => "Program",
        })
    }
}

/// How a version was used.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct VersionUse {
    /// The kind of version.
    pub kind: VersionKind,
    /// The version: a digest, a number or the version of a build.
    pub id: String,
    /// When a node first decided by it, in Unix milliseconds, and which.
    pub first: (u64, String),
    /// When a node last decided by it, in Unix milliseconds.
    pub last: u64,
    /// The nodes that decided by it.
    pub nodes: BTreeSet<String>,
    /// The number of decisions by it.
    pub decisions: u64,
    /// When the next version was first used, in Unix milliseconds, and that version.
    pub replaced: Option<(u64, String)>,
}

/// A node that decided by a version after another one had replaced it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Straggler {
    /// The node.
    pub node: String,
    /// The kind of version.
    pub kind: VersionKind,
    /// The old version.
    pub id: String,
    /// For how long after the version was replaced on any node, in milliseconds.
    pub for_ms: u64,
    /// The number of decisions in that time.
    pub decisions: u64,
    /// Whether the node has used a later version since.
    #[serde(rename = "is_level")]
    pub has_updated: bool,
}

/// A run of a key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(into = "(u64, String, String)")]
pub struct RunRecord {
    /// When it started, in Unix milliseconds.
    pub at: u64,
    /// The node.
    pub node: String,
    /// The attempt's transaction id.
    pub txn: String,
}

impl From<RunRecord> for (u64, String, String) {
    fn from(run: RunRecord) -> Self {
        (run.at, run.node, run.txn)
    }
}

/// A key that ran more than once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DuplicateRun {
    /// The key.
    pub key: String,
    /// Its runs, in order.
    pub runs: Vec<RunRecord>,
}

/// A summary of one node's records.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct JournalSummary {
    /// The node.
    pub node: String,
    /// The number of records that could be read.
    pub records: usize,
    /// When the first and the last of them were made, in Unix milliseconds.
    pub span: Option<(u64, u64)>,
    /// The number of records that were dropped, as the disk was slow.
    pub dropped: u64,
    /// The number of processes that ended without recording that.
    pub unfinished: usize,
    /// Where the chain of the records is broken.
    pub breaks: Vec<String>,
}

/// The result of an audit.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// A summary of each node's records.
    pub nodes: Vec<JournalSummary>,
    /// All versions, by kind and then by when they were first used.
    pub versions: Vec<VersionUse>,
    /// Nodes that used an old version for longer than was allowed.
    pub stragglers: Vec<Straggler>,
    /// Keys that ran more than once within their window.
    #[serde(rename = "twice")]
    pub duplicate_runs: Vec<DuplicateRun>,
    /// Attempts that were rejected though they had run.
    #[serde(rename = "refused_and_ran")]
    pub rejected_after_run: Vec<String>,
}

impl Report {
    /// Whether nothing is wrong. That a process was killed is not.
    pub fn is_clean(&self) -> bool {
        let is_intact = |summary: &JournalSummary| summary.breaks.is_empty() && summary.dropped == 0;
        self.nodes.iter().all(is_intact)
            && self.stragglers.is_empty()
            && self.duplicate_runs.is_empty()
            && self.rejected_after_run.is_empty()
    }
}

/// What an audit covers, and what it allows.
#[derive(Debug, Clone, Copy)]
pub struct AuditOptions {
    /// Earlier records are left out, in Unix milliseconds.
    pub from: u64,
    /// Later records are left out, in Unix milliseconds.
    pub until: u64,
    /// For how long an old version may be used after it was replaced, in milliseconds.
    pub spread_ms: u64,
    /// The idempotency window in milliseconds: a run after that is another request's.
    pub window_ms: u64,
}

impl AuditOptions {
    fn covers(&self, record: &Record) -> bool {
        (self.from..=self.until).contains(&record.at())
    }

    /// The records of a journal that the audit covers.
    fn records<'a>(&'a self, journal: &'a Journal) -> impl Iterator<Item = &'a Record> {
        journal.records.iter().filter(|record| self.covers(record))
    }
}

/// Audits the records of all nodes.
pub fn audit(journals: &[Journal], options: &AuditOptions) -> Report {
    let versions = version_uses(journals, options);
    let mut stragglers: Vec<Straggler> =
        journals.iter().flat_map(|journal| find_stragglers(journal, &versions, options)).collect();
    stragglers.sort();
    let runs = RunIndex::new(journals, options);
    Report {
        nodes: journals.iter().map(|journal| summarize(journal, options)).collect(),
        versions,
        stragglers,
        duplicate_runs: runs.duplicate_runs(options.window_ms),
        rejected_after_run: runs.rejected_after_run(),
    }
}

fn summarize(journal: &Journal, options: &AuditOptions) -> JournalSummary {
    let records = || options.records(journal);
    let dropped = |record: &Record| if let Record::Dropped { count, .. } = record { *count } else { 0 };
    // A process that started before the audited time may have stopped within it.
    let is_start = |record: &&Record| matches!(record, Record::ProcessStarted { .. });
    let is_stop = |record: &&Record| matches!(record, Record::ProcessStopped { .. });
    let started = journal.records.iter().filter(is_start).count();
    let stopped = journal.records.iter().filter(is_stop).count();
    let in_file = |broken: &FileBreak| format!("{}, {}", broken.file, broken.chain_break);
    JournalSummary {
        node: journal.node.clone(),
        records: records().count(),
        span: records().map(Record::at).min().zip(records().map(Record::at).max()),
        dropped: records().map(dropped).sum(),
        unfinished: started.saturating_sub(stopped),
        breaks: journal.breaks.iter().map(in_file).collect(),
    }
}

fn versions_by_kind(versions: &Versions) -> [(VersionKind, String); 3] {
    [
        (VersionKind::Settings, versions.settings.clone()),
        (VersionKind::MembershipConfig, versions.config.to_string()),
        (VersionKind::Program, versions.program.clone()),
    ]
}

fn version_uses(journals: &[Journal], options: &AuditOptions) -> Vec<VersionUse> {
    let mut uses: BTreeMap<(VersionKind, String), VersionUse> = BTreeMap::new();
    for journal in journals {
        for record in options.records(journal) {
            let Some(versions) = record.versions() else { continue };
            for (kind, id) in versions_by_kind(versions) {
                let first_use = || VersionUse {
                    kind,
                    id: id.clone(),
                    first: (record.at(), journal.node.clone()),
                    last: record.at(),
                    nodes: BTreeSet::new(),
                    decisions: 0,
                    replaced: None,
                };
                uses.entry((kind, id.clone())).or_insert_with(first_use).add(record, &journal.node);
            }
        }
    }
    let mut uses: Vec<VersionUse> = uses.into_values().collect();
    uses.sort_by(|a, b| (a.kind, a.first.0, &a.id).cmp(&(b.kind, b.first.0, &b.id)));
    for next in 1..uses.len() {
        if uses[next - 1].kind == uses[next].kind {
            uses[next - 1].replaced = Some((uses[next].first.0, uses[next].id.clone()));
        }
    }
    uses
}

impl VersionUse {
    fn add(&mut self, record: &Record, node: &str) {
        let at = record.at();
        if at < self.first.0 {
            self.first = (at, node.into());
        }
        self.last = self.last.max(at);
        self.nodes.insert(node.into());
        self.decisions += u64::from(matches!(record, Record::Attempt { .. }));
    }
}

/// Finds the old versions that a node used. A node that returned to an older version on purpose looks the
/// same.
fn find_stragglers(journal: &Journal, versions: &[VersionUse], options: &AuditOptions) -> Vec<Straggler> {
    let find = |kind: VersionKind, id: &str| versions.iter().find(|use_| use_.kind == kind && use_.id == id);
    let mut found: BTreeMap<(VersionKind, String), Straggler> = BTreeMap::new();
    // When the version that the node used last was first used on any node.
    let mut last_used: BTreeMap<VersionKind, u64> = BTreeMap::new();
    for record in options.records(journal) {
        let Some(versions) = record.versions() else { continue };
        for (kind, id) in versions_by_kind(versions) {
            let Some(version) = find(kind, &id) else { continue };
            last_used.insert(kind, version.first.0);
            let Some((replaced_at, _)) = version.replaced else { continue };
            if record.at() < replaced_at {
                continue;
            }
            let node = journal.node.clone();
            let straggler = found.entry((kind, id.clone())).or_insert_with(|| Straggler {
                node,
                kind,
                id,
                for_ms: 0,
                decisions: 0,
                has_updated: false,
            });
            straggler.for_ms = straggler.for_ms.max(record.at() - replaced_at);
            straggler.decisions += u64::from(matches!(record, Record::Attempt { .. }));
        }
    }
    let mut found: Vec<Straggler> =
        found.into_values().filter(|straggler| straggler.for_ms > options.spread_ms).collect();
    for straggler in &mut found {
        let first_used = find(straggler.kind, &straggler.id).map_or(0, |version| version.first.0);
        straggler.has_updated = last_used.get(&straggler.kind).is_some_and(|last| *last > first_used);
    }
    found
}

/// An attempt of one node.
type NodeAttempt<'a> = (&'a str, &'a str);

/// The runs and rejections of all nodes.
#[derive(Default)]
struct RunIndex<'a> {
    by_key: BTreeMap<&'a str, Vec<RunRecord>>,
    ran: BTreeSet<NodeAttempt<'a>>,
    rejected: Vec<NodeAttempt<'a>>,
}

impl<'a> RunIndex<'a> {
    fn new(journals: &'a [Journal], options: &'a AuditOptions) -> RunIndex<'a> {
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
                self.ran.insert((node, txn));
                if let Some(key) = key {
                    let run = RunRecord { at: *at, node: node.into(), txn: txn.clone() };
                    self.by_key.entry(key).or_default().push(run);
                }
            }
            Decision::NeverStarted => {
                self.ran.remove(&(node, txn.as_str()));
                if let Some(runs) = key.as_deref().and_then(|key| self.by_key.get_mut(key)) {
                    runs.retain(|run| run.node != node || run.txn != *txn);
                }
            }
            Decision::Rejected => self.rejected.push((node, txn)),
            Decision::Served | Decision::Failed => {}
        }
    }

    fn duplicate_runs(&self, window_ms: u64) -> Vec<DuplicateRun> {
        let duplicates = self.by_key.iter().filter_map(|(key, runs)| {
            let mut runs = runs.clone();
            runs.sort();
            let is_duplicate = runs.windows(2).any(|pair| pair[1].at - pair[0].at < window_ms);
            is_duplicate.then(|| DuplicateRun { key: (*key).into(), runs })
        });
        duplicates.collect()
    }

    fn rejected_after_run(&self) -> Vec<String> {
        let ran = self.rejected.iter().filter(|attempt| self.ran.contains(*attempt));
        ran.map(|(node, txn)| format!("{txn} at {node}")).collect()
    }
}

/// Returns what every node recorded of a transaction id or a key, in order: the node and the record.
pub fn explain<'a>(journals: &'a [Journal], txn_or_key: &str) -> Vec<(&'a str, &'a Record)> {
    let is_about = |record: &Record| match record {
        Record::Attempt { txn, key, .. } => txn == txn_or_key || key.as_deref() == Some(txn_or_key),
        _ => false,
    };
    let mut found: Vec<(&str, &Record)> = journals
        .iter()
        .flat_map(|journal| journal.records.iter().map(|record| (journal.node.as_str(), record)))
        .filter(|(_, record)| is_about(record))
        .collect();
    // The sort is stable, and within one node the records are in order already.
    found.sort_by_key(|(_, record)| record.at());
    found
}

#[cfg(test)]
mod tests;
