use super::gossip::MAX_UPDATES_PER_MESSAGE;
use super::*;
use crate::test_support::at;

const PERIOD: Duration = Duration::from_millis(1000);
const LINK: LinkId = LinkId(1);
const INCARNATION: Incarnation = Incarnation(1);

fn id(n: u64) -> NodeId {
    NodeId(n)
}

fn detector(this_node: u64, count: u64) -> FailureDetector {
    let mut detector = FailureDetector::new(id(this_node), INCARNATION, 7, PERIOD);
    detector.set_members(&(1..=count).map(id).collect());
    detector
}

fn ping_targets(out: &[Outbound]) -> Vec<NodeId> {
    let target = |outbound: &Outbound| match outbound {
        Outbound::Send(to, Message::Ping { .. }) => Some(*to),
        _ => None,
    };
    out.iter().filter_map(target).collect()
}

/// Returns the sequence number of the last probe that was sent to a node.
fn last_seq_to(out: &[Outbound], node: NodeId) -> u64 {
    let found = out.iter().rev().find_map(|outbound| match outbound {
        Outbound::Send(to, Message::Ping { seq, .. }) if *to == node => Some(*seq),
        _ => None,
    });
    found.unwrap()
}

fn ack(seq: u64) -> Message {
    Message::Ack { seq, uptime_seconds: 0, gossip: vec![] }
}

fn update(node: u64, refutations: u32, liveness: Liveness) -> GossipUpdate {
    GossipUpdate {
        node: id(node),
        version: MemberVersion { incarnation: INCARNATION, refutations },
        liveness,
    }
}

#[test]
fn after_a_start_every_member_is_contacted_and_those_that_answer_are_confirmed() {
    let (mut detector, mut out) = (detector(1, 4), Vec::new());
    detector.tick(at(0), false, &mut out);
    let contacted: BTreeSet<NodeId> = ping_targets(&out).into_iter().collect();
    assert_eq!(contacted, [2, 3, 4].map(id).into());
    let seq = last_seq_to(&out, id(2));
    detector.handle_message(at(1), LINK, id(2), ack(seq), &mut out);
    assert_eq!(*detector.confirmed(), [id(2)].into());
    out.clear();
    detector.tick(at(600), false, &mut out);
    let contacted: BTreeSet<NodeId> = ping_targets(&out).into_iter().collect();
    assert!(contacted.is_superset(&[id(3), id(4)].into()));
}

#[test]
fn after_a_reset_no_member_is_confirmed_and_acks_of_earlier_probes_do_not_count() {
    let (mut detector, mut out) = (detector(1, 3), Vec::new());
    detector.tick(at(0), false, &mut out);
    let earlier = last_seq_to(&out, id(2));
    detector.reset();
    detector.handle_message(at(1), LINK, id(2), ack(earlier), &mut out);
    assert!(detector.confirmed().is_empty());
    out.clear();
    detector.tick(at(2), false, &mut out);
    let seq = last_seq_to(&out, id(2));
    detector.handle_message(at(3), LINK, id(2), ack(seq), &mut out);
    assert_eq!(*detector.confirmed(), [id(2)].into());
}

/// Returns a detector with three other members, the one that it suspects because a probe was not answered,
/// and the time at which it became a suspect.
fn detector_with_suspect() -> (FailureDetector, NodeId, Time) {
    let (mut detector, mut out) = (detector(1, 4), Vec::new());
    for node in [2, 3, 4] {
        detector.record_message(id(node), INCARNATION);
    }
    detector.tick(at(0), true, &mut out);
    let target = *ping_targets(&out).last().unwrap();
    out.clear();
    detector.tick(at(400), true, &mut out);
    let is_indirect_ping = |outbound: &&Outbound| match outbound {
        Outbound::Send(_, Message::IndirectPing { target: probed, .. }) => *probed == target,
        _ => false,
    };
    let indirect = out.iter().filter(is_indirect_ping);
    assert_eq!(indirect.count(), 2, "both other members are asked to probe it: {out:?}");
    detector.tick(at(1000), true, &mut out);
    assert_eq!(detector.liveness(target), Liveness::Suspect);
    (detector, target, at(1000))
}

#[test]
fn a_member_that_answers_neither_direct_nor_indirect_probes_becomes_suspect_and_then_dead() {
    let (mut detector, target, suspected_at) = detector_with_suspect();
    let mut out = Vec::new();
    detector.tick(suspected_at + at(3_999), true, &mut out);
    assert_ne!(detector.liveness(target), Liveness::Dead);
    detector.tick(suspected_at + at(4_000), true, &mut out);
    assert_eq!(detector.liveness(target), Liveness::Dead);
    assert_eq!(detector.counts().dead, 1);
    detector.record_message(target, INCARNATION);
    assert_eq!(
        detector.liveness(target),
        Liveness::Alive,
        "a message from the member shows that it is alive"
    );
}

#[test]
fn an_indirect_ack_clears_the_probe() {
    let (mut detector, mut out) = (detector(1, 4), Vec::new());
    (2..=4).for_each(|node| detector.record_message(id(node), INCARNATION));
    detector.tick(at(0), true, &mut out);
    let target = *ping_targets(&out).last().unwrap();
    let seq = last_seq_to(&out, target);
    detector.tick(at(400), true, &mut out);
    detector.handle_message(at(500), LINK, id(9), Message::IndirectAck { seq, target }, &mut out);
    detector.tick(at(1000), true, &mut out);
    assert_eq!(detector.liveness(target), Liveness::Alive);
}

#[test]
fn an_indirect_probe_is_answered_on_the_link_of_its_request() {
    let (mut detector, mut out) = (detector(1, 4), Vec::new());
    let requester_link = LinkId(77);
    let indirect_ping = |target| Message::IndirectPing { seq: 5, target: id(target) };
    detector.handle_message(at(0), requester_link, id(2), indirect_ping(3), &mut out);
    let seq = last_seq_to(&out, id(3));
    detector.handle_message(at(1), LinkId(78), id(3), ack(seq), &mut out);
    let indirect_ack = Message::IndirectAck { seq: 5, target: id(3) };
    assert!(out.contains(&Outbound::Respond(requester_link, indirect_ack)));
    out.clear();
    detector.handle_message(at(0), requester_link, id(2), indirect_ping(9), &mut out);
    assert!(out.is_empty(), "nodes that are not members are not probed");
}

#[test]
fn a_wrongly_suspected_member_refutes_the_suspicion_with_a_higher_version() {
    let (mut detector, mut out) = (detector(1, 4), Vec::new());
    let ping = |update| Message::Ping { seq: 1, uptime_seconds: 0, gossip: vec![update] };
    let suspicion = update(1, 0, Liveness::Suspect);
    detector.handle_message(at(0), LINK, id(2), ping(suspicion), &mut out);
    let refutation = update(1, 1, Liveness::Alive);
    let ack = Message::Ack { seq: 1, uptime_seconds: 0, gossip: vec![refutation] };
    assert_eq!(out, [Outbound::Respond(LINK, ack)]);
    let mut other = self::detector(2, 4);
    let after = |other: &mut FailureDetector, update| {
        other.handle_message(at(0), LINK, id(3), ping(update), &mut Vec::new());
        other.liveness(id(1))
    };
    other.record_message(id(1), INCARNATION);
    assert_eq!(
        after(&mut other, update(1, 0, Liveness::Dead)),
        Liveness::Suspect,
        "a member that this node hears is only suspected"
    );
    assert_eq!(after(&mut other, refutation), Liveness::Alive);
    assert_eq!(after(&mut other, suspicion), Liveness::Alive, "a suspicion of a lower version is ignored");
    assert_eq!(after(&mut other, update(1, 1, Liveness::Suspect)), Liveness::Suspect);
}

#[test]
fn updates_are_sent_a_bounded_number_of_times_and_few_per_message() {
    let mut detector = detector(1, 100);
    for node in 2..=40 {
        detector.record_message(id(node), INCARNATION);
        detector.set_liveness(id(node), Liveness::Suspect, at(0));
    }
    let mut sent = 0;
    for _ in 0..1000 {
        let updates = detector.gossip_queue.next_updates();
        assert!(updates.len() <= MAX_UPDATES_PER_MESSAGE);
        sent += updates.len();
    }
    assert_eq!(sent, 39 * 3 * 7);
}
