//! What the records of a fleet's nodes say: which node decided what by which version, who went on with an old one after it
//! was replaced and for how long, what ran twice, and where records are missing. Records come in, a report goes out; where
//! they are read from is no concern of this.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::hash_chain::ChainBreak;

/// By which versions something was decided.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Versions {
    /// The digest of the settings.
    pub settings: String,
    /// The number of the fleet's list; 0 where nodes don't talk.
    pub list: u64,
    /// The program's.
    pub program: String,
}

/// What was decided of a try.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Decision {
    /// Its run begins.
    Run,
    /// That run provably never began.
    Unrun,
    /// It was served.
    Served,
    /// It was turned away.
    Refused,
    /// It failed.
    Failed,
}

/// One record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "e", rename_all = "lowercase")]
pub enum Record {
    /// A process began to keep records.
    Began {
        /// When, in Unix milliseconds.
        at: u64,
        /// The node.
        node: String,
        /// By which versions it decides.
        by: Versions,
    },
    /// Something was decided of a try.
    Try {
        /// When, in Unix milliseconds.
        at: u64,
        /// What.
        did: Decision,
        /// The try.
        txn: String,
        /// Its key, in classes that must not run twice.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        key: Option<String>,
        /// Its class, by name.
        class: String,
        /// By which versions.
        by: Versions,
    },
    /// Records that were not kept, because the disk was slow.
    Dropped {
        /// When that was found, in Unix milliseconds.
        at: u64,
        /// How many.
        count: u64,
    },
    /// The process ended in order.
    Ended {
        /// When, in Unix milliseconds.
        at: u64,
    },
}

impl Record {
    /// When it was made, in Unix milliseconds.
    pub fn at(&self) -> u64 {
        match self {
            Record::Began { at, .. }
            | Record::Try { at, .. }
            | Record::Dropped { at, .. }
            | Record::Ended { at } => *at,
        }
    }

    /// The versions that it was made by, if it names any.
    pub fn by(&self) -> Option<&Versions> {
        match self {
            Record::Began { by, .. } | Record::Try { by, .. } => Some(by),
            Record::Dropped { .. } | Record::Ended { .. } => None,
        }
    }
}

/// What one node's folder held.
#[derive(Debug, Clone, Default)]
pub struct Journal {
    /// The node, as the folder or its records name it.
    pub node: String,
    /// Its records, in order.
    pub records: Vec<Record>,
    /// Where the chain is broken: the file, and what is wrong in it.
    pub breaks: Vec<(String, ChainBreak)>,
}

/// What kind of version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Settings.
    Settings,
    /// Membership configurations.
    #[serde(rename = "list")]
    MembershipConfig,
    /// Builds of the program.
    Program,
}

/// How a version fared.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Version {
    /// What kind.
    pub kind: Kind,
    /// Which one: a digest, a number or a build.
    pub id: String,
    /// When the first node decided by it, in Unix milliseconds, and which.
    pub first: (u64, String),
    /// When the last node did.
    pub last: u64,
    /// Nodes that did.
    pub nodes: BTreeSet<String>,
    /// Decisions by it.
    pub decisions: u64,
    /// The version that came next, and when, if any did.
    pub replaced: Option<(u64, String)>,
}

/// A node that decided by a version after another had replaced it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Straggler {
    /// The node.
    pub node: String,
    /// What kind of version.
    pub kind: Kind,
    /// The old version.
    pub id: String,
    /// For how long after that was replaced anywhere, in milliseconds.
    pub for_ms: u64,
    /// Decisions in that time.
    pub decisions: u64,
    /// Whether it has gone over to the next since.
    pub is_level: bool,
}

/// A key that ran more than once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DuplicateRun {
    /// The key.
    pub key: String,
    /// The runs: when, where and for which try.
    pub runs: Vec<(u64, String, String)>,
}

/// What stands in a node's records.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Kept {
    /// The node.
    pub node: String,
    /// Records that could be read.
    pub records: usize,
    /// From when to when, in Unix milliseconds.
    pub span: Option<(u64, u64)>,
    /// Records that were dropped because the disk was slow.
    pub dropped: u64,
    /// Processes that ended without saying so.
    pub unfinished: usize,
    /// Where its chain is broken.
    pub breaks: Vec<String>,
}

/// The whole report.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Each node's records.
    pub nodes: Vec<Kept>,
    /// All versions, by kind and then by when they were first used.
    pub versions: Vec<Version>,
    /// Who went on with an old version for longer than was allowed.
    pub stragglers: Vec<Straggler>,
    /// Keys that ran more than once.
    pub twice: Vec<DuplicateRun>,
    /// Tries that were turned away though they had run.
    pub refused_and_ran: Vec<String>,
}

impl Report {
    /// Whether nothing is wrong. Processes that were killed are nothing wrong.
    pub fn is_clean(&self) -> bool {
        let whole = |kept: &Kept| kept.breaks.is_empty() && kept.dropped == 0;
        self.nodes.iter().all(whole)
            && self.stragglers.is_empty()
            && self.twice.is_empty()
            && self.refused_and_ran.is_empty()
    }
}

/// How an audit looks.
#[derive(Debug, Clone, Copy)]
pub struct AuditOptions {
    /// From when, in Unix milliseconds.
    pub from: u64,
    /// Until when.
    pub until: u64,
    /// An old version may be used for so long after it was replaced, in milliseconds.
    pub spread_ms: u64,
    /// A key may come again for so long, in milliseconds; a run after that is another request's.
    pub window_ms: u64,
}

fn named(by: &Versions) -> [(Kind, String); 3] {
    [
        (Kind::Settings, by.settings.clone()),
        (Kind::MembershipConfig, by.list.to_string()),
        (Kind::Program, by.program.clone()),
    ]
}

/// Looks through the records of all nodes.
pub fn audit(journals: &[Journal], terms: &AuditOptions) -> Report {
    let within = |record: &&Record| (terms.from..=terms.until).contains(&record.at());
    let versions = versions(journals, &within);
    let mut stragglers: Vec<Straggler> =
        journals.iter().flat_map(|journal| stragglers(journal, &versions, terms, &within)).collect();
    stragglers.sort();
    let (twice, refused_and_ran) = runs(journals, terms, &within);
    let kept = journals.iter().map(|journal| {
        let records = || journal.records.iter().filter(within);
        let dropped = records().map(|r| if let Record::Dropped { count, .. } = r { *count } else { 0 }).sum();
        let count = |what: fn(&&Record) -> bool| journal.records.iter().filter(what).count();
        let began = count(|record| matches!(record, Record::Began { .. }));
        let ended = count(|record| matches!(record, Record::Ended { .. }));
        Kept {
            node: journal.node.clone(),
            records: records().count(),
            span: records().map(Record::at).min().zip(records().map(Record::at).max()),
            dropped,
            unfinished: began.saturating_sub(ended),
            breaks: journal.breaks.iter().map(|(file, broken)| format!("{file}, {broken}")).collect(),
        }
    });
    Report { nodes: kept.collect(), versions, stragglers, twice, refused_and_ran }
}

fn versions(journals: &[Journal], within: &impl Fn(&&Record) -> bool) -> Vec<Version> {
    let mut all: BTreeMap<(Kind, String), Version> = BTreeMap::new();
    for journal in journals {
        for record in journal.records.iter().filter(within) {
            let Some(by) = record.by() else { continue };
            let at = record.at();
            for (kind, id) in named(by) {
                let version = all.entry((kind, id.clone())).or_insert_with(|| Version {
                    kind,
                    id,
                    first: (at, journal.node.clone()),
                    last: at,
                    nodes: BTreeSet::new(),
                    decisions: 0,
                    replaced: None,
                });
                if at < version.first.0 {
                    version.first = (at, journal.node.clone());
                }
                version.last = version.last.max(at);
                version.nodes.insert(journal.node.clone());
                version.decisions += u64::from(matches!(record, Record::Try { .. }));
            }
        }
    }
    let mut all: Vec<Version> = all.into_values().collect();
    all.sort_by(|a, b| (a.kind, a.first.0, &a.id).cmp(&(b.kind, b.first.0, &b.id)));
    for i in 1..all.len() {
        if all[i - 1].kind == all[i].kind {
            all[i - 1].replaced = Some((all[i].first.0, all[i].id.clone()));
        }
    }
    all
}

/// Where a node decided by an old version. Back at an older one on purpose looks the same: that is why it is shown.
fn stragglers(
    journal: &Journal,
    versions: &[Version],
    terms: &AuditOptions,
    within: &impl Fn(&&Record) -> bool,
) -> Vec<Straggler> {
    let mut late: BTreeMap<(Kind, String), Straggler> = BTreeMap::new();
    let mut newest: BTreeMap<Kind, u64> = BTreeMap::new();
    for record in journal.records.iter().filter(within) {
        let Some(by) = record.by() else { continue };
        for (kind, id) in named(by) {
            let Some(version) = versions.iter().find(|version| version.kind == kind && version.id == id)
            else {
                continue;
            };
            newest.insert(kind, version.first.0);
            let Some((replaced, _)) = &version.replaced else { continue };
            let for_ms = record.at().saturating_sub(*replaced);
            if record.at() < *replaced {
                continue;
            }
            let entry = late.entry((kind, id.clone())).or_insert(Straggler {
                node: journal.node.clone(),
                kind,
                id,
                for_ms: 0,
                decisions: 0,
                is_level: false,
            });
            entry.for_ms = entry.for_ms.max(for_ms);
            entry.decisions += u64::from(matches!(record, Record::Try { .. }));
        }
    }
    let mut late: Vec<Straggler> = late.into_values().filter(|late| late.for_ms > terms.spread_ms).collect();
    for straggler in &mut late {
        let old =
            versions.iter().find(|version| version.kind == straggler.kind && version.id == straggler.id);
        let since = old.map_or(0, |version| version.first.0);
        straggler.is_level = newest.get(&straggler.kind).is_some_and(|newest| *newest > since);
    }
    late
}

fn runs(
    journals: &[Journal],
    terms: &AuditOptions,
    within: &impl Fn(&&Record) -> bool,
) -> (Vec<DuplicateRun>, Vec<String>) {
    let mut by_key: BTreeMap<&str, Vec<(u64, String, String)>> = BTreeMap::new();
    let (mut ran, mut refused) = (BTreeSet::new(), Vec::new());
    for journal in journals {
        for record in journal.records.iter().filter(within) {
            let Record::Try { at, did, txn, key, .. } = record else { continue };
            match did {
                Decision::Run => {
                    ran.insert((journal.node.as_str(), txn.as_str()));
                    if let Some(key) = key {
                        by_key.entry(key).or_default().push((*at, journal.node.clone(), txn.clone()));
                    }
                }
                Decision::Unrun => {
                    ran.remove(&(journal.node.as_str(), txn.as_str()));
                    if let Some(runs) = key.as_deref().and_then(|key| by_key.get_mut(key)) {
                        runs.retain(|(_, node, run)| *node != journal.node || run != txn);
                    }
                }
                Decision::Refused => refused.push((journal.node.as_str(), txn.as_str())),
                Decision::Served | Decision::Failed => {}
            }
        }
    }
    let twice = by_key.into_iter().filter_map(|(key, mut runs)| {
        runs.sort();
        let again = runs.windows(2).any(|two| two[1].0 - two[0].0 < terms.window_ms);
        again.then(|| DuplicateRun { key: key.into(), runs })
    });
    let refused = refused.into_iter().filter(|of| ran.contains(of));
    (twice.collect(), refused.map(|(node, txn)| format!("{txn} at {node}")).collect())
}

/// What every node did with a try or a key, in order: when, where, and the record.
pub fn explain<'a>(journals: &'a [Journal], about: &str) -> Vec<(&'a str, &'a Record)> {
    let of = |record: &Record| match record {
        Record::Try { txn, key, .. } => txn == about || key.as_deref() == Some(about),
        _ => false,
    };
    let mut found: Vec<(&str, &Record)> = journals
        .iter()
        .flat_map(|journal| journal.records.iter().map(|record| (journal.node.as_str(), record)))
        .filter(|(_, record)| of(record))
        .collect();
    // Within one node the records are in order already.
    found.sort_by_key(|(_, record)| record.at());
    found
}

#[cfg(test)]
mod tests {
    use super::*;

    const TERMS: AuditOptions = AuditOptions { from: 0, until: u64::MAX, spread_ms: 2000, window_ms: 10_000 };

    fn by(settings: &str, list: u64) -> Versions {
        Versions { settings: settings.into(), list, program: "1".into() }
    }

    fn decided(at: u64, did: Decision, txn: &str, key: Option<&str>, by: Versions) -> Record {
        Record::Try { at, did, txn: txn.into(), key: key.map(Into::into), class: "book".into(), by }
    }

    fn journal(node: &str, records: Vec<Record>) -> Journal {
        Journal { node: node.into(), records, breaks: Vec::new() }
    }

    fn run(at: u64, txn: &str, by: Versions) -> Record {
        decided(at, Decision::Run, txn, None, by)
    }

    #[test]
    fn versions_are_told_with_who_used_them_first_and_last_and_what_replaced_them() {
        let one = journal("n1", vec![run(100, "a", by("s1", 1)), run(900, "b", by("s2", 1))]);
        let two = journal("n2", vec![run(50, "c", by("s1", 1)), run(1500, "d", by("s2", 2))]);
        let report = audit(&[one, two], &TERMS);
        let settings: Vec<&Version> = report.versions.iter().filter(|v| v.kind == Kind::Settings).collect();
        assert_eq!(settings[0].first, (50, "n2".into()));
        assert_eq!(settings[0].replaced, Some((900, "s2".into())));
        assert_eq!((settings[1].nodes.len(), settings[1].decisions, settings[1].last), (2, 2, 1500));
        assert!(report.is_clean());
    }

    #[test]
    fn who_goes_on_with_an_old_version_is_told_with_for_how_long_and_whether_it_came_round() {
        let quick = journal("n1", vec![run(0, "a", by("s1", 1)), run(1000, "b", by("s2", 1))]);
        let slow = journal(
            "n2",
            vec![
                run(0, "c", by("s1", 1)),
                run(2000, "d", by("s1", 1)),
                run(5000, "e", by("s1", 1)),
                run(6000, "f", by("s2", 1)),
            ],
        );
        let never = journal("n3", vec![run(0, "g", by("s1", 1)), run(9000, "h", by("s1", 1))]);
        let report = audit(&[quick, slow, never], &TERMS);
        let straggler = |node: &str, for_ms, decisions, is_level| Straggler {
            node: node.into(),
            kind: Kind::Settings,
            id: "s1".into(),
            for_ms,
            decisions,
            is_level,
        };
        assert_eq!(report.stragglers, [straggler("n2", 4000, 2, true), straggler("n3", 8000, 1, false)]);
        assert!(!report.is_clean());
        let patient = audit(&[journal("n1", vec![])], &AuditOptions { spread_ms: 10_000, ..TERMS });
        assert!(patient.is_clean() && patient.nodes[0].span.is_none());
    }

    #[test]
    fn a_key_that_ran_twice_in_its_window_and_a_try_that_was_refused_after_its_run_are_told() {
        let key = |at, txn| decided(at, Decision::Run, txn, Some("k"), by("s", 1));
        let one =
            journal("n1", vec![key(100, "a"), decided(200, Decision::Refused, "a", Some("k"), by("s", 1))]);
        let two =
            journal("n2", vec![key(5000, "b"), decided(6000, Decision::Refused, "z", None, by("s", 1))]);
        let report = audit(&[one.clone(), two], &TERMS);
        assert_eq!(report.twice[0].runs, [(100, "n1".into(), "a".into()), (5000, "n2".into(), "b".into())]);
        assert_eq!(report.refused_and_ran, ["a at n1"]);
        let later = audit(&[one.clone(), journal("n2", vec![key(10_100, "b")])], &TERMS);
        assert!(later.twice.is_empty(), "that is another request's");
        let unrun = |at, txn, did| decided(at, did, txn, Some("k"), by("s", 1));
        let never = journal(
            "n2",
            vec![key(5000, "b"), unrun(5001, "b", Decision::Unrun), unrun(5002, "b", Decision::Refused)],
        );
        let report = audit(&[one, never], &TERMS);
        assert!(report.twice.is_empty() && report.refused_and_ran.len() == 1, "no server took it");
    }

    #[test]
    fn what_is_missing_is_told_and_a_process_that_was_killed_is_nothing_wrong() {
        let began = Record::Began { at: 1, node: "n1".into(), by: by("s", 1) };
        let whole = journal("n1", vec![began.clone(), Record::Ended { at: 5 }, began.clone()]);
        let report = audit(&[whole], &TERMS);
        assert!(report.nodes[0].unfinished == 1 && report.is_clean());
        let dropped = journal("n1", vec![began.clone(), Record::Dropped { at: 2, count: 7 }]);
        assert_eq!(audit(&[dropped], &TERMS).nodes[0].dropped, 7);
        let broken = ChainBreak { line: 3, what: crate::hash_chain::ChainError::Changed };
        let hurt = Journal { breaks: vec![("1.log".into(), broken)], ..journal("n1", vec![began]) };
        let report = audit(&[hurt], &TERMS);
        assert_eq!(report.nodes[0].breaks, ["1.log, line 3: not as it was written"]);
        assert!(!report.is_clean());
    }

    #[test]
    fn what_became_of_a_try_or_a_key_is_told_over_all_nodes_in_order() {
        let key = |at, did, txn| decided(at, did, txn, Some("k"), by("s", 1));
        let one = journal("n1", vec![key(100, Decision::Run, "a"), key(300, Decision::Served, "a")]);
        let two = journal("n2", vec![key(200, Decision::Refused, "b"), run(250, "c", by("s", 1))]);
        let journals = [one, two];
        let told = |about| explain(&journals, about).iter().map(|(n, r)| (*n, r.at())).collect::<Vec<_>>();
        assert_eq!(told("k"), [("n1", 100), ("n2", 200), ("n1", 300)]);
        assert_eq!(told("b"), [("n2", 200)]);
        assert!(told("nobody").is_empty());
    }

    #[test]
    fn records_are_read_as_they_were_written() {
        let records = [
            Record::Began { at: 1, node: "n1".into(), by: by("s", 3) },
            decided(2, Decision::Refused, "a", None, by("s", 3)),
            Record::Dropped { at: 3, count: 9 },
            Record::Ended { at: 4 },
        ];
        for record in records {
            let text = serde_json::to_string(&record).unwrap();
            assert_eq!(serde_json::from_str::<Record>(&text).unwrap(), record, "{text}");
        }
    }
}
