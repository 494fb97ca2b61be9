//! The table of a copy: which claim this node has granted for each key, what it knows of other runs, and what it answers.
//! A vote is never changed: it goes only with its claim, or with the key's window.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::active_configs::ActiveConfigs;
use crate::key_state::{ClaimId, CompletedRun, Key, KeyState, RunResult};
use crate::membership_config::{MembershipConfig, NodeId};
use crate::message::{
    own, ClaimRequest, Completeness, ConflictingClaim, Message, Page, RejectReason, ReplicaRecord,
    TablePosition,
};
use crate::{Time, LATE_READ_GRACE, MAX_RESULT_BYTES};

/// Memory that an entry takes beside its key and its result, by a generous estimate.
pub const ENTRY_BYTES: usize = 512;
/// Claims of one key that are kept apart; who comes after is told that there is no room.
const MOST_BEGUN: usize = 16;
/// Tries that are told when a key's run ends; others ask.
const MOST_WAITING: usize = 16;
/// A claim's node is asked what became of it at most so often.
const ASKED_EVERY: Duration = Duration::from_millis(500);
/// What one page may take, and how many entries are looked at for it.
const PAGE_BYTES: usize = 64 * 1024;
const PAGE_LOOKS: usize = 512;

/// Where an answer goes: the link that the question came by.
pub type LinkId = u64;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Entry {
    until: Time,
    /// The claim that this copy has granted.
    vote: Option<ClaimId>,
    known: KeyState,
    waiting: Vec<(LinkId, ClaimId)>,
    asked: Option<Time>,
}

impl Entry {
    fn bytes(&self, key: &Key) -> usize {
        // What is open has its room set aside for the longest result.
        let result = if self.known.ended.is_some() { self.known.bytes() } else { MAX_RESULT_BYTES };
        ENTRY_BYTES + key.len() + result
    }
}

/// How far votes can be relied on.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Soundness {
    /// Nothing is missing.
    Complete,
    /// Its state was lost before then; it has caught up with these since.
    Since(Time, BTreeMap<NodeId, Completeness>),
}

/// What has changed and is to be written down before the answer leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: Key,
    /// What is known of it now, with this copy's own vote; none if it is free.
    pub now: Option<ReplicaRecord>,
}

/// What a frame comes to.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Answers by the link that they go to.
    pub answers: Vec<(LinkId, Message)>,
    /// Questions to nodes.
    pub questions: Vec<(NodeId, Message)>,
    /// The key of which something is to be written down first.
    pub change: Option<Key>,
    /// Two runs of a key that have both ended: the one that stands, and the other.
    pub conflict: Option<(CompletedRun, CompletedRun)>,
}

/// The table.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ReplicaTable {
    me: NodeId,
    incarnation: u64,
    table: BTreeMap<Key, Entry>,
    /// By when they run out.
    order: BTreeSet<(Time, Key)>,
    bytes: usize,
    most_bytes: usize,
    lives: BTreeMap<NodeId, u64>,
    soundness: Soundness,
}

/// Whole milliseconds, rounded up: a key is not to be forgotten early.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}

fn nanos(time: Time) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}

impl ReplicaTable {
    /// The table of a node that begins this life with what it kept of the last one, or without its state.
    pub fn new(me: NodeId, incarnation: u64, most_bytes: usize, kept: bool, now: Time) -> ReplicaTable {
        ReplicaTable {
            me,
            incarnation,
            table: BTreeMap::new(),
            order: BTreeSet::new(),
            bytes: 0,
            most_bytes,
            lives: BTreeMap::new(),
            soundness: if kept { Soundness::Complete } else { Soundness::Since(now, BTreeMap::new()) },
        }
    }

    /// Keys and bytes that are held.
    pub fn size(&self) -> (usize, usize) {
        (self.table.len(), self.bytes)
    }

    /// It begins another life without its state. What it knows of others' lives stays true.
    pub fn begin_anew(&mut self, incarnation: u64, now: Time) {
        let lives = std::mem::take(&mut self.lives);
        *self =
            ReplicaTable { lives, ..ReplicaTable::new(self.me, incarnation, self.most_bytes, false, now) };
    }

    /// Its life has another number; nothing was granted in the one before.
    pub fn set_incarnation(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
    }

    /// A node is known to be in this life. Grants of an earlier one count no more.
    pub fn lives(&mut self, node: NodeId, incarnation: u64) {
        let known = self.lives.entry(node).or_default();
        *known = incarnation.max(*known);
    }

    /// The latest life of a node that is known.
    pub fn incarnation_of(&self, node: NodeId) -> u64 {
        self.lives.get(&node).copied().unwrap_or(0)
    }

    /// All that this donor knows has been taken in, and so far its own votes could be relied on.
    pub fn caught_up(&mut self, donor: NodeId, sound: Completeness) {
        if let Soundness::Since(_, caught) = &mut self.soundness {
            caught.insert(donor, sound);
        }
    }

    /// How far its votes can be relied on, as it tells others. Only donors that lacked nothing themselves count: guards
    /// against nodes that all lost their state and vouch for each other.
    pub fn sound(&self, lists: &ActiveConfigs) -> Completeness {
        let Soundness::Since(_, caught) = &self.soundness else { return Completeness::Complete };
        let whole: Vec<NodeId> = caught
            .iter()
            .filter(|(_, sound)| **sound == Completeness::Complete)
            .map(|(donor, _)| *donor)
            .collect();
        if lists.everyone().iter().all(|node| *node == self.me || whole.contains(node)) {
            return Completeness::Complete;
        }
        Completeness::CompleteWith(whole)
    }

    /// Whether its votes can be relied on for every key.
    pub fn is_whole(&self) -> bool {
        self.soundness == Soundness::Complete
    }

    /// Whether nothing that was lost matters any more from now on, because every other node has told all that it knew.
    pub fn has_caught_up(&mut self, lists: &ActiveConfigs) -> bool {
        let now_whole = !self.is_whole() && self.sound(lists) == Completeness::Complete;
        if now_whole {
            self.soundness = Soundness::Complete;
        }
        now_whole
    }

    /// Whether its votes can be relied on for a key: it has its state, or a window has passed since it lost that, or of
    /// any majority that it was in before at least one other is among those that it has caught up with.
    pub fn sound_for(&self, key: &[u8], lists: &ActiveConfigs) -> bool {
        let Soundness::Since(_, caught) = &self.soundness else { return true };
        let enough = |list: &MembershipConfig, of: NodeId, has: &dyn Fn(NodeId) -> bool| {
            let replicas_of = list.replicas_of(key);
            let others = replicas_of.iter().filter(|other| **other != of && has(**other)).count();
            !replicas_of.contains(&of) || others > list.copies() - list.quorum()
        };
        lists.about().iter().all(|list| {
            enough(list, self.me, &|donor| match caught.get(&donor) {
                Some(Completeness::Complete) => true,
                Some(Completeness::CompleteWith(by)) => enough(list, donor, &|other| by.contains(&other)),
                None => false,
            })
        })
    }

    /// How long it takes at the most until nothing that was lost matters any more; none if nothing was.
    pub fn waits(&self, now: Time, lists: &ActiveConfigs) -> Option<Duration> {
        let window = lists.about().iter().map(|list| list.window()).max().unwrap_or_default();
        match &self.soundness {
            Soundness::Complete => None,
            Soundness::Since(since, _) => Some((*since + window + LATE_READ_GRACE).saturating_sub(now)),
        }
    }

    /// Time passes: what has run out goes, and after a window nothing that was lost matters any more; whether that is so
    /// from now on.
    pub fn tick(&mut self, now: Time, lists: &ActiveConfigs) -> bool {
        while let Some((until, key)) = self.order.first().cloned() {
            if now < until + LATE_READ_GRACE {
                break;
            }
            self.order.remove(&(until, key.clone()));
            if let Some(entry) = self.table.remove(&key) {
                self.bytes -= entry.bytes(&key);
            }
        }
        let over = self.waits(now, lists).is_some_and(|left| left.is_zero());
        if over {
            self.soundness = Soundness::Complete;
        }
        over
    }

    /// Changes an entry and keeps the books.
    fn change<T>(&mut self, key: &Key, until: Time, change: impl FnOnce(&mut Entry) -> T) -> T {
        let (key, mut entry) = match self.table.remove_entry(key) {
            Some((key, entry)) => {
                self.order.remove(&(entry.until, key.clone()));
                self.bytes -= entry.bytes(&key);
                (key, entry)
            }
            // It outlives the buffer that it was read into.
            None => (
                own(key),
                Entry { until, vote: None, known: KeyState::default(), waiting: Vec::new(), asked: None },
            ),
        };
        entry.until = entry.until.max(until);
        let done = change(&mut entry);
        if !entry.known.is_empty() || entry.vote.is_some() {
            self.bytes += entry.bytes(&key);
            self.order.insert((entry.until, key.clone()));
            self.table.insert(key, entry);
        }
        done
    }

    fn full(&self, key: &Key) -> bool {
        self.bytes + ENTRY_BYTES + key.len() + MAX_RESULT_BYTES > self.most_bytes
    }

    /// Whether a donor has told all that it knows since this node lost its state, or nothing was lost.
    pub fn sound_by(&self, donor: NodeId) -> bool {
        match &self.soundness {
            Soundness::Complete => true,
            Soundness::Since(_, caught) => caught.contains_key(&donor),
        }
    }

    /// What is to be written down of a key.
    pub fn change_of(&self, key: &Key, now: Time) -> Change {
        let now = self.table.get(key).map(|entry| copied(key, entry, now));
        Change { key: own(key), now }
    }

    /// Answers a claim.
    pub fn claim(&mut self, now: Time, link: LinkId, asked: &ClaimRequest, lists: &ActiveConfigs) -> Outcome {
        let mut outcome = Outcome::default();
        let claim = asked.claim;
        // Guards against a claim that a majority of another list's copies would not know of.
        if lists.about().iter().any(|list| !asked.lists.contains(&list.number())) {
            outcome.answers.push((link, Message::Unsure { claim, why: RejectReason::ActiveConfigs }));
            return outcome;
        }
        if let Some(answer) = self.blocked(now, link, claim, &asked.key, &mut outcome) {
            outcome.answers.push((link, answer));
            return outcome;
        }
        let voted = self.table.get(&asked.key).is_some_and(|entry| entry.vote == Some(claim));
        if !voted {
            let unsure = if !self.sound_for(&asked.key, lists) {
                Some(RejectReason::Returning)
            } else if !self.table.contains_key(&asked.key) && self.full(&asked.key) {
                Some(RejectReason::Full)
            } else {
                None
            };
            if let Some(why) = unsure {
                outcome.answers.push((link, Message::Unsure { claim, why }));
                return outcome;
            }
            let until = now + Duration::from_millis(asked.keep_ms);
            self.change(&asked.key, until, |entry| {
                entry.vote = Some(claim);
                entry.known.begun.insert(claim, asked.body);
            });
            outcome.change = Some(asked.key.clone());
        }
        let others = lists.about().iter().flat_map(|list| list.replicas_of(&asked.key));
        let others: BTreeSet<NodeId> = others.filter(|node| *node != self.me).collect();
        let lives = others.iter().filter_map(|node| Some((*node, *self.lives.get(node)?))).collect();
        outcome.answers.push((link, Message::Granted { claim, lives }));
        outcome
    }

    /// What stands in the way of a claim, or of a try that only asks. What has begun is asked after, now and then.
    fn blocked(
        &mut self,
        now: Time,
        link: LinkId,
        claim: ClaimId,
        key: &Key,
        outcome: &mut Outcome,
    ) -> Option<Message> {
        let entry = self.table.get_mut(key)?;
        let past_ms = millis(now.saturating_sub(entry.until));
        if let Some(end) = &entry.known.ended {
            let by = ConflictingClaim { claim: end.claim, body: end.body, ended: Some(end.clone()), past_ms };
            return Some(Message::Blocked { claim, by });
        }
        let others = || entry.known.begun.iter().filter(|(begun, _)| **begun != claim);
        let first = others().find(|(begun, _)| Some(**begun) == entry.vote).or_else(|| others().next());
        let (begun, body) = first.map(|(begun, body)| (*begun, *body))?;
        if entry.waiting.len() < MOST_WAITING && !entry.waiting.contains(&(link, claim)) {
            entry.waiting.push((link, claim));
        }
        if entry.asked.is_none_or(|asked| now >= asked + ASKED_EVERY) {
            entry.asked = Some(now);
            outcome.questions.push((begun.node, Message::What { key: key.clone(), claim: begun, body }));
        }
        Some(Message::Blocked { claim, by: ConflictingClaim { claim: begun, body, ended: None, past_ms } })
    }

    /// Answers a try that only asks.
    pub fn ask(
        &mut self,
        now: Time,
        link: LinkId,
        claim: ClaimId,
        key: &Key,
        lists: &ActiveConfigs,
    ) -> Outcome {
        let mut outcome = Outcome::default();
        let answer = match self.blocked(now, link, claim, key, &mut outcome) {
            Some(answer) => answer,
            None if self.sound_for(key, lists) => Message::Free { claim },
            None => Message::Unsure { claim, why: RejectReason::Returning },
        };
        outcome.answers.push((link, answer));
        outcome
    }

    /// Takes in how a run ended, and tells those that wait for it. One that this copy did not grant may find no room.
    pub fn ended(&mut self, now: Time, link: LinkId, key: &Key, keep_ms: u64, end: CompletedRun) -> Outcome {
        let mut outcome = Outcome::default();
        let claim = end.claim;
        let kept = self.table.contains_key(key) || !self.full(key);
        if kept {
            let until = now + Duration::from_millis(keep_ms);
            let end = CompletedRun { fate: owned(end.fate), ..end };
            let (conflict, waiting, stands) = self.change(key, until, |entry| {
                let conflict = entry.known.merge(KeyState { ended: Some(end), ..KeyState::default() });
                (conflict, std::mem::take(&mut entry.waiting), entry.known.ended.clone())
            });
            outcome.conflict = conflict;
            outcome.change = Some(key.clone());
            for (link, waits) in waiting {
                if let Some(end) = &stands {
                    let by = ConflictingClaim {
                        claim: end.claim,
                        body: end.body,
                        ended: Some(end.clone()),
                        past_ms: 0,
                    };
                    outcome.answers.push((link, Message::Blocked { claim: waits, by }));
                }
            }
        }
        outcome.answers.push((link, Message::Kept { claim, kept }));
        outcome
    }

    /// A claim is given up, which never ran.
    pub fn release(&mut self, now: Time, key: &Key, claim: ClaimId) -> Outcome {
        let mut outcome = Outcome::default();
        let held = |entry: &Entry| entry.vote == Some(claim) || entry.known.begun.contains_key(&claim);
        if !self.table.get(key).is_some_and(held) {
            return outcome;
        }
        let waiting = self.change(key, now, |entry| {
            entry.vote = entry.vote.filter(|vote| *vote != claim);
            entry.known.begun.remove(&claim);
            if entry.known.is_empty() {
                std::mem::take(&mut entry.waiting)
            } else {
                Vec::new()
            }
        });
        outcome.change = Some(key.clone());
        outcome.answers = waiting.into_iter().map(|(link, claim)| (link, Message::Free { claim })).collect();
        outcome
    }

    /// A part of the table, of what a node holds copies of, the newest windows first, and how many entries were looked at
    /// for it.
    pub fn page(
        &self,
        now: Time,
        of: NodeId,
        round: u32,
        from: Option<&TablePosition>,
        lists: &ActiveConfigs,
    ) -> (Page, usize) {
        // Where it was in another life of this table means nothing.
        let from = from.filter(|from| from.incarnation == self.incarnation);
        let end = from.map(|from| (Duration::from_nanos(from.until_ns), from.key.clone()));
        let range = match end {
            Some(end) => self.order.range(..end),
            None => self.order.range(..),
        };
        let (mut records, mut bytes, mut next) = (Vec::new(), 0, None);
        for (looked, (until, key)) in range.rev().enumerate() {
            if bytes > PAGE_BYTES || looked >= PAGE_LOOKS {
                break;
            }
            // The next one begins behind this one.
            next = Some((
                looked,
                TablePosition { incarnation: self.incarnation, until_ns: nanos(*until), key: key.clone() },
            ));
            let holds = |list: &Arc<MembershipConfig>| list.replicas_of(key).contains(&of);
            let Some(entry) = self.table.get(key).filter(|_| lists.about().iter().any(holds)) else {
                continue;
            };
            let record = copied(key, entry, now);
            bytes += ENTRY_BYTES / 4 + key.len() + entry.known.bytes();
            records.push(record);
        }
        let whole = bytes <= PAGE_BYTES && next.as_ref().is_none_or(|(looked, _)| looked + 1 < PAGE_LOOKS);
        let looks = next.as_ref().map_or(0, |(looked, _)| looked + 1);
        let next = next.filter(|_| !whole).map(|(_, position)| position);
        (Page { round, records, next, sound: self.sound(lists) }, looks)
    }

    /// Takes in what a donor knows; false if there was no room for all of it. Returns conflicts, if any.
    pub fn learn(
        &mut self,
        now: Time,
        records: Vec<ReplicaRecord>,
    ) -> (bool, Vec<(CompletedRun, CompletedRun)>) {
        let (mut all, mut conflicts) = (true, Vec::new());
        for ReplicaRecord { key, keep_ms, begun, ended } in records {
            all &= begun.len() <= MOST_BEGUN;
            let begun: BTreeMap<_, _> = begun.into_iter().take(MOST_BEGUN).collect();
            let result = ended.as_ref().map_or(MAX_RESULT_BYTES, |end| end.fate.bytes());
            let room = self.bytes + ENTRY_BYTES + key.len() + result <= self.most_bytes;
            if !room && !self.table.contains_key(&key) {
                all = false;
                continue;
            }
            let ended = ended.map(|end| CompletedRun { fate: owned(end.fate), ..end });
            let until = now + Duration::from_millis(keep_ms);
            let conflict = self.change(&key, until, |entry| entry.known.merge(KeyState { begun, ended }));
            conflicts.extend(conflict);
        }
        (all, conflicts)
    }

    /// Takes in what this node itself wrote down in its last life.
    pub fn restore(&mut self, now: Time, records: Vec<(Option<ClaimId>, ReplicaRecord)>) {
        for (vote, record) in records {
            let key = record.key.clone();
            // Room was there when it was written.
            self.learn(now, vec![record]);
            if let Some(entry) = self.table.get_mut(&key) {
                entry.vote = vote;
            }
        }
    }

    /// The claim that this copy has granted for a key.
    pub fn vote(&self, key: &[u8]) -> Option<ClaimId> {
        self.table.get(key)?.vote
    }

    /// What this copy knows of a key.
    pub fn known(&self, key: &[u8]) -> Option<&KeyState> {
        self.table.get(key).map(|entry| &entry.known)
    }
}

/// A result outlives the buffer that it was read into; one that is too long counts as failed for later tries.
fn owned(fate: RunResult) -> RunResult {
    match fate {
        RunResult::Succeeded(result) if result.len() <= MAX_RESULT_BYTES => {
            RunResult::Succeeded(own(&result))
        }
        _ => RunResult::Failed,
    }
}

fn copied(key: &Key, entry: &Entry, now: Time) -> ReplicaRecord {
    ReplicaRecord {
        key: key.clone(),
        keep_ms: millis(entry.until.saturating_sub(now)),
        begun: entry.known.begun.iter().map(|(claim, body)| (*claim, *body)).collect(),
        ended: entry.known.ended.clone(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::membership_config::tests::{at, id, list};
    use bytes::Bytes;
    use std::sync::Arc;
    use RunResult;

    fn lists() -> ActiveConfigs {
        ActiveConfigs::new(id(1), Arc::new(list(1, &[1, 2, 3], 1)))
    }

    fn copies(kept: bool) -> ReplicaTable {
        ReplicaTable::new(id(1), 7, 1 << 20, kept, at(0))
    }

    fn claim(number: u64) -> ClaimId {
        ClaimId { node: id(2), incarnation: 1, number }
    }

    fn asked(number: u64, key: &'static str) -> ClaimRequest {
        ClaimRequest { claim: claim(number), key: Bytes::from(key), body: 5, keep_ms: 10_000, lists: vec![1] }
    }

    fn answer(outcome: &Outcome) -> &Message {
        assert_eq!(outcome.answers.len(), 1);
        &outcome.answers[0].1
    }

    fn end(number: u64, result: &'static str) -> CompletedRun {
        let fate = RunResult::Succeeded(Bytes::from(result));
        CompletedRun { received_at: 1, place: 1, claim: claim(number), fate, body: 5 }
    }

    fn granted(outcome: &Outcome) -> bool {
        matches!(answer(outcome), Message::Granted { .. })
    }

    #[test]
    fn the_first_claim_is_granted_as_often_as_it_comes_and_every_other_one_is_blocked_by_it() {
        let (mut copies, lists) = (copies(true), lists());
        let first = copies.claim(at(0), 1, &asked(1, "k"), &lists);
        assert!(granted(&first) && first.change.is_some());
        let again = copies.claim(at(1), 1, &asked(1, "k"), &lists);
        assert!(granted(&again) && again.change.is_none());
        let other = copies.claim(at(2), 2, &asked(2, "k"), &lists);
        assert!(
            matches!(answer(&other), Message::Blocked { by, .. } if by.claim == claim(1) && by.ended.is_none())
        );
        assert!(matches!(other.questions[..], [(node, Message::What { .. })] if node == id(2)));
        assert!(granted(&copies.claim(at(3), 1, &asked(3, "l"), &lists)), "another key");
    }

    #[test]
    fn an_end_reaches_who_waits_and_who_comes_later() {
        let (mut copies, lists) = (copies(true), lists());
        copies.claim(at(0), 1, &asked(1, "k"), &lists);
        copies.claim(at(1), 2, &asked(2, "k"), &lists);
        let ended = copies.ended(at(2), 1, &"k".into(), 9_000, end(1, "job"));
        let done = |frame: &Message| matches!(frame, Message::Blocked { claim: waits, by } if *waits == claim(2) && by.ended == Some(end(1, "job")));
        assert!(ended.answers.iter().any(|(link, frame)| *link == 2 && done(frame)));
        assert!(ended.answers.contains(&(1, Message::Kept { claim: claim(1), kept: true })));
        assert!(done(answer(&copies.claim(at(3), 3, &asked(2, "k"), &lists))));
    }

    #[test]
    fn a_claim_that_is_given_up_frees_its_key_for_the_next_and_tells_who_waits() {
        let (mut copies, lists) = (copies(true), lists());
        copies.claim(at(0), 1, &asked(1, "k"), &lists);
        copies.claim(at(1), 2, &asked(2, "k"), &lists);
        assert!(copies.release(at(2), &"k".into(), claim(9)).answers.is_empty(), "that one it does not know");
        let freed = copies.release(at(2), &"k".into(), claim(1));
        assert_eq!(freed.answers, [(2, Message::Free { claim: claim(2) })]);
        let written = copies.change_of(&freed.change.unwrap(), at(2));
        assert_eq!(written, Change { key: "k".into(), now: None });
        assert_eq!(copies.size(), (0, 0));
        assert!(granted(&copies.claim(at(3), 2, &asked(2, "k"), &lists)));
    }

    #[test]
    fn without_its_state_a_copy_grants_nothing_until_it_has_caught_up_or_a_window_has_passed() {
        let (mut copies, lists) = (copies(false), lists());
        let unsure = |outcome: &Outcome| {
            matches!(answer(outcome), Message::Unsure { why: RejectReason::Returning, .. })
        };
        assert!(unsure(&copies.claim(at(0), 1, &asked(1, "k"), &lists)));
        copies.caught_up(id(2), Completeness::Complete);
        assert!(unsure(&copies.claim(at(1), 1, &asked(1, "k"), &lists)), "the other may know of a run");
        copies.caught_up(id(3), Completeness::CompleteWith(vec![id(1)]));
        assert!(unsure(&copies.claim(at(1), 1, &asked(1, "k"), &lists)), "that one lacks something itself");
        copies.caught_up(id(3), Completeness::CompleteWith(vec![id(1), id(2)]));
        assert!(granted(&copies.claim(at(2), 1, &asked(1, "k"), &lists)));
        assert!(!copies.has_caught_up(&lists), "for every key it lacks the word of the third");
        assert_eq!(
            copies.sound(&lists),
            Completeness::CompleteWith(vec![id(2)]),
            "who lacked something vouches for nobody"
        );
        copies.caught_up(id(3), Completeness::Complete);
        assert!(
            copies.has_caught_up(&lists)
                && copies.sound(&lists) == Completeness::Complete
                && copies.is_whole()
        );
        let mut copies = self::copies(false);
        assert!(!copies.tick(at(17_999), &lists) && copies.tick(at(18_000), &lists));
        assert!(granted(&copies.claim(at(18_000), 1, &asked(1, "k"), &lists)));
    }

    #[test]
    fn what_a_donor_knows_blocks_every_claim_but_its_own() {
        let (mut copies, lists) = (copies(false), lists());
        let known =
            ReplicaRecord { key: "k".into(), keep_ms: 5_000, begun: vec![(claim(1), 5)], ended: None };
        assert_eq!(copies.learn(at(0), vec![known]), (true, vec![]));
        copies.caught_up(id(2), Completeness::Complete);
        copies.caught_up(id(3), Completeness::Complete);
        assert!(matches!(answer(&copies.claim(at(1), 1, &asked(2, "k"), &lists)), Message::Blocked { .. }));
        assert!(granted(&copies.claim(at(1), 1, &asked(1, "k"), &lists)));
    }

    #[test]
    fn claims_under_other_lists_are_not_granted_and_lives_are_told_with_a_grant() {
        let (mut copies, mut lists) = (copies(true), lists());
        copies.lives(id(3), 9);
        let first = copies.claim(at(0), 1, &asked(1, "k"), &lists);
        assert_eq!(*answer(&first), Message::Granted { claim: claim(1), lives: vec![(id(3), 9)] });
        lists.offer(Arc::new(list(2, &[1, 2, 3, 4], 1)));
        let stale = copies.claim(at(0), 1, &asked(2, "l"), &lists);
        assert!(matches!(answer(&stale), Message::Unsure { why: RejectReason::ActiveConfigs, .. }));
        let both = ClaimRequest { lists: vec![1, 2], ..asked(2, "l") };
        assert!(granted(&copies.claim(at(0), 1, &both, &lists)));
    }

    #[test]
    fn at_its_bound_it_turns_new_keys_down_and_forgets_none_early() {
        let lists = lists();
        let mut copies = ReplicaTable::new(id(1), 7, 3 * MAX_RESULT_BYTES + 5 * ENTRY_BYTES, true, at(0));
        for (number, key) in [(1, "a"), (2, "b"), (3, "c")] {
            assert!(granted(&copies.claim(at(0), 1, &asked(number, key), &lists)));
        }
        let full =
            |outcome: &Outcome| matches!(answer(outcome), Message::Unsure { why: RejectReason::Full, .. });
        assert!(full(&copies.claim(at(1), 1, &asked(4, "d"), &lists)));
        assert!(granted(&copies.claim(at(1), 1, &asked(1, "a"), &lists)), "old ones go on");
        copies.ended(at(2), 1, &"a".into(), 9_000, end(1, "short"));
        assert!(granted(&copies.claim(at(3), 1, &asked(4, "d"), &lists)), "its result took less");
        copies.tick(at(17_999), &lists);
        assert_eq!(copies.size().0, 4);
        copies.tick(at(18_003), &lists);
        assert_eq!(copies.size(), (0, 0));
    }

    #[test]
    fn pages_give_all_that_a_node_holds_the_newest_first_and_go_on_where_they_were() {
        let (mut copies, lists) = (copies(true), lists());
        let mut copies_of_2 = ReplicaTable::new(id(2), 3, 64 << 20, false, at(0));
        copies.most_bytes = 64 << 20;
        for n in 0..2000_u64 {
            let key = Bytes::from(format!("{n:04}"));
            copies.claim(at(n), 1, &ClaimRequest { key: key.clone(), ..asked(n, "") }, &lists);
            copies.ended(at(n), 1, &key, 10_000, end(n, "job"));
        }
        let (mut from, mut pages, mut newest) = (None, 0, String::new());
        loop {
            let (page, _) = copies.page(at(2000), id(2), 1, from.as_ref(), &lists);
            if pages == 0 {
                newest = String::from_utf8(page.records[0].key.to_vec()).unwrap();
            }
            pages += 1;
            copies_of_2.learn(at(2000), page.records);
            from = page.next;
            if from.is_none() {
                assert_eq!(page.sound, Completeness::Complete);
                break;
            }
        }
        assert_eq!((copies_of_2.size().0, newest.as_str()), (2000, "1999"));
        assert!(pages > 3);
        let stale = TablePosition { incarnation: 1, until_ns: 0, key: Bytes::new() };
        assert!(!copies.page(at(2000), id(2), 1, Some(&stale), &lists).0.records.is_empty());
        assert!(copies.page(at(2000), id(9), 1, None, &lists).0.records.is_empty(), "it holds no copies");
    }

    #[test]
    fn what_it_wrote_down_itself_it_grants_again_after_a_restart() {
        let (mut copies, lists) = (copies(true), lists());
        let key = copies.claim(at(0), 1, &asked(1, "k"), &lists).change.unwrap();
        let written = copies.change_of(&key, at(0));
        let mut next = ReplicaTable::new(id(1), 8, 1 << 20, true, at(0));
        next.restore(at(0), vec![(copies.vote(b"k"), written.now.unwrap())]);
        assert!(granted(&next.claim(at(1), 1, &asked(1, "k"), &lists)));
        assert!(!granted(&next.claim(at(1), 1, &asked(2, "k"), &lists)));
    }
}
