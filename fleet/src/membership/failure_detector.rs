//! Failure detection after SWIM (Das, Gupta and Motivala 2002). A node probes one member per period, first
//! directly and then through other members, so that its cost does not grow with the size of the fleet. Probes
//! and acknowledgements carry gossip about other members. A member that is wrongly suspected refutes the
//! suspicion by gossiping a higher version of itself.
//!
//! The membership configuration determines the members. The failure detector only tracks which of them
//! answer, and its result affects only the order in which members are contacted and the time to wait for
//! them.

mod gossip;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::ids::{Incarnation, LinkId, NodeId};
use crate::message::{GossipUpdate, Liveness, MemberVersion, Message};
use crate::Time;

use gossip::GossipQueue;

/// Number of members that are asked to probe a member that did not answer a direct probe.
const INDIRECT_PROBES: usize = 3;
/// Number of probe periods after which a suspect is declared dead.
const SUSPICION_PERIODS: u32 = 4;
/// Fraction of the probe period after which a direct probe counts as unanswered.
const DIRECT_PROBE_FRACTION: f64 = 0.4;
/// Maximum number of members that a node contacts per tick after it has started or resumed.
const CONTACTS_PER_TICK: usize = 32;
/// Interval at which a node without a quorum contacts the members that have not answered.
const CONTACT_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of unanswered probes on behalf of other members; further ones replace the oldest.
const MAX_RELAYED_PROBES: usize = 256;

/// The state of a member as this node knows it.
#[derive(Debug, Clone)]
struct MemberState {
    version: MemberVersion,
    liveness: Liveness,
    /// When the member is declared dead if it is still a suspect; meaningless for other members.
    dead_at: Time,
}

/// The probe of the current period.
#[derive(Debug, Clone)]
struct Probe {
    target: NodeId,
    seq: u64,
    started_at: Time,
    /// Whether other members have been asked to probe the target.
    is_indirect: bool,
}

/// A probe that this node has sent on behalf of another member.
#[derive(Debug, Clone)]
struct RelayedProbe {
    /// Sequence number of this node's probe.
    seq: u64,
    /// Sequence number of the requester's probe.
    requester_seq: u64,
    /// Link on which the request arrived.
    requester_link: LinkId,
    target: NodeId,
}

/// A message that the caller must send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outbound {
    /// Send the message to this node.
    Send(NodeId, Message),
    /// Send the message on this link, on which its request arrived.
    Respond(LinkId, Message),
}

/// Number of members by liveness, without this node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LivenessCounts {
    /// Members that answer probes, directly or through other members.
    pub alive: u64,
    /// Members that did not answer the last probe.
    pub suspect: u64,
    /// Members that were suspects for too long or have not been heard since this node started or resumed.
    pub dead: u64,
}

/// Tracks the liveness of all other members.
#[derive(Debug, Clone)]
pub struct FailureDetector {
    this_node: NodeId,
    rng: ChaCha8Rng,
    probe_period: Duration,
    members: BTreeMap<NodeId, MemberState>,
    /// Members that have not been probed in this round. An empty round is refilled in random order.
    probe_round: Vec<NodeId>,
    probe: Option<Probe>,
    next_probe_at: Time,
    /// No suspect is due to be declared dead before this time.
    next_death_at: Time,
    gossip_queue: GossipQueue,
    local_version: MemberVersion,
    last_seq: u64,
    relayed_probes: VecDeque<RelayedProbe>,
    /// Acknowledgements of earlier sequence numbers may have been sent before this node was suspended and
    /// don't confirm a member.
    first_valid_seq: u64,
    uptime_seconds: u64,
    /// Members that have acknowledged a probe since the node started or resumed.
    confirmed: BTreeSet<NodeId>,
    /// Members that are contacted in the next ticks.
    to_contact: Vec<NodeId>,
    contacted_at: Time,
}

impl FailureDetector {
    /// Creates a failure detector without members. The seed determines the order of probes.
    pub fn new(
        this_node: NodeId,
        incarnation: Incarnation,
        seed: u64,
        probe_period: Duration,
    ) -> FailureDetector {
        FailureDetector {
            this_node,
            rng: ChaCha8Rng::seed_from_u64(seed ^ this_node.0),
            probe_period,
            members: BTreeMap::new(),
            probe_round: Vec::new(),
            probe: None,
            next_probe_at: Time::ZERO,
            next_death_at: Time::MAX,
            gossip_queue: GossipQueue::default(),
            local_version: MemberVersion { incarnation, refutations: 0 },
            last_seq: 1,
            relayed_probes: VecDeque::new(),
            first_valid_seq: 1,
            uptime_seconds: 0,
            confirmed: BTreeSet::new(),
            to_contact: Vec::new(),
            contacted_at: Time::ZERO,
        }
    }

    /// Sets the members to those of all active configurations. New members are dead until they are heard.
    pub fn set_members(&mut self, nodes: &BTreeSet<NodeId>) {
        self.members.retain(|node, _| nodes.contains(node));
        for node in nodes.iter().filter(|node| **node != self.this_node) {
            if !self.members.contains_key(node) {
                let unheard = MemberState {
                    version: MemberVersion::default(),
                    liveness: Liveness::Dead,
                    dead_at: Time::ZERO,
                };
                self.members.insert(*node, unheard);
                self.to_contact.push(*node);
            }
        }
        self.probe_round.retain(|node| nodes.contains(node));
        self.confirmed.retain(|node| nodes.contains(node));
    }

    /// Sets the duration of this node's incarnation, which its probes and acknowledgements report.
    pub fn set_uptime(&mut self, seconds: u64) {
        self.uptime_seconds = seconds;
    }

    /// Sets this node's incarnation, in which no suspicion has been refuted yet.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.local_version = MemberVersion { incarnation, refutations: 0 };
    }

    /// Marks all members as dead and contacts them again, because the node was suspended and its knowledge of
    /// them is out of date.
    pub fn reset(&mut self) {
        self.confirmed.clear();
        self.first_valid_seq = self.last_seq + 1;
        self.probe = None;
        self.to_contact = self.members.keys().copied().collect();
        for member in self.members.values_mut() {
            member.liveness = Liveness::Dead;
        }
    }

    /// Returns the members that have acknowledged a probe since the node started or resumed.
    pub fn confirmed(&self) -> &BTreeSet<NodeId> {
        &self.confirmed
    }

    /// Returns a member's liveness; nodes that are not members are dead.
    pub fn liveness(&self, node: NodeId) -> Liveness {
        self.members.get(&node).map_or(Liveness::Dead, |member| member.liveness)
    }

    /// Returns the number of members by liveness.
    pub fn counts(&self) -> LivenessCounts {
        let mut counts = LivenessCounts::default();
        for member in self.members.values() {
            match member.liveness {
                Liveness::Alive => counts.alive += 1,
                Liveness::Suspect => counts.suspect += 1,
                Liveness::Dead => counts.dead += 1,
            }
        }
        counts
    }

    /// Records that a member has sent a message in this incarnation. Messages of earlier incarnations are
    /// ignored.
    pub fn record_message(&mut self, node: NodeId, incarnation: Incarnation) {
        let member = self.members.get_mut(&node);
        if let Some(member) = member.filter(|member| member.version.incarnation <= incarnation) {
            member.version = member.version.max(MemberVersion { incarnation, refutations: 0 });
            member.liveness = Liveness::Alive;
        }
    }

    /// Handles a direct or indirect probe or acknowledgement; other messages are ignored.
    pub fn handle_message(
        &mut self,
        now: Time,
        link: LinkId,
        from: NodeId,
        message: Message,
        out: &mut Vec<Outbound>,
    ) {
        match message {
            Message::Ping { seq, gossip, .. } => {
                self.merge_gossip(now, gossip);
                let gossip = self.gossip_queue.next_updates();
                let uptime_seconds = self.uptime_seconds;
                out.push(Outbound::Respond(link, Message::Ack { seq, uptime_seconds, gossip }));
            }
            Message::Ack { seq, gossip, .. } => {
                self.merge_gossip(now, gossip);
                self.handle_ack(from, seq, out);
            }
            Message::IndirectPing { seq, target } if self.members.contains_key(&target) => {
                self.relay_probe(link, seq, target, out);
            }
            Message::IndirectAck { seq, target } => {
                if self.probe.as_ref().is_some_and(|probe| probe.seq == seq) {
                    if let Some(member) = self.members.get_mut(&target) {
                        member.liveness = Liveness::Alive;
                    }
                }
                self.close_probe(target, seq);
            }
            _ => {}
        }
    }

    fn handle_ack(&mut self, from: NodeId, seq: u64, out: &mut Vec<Outbound>) {
        if seq >= self.first_valid_seq {
            self.confirmed.insert(from);
        }
        let relayed = self.relayed_probes.iter().position(|relayed| relayed.seq == seq);
        if let Some(relayed) = relayed.and_then(|index| self.relayed_probes.remove(index)) {
            let ack = Message::IndirectAck { seq: relayed.requester_seq, target: relayed.target };
            out.push(Outbound::Respond(relayed.requester_link, ack));
        }
        self.close_probe(from, seq);
    }

    /// Sends a probe on behalf of another member.
    fn relay_probe(&mut self, link: LinkId, requester_seq: u64, target: NodeId, out: &mut Vec<Outbound>) {
        let seq = self.next_seq();
        let relayed = RelayedProbe { seq, requester_seq, requester_link: link, target };
        self.relayed_probes.push_back(relayed);
        if self.relayed_probes.len() > MAX_RELAYED_PROBES {
            self.relayed_probes.pop_front();
        }
        let gossip = self.gossip_queue.next_updates();
        out.push(Outbound::Send(target, self.ping(seq, gossip)));
    }

    fn close_probe(&mut self, node: NodeId, seq: u64) {
        if self.probe.as_ref().is_some_and(|probe| probe.target == node && probe.seq == seq) {
            self.probe = None;
        }
    }

    /// Handles the failure to reach a node directly: if the node is being probed, starts indirect probes
    /// without waiting for the timeout.
    pub fn handle_unreachable(&mut self, node: NodeId, out: &mut Vec<Outbound>) {
        if self.probe.as_ref().is_some_and(|probe| probe.target == node && !probe.is_indirect) {
            self.send_indirect_probes(out);
        }
    }

    fn next_seq(&mut self) -> u64 {
        self.last_seq += 1;
        self.last_seq
    }

    fn ping(&self, seq: u64, gossip: Vec<GossipUpdate>) -> Message {
        Message::Ping { seq, uptime_seconds: self.uptime_seconds, gossip }
    }

    /// Advances the time. `has_quorum` is whether a quorum of the members has answered since this node
    /// started or resumed.
    pub fn tick(&mut self, now: Time, has_quorum: bool, out: &mut Vec<Outbound>) {
        self.contact_members(now, has_quorum, out);
        self.declare_deaths(now);
        let direct_probe_timeout = self.probe_period.mul_f64(DIRECT_PROBE_FRACTION);
        let is_unanswered =
            |probe: &Probe| !probe.is_indirect && now >= probe.started_at + direct_probe_timeout;
        if self.probe.as_ref().is_some_and(is_unanswered) {
            self.send_indirect_probes(out);
        }
        if now >= self.next_probe_at && !self.members.is_empty() {
            self.begin_probe(now, out);
        }
    }

    /// Contacts every member after the node has started or resumed, a bounded number per tick. Then contacts
    /// the members that have not answered again at intervals until the node has a quorum.
    fn contact_members(&mut self, now: Time, has_quorum: bool, out: &mut Vec<Outbound>) {
        if !has_quorum && self.to_contact.is_empty() && now >= self.contacted_at + CONTACT_INTERVAL {
            let unconfirmed = self.members.keys().filter(|node| !self.confirmed.contains(node));
            self.to_contact = unconfirmed.copied().collect();
            self.to_contact.shuffle(&mut self.rng);
        }
        for _ in 0..CONTACTS_PER_TICK {
            let Some(node) = self.to_contact.pop() else { break };
            self.contacted_at = now;
            let seq = self.next_seq();
            out.push(Outbound::Send(node, self.ping(seq, Vec::new())));
        }
    }

    /// Declares dead the members that have been suspects for too long.
    fn declare_deaths(&mut self, now: Time) {
        if now < self.next_death_at {
            return;
        }
        let is_due = |member: &MemberState| member.liveness == Liveness::Suspect && now >= member.dead_at;
        let dead: Vec<NodeId> =
            self.members.iter().filter(|(_, member)| is_due(member)).map(|(node, _)| *node).collect();
        for node in dead {
            self.set_liveness(node, Liveness::Dead, now);
        }
        let suspects = self.members.values().filter(|member| member.liveness == Liveness::Suspect);
        self.next_death_at = suspects.map(|member| member.dead_at).min().unwrap_or(Time::MAX);
    }

    /// Begins a probe period. The target of the previous period becomes a suspect if it has not answered.
    fn begin_probe(&mut self, now: Time, out: &mut Vec<Outbound>) {
        if let Some(unanswered) = self.probe.take() {
            if self.liveness(unanswered.target) == Liveness::Alive {
                self.set_liveness(unanswered.target, Liveness::Suspect, now);
            }
        }
        self.next_probe_at = now + self.probe_period;
        if self.probe_round.is_empty() {
            self.probe_round = self.members.keys().copied().collect();
            self.probe_round.shuffle(&mut self.rng);
        }
        if let Some(target) = self.probe_round.pop() {
            let seq = self.next_seq();
            self.probe = Some(Probe { target, seq, started_at: now, is_indirect: false });
            let gossip = self.gossip_queue.next_updates();
            out.push(Outbound::Send(target, self.ping(seq, gossip)));
        }
    }

    fn send_indirect_probes(&mut self, out: &mut Vec<Outbound>) {
        let Some(probe) = &mut self.probe else { return };
        probe.is_indirect = true;
        let Probe { target, seq, .. } = *probe;
        let alive = self.members.iter().filter(|(_, member)| member.liveness == Liveness::Alive);
        let mut others: Vec<NodeId> = alive.map(|(node, _)| *node).filter(|node| *node != target).collect();
        let (chosen, _) = others.partial_shuffle(&mut self.rng, INDIRECT_PROBES);
        let request = Message::IndirectPing { seq, target };
        out.extend(chosen.iter().map(|node| Outbound::Send(*node, request.clone())));
    }

    fn set_liveness(&mut self, node: NodeId, liveness: Liveness, now: Time) {
        let dead_at = now + self.probe_period * SUSPICION_PERIODS;
        let Some(member) = self.members.get_mut(&node) else { return };
        member.liveness = liveness;
        member.dead_at = dead_at;
        let version = member.version;
        self.next_death_at = self.next_death_at.min(dead_at);
        self.gossip_queue.push(GossipUpdate { node, version, liveness }, self.members.len());
    }
}

#[cfg(test)]
mod tests;
