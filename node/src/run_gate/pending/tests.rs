use std::time::Duration;

use bytes::Bytes;

use super::*;
use crate::outcome::BodyDigest;

const ID: RequestId = RequestId(1);

/// One run that waits with these votes.
fn pending(completion: Option<Completion>, store: Vote, peers: Vote) -> PendingRuns {
    let run = KeyedRun {
        id: ID,
        request: None,
        key: Bytes::from_static(b"key"),
        body_digest: BodyDigest(1),
        expires_at: Duration::from_secs(1),
    };
    let mut runs = PendingRuns::default();
    runs.insert(PendingRun { run, completion, store, peers });
    runs
}

#[test]
fn two_votes_are_pending_as_long_as_either_is_and_agree_only_together() {
    let all = [Vote::Yes, Vote::Pending, Vote::No];
    let table = all.map(|one| all.map(|other| one.and(other)));
    assert_eq!(
        table,
        [
            [Vote::Yes, Vote::Pending, Vote::No],
            [Vote::Pending, Vote::Pending, Vote::Pending],
            [Vote::No, Vote::Pending, Vote::No],
        ]
    );
}

#[test]
fn a_run_is_resolved_once_both_have_agreed() {
    let mut runs = pending(None, Vote::Pending, Vote::Pending);
    runs.waiting_for_store(ID).unwrap().store = Vote::Yes;
    assert!(runs.remove_resolved(ID).is_none());
    assert!(runs.waiting_for_store(ID).is_none(), "the store has voted");
    runs.waiting_to_start(ID).unwrap().peers = Vote::Yes;
    assert!(!runs.remove_resolved(ID).unwrap().is_denied());
    assert!(runs.remove(ID).is_none());
}

#[test]
fn one_vote_against_a_run_resolves_it_though_the_other_is_pending() {
    let mut runs = pending(None, Vote::Pending, Vote::Pending);
    runs.waiting_for_store(ID).unwrap().store = Vote::No;
    assert!(runs.remove_resolved(ID).unwrap().is_denied());
}

#[test]
fn a_run_waits_to_start_until_it_has_ended_and_to_complete_after_that() {
    let mut runs = pending(None, Vote::Yes, Vote::Pending);
    assert!(runs.waiting_to_start(ID).is_some() && runs.waiting_to_complete(ID).is_none());
    let mut runs = pending(Some(Completion::Failed), Vote::Yes, Vote::Pending);
    assert!(runs.waiting_to_start(ID).is_none() && runs.waiting_to_complete(ID).is_some());
}
