//! Audits the decision records of all nodes. The [`Report`] lists the versions that the nodes used, nodes
//! that used a replaced version for too long, keys that ran twice, and missing or changed records.

pub mod decision_record;
pub mod hash_chain;
mod report;
mod run_index;
mod versions;

use self::decision_record::{FileBreak, Journal, Record};
use self::run_index::RunIndex;
use self::versions::{find_stragglers, version_uses};

pub use report::{
    DuplicateRun, FirstUse, JournalSummary, NodeRecord, Replacement, Report, RunRecord, Straggler, TimeSpan,
    VersionKind, VersionUse,
};

/// The period that an audit covers, and its limits.
#[derive(Debug, Clone, Copy)]
pub struct AuditOptions {
    /// Start of the period in Unix milliseconds, inclusive; earlier records are ignored.
    pub from: u64,
    /// End of the period in Unix milliseconds, inclusive; later records are ignored.
    pub until: u64,
    /// Time in milliseconds for which a node may use a version after any node has replaced it.
    pub spread_ms: u64,
    /// Idempotency window in milliseconds; a later run of the same key belongs to another request.
    pub window_ms: u64,
}

impl AuditOptions {
    fn covers(&self, record: &Record) -> bool {
        (self.from..=self.until).contains(&record.at())
    }

    /// Returns the records of a journal that the audit covers.
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
    // Starts and stops are counted over the whole journal, because a process that started before the audited
    // period may have stopped within it.
    let is_start = |record: &&Record| matches!(record, Record::ProcessStarted { .. });
    let is_stop = |record: &&Record| matches!(record, Record::ProcessStopped { .. });
    let started = journal.records.iter().filter(is_start).count();
    let stopped = journal.records.iter().filter(is_stop).count();
    let in_file = |broken: &FileBreak| format!("{}, {}", broken.file, broken.chain_break);
    JournalSummary {
        node: journal.node.clone(),
        records: records().count(),
        span: time_span(records().map(Record::at)),
        dropped: records().map(dropped).sum(),
        unfinished: started.saturating_sub(stopped),
        breaks: journal.breaks.iter().map(in_file).collect(),
    }
}

/// Returns the span from the earliest to the latest of these times, or `None` if there are none.
fn time_span(mut times: impl Iterator<Item = u64>) -> Option<TimeSpan> {
    let first = times.next()?;
    let span = TimeSpan { first, last: first };
    Some(times.fold(span, |span, at| TimeSpan { first: span.first.min(at), last: span.last.max(at) }))
}

/// Returns the records of all nodes about a transaction id or an idempotency key, in order of time.
pub fn explain<'a>(journals: &'a [Journal], txn_or_key: &str) -> Vec<NodeRecord<'a>> {
    let is_about = |record: &Record| match record {
        Record::Attempt { txn, key, .. } => txn == txn_or_key || key.as_deref() == Some(txn_or_key),
        _ => false,
    };
    let mut found: Vec<NodeRecord<'_>> = journals
        .iter()
        .flat_map(|journal| journal.records.iter().map(|record| NodeRecord { node: &journal.node, record }))
        .filter(|found| is_about(found.record))
        .collect();
    // The sort is stable: records of one node with the same time keep their order.
    found.sort_by_key(|found| found.record.at());
    found
}

#[cfg(test)]
mod tests;
