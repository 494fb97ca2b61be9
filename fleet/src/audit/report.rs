//! The report of an audit. It is also printed as JSON, whose names and structure must not change.

use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;

use super::decision_record::Record;

/// Something whose version a decision depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VersionKind {
    /// The settings, identified by their digest.
    Settings,
    /// The membership configuration, identified by its number.
    #[serde(rename = "list")]
    MembershipConfig,
    /// The program, identified by the version of its build.
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

/// The first use of a version by any node. Serialized as the list `[at, node]`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(into = "(u64, String)")]
pub struct FirstUse {
    /// Unix time in milliseconds.
    pub at: u64,
    /// Name of the node.
    pub node: String,
}

impl From<FirstUse> for (u64, String) {
    fn from(value: FirstUse) -> Self {
        (value.at, value.node)
    }
}

/// The version that replaced another one. Serialized as the list `[at, id]`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(into = "(u64, String)")]
pub struct Replacement {
    /// Unix time in milliseconds at which any node first used the new version.
    pub at: u64,
    /// The new version.
    pub id: String,
}

impl From<Replacement> for (u64, String) {
    fn from(value: Replacement) -> Self {
        (value.at, value.id)
    }
}

/// A span of time. Serialized as the list `[first, last]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(into = "(u64, u64)")]
pub struct TimeSpan {
    /// Unix time of the first record in milliseconds.
    pub first: u64,
    /// Unix time of the last record in milliseconds.
    pub last: u64,
}

impl From<TimeSpan> for (u64, u64) {
    fn from(value: TimeSpan) -> Self {
        (value.first, value.last)
    }
}

/// The use of one version by all nodes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct VersionUse {
    /// What the version is a version of.
    pub kind: VersionKind,
    /// The version: a digest, a number or the version of a build, depending on the kind.
    pub id: String,
    /// The first use by any node.
    pub first: FirstUse,
    /// Unix time in milliseconds of the last use by any node.
    pub last: u64,
    /// Names of the nodes that used the version.
    pub nodes: BTreeSet<String>,
    /// Number of decisions that were made with the version.
    pub decisions: u64,
    /// The version that replaced this one; `None` for the newest.
    pub replaced: Option<Replacement>,
}

/// A node that still used a version after another node had replaced it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Straggler {
    /// Name of the node.
    pub node: String,
    /// What the version is a version of.
    pub kind: VersionKind,
    /// The old version.
    pub id: String,
    /// Time in milliseconds from the first use of the new version on any node to the last use of the old
    /// version on this node.
    pub for_ms: u64,
    /// Number of decisions that the node made with the old version in that time.
    pub decisions: u64,
    /// Whether the node has used a later version since.
    #[serde(rename = "is_level")]
    pub has_updated: bool,
}

/// A run of a request with an idempotency key. Serialized as the list `[at, node, txn]`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(into = "(u64, String, String)")]
pub struct RunRecord {
    /// Unix time in milliseconds at which the run started.
    pub at: u64,
    /// Name of the node.
    pub node: String,
    /// Transaction id of the attempt.
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
    /// The idempotency key, as recorded.
    pub key: String,
    /// All recorded runs of the key in order of time.
    pub runs: Vec<RunRecord>,
}

/// A summary of one node's records.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct JournalSummary {
    /// Name of the node.
    pub node: String,
    /// Number of readable records that the audit covers.
    pub records: usize,
    /// The time that the records span; `None` if there are no records.
    pub span: Option<TimeSpan>,
    /// Number of records that were dropped because the disk was too slow to write them.
    pub dropped: u64,
    /// Number of processes that started and did not record a clean shutdown.
    pub unfinished: usize,
    /// The places at which the hash chain is broken, each with the file, the line and the fault.
    pub breaks: Vec<String>,
}

/// The result of an audit.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// A summary of each node's records.
    pub nodes: Vec<JournalSummary>,
    /// All versions, ordered by kind and then by first use.
    pub versions: Vec<VersionUse>,
    /// Nodes that used an old version for longer than [`AuditOptions::spread_ms`](super::AuditOptions).
    pub stragglers: Vec<Straggler>,
    /// Keys that ran more than once within the idempotency window.
    #[serde(rename = "twice")]
    pub duplicate_runs: Vec<DuplicateRun>,
    /// Attempts that were rejected after their run had started, as `TXN at NODE`.
    #[serde(rename = "refused_and_ran")]
    pub rejected_after_run: Vec<String>,
}

impl Report {
    /// Whether the audit found no fault. A process that was killed is not a fault.
    pub fn is_clean(&self) -> bool {
        let is_intact = |summary: &JournalSummary| summary.breaks.is_empty() && summary.dropped == 0;
        self.nodes.iter().all(is_intact)
            && self.stragglers.is_empty()
            && self.duplicate_runs.is_empty()
            && self.rejected_after_run.is_empty()
    }
}

/// A record and the node that made it. Serialized as the list `[node, record]`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(into = "(&'a str, &'a Record)")]
pub struct NodeRecord<'a> {
    /// Name of the node.
    pub node: &'a str,
    /// The record from the decision log of the node.
    pub record: &'a Record,
}

impl<'a> From<NodeRecord<'a>> for (&'a str, &'a Record) {
    fn from(value: NodeRecord<'a>) -> Self {
        (value.node, value.record)
    }
}
