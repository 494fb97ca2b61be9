//! What an audit reports. The report is also printed as JSON; the names and forms in it must not change.

use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;

use super::decision_record::Record;

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

/// The first decision of any node by a version. In JSON it is a list of both.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(into = "(u64, String)")]
pub struct FirstUse {
    /// When, in Unix milliseconds.
    pub at: u64,
    /// The node.
    pub node: String,
}

impl From<FirstUse> for (u64, String) {
    fn from(value: FirstUse) -> Self {
        (value.at, value.node)
    }
}

/// The version that replaced another one. In JSON it is a list of both.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(into = "(u64, String)")]
pub struct Replacement {
    /// When it was first used, in Unix milliseconds.
    pub at: u64,
    /// The version.
    pub id: String,
}

impl From<Replacement> for (u64, String) {
    fn from(value: Replacement) -> Self {
        (value.at, value.id)
    }
}

/// A span of time, in Unix milliseconds. In JSON it is a list of both ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(into = "(u64, u64)")]
pub struct TimeSpan {
    /// The first instant.
    pub first: u64,
    /// The last instant.
    pub last: u64,
}

impl From<TimeSpan> for (u64, u64) {
    fn from(value: TimeSpan) -> Self {
        (value.first, value.last)
    }
}

/// How a version was used.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct VersionUse {
    /// The kind of version.
    pub kind: VersionKind,
    /// The version: a digest, a number or the version of a build.
    pub id: String,
    /// The first decision by it.
    pub first: FirstUse,
    /// When a node last decided by it, in Unix milliseconds.
    pub last: u64,
    /// The nodes that decided by it.
    pub nodes: BTreeSet<String>,
    /// The number of decisions by it.
    pub decisions: u64,
    /// The version that came after it, if there is one.
    pub replaced: Option<Replacement>,
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
    /// When they were made; none if there are none.
    pub span: Option<TimeSpan>,
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

/// A record, and the node that made it. In JSON it is a list of both.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(into = "(&'a str, &'a Record)")]
pub struct NodeRecord<'a> {
    /// The node.
    pub node: &'a str,
    /// The record.
    pub record: &'a Record,
}

impl<'a> From<NodeRecord<'a>> for (&'a str, &'a Record) {
    fn from(value: NodeRecord<'a>) -> Self {
        (value.node, value.record)
    }
}
