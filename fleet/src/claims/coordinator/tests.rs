use super::*;
use crate::ids::ConfigVersion;
use crate::message::ConflictingClaim;
use crate::test_support::{at, config, id};
use bytes::Bytes;
use std::sync::Arc;

fn run_request(attempt: u64) -> RunRequest {
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

/// A coordinator with one open claim, whose three replicas have been asked to grant it.
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
        claims.request_run(at(0), run_request(1), &configs, &mut out);
        assert_eq!(out.len(), 3, "every replica is asked to grant the claim: {out:?}");
        out.clear();
        Fixture { claims, configs, out }
    }

    /// Returns the outcomes that the attempt was notified of since the last call.
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

    /// Delivers a grant that replica `from` sent in `incarnation`, with the incarnations of other replicas that
    /// it knows.
    fn grant(&mut self, from: usize, incarnation: u64, known: Vec<(NodeId, u64)>) -> Vec<ClaimOutcome> {
        let incarnations = known.into_iter().map(|(node, known)| (node, Incarnation(known))).collect();
        let message = Message::Granted { claim: fixture_claim(), incarnations };
        self.respond_in(incarnation, from, message)
    }

    fn block(
        &mut self,
        from: usize,
        conflicting: ClaimId,
        result: Option<&'static str>,
    ) -> Vec<ClaimOutcome> {
        let completed = result.map(|result| CompletedRun {
            received_at: 0,
            node_index: 0,
            claim: conflicting,
            result: succeeded(result),
            body: 5,
        });
        let conflict = ConflictingClaim { claim: conflicting, body: 5, completed, expired_ms: 0 };
        self.respond(from, Message::Blocked { claim: fixture_claim(), conflict })
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

/// Id of the fixture's claim.
fn fixture_claim() -> ClaimId {
    ClaimId { node: id(1), incarnation: Incarnation(4), number: 1 }
}

/// Id of a claim of another node, higher than that of the fixture's claim.
fn conflicting_claim(number: u64) -> ClaimId {
    ClaimId { node: NodeId(u64::MAX), incarnation: Incarnation(1), number }
}

#[test]
fn a_run_starts_after_a_quorum_of_grants_and_its_result_is_reported_after_a_quorum_of_stores() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.grant(2, 1, vec![]), []);
    assert_eq!(fixture.grant(3, 1, vec![]), [ClaimOutcome::Granted]);
    fixture.complete(succeeded("job"));
    assert_eq!(fixture.out.len(), 3, "every replica is sent the result");
    fixture.out.clear();
    let claim = fixture_claim();
    for (from, outcomes) in [(1, vec![]), (2, vec![ClaimOutcome::StoredByQuorum(true)]), (3, vec![])] {
        assert_eq!(fixture.respond(from, Message::Stored { claim, stored: true }), outcomes);
    }
    assert_eq!(fixture.claims.open_claims(), 0);
}

#[test]
fn a_grant_of_an_earlier_incarnation_does_not_count() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.grant(2, 1, vec![]), []);
    assert_eq!(
        fixture.grant(3, 1, vec![(id(2), 2)]),
        [],
        "replica 2 has begun another incarnation since its grant"
    );
    assert_eq!(fixture.grant(2, 2, vec![]), [ClaimOutcome::Granted]);
}

#[test]
fn an_attempt_without_a_quorum_waits_for_the_conflicting_run_and_gets_its_result() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.block(2, conflicting_claim(1), None), []);
    assert_eq!(fixture.block(3, conflicting_claim(1), None), [ClaimOutcome::AwaitingRemoteRun]);
    assert_eq!(
        fixture.block(3, conflicting_claim(1), Some("job")),
        [ClaimOutcome::RemoteResult(succeeded("job"))]
    );
    assert_eq!(fixture.claims.open_claims(), 0);
}

#[test]
fn the_result_of_a_completed_run_reported_by_one_replica_is_the_outcome_and_a_body_mismatch_is_reported() {
    let mut fixture = Fixture::new();
    fixture.grant(2, 1, vec![]);
    assert_eq!(
        fixture.block(3, conflicting_claim(1), Some("job")),
        [ClaimOutcome::RemoteResult(succeeded("job"))]
    );
    let mut fixture = Fixture::new();
    let conflict = ConflictingClaim { claim: conflicting_claim(1), body: 6, completed: None, expired_ms: 0 };
    let blocked = Message::Blocked { claim: fixture_claim(), conflict };
    assert_eq!(fixture.respond(2, blocked.clone()), []);
    assert_eq!(fixture.respond(3, blocked), [ClaimOutcome::BodyMismatch]);
}

#[test]
fn an_attempt_is_rejected_at_once_when_too_few_replicas_can_grant_its_claim() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.grant(1, 1, vec![]), []);
    let uncertain = Message::Uncertain { claim: fixture_claim(), reason: RejectReason::Recovering };
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
fn of_two_claims_that_each_hold_some_grants_the_one_with_the_lower_id_keeps_retrying() {
    let mut fixture = Fixture::new();
    fixture.grant(1, 1, vec![]);
    fixture.claims.handle_unreachable(at(1), id(3), &mut fixture.out);
    assert_eq!(fixture.block(2, conflicting_claim(1), None), [], "the fixture's claim has the lower id");
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
    fixture.block(2, conflicting_claim(1), None);
    fixture.block(3, conflicting_claim(1), None);
    fixture.tick(1_750, |_| true);
    assert_eq!(fixture.outcomes(), [ClaimOutcome::Unknown]);
    let mut fixture = Fixture::new();
    fixture.grant(2, 1, vec![]);
    fixture.grant(3, 1, vec![]);
    fixture.complete(succeeded("job"));
    fixture.tick(1_750, |_| true);
    assert_eq!(fixture.outcomes(), [ClaimOutcome::StoredByQuorum(false)]);
    assert_eq!(fixture.claims.open_claims(), 1, "the result is still to be sent to the replicas");
    fixture.tick(18_000, |_| true);
    assert_eq!(fixture.claims.open_claims(), 0);
}

#[test]
fn a_result_stored_by_a_quorum_is_not_retried_to_a_replica_that_does_not_answer_probes() {
    let mut fixture = Fixture::new();
    fixture.grant(1, 1, vec![]);
    fixture.grant(2, 1, vec![]);
    fixture.complete(succeeded("job"));
    let claim = fixture_claim();
    for from in [1, 2] {
        fixture.respond(from, Message::Stored { claim, stored: true });
    }
    fixture.out.clear();
    fixture.tick(60, |node| node != id(3));
    assert_eq!(fixture.out, []);
    fixture.tick(200, |_| true);
    assert!(
        matches!(fixture.out[..], [ClaimAction::Send(to, Message::Completed { .. })] if to == id(3)),
        "the replica answers probes again"
    );
}

#[test]
fn an_attempt_is_rejected_when_the_claim_it_waited_for_is_released_without_a_run() {
    let mut fixture = Fixture::new();
    fixture.block(2, conflicting_claim(1), None);
    fixture.block(3, conflicting_claim(1), None);
    let claim = fixture_claim();
    for (from, outcomes) in [(2, vec![]), (1, vec![ClaimOutcome::Rejected(RejectReason::ClaimReleased)])] {
        assert_eq!(fixture.respond(from, Message::KeyFree { claim }), outcomes);
    }
}

#[test]
fn a_new_config_makes_the_claim_again_in_both_configs() {
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
    let claim = ClaimId { number: 2, ..fixture_claim() };
    for (from, is_granted) in [(1, false), (3, false), (4, true)] {
        let message = Message::Granted { claim, incarnations: vec![] };
        assert_eq!(
            fixture.respond(from, message) == [ClaimOutcome::Granted],
            is_granted,
            "nodes 1 and 3 are a quorum of the first configuration only"
        );
    }
}

#[test]
fn replicas_that_query_a_claim_get_its_outcome() {
    let mut fixture = Fixture::new();
    let claim = fixture_claim();
    assert_eq!(fixture.resolve(1, claim, false), None, "the claim's run may still start");
    let unknown = ClaimId { number: 9, ..claim };
    assert!(matches!(fixture.resolve(1, unknown, false), Some(Message::Release { .. })));
    let earlier = ClaimId { incarnation: Incarnation(3), ..claim };
    assert_eq!(fixture.resolve(1, earlier, true), None, "the predecessor may still complete the run");
    let lost = fixture.resolve(1, earlier, false);
    assert!(matches!(
        lost,
        Some(Message::Completed { run: CompletedRun { result: RunResult::Failed, .. }, .. })
    ));
    fixture.grant(2, 1, vec![]);
    fixture.grant(3, 1, vec![]);
    assert_eq!(fixture.resolve(1, claim, false), None, "the run is in progress");
    fixture.complete(RunResult::Failed);
    assert!(matches!(fixture.resolve(6, claim, false), Some(Message::Completed { .. })));
}

/// Guards against attempts that are never answered, because their node stood still until their key had expired and its claim
/// was closed without a word to them.
#[test]
fn an_attempt_that_still_waits_when_its_key_expires_is_notified() {
    let expired = 10_000 + LATE_READ_GRACE.as_millis() as u64;
    let mut collecting = Fixture::new();
    collecting.tick(expired, |_| true);
    assert_eq!(collecting.outcomes(), [ClaimOutcome::Rejected(RejectReason::DeadlineExceeded)]);
    let mut waiting = Fixture::new();
    for from in [2, 3] {
        waiting.block(from, conflicting_claim(1), None);
    }
    waiting.tick(expired, |_| true);
    assert_eq!(waiting.outcomes(), [ClaimOutcome::Unknown]);
    waiting.tick(expired + 1, |_| true);
    assert_eq!(waiting.outcomes(), [], "it is notified once");
}
