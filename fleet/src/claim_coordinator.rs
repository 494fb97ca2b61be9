//! Claims of this node's own tries: whether a run may begin, and when its result is safe. A run begins once a majority of
//! the key's copies has granted its claim, in each list that is about; 'served' leaves once a majority holds the result.
//! A claim that can't get there is given up, and its try waits for the run that stands in its way, or is turned away.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::active_configs::ActiveConfigs;
use crate::key_state::{BodyDigest, ClaimId, CompletedRun, Key, RunResult};
use crate::membership_config::NodeId;
use crate::message::{own, ClaimRequest, ConflictingClaim, Message, RejectReason};
use crate::replica_table::millis;
use crate::{Time, LATE_READ_GRACE};

/// Claims under way, and ends that not every copy has confirmed.
pub const MAX_CLAIMS: usize = 8192;
/// Once a majority holds an end, the other copies are told of it for so long.
const TOLD_FOR: Duration = Duration::from_secs(10);
/// A question without an answer is asked again after this, then after twice as long, and so on up to the last.
const AGAIN: Duration = Duration::from_millis(50);
const AGAIN_LAST: Duration = Duration::from_millis(800);
/// A try that waits for another node's run asks after it so often; it is told at once if nothing is lost.
const ASKS: Duration = Duration::from_millis(200);
/// What is not known so long before a request's due time is not hoped for: the answer needs time to leave. At most a
/// quarter of the time that it has.
const MARGIN: Duration = Duration::from_millis(250);

/// A try of this node, as it is numbered there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// What a try is told.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ClaimOutcome {
    /// Its run may begin.
    Granted,
    /// Its run must not begin, and nothing is known to have begun.
    Rejected(RejectReason),
    /// Another try's run may have begun; what becomes of it is told next.
    RunningElsewhere,
    /// What became of another try's run.
    RemoteOutcome(RunResult),
    /// Its key is that of another body.
    BodyMismatch,
    /// What became of another try's run is not known in time.
    Unknown,
    /// Whether a majority holds the result of its run.
    Replicated(bool),
}

/// A claim as a try asks for it.
#[derive(Debug, Clone)]
pub struct RunRequest {
    /// The try.
    pub token: AttemptId,
    /// Its key.
    pub key: Key,
    /// The digest of its body.
    pub body: BodyDigest,
    /// How long the key is remembered.
    pub until: Time,
    /// When its request came, on this node's clock and in Unix milliseconds.
    pub received_at: (Time, u64),
    /// When its caller stops waiting.
    pub deadline: Time,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Answer {
    Open,
    /// In this life of the copy.
    Granted(u64),
    Blocked(ConflictingClaim, Time),
    Free,
    Unsure(RejectReason),
    RestoredState,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Stage {
    Asking,
    Granted,
    /// It waits for what becomes of another claim.
    Waiting,
    Ending {
        fate: RunResult,
        told: bool,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Claim {
    token: AttemptId,
    id: ClaimId,
    key: Key,
    body: BodyDigest,
    until: Time,
    received_at: (Time, u64),
    place: u32,
    /// When nothing more is hoped for.
    hope: Time,
    /// The numbers of its lists, and in each the holders and how many are a majority.
    lists: Vec<(u64, Vec<NodeId>, usize)>,
    answers: BTreeMap<NodeId, Answer>,
    /// The latest lives of copies that are known.
    lives: BTreeMap<NodeId, u64>,
    stage: Stage,
    /// When a majority held its end.
    held_at: Option<Time>,
    again: Duration,
    again_at: Time,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Say this to a node.
    Send(NodeId, Message),
    /// Tell this to a try.
    Tell(AttemptId, ClaimOutcome),
}

/// All claims of this node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimCoordinator {
    me: NodeId,
    incarnation: u64,
    next: u64,
    claims: BTreeMap<ClaimId, Claim>,
    by_token: BTreeMap<AttemptId, ClaimId>,
}

impl ClaimCoordinator {
    /// No claims yet, in this life of the node.
    pub fn new(me: NodeId, incarnation: u64) -> ClaimCoordinator {
        ClaimCoordinator { me, incarnation, next: 1, claims: BTreeMap::new(), by_token: BTreeMap::new() }
    }

    /// Claims that are not over.
    pub fn count(&self) -> usize {
        self.claims.len()
    }

    /// Further claims are of another life; those of now go on.
    pub fn set_incarnation(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
    }

    fn new_id(&mut self) -> ClaimId {
        let id = ClaimId { node: self.me, incarnation: self.incarnation, number: self.next };
        self.next += 1;
        id
    }

    /// Asks for a claim.
    pub fn want(&mut self, now: Time, wanted: RunRequest, lists: &ActiveConfigs, out: &mut Vec<ClaimAction>) {
        let RunRequest { token, key, body, until, received_at, deadline } = wanted;
        if self.claims.len() >= MAX_CLAIMS {
            // The oldest end that a majority holds is told to nobody any more.
            let Some(held) = self.claims.values().find(|claim| claim.held_at.is_some()).map(|claim| claim.id)
            else {
                return out.push(ClaimAction::Tell(token, ClaimOutcome::Rejected(RejectReason::Full)));
            };
            self.forget(held);
        }
        let left = deadline.saturating_sub(now);
        let mut claim = Claim {
            token,
            id: self.new_id(),
            // It outlives the buffer that it was read into.
            key: own(&key),
            body,
            until,
            received_at,
            place: lists.newest().place(self.me).map_or(u32::MAX, |place| place as u32),
            hope: deadline.saturating_sub(MARGIN.min(left / 4)),
            lists: Vec::new(),
            answers: BTreeMap::new(),
            lives: BTreeMap::new(),
            stage: Stage::Asking,
            held_at: None,
            again: AGAIN,
            again_at: now + AGAIN,
        };
        claim.goes_by(lists);
        claim.ask(now, |_| false, out);
        self.by_token.insert(token, claim.id);
        self.claims.insert(claim.id, claim);
    }

    /// A list has come or gone: what has not been granted is asked for anew, under the lists of now.
    pub fn relist(&mut self, now: Time, lists: &ActiveConfigs, out: &mut Vec<ClaimAction>) {
        let asking: Vec<ClaimId> =
            self.claims.values().filter(|claim| claim.stage == Stage::Asking).map(|claim| claim.id).collect();
        for id in asking {
            let fresh = self.new_id();
            let Some(mut claim) = self.claims.remove(&id) else { continue };
            claim.release(out);
            claim.id = fresh;
            claim.goes_by(lists);
            claim.ask(now, |_| false, out);
            self.by_token.insert(claim.token, fresh);
            self.claims.insert(fresh, claim);
        }
    }

    /// The run of a try has ended.
    pub fn ended(&mut self, now: Time, token: AttemptId, fate: RunResult, out: &mut Vec<ClaimAction>) {
        let claim = self.by_token.get(&token).and_then(|id| self.claims.get_mut(id));
        let Some(claim) = claim.filter(|claim| claim.stage == Stage::Granted) else {
            return out.push(ClaimAction::Tell(token, ClaimOutcome::Replicated(false)));
        };
        claim.stage = Stage::Ending { fate, told: false };
        claim.reopen();
        claim.again = AGAIN;
        claim.again(now, |_| false, out);
    }

    /// The run of a try never began and never will.
    pub fn release(&mut self, token: AttemptId, out: &mut Vec<ClaimAction>) {
        if let Some(claim) = self.by_token.remove(&token).and_then(|id| self.claims.remove(&id)) {
            if !matches!(claim.stage, Stage::Ending { .. }) {
                claim.release(out);
            }
        }
    }

    /// A copy, in this life of it, has answered.
    pub fn answered(
        &mut self,
        now: Time,
        from: NodeId,
        incarnation: u64,
        frame: Message,
        out: &mut Vec<ClaimAction>,
    ) {
        let (id, answer, lives) = match frame {
            Message::Granted { claim, lives } => (claim, Answer::Granted(incarnation), lives),
            Message::Blocked { claim, by } => (claim, Answer::Blocked(by, now), Vec::new()),
            // It says which list this node lacks, and is asked again under that one.
            Message::Unsure { why: RejectReason::ActiveConfigs, .. } => return,
            Message::Unsure { claim, why } => (claim, Answer::Unsure(why), Vec::new()),
            Message::Free { claim } => (claim, Answer::Free, Vec::new()),
            Message::Kept { claim, kept: true } => (claim, Answer::RestoredState, Vec::new()),
            _ => return,
        };
        let Some(claim) = self.claims.get_mut(&id) else { return };
        let fits = match &answer {
            Answer::Granted(_) => claim.stage == Stage::Asking,
            Answer::RestoredState => matches!(claim.stage, Stage::Ending { .. }),
            Answer::Free => claim.stage == Stage::Waiting,
            Answer::Blocked(..) | Answer::Unsure(_) => matches!(claim.stage, Stage::Asking | Stage::Waiting),
            Answer::Open => false,
        };
        if !fits || !claim.answers.contains_key(&from) {
            return;
        }
        for (node, incarnation) in lives.into_iter().chain([(from, incarnation)]) {
            let known = claim.lives.entry(node).or_default();
            *known = incarnation.max(*known);
        }
        claim.answers.insert(from, answer);
        self.judge(now, id, out);
    }

    /// A copy can't be reached.
    pub fn unreached(&mut self, now: Time, node: NodeId, out: &mut Vec<ClaimAction>) {
        let open =
            |claim: &&Claim| claim.stage == Stage::Asking && claim.answers.get(&node) == Some(&Answer::Open);
        let open: Vec<ClaimId> = self.claims.values().filter(open).map(|claim| claim.id).collect();
        for id in open {
            if let Some(claim) = self.claims.get_mut(&id) {
                claim.answers.insert(node, Answer::Unsure(RejectReason::Unreached));
            }
            self.judge(now, id, out);
        }
    }

    /// A link to a copy broke, with what was on it: what it owes is asked again.
    pub fn broken(&mut self, now: Time, node: NodeId, out: &mut Vec<ClaimAction>) {
        for claim in self.claims.values() {
            if claim.answers.get(&node) == Some(&Answer::Open) {
                out.extend(claim.question(now).map(|frame| ClaimAction::Send(node, frame)));
            }
        }
    }

    /// Time passes. Copies of which this is true are hardly there.
    pub fn tick(&mut self, now: Time, lost: impl Fn(NodeId) -> bool, out: &mut Vec<ClaimAction>) {
        let deadline = |claim: &&Claim| {
            let runs = claim.stage == Stage::Granted;
            let hopes = !runs && !matches!(claim.stage, Stage::Ending { told: true, .. });
            (!runs && now >= claim.again_at)
                || (hopes && now >= claim.hope)
                || now >= claim.until + LATE_READ_GRACE
        };
        let deadline: Vec<ClaimId> = self.claims.values().filter(deadline).map(|claim| claim.id).collect();
        for id in deadline {
            let Some(claim) = self.claims.get_mut(&id) else { continue };
            if now >= claim.until + LATE_READ_GRACE {
                self.forget(id);
                continue;
            }
            if now >= claim.hope && self.give_up(id, out) {
                continue;
            }
            let Some(claim) = self.claims.get_mut(&id) else { continue };
            if now < claim.again_at || claim.stage == Stage::Granted {
                continue;
            }
            if claim.held_at.is_some_and(|held| now >= held + TOLD_FOR) {
                self.forget(id);
                continue;
            }
            if claim.stage == Stage::Asking {
                // Who does not answer and is hardly there is not hoped for any longer.
                for (node, answer) in claim.answers.iter_mut().filter(|(_, answer)| **answer == Answer::Open)
                {
                    if lost(*node) {
                        *answer = Answer::Unsure(RejectReason::Unreached);
                    }
                }
                // What stood in its way may be gone by now.
                claim
                    .answers
                    .values_mut()
                    .filter(|a| matches!(a, Answer::Blocked(..)))
                    .for_each(|a| *a = Answer::Open);
            }
            if claim.stage == Stage::Waiting {
                claim.reopen();
            }
            // A copy that is hardly there is owed an end too, but is not told of each one again and again.
            let held = claim.held_at.is_some();
            claim.again(now, |node| held && lost(node), out);
            self.judge(now, id, out);
        }
    }

    /// The time of a try is up; returns whether its claim is over.
    fn give_up(&mut self, id: ClaimId, out: &mut Vec<ClaimAction>) -> bool {
        let Some(claim) = self.claims.get_mut(&id) else { return true };
        match claim.stage {
            Stage::Granted => false,
            Stage::Ending { .. } => {
                claim.tells_held(false, out);
                // The copies are still owed the result.
                false
            }
            Stage::Asking => {
                let begun = claim.answers.values().any(|answer| matches!(answer, Answer::Blocked(..)));
                claim.release(out);
                let said =
                    if begun { ClaimOutcome::Unknown } else { ClaimOutcome::Rejected(RejectReason::Late) };
                out.push(ClaimAction::Tell(claim.token, said));
                self.forget(id);
                true
            }
            Stage::Waiting => {
                out.push(ClaimAction::Tell(claim.token, ClaimOutcome::Unknown));
                self.forget(id);
                true
            }
        }
    }

    fn forget(&mut self, id: ClaimId) {
        if let Some(claim) = self.claims.remove(&id) {
            if self.by_token.get(&claim.token) == Some(&id) {
                self.by_token.remove(&claim.token);
            }
        }
    }

    /// All that is not granted yet is given up: this node has slept, and may go by what is out of date.
    pub fn woke(&mut self, out: &mut Vec<ClaimAction>) {
        let waits: Vec<ClaimId> =
            self.claims.values().filter(|claim| claim.stage == Stage::Asking).map(|c| c.id).collect();
        for id in waits {
            if let Some(claim) = self.claims.get(&id) {
                claim.release(out);
                out.push(ClaimAction::Tell(claim.token, ClaimOutcome::Rejected(RejectReason::Unheard)));
            }
            self.forget(id);
        }
    }

    /// What became of a claim of this node, as a copy asks: the answer, if there is one yet. `beside` if a process of an
    /// earlier life may still be there.
    pub fn what(
        &self,
        now: Time,
        key: &Key,
        claim: ClaimId,
        body: BodyDigest,
        beside: bool,
    ) -> Option<Message> {
        if let Some(known) = self.claims.get(&claim) {
            return match known.stage {
                Stage::Ending { .. } => known.question(now),
                Stage::Waiting => Some(Message::Release { key: key.clone(), claim }),
                Stage::Asking | Stage::Granted => None,
            };
        }
        if claim.incarnation == self.incarnation {
            // A run that has ended is known here until a majority holds its end: this one never began.
            return Some(Message::Release { key: key.clone(), claim });
        }
        // Whoever knew what became of it is gone. Any end that is still told stands above this one.
        let gone = CompletedRun::of_the_gone(claim, body);
        (claim.incarnation < self.incarnation && !beside).then(|| Message::Ended {
            key: key.clone(),
            keep_ms: 0,
            end: gone,
        })
    }

    /// Draws the conclusion from the answers so far.
    fn judge(&mut self, now: Time, id: ClaimId, out: &mut Vec<ClaimAction>) {
        let Some(claim) = self.claims.get_mut(&id) else { return };
        let token = claim.token;
        match claim.stage {
            Stage::Granted => {}
            Stage::Ending { .. } => {
                if claim.in_each_list(|node| claim.answers.get(node) == Some(&Answer::RestoredState)) {
                    claim.held_at.get_or_insert(now);
                    claim.tells_held(true, out);
                }
                if claim.answers.values().all(|answer| *answer == Answer::RestoredState) {
                    self.forget(id);
                }
            }
            Stage::Asking | Stage::Waiting => {
                let Some(verdict) = claim.verdict() else { return };
                let waits = claim.stage == Stage::Waiting;
                match verdict {
                    Verdict::Granted => {
                        claim.stage = Stage::Granted;
                        out.push(ClaimAction::Tell(token, ClaimOutcome::Granted));
                    }
                    Verdict::RunningElsewhere if waits => {}
                    Verdict::RunningElsewhere => {
                        claim.release(out);
                        claim.stage = Stage::Waiting;
                        (claim.again, claim.again_at) = (ASKS, now + ASKS);
                        out.push(ClaimAction::Tell(token, ClaimOutcome::RunningElsewhere));
                    }
                    Verdict::Over(said) => {
                        if !waits {
                            claim.release(out);
                        }
                        out.push(ClaimAction::Tell(token, said));
                        self.forget(id);
                    }
                }
            }
        }
    }
}

enum Verdict {
    Granted,
    /// Another claim stands in the way, whose end is not known yet.
    RunningElsewhere,
    Over(ClaimOutcome),
}

impl Claim {
    fn goes_by(&mut self, lists: &ActiveConfigs) {
        let of = |list: &std::sync::Arc<crate::membership_config::MembershipConfig>| {
            (list.number(), list.replicas_of(&self.key), list.quorum())
        };
        self.lists = lists.about().iter().map(of).collect();
        let replicas_of: BTreeSet<NodeId> =
            self.lists.iter().flat_map(|(_, replicas_of, _)| replicas_of).copied().collect();
        self.answers = replicas_of.into_iter().map(|node| (node, Answer::Open)).collect();
    }

    fn reopen(&mut self) {
        self.answers.values_mut().for_each(|answer| *answer = Answer::Open);
    }

    /// What a copy is asked at this stage.
    fn question(&self, now: Time) -> Option<Message> {
        let keep_ms = millis(self.until.saturating_sub(now));
        let key = self.key.clone();
        match &self.stage {
            Stage::Asking => {
                let lists = self.lists.iter().map(|(number, ..)| *number).collect();
                Some(Message::Claim(ClaimRequest { claim: self.id, key, body: self.body, keep_ms, lists }))
            }
            Stage::Waiting => Some(Message::Ask { claim: self.id, key }),
            Stage::Ending { fate, .. } => {
                let (received_at, place, claim, body) = (self.received_at.1, self.place, self.id, self.body);
                Some(Message::Ended {
                    key,
                    keep_ms,
                    end: CompletedRun { received_at, place, claim, fate: fate.clone(), body },
                })
            }
            Stage::Granted => None,
        }
    }

    fn ask(&mut self, now: Time, skip: impl Fn(NodeId) -> bool, out: &mut Vec<ClaimAction>) {
        let Some(question) = self.question(now) else { return };
        let open = self.answers.iter().filter(|(node, answer)| **answer == Answer::Open && !skip(**node));
        out.extend(open.map(|(node, _)| ClaimAction::Send(*node, question.clone())));
    }

    fn again(&mut self, now: Time, skip: impl Fn(NodeId) -> bool, out: &mut Vec<ClaimAction>) {
        self.ask(now, skip, out);
        self.again_at = now + self.again;
        if self.stage != Stage::Waiting {
            self.again = (self.again * 2).min(AGAIN_LAST);
        }
    }

    fn release(&self, out: &mut Vec<ClaimAction>) {
        let frame = Message::Release { key: self.key.clone(), claim: self.id };
        out.extend(self.answers.keys().map(|node| ClaimAction::Send(*node, frame.clone())));
    }

    /// Tells its try, once, whether a majority holds its end.
    fn tells_held(&mut self, held: bool, out: &mut Vec<ClaimAction>) {
        if let Stage::Ending { told: told @ false, .. } = &mut self.stage {
            *told = true;
            out.push(ClaimAction::Tell(self.token, ClaimOutcome::Replicated(held)));
        }
    }

    /// Whether a majority of the copies is like that, in each list.
    fn in_each_list(&self, like: impl Fn(&NodeId) -> bool) -> bool {
        let quorum = |(_, replicas_of, quorum): &(u64, Vec<NodeId>, usize)| {
            replicas_of.iter().filter(|node| like(node)).count() >= *quorum
        };
        self.lists.iter().all(quorum)
    }

    /// Whether this copy's grant counts: it is of the copy's latest life that any copy knows.
    fn grants(&self, node: &NodeId) -> bool {
        matches!(self.answers.get(node), Some(Answer::Granted(incarnation)) if self.lives.get(node) == Some(incarnation))
    }

    fn verdict(&self) -> Option<Verdict> {
        let blocked: Vec<(&ConflictingClaim, Time)> = self
            .answers
            .values()
            .filter_map(|answer| match answer {
                Answer::Blocked(by, at) => Some((by, *at)),
                _ => None,
            })
            .collect();
        // One whose window was surely over when this request came is not this request.
        let past = |(by, at): &&(&ConflictingClaim, Time)| {
            by.past_ms > 0 && self.received_at.0 > at.saturating_sub(Duration::from_millis(by.past_ms))
        };
        if blocked.iter().any(|blocker| past(&blocker)) {
            return Some(Verdict::Over(ClaimOutcome::Rejected(RejectReason::Past)));
        }
        if let Some((by, end)) = blocked.iter().find_map(|(by, _)| Some((by, by.ended.as_ref()?))) {
            let said = if by.body == self.body {
                ClaimOutcome::RemoteOutcome(end.fate.clone())
            } else {
                ClaimOutcome::BodyMismatch
            };
            return Some(Verdict::Over(said));
        }
        let answered = |node: &NodeId, answer: &Answer| self.answers.get(node) == Some(answer);
        if self.stage == Stage::Waiting {
            let free = self.in_each_list(|node| answered(node, &Answer::Free));
            return free.then_some(Verdict::Over(ClaimOutcome::Rejected(RejectReason::Freed)));
        }
        if self.in_each_list(|node| self.grants(node)) {
            return Some(Verdict::Granted);
        }
        if self.in_each_list(|node| self.grants(node) || answered(node, &Answer::Open)) {
            return None;
        }
        let Some(first) = blocked.iter().map(|(by, _)| by.claim).min() else {
            let why = self.answers.values().find_map(|answer| match answer {
                Answer::Unsure(why) => Some(*why),
                _ => None,
            });
            // A grant of a life that is over is as good as none.
            return Some(Verdict::Over(ClaimOutcome::Rejected(why.unwrap_or(RejectReason::Returning))));
        };
        // Where several tries have a part of the copies each, the lowest claim goes on asking and the others give way.
        let by_first = |node: &&NodeId| matches!(self.answers.get(node), Some(Answer::Blocked(by, _)) if by.claim == first);
        let has_majority = self
            .lists
            .iter()
            .any(|(_, replicas_of, quorum)| replicas_of.iter().filter(by_first).count() >= *quorum);
        if self.id < first && !has_majority {
            return None;
        }
        let (by, _) = blocked.iter().find(|(by, _)| by.claim == first)?;
        Some(if by.body == self.body {
            Verdict::RunningElsewhere
        } else {
            Verdict::Over(ClaimOutcome::BodyMismatch)
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::membership_config::tests::{at, id, list};
    use bytes::Bytes;
    use std::sync::Arc;

    fn lists() -> ActiveConfigs {
        ActiveConfigs::new(id(1), Arc::new(list(1, &[1, 2, 3], 1)))
    }

    fn wanted(token: u64) -> RunRequest {
        let key = Bytes::from("k");
        RunRequest {
            token: AttemptId(token),
            key,
            body: 5,
            until: at(10_000),
            received_at: (at(0), 1),
            deadline: at(2_000),
        }
    }

    struct Place {
        claims: ClaimCoordinator,
        lists: ActiveConfigs,
        out: Vec<ClaimAction>,
    }

    impl Place {
        fn new() -> Place {
            let (mut claims, lists, mut out) = (ClaimCoordinator::new(id(1), 4), lists(), Vec::new());
            claims.want(at(0), wanted(1), &lists, &mut out);
            assert_eq!(out.len(), 3, "every copy is asked: {out:?}");
            out.clear();
            Place { claims, lists, out }
        }

        fn id(&self) -> ClaimId {
            ClaimId { node: id(1), incarnation: 4, number: 1 }
        }

        fn told(&mut self) -> Vec<ClaimOutcome> {
            let told = self.out.drain(..).filter_map(|done| match done {
                ClaimAction::Tell(_, said) => Some(said),
                ClaimAction::Send(..) => None,
            });
            told.collect()
        }

        fn grant(&mut self, from: usize, incarnation: u64, lives: Vec<(NodeId, u64)>) -> Vec<ClaimOutcome> {
            let frame = Message::Granted { claim: self.id(), lives };
            self.claims.answered(at(1), id(from), incarnation, frame, &mut self.out);
            self.told()
        }

        fn block(&mut self, from: usize, by: ClaimId, ended: Option<&'static str>) -> Vec<ClaimOutcome> {
            let fate = |result| RunResult::Succeeded(Bytes::from(result));
            let ended = ended.map(|result| CompletedRun {
                received_at: 0,
                place: 0,
                claim: by,
                fate: fate(result),
                body: 5,
            });
            let by = ConflictingClaim { claim: by, body: 5, ended, past_ms: 0 };
            let frame = Message::Blocked { claim: self.id(), by };
            self.claims.answered(at(1), id(from), 1, frame, &mut self.out);
            self.told()
        }

        fn unsure(&mut self, from: usize) -> Vec<ClaimOutcome> {
            let frame = Message::Unsure { claim: self.id(), why: RejectReason::Returning };
            self.claims.answered(at(1), id(from), 1, frame, &mut self.out);
            self.told()
        }
    }

    fn other(number: u64) -> ClaimId {
        ClaimId { node: NodeId(u64::MAX), incarnation: 1, number }
    }

    #[test]
    fn a_majority_lets_a_run_begin_and_a_majority_lets_its_result_leave() {
        let mut place = Place::new();
        assert_eq!(place.grant(2, 1, vec![]), []);
        assert_eq!(place.grant(3, 1, vec![]), [ClaimOutcome::Granted]);
        place.claims.ended(at(5), AttemptId(1), RunResult::Succeeded("job".into()), &mut place.out);
        assert_eq!(place.out.len(), 3, "every copy is told");
        place.out.clear();
        let claim = place.id();
        for (from, said) in [(1, vec![]), (2, vec![ClaimOutcome::Replicated(true)]), (3, vec![])] {
            place.claims.answered(at(6), id(from), 1, Message::Kept { claim, kept: true }, &mut place.out);
            assert_eq!(place.told(), said);
        }
        assert_eq!(place.claims.count(), 0);
    }

    #[test]
    fn a_grant_of_a_life_that_is_over_does_not_count() {
        let mut place = Place::new();
        assert_eq!(place.grant(2, 1, vec![]), []);
        assert_eq!(place.grant(3, 1, vec![(id(2), 2)]), [], "the second has lost its state since");
        assert_eq!(place.grant(2, 2, vec![]), [ClaimOutcome::Granted]);
    }

    #[test]
    fn who_can_not_get_a_majority_waits_for_the_run_in_its_way_and_gets_what_became_of_it() {
        let mut place = Place::new();
        assert_eq!(place.block(2, other(1), None), []);
        assert_eq!(place.block(3, other(1), None), [ClaimOutcome::RunningElsewhere]);
        assert_eq!(
            place.block(3, other(1), Some("job")),
            [ClaimOutcome::RemoteOutcome(RunResult::Succeeded("job".into()))]
        );
        assert_eq!(place.claims.count(), 0);
    }

    #[test]
    fn an_end_is_believed_whoever_tells_it_and_a_mismatch_is_told() {
        let mut place = Place::new();
        place.grant(2, 1, vec![]);
        assert_eq!(
            place.block(3, other(1), Some("job")),
            [ClaimOutcome::RemoteOutcome(RunResult::Succeeded("job".into()))]
        );
        let mut place = Place::new();
        let by = ConflictingClaim { claim: other(1), body: 6, ended: None, past_ms: 0 };
        for from in [2, 3] {
            let frame = Message::Blocked { claim: place.id(), by: by.clone() };
            place.claims.answered(at(1), id(from), 1, frame, &mut place.out);
        }
        assert_eq!(place.told(), [ClaimOutcome::BodyMismatch]);
    }

    #[test]
    fn without_a_majority_that_can_say_nothing_runs_and_the_try_is_turned_away_at_once() {
        let mut place = Place::new();
        assert_eq!(place.grant(1, 1, vec![]), []);
        assert_eq!(place.unsure(2), []);
        place.claims.unreached(at(1), id(3), &mut place.out);
        let released = place
            .out
            .iter()
            .filter(|done| matches!(done, ClaimAction::Send(_, Message::Release { .. })))
            .count();
        assert_eq!(released, 3);
        assert!(matches!(
            place.told()[..],
            [ClaimOutcome::Rejected(RejectReason::Returning | RejectReason::Unreached)]
        ));
    }

    #[test]
    fn of_two_that_share_the_copies_the_lower_claim_goes_on_asking() {
        let mut place = Place::new();
        place.grant(1, 1, vec![]);
        place.claims.unreached(at(1), id(3), &mut place.out);
        assert_eq!(place.block(2, other(1), None), [], "this one is lower");
        place.claims.tick(at(60), |_| false, &mut place.out);
        assert!(
            matches!(place.out[..], [ClaimAction::Send(to, Message::Claim(_))] if to == id(2)),
            "{:?}",
            place.out
        );
        place.out.clear();
        assert_eq!(place.grant(2, 1, vec![]), [ClaimOutcome::Granted]);
        let mut place = Place::new();
        place.grant(1, 1, vec![]);
        place.claims.unreached(at(1), id(3), &mut place.out);
        let low = ClaimId { node: NodeId(0), incarnation: 1, number: 1 };
        assert_eq!(place.block(2, low, None), [ClaimOutcome::RunningElsewhere]);
    }

    #[test]
    fn nothing_is_waited_for_past_its_time() {
        let mut place = Place::new();
        place.claims.tick(at(1_749), |_| false, &mut place.out);
        assert_eq!(place.told(), []);
        place.claims.tick(at(1_750), |_| false, &mut place.out);
        assert_eq!(place.told(), [ClaimOutcome::Rejected(RejectReason::Late)]);
        let mut place = Place::new();
        place.block(2, other(1), None);
        place.block(3, other(1), None);
        place.claims.tick(at(1_750), |_| false, &mut place.out);
        assert_eq!(place.told(), [ClaimOutcome::Unknown]);
        let mut place = Place::new();
        place.grant(2, 1, vec![]);
        place.grant(3, 1, vec![]);
        place.claims.ended(at(5), AttemptId(1), RunResult::Succeeded("job".into()), &mut place.out);
        place.claims.tick(at(1_750), |_| false, &mut place.out);
        assert_eq!(place.told(), [ClaimOutcome::Replicated(false)]);
        assert_eq!(place.claims.count(), 1, "the copies are still owed the result");
        place.claims.tick(at(18_000), |_| false, &mut place.out);
        assert_eq!(place.claims.count(), 0);
    }

    #[test]
    fn a_copy_that_is_hardly_there_is_not_told_of_each_end_again_and_again() {
        let mut place = Place::new();
        place.grant(1, 1, vec![]);
        place.grant(2, 1, vec![]);
        place.claims.ended(at(5), AttemptId(1), RunResult::Succeeded("job".into()), &mut place.out);
        let claim = place.id();
        for from in [1, 2] {
            place.claims.answered(at(6), id(from), 1, Message::Kept { claim, kept: true }, &mut place.out);
        }
        place.out.clear();
        place.claims.tick(at(60), |node| node == id(3), &mut place.out);
        assert_eq!(place.out, []);
        place.claims.tick(at(200), |_| false, &mut place.out);
        assert!(
            matches!(place.out[..], [ClaimAction::Send(to, Message::Ended { .. })] if to == id(3)),
            "it is back"
        );
    }

    #[test]
    fn who_waited_for_a_run_that_never_began_is_turned_away() {
        let mut place = Place::new();
        place.block(2, other(1), None);
        place.block(3, other(1), None);
        let claim = place.id();
        for (from, said) in [(2, vec![]), (1, vec![ClaimOutcome::Rejected(RejectReason::Freed)])] {
            place.claims.answered(at(2), id(from), 1, Message::Free { claim }, &mut place.out);
            assert_eq!(place.told(), said);
        }
    }

    #[test]
    fn a_new_list_asks_anew_under_both() {
        let mut place = Place::new();
        place.grant(2, 1, vec![]);
        place.lists.offer(Arc::new(list(2, &[1, 2, 4], 1)));
        place.claims.relist(at(2), &place.lists, &mut place.out);
        let asked: Vec<_> = place
            .out
            .drain(..)
            .filter_map(|done| match done {
                ClaimAction::Send(to, Message::Claim(asked)) => Some((to, asked.claim.number, asked.lists)),
                _ => None,
            })
            .collect();
        assert_eq!(asked.len(), 4);
        assert!(asked.iter().all(|(_, number, lists)| (*number, &lists[..]) == (2, &[1, 2][..])));
        let claim = ClaimId { number: 2, ..place.id() };
        for (from, granted) in [(1, false), (3, false), (4, true)] {
            let frame = Message::Granted { claim, lives: vec![] };
            place.claims.answered(at(3), id(from), 1, frame, &mut place.out);
            assert_eq!(
                place.told() == [ClaimOutcome::Granted],
                granted,
                "1 and 3 are a majority of the first list alone"
            );
        }
    }

    #[test]
    fn copies_are_told_what_became_of_a_claim() {
        let mut place = Place::new();
        let (claim, key) = (place.id(), Bytes::from("k"));
        assert_eq!(place.claims.what(at(1), &key, claim, 5, false), None, "it may begin yet");
        let unknown = ClaimId { number: 9, ..claim };
        assert!(matches!(place.claims.what(at(1), &key, unknown, 5, false), Some(Message::Release { .. })));
        let before = ClaimId { incarnation: 3, ..claim };
        assert_eq!(
            place.claims.what(at(1), &key, before, 5, true),
            None,
            "the process before may still run it"
        );
        let gone = place.claims.what(at(1), &key, before, 5, false);
        assert!(matches!(
            gone,
            Some(Message::Ended { end: CompletedRun { fate: RunResult::Failed, .. }, .. })
        ));
        place.grant(2, 1, vec![]);
        place.grant(3, 1, vec![]);
        assert_eq!(place.claims.what(at(1), &key, claim, 5, false), None, "it runs");
        place.claims.ended(at(2), AttemptId(1), RunResult::Failed, &mut place.out);
        assert!(matches!(place.claims.what(at(3), &key, claim, 5, false), Some(Message::Ended { .. })));
    }
}
