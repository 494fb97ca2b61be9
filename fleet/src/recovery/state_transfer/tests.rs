use super::*;
use crate::test_support::at;
use bytes::Bytes;

/// A page of a complete donor with one record of this size.
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

/// The donors that are asked now, and from which position; the third is not alive.
fn requests(transfer: &mut StateTransfer, now: Time) -> Vec<(u64, Option<u64>)> {
    let mut out = Vec::new();
    transfer.tick(now, false, |node| (node != NodeId(3)).then_some(Incarnation(1)), &mut out);
    let position = |message| match message {
        Message::Pull { from, .. } => from.map(|from: TablePosition| from.expires_ns),
        _ => unreachable!(),
    };
    out.into_iter().map(|request| (request.to.0, position(request.message))).collect()
}

#[test]
fn several_donors_that_are_alive_are_asked_at_once_and_each_continues_where_it_was() {
    let mut transfer = transfer(1 << 20, 12);
    let first: BTreeSet<u64> = requests(&mut transfer, at(0)).iter().map(|(n, _)| *n).collect();
    assert!(first.len() == PARALLEL_DONORS && !first.contains(&3), "{first:?}");
    let (one, other) = (*first.first().unwrap(), *first.last().unwrap());
    let received = transfer.receive_page(at(1), NodeId(one), page(1, Some(9), 10)).unwrap();
    assert_eq!((received.records.len(), received.finished), (1, None));
    assert_eq!(requests(&mut transfer, at(1)), [(one, Some(9))]);
    let last = transfer.receive_page(at(1), NodeId(one), page(1, None, 10)).unwrap();
    assert_eq!(last.finished, Some(Completeness::Complete));
    assert!(matches!(requests(&mut transfer, at(2))[..], [(next, None)] if !first.contains(&next)));
    assert!(transfer.receive_page(at(2), NodeId(one), page(1, None, 10)).is_none(), "it was not asked");
    assert!(transfer.receive_page(at(2), NodeId(other), page(7, None, 10)).is_none(), "nor in that round");
    assert_eq!(transfer.open_donors(), 11);
}

#[test]
fn each_node_draws_its_own_order_of_donors() {
    let first = |seed| {
        let mut transfer = StateTransfer::new(1 << 20, seed, at(0));
        transfer.start(&(10..110).map(NodeId).collect());
        requests(&mut transfer, at(0))[0].0
    };
    let firsts: BTreeSet<u64> = (0..50).map(first).collect();
    assert!(firsts.len() > 30, "{firsts:?}");
    assert_eq!(first(7), first(7));
}

#[test]
fn a_page_that_does_not_arrive_is_requested_again_from_where_it_was() {
    let mut transfer = transfer(1 << 20, 1);
    requests(&mut transfer, at(0));
    transfer.receive_page(at(0), NodeId(1), page(1, Some(9), 10));
    assert_eq!(requests(&mut transfer, at(1)), [(1, Some(9))]);
    assert_eq!(requests(&mut transfer, at(1999)), []);
    assert_eq!(requests(&mut transfer, at(2001)), [(1, Some(9))]);
}

#[test]
fn an_incomplete_donor_is_asked_again_only_whether_it_is_complete() {
    let mut transfer = transfer(1 << 20, 1);
    requests(&mut transfer, at(0));
    let incomplete = Page { completeness: Completeness::PartialFrom(vec![]), ..page(1, None, 10) };
    let received = transfer.receive_page(at(0), NodeId(1), incomplete).unwrap();
    assert_eq!(received.finished, Some(Completeness::PartialFrom(vec![])));
    assert_eq!((transfer.open_donors(), requests(&mut transfer, at(999))), (0, vec![]));
    assert_eq!(requests(&mut transfer, at(2000)), [(1, Some(0))], "from the end of its table");
    transfer.receive_page(at(2001), NodeId(1), page(1, None, 0));
    assert_eq!(requests(&mut transfer, at(9000)), []);
}

#[test]
fn deferred_requesters_come_back_at_different_times() {
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
fn a_requester_waits_when_its_byte_budget_is_used_up() {
    let mut transfer = transfer(1000, 1);
    requests(&mut transfer, at(0));
    transfer.receive_page(at(0), NodeId(1), page(1, Some(9), 2000));
    assert_eq!(requests(&mut transfer, at(900)), []);
    assert_eq!(requests(&mut transfer, at(1100)), [(1, Some(9))]);
}
