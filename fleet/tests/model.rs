//! Model checking of every state that two attempts at one key on two nodes can lead to, up to a depth: three replicas,
//! messages that are lost, duplicated and reordered, one restart without state, one change of the configuration. The
//! decisions are the real ones. For each promise there is a mutant that leaves its rule out, which the checker must find.
//!
//! A message that was sent may be delivered at any time and any number of times, or never: that is loss, duplication and
//! reordering at once. Time stands still, so no idempotency window ends. `OAKWIND_MODEL_DEPTH` sets another depth.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use oakwind_fleet::active_configs::{ActiveConfigs, Proposal};
use oakwind_fleet::claim_coordinator::{AttemptId, ClaimAction, ClaimCoordinator, ClaimOutcome, RunRequest};
use oakwind_fleet::ids::{ConfigVersion, Incarnation, LinkId, NodeId};
use oakwind_fleet::key_state::{Key, RunResult};
use oakwind_fleet::membership_config::MembershipConfig;
use oakwind_fleet::message::{Completeness, Message};
use oakwind_fleet::replica_table::{ReplicaTable, TableOutcome};
use oakwind_fleet::Time;
use stateright::{Checker, Model, Property};

const KEY: Key = Key::from_static(b"k");
/// The attempts are at the first two nodes; the last node is a member of the second configuration only.
const NODES: usize = 4;
const ATTEMPTS: usize = 2;

/// A rule that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    /// One grant is enough.
    OneGrant,
    /// A replica that lost its state votes at once.
    VotesWithoutState,
    /// It votes once it has caught up with one other replica.
    CatchesUpWithOne,
    /// Grants of a replica's earlier incarnation count.
    EarlierIncarnationsCount,
    /// While two configurations are active, only the newest counts.
    NewestConfigAlone,
    /// A replica grants a key to the last claim that arrives.
    VotesChange,
    /// An uncertain response counts as a grant.
    UncertainIsGranted,
    /// A result is served when one replica has stored it.
    OneReplicaStores,
    /// The claim of a run that timed out is released as if the run had not started.
    ReleasesRunningClaim,
    /// An attempt waits past its deadline.
    WaitsPastDeadline,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Node(usize);

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Envelope {
    from: Node,
    incarnation: Incarnation,
    to: Node,
    message: Message,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Attempt {
    NotStarted,
    Claiming,
    Running,
    /// Its run has completed, and replicas are sent the result.
    Replicating,
    Served,
    Failed,
    Rejected,
    RemoteResult(bool),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    tables: Vec<ReplicaTable>,
    configs: Vec<ActiveConfigs>,
    incarnations: Vec<Incarnation>,
    claims: Vec<ClaimCoordinator>,
    net: BTreeSet<Envelope>,
    attempts: Vec<Attempt>,
    /// The number of runs that have started, by attempt.
    runs: Vec<u32>,
    timed_out: Vec<bool>,
    /// Nodes whose first process has exited.
    restarted: Vec<bool>,
    restarts: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Act {
    StartAttempt(usize),
    Deliver(Box<Envelope>),
    CompleteRun(usize),
    TimeOut(usize),
    Restart(Node),
    Pull(Node, Node),
    AdoptConfig(Node),
}

/// A step of the path to the state at which the search begins.
#[derive(Debug, Clone, Copy)]
enum PathStep {
    Do(fn() -> Act),
    /// The claim of an attempt reaches a replica.
    Claim(usize, usize),
    /// The grant of a replica reaches the attempt's node.
    Grant(usize, usize),
    /// A node gets the whole table of another one: the requester, and the donor.
    CatchUp(usize, usize),
}

struct System {
    mutant: Option<Mutant>,
    /// The path to the state at which the search begins.
    path: &'static [PathStep],
    /// Whether a restart, and a change of the configuration, may happen.
    restart: bool,
    change: bool,
}

fn id(node: Node) -> NodeId {
    NodeId::of(&common::name(node.0))
}

fn config(version: u64, nodes: &[usize]) -> Arc<MembershipConfig> {
    common::config(version, nodes, 1, Duration::from_secs(10))
}

const NOW: Time = Duration::from_secs(100);
const DEADLINE: Time = Duration::from_secs(102);

fn node_of(node_id: NodeId) -> Node {
    (0..NODES).map(Node).find(|node| id(*node) == node_id).unwrap()
}

fn notify(state: &mut State, n: usize, outcome: ClaimOutcome) {
    let attempt = &mut state.attempts[n];
    match (outcome, *attempt) {
        (ClaimOutcome::Granted, Attempt::Claiming) => {
            *attempt = Attempt::Running;
            state.runs[n] += 1;
        }
        (ClaimOutcome::Rejected(_), Attempt::Claiming) => *attempt = Attempt::Rejected,
        (ClaimOutcome::RemoteOutcome(result), Attempt::Claiming) => {
            *attempt = Attempt::RemoteResult(result != RunResult::Failed);
        }
        (ClaimOutcome::Unknown | ClaimOutcome::BodyMismatch, Attempt::Claiming) => {
            *attempt = Attempt::Failed;
        }
        (ClaimOutcome::Replicated(true), Attempt::Replicating) => *attempt = Attempt::Served,
        (ClaimOutcome::Replicated(false), Attempt::Replicating) => *attempt = Attempt::Failed,
        _ => {}
    }
}

fn apply_actions(state: &mut State, node: Node, actions: Vec<ClaimAction>) {
    for action in actions {
        match action {
            ClaimAction::Send(to, message) => {
                let (incarnation, to) = (state.incarnations[node.0], node_of(to));
                state.net.insert(Envelope { from: node, incarnation, to, message });
            }
            ClaimAction::Notify(AttemptId(n), outcome) => notify(state, n as usize, outcome),
        }
    }
}

fn apply_outcome(state: &mut State, node: Node, outcome: TableOutcome) {
    let incarnation = state.incarnations[node.0];
    for (link, message) in outcome.responses {
        state.net.insert(Envelope { from: node, incarnation, to: Node(link.0 as usize - 1), message });
    }
    for (to, message) in outcome.queries {
        let to = node_of(to);
        state.net.insert(Envelope { from: node, incarnation, to, message });
    }
}

impl System {
    /// Takes one step of the path.
    fn step(&self, state: &State, step: PathStep) -> State {
        let next = |state: &State, act| self.next_state(state, act).expect("a step that leads somewhere");
        let sent = |state: &State, from: usize, to: usize, fits: fn(&Message) -> bool| {
            let envelope = state
                .net
                .iter()
                .find(|envelope| envelope.from.0 == from && envelope.to.0 == to && fits(&envelope.message));
            Act::Deliver(Box::new(envelope.expect("a message that was sent").clone()))
        };
        match step {
            PathStep::Do(act) => next(state, act()),
            PathStep::Claim(from, to) => {
                next(state, sent(state, from, to, |message| matches!(message, Message::Claim(_))))
            }
            PathStep::Grant(from, to) => {
                next(state, sent(state, from, to, |message| matches!(message, Message::Granted { .. })))
            }
            PathStep::CatchUp(who, donor) => {
                let asked = next(state, Act::Pull(Node(who), Node(donor)));
                let given = sent(&asked, who, donor, |message| matches!(message, Message::Pull { .. }));
                let given = next(&asked, given);
                let page = sent(&given, donor, who, |message| matches!(message, Message::Page(_)));
                next(&given, page)
            }
        }
    }

    fn deliver(&self, state: &mut State, envelope: Envelope) {
        let Envelope { from, incarnation, to, message } = envelope;
        let n = to.0;
        // A link begins with the incarnation of the sender.
        if from != to {
            state.tables[n].record_incarnation(id(from), incarnation);
        }
        let link = LinkId(from.0 as u64 + 1);
        let mut actions = Vec::new();
        match message {
            Message::Claim(request) => {
                if self.mutant == Some(Mutant::VotesChange) {
                    if let Some(vote) = state.tables[n].vote(&KEY) {
                        state.tables[n].release(NOW, &KEY, vote);
                    }
                }
                let configs = match self.mutant {
                    Some(Mutant::NewestConfigAlone) => {
                        let newest = if request.config_versions.contains(&ConfigVersion(2)) {
                            config(2, &[0, 1, 3])
                        } else {
                            config(1, &[0, 1, 2])
                        };
                        ActiveConfigs::new(id(to), newest)
                    }
                    _ => state.configs[n].clone(),
                };
                let outcome = state.tables[n].claim(NOW, link, &request, &configs);
                apply_outcome(state, to, outcome);
            }
            Message::QueryKey { claim, key } => {
                let configs = state.configs[n].clone();
                let outcome = state.tables[n].query_key(NOW, link, claim, &key, &configs);
                apply_outcome(state, to, outcome);
            }
            Message::Completed { key, retain_ms, run } => {
                let outcome = state.tables[n].complete_run(NOW, link, &key, retain_ms, run);
                apply_outcome(state, to, outcome);
            }
            Message::Release { key, claim } => {
                let outcome = state.tables[n].release(NOW, &key, claim);
                apply_outcome(state, to, outcome);
            }
            Message::QueryClaim { key, claim, body } if n < ATTEMPTS => {
                if let Some(message) = state.claims[n].resolve(NOW, &key, claim, body, false) {
                    let incarnation = state.incarnations[n];
                    state.net.insert(Envelope { from: to, incarnation, to: from, message });
                }
            }
            Message::Pull { round, from: position } => {
                let read = state.tables[n].page(NOW, id(from), round, position.as_ref(), &state.configs[n]);
                let page = read.page;
                let (incarnation, message) = (state.incarnations[n], Message::Page(page));
                state.net.insert(Envelope { from: to, incarnation, to: from, message });
            }
            // The round is the incarnation that asked: a page for an earlier one is ignored.
            Message::Page(page) if u64::from(page.round) == state.incarnations[n].0 => {
                state.tables[n].merge_records(NOW, page.records);
                state.tables[n].record_sync(id(from), page.completeness);
                if self.mutant == Some(Mutant::CatchesUpWithOne) {
                    (0..NODES).for_each(|other| {
                        state.tables[n].record_sync(id(Node(other)), Completeness::Complete);
                    });
                }
            }
            response if n < ATTEMPTS && response.is_response() => {
                let response = match (self.mutant, response) {
                    (Some(Mutant::UncertainIsGranted), Message::Uncertain { claim, .. })
                    | (Some(Mutant::EarlierIncarnationsCount), Message::Granted { claim, .. }) => {
                        Message::Granted { claim, incarnations: vec![] }
                    }
                    (_, response) => response,
                };
                let incarnation = if self.mutant == Some(Mutant::EarlierIncarnationsCount) {
                    Incarnation(1)
                } else {
                    incarnation
                };
                let enough = matches!(
                    (self.mutant, &response),
                    (Some(Mutant::OneGrant), Message::Granted { .. })
                        | (Some(Mutant::OneReplicaStores), Message::Stored { .. })
                );
                let all: Vec<Node> = if enough { (0..NODES).map(Node).collect() } else { vec![from] };
                for from in all {
                    state.claims[n].handle_response(
                        NOW,
                        id(from),
                        incarnation,
                        response.clone(),
                        &mut actions,
                    );
                }
                apply_actions(state, to, actions);
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
        let one = config(1, &[0, 1, 2]);
        let mut configs: Vec<ActiveConfigs> =
            nodes().map(|node| ActiveConfigs::new(id(node), one.clone())).collect();
        // The new node has heard a majority, and so knows both configurations.
        configs[3].propose(config(2, &[0, 1, 3])).unwrap();
        // It can't know that it has never voted.
        let tables =
            nodes().map(|node| ReplicaTable::new(id(node), Incarnation(1), 1 << 20, node.0 != 3, Time::ZERO));
        let first = State {
            tables: tables.collect(),
            configs,
            incarnations: vec![Incarnation(1); NODES],
            claims: (0..ATTEMPTS).map(|n| ClaimCoordinator::new(id(Node(n)), Incarnation(1))).collect(),
            net: BTreeSet::new(),
            attempts: vec![Attempt::NotStarted; ATTEMPTS],
            runs: vec![0; ATTEMPTS],
            timed_out: vec![false; ATTEMPTS],
            restarted: vec![false; NODES],
            restarts: 0,
        };
        vec![self.path.iter().fold(first, |state, step| self.step(&state, *step))]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Act>) {
        for (n, attempt) in state.attempts.iter().enumerate() {
            match attempt {
                Attempt::NotStarted => actions.push(Act::StartAttempt(n)),
                Attempt::Running if !state.restarted[n] => actions.push(Act::CompleteRun(n)),
                _ => {}
            }
            let open = matches!(attempt, Attempt::Claiming | Attempt::Replicating | Attempt::Running);
            if open && !state.timed_out[n] && !state.restarted[n] {
                actions.push(Act::TimeOut(n));
            }
        }
        if self.restart && state.restarts == 0 {
            actions.extend((0..3).map(|n| Act::Restart(Node(n))));
        }
        for n in (0..NODES).filter(|n| state.incarnations[*n] > Incarnation(1) || (*n == 3 && self.change)) {
            let others = (0..NODES).filter(|other| *other != n && (*other != 3 || self.change));
            actions.extend(others.map(|other| Act::Pull(Node(n), Node(other))));
        }
        if self.change {
            let old = (0..3).filter(|n| state.configs[*n].versions() == [ConfigVersion(1)]);
            actions.extend(old.map(|n| Act::AdoptConfig(Node(n))));
        }
        actions.extend(state.net.iter().cloned().map(|envelope| Act::Deliver(Box::new(envelope))));
    }

    fn next_state(&self, last: &State, action: Act) -> Option<State> {
        let mut state = last.clone();
        let mut actions = Vec::new();
        match action {
            Act::StartAttempt(n) => {
                state.attempts[n] = Attempt::Claiming;
                let request = RunRequest {
                    attempt: AttemptId(n as u64),
                    key: KEY,
                    body: 1,
                    expires_at: DEADLINE,
                    received_at: NOW,
                    received_unix_ms: n as u64,
                    deadline: DEADLINE,
                };
                state.claims[n].request_run(NOW, request, &state.configs[n], &mut actions);
                apply_actions(&mut state, Node(n), actions);
            }
            Act::Deliver(envelope) => self.deliver(&mut state, *envelope),
            Act::CompleteRun(n) => {
                // An attempt that timed out has had its answer.
                state.attempts[n] = if state.timed_out[n] { Attempt::Failed } else { Attempt::Replicating };
                let result = RunResult::Succeeded(Key::from_static(b"job"));
                state.claims[n].complete_run(NOW, AttemptId(n as u64), result, &mut actions);
                apply_actions(&mut state, Node(n), actions);
            }
            Act::TimeOut(n) => {
                state.timed_out[n] = true;
                if self.mutant == Some(Mutant::ReleasesRunningClaim) && state.attempts[n] == Attempt::Running
                {
                    state.claims[n].release(AttemptId(n as u64), &mut actions);
                    state.attempts[n] = Attempt::Failed;
                } else if self.mutant != Some(Mutant::WaitsPastDeadline) {
                    state.claims[n].tick(DEADLINE, |_| true, &mut actions);
                }
                apply_actions(&mut state, Node(n), actions);
            }
            Act::Restart(node) => {
                let n = node.0;
                state.restarts += 1;
                state.incarnations[n] = state.incarnations[n].next();
                state.restarted[n] = true;
                let kept = self.mutant == Some(Mutant::VotesWithoutState);
                state.tables[n] = ReplicaTable::new(id(node), state.incarnations[n], 1 << 20, kept, NOW);
                if n < ATTEMPTS {
                    // The attempt has no process left to answer.
                    state.claims[n] = ClaimCoordinator::new(id(node), state.incarnations[n]);
                    if state.attempts[n] != Attempt::NotStarted {
                        state.attempts[n] = Attempt::Failed;
                    }
                }
            }
            Act::Pull(node, donor) => {
                let incarnation = state.incarnations[node.0];
                let message = Message::Pull { round: incarnation.0 as u32, from: None };
                state.net.insert(Envelope { from: node, incarnation, to: donor, message });
            }
            Act::AdoptConfig(node) => {
                let n = node.0;
                let adopted = state.configs[n].propose(config(2, &[0, 1, 3]));
                assert_eq!(adopted, Ok(Proposal::Adopted));
                if self.mutant == Some(Mutant::NewestConfigAlone) {
                    state.configs[n] = ActiveConfigs::new(id(node), config(2, &[0, 1, 3]));
                }
                if n < ATTEMPTS {
                    state.claims[n].reconfigure(NOW, &state.configs[n], &mut actions);
                    apply_actions(&mut state, node, actions);
                }
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("a key runs once", |_, state| state.runs.iter().sum::<u32>() <= 1),
            Property::<Self>::always("a rejected attempt never ran", |_, state| {
                state
                    .attempts
                    .iter()
                    .zip(&state.runs)
                    .all(|(attempt, runs)| *attempt != Attempt::Rejected || *runs == 0)
            }),
            Property::<Self>::always("a quorum stores a served result", |_, state| {
                let holds = |table: &&ReplicaTable| {
                    table.state_of(&KEY).is_some_and(|known| known.completed.is_some())
                };
                let held = state.tables.iter().filter(holds).count();
                !state.attempts.contains(&Attempt::Served) || held + state.restarts as usize >= 2
            }),
            Property::<Self>::always("no attempt waits past its deadline", |_, state| {
                let waits = |attempt: &Attempt| matches!(attempt, Attempt::Claiming | Attempt::Replicating);
                !state.attempts.iter().zip(&state.timed_out).any(|(attempt, over)| *over && waits(attempt))
            }),
            Property::<Self>::always("a remote result was made by a run", |_, state| {
                !state.attempts.contains(&Attempt::RemoteResult(true)) || state.runs.iter().sum::<u32>() == 1
            }),
            Property::<Self>::sometimes("a result is served", |_, state| {
                state.attempts.contains(&Attempt::Served)
            }),
            Property::<Self>::sometimes("an attempt gets a remote result", |_, state| {
                state.attempts.contains(&Attempt::RemoteResult(true))
            }),
        ]
    }
}

fn depth(usual: usize) -> usize {
    std::env::var("OAKWIND_MODEL_DEPTH").ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

/// Checks all states up to a depth. Returns the rules that some state breaks.
fn broken(system: System, depth: usize) -> Vec<&'static str> {
    let (mutant, restart, change, path) = (system.mutant, system.restart, system.change, system.path.len());
    let checker = system.checker().threads(4).target_max_depth(depth).spawn_bfs().join();
    let states = checker.unique_state_count();
    let mut broken: Vec<&'static str> = checker.discoveries().into_keys().collect();
    broken.sort_unstable();
    println!(
        "{mutant:?}, restart {restart}, change {change}: {states} states to depth {depth} from step {path}: {broken:?}"
    );
    broken.retain(|name| *name != "a result is served" && *name != "an attempt gets a remote result");
    broken
}

fn system(restart: bool, change: bool) -> System {
    System { mutant: None, path: &[], restart, change }
}

#[test]
fn no_state_of_two_attempts_breaks_a_promise() {
    assert!(broken(system(false, false), depth(12)).is_empty());
}

#[test]
fn no_state_with_a_restart_without_state_breaks_a_promise() {
    assert!(broken(system(true, false), depth(9)).is_empty());
}

#[test]
fn no_state_with_a_config_change_breaks_a_promise() {
    assert!(broken(system(false, true), depth(8)).is_empty());
}

#[test]
fn no_state_with_both_breaks_a_promise() {
    assert!(broken(system(true, true), depth(7)).is_empty());
}

/// The first attempt runs, by the grants of the first two replicas.
const RUNNING: [PathStep; 5] = [
    PathStep::Do(|| Act::StartAttempt(0)),
    PathStep::Claim(0, 0),
    PathStep::Claim(0, 1),
    PathStep::Grant(0, 0),
    PathStep::Grant(1, 0),
];
const RESTARTED: PathStep = PathStep::Do(|| Act::Restart(Node(1)));

/// With the rule left out some state breaks the promise; with it none does, on the same path and to the same depth.
fn assert_mutant_is_found(
    mutant: Mutant,
    path: &'static [PathStep],
    (restart, change): (bool, bool),
    depth: usize,
    rule: &str,
) {
    let broken_with = broken(System { mutant: Some(mutant), path, restart, change }, depth);
    assert!(broken_with.contains(&rule), "{mutant:?}: {broken_with:?}");
    let broken_without = broken(System { mutant: None, path, restart, change }, depth);
    assert!(broken_without.is_empty(), "{mutant:?}: {broken_without:?}");
}

const RUNS_ONCE: &str = "a key runs once";

#[test]
fn promise_1_needs_a_quorum_of_votes_that_never_change() {
    assert_mutant_is_found(Mutant::OneGrant, &[], (false, false), 8, RUNS_ONCE);
    assert_mutant_is_found(Mutant::VotesChange, &RUNNING, (false, false), 7, RUNS_ONCE);
    assert_mutant_is_found(Mutant::ReleasesRunningClaim, &RUNNING, (false, false), 9, RUNS_ONCE);
}

/// The same; then the second node loses its state, and the second attempt starts there.
const RUNNING_AND_RESTARTED: [PathStep; 7] = {
    let [a, b, c, d, e] = RUNNING;
    [a, b, c, d, e, RESTARTED, PathStep::Do(|| Act::StartAttempt(1))]
};

/// The same; then the second node gets the table of the third, which knows nothing.
const CAUGHT_UP_WITH_ONE: [PathStep; 8] = {
    let [a, b, c, d, e, f, g] = RUNNING_AND_RESTARTED;
    [a, b, c, d, e, f, g, PathStep::CatchUp(1, 2)]
};

/// The grant of the second replica is on its way when that replica loses its state.
const GRANT_OF_EARLIER_INCARNATION: [PathStep; 11] = [
    PathStep::Do(|| Act::StartAttempt(0)),
    PathStep::Claim(0, 1),
    RESTARTED,
    PathStep::CatchUp(1, 0),
    PathStep::CatchUp(1, 2),
    PathStep::Do(|| Act::StartAttempt(1)),
    PathStep::Claim(1, 1),
    PathStep::Claim(1, 2),
    PathStep::Grant(1, 1),
    PathStep::Grant(2, 1),
    PathStep::Claim(0, 0),
];

#[test]
fn promise_1_needs_replicas_without_state_to_catch_up_before_they_vote() {
    assert_mutant_is_found(Mutant::VotesWithoutState, &RUNNING_AND_RESTARTED, (true, false), 6, RUNS_ONCE);
    assert_mutant_is_found(Mutant::CatchesUpWithOne, &CAUGHT_UP_WITH_ONE, (true, false), 6, RUNS_ONCE);
    let path = &GRANT_OF_EARLIER_INCARNATION;
    assert_mutant_is_found(Mutant::EarlierIncarnationsCount, path, (true, false), 5, RUNS_ONCE);
}

#[test]
fn promise_1_needs_a_quorum_to_store_a_result_before_it_is_served() {
    assert_mutant_is_found(
        Mutant::OneReplicaStores,
        &RUNNING,
        (false, false),
        5,
        "a quorum stores a served result",
    );
}

#[test]
fn promise_2_needs_an_uncertain_response_not_to_count_as_a_grant() {
    assert_mutant_is_found(Mutant::UncertainIsGranted, &RUNNING_AND_RESTARTED, (true, false), 6, RUNS_ONCE);
}

#[test]
fn promise_4_needs_attempts_to_give_up_at_their_deadline() {
    assert_mutant_is_found(
        Mutant::WaitsPastDeadline,
        &[],
        (false, false),
        5,
        "no attempt waits past its deadline",
    );
}

#[test]
fn promise_5_needs_a_quorum_in_every_active_config() {
    // The new node has caught up with the other members of the second configuration.
    const PATH: [PathStep; 8] = [
        PathStep::CatchUp(3, 0),
        PathStep::CatchUp(3, 1),
        PathStep::Do(|| Act::StartAttempt(1)),
        PathStep::Claim(1, 1),
        PathStep::Claim(1, 2),
        PathStep::Grant(1, 1),
        PathStep::Grant(2, 1),
        PathStep::Do(|| Act::AdoptConfig(Node(0))),
    ];
    assert_mutant_is_found(Mutant::NewestConfigAlone, &PATH, (false, true), 7, RUNS_ONCE);
}
