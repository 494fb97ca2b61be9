//! One node's part in the fleet: the lists, the members, the table of its copies, the claims of its own tries and what it
//! has to learn, put together. An event goes in with the time, actions come out.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::active_configs::{ActiveConfigs, Offer};
use crate::claim_coordinator::{AttemptId, ClaimAction, ClaimCoordinator, ClaimOutcome, RunRequest};
use crate::failure_detector::{Counts, FailureDetector, Outbound};
use crate::key_state::{ClaimId, CompletedRun, Key, RunResult};
use crate::membership_config::{MembershipConfig, NodeId};
use crate::message::{Hello, Liveness, Message, Page, RejectReason, ReplicaRecord};
use crate::recovery_stages::{Conditions, Permissions, RecoveryStages, Stage, Transition};
use crate::replica_table::{millis, Change, LinkId, Outcome, ReplicaTable};
use crate::staleness::{StalenessTracker, StatePosition};
use crate::state_transfer::{Donor, StateTransfer};
use crate::Time;

/// The link of a node with itself.
pub const OWN: LinkId = 0;
/// Time is told at least so often.
pub const TICK: Duration = Duration::from_millis(50);
/// A node that was not told the time for this long has slept.
const SLEPT: Duration = Duration::from_secs(1);

/// How a node begins.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its name.
    pub name: String,
    /// The number of this life; higher than those before, as far as is known.
    pub incarnation: u64,
    /// What random numbers begin with.
    pub seed: u64,
    /// What is held for others may take so much.
    pub bytes: usize,
    /// Bytes a second for catching up, on each side.
    pub bytes_per_s: u64,
    /// Between two probes.
    pub probe: Duration,
    /// What it wrote down in its last life; none if that is lost or was never kept.
    pub kept: Option<RestoredState>,
    /// Whether changes are written down before they are told.
    pub durable: bool,
}

/// What a node wrote down in its last life.
#[derive(Debug, Clone)]
pub struct RestoredState {
    /// What it knew, with its votes.
    pub records: Vec<(Option<ClaimId>, ReplicaRecord)>,
    /// Where that ends.
    pub until: StatePosition,
}

/// What happens to a node.
#[derive(Debug, Clone)]
pub enum Event {
    /// A try wants to run.
    Want(RunRequest),
    /// The run of a try has ended.
    Ended(AttemptId, RunResult),
    /// The run of a try never began and never will.
    Release(AttemptId),
    /// A node, in this life of it, has said something on a link.
    Heard {
        /// The link.
        link: LinkId,
        /// Who.
        from: NodeId,
        /// Which life of it.
        incarnation: u64,
        /// What.
        frame: Message,
    },
    /// A node can't be reached now.
    Unreached(NodeId),
    /// The link to a node broke, with whatever was on it.
    Broken(NodeId),
    /// A list of the operators'.
    Membership(Arc<MembershipConfig>),
    /// A change is written down, or could not be.
    Stored(u64, bool),
    /// Another process of this node takes over: this one grants nothing more.
    Retire,
    /// That process has gone: this one begins a new life.
    Resume(u64),
    /// Whether a process before this one may still run what it began.
    Beside(bool),
    /// Something runs requests here, on cores that are warm from then on.
    Cores(Option<Time>),
    /// Time passes.
    Tick,
}

/// What is to be done.
#[derive(Debug, Clone)]
pub enum Action {
    /// Say this to a node.
    Send(NodeId, Message),
    /// Say this on the link that a question came by; nothing if that is gone.
    Answer(LinkId, Message),
    /// Tell a try.
    Tell(AttemptId, ClaimOutcome),
    /// Write this down, with the vote, and say by this number when it is.
    Store(u64, Change, Option<ClaimId>),
    /// What this node is, or goes by, has changed: greet those again that have a link.
    Greet,
    /// What it is allowed has changed.
    Allow(Permissions),
    /// Something that operators may want to know.
    Notify(Notification),
}

/// Something that operators may want to know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notification {
    /// A majority is heard: claims are made and granted.
    Level,
    /// It slept for so long, and goes by nothing that it heard before.
    Slept(Duration),
    /// Its votes can be relied on for every key, and so many keys are known.
    Complete(usize),
    /// Another process has its name, in this life.
    Superseded(u64),
    /// What it kept is not the last that was known of it, and counts as lost: where that ends, and the last.
    Outdated(StatePosition, StatePosition),
    /// A list is taken.
    Took(u64),
    /// A list is turned down.
    TurnedDown(String),
    /// A list that a peer goes by counts too.
    Learnt(u64),
    /// A list is over.
    Over(u64),
    /// A node goes by a list of the same number that says something else.
    Contradicts(NodeId, u64),
    /// Two runs of one key have ended: the one that stands, and the other.
    Conflict(CompletedRun, CompletedRun),
    /// Not all that a donor holds has room here.
    NoRoom(NodeId),
    /// It came to another stage of its way back.
    Stage(Transition),
    /// What it does not know may have run: it can vote for every key once it has caught up, and at the latest after this.
    Waits(Duration),
}

impl fmt::Display for Notification {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notification::Level => write!(f, "a majority is heard, bookings run"),
            Notification::Slept(for_) => {
                write!(
                    f,
                    "stood still for {} ms, nothing runs until a majority is heard again",
                    for_.as_millis()
                )
            }
            Notification::Complete(keys) => write!(f, "has what it needs to vote, {keys} keys are known"),
            Notification::Superseded(incarnation) => {
                write!(f, "another process has this name (life {incarnation}), nothing that has a key runs here")
            }
            Notification::Outdated(kept, known) => write!(
                f,
                "what it kept ends at life {}, second {}, and others know of life {}, second {}: an old copy, which counts \
                 as lost",
                kept.incarnation, kept.seconds, known.incarnation, known.seconds
            ),
            Notification::Took(number) => write!(f, "list {number} is taken"),
            Notification::TurnedDown(reason) => write!(f, "list not taken: {reason}"),
            Notification::Learnt(number) => write!(f, "a peer goes by list {number}, which counts too"),
            Notification::Over(number) => write!(f, "list {number} is over"),
            Notification::Contradicts(node, number) => {
                write!(f, "node {:x} has another list {number}; it is not heard", node.0)
            }
            Notification::Conflict(stands, falls) => write!(
                f,
                "conflict: a key ran twice, by {:x}/{}/{} and by {:x}/{}/{}; the first stands",
                stands.claim.node.0,
                stands.claim.incarnation,
                stands.claim.number,
                falls.claim.node.0,
                falls.claim.incarnation,
                falls.claim.number
            ),
            Notification::Stage(step) => write!(f, "{step}"),
            Notification::Waits(left) => write!(
                f,
                "what it granted before is lost: it votes for a key once it has caught up with its other copies, and for \
                 all in {:.1} s, when nothing from before can come again",
                left.as_secs_f64()
            ),
            Notification::NoRoom(node) => {
                write!(f, "no room for all that node {:x} holds, so no vote for a window", node.0)
            }
        }
    }
}

/// What a node has done, and how it stands.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicaMetrics {
    /// Runs that were let begin.
    pub granted: u64,
    /// Tries that were turned away.
    pub turned: u64,
    /// Tries that got what became of another node's run.
    pub became: u64,
    /// Tries that did not in their time.
    pub unknown: u64,
    /// Results that a majority held in time.
    pub held: u64,
    /// Results that none held in time.
    pub unheld: u64,
    /// Claims that this node has granted as a copy.
    pub votes: u64,
    /// Claims that it has turned down as a copy.
    pub votes_refused: u64,
    /// Records that it learnt.
    pub learnt: u64,
    /// Records that it gave.
    pub given: u64,
    /// Keys that ran twice.
    pub conflicts: u64,
    /// How often it stood still.
    pub slept: u64,
    /// Nodes that were sent away when they asked for a part of the table.
    pub sent_away: u64,
    /// How often what it kept was an old copy.
    pub outdated: u64,
}

/// Whether this node takes part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    Yes,
    /// Another process has taken over.
    Retired,
    /// Another process has its name.
    Superseded,
}

/// A node.
#[derive(Debug, Clone)]
pub struct ReplicaNode {
    me: NodeId,
    name: String,
    incarnation: u64,
    durable: bool,
    lists: ActiveConfigs,
    members: FailureDetector,
    copies: ReplicaTable,
    claims: ClaimCoordinator,
    catchup: StateTransfer,
    donor: Donor,
    marks: StalenessTracker,
    /// When this life began.
    born: Time,
    way: RecoveryStages,
    /// Whether something runs requests here, and on cores that are warm from when on.
    cores: Option<Option<Time>>,
    /// Where what it goes on from ends, if it kept anything of its last life.
    kept: Option<StatePosition>,
    part: Part,
    /// Operators were told how long it waits.
    told_wait: bool,
    level: bool,
    /// Whether it has ever been level in this life: before that nobody relies on this life's number.
    was_level: bool,
    beside: bool,
    last: Time,
    own: VecDeque<Message>,
    stored: u64,
    unstored: BTreeMap<u64, Vec<(LinkId, Message)>>,
    /// Nodes that go by a list which contradicts one that is about here.
    contradicts: BTreeSet<NodeId>,
    figures: ReplicaMetrics,
}

impl ReplicaNode {
    /// A node that begins now and goes by this list.
    pub fn new(settings: Settings, list: Arc<MembershipConfig>, now: Time) -> ReplicaNode {
        let Settings { name, incarnation, seed, bytes, bytes_per_s, probe, kept, durable } = settings;
        let me = NodeId::of(&name);
        let mut copies = ReplicaTable::new(me, incarnation, bytes, kept.is_some(), now);
        let until = kept.as_ref().map(|kept| kept.until);
        copies.restore(now, kept.map(|kept| kept.records).unwrap_or_default());
        let lists = ActiveConfigs::new(me, list);
        let mut members = FailureDetector::new(me, incarnation, seed, probe);
        members.are(&lists.everyone());
        let mut fleet = ReplicaNode {
            me,
            name,
            incarnation,
            durable,
            lists,
            members,
            copies,
            claims: ClaimCoordinator::new(me, incarnation),
            catchup: StateTransfer::new(bytes_per_s, seed ^ me.0, now),
            donor: Donor::new(bytes_per_s, now),
            marks: StalenessTracker::default(),
            born: now,
            way: RecoveryStages::new(now),
            cores: None,
            kept: until,
            part: Part::Yes,
            told_wait: false,
            level: false,
            was_level: false,
            beside: false,
            last: now,
            own: VecDeque::new(),
            stored: 0,
            unstored: BTreeMap::new(),
            contradicts: BTreeSet::new(),
            figures: ReplicaMetrics::default(),
        };
        fleet.catchup.begin(&fleet.others());
        fleet
    }

    fn others(&self) -> BTreeSet<NodeId> {
        self.lists.everyone().into_iter().filter(|node| *node != self.me).collect()
    }

    /// Who this node is, as it greets another.
    pub fn hello(&self, to: NodeId) -> Hello {
        let (lists, over) = (self.lists.signed(), self.lists.over());
        let (seconds, kept) = (self.mark().seconds, self.kept);
        Hello {
            name: self.name.clone(),
            to,
            incarnation: self.incarnation,
            lists,
            over,
            cut: false,
            seconds,
            kept,
        }
    }

    /// Where this node is in its lives; what it wrote down by now is to be kept with it.
    pub fn mark(&self) -> StatePosition {
        StatePosition {
            incarnation: self.incarnation,
            seconds: self.last.saturating_sub(self.born).as_secs(),
        }
    }

    /// This node.
    pub fn me(&self) -> NodeId {
        self.me
    }

    /// The lists that are about.
    pub fn lists(&self) -> &ActiveConfigs {
        &self.lists
    }

    /// The table of its copies.
    pub fn copies(&self) -> &ReplicaTable {
        &self.copies
    }

    /// Whether it makes and grants claims.
    pub fn is_level(&self) -> bool {
        self.level && self.part == Part::Yes
    }

    /// Whether its votes can be relied on for every key.
    pub fn is_sound(&self) -> bool {
        self.copies.is_whole()
    }

    /// Donors that it still has to hear to the end.
    pub fn behind(&self) -> usize {
        self.catchup.left()
    }

    /// How the others stand.
    pub fn counts(&self) -> Counts {
        self.members.counts()
    }

    /// What it has done.
    pub fn figures(&self) -> ReplicaMetrics {
        self.figures
    }

    /// Claims of its own that are not over.
    pub fn open(&self) -> usize {
        self.claims.count()
    }

    /// Takes in what happened.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let slept = now.saturating_sub(self.last);
        self.last = self.last.max(now);
        if slept > SLEPT {
            self.woke(slept, out);
        }
        if self.part == Part::Yes {
            // Of another process that has taken over, others are to hear no more than its folder says.
            self.members.lasts(self.mark().seconds);
        }
        self.take(now, event, out);
        while let Some(frame) = self.own.pop_front() {
            self.heard(now, OWN, self.me, self.incarnation, frame, out);
        }
    }

    fn take(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Want(wanted) => self.want(now, wanted, out),
            Event::Ended(token, fate) => {
                self.with_claims(out, |claims, does| claims.ended(now, token, fate, does))
            }
            Event::Release(token) => self.with_claims(out, |claims, does| claims.release(token, does)),
            Event::Heard { link, from, incarnation, frame } => {
                self.heard(now, link, from, incarnation, frame, out)
            }
            Event::Unreached(node) => {
                self.with_claims(out, |claims, does| claims.unreached(now, node, does));
                self.with_members(out, |members, says| members.unreached(node, says));
            }
            Event::Broken(node) => self.with_claims(out, |claims, does| claims.broken(now, node, does)),
            Event::Membership(list) => self.offered(now, list, out),
            Event::Stored(number, kept) => self.is_stored(number, kept, out),
            Event::Retire => {
                if self.part == Part::Yes {
                    self.part = Part::Retired;
                }
            }
            Event::Resume(incarnation) => self.resume(now, incarnation, out),
            Event::Beside(beside) => self.beside = beside,
            Event::Cores(warm_at) => self.cores = Some(warm_at),
            Event::Tick => self.tick(now, out),
        }
    }

    /// How long it takes at the most until its votes can be relied on for every key.
    pub fn waits(&self, now: Time) -> Duration {
        self.copies.waits(now, &self.lists).unwrap_or_default()
    }

    /// The stage of its way back.
    pub fn stage(&self) -> Stage {
        self.way.stage()
    }

    /// Goes on with its way back, or is sent back on it.
    fn goes(&mut self, now: Time, out: &mut Vec<Action>) {
        let heard = |node| self.members.standing(node) == Liveness::Alive;
        let seen = Conditions {
            runs: self.cores.is_some(),
            level: self.is_level(),
            caught_up: self.copies.is_whole() || !self.catchup.is_owed(heard),
            warm_at: self.cores.flatten(),
        };
        let before = self.way.allows();
        while let Some(step) = self.way.tick(now, seen) {
            out.push(Action::Notify(Notification::Stage(step)));
        }
        let allows = self.way.allows();
        if allows != before {
            self.donor.gives(now, allows.gives);
            out.push(Action::Allow(allows));
        }
    }

    /// Why this node neither makes nor grants claims, if it does not.
    fn aside(&self) -> Option<RejectReason> {
        match self.part {
            Part::Superseded => Some(RejectReason::Superseded),
            _ if self.lists.newest().place(self.me).is_none() => Some(RejectReason::Unlisted),
            _ if !self.level => Some(RejectReason::Unheard),
            _ => None,
        }
    }

    fn want(&mut self, now: Time, wanted: RunRequest, out: &mut Vec<Action>) {
        let too_long = wanted.until.saturating_sub(now) > self.lists.newest().window();
        if let Some(why) = self.aside().or(too_long.then_some(RejectReason::Late)) {
            self.figures.turned += 1;
            return out.push(Action::Tell(wanted.token, ClaimOutcome::Rejected(why)));
        }
        let mut does = Vec::new();
        self.claims.want(now, wanted, &self.lists, &mut does);
        self.carry_out(does, out);
    }

    fn with_claims(
        &mut self,
        out: &mut Vec<Action>,
        act: impl FnOnce(&mut ClaimCoordinator, &mut Vec<ClaimAction>),
    ) {
        let mut does = Vec::new();
        act(&mut self.claims, &mut does);
        self.carry_out(does, out);
    }

    fn carry_out(&mut self, does: Vec<ClaimAction>, out: &mut Vec<Action>) {
        for done in does {
            match done {
                ClaimAction::Send(node, frame) => self.send(node, frame, out),
                ClaimAction::Tell(token, said) => {
                    match &said {
                        ClaimOutcome::Granted => self.figures.granted += 1,
                        ClaimOutcome::Rejected(_) | ClaimOutcome::BodyMismatch => self.figures.turned += 1,
                        ClaimOutcome::RemoteOutcome(_) => self.figures.became += 1,
                        ClaimOutcome::Unknown => self.figures.unknown += 1,
                        ClaimOutcome::Replicated(true) => self.figures.held += 1,
                        ClaimOutcome::Replicated(false) => self.figures.unheld += 1,
                        ClaimOutcome::RunningElsewhere => {}
                    }
                    out.push(Action::Tell(token, said));
                }
            }
        }
    }

    fn with_members(
        &mut self,
        out: &mut Vec<Action>,
        act: impl FnOnce(&mut FailureDetector, &mut Vec<Outbound>),
    ) {
        let mut says = Vec::new();
        act(&mut self.members, &mut says);
        for say in says {
            match say {
                Outbound::To(node, frame) => self.send(node, frame, out),
                Outbound::On(link, frame) => out.push(Action::Answer(link, frame)),
            }
        }
    }

    fn send(&mut self, node: NodeId, frame: Message, out: &mut Vec<Action>) {
        if node == self.me {
            self.own.push_back(frame);
        } else {
            out.push(Action::Send(node, frame));
        }
    }

    fn answer(&mut self, link: LinkId, frame: Message, out: &mut Vec<Action>) {
        if link == OWN {
            self.own.push_back(frame);
        } else {
            out.push(Action::Answer(link, frame));
        }
    }

    fn heard(
        &mut self,
        now: Time,
        link: LinkId,
        from: NodeId,
        incarnation: u64,
        frame: Message,
        out: &mut Vec<Action>,
    ) {
        // A greeting tells of the life that its link goes by.
        let incarnation = if let Message::Hello(hello) = &frame { hello.incarnation } else { incarnation };
        if from != self.me {
            if let Message::Ping { seconds, .. } | Message::Ack { seconds, .. } = &frame {
                self.marks.heard(from, StatePosition { incarnation, seconds: *seconds });
            }
            self.copies.lives(from, incarnation);
            self.members.speaks(from, incarnation);
        }
        match frame {
            Message::Hello(hello) => self.greeted(now, link, from, hello, out),
            Message::Superseded { incarnation } => self.superseded(incarnation, out),
            Message::AskMembershipConfig { number } => {
                let known = self.lists.about().iter().find(|list| list.number() == number);
                if let Some(list) = known {
                    let plain = list.plain().clone();
                    self.answer(link, Message::MembershipConfig(plain), out);
                }
            }
            Message::MembershipConfig(plain) => {
                if let Some(list) =
                    MembershipConfig::new(plain).ok().filter(|_| !self.contradicts.contains(&from))
                {
                    let number = list.number();
                    if self.lists.learn(Arc::new(list)) {
                        out.push(Action::Notify(Notification::Learnt(number)));
                        self.relisted(now, out);
                    }
                }
            }
            Message::Ping { .. } | Message::Ack { .. } | Message::PingFor { .. } | Message::AckFor { .. } => {
                self.with_members(out, |members, says| members.told(now, link, from, frame, says));
                self.levels(out);
            }
            Message::Claim(asked) => {
                let aside = match self.part {
                    Part::Retired => Some(RejectReason::Superseded),
                    _ => self.aside(),
                };
                let aside = aside.or(self.contradicts.contains(&from).then_some(RejectReason::Contradicted));
                if let Some(why) = aside {
                    self.figures.votes_refused += 1;
                    return self.answer(link, Message::Unsure { claim: asked.claim, why }, out);
                }
                let outcome = self.copies.claim(now, link, &asked, &self.lists);
                let granted =
                    outcome.answers.iter().any(|(_, frame)| matches!(frame, Message::Granted { .. }));
                if matches!(
                    outcome.answers[..],
                    [(_, Message::Unsure { why: RejectReason::ActiveConfigs, .. })]
                ) {
                    let hello = Message::Hello(self.hello(from));
                    self.answer(link, hello, out);
                }
                let counted = if granted { &mut self.figures.votes } else { &mut self.figures.votes_refused };
                *counted += 1;
                self.outcome(now, outcome, out);
            }
            Message::Ask { claim, key } => {
                let outcome = self.copies.ask(now, link, claim, &key, &self.lists);
                self.outcome(now, outcome, out);
            }
            Message::Ended { key, keep_ms, end } => {
                let outcome = self.copies.ended(now, link, &key, keep_ms, end);
                self.outcome(now, outcome, out);
            }
            Message::Release { key, claim } => {
                let outcome = self.copies.release(now, &key, claim);
                self.outcome(now, outcome, out);
            }
            Message::What { key, claim, body } => {
                if let Some(frame) = self.claims.what(now, &key, claim, body, self.beside) {
                    self.send(from, frame, out);
                }
            }
            Message::Granted { .. }
            | Message::Blocked { .. }
            | Message::Unsure { .. }
            | Message::Free { .. }
            | Message::Kept { .. } => {
                self.with_claims(out, |claims, does| claims.answered(now, from, incarnation, frame, does));
            }
            Message::Pull { round, from: position } => {
                if let Some(away) = self.donor.asked(now, link, from, round, position) {
                    self.figures.sent_away += 1;
                    self.answer(link, Message::Away { round, after_ms: millis(away) }, out);
                }
                self.give(now, out);
            }
            Message::Page(page) => self.given(now, from, page, out),
            Message::Away { round, after_ms } => {
                self.catchup.sent_away(now, from, round, Duration::from_millis(after_ms));
                self.ask_donors(now, out);
            }
            Message::Outdated { known } => self.outdated(now, known, out),
        }
    }

    fn greeted(&mut self, now: Time, link: LinkId, from: NodeId, hello: Hello, out: &mut Vec<Action>) {
        let known = self.copies.incarnation_of(from);
        if hello.incarnation < known {
            self.answer(link, Message::Superseded { incarnation: known }, out);
        }
        self.marks.heard(from, StatePosition { incarnation: hello.incarnation, seconds: hello.seconds });
        if let Some(known) = hello.kept.and_then(|kept| self.marks.outdates(from, hello.incarnation, kept)) {
            self.answer(link, Message::Outdated { known }, out);
        }
        let contradicted =
            hello.lists.iter().find(|(number, digest)| self.lists.contradicted(*number, *digest));
        if let Some((number, _)) = contradicted {
            if self.contradicts.insert(from) {
                out.push(Action::Notify(Notification::Contradicts(from, *number)));
            }
            return;
        }
        self.contradicts.remove(&from);
        if hello.cut {
            // What it could not say is in its table.
            self.catchup.also(from);
        }
        if let Some((newest, _)) = hello.lists.last() {
            self.lists.heard(from, *newest);
        }
        if self.lists.are_over(hello.over) {
            out.push(Action::Notify(Notification::Over(hello.over)));
            self.relisted(now, out);
        }
        if hello.lists.len() > 1 && hello.lists.iter().any(|(number, _)| *number <= self.lists.over()) {
            // It goes by one that is over, and would turn down claims that don't.
            let hello = Message::Hello(self.hello(from));
            self.send(from, hello, out);
        }
        for (number, _) in hello.lists {
            if self.lists.lacks(number) {
                self.send(from, Message::AskMembershipConfig { number }, out);
            }
        }
        self.levels(out);
    }

    /// It takes part once it has heard a majority of its list's nodes, itself among them.
    fn levels(&mut self, out: &mut Vec<Action>) {
        if self.level {
            return;
        }
        let list = self.lists.newest();
        let heard = self.members.heard();
        let count = list.ids().iter().filter(|node| **node == self.me || heard.contains(node)).count();
        if count > list.ids().len() / 2 {
            self.level = true;
            self.was_level = true;
            out.push(Action::Notify(Notification::Level));
        }
    }

    fn superseded(&mut self, incarnation: u64, out: &mut Vec<Action>) {
        if incarnation <= self.incarnation || self.part != Part::Yes {
            return;
        }
        if self.was_level {
            self.part = Part::Superseded;
            out.push(Action::Notify(Notification::Superseded(incarnation)));
            return;
        }
        // The clock has gone back since the life before: nothing rests on this number yet.
        self.set_incarnation(incarnation + 1, out);
    }

    /// What it kept is an old copy: it knows nothing that can be relied on, and what it said in this life counts no more.
    fn outdated(&mut self, now: Time, known: StatePosition, out: &mut Vec<Action>) {
        let Some(kept) = self.kept.filter(|kept| kept.is_outdated_by(&known)) else { return };
        self.figures.outdated += 1;
        out.push(Action::Notify(Notification::Outdated(kept, known)));
        self.begin_anew(now, self.incarnation + 1, out);
    }

    /// It begins another life, without what it knew.
    fn begin_anew(&mut self, now: Time, incarnation: u64, out: &mut Vec<Action>) {
        (self.kept, self.told_wait) = (None, false);
        self.copies.begin_anew(incarnation, now);
        (self.level, self.was_level, self.born) = (false, false, now);
        self.members.woke();
        self.with_claims(out, |claims, does| claims.woke(does));
        self.set_incarnation(incarnation, out);
        self.catchup.begin(&self.others());
    }

    fn set_incarnation(&mut self, incarnation: u64, out: &mut Vec<Action>) {
        self.incarnation = incarnation;
        self.copies.set_incarnation(incarnation);
        self.claims.set_incarnation(incarnation);
        self.members.set_incarnation(incarnation);
        out.push(Action::Greet);
    }

    /// It is here again, and what others granted meanwhile it does not know.
    fn resume(&mut self, now: Time, incarnation: u64, out: &mut Vec<Action>) {
        if self.part != Part::Retired {
            return;
        }
        self.part = Part::Yes;
        self.begin_anew(now, incarnation.max(self.incarnation + 1), out);
    }

    fn woke(&mut self, slept: Duration, out: &mut Vec<Action>) {
        self.figures.slept += 1;
        self.level = false;
        self.members.woke();
        self.with_claims(out, |claims, does| claims.woke(does));
        // Its votes stand, but runs may have ended meanwhile that it has not heard of.
        self.catchup.begin(&self.others());
        out.push(Action::Notify(Notification::Slept(slept)));
    }

    fn offered(&mut self, now: Time, list: Arc<MembershipConfig>, out: &mut Vec<Action>) {
        let number = list.number();
        match self.lists.offer(list) {
            Offer::Taken => {
                out.push(Action::Notify(Notification::Took(number)));
                self.relisted(now, out);
            }
            Offer::Same => {}
            Offer::TurnedDown(reason) => out.push(Action::Notify(Notification::TurnedDown(reason))),
        }
    }

    /// The lists that are about have changed.
    fn relisted(&mut self, now: Time, out: &mut Vec<Action>) {
        let others = self.others();
        self.members.are(&self.lists.everyone());
        self.marks.keep(|node| others.contains(&node));
        self.catchup.keep(&others);
        for node in others {
            if !self.copies.sound_by(node) && self.catchup.lacks(node) {
                self.catchup.also(node);
            }
        }
        let mut does = Vec::new();
        self.claims.relist(now, &self.lists, &mut does);
        self.carry_out(does, out);
        out.push(Action::Greet);
    }

    fn outcome(&mut self, now: Time, outcome: Outcome, out: &mut Vec<Action>) {
        let Outcome { answers, questions, change, conflict } = outcome;
        self.conflict(conflict, out);
        for (node, frame) in questions {
            self.send(node, frame, out);
        }
        match change.filter(|_| self.durable) {
            Some(key) => {
                let number = self.store(&key, now, out);
                self.unstored.insert(number, answers);
            }
            None => answers.into_iter().for_each(|(link, frame)| self.answer(link, frame, out)),
        }
    }

    /// Has it written down what is known of a key, under the number that is returned.
    fn store(&mut self, key: &Key, now: Time, out: &mut Vec<Action>) -> u64 {
        self.stored += 1;
        out.push(Action::Store(self.stored, self.copies.change_of(key, now), self.copies.vote(key)));
        self.stored
    }

    fn conflict(
        &mut self,
        conflict: impl IntoIterator<Item = (CompletedRun, CompletedRun)>,
        out: &mut Vec<Action>,
    ) {
        for (stands, falls) in conflict {
            self.figures.conflicts += 1;
            out.push(Action::Notify(Notification::Conflict(stands, falls)));
        }
    }

    fn is_stored(&mut self, number: u64, kept: bool, out: &mut Vec<Action>) {
        for (link, frame) in self.unstored.remove(&number).unwrap_or_default() {
            let frame = match frame {
                Message::Granted { claim, .. } if !kept => {
                    Message::Unsure { claim, why: RejectReason::Unkept }
                }
                Message::Kept { claim, .. } => Message::Kept { claim, kept },
                frame => frame,
            };
            self.answer(link, frame, out);
        }
    }

    fn give(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some((link, node, round, from)) = self.donor.next(now) {
            let (page, looks) = self.copies.page(now, node, round, from.as_ref(), &self.lists);
            self.donor.gave(node, &page, looks);
            self.figures.given += page.records.len() as u64;
            self.answer(link, Message::Page(page), out);
        }
    }

    fn given(&mut self, now: Time, from: NodeId, page: Page, out: &mut Vec<Action>) {
        let Some((records, last)) = self.catchup.given(now, from, page) else { return };
        self.figures.learnt += records.len() as u64;
        let changed = records.iter().filter(|_| self.durable);
        let changed: Vec<Key> = changed.map(|record| record.key.clone()).collect();
        let (all, conflicts) = self.copies.learn(now, records);
        self.conflict(conflicts, out);
        for key in changed {
            self.store(&key, now, out);
        }
        if !all {
            out.push(Action::Notify(Notification::NoRoom(from)));
        } else if let Some(sound) = last {
            self.copies.caught_up(from, sound);
            if self.copies.has_caught_up(&self.lists) {
                self.is_sound_now(out);
            }
        }
        self.ask_donors(now, out);
    }

    fn is_sound_now(&self, out: &mut Vec<Action>) {
        out.push(Action::Notify(Notification::Complete(self.copies.size().0)));
    }

    fn ask_donors(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut asks = Vec::new();
        let (members, copies) = (&self.members, &self.copies);
        let heard = |node| (members.standing(node) == Liveness::Alive).then(|| copies.incarnation_of(node));
        self.catchup.tick(now, copies.is_whole(), heard, &mut asks);
        for (node, frame) in asks {
            self.send(node, frame, out);
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        if let Some(left) =
            self.copies.waits(now, &self.lists).filter(|_| !std::mem::replace(&mut self.told_wait, true))
        {
            out.push(Action::Notify(Notification::Waits(left)));
        }
        if self.copies.tick(now, &self.lists) {
            self.is_sound_now(out);
        }
        if let Some(over) = self.lists.tick(now) {
            out.push(Action::Notify(Notification::Over(over)));
            self.relisted(now, out);
        }
        let level = self.level;
        self.with_members(out, |members, says| members.tick(now, level, says));
        let mut does = Vec::new();
        self.claims.tick(now, |node| self.members.standing(node) != Liveness::Alive, &mut does);
        self.carry_out(does, out);
        if self.level {
            self.ask_donors(now, out);
        }
        self.give(now, out);
        self.levels(out);
        self.goes(now, out);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::membership_config::tests::{at, id, list, plain};
    use bytes::Bytes;

    fn settings(n: usize, incarnation: u64, kept: bool) -> Settings {
        Settings {
            name: format!("n{n}"),
            incarnation,
            seed: 1,
            bytes: 64 << 20,
            bytes_per_s: 16 << 20,
            probe: Duration::from_millis(500),
            kept: kept.then(|| RestoredState {
                records: Vec::new(),
                until: StatePosition { incarnation: incarnation - 1, seconds: 0 },
            }),
            durable: false,
        }
    }

    /// Nodes with links that lose nothing, in one life each.
    struct Place {
        nodes: BTreeMap<NodeId, ReplicaNode>,
        now: Time,
        told: Vec<(NodeId, AttemptId, ClaimOutcome)>,
        notes: Vec<(NodeId, Notification)>,
        down: BTreeSet<NodeId>,
    }

    impl Place {
        fn new(count: usize, kept: bool) -> Place {
            let nodes: Vec<usize> = (1..=count).collect();
            let list = Arc::new(list(1, &nodes, 1));
            let fleets =
                nodes.iter().map(|n| (id(*n), ReplicaNode::new(settings(*n, 1, kept), list.clone(), at(0))));
            let mut place = Place {
                nodes: fleets.collect(),
                now: at(0),
                told: vec![],
                notes: vec![],
                down: BTreeSet::new(),
            };
            place.wait(200);
            place
        }

        fn event(&mut self, node: NodeId, event: Event) {
            let mut events = VecDeque::from([(node, event)]);
            while let Some((node, event)) = events.pop_front() {
                if self.down.contains(&node) {
                    continue;
                }
                let mut out = Vec::new();
                let Some(fleet) = self.nodes.get_mut(&node) else { continue };
                fleet.handle(self.now, event, &mut out);
                let incarnation = fleet.incarnation;
                for action in out {
                    match action {
                        Action::Send(to, _) if self.down.contains(&to) => {
                            events.push_back((node, Event::Unreached(to)));
                        }
                        Action::Send(to, frame) => {
                            events.push_back((
                                to,
                                Event::Heard { link: node.0, from: node, incarnation, frame },
                            ));
                        }
                        Action::Answer(link, frame) => {
                            let to = NodeId(link);
                            events.push_back((
                                to,
                                Event::Heard { link: node.0, from: node, incarnation, frame },
                            ));
                        }
                        Action::Tell(token, said) => self.told.push((node, token, said)),
                        Action::Notify(note) => self.notes.push((node, note)),
                        Action::Greet => {
                            let hello = self.nodes[&node].hello(node);
                            let others: Vec<NodeId> =
                                self.nodes.keys().copied().filter(|n| *n != node).collect();
                            for to in others {
                                let frame = Message::Hello(hello.clone());
                                events.push_back((
                                    to,
                                    Event::Heard { link: node.0, from: node, incarnation, frame },
                                ));
                            }
                        }
                        Action::Store(number, ..) => events.push_back((node, Event::Stored(number, true))),
                        Action::Allow(_) => {}
                    }
                }
            }
        }

        fn wait(&mut self, millis: u64) {
            for _ in 0..millis / 50 {
                self.now += TICK;
                let nodes: Vec<NodeId> = self.nodes.keys().copied().collect();
                for node in nodes {
                    self.event(node, Event::Tick);
                }
            }
        }

        fn want(&mut self, n: usize, token: u64, key: &'static str) {
            let wanted = RunRequest {
                token: AttemptId(token),
                key: Key::from_static(key.as_bytes()),
                body: 1,
                until: self.now + at(9_000),
                received_at: (self.now, token),
                deadline: self.now + at(2_000),
            };
            self.event(id(n), Event::Want(wanted));
        }

        fn told(&mut self) -> Vec<(u64, ClaimOutcome)> {
            self.told.drain(..).map(|(_, token, said)| (token.0, said)).collect()
        }
    }

    fn done(result: &'static str) -> RunResult {
        RunResult::Succeeded(Bytes::from(result))
    }

    #[test]
    fn a_booking_runs_at_one_node_and_its_repeats_elsewhere_get_what_became_of_it() {
        let mut place = Place::new(5, true);
        place.want(1, 1, "k");
        place.want(2, 2, "k");
        assert_eq!(place.told(), [(1, ClaimOutcome::Granted), (2, ClaimOutcome::RunningElsewhere)]);
        place.event(id(1), Event::Ended(AttemptId(1), done("job")));
        let mut told = place.told();
        told.sort_by_key(|(token, _)| *token);
        assert_eq!(
            told,
            [(1, ClaimOutcome::Replicated(true)), (2, ClaimOutcome::RemoteOutcome(done("job")))]
        );
        place.want(3, 3, "k");
        assert_eq!(place.told(), [(3, ClaimOutcome::RemoteOutcome(done("job")))]);
        assert_eq!(place.nodes[&id(1)].open(), 0, "every copy has it");
    }

    #[test]
    fn nothing_runs_before_a_majority_is_heard_or_while_no_copy_can_say() {
        let mut place = Place::new(3, false);
        place.want(1, 1, "k");
        assert_eq!(place.told(), [(1, ClaimOutcome::Rejected(RejectReason::Returning))]);
        place.wait(18_000);
        place.want(1, 2, "k");
        assert_eq!(place.told(), [(2, ClaimOutcome::Granted)]);
        place.down.extend([id(2), id(3)]);
        place.want(1, 3, "l");
        assert_eq!(place.told(), [(3, ClaimOutcome::Rejected(RejectReason::Unreached))]);
    }

    #[test]
    fn one_that_comes_back_without_its_state_catches_up_and_votes_again() {
        let mut place = Place::new(3, true);
        place.want(1, 1, "k");
        place.event(id(1), Event::Ended(AttemptId(1), done("job")));
        let list = place.nodes[&id(2)].lists().newest().clone();
        let fresh = ReplicaNode::new(settings(2, 2, false), list, place.now);
        place.nodes.insert(id(2), fresh);
        place.notes.clear();
        place.wait(300);
        assert!(place.notes.contains(&(id(2), Notification::Complete(1))), "{:?}", place.notes);
        place.told.clear();
        place.down.insert(id(3));
        place.want(2, 2, "k");
        assert_eq!(place.told(), [(2, ClaimOutcome::RemoteOutcome(done("job")))]);
        place.want(2, 3, "l");
        assert_eq!(place.told(), [(3, ClaimOutcome::Granted)], "with the first and itself");
    }

    /// The second node starts again with what it kept until then, at which nothing had run.
    fn put_back(place: &mut Place, until: StatePosition) {
        let list = place.nodes[&id(1)].lists().newest().clone();
        let kept = Some(RestoredState { records: Vec::new(), until });
        let fresh =
            ReplicaNode::new(Settings { kept, ..settings(2, until.incarnation + 1, false) }, list, place.now);
        let hello = Message::Hello(fresh.hello(id(1)));
        place.nodes.insert(id(2), fresh);
        place.notes.clear();
        for other in [1, 3] {
            let event = Event::Heard {
                link: id(2).0,
                from: id(2),
                incarnation: until.incarnation + 1,
                frame: hello.clone(),
            };
            place.event(id(other), event);
        }
        place.wait(300);
    }

    #[test]
    fn an_old_copy_of_what_it_kept_is_noticed_and_counts_as_lost() {
        let mut place = Place::new(3, true);
        place.wait(5_000);
        place.want(1, 1, "k");
        place.event(id(1), Event::Ended(AttemptId(1), done("job")));
        place.wait(5_000);
        put_back(&mut place, StatePosition { incarnation: 1, seconds: 4 });
        let noticed = |note: &(NodeId, Notification)| matches!(note, (_, Notification::Outdated(kept, known)) if kept.seconds == 4 && known.seconds >= 9);
        assert!(place.notes.iter().any(noticed), "{:?}", place.notes);
        assert!(
            place.notes.contains(&(id(2), Notification::Complete(1))),
            "it catches up: {:?}",
            place.notes
        );
        place.told.clear();
        place.down.insert(id(3));
        place.want(2, 2, "k");
        assert_eq!(place.told(), [(2, ClaimOutcome::RemoteOutcome(done("job")))]);
    }

    #[test]
    fn what_was_kept_to_the_end_is_relied_on_at_once() {
        let mut place = Place::new(3, true);
        place.wait(5_000);
        put_back(&mut place, StatePosition { incarnation: 1, seconds: 4 });
        assert!(place.nodes[&id(2)].is_sound() && place.nodes[&id(2)].figures().outdated == 0);
    }

    #[test]
    fn nodes_that_all_lost_their_state_do_not_vouch_for_each_other() {
        let mut place = Place::new(3, true);
        place.want(1, 1, "k");
        place.event(id(1), Event::Ended(AttemptId(1), done("job")));
        for n in 1..=3 {
            let list = place.nodes[&id(n)].lists().newest().clone();
            place.nodes.insert(id(n), ReplicaNode::new(settings(n, 2, false), list, place.now));
        }
        place.wait(5_000);
        place.told.clear();
        assert!(place.nodes.values().all(|node| node.is_level() && !node.is_sound() && node.behind() == 0));
        place.want(2, 2, "k");
        assert_eq!(place.told(), [(2, ClaimOutcome::Rejected(RejectReason::Returning))]);
        place.wait(10_000);
        let list = place.nodes[&id(1)].lists().newest().clone();
        place.nodes.insert(id(1), ReplicaNode::new(settings(1, 3, false), list, place.now));
        place.wait(3_500);
        place.want(2, 3, "k");
        assert_eq!(place.told(), [(3, ClaimOutcome::Granted)], "its window is over");
        place.wait(2_500);
        assert!(
            place.nodes[&id(1)].is_sound(),
            "one that came later waits no longer than those that vouch for it"
        );
    }

    #[test]
    fn what_was_lost_with_a_link_is_learnt_from_the_table() {
        let mut place = Place::new(3, true);
        place.want(1, 1, "k");
        place.event(id(1), Event::Ended(AttemptId(1), done("job")));
        let list = place.nodes[&id(2)].lists().newest().clone();
        place.nodes.insert(id(2), ReplicaNode::new(settings(2, 2, true), list, place.now));
        place.wait(500);
        let before = place.nodes[&id(2)].figures().learnt;
        let hello = Hello { cut: true, ..place.nodes[&id(1)].hello(id(2)) };
        let frame = Message::Hello(hello);
        place.event(id(2), Event::Heard { link: id(1).0, from: id(1), incarnation: 1, frame });
        place.wait(100);
        assert_eq!(place.nodes[&id(2)].figures().learnt, before + 1);
    }

    #[test]
    fn one_that_slept_goes_by_nothing_until_it_has_heard_a_majority() {
        let mut place = Place::new(3, true);
        let sleeper = id(1);
        place.now += at(5_000);
        place.down.extend([id(2), id(3)]);
        place.event(sleeper, Event::Tick);
        assert!(matches!(place.notes.last(), Some((_, Notification::Slept(_)))));
        place.want(1, 1, "k");
        assert_eq!(place.told(), [(1, ClaimOutcome::Rejected(RejectReason::Unheard))]);
        place.down.clear();
        place.wait(1_000);
        place.want(1, 2, "k");
        assert_eq!(place.told(), [(2, ClaimOutcome::Granted)]);
    }

    #[test]
    fn a_second_process_with_the_name_shuts_the_first_one_out() {
        let mut place = Place::new(3, true);
        let from = |incarnation| {
            let name = "n1".into();
            let (lists, seconds, kept) = (vec![], 0, None);
            Message::Hello(Hello { name, to: id(2), incarnation, lists, over: 0, cut: false, seconds, kept })
        };
        place.event(id(2), Event::Heard { link: 99, from: id(1), incarnation: 2, frame: from(2) });
        place.event(id(2), Event::Heard { link: id(1).0, from: id(1), incarnation: 1, frame: from(1) });
        assert!(place.notes.contains(&(id(1), Notification::Superseded(2))));
        place.want(1, 1, "k");
        assert_eq!(place.told(), [(1, ClaimOutcome::Rejected(RejectReason::Superseded))]);
    }

    #[test]
    fn a_clock_that_went_back_makes_no_life_before_the_last() {
        let mut place = Place::new(3, true);
        let list = place.nodes[&id(1)].lists().newest().clone();
        place.nodes.insert(id(1), ReplicaNode::new(settings(1, 0, false), list, place.now));
        let hello = Message::Hello(place.nodes[&id(1)].hello(id(2)));
        place.event(id(2), Event::Heard { link: id(1).0, from: id(1), incarnation: 0, frame: hello });
        assert_eq!(place.nodes[&id(1)].incarnation, 2);
    }

    #[test]
    fn a_list_spreads_by_number_and_claims_need_both_until_the_old_one_is_over() {
        let mut place = Place::new(4, true);
        let next = Arc::new(list(2, &[1, 2, 3, 4, 5], 1));
        place.nodes.insert(id(5), ReplicaNode::new(settings(5, 1, true), next.clone(), place.now));
        place.event(id(1), Event::Membership(next.clone()));
        assert!(
            place.nodes.values().all(|node| node.lists().numbers() == [1, 2]),
            "they ask for what they lack"
        );
        place.wait(100);
        place.want(5, 1, "k");
        assert_eq!(place.told(), [(1, ClaimOutcome::Granted)]);
        place.wait(20_000);
        assert!(place.nodes.values().all(|node| node.lists().numbers() == [2]));
        place.event(id(1), Event::Membership(Arc::new(list(1, &[1, 2, 3, 4], 1))));
        assert!(matches!(place.notes.last(), Some((_, Notification::TurnedDown(_)))));
    }

    #[test]
    fn one_with_another_list_of_the_same_number_is_not_heard() {
        let mut place = Place::new(3, true);
        let mut other = plain(1, &[1, 2, 3], 1);
        other.members[0].zone = "elsewhere".into();
        let other = Arc::new(MembershipConfig::new(other).unwrap());
        place.nodes.insert(id(3), ReplicaNode::new(settings(3, 2, true), other, place.now));
        let hello = Message::Hello(place.nodes[&id(3)].hello(id(1)));
        for node in [1, 2] {
            let frame = hello.clone();
            place.event(id(node), Event::Heard { link: id(3).0, from: id(3), incarnation: 2, frame });
        }
        place.wait(1_000);
        place.want(3, 1, "k");
        assert_eq!(place.told(), [(1, ClaimOutcome::Rejected(RejectReason::Contradicted))]);
        place.want(1, 2, "k");
        assert_eq!(place.told(), [(2, ClaimOutcome::Granted)]);
    }

    #[test]
    fn what_is_not_written_down_is_not_granted() {
        let mut place = Place::new(3, true);
        for n in [2, 3] {
            let list = place.nodes[&id(n)].lists().newest().clone();
            let durable = Settings { durable: true, ..settings(n, 2, true) };
            place.nodes.insert(id(n), ReplicaNode::new(durable, list, place.now));
        }
        place.wait(200);
        let mut out = Vec::new();
        let asked = crate::message::ClaimRequest {
            claim: ClaimId { node: id(1), incarnation: 1, number: 1 },
            key: "k".into(),
            body: 1,
            keep_ms: 9_000,
            lists: vec![1],
        };
        let now = place.now;
        let node = place.nodes.get_mut(&id(2)).unwrap();
        let event = Event::Heard { link: 5, from: id(1), incarnation: 1, frame: Message::Claim(asked) };
        node.handle(now, event, &mut out);
        let number = match &out[..] {
            [Action::Store(number, change, vote)] => {
                assert!(change.now.is_some() && vote.is_some());
                *number
            }
            other => panic!("{other:?}"),
        };
        out.clear();
        node.handle(now, Event::Stored(number, false), &mut out);
        assert!(
            matches!(&out[..], [Action::Answer(5, Message::Unsure { why: RejectReason::Unkept, .. })]),
            "{out:?}"
        );
    }

    #[test]
    fn while_another_process_takes_over_it_grants_nothing_and_ends_what_it_began() {
        let mut place = Place::new(3, true);
        place.want(1, 1, "k");
        assert_eq!(place.told(), [(1, ClaimOutcome::Granted)]);
        place.event(id(1), Event::Retire);
        place.event(id(1), Event::Ended(AttemptId(1), done("job")));
        assert_eq!(place.told(), [(1, ClaimOutcome::Replicated(true))]);
        place.down.insert(id(3));
        place.want(2, 2, "l");
        assert_eq!(place.told(), [(2, ClaimOutcome::Rejected(RejectReason::Superseded))]);
        place.down.clear();
        place.event(id(1), Event::Resume(5));
        place.wait(1_000);
        place.down.insert(id(3));
        place.want(2, 3, "m");
        assert_eq!(place.told(), [(3, ClaimOutcome::Granted)], "it has caught up in a new life");
    }
}
