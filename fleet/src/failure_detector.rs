//! Who is heard, and who is suspected: probes whose cost for a node does not grow with the fleet, direct and then through
//! others, after SWIM (Das, Gupta and Motivala 2002). Word of others rides on probes and answers. Who is wrongly suspected
//! says so under a higher number. The list says who there is; this says only who answers, and decides nothing but whom to
//! hope for.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::membership_config::NodeId;
use crate::message::{GossipUpdate, Liveness, Message};
use crate::replica_table::LinkId;
use crate::Time;

/// Others that are asked to ask one that did not answer.
const HELPERS: usize = 3;
/// A suspect is lost after so many periods.
const SUSPECTED_FOR: u32 = 4;
/// The part of a period that a direct answer has.
const DIRECT: f64 = 0.4;
/// Word that one message carries.
const RUMORS: usize = 8;
/// Word is passed on so often, times the logarithm of the number of nodes.
const PASSED_ON: u32 = 3;
/// Nodes that are greeted at a time by one that has just started or woken up.
const GREETED: usize = 32;
/// Who heard too few goes round again after this.
const GREETS_AGAIN: Duration = Duration::from_millis(500);
/// Questions passed on for others that may be open.
const PASSED: usize = 256;

#[derive(Debug, Clone)]
struct State {
    age: (u64, u32),
    standing: Liveness,
    /// When a suspect is lost.
    lost_at: Time,
}

#[derive(Debug, Clone)]
struct Probe {
    target: NodeId,
    seq: u64,
    sent: Time,
    helped: bool,
}

/// What is to be said.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outbound {
    /// To a node.
    To(NodeId, Message),
    /// On the link that a question came by.
    On(LinkId, Message),
}

/// How many members stand how.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// They are heard, by this node or through others.
    pub alive: u64,
    /// They did not answer.
    pub suspect: u64,
    /// They did not answer for long.
    pub lost: u64,
}

/// All members but this one.
#[derive(Debug, Clone)]
pub struct FailureDetector {
    me: NodeId,
    rng: ChaCha8Rng,
    period: Duration,
    states: BTreeMap<NodeId, State>,
    /// A round of probes, drawn anew when it is over.
    round: Vec<NodeId>,
    probe: Option<Probe>,
    next_probe: Time,
    /// When the first suspect is lost, or earlier.
    next_lost: Time,
    rumors: Vec<(GossipUpdate, u32)>,
    age: (u64, u32),
    seq: u64,
    /// Pings passed on: ours, the asker's, its link, whom.
    passed: VecDeque<(u64, u64, LinkId, NodeId)>,
    /// Answers to pings before this one may be from before a sleep.
    awake_from: u64,
    /// How long this life has lasted, as probes tell it.
    seconds: u64,
    heard: BTreeSet<NodeId>,
    to_greet: Vec<NodeId>,
    greeted_at: Time,
}

impl FailureDetector {
    /// A node in this life that has heard nobody yet. The seed draws whom it probes.
    pub fn new(me: NodeId, incarnation: u64, seed: u64, period: Duration) -> FailureDetector {
        FailureDetector {
            me,
            rng: ChaCha8Rng::seed_from_u64(seed ^ me.0),
            period,
            states: BTreeMap::new(),
            round: Vec::new(),
            probe: None,
            next_probe: Time::ZERO,
            next_lost: Time::MAX,
            rumors: Vec::new(),
            age: (incarnation, 0),
            seq: 1,
            passed: VecDeque::new(),
            awake_from: 1,
            seconds: 0,
            heard: BTreeSet::new(),
            to_greet: Vec::new(),
            greeted_at: Time::ZERO,
        }
    }

    /// Who there is, by the lists that are about.
    pub fn are(&mut self, nodes: &BTreeSet<NodeId>) {
        self.states.retain(|node, _| nodes.contains(node));
        for node in nodes.iter().filter(|node| **node != self.me) {
            // Not heard yet.
            let unheard = State { age: (0, 0), standing: Liveness::Lost, lost_at: Time::ZERO };
            if !self.states.contains_key(node) {
                self.states.insert(*node, unheard);
                self.to_greet.push(*node);
            }
        }
        self.round.retain(|node| nodes.contains(node));
        self.heard.retain(|node| nodes.contains(node));
    }

    /// This node's life has lasted so long.
    pub fn lasts(&mut self, seconds: u64) {
        self.seconds = seconds;
    }

    /// This node's life has another number.
    pub fn set_incarnation(&mut self, incarnation: u64) {
        self.age = (incarnation, 0);
    }

    /// Nothing that was heard before counts any more.
    pub fn woke(&mut self) {
        self.heard.clear();
        self.awake_from = self.seq + 1;
        self.probe = None;
        self.to_greet = self.states.keys().copied().collect();
        for state in self.states.values_mut() {
            state.standing = Liveness::Lost;
        }
    }

    /// Those that have answered since it started or woke up.
    pub fn heard(&self) -> &BTreeSet<NodeId> {
        &self.heard
    }

    /// How a member stands.
    pub fn standing(&self, node: NodeId) -> Liveness {
        self.states.get(&node).map_or(Liveness::Lost, |state| state.standing)
    }

    /// How many stand how.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        for state in self.states.values() {
            match state.standing {
                Liveness::Alive => counts.alive += 1,
                Liveness::Suspect => counts.suspect += 1,
                Liveness::Lost => counts.lost += 1,
            }
        }
        counts
    }

    /// A node has spoken, in this life of it.
    pub fn speaks(&mut self, node: NodeId, incarnation: u64) {
        if let Some(state) = self.states.get_mut(&node).filter(|state| state.age.0 <= incarnation) {
            state.age = state.age.max((incarnation, 0));
            state.standing = Liveness::Alive;
        }
    }

    /// Takes in what a member says of others; returns what it is answered.
    pub fn told(&mut self, now: Time, link: LinkId, from: NodeId, frame: Message, out: &mut Vec<Outbound>) {
        match frame {
            Message::Ping { seq, rumors, .. } => {
                self.learn(now, rumors);
                let rumors = self.word();
                out.push(Outbound::On(link, Message::Ack { seq, seconds: self.seconds, rumors }));
            }
            Message::Ack { seq, rumors, .. } => {
                self.learn(now, rumors);
                if seq >= self.awake_from {
                    self.heard.insert(from);
                }
                if let Some(place) = self.passed.iter().position(|(ours, ..)| *ours == seq) {
                    let (_, theirs, link, target) = self.passed[place];
                    self.passed.remove(place);
                    out.push(Outbound::On(link, Message::AckFor { seq: theirs, target }));
                }
                self.answered(from, seq);
            }
            Message::PingFor { seq, target } if self.states.contains_key(&target) => {
                let ours = self.next_seq();
                self.passed.push_back((ours, seq, link, target));
                if self.passed.len() > PASSED {
                    self.passed.pop_front();
                }
                let rumors = self.word();
                out.push(Outbound::To(target, Message::Ping { seq: ours, seconds: self.seconds, rumors }));
            }
            Message::AckFor { seq, target } => {
                if self.probe.as_ref().is_some_and(|probe| probe.seq == seq) {
                    if let Some(state) = self.states.get_mut(&target) {
                        state.standing = Liveness::Alive;
                    }
                }
                self.answered(target, seq);
            }
            _ => {}
        }
    }

    fn answered(&mut self, node: NodeId, seq: u64) {
        if self.probe.as_ref().is_some_and(|probe| probe.target == node && probe.seq == seq) {
            self.probe = None;
        }
    }

    /// A node can't be reached directly.
    pub fn unreached(&mut self, node: NodeId, out: &mut Vec<Outbound>) {
        if self.probe.as_ref().is_some_and(|probe| probe.target == node && !probe.helped) {
            self.ask_others(out);
        }
    }

    fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    /// Time passes.
    pub fn tick(&mut self, now: Time, level: bool, out: &mut Vec<Outbound>) {
        self.greet(now, level, out);
        if now >= self.next_lost {
            let lost =
                |(_, state): &(&NodeId, &State)| state.standing == Liveness::Suspect && now >= state.lost_at;
            let lost: Vec<NodeId> = self.states.iter().filter(lost).map(|(node, _)| *node).collect();
            lost.into_iter().for_each(|node| self.stands(node, Liveness::Lost, now));
            let suspects = self.states.values().filter(|state| state.standing == Liveness::Suspect);
            self.next_lost = suspects.map(|state| state.lost_at).min().unwrap_or(Time::MAX);
        }
        if let Some(probe) = &self.probe {
            if !probe.helped && now >= probe.sent + self.period.mul_f64(DIRECT) {
                self.ask_others(out);
            }
        }
        if now < self.next_probe || self.states.is_empty() {
            return;
        }
        if let Some(probe) = self.probe.take() {
            if self.standing(probe.target) == Liveness::Alive {
                self.stands(probe.target, Liveness::Suspect, now);
            }
        }
        self.next_probe = now + self.period;
        if self.round.is_empty() {
            self.round = self.states.keys().copied().collect();
            self.round.shuffle(&mut self.rng);
        }
        if let Some(target) = self.round.pop() {
            let seq = self.next_seq();
            self.probe = Some(Probe { target, seq, sent: now, helped: false });
            let rumors = self.word();
            out.push(Outbound::To(target, Message::Ping { seq, seconds: self.seconds, rumors }));
        }
    }

    /// Who starts or wakes up asks everyone, some at a time, and again until it has heard enough.
    fn greet(&mut self, now: Time, level: bool, out: &mut Vec<Outbound>) {
        if !level && self.to_greet.is_empty() && now >= self.greeted_at + GREETS_AGAIN {
            let unheard = self.states.keys().filter(|node| !self.heard.contains(node));
            self.to_greet = unheard.copied().collect();
            self.to_greet.shuffle(&mut self.rng);
        }
        for _ in 0..GREETED {
            let Some(node) = self.to_greet.pop() else { break };
            self.greeted_at = now;
            let seq = self.next_seq();
            out.push(Outbound::To(node, Message::Ping { seq, seconds: self.seconds, rumors: Vec::new() }));
        }
    }

    fn ask_others(&mut self, out: &mut Vec<Outbound>) {
        let Some(probe) = &mut self.probe else { return };
        probe.helped = true;
        let (target, seq) = (probe.target, probe.seq);
        let alive = |(node, state): &(&NodeId, &State)| state.standing == Liveness::Alive && **node != target;
        let mut others: Vec<NodeId> = self.states.iter().filter(alive).map(|(node, _)| *node).collect();
        let (chosen, _) = others.partial_shuffle(&mut self.rng, HELPERS);
        out.extend(chosen.iter().map(|helper| Outbound::To(*helper, Message::PingFor { seq, target })));
    }

    fn stands(&mut self, node: NodeId, standing: Liveness, now: Time) {
        let lost_at = now + self.period * SUSPECTED_FOR;
        let Some(state) = self.states.get_mut(&node) else { return };
        (state.standing, state.lost_at) = (standing, lost_at);
        self.next_lost = self.next_lost.min(lost_at);
        let rumor = GossipUpdate { node, age: state.age, standing };
        self.pass_on(rumor);
    }

    fn pass_on(&mut self, rumor: GossipUpdate) {
        self.rumors.retain(|(known, _)| known.node != rumor.node);
        let times = PASSED_ON * (usize::BITS - self.states.len().leading_zeros()).max(1);
        self.rumors.push((rumor, times));
    }

    /// What is passed on with the next message: the freshest word.
    fn word(&mut self) -> Vec<GossipUpdate> {
        self.rumors.sort_by_key(|(_, left)| std::cmp::Reverse(*left));
        let told = self.rumors.iter_mut().take(RUMORS).map(|(rumor, left)| {
            *left -= 1;
            *rumor
        });
        let told = told.collect();
        self.rumors.retain(|(_, left)| *left > 0);
        told
    }

    fn learn(&mut self, now: Time, rumors: Vec<GossipUpdate>) {
        for rumor in rumors.into_iter().take(RUMORS) {
            if rumor.node == self.me {
                // It is alive, and says so under a higher number.
                if rumor.standing != Liveness::Alive && rumor.age >= self.age && rumor.age.0 == self.age.0 {
                    self.age.1 = rumor.age.1.saturating_add(1);
                    self.pass_on(GossipUpdate { node: self.me, age: self.age, standing: Liveness::Alive });
                }
                continue;
            }
            let Some(state) = self.states.get_mut(&rumor.node) else { continue };
            let newer = rumor.age > state.age || (rumor.age == state.age && rumor.standing > state.standing);
            // One that is heard here is not lost on the word of others; it is suspected, until it answers or does not.
            let standing = match (rumor.standing, state.standing) {
                (Liveness::Lost, Liveness::Alive) => Liveness::Suspect,
                (standing, _) => standing,
            };
            if newer {
                state.age = rumor.age;
                state.standing = standing;
                state.lost_at = now + self.period * SUSPECTED_FOR;
                self.next_lost = self.next_lost.min(state.lost_at);
                self.pass_on(rumor);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const PERIOD: Duration = Duration::from_millis(1000);

    fn at(millis: u64) -> Time {
        Duration::from_millis(millis)
    }

    fn id(n: u64) -> NodeId {
        NodeId(n)
    }

    fn members(me: u64, count: u64) -> FailureDetector {
        let mut members = FailureDetector::new(id(me), 1, 7, PERIOD);
        members.are(&(1..=count).map(id).collect());
        members
    }

    fn pings(out: &[Outbound]) -> Vec<NodeId> {
        out.iter()
            .filter_map(|say| if let Outbound::To(to, Message::Ping { .. }) = say { Some(*to) } else { None })
            .collect()
    }

    fn seq_to(out: &[Outbound], node: NodeId) -> u64 {
        let found = out.iter().rev().find_map(|say| match say {
            Outbound::To(to, Message::Ping { seq, .. }) if *to == node => Some(*seq),
            _ => None,
        });
        found.unwrap()
    }

    #[test]
    fn who_starts_greets_everyone_and_has_heard_who_answers() {
        let (mut members, mut out) = (members(1, 4), Vec::new());
        members.tick(at(0), false, &mut out);
        let greeted: BTreeSet<NodeId> = pings(&out).into_iter().collect();
        assert_eq!(greeted, [2, 3, 4].map(id).into());
        members.told(
            at(1),
            1,
            id(2),
            Message::Ack { seq: seq_to(&out, id(2)), seconds: 0, rumors: vec![] },
            &mut out,
        );
        assert_eq!(*members.heard(), [id(2)].into());
        out.clear();
        members.tick(at(600), false, &mut out);
        assert!(pings(&out).iter().collect::<BTreeSet<_>>().is_superset(&[&id(3), &id(4)].into()));
    }

    #[test]
    fn who_woke_up_has_heard_nobody_and_old_answers_do_not_count() {
        let (mut members, mut out) = (members(1, 3), Vec::new());
        members.tick(at(0), false, &mut out);
        let old = seq_to(&out, id(2));
        members.woke();
        members.told(at(1), 1, id(2), Message::Ack { seq: old, seconds: 0, rumors: vec![] }, &mut out);
        assert!(members.heard().is_empty());
        out.clear();
        members.tick(at(2), false, &mut out);
        members.told(
            at(3),
            1,
            id(2),
            Message::Ack { seq: seq_to(&out, id(2)), seconds: 0, rumors: vec![] },
            &mut out,
        );
        assert_eq!(*members.heard(), [id(2)].into());
    }

    /// Two of four are alive here; the third does not answer its probe.
    fn suspecting() -> (FailureDetector, NodeId, Time) {
        let (mut members, mut out) = (members(1, 4), Vec::new());
        for node in [2, 3, 4] {
            members.speaks(id(node), 1);
        }
        members.tick(at(0), true, &mut out);
        let target = *pings(&out).last().unwrap();
        out.clear();
        members.tick(at(400), true, &mut out);
        let helpers = out
            .iter()
            .filter(|say| matches!(say, Outbound::To(_, Message::PingFor { target: t, .. }) if *t == target));
        assert_eq!(helpers.count(), 2, "the others are asked to ask: {out:?}");
        members.tick(at(1000), true, &mut out);
        assert_eq!(members.standing(target), Liveness::Suspect);
        (members, target, at(1000))
    }

    #[test]
    fn who_answers_neither_directly_nor_through_others_is_suspected_and_then_lost() {
        let (mut members, target, then) = suspecting();
        let mut out = Vec::new();
        members.tick(then + at(3_999), true, &mut out);
        assert_ne!(members.standing(target), Liveness::Lost);
        members.tick(then + at(4_000), true, &mut out);
        assert_eq!(members.standing(target), Liveness::Lost);
        assert_eq!(members.counts().lost, 1);
        members.speaks(target, 1);
        assert_eq!(members.standing(target), Liveness::Alive, "it speaks for itself");
    }

    #[test]
    fn an_answer_through_another_clears_it() {
        let (mut members, mut out) = (members(1, 4), Vec::new());
        (2..=4).for_each(|node| members.speaks(id(node), 1));
        members.tick(at(0), true, &mut out);
        let target = *pings(&out).last().unwrap();
        let seq = seq_to(&out, target);
        members.tick(at(400), true, &mut out);
        members.told(at(500), 1, id(9), Message::AckFor { seq, target }, &mut out);
        members.tick(at(1000), true, &mut out);
        assert_eq!(members.standing(target), Liveness::Alive);
    }

    #[test]
    fn one_that_asks_for_another_hears_of_it_by_the_link_it_asked_on() {
        let (mut members, mut out) = (members(1, 4), Vec::new());
        members.told(at(0), 77, id(2), Message::PingFor { seq: 5, target: id(3) }, &mut out);
        let seq = seq_to(&out, id(3));
        members.told(at(1), 78, id(3), Message::Ack { seq, seconds: 0, rumors: vec![] }, &mut out);
        assert!(out.contains(&Outbound::On(77, Message::AckFor { seq: 5, target: id(3) })));
        out.clear();
        members.told(at(0), 77, id(2), Message::PingFor { seq: 5, target: id(9) }, &mut out);
        assert!(out.is_empty(), "nobody it knows");
    }

    #[test]
    fn who_is_wrongly_suspected_says_so_under_a_higher_number_and_is_believed() {
        let (mut members, mut out) = (members(1, 4), Vec::new());
        let rumor = |node, age, standing| GossipUpdate { node: id(node), age, standing };
        let suspect = rumor(1, (1, 0), Liveness::Suspect);
        members.told(at(0), 1, id(2), Message::Ping { seq: 1, seconds: 0, rumors: vec![suspect] }, &mut out);
        let said = rumor(1, (1, 1), Liveness::Alive);
        assert_eq!(out, [Outbound::On(1, Message::Ack { seq: 1, seconds: 0, rumors: vec![said] })]);
        let mut other = self::members(2, 4);
        let hears = |other: &mut FailureDetector, rumor| {
            other.told(
                at(0),
                1,
                id(3),
                Message::Ping { seq: 1, seconds: 0, rumors: vec![rumor] },
                &mut Vec::new(),
            );
            other.standing(id(1))
        };
        other.speaks(id(1), 1);
        assert_eq!(
            hears(&mut other, rumor(1, (1, 0), Liveness::Lost)),
            Liveness::Suspect,
            "it is heard here"
        );
        assert_eq!(hears(&mut other, said), Liveness::Alive);
        assert_eq!(hears(&mut other, suspect), Liveness::Alive, "that is older");
        assert_eq!(hears(&mut other, rumor(1, (1, 1), Liveness::Suspect)), Liveness::Suspect);
    }

    #[test]
    fn word_is_passed_on_a_bounded_number_of_times_and_a_few_at_a_time() {
        let mut members = members(1, 100);
        for node in 2..=40 {
            members.speaks(id(node), 1);
            members.stands(id(node), Liveness::Suspect, at(0));
        }
        let mut told = 0;
        for _ in 0..1000 {
            let word = members.word();
            assert!(word.len() <= RUMORS);
            told += word.len();
        }
        assert_eq!(told, 39 * 3 * 7);
    }
}
