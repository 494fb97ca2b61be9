mod fixture;

use super::*;
use crate::claims::coordinator::{AttemptId, ClaimOutcome, RunRequest};
use crate::envelope::ReceivedMessage;
use crate::ids::ConfigVersion;
use crate::message::{ClaimRequest, RejectReason};
use crate::replication::key_state::{ClaimId, Key, RunResult};
use crate::test_support::{at, config, id, spec};
use bytes::Bytes;
use fixture::{received, settings, Fixture};

fn succeeded(result: &'static str) -> RunResult {
    RunResult::Succeeded(Bytes::from(result))
}

fn remote_result(result: &'static str) -> ClaimOutcome {
    ClaimOutcome::RemoteResult(succeeded(result))
}

fn rejected(reason: RejectReason) -> ClaimOutcome {
    ClaimOutcome::Rejected(reason)
}

#[test]
fn a_request_runs_on_one_node_and_attempts_on_others_get_its_result() {
    let mut fleet = Fixture::new(5, true);
    fleet.request_run(1, 1, "k");
    fleet.request_run(2, 2, "k");
    assert_eq!(fleet.outcomes(), [(1, ClaimOutcome::Granted), (2, ClaimOutcome::AwaitingRemoteRun)]);
    fleet.complete_run(1, 1, "job");
    let mut outcomes = fleet.outcomes();
    outcomes.sort_by_key(|(attempt, _)| *attempt);
    assert_eq!(outcomes, [(1, ClaimOutcome::StoredByQuorum(true)), (2, remote_result("job"))]);
    fleet.request_run(3, 3, "k");
    assert_eq!(fleet.outcomes(), [(3, remote_result("job"))]);
    assert_eq!(fleet.node(1).open_claims(), 0, "every replica has stored the result");
}

#[test]
fn an_attempt_is_rejected_while_the_replicas_are_recovering_or_unreachable() {
    let mut fleet = Fixture::new(3, false);
    fleet.request_run(1, 1, "k");
    assert_eq!(fleet.outcomes(), [(1, rejected(RejectReason::Recovering))]);
    fleet.advance(18_000);
    fleet.request_run(1, 2, "k");
    assert_eq!(fleet.outcomes(), [(2, ClaimOutcome::Granted)]);
    fleet.down.extend([id(2), id(3)]);
    fleet.request_run(1, 3, "l");
    assert_eq!(fleet.outcomes(), [(3, rejected(RejectReason::Unreachable))]);
}

#[test]
fn a_node_that_restarts_without_its_state_catches_up_and_votes_again() {
    let mut fleet = Fixture::new(3, true);
    fleet.request_run(1, 1, "k");
    fleet.complete_run(1, 1, "job");
    fleet.restart(2, settings(2, 2, false), 2);
    fleet.notifications.clear();
    fleet.advance(300);
    assert!(fleet.has_notified(2, Notification::TableComplete { keys: 1 }), "{:?}", fleet.notifications);
    fleet.outcomes.clear();
    fleet.down.insert(id(3));
    fleet.request_run(2, 2, "k");
    assert_eq!(fleet.outcomes(), [(2, remote_result("job"))]);
    fleet.request_run(2, 3, "l");
    assert_eq!(fleet.outcomes(), [(3, ClaimOutcome::Granted)], "granted by nodes 1 and 2");
}

/// Restarts node 2 with the empty state that it had at this position.
fn restore_second_node(fleet: &mut Fixture, position: StatePosition) {
    let restored = Some(RestoredState { records: Vec::new(), position });
    let incarnation = position.incarnation.next();
    fleet.restart(2, Settings { restored, ..settings(2, incarnation.0, false) }, 1);
    let hello = Message::Hello(fleet.node(2).hello(id(1)));
    fleet.notifications.clear();
    for other in [1, 3] {
        fleet.handle(id(other), received(id(2), incarnation, hello.clone()));
    }
    fleet.advance(300);
}

const POSITION_AFTER_4_S: StatePosition = StatePosition { incarnation: Incarnation(1), uptime_seconds: 4 };

#[test]
fn a_restored_state_that_is_stale_is_detected_and_counts_as_lost() {
    let mut fleet = Fixture::new(3, true);
    fleet.advance(5_000);
    fleet.request_run(1, 1, "k");
    fleet.complete_run(1, 1, "job");
    fleet.advance(5_000);
    restore_second_node(&mut fleet, POSITION_AFTER_4_S);
    let is_detected = |(_, notification): &(NodeId, Notification)| {
        matches!(notification, Notification::StaleState { restored, latest }
            if restored.uptime_seconds == 4 && latest.uptime_seconds >= 9)
    };
    assert!(fleet.notifications.iter().any(is_detected), "{:?}", fleet.notifications);
    assert!(
        fleet.has_notified(2, Notification::TableComplete { keys: 1 }),
        "node 2 catches up: {:?}",
        fleet.notifications
    );
    fleet.outcomes.clear();
    fleet.down.insert(id(3));
    fleet.request_run(2, 2, "k");
    assert_eq!(fleet.outcomes(), [(2, remote_result("job"))]);
}

#[test]
fn a_restored_state_that_is_current_makes_the_table_complete_at_once() {
    let mut fleet = Fixture::new(3, true);
    fleet.advance(5_000);
    restore_second_node(&mut fleet, POSITION_AFTER_4_S);
    assert!(fleet.node(2).is_complete() && fleet.node(2).metrics().stale_states == 0);
}

#[test]
fn nodes_that_all_lost_their_state_do_not_complete_each_others_tables() {
    let mut fleet = Fixture::new(3, true);
    fleet.request_run(1, 1, "k");
    fleet.complete_run(1, 1, "job");
    for n in 1..=3 {
        fleet.restart(n, settings(n, 2, false), n);
    }
    fleet.advance(5_000);
    fleet.outcomes.clear();
    let is_waiting = |node: &ReplicaNode| node.has_quorum() && !node.is_complete() && node.open_donors() == 0;
    assert!(fleet.nodes.values().all(is_waiting));
    fleet.request_run(2, 2, "k");
    assert_eq!(fleet.outcomes(), [(2, rejected(RejectReason::Recovering))]);
    fleet.advance(10_000);
    fleet.restart(1, settings(1, 3, false), 1);
    fleet.advance(3_500);
    fleet.request_run(2, 3, "k");
    assert_eq!(fleet.outcomes(), [(3, ClaimOutcome::Granted)], "the window of the lost key has ended");
    fleet.advance(2_500);
    assert!(
        fleet.node(1).is_complete(),
        "a node that restarts later completes its table once its donors are complete"
    );
}

#[test]
fn messages_lost_with_a_cut_link_are_recovered_from_the_peers_table() {
    let mut fleet = Fixture::new(3, true);
    fleet.request_run(1, 1, "k");
    fleet.complete_run(1, 1, "job");
    fleet.restart(2, settings(2, 2, true), 2);
    fleet.advance(500);
    let before = fleet.node(2).metrics().records_received;
    let hello = Hello { link_cut: true, ..fleet.node(1).hello(id(2)) };
    fleet.handle(id(2), received(id(1), Incarnation(1), Message::Hello(hello)));
    fleet.advance(100);
    assert_eq!(fleet.node(2).metrics().records_received, before + 1);
}

#[test]
fn a_node_that_was_suspended_claims_nothing_until_it_has_heard_a_majority() {
    let mut fleet = Fixture::new(3, true);
    fleet.now += at(5_000);
    fleet.down.extend([id(2), id(3)]);
    fleet.handle(id(1), Event::Tick);
    assert!(matches!(fleet.notifications.last(), Some((_, Notification::Resumed { .. }))));
    fleet.request_run(1, 1, "k");
    assert_eq!(fleet.outcomes(), [(1, rejected(RejectReason::NoQuorum))]);
    fleet.down.clear();
    fleet.advance(1_000);
    fleet.request_run(1, 2, "k");
    assert_eq!(fleet.outcomes(), [(2, ClaimOutcome::Granted)]);
}

#[test]
fn a_second_process_under_the_same_name_supersedes_the_first() {
    let mut fleet = Fixture::new(3, true);
    let hello = |incarnation| {
        Message::Hello(Hello {
            name: "n1".into(),
            to: id(2),
            incarnation,
            configs: vec![],
            retired_through: ConfigVersion(0),
            link_cut: false,
            uptime_seconds: 0,
            restored: None,
        })
    };
    let (first, second) = (Incarnation(1), Incarnation(2));
    let hello_of_second = Event::MessageReceived(ReceivedMessage {
        link: LinkId(99),
        from: id(1),
        incarnation: second,
        message: hello(second),
    });
    fleet.handle(id(2), hello_of_second);
    fleet.handle(id(2), received(id(1), first, hello(first)));
    assert!(fleet.has_notified(1, Notification::Superseded { incarnation: second }));
    fleet.request_run(1, 1, "k");
    assert_eq!(fleet.outcomes(), [(1, rejected(RejectReason::Superseded))]);
}

#[test]
fn a_node_whose_clock_was_set_back_takes_a_higher_incarnation() {
    let mut fleet = Fixture::new(3, true);
    fleet.restart(1, settings(1, 0, false), 1);
    let hello = Message::Hello(fleet.node(1).hello(id(2)));
    fleet.handle(id(2), received(id(1), Incarnation(0), hello));
    assert_eq!(fleet.node(1).incarnation(), Incarnation(2));
}

#[test]
fn a_config_reaches_all_nodes_and_the_old_one_retires() {
    let mut fleet = Fixture::new(4, true);
    let next = Arc::new(config(2, &[1, 2, 3, 4, 5], 1));
    let fifth = ReplicaNode::new(settings(5, 1, true), next.clone(), fleet.now);
    fleet.nodes.insert(id(5), fifth);
    fleet.handle(id(1), Event::ConfigProposed(next));
    let have_active = |fleet: &Fixture, versions: &[u64]| {
        let versions: Vec<ConfigVersion> = versions.iter().map(|version| ConfigVersion(*version)).collect();
        fleet.nodes.values().all(|node| node.configs().versions() == versions)
    };
    assert!(have_active(&fleet, &[1, 2]), "nodes request the configurations that they lack");
    fleet.advance(100);
    fleet.request_run(5, 1, "k");
    assert_eq!(fleet.outcomes(), [(1, ClaimOutcome::Granted)]);
    fleet.advance(20_000);
    assert!(have_active(&fleet, &[2]));
    fleet.handle(id(1), Event::ConfigProposed(Arc::new(config(1, &[1, 2, 3, 4], 1))));
    assert!(matches!(fleet.notifications.last(), Some((_, Notification::ConfigRejected(_)))));
}

#[test]
fn a_node_with_another_config_of_the_same_version_is_not_granted_claims() {
    let mut fleet = Fixture::new(3, true);
    let mut other = spec(1, &[1, 2, 3], 1);
    other.members[0].zone = "elsewhere".into();
    let other = Arc::new(MembershipConfig::new(other).unwrap());
    fleet.nodes.insert(id(3), ReplicaNode::new(settings(3, 2, true), other, fleet.now));
    let hello = Message::Hello(fleet.node(3).hello(id(1)));
    for n in [1, 2] {
        fleet.handle(id(n), received(id(3), Incarnation(2), hello.clone()));
    }
    fleet.advance(1_000);
    fleet.request_run(3, 1, "k");
    assert_eq!(fleet.outcomes(), [(1, rejected(RejectReason::ConfigConflict))]);
    fleet.request_run(1, 2, "k");
    assert_eq!(fleet.outcomes(), [(2, ClaimOutcome::Granted)]);
}

#[test]
fn a_grant_that_could_not_be_stored_is_not_sent() {
    let mut fleet = Fixture::new(3, true);
    for n in [2, 3] {
        fleet.restart(n, Settings { is_durable: true, ..settings(n, 2, true) }, n);
    }
    fleet.advance(200);
    let mut out = Vec::new();
    let request = ClaimRequest {
        claim: ClaimId { node: id(1), incarnation: Incarnation(1), number: 1 },
        key: "k".into(),
        body: 1,
        retain_ms: 9_000,
        config_versions: vec![ConfigVersion(1)],
    };
    let now = fleet.now;
    let node = fleet.nodes.get_mut(&id(2)).unwrap();
    let link = LinkId(5);
    let message = Message::Claim(request);
    let event =
        Event::MessageReceived(ReceivedMessage { link, from: id(1), incarnation: Incarnation(1), message });
    node.handle(now, event, &mut out);
    let sequence = match &out[..] {
        [Action::Store { sequence, record: Some(record), .. }] => {
            assert!(record.vote.is_some());
            *sequence
        }
        other => panic!("{other:?}"),
    };
    out.clear();
    node.handle(now, Event::StoreFinished { sequence, stored: false }, &mut out);
    let [Action::Respond(to, Message::Uncertain { reason, .. })] = &out[..] else { panic!("{out:?}") };
    assert_eq!((*to, *reason), (link, RejectReason::NotDurable));
}

#[test]
fn a_deactivated_node_grants_no_claims_but_completes_its_runs_until_it_is_activated_again() {
    let mut fleet = Fixture::new(3, true);
    fleet.request_run(1, 1, "k");
    assert_eq!(fleet.outcomes(), [(1, ClaimOutcome::Granted)]);
    fleet.handle(id(1), Event::Deactivated);
    fleet.complete_run(1, 1, "job");
    assert_eq!(fleet.outcomes(), [(1, ClaimOutcome::StoredByQuorum(true))]);
    fleet.down.insert(id(3));
    fleet.request_run(2, 2, "l");
    assert_eq!(fleet.outcomes(), [(2, rejected(RejectReason::Superseded))]);
    fleet.down.clear();
    fleet.handle(id(1), Event::Activated(Incarnation(5)));
    fleet.advance(1_000);
    fleet.down.insert(id(3));
    fleet.request_run(2, 3, "m");
    assert_eq!(fleet.outcomes(), [(3, ClaimOutcome::Granted)], "node 1 has caught up in a new incarnation");
}
