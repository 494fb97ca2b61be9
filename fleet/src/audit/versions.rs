//! Finds the versions that the nodes used, and the nodes that kept using a replaced version.

use std::collections::{BTreeMap, BTreeSet};

use super::decision_record::{Journal, Record, Versions};
use super::report::{FirstUse, Replacement, Straggler, VersionKind, VersionUse};
use super::AuditOptions;

/// A version together with its kind.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct VersionKey {
    kind: VersionKind,
    id: String,
}

/// Returns one key for each kind of version in a record.
fn keys_of(versions: &Versions) -> impl Iterator<Item = VersionKey> {
    let keys = [
        VersionKey { kind: VersionKind::Settings, id: versions.settings.clone() },
        VersionKey { kind: VersionKind::MembershipConfig, id: versions.config.to_string() },
        VersionKey { kind: VersionKind::Program, id: versions.program.clone() },
    ];
    keys.into_iter()
}

/// Returns the use of each version, ordered by kind and then by first use.
pub(super) fn version_uses(journals: &[Journal], options: &AuditOptions) -> Vec<VersionUse> {
    let mut uses: BTreeMap<VersionKey, VersionUse> = BTreeMap::new();
    for journal in journals {
        for record in options.records(journal) {
            let Some(versions) = record.versions() else { continue };
            for key in keys_of(versions) {
                let first_use = || VersionUse {
                    kind: key.kind,
                    id: key.id.clone(),
                    first: FirstUse { at: record.at(), node: journal.node.clone() },
                    last: record.at(),
                    nodes: BTreeSet::new(),
                    decisions: 0,
                    replaced: None,
                };
                uses.entry(key.clone()).or_insert_with(first_use).add(record, &journal.node);
            }
        }
    }
    let mut uses: Vec<VersionUse> = uses.into_values().collect();
    // The sort is stable: uses of the same kind and time stay in the order of their ids.
    uses.sort_by_key(|version| (version.kind, version.first.at));
    for next in 1..uses.len() {
        if uses[next - 1].kind == uses[next].kind {
            let replacement = Replacement { at: uses[next].first.at, id: uses[next].id.clone() };
            uses[next - 1].replaced = Some(replacement);
        }
    }
    uses
}

impl VersionUse {
    fn add(&mut self, record: &Record, node: &str) {
        let at = record.at();
        if at < self.first.at {
            self.first = FirstUse { at, node: node.into() };
        }
        self.last = self.last.max(at);
        self.nodes.insert(node.into());
        self.decisions += u64::from(matches!(record, Record::Attempt { .. }));
    }
}

/// Returns the replaced versions that a node used for longer than `options.spread_ms`. A deliberate rollback
/// to an older version can't be distinguished from a missed update and is returned too.
pub(super) fn find_stragglers(
    journal: &Journal,
    versions: &[VersionUse],
    options: &AuditOptions,
) -> Vec<Straggler> {
    let find = |kind: VersionKind, id: &str| {
        versions.iter().find(|version| version.kind == kind && version.id == id)
    };
    let mut found: BTreeMap<VersionKey, Straggler> = BTreeMap::new();
    // For each kind, the time at which any node first used the version that this node used last.
    let mut last_used: BTreeMap<VersionKind, u64> = BTreeMap::new();
    for record in options.records(journal) {
        let Some(versions) = record.versions() else { continue };
        for key in keys_of(versions) {
            let Some(version) = find(key.kind, &key.id) else { continue };
            last_used.insert(key.kind, version.first.at);
            let Some(replacement) = &version.replaced else { continue };
            if record.at() < replacement.at {
                continue;
            }
            let straggler = found.entry(key.clone()).or_insert_with(|| Straggler {
                node: journal.node.clone(),
                kind: key.kind,
                id: key.id,
                for_ms: 0,
                decisions: 0,
                has_updated: false,
            });
            straggler.for_ms = straggler.for_ms.max(record.at() - replacement.at);
            straggler.decisions += u64::from(matches!(record, Record::Attempt { .. }));
        }
    }
    let mut found: Vec<Straggler> =
        found.into_values().filter(|straggler| straggler.for_ms > options.spread_ms).collect();
    for straggler in &mut found {
        let first_used = find(straggler.kind, &straggler.id).map_or(0, |version| version.first.at);
        straggler.has_updated = last_used.get(&straggler.kind).is_some_and(|last| *last > first_used);
    }
    found
}
