//! The types of the model: the state of the nodes and the network, the actions, the mutants, and the steps to
//! the state at which a search begins.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use oakwind_fleet::claims::coordinator::{AttemptId, ClaimAction, ClaimCoordinator, ClaimOutcome};
use oakwind_fleet::envelope::{Request, Response};
use oakwind_fleet::ids::{Incarnation, NodeId};
use oakwind_fleet::membership::active_configs::ActiveConfigs;
use oakwind_fleet::membership::config::MembershipConfig;
use oakwind_fleet::message::Message;
use oakwind_fleet::replication::key_state::{Key, RunResult};
use oakwind_fleet::replication::replica_table::{ReplicaTable, TableOutcome};
use oakwind_fleet::Time;
use stateright::Model;

pub(crate) const KEY: Key = Key::from_static(b"k");
/// Number of nodes. The last one is a member of the second configuration only.
pub(crate) const NODES: usize = 4;
/// Number of attempts. Attempt `n` is at node `n`.
pub(crate) const ATTEMPTS: usize = 2;

/// A change of the protocol that omits one rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mutant {
    /// One grant counts as a quorum.
    OneGrant,
    /// A replica that has lost its state votes without catching up.
    VotesWithoutState,
    /// A replica that has lost its state votes after it has received the table of one other replica.
    CatchesUpWithOne,
    /// Grants from an earlier incarnation of a replica count.
    EarlierIncarnationsCount,
    /// While two configurations are active, a claim needs a quorum only in the newest.
    NewestConfigAlone,
    /// A replica changes its vote to the claim that arrived last.
    VotesChange,
    /// An uncertain response counts as a grant.
    UncertainIsGranted,
    /// A result is served after one replica has stored it.
    OneReplicaStores,
    /// The claim of a run that timed out is released as if the run had not started.
    ReleasesRunningClaim,
    /// An attempt waits past its deadline.
    WaitsPastDeadline,
}

/// The index of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Node(pub(crate) usize);

/// A message in the network.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Envelope {
    pub(crate) from: Node,
    pub(crate) incarnation: Incarnation,
    pub(crate) to: Node,
    pub(crate) message: Message,
}

/// The state of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Attempt {
    NotStarted,
    Claiming,
    Running,
    /// The run has completed and its result is sent to the replicas.
    Replicating,
    Served,
    Failed,
    Rejected,
    /// The attempt received the result of a run on another node, and whether that run succeeded.
    RemoteResult(bool),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct State {
    pub(crate) tables: Vec<ReplicaTable>,
    pub(crate) configs: Vec<ActiveConfigs>,
    pub(crate) incarnations: Vec<Incarnation>,
    pub(crate) claims: Vec<ClaimCoordinator>,
    pub(crate) net: BTreeSet<Envelope>,
    pub(crate) attempts: Vec<Attempt>,
    /// Number of runs that have started, by attempt.
    pub(crate) runs: Vec<u32>,
    pub(crate) timed_out: Vec<bool>,
    /// Whether each node has been restarted.
    pub(crate) restarted: Vec<bool>,
    pub(crate) restarts: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum Act {
    StartAttempt(usize),
    Deliver(Box<Envelope>),
    CompleteRun(usize),
    TimeOut(usize),
    Restart(Node),
    /// The first node requests the table of the second.
    Pull(Node, Node),
    AdoptConfig(Node),
}

/// A step of the path to the state at which the search begins.
#[derive(Debug, Clone, Copy)]
pub(crate) enum PathStep {
    Do(fn() -> Act),
    /// Delivers the claim of the first node to the second.
    Claim(usize, usize),
    /// Delivers the grant of the first node to the second.
    Grant(usize, usize),
    /// Transfers the whole table to the first node, the requester, from the second node, the donor.
    CatchUp(usize, usize),
}

pub(crate) struct System {
    pub(crate) mutant: Option<Mutant>,
    /// The steps to the state at which the search begins.
    pub(crate) path: &'static [PathStep],
    /// Whether one node may restart without its state.
    pub(crate) restart: bool,
    /// Whether the nodes may adopt the second configuration.
    pub(crate) change: bool,
}

pub(crate) fn id(node: Node) -> NodeId {
    NodeId::of(&crate::common::name(node.0))
}

pub(crate) fn config(version: u64, nodes: &[usize]) -> Arc<MembershipConfig> {
    crate::common::config(version, nodes, 1, Duration::from_secs(10))
}

pub(crate) const NOW: Time = Duration::from_secs(100);
pub(crate) const DEADLINE: Time = Duration::from_secs(102);

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
        (ClaimOutcome::RemoteResult(result), Attempt::Claiming) => {
            *attempt = Attempt::RemoteResult(result != RunResult::Failed);
        }
        (ClaimOutcome::Unknown | ClaimOutcome::BodyMismatch, Attempt::Claiming) => {
            *attempt = Attempt::Failed;
        }
        (ClaimOutcome::StoredByQuorum(true), Attempt::Replicating) => *attempt = Attempt::Served,
        (ClaimOutcome::StoredByQuorum(false), Attempt::Replicating) => *attempt = Attempt::Failed,
        _ => {}
    }
}

pub(crate) fn apply_actions(state: &mut State, node: Node, actions: Vec<ClaimAction>) {
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

pub(crate) fn apply_outcome(state: &mut State, node: Node, outcome: TableOutcome) {
    let incarnation = state.incarnations[node.0];
    for Response { link, message } in outcome.responses {
        state.net.insert(Envelope { from: node, incarnation, to: Node(link.0 as usize - 1), message });
    }
    for Request { to, message } in outcome.queries {
        let to = node_of(to);
        state.net.insert(Envelope { from: node, incarnation, to, message });
    }
}

impl System {
    /// Returns the state after one step of the path.
    pub(crate) fn step(&self, state: &State, step: PathStep) -> State {
        let next =
            |state: &State, act| self.next_state(state, act).expect("each step of a path changes the state");
        let sent = |state: &State, from: usize, to: usize, fits: fn(&Message) -> bool| {
            let envelope = state
                .net
                .iter()
                .find(|envelope| envelope.from.0 == from && envelope.to.0 == to && fits(&envelope.message));
            Act::Deliver(Box::new(envelope.expect("the message of a path step was sent before").clone()))
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
}
