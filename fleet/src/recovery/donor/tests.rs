use super::*;
use crate::recovery::state_transfer::tests::page;
use crate::test_support::at;

fn request(link: u64, node: u64, round: u32) -> PageRequest {
    PageRequest { link: LinkId(link), node: NodeId(node), round, from: None }
}

#[test]
fn a_donor_sends_no_page_while_its_byte_budget_is_exhausted() {
    let mut donor = Donor::new(1000, at(0));
    donor.request(at(0), request(1, 1, 1));
    donor.request(at(0), request(1, 1, 2));
    donor.request(at(0), request(2, 2, 1));
    assert_eq!(
        donor.next_request(at(0)),
        Some(request(1, 1, 2)),
        "the later request of the node replaces the earlier one"
    );
    donor.record_sent(NodeId(1), &page(2, None, 1450), 1);
    assert_eq!(donor.next_request(at(400)), None);
    assert_eq!(donor.next_request(at(600)), Some(request(2, 2, 1)));
}

#[test]
fn a_donor_bounds_its_requesters_and_defers_the_others_in_proportion_to_their_number() {
    let mut donor = Donor::new(1 << 20, at(0));
    let mut deferrals = Vec::new();
    for node in 1..=100 {
        deferrals.extend(donor.request(at(0), request(node, node, 1)));
    }
    assert_eq!(deferrals.len(), 100 - TRANSFER_SLOTS);
    assert!(
        deferrals[0] == DEFERRAL_PER_ROUND && *deferrals.last().unwrap() == DEFERRAL_PER_ROUND * 12,
        "{deferrals:?}"
    );
    let first = donor.next_request(at(1)).unwrap().node;
    assert!(
        donor.request(at(2), request(99, 99, 1)).is_some(),
        "no slot is free before the last page is sent"
    );
    donor.record_sent(first, &page(1, None, 10), 1);
    assert_eq!(donor.request(at(3), request(99, 99, 1)), None);
    assert_eq!(
        donor.request(at(2500), request(50, 50, 1)),
        None,
        "slots that were not used for PAGE_TIMEOUT are freed"
    );
}

#[test]
fn the_number_of_entries_that_a_donor_reads_per_second_is_bounded() {
    let mut donor = Donor::new(1 << 20, at(0));
    let mut pages = 0;
    for now in (0..1000).step_by(10).map(at) {
        donor.request(now, request(1, 1, 1));
        while donor.next_request(now).is_some() {
            donor.record_sent(NodeId(1), &page(1, Some(9), 10), 2000);
            donor.request(now, request(1, 1, 1));
            pages += 1;
        }
    }
    let entries = pages * 2000;
    let most = ENTRIES_PER_S + ENTRIES_BURST + 2050;
    assert!((ENTRIES_PER_S - 2050..most).contains(&entries), "{entries} entries in one second");
}
