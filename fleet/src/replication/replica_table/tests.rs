use super::*;
use crate::envelope::{Request, Response};
use crate::ids::ConfigVersion;
use crate::ids::LinkId;
use crate::message::TablePosition;
use crate::message::{ClaimRequest, Message, RejectReason, ReplicaRecord};
use crate::replication::key_state::{CompletedRun, RunResult};
use crate::test_support::{at, config, id};
use crate::MAX_RESULT_BYTES;
use bytes::Bytes;
use std::sync::Arc;

const LINK: LinkId = LinkId(1);
const OTHER_LINK: LinkId = LinkId(2);

fn configs() -> ActiveConfigs {
    ActiveConfigs::new(id(1), Arc::new(config(1, &[1, 2, 3], 1)))
}

fn table(has_stored_state: bool) -> ReplicaTable {
    ReplicaTable::new(id(1), Incarnation(7), 1 << 20, has_stored_state, at(0))
}

fn claim(number: u64) -> ClaimId {
    ClaimId { node: id(2), incarnation: Incarnation(1), number }
}

fn request(number: u64, key: &'static str) -> ClaimRequest {
    ClaimRequest {
        claim: claim(number),
        key: Bytes::from(key),
        body: 5,
        retain_ms: 10_000,
        config_versions: vec![ConfigVersion(1)],
    }
}

fn response(outcome: &TableOutcome) -> &Message {
    assert_eq!(outcome.responses.len(), 1);
    &outcome.responses[0].message
}

fn run(number: u64, result: &'static str) -> CompletedRun {
    let result = RunResult::Succeeded(Bytes::from(result));
    CompletedRun { received_at: 1, node_index: 1, claim: claim(number), result, body: 5 }
}

fn is_granted(outcome: &TableOutcome) -> bool {
    matches!(response(outcome), Message::Granted { .. })
}

fn is_uncertain(outcome: &TableOutcome, expected: RejectReason) -> bool {
    matches!(response(outcome), Message::Uncertain { reason, .. } if *reason == expected)
}

#[test]
fn the_first_claim_is_granted_on_every_retry_and_blocks_other_claims() {
    let (mut table, configs) = (table(true), configs());
    let first = table.claim(at(0), LINK, &request(1, "k"), &configs);
    assert!(is_granted(&first) && first.changed_key.is_some());
    let again = table.claim(at(1), LINK, &request(1, "k"), &configs);
    assert!(is_granted(&again) && again.changed_key.is_none());
    let other = table.claim(at(2), OTHER_LINK, &request(2, "k"), &configs);
    let Message::Blocked { conflict, .. } = response(&other) else { panic!("{other:?}") };
    assert_eq!((conflict.claim, &conflict.completed), (claim(1), &None));
    assert!(
        matches!(other.queries[..], [Request { to, message: Message::QueryClaim { .. } }] if to == id(2))
    );
    assert!(
        is_granted(&table.claim(at(3), LINK, &request(3, "l"), &configs)),
        "a claim on another key is granted"
    );
}

#[test]
fn a_completed_run_is_reported_to_waiting_and_to_later_attempts() {
    let (mut table, configs) = (table(true), configs());
    table.claim(at(0), LINK, &request(1, "k"), &configs);
    table.claim(at(1), OTHER_LINK, &request(2, "k"), &configs);
    let completed = table.complete_run(at(2), LINK, &"k".into(), 9_000, run(1, "job"));
    let is_result = |message: &Message| match message {
        Message::Blocked { claim: waiter, conflict } => {
            *waiter == claim(2) && conflict.completed == Some(run(1, "job"))
        }
        _ => false,
    };
    assert!(completed
        .responses
        .iter()
        .any(|response| response.link == OTHER_LINK && is_result(&response.message)));
    assert!(completed
        .responses
        .contains(&Response { link: LINK, message: Message::Stored { claim: claim(1), stored: true } }));
    assert!(is_result(response(&table.claim(at(3), LinkId(3), &request(2, "k"), &configs))));
}

#[test]
fn a_release_frees_the_key_for_the_next_claim_and_notifies_waiting_attempts() {
    let (mut table, configs) = (table(true), configs());
    table.claim(at(0), LINK, &request(1, "k"), &configs);
    table.claim(at(1), OTHER_LINK, &request(2, "k"), &configs);
    let unknown = table.release(at(2), &"k".into(), claim(9));
    assert!(unknown.responses.is_empty(), "the replica knows no such claim");
    let released = table.release(at(2), &"k".into(), claim(1));
    let response = Response { link: OTHER_LINK, message: Message::KeyFree { claim: claim(2) } };
    assert_eq!(released.responses, [response]);
    let key = released.changed_key.unwrap();
    assert_eq!((key.as_ref(), table.stored_record(&key, at(2))), (&b"k"[..], None));
    assert_eq!(table.size(), TableSize { keys: 0, bytes: 0 });
    assert!(is_granted(&table.claim(at(3), OTHER_LINK, &request(2, "k"), &configs)));
}

#[test]
fn a_replica_that_lost_its_state_grants_no_claim_until_it_has_caught_up_or_the_window_has_ended() {
    let (mut lost, configs) = (table(false), configs());
    let is_recovering = |outcome: &TableOutcome| is_uncertain(outcome, RejectReason::Recovering);
    assert!(is_recovering(&lost.claim(at(0), LINK, &request(1, "k"), &configs)));
    lost.record_sync(id(2), Completeness::Complete);
    assert!(
        is_recovering(&lost.claim(at(1), LINK, &request(1, "k"), &configs)),
        "replica 3 may know of a run"
    );
    lost.record_sync(id(3), Completeness::PartialFrom(vec![id(1)]));
    assert!(
        is_recovering(&lost.claim(at(1), LINK, &request(1, "k"), &configs)),
        "donor 3 has not merged the table of node 2"
    );
    lost.record_sync(id(3), Completeness::PartialFrom(vec![id(1), id(2)]));
    assert!(is_granted(&lost.claim(at(2), LINK, &request(1, "k"), &configs)));
    assert!(!lost.finish_sync(&configs), "a complete table requires that donor 3 is complete");
    assert_eq!(
        lost.completeness(&configs),
        Completeness::PartialFrom(vec![id(2)]),
        "an incomplete donor does not count"
    );
    lost.record_sync(id(3), Completeness::Complete);
    assert!(
        lost.finish_sync(&configs)
            && lost.completeness(&configs) == Completeness::Complete
            && lost.is_complete()
    );
    let mut lost = table(false);
    assert!(!lost.tick(at(17_999), &configs) && lost.tick(at(18_000), &configs));
    assert!(is_granted(&lost.claim(at(18_000), LINK, &request(1, "k"), &configs)));
}

#[test]
fn a_started_claim_from_a_donor_blocks_every_other_claim() {
    let (mut table, configs) = (table(false), configs());
    let record =
        ReplicaRecord { key: "k".into(), retain_ms: 5_000, started: vec![(claim(1), 5)], completed: None };
    assert_eq!(table.merge_records(at(0), vec![record]), MergeOutcome { dropped: false, conflicts: vec![] });
    table.record_sync(id(2), Completeness::Complete);
    table.record_sync(id(3), Completeness::Complete);
    let other = table.claim(at(1), LINK, &request(2, "k"), &configs);
    assert!(matches!(response(&other), Message::Blocked { .. }));
    assert!(is_granted(&table.claim(at(1), LINK, &request(1, "k"), &configs)));
}

#[test]
fn a_claim_that_lacks_an_active_config_is_not_granted_and_a_grant_reports_incarnations() {
    let (mut table, mut configs) = (table(true), configs());
    table.record_incarnation(id(3), Incarnation(9));
    let first = table.claim(at(0), LINK, &request(1, "k"), &configs);
    let incarnations = vec![(id(3), Incarnation(9))];
    assert_eq!(*response(&first), Message::Granted { claim: claim(1), incarnations });
    configs.propose(Arc::new(config(2, &[1, 2, 3, 4], 1))).unwrap();
    let outdated = table.claim(at(0), LINK, &request(2, "l"), &configs);
    assert!(is_uncertain(&outdated, RejectReason::ConfigMismatch));
    let config_versions = vec![ConfigVersion(1), ConfigVersion(2)];
    let in_both = ClaimRequest { config_versions, ..request(2, "l") };
    assert!(is_granted(&table.claim(at(0), LINK, &in_both, &configs)));
}

#[test]
fn a_full_table_rejects_new_keys_and_evicts_none_before_its_window_ends() {
    let configs = configs();
    let max_bytes = 3 * MAX_RESULT_BYTES + 5 * ENTRY_OVERHEAD_BYTES;
    let mut table = ReplicaTable::new(id(1), Incarnation(7), max_bytes, true, at(0));
    for (number, key) in [(1, "a"), (2, "b"), (3, "c")] {
        assert!(is_granted(&table.claim(at(0), LINK, &request(number, key), &configs)));
    }
    let fourth = table.claim(at(1), LINK, &request(4, "d"), &configs);
    assert!(is_uncertain(&fourth, RejectReason::CapacityExceeded));
    assert!(
        is_granted(&table.claim(at(1), LINK, &request(1, "a"), &configs)),
        "a known key needs no new capacity"
    );
    table.complete_run(at(2), LINK, &"a".into(), 9_000, run(1, "short"));
    assert!(
        is_granted(&table.claim(at(3), LINK, &request(4, "d"), &configs)),
        "the result of key a takes less space than was reserved"
    );
    table.tick(at(17_999), &configs);
    assert_eq!(table.size().keys, 4);
    table.tick(at(18_003), &configs);
    assert_eq!(table.size(), TableSize { keys: 0, bytes: 0 });
}

#[test]
fn pages_contain_all_keys_of_the_requester_in_descending_order_of_expiry() {
    let (mut donor, configs) = (table(true), configs());
    donor.max_bytes = 64 << 20;
    let mut requester = ReplicaTable::new(id(2), Incarnation(3), 64 << 20, false, at(0));
    for n in 0..2000_u64 {
        let key = Bytes::from(format!("{n:04}"));
        donor.claim(at(n), LINK, &ClaimRequest { key: key.clone(), ..request(n, "") }, &configs);
        donor.complete_run(at(n), LINK, &key, 10_000, run(n, "job"));
    }
    let (mut from, mut pages, mut first_key) = (None, 0, String::new());
    loop {
        let page = donor.page(at(2000), id(2), 1, from.as_ref(), &configs).page;
        if pages == 0 {
            first_key = String::from_utf8(page.records[0].key.to_vec()).unwrap();
        }
        pages += 1;
        requester.merge_records(at(2000), page.records);
        from = page.next;
        if from.is_none() {
            assert_eq!(page.completeness, Completeness::Complete);
            break;
        }
    }
    assert_eq!((requester.size().keys, first_key.as_str()), (2000, "1999"));
    assert!(pages > 3);
    let outdated = TablePosition { incarnation: Incarnation(1), expires_ns: 0, key: Bytes::new() };
    let read = donor.page(at(2000), id(2), 1, Some(&outdated), &configs);
    assert!(!read.page.records.is_empty());
    let read = donor.page(at(2000), id(9), 1, None, &configs);
    assert!(read.page.records.is_empty(), "node 9 is not a replica of any key");
}

#[test]
fn a_restored_vote_grants_the_same_claim_again_after_a_restart() {
    let (mut table, configs) = (table(true), configs());
    let key = table.claim(at(0), LINK, &request(1, "k"), &configs).changed_key.unwrap();
    let stored = table.stored_record(&key, at(0)).unwrap();
    assert_eq!(stored.vote, table.vote(b"k"));
    let mut restarted = ReplicaTable::new(id(1), Incarnation(8), 1 << 20, true, at(0));
    restarted.restore(at(0), vec![stored]);
    assert!(is_granted(&restarted.claim(at(1), LINK, &request(1, "k"), &configs)));
    assert!(!is_granted(&restarted.claim(at(1), LINK, &request(2, "k"), &configs)));
}
