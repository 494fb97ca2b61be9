use super::*;
use crate::ids::ConfigVersion;
use crate::message::ConflictingClaim;
use crate::test_support::{at, config, id};
use bytes::Bytes;
use std::sync::Arc;

fn request(attempt: u64) -> RunRequest {
    RunRequest {
        attempt: AttemptId(attempt),
        key: Bytes::from("k"),
        body_digest: 5,
        window_ends_at: at(10_000),
        received_at: at(0),
        received_unix_ms: 1,
        deadline: at(2_000),
    }
}

fn succeeded(result: &'static str) -> RunResult {
    RunResult::Succeeded(Bytes::from(result))
}

/// A coordinator with one claim, which its three replicas were asked to grant.
struct Fixture {
    claims: ClaimCoordinator,
    configs: ActiveConfigs,
    out: Vec<ClaimAction>,
}

impl Fixture {
    fn new() -> Fixture {
        let configs = ActiveConfigs::new(id(1), Arc::new(config(1, &[1, 2, 3], 1)));
        let mut claims = ClaimCoordinator::new(id(1), Incarnation(4));
        let mut out = Vec::new();
        claims.request_run(at(0), request(1), &configs, &mut out);
        assert_eq!(out.len(), 3, "every replica is asked: {out:?}");
        out.clear();
        Fixture { claims, configs, out }
    }

    /// What the attempt was notified of since the last call.
    fn outcomes(&mut self) -> Vec<ClaimOutcome> {
        let outcomes = self.out.drain(..).filter_map(|action| match action {
            ClaimAction::Notify(_, outcome) => Some(outcome),
            ClaimAction::Send(..) => None,
        });
        outcomes.collect()
    }

    fn respond(&mut self, from: usize, message: Message) -> Vec<ClaimOutcome> {
        self.respond_in(1, from, message)
    }

    fn respond_in(&mut self, incarnation: u64, from: usize, message: Message) -> Vec<ClaimOutcome> {
        let incarnation = Incarnation(incarnation);
        self.claims.handle_response(at(1), id(from), incarnation, message, &mut self.out);
        self.outcomes()
    }

    /// The replica grants the claim in this incarnation of it, and knows of these.
    fn grant(&mut self, from: usize, incarnation: u64, known: Vec<(NodeId, u64)>) -> Vec<ClaimOutcome> {
        let incarnations = known.into_iter().map(|(node, known)| (node, Incarnation(known))).collect();
        let message = Message::Granted { claim: claim(), incarnations };
        self.respond_in(incarnation, from, message)
    }

    fn block(&mut self, from: usize, first: ClaimId, result: Option<&'static str>) -> Vec<ClaimOutcome> {
        let completed = result.map(|result| CompletedRun {
            received_at: 0,
            node_index: 0,
            claim: first,
            result: succeeded(result),
            body: 5,
        });
        let conflict = ConflictingClaim { claim: first, body: 5, completed, expired_ms: 0 };
        self.respond(from, Message::Blocked { claim: claim(), conflict })
    }

    fn complete(&mut self, result: RunResult) {
        self.claims.complete_run(at(5), AttemptId(1), result, &mut self.out);
    }

    fn tick(&mut self, millis: u64, is_alive: impl Fn(NodeId) -> bool) {
        self.claims.tick(at(millis), is_alive, &mut self.out);
    }

    fn resolve(&self, millis: u64, claim: ClaimId, predecessor_alive: bool) -> Option<Message> {
        self.claims.resolve(at(millis), &Bytes::from("k"), claim, 5, predecessor_alive)
    }
}

/// The claim of the fixture.
fn claim() -> ClaimId {
    ClaimId { node: id(1), incarnation: Incarnation(4), number: 1 }
}

fn other(number: u64) -> ClaimId {
    ClaimId { node: NodeId(u64::MAX), incarnation: Incarnation(1), number }
}

#[test]
fn a_quorum_permits_a_run_and_a_quorum_permits_its_result() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.grant(2, 1, vec![]), []);
    assert_eq!(fixture.grant(3, 1, vec![]), [ClaimOutcome::Granted]);
    fixture.complete(succeeded("job"));
    assert_eq!(fixture.out.len(), 3, "every replica is sent the result");
    fixture.out.clear();
    let claim = self::claim();
    for (from, outcomes) in [(1, vec![]), (2, vec![ClaimOutcome::StoredByQuorum(true)]), (3, vec![])] {
        assert_eq!(fixture.respond(from, Message::Stored { claim, stored: true }), outcomes);
    }
    assert_eq!(fixture.claims.open_claims(), 0);
}

#[test]
fn a_grant_of_an_earlier_incarnation_does_not_count() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.grant(2, 1, vec![]), []);
    assert_eq!(fixture.grant(3, 1, vec![(id(2), 2)]), [], "the second has lost its state since");
    assert_eq!(fixture.grant(2, 2, vec![]), [ClaimOutcome::Granted]);
}

#[test]
fn an_attempt_without_a_quorum_waits_for_the_run_that_was_first_and_gets_its_result() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.block(2, other(1), None), []);
    assert_eq!(fixture.block(3, other(1), None), [ClaimOutcome::AwaitingRemoteRun]);
    assert_eq!(fixture.block(3, other(1), Some("job")), [ClaimOutcome::RemoteResult(succeeded("job"))]);
    assert_eq!(fixture.claims.open_claims(), 0);
}

#[test]
fn a_completed_run_is_believed_whichever_replica_reports_it_and_a_body_mismatch_is_reported() {
    let mut fixture = Fixture::new();
    fixture.grant(2, 1, vec![]);
    assert_eq!(fixture.block(3, other(1), Some("job")), [ClaimOutcome::RemoteResult(succeeded("job"))]);
    let mut fixture = Fixture::new();
    let conflict = ConflictingClaim { claim: other(1), body: 6, completed: None, expired_ms: 0 };
    let blocked = Message::Blocked { claim: claim(), conflict };
    assert_eq!(fixture.respond(2, blocked.clone()), []);
    assert_eq!(fixture.respond(3, blocked), [ClaimOutcome::BodyMismatch]);
}

#[test]
fn without_a_quorum_that_can_answer_nothing_runs_and_the_attempt_is_rejected_at_once() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.grant(1, 1, vec![]), []);
    let uncertain = Message::Uncertain { claim: claim(), reason: RejectReason::Recovering };
    assert_eq!(fixture.respond(2, uncertain), []);
    fixture.claims.handle_unreachable(at(1), id(3), &mut fixture.out);
    let is_release = |action: &&ClaimAction| matches!(action, ClaimAction::Send(_, Message::Release { .. }));
    assert_eq!(fixture.out.iter().filter(is_release).count(), 3);
    assert!(matches!(
        fixture.outcomes()[..],
        [ClaimOutcome::Rejected(RejectReason::Recovering | RejectReason::Unreachable)]
    ));
}

#[test]
fn of_two_claims_with_some_of_the_replicas_each_the_lower_one_keeps_asking() {
    let mut fixture = Fixture::new();
    fixture.grant(1, 1, vec![]);
    fixture.claims.handle_unreachable(at(1), id(3), &mut fixture.out);
    assert_eq!(fixture.block(2, other(1), None), [], "this one is lower");
    fixture.tick(60, |_| true);
    assert!(
        matches!(fixture.out[..], [ClaimAction::Send(to, Message::Claim(_))] if to == id(2)),
        "{:?}",
        fixture.out
    );
    fixture.out.clear();
    assert_eq!(fixture.grant(2, 1, vec![]), [ClaimOutcome::Granted]);
    let mut fixture = Fixture::new();
    fixture.grant(1, 1, vec![]);
    fixture.claims.handle_unreachable(at(1), id(3), &mut fixture.out);
    let lower = ClaimId { node: NodeId(0), incarnation: Incarnation(1), number: 1 };
    assert_eq!(fixture.block(2, lower, None), [ClaimOutcome::AwaitingRemoteRun]);
}

#[test]
fn no_attempt_waits_past_its_deadline() {
    let mut fixture = Fixture::new();
    fixture.tick(1_749, |_| true);
    assert_eq!(fixture.outcomes(), []);
    fixture.tick(1_750, |_| true);
    assert_eq!(fixture.outcomes(), [ClaimOutcome::Rejected(RejectReason::DeadlineExceeded)]);
    let mut fixture = Fixture::new();
    fixture.block(2, other(1), None);
    fixture.block(3, other(1), None);
    fixture.tick(1_750, |_| true);
    assert_eq!(fixture.outcomes(), [ClaimOutcome::Unknown]);
    let mut fixture = Fixture::new();
    fixture.grant(2, 1, vec![]);
    fixture.grant(3, 1, vec![]);
    fixture.complete(succeeded("job"));
    fixture.tick(1_750, |_| true);
    assert_eq!(fixture.outcomes(), [ClaimOutcome::StoredByQuorum(false)]);
    assert_eq!(fixture.claims.open_claims(), 1, "the replicas must still get the result");
    fixture.tick(18_000, |_| true);
    assert_eq!(fixture.claims.open_claims(), 0);
}

#[test]
fn a_replica_that_does_not_answer_probes_is_not_sent_each_result_again_and_again() {
    let mut fixture = Fixture::new();
    fixture.grant(1, 1, vec![]);
    fixture.grant(2, 1, vec![]);
    fixture.complete(succeeded("job"));
    let claim = self::claim();
    for from in [1, 2] {
        fixture.respond(from, Message::Stored { claim, stored: true });
    }
    fixture.out.clear();
    fixture.tick(60, |node| node != id(3));
    assert_eq!(fixture.out, []);
    fixture.tick(200, |_| true);
    assert!(
        matches!(fixture.out[..], [ClaimAction::Send(to, Message::Completed { .. })] if to == id(3)),
        "it is back"
    );
}

#[test]
fn an_attempt_that_waited_for_a_run_that_never_started_is_rejected() {
    let mut fixture = Fixture::new();
    fixture.block(2, other(1), None);
    fixture.block(3, other(1), None);
    let claim = self::claim();
    for (from, outcomes) in [(2, vec![]), (1, vec![ClaimOutcome::Rejected(RejectReason::ClaimReleased)])] {
        assert_eq!(fixture.respond(from, Message::KeyFree { claim }), outcomes);
    }
}

#[test]
fn a_new_config_renews_the_claim_in_both() {
    let mut fixture = Fixture::new();
    fixture.grant(2, 1, vec![]);
    fixture.configs.propose(Arc::new(config(2, &[1, 2, 4], 1))).unwrap();
    fixture.claims.reconfigure(at(2), &fixture.configs, &mut fixture.out);
    let requests: Vec<_> = fixture
        .out
        .drain(..)
        .filter_map(|action| match action {
            ClaimAction::Send(_, Message::Claim(request)) => Some(request),
            _ => None,
        })
        .collect();
    assert_eq!(requests.len(), 4);
    let both = [ConfigVersion(1), ConfigVersion(2)];
    assert!(requests
        .iter()
        .all(|request| (request.claim.number, &request.config_versions[..]) == (2, &both)));
    let claim = ClaimId { number: 2, ..claim() };
    for (from, is_granted) in [(1, false), (3, false), (4, true)] {
        let message = Message::Granted { claim, incarnations: vec![] };
        assert_eq!(
            fixture.respond(from, message) == [ClaimOutcome::Granted],
            is_granted,
            "1 and 3 are a quorum of the first config alone"
        );
    }
}

#[test]
fn replicas_are_told_what_became_of_a_claim() {
    let mut fixture = Fixture::new();
    let claim = self::claim();
    assert_eq!(fixture.resolve(1, claim, false), None, "it may still start");
    let unknown = ClaimId { number: 9, ..claim };
    assert!(matches!(fixture.resolve(1, unknown, false), Some(Message::Release { .. })));
    let earlier = ClaimId { incarnation: Incarnation(3), ..claim };
    assert_eq!(fixture.resolve(1, earlier, true), None, "the predecessor may still run it");
    let lost = fixture.resolve(1, earlier, false);
    assert!(matches!(
        lost,
        Some(Message::Completed { run: CompletedRun { result: RunResult::Failed, .. }, .. })
    ));
    fixture.grant(2, 1, vec![]);
    fixture.grant(3, 1, vec![]);
    assert_eq!(fixture.resolve(1, claim, false), None, "it runs");
    fixture.complete(RunResult::Failed);
    assert!(matches!(fixture.resolve(6, claim, false), Some(Message::Completed { .. })));
}
