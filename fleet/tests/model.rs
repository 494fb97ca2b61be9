//! Every state that two tries of one key at two nodes can lead to, up to a depth: three copies, messages that are lost,
//! doubled and overtaken, one restart without state, one change of the list. The decisions are the real ones; for each
//! promise there is a mutant, which leaves its rule out, that must be found.
//!
//! A message that was sent may be delivered at any time and any number of times, or never: that is loss, doubling and
//! reordering at once. Time stands still, so no window ends. `OAKWIND_MODEL_DEPTH` sets another depth.

mod lists;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use oakwind_fleet::active_configs::ActiveConfigs;
use oakwind_fleet::claim_coordinator::{AttemptId, ClaimAction, ClaimCoordinator, ClaimOutcome, RunRequest};
use oakwind_fleet::key_state::{Key, RunResult};
use oakwind_fleet::membership_config::{MembershipConfig, NodeId};
use oakwind_fleet::message::{Completeness, Message};
use oakwind_fleet::replica_table::{Outcome, ReplicaTable};
use oakwind_fleet::Time;
use stateright::{Checker, Model, Property};

const KEY: Key = Key::from_static(b"k");
/// The tries are at the first two nodes; the last one is on the second list alone.
const NODES: usize = 4;
const TRIES: usize = 2;

/// A rule that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    /// One grant is enough.
    OneGrant,
    /// A copy that lost its state votes at once.
    VotesWithoutState,
    /// It votes once it has caught up with one other copy.
    CatchesUpWithOne,
    /// Grants of a copy's earlier life count.
    OldLivesCount,
    /// While two lists are about, the newest alone counts.
    NewestListAlone,
    /// A copy grants a key to whoever comes last.
    VotesChange,
    /// Who can't say has granted.
    UnknownIsGranted,
    /// 'Served' leaves when one copy holds the result.
    OneHolds,
    /// A run whose time is up is given up as if it had not begun.
    GivesUpWhatRuns,
    /// A peer is waited for past the due time.
    WaitsOn,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Node(usize);

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Envelope {
    from: Node,
    incarnation: u64,
    to: Node,
    frame: Message,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Try {
    Before,
    Asks,
    Runs,
    /// Its run has ended and the copies are told.
    Tells,
    Served,
    Failed,
    Refused,
    Became(bool),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    copies: Vec<ReplicaTable>,
    lists: Vec<ActiveConfigs>,
    lives: Vec<u64>,
    claims: Vec<ClaimCoordinator>,
    net: BTreeSet<Envelope>,
    tries: Vec<Try>,
    /// Runs that have begun, by try.
    runs: Vec<u32>,
    overdue: Vec<bool>,
    /// Nodes whose process of the beginning is gone.
    restarted: Vec<bool>,
    restarts: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Act {
    Begin(usize),
    Deliver(Box<Envelope>),
    CompletedRun(usize),
    TimeUp(usize),
    Restart(Node),
    Pull(Node, Node),
    Take(Node),
}

/// A step of the way to where the looking begins.
#[derive(Debug, Clone, Copy)]
enum Transition {
    ClaimAction(fn() -> Act),
    /// The claim of a try reaches a copy.
    Claim(usize, usize),
    /// The grant of a copy reaches the try's node.
    Grant(usize, usize),
    /// What a copy knows is asked for and given: who asks, and whom.
    Caught(usize, usize),
}

struct System {
    mutant: Option<Mutant>,
    /// The way to where the looking begins.
    way: &'static [Transition],
    /// Whether a restart, and a change of the list, may come.
    restart: bool,
    change: bool,
}

fn id(node: Node) -> NodeId {
    NodeId::of(&lists::name(node.0))
}

fn list(number: u64, nodes: &[usize]) -> Arc<MembershipConfig> {
    lists::list(number, nodes, 1, Duration::from_secs(10))
}

const NOW: Time = Duration::from_secs(100);
const DUE: Time = Duration::from_secs(102);

impl System {
    fn node(&self, of: NodeId) -> Node {
        (0..NODES).map(Node).find(|node| id(*node) == of).unwrap()
    }

    fn carry_out(&self, state: &mut State, node: Node, does: Vec<ClaimAction>) {
        for done in does {
            match done {
                ClaimAction::Send(to, frame) => {
                    let (incarnation, to) = (state.lives[node.0], self.node(to));
                    state.net.insert(Envelope { from: node, incarnation, to, frame });
                }
                ClaimAction::Tell(AttemptId(n), said) => self.told(state, n as usize, said),
            }
        }
    }

    fn told(&self, state: &mut State, n: usize, said: ClaimOutcome) {
        let taken = &mut state.tries[n];
        match (said, *taken) {
            (ClaimOutcome::Granted, Try::Asks) => {
                *taken = Try::Runs;
                state.runs[n] += 1;
            }
            (ClaimOutcome::Rejected(_), Try::Asks) => *taken = Try::Refused,
            (ClaimOutcome::RemoteOutcome(fate), Try::Asks) => *taken = Try::Became(fate != RunResult::Failed),
            (ClaimOutcome::Unknown | ClaimOutcome::BodyMismatch, Try::Asks) => *taken = Try::Failed,
            (ClaimOutcome::Replicated(true), Try::Tells) => *taken = Try::Served,
            (ClaimOutcome::Replicated(false), Try::Tells) => *taken = Try::Failed,
            _ => {}
        }
    }

    fn outcome(&self, state: &mut State, node: Node, outcome: Outcome) {
        let incarnation = state.lives[node.0];
        for (link, frame) in outcome.answers {
            state.net.insert(Envelope { from: node, incarnation, to: Node(link as usize - 1), frame });
        }
        for (to, frame) in outcome.questions {
            let to = self.node(to);
            state.net.insert(Envelope { from: node, incarnation, to, frame });
        }
    }

    /// Goes one step of the way.
    fn step(&self, state: &State, step: Transition) -> State {
        let next = |state: &State, act| self.next_state(state, act).expect("a step that leads somewhere");
        let sent = |state: &State, from: usize, to: usize, fits: fn(&Message) -> bool| {
            let message = state.net.iter().find(|m| m.from.0 == from && m.to.0 == to && fits(&m.frame));
            Act::Deliver(Box::new(message.expect("a message that was sent").clone()))
        };
        match step {
            Transition::ClaimAction(act) => next(state, act()),
            Transition::Claim(from, to) => {
                next(state, sent(state, from, to, |frame| matches!(frame, Message::Claim(_))))
            }
            Transition::Grant(from, to) => {
                next(state, sent(state, from, to, |frame| matches!(frame, Message::Granted { .. })))
            }
            Transition::Caught(who, donor) => {
                let asked = next(state, Act::Pull(Node(who), Node(donor)));
                let given = sent(&asked, who, donor, |frame| matches!(frame, Message::Pull { .. }));
                let given = next(&asked, given);
                let page = sent(&given, donor, who, |frame| matches!(frame, Message::Page(_)));
                next(&given, page)
            }
        }
    }

    fn deliver(&self, state: &mut State, message: Envelope) {
        let Envelope { from, incarnation, to, frame } = message;
        let n = to.0;
        // A link is greeted with the life of who speaks.
        if from != to {
            state.copies[n].lives(id(from), incarnation);
        }
        let link = from.0 as u64 + 1;
        let mut does = Vec::new();
        match frame {
            Message::Claim(asked) => {
                if self.mutant == Some(Mutant::VotesChange) {
                    if let Some(vote) = state.copies[n].vote(&KEY) {
                        state.copies[n].release(NOW, &KEY, vote);
                    }
                }
                let lists = match self.mutant {
                    Some(Mutant::NewestListAlone) => {
                        let newest =
                            if asked.lists.contains(&2) { list(2, &[0, 1, 3]) } else { list(1, &[0, 1, 2]) };
                        ActiveConfigs::new(id(to), newest)
                    }
                    _ => state.lists[n].clone(),
                };
                let outcome = state.copies[n].claim(NOW, link, &asked, &lists);
                self.outcome(state, to, outcome);
            }
            Message::Ask { claim, key } => {
                let lists = state.lists[n].clone();
                let outcome = state.copies[n].ask(NOW, link, claim, &key, &lists);
                self.outcome(state, to, outcome);
            }
            Message::Ended { key, keep_ms, end } => {
                let outcome = state.copies[n].ended(NOW, link, &key, keep_ms, end);
                self.outcome(state, to, outcome);
            }
            Message::Release { key, claim } => {
                let outcome = state.copies[n].release(NOW, &key, claim);
                self.outcome(state, to, outcome);
            }
            Message::What { key, claim, body } if n < TRIES => {
                if let Some(frame) = state.claims[n].what(NOW, &key, claim, body, false) {
                    let incarnation = state.lives[n];
                    state.net.insert(Envelope { from: to, incarnation, to: from, frame });
                }
            }
            Message::Pull { round, from: position } => {
                let (page, _) =
                    state.copies[n].page(NOW, id(from), round, position.as_ref(), &state.lists[n]);
                let (incarnation, frame) = (state.lives[n], Message::Page(page));
                state.net.insert(Envelope { from: to, incarnation, to: from, frame });
            }
            // The round is the life that asked: a page for an earlier one means nothing.
            Message::Page(page) if u64::from(page.round) == state.lives[n] => {
                state.copies[n].learn(NOW, page.records);
                state.copies[n].caught_up(id(from), page.sound);
                if self.mutant == Some(Mutant::CatchesUpWithOne) {
                    (0..NODES)
                        .for_each(|other| state.copies[n].caught_up(id(Node(other)), Completeness::Complete));
                }
            }
            answer if n < TRIES && answer.answers() => {
                let answer = match (self.mutant, answer) {
                    (Some(Mutant::UnknownIsGranted), Message::Unsure { claim, .. }) => {
                        Message::Granted { claim, lives: vec![] }
                    }
                    (Some(Mutant::OldLivesCount), Message::Granted { claim, .. }) => {
                        Message::Granted { claim, lives: vec![] }
                    }
                    (_, answer) => answer,
                };
                let incarnation = if self.mutant == Some(Mutant::OldLivesCount) { 1 } else { incarnation };
                let enough = matches!(
                    (self.mutant, &answer),
                    (Some(Mutant::OneGrant), Message::Granted { .. })
                        | (Some(Mutant::OneHolds), Message::Kept { .. })
                );
                let all: Vec<Node> = if enough { (0..NODES).map(Node).collect() } else { vec![from] };
                for from in all {
                    state.claims[n].answered(NOW, id(from), incarnation, answer.clone(), &mut does);
                }
                self.carry_out(state, to, does);
            }
            _ => {}
        }
    }
}

impl Model for System {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        let nodes = || (0..NODES).map(Node);
        let one = list(1, &[0, 1, 2]);
        let mut lists: Vec<ActiveConfigs> =
            nodes().map(|node| ActiveConfigs::new(id(node), one.clone())).collect();
        // The new node has heard a majority, and so knows of both.
        lists[3].offer(list(2, &[0, 1, 3]));
        // It can't know that it has never voted.
        let copies = nodes().map(|node| ReplicaTable::new(id(node), 1, 1 << 20, node.0 != 3, Time::ZERO));
        let first = State {
            copies: copies.collect(),
            lists,
            lives: vec![1; NODES],
            claims: (0..TRIES).map(|n| ClaimCoordinator::new(id(Node(n)), 1)).collect(),
            net: BTreeSet::new(),
            tries: vec![Try::Before; TRIES],
            runs: vec![0; TRIES],
            overdue: vec![false; TRIES],
            restarted: vec![false; NODES],
            restarts: 0,
        };
        vec![self.way.iter().fold(first, |state, step| self.step(&state, *step))]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Act>) {
        for (n, taken) in state.tries.iter().enumerate() {
            match taken {
                Try::Before => actions.push(Act::Begin(n)),
                Try::Runs if !state.restarted[n] => actions.push(Act::CompletedRun(n)),
                _ => {}
            }
            let open = matches!(taken, Try::Asks | Try::Tells | Try::Runs);
            if open && !state.overdue[n] && !state.restarted[n] {
                actions.push(Act::TimeUp(n));
            }
        }
        if self.restart && state.restarts == 0 {
            actions.extend((0..3).map(|n| Act::Restart(Node(n))));
        }
        for n in (0..NODES).filter(|n| state.lives[*n] > 1 || (*n == 3 && self.change)) {
            let others = (0..NODES).filter(|other| *other != n && (*other != 3 || self.change));
            actions.extend(others.map(|other| Act::Pull(Node(n), Node(other))));
        }
        if self.change {
            let old = (0..3).filter(|n| state.lists[*n].numbers() == [1]);
            actions.extend(old.map(|n| Act::Take(Node(n))));
        }
        actions.extend(state.net.iter().cloned().map(|message| Act::Deliver(Box::new(message))));
    }

    fn next_state(&self, last: &State, action: Act) -> Option<State> {
        let mut state = last.clone();
        let mut does = Vec::new();
        match action {
            Act::Begin(n) => {
                state.tries[n] = Try::Asks;
                let wanted = RunRequest {
                    token: AttemptId(n as u64),
                    key: KEY,
                    body: 1,
                    until: DUE,
                    received_at: (NOW, n as u64),
                    deadline: DUE,
                };
                state.claims[n].want(NOW, wanted, &state.lists[n], &mut does);
                self.carry_out(&mut state, Node(n), does);
            }
            Act::Deliver(message) => self.deliver(&mut state, *message),
            Act::CompletedRun(n) => {
                // One whose time is up has had its answer.
                state.tries[n] = if state.overdue[n] { Try::Failed } else { Try::Tells };
                let fate = RunResult::Succeeded(Key::from_static(b"job"));
                state.claims[n].ended(NOW, AttemptId(n as u64), fate, &mut does);
                self.carry_out(&mut state, Node(n), does);
            }
            Act::TimeUp(n) => {
                state.overdue[n] = true;
                if self.mutant == Some(Mutant::GivesUpWhatRuns) && state.tries[n] == Try::Runs {
                    state.claims[n].release(AttemptId(n as u64), &mut does);
                    state.tries[n] = Try::Failed;
                } else if self.mutant != Some(Mutant::WaitsOn) {
                    state.claims[n].tick(DUE, |_| false, &mut does);
                }
                self.carry_out(&mut state, Node(n), does);
            }
            Act::Restart(node) => {
                let n = node.0;
                state.restarts += 1;
                state.lives[n] += 1;
                state.restarted[n] = true;
                let kept = self.mutant == Some(Mutant::VotesWithoutState);
                state.copies[n] = ReplicaTable::new(id(node), state.lives[n], 1 << 20, kept, NOW);
                if n < TRIES {
                    // Nobody is left to answer.
                    state.claims[n] = ClaimCoordinator::new(id(node), state.lives[n]);
                    if state.tries[n] != Try::Before {
                        state.tries[n] = Try::Failed;
                    }
                }
            }
            Act::Pull(node, donor) => {
                let incarnation = state.lives[node.0];
                let frame = Message::Pull { round: incarnation as u32, from: None };
                state.net.insert(Envelope { from: node, incarnation, to: donor, frame });
            }
            Act::Take(node) => {
                let n = node.0;
                state.lists[n].offer(list(2, &[0, 1, 3]));
                if self.mutant == Some(Mutant::NewestListAlone) {
                    state.lists[n] = ActiveConfigs::new(id(node), list(2, &[0, 1, 3]));
                }
                if n < TRIES {
                    state.claims[n].relist(NOW, &state.lists[n], &mut does);
                    self.carry_out(&mut state, node, does);
                }
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("a key runs once", |_, state| state.runs.iter().sum::<u32>() <= 1),
            Property::<Self>::always("what is refused never ran", |_, state| {
                state.tries.iter().zip(&state.runs).all(|(taken, runs)| *taken != Try::Refused || *runs == 0)
            }),
            Property::<Self>::always("a majority holds what is served", |_, state| {
                let holds =
                    |copies: &&ReplicaTable| copies.known(&KEY).is_some_and(|known| known.ended.is_some());
                let held = state.copies.iter().filter(holds).count();
                !state.tries.contains(&Try::Served) || held + state.restarts as usize >= 2
            }),
            Property::<Self>::always("nothing is waited for past its time", |_, state| {
                let waits = |taken: &Try| matches!(taken, Try::Asks | Try::Tells);
                !state.tries.iter().zip(&state.overdue).any(|(taken, over)| *over && waits(taken))
            }),
            Property::<Self>::always("a result that a repeat gets was made by a run", |_, state| {
                !state.tries.contains(&Try::Became(true)) || state.runs.iter().sum::<u32>() == 1
            }),
            Property::<Self>::sometimes("a booking is served", |_, state| state.tries.contains(&Try::Served)),
            Property::<Self>::sometimes("a repeat gets the first's result", |_, state| {
                state.tries.contains(&Try::Became(true))
            }),
        ]
    }
}

fn depth(usual: usize) -> usize {
    std::env::var("OAKWIND_MODEL_DEPTH").ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

/// Looks through all states up to a depth; returns the rules that some state breaks.
fn broken(system: System, depth: usize) -> Vec<&'static str> {
    let (mutant, restart, change, way) = (system.mutant, system.restart, system.change, system.way.len());
    let checker = system.checker().threads(4).target_max_depth(depth).spawn_bfs().join();
    let states = checker.unique_state_count();
    let mut broken: Vec<&'static str> = checker.discoveries().into_keys().collect();
    broken.sort_unstable();
    println!(
        "{mutant:?}, restart {restart}, change {change}: {states} states to depth {depth} from step {way}: {broken:?}"
    );
    broken.retain(|name| *name != "a booking is served" && *name != "a repeat gets the first's result");
    broken
}

fn system(restart: bool, change: bool) -> System {
    System { mutant: None, way: &[], restart, change }
}

#[test]
fn no_state_of_two_tries_breaks_a_promise() {
    assert!(broken(system(false, false), depth(12)).is_empty());
}

#[test]
fn no_state_with_a_restart_without_state_breaks_a_promise() {
    assert!(broken(system(true, false), depth(9)).is_empty());
}

#[test]
fn no_state_with_a_change_of_the_list_breaks_a_promise() {
    assert!(broken(system(false, true), depth(8)).is_empty());
}

#[test]
fn no_state_with_both_breaks_a_promise() {
    assert!(broken(system(true, true), depth(7)).is_empty());
}

/// The first try runs, by the grants of the first two copies.
const RUNS: [Transition; 5] = [
    Transition::ClaimAction(|| Act::Begin(0)),
    Transition::Claim(0, 0),
    Transition::Claim(0, 1),
    Transition::Grant(0, 0),
    Transition::Grant(1, 0),
];
const RESTARTED: Transition = Transition::ClaimAction(|| Act::Restart(Node(1)));

/// With the rule left out a state breaks the promise; with it none does, on the same way and as far.
fn found(
    mutant: Mutant,
    way: &'static [Transition],
    (restart, change): (bool, bool),
    depth: usize,
    rule: &str,
) {
    let broken_with = broken(System { mutant: Some(mutant), way, restart, change }, depth);
    assert!(broken_with.contains(&rule), "{mutant:?}: {broken_with:?}");
    let broken_without = broken(System { mutant: None, way, restart, change }, depth);
    assert!(broken_without.is_empty(), "{mutant:?}: {broken_without:?}");
}

const TWICE: &str = "a key runs once";

#[test]
fn promise_1_a_majority_of_votes_that_stay_is_needed() {
    found(Mutant::OneGrant, &[], (false, false), 8, TWICE);
    found(Mutant::VotesChange, &RUNS, (false, false), 7, TWICE);
    found(Mutant::GivesUpWhatRuns, &RUNS, (false, false), 9, TWICE);
}

#[test]
fn promise_1_a_copy_without_its_state_votes_only_when_it_has_caught_up_with_enough() {
    const WAY: [Transition; 7] = {
        let [a, b, c, d, e] = RUNS;
        [a, b, c, d, e, RESTARTED, Transition::ClaimAction(|| Act::Begin(1))]
    };
    found(Mutant::VotesWithoutState, &WAY, (true, false), 6, TWICE);
    const CAUGHT: [Transition; 8] = {
        let [a, b, c, d, e, f, g] = WAY;
        [a, b, c, d, e, f, g, Transition::Caught(1, 2)]
    };
    found(Mutant::CatchesUpWithOne, &CAUGHT, (true, false), 6, TWICE);
    // The first copy's grant is on its way when it loses its state.
    const LATE: [Transition; 11] = [
        Transition::ClaimAction(|| Act::Begin(0)),
        Transition::Claim(0, 1),
        RESTARTED,
        Transition::Caught(1, 0),
        Transition::Caught(1, 2),
        Transition::ClaimAction(|| Act::Begin(1)),
        Transition::Claim(1, 1),
        Transition::Claim(1, 2),
        Transition::Grant(1, 1),
        Transition::Grant(2, 1),
        Transition::Claim(0, 0),
    ];
    found(Mutant::OldLivesCount, &LATE, (true, false), 5, TWICE);
}

#[test]
fn promise_1_a_result_that_is_served_is_held_by_a_majority() {
    found(Mutant::OneHolds, &RUNS, (false, false), 5, "a majority holds what is served");
}

#[test]
fn promise_2_who_can_not_say_has_not_granted() {
    const WAY: [Transition; 7] = {
        let [a, b, c, d, e] = RUNS;
        [a, b, c, d, e, RESTARTED, Transition::ClaimAction(|| Act::Begin(1))]
    };
    found(Mutant::UnknownIsGranted, &WAY, (true, false), 6, TWICE);
}

#[test]
fn promise_4_a_peer_is_not_waited_for_past_the_due_time() {
    found(Mutant::WaitsOn, &[], (false, false), 5, "nothing is waited for past its time");
}

#[test]
fn promise_5_an_old_list_is_not_forgotten_while_others_go_by_it() {
    // The new node has caught up with the copies that the second list names besides it.
    const WAY: [Transition; 8] = [
        Transition::Caught(3, 0),
        Transition::Caught(3, 1),
        Transition::ClaimAction(|| Act::Begin(1)),
        Transition::Claim(1, 1),
        Transition::Claim(1, 2),
        Transition::Grant(1, 1),
        Transition::Grant(2, 1),
        Transition::ClaimAction(|| Act::Take(Node(0))),
    ];
    found(Mutant::NewestListAlone, &WAY, (false, true), 7, TWICE);
}
