use std::time::Duration;

use bytes::Bytes;

use super::*;
use crate::outcome::BodyDigest;

const ID: RequestId = RequestId(1);

/// A table of pending runs with one run in this state.
fn pending(completion: Option<Completion>, store: Approval, peers: Approval) -> PendingRuns {
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
fn two_approvals_are_pending_as_long_as_either_is_and_granted_only_together() {
    let all = [Approval::Granted, Approval::Pending, Approval::Denied];
    let table = all.map(|one| all.map(|other| one.and(other)));
    assert_eq!(
        table,
        [
            [Approval::Granted, Approval::Pending, Approval::Denied],
            [Approval::Pending, Approval::Pending, Approval::Pending],
            [Approval::Denied, Approval::Pending, Approval::Denied],
        ]
    );
}

#[test]
fn a_run_is_resolved_once_the_store_and_the_peers_have_granted_it() {
    let mut runs = pending(None, Approval::Pending, Approval::Pending);
    runs.waiting_for_store(ID).unwrap().store = Approval::Granted;
    assert!(runs.remove_resolved(ID).is_none());
    assert!(runs.waiting_for_store(ID).is_none(), "the store has answered");
    runs.waiting_to_start(ID).unwrap().peers = Approval::Granted;
    assert!(!runs.remove_resolved(ID).unwrap().is_denied());
    assert!(runs.remove(ID).is_none());
}

#[test]
fn one_denial_resolves_a_run_while_the_other_approval_is_pending() {
    let mut runs = pending(None, Approval::Pending, Approval::Pending);
    runs.waiting_for_store(ID).unwrap().store = Approval::Denied;
    assert!(runs.remove_resolved(ID).unwrap().is_denied());
}

#[test]
fn a_run_waits_to_start_without_a_completion_and_to_complete_with_one() {
    let mut runs = pending(None, Approval::Granted, Approval::Pending);
    assert!(runs.waiting_to_start(ID).is_some() && runs.waiting_to_complete(ID).is_none());
    let mut runs = pending(Some(Completion::Failed), Approval::Granted, Approval::Pending);
    assert!(runs.waiting_to_start(ID).is_none() && runs.waiting_to_complete(ID).is_some());
}
