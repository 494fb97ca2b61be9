use super::*;
use crate::test_support::at;
use bytes::Bytes;

/// A page from a complete donor with one record whose key has this many bytes.
pub(crate) fn page(round: u32, next: Option<u64>, bytes: usize) -> Page {
    let record =
        ReplicaRecord { key: Bytes::from(vec![0; bytes]), retain_ms: 1, started: vec![], completed: None };
    let position = |expires_ns| TablePosition { incarnation: Incarnation(1), expires_ns, key: Bytes::new() };
    Page { round, records: vec![record], next: next.map(position), completeness: Completeness::Complete }
}

fn transfer(bytes_per_s: u64, donors: u64) -> StateTransfer {
    let mut transfer = StateTransfer::new(bytes_per_s, 1, at(0));
    transfer.start(&(1..=donors).map(NodeId).collect());
    transfer
}

/// Returns the donors from which pages are requested now, each with the position. Node 3 is not alive.
fn requests(transfer: &mut StateTransfer, now: Time) -> Vec<(u64, Option<u64>)> {
    let mut out = Vec::new();
    transfer.tick(now, false, |node| (node != NodeId(3)).then_some(Incarnation(1)), &mut out);
    let position = |message| match message {
        Message::Pull { from, .. } => from.map(|from: TablePosition| from.expires_ns),
        message => unreachable!("a transfer sends only pull requests, not {message:?}"),
    };
    out.into_iter().map(|request| (request.to.0, position(request.message))).collect()
}

#[test]
fn pages_are_requested_in_parallel_from_live_donors_each_at_its_own_position() {
    let mut transfer = transfer(1 << 20, 12);
    let asked: BTreeSet<u64> = requests(&mut transfer, at(0)).iter().map(|(n, _)| *n).collect();
    assert!(asked.len() == PARALLEL_DONORS && !asked.contains(&3), "{asked:?}");
    let (one, other) = (*asked.first().unwrap(), *asked.last().unwrap());
    let received = transfer.receive_page(at(1), NodeId(one), page(1, Some(9), 10)).unwrap();
    assert_eq!((received.records.len(), received.finished), (1, None));
    assert_eq!(requests(&mut transfer, at(1)), [(one, Some(9))]);
    let last = transfer.receive_page(at(1), NodeId(one), page(1, None, 10)).unwrap();
    assert_eq!(last.finished, Some(Completeness::Complete));
    assert!(matches!(requests(&mut transfer, at(2))[..], [(next, None)] if !asked.contains(&next)));
    assert!(
        transfer.receive_page(at(2), NodeId(one), page(1, None, 10)).is_none(),
        "no page was requested from the donor"
    );
    assert!(
        transfer.receive_page(at(2), NodeId(other), page(7, None, 10)).is_none(),
        "no page was requested in that round"
    );
    assert_eq!(transfer.open_donors(), 11);
}

#[test]
fn each_node_asks_the_donors_in_its_own_random_order() {
    let first_donor = |seed| {
        let mut transfer = StateTransfer::new(1 << 20, seed, at(0));
        transfer.start(&(10..110).map(NodeId).collect());
        requests(&mut transfer, at(0))[0].0
    };
    let first_donors: BTreeSet<u64> = (0..50).map(first_donor).collect();
    assert!(first_donors.len() > 30, "{first_donors:?}");
    assert_eq!(first_donor(7), first_donor(7), "a seed always determines the same order");
}

#[test]
fn a_page_that_does_not_arrive_is_requested_again_at_the_same_position() {
    let mut transfer = transfer(1 << 20, 1);
    requests(&mut transfer, at(0));
    transfer.receive_page(at(0), NodeId(1), page(1, Some(9), 10));
    assert_eq!(requests(&mut transfer, at(1)), [(1, Some(9))]);
    assert_eq!(requests(&mut transfer, at(1999)), []);
    assert_eq!(requests(&mut transfer, at(2001)), [(1, Some(9))]);
}

#[test]
fn from_an_incomplete_donor_only_the_end_of_the_table_is_requested_again() {
    let mut transfer = transfer(1 << 20, 1);
    requests(&mut transfer, at(0));
    let incomplete = Page { completeness: Completeness::PartialFrom(vec![]), ..page(1, None, 10) };
    let received = transfer.receive_page(at(0), NodeId(1), incomplete).unwrap();
    assert_eq!(received.finished, Some(Completeness::PartialFrom(vec![])));
    assert_eq!((transfer.open_donors(), requests(&mut transfer, at(999))), (0, vec![]));
    assert_eq!(requests(&mut transfer, at(2000)), [(1, Some(0))], "at the end of the donor's table");
    transfer.receive_page(at(2001), NodeId(1), page(1, None, 0));
    assert_eq!(requests(&mut transfer, at(9000)), []);
}

#[test]
fn deferred_requesters_retry_at_different_times() {
    let retry_at = |seed| {
        let mut transfer = StateTransfer::new(1 << 20, seed, at(0));
        transfer.start(&[NodeId(1)].into());
        requests(&mut transfer, at(0));
        transfer.defer(at(0), NodeId(1), 1, at(100));
        (0..300).find(|now| !requests(&mut transfer, at(*now)).is_empty()).unwrap()
    };
    let all: BTreeSet<u64> = (0..40).map(retry_at).collect();
    assert!(all.len() > 20 && all.iter().all(|retry_at| (100..=200).contains(retry_at)), "{all:?}");
}

#[test]
fn no_page_is_requested_while_the_byte_budget_is_exhausted() {
    let mut transfer = transfer(1000, 1);
    requests(&mut transfer, at(0));
    transfer.receive_page(at(0), NodeId(1), page(1, Some(9), 2000));
    assert_eq!(requests(&mut transfer, at(900)), []);
    assert_eq!(requests(&mut transfer, at(1100)), [(1, Some(9))]);
}
