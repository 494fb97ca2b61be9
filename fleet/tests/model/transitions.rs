//! The model's initial state, the actions in each state, their effects, and the properties to check.

use std::collections::BTreeSet;

use crate::system::{
    apply_actions, config, id, Act, Attempt, Envelope, Mutant, Node, State, System, ATTEMPTS, DEADLINE, KEY,
    NODES, NOW,
};
use oakwind_fleet::claims::coordinator::{AttemptId, ClaimCoordinator, RunRequest};
use oakwind_fleet::ids::{ConfigVersion, Incarnation};
use oakwind_fleet::membership::active_configs::{ActiveConfigs, Proposal};
use oakwind_fleet::message::Message;
use oakwind_fleet::replication::key_state::{Key, RunResult};
use oakwind_fleet::replication::replica_table::ReplicaTable;
use oakwind_fleet::Time;
use stateright::{Model, Property};

impl Model for System {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        let nodes = || (0..NODES).map(Node);
        let initial_config = config(1, &[0, 1, 2]);
        let mut configs: Vec<ActiveConfigs> =
            nodes().map(|node| ActiveConfigs::new(id(node), initial_config.clone())).collect();
        // The new node has heard a majority of the members and therefore knows both configurations.
        configs[3].propose(config(2, &[0, 1, 3])).unwrap();
        // The new node's table is incomplete at first, because the node can't know that it has never voted.
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
        match action {
            Act::StartAttempt(n) => start_attempt(&mut state, n),
            Act::Deliver(envelope) => self.deliver(&mut state, *envelope),
            Act::CompleteRun(n) => complete_run(&mut state, n),
            Act::TimeOut(n) => self.time_out(&mut state, n),
            Act::Restart(node) => self.restart(&mut state, node),
            Act::Pull(node, donor) => {
                let incarnation = state.incarnations[node.0];
                let message = Message::Pull { round: incarnation.0 as u32, from: None };
                state.net.insert(Envelope { from: node, incarnation, to: donor, message });
            }
            Act::AdoptConfig(node) => self.adopt_config(&mut state, node),
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("a key runs at most once", |_, state| {
                state.runs.iter().sum::<u32>() <= 1
            }),
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

fn start_attempt(state: &mut State, n: usize) {
    state.attempts[n] = Attempt::Claiming;
    let request = RunRequest {
        attempt: AttemptId(n as u64),
        key: KEY,
        body_digest: 1,
        window_ends_at: DEADLINE,
        received_at: NOW,
        received_unix_ms: n as u64,
        deadline: DEADLINE,
    };
    let mut actions = Vec::new();
    state.claims[n].request_run(NOW, request, &state.configs[n], &mut actions);
    apply_actions(state, Node(n), actions);
}

fn complete_run(state: &mut State, n: usize) {
    // The client of an attempt that timed out has already received an error.
    state.attempts[n] = if state.timed_out[n] { Attempt::Failed } else { Attempt::Replicating };
    let result = RunResult::Succeeded(Key::from_static(b"job"));
    let mut actions = Vec::new();
    state.claims[n].complete_run(NOW, AttemptId(n as u64), result, &mut actions);
    apply_actions(state, Node(n), actions);
}

impl System {
    fn time_out(&self, state: &mut State, n: usize) {
        state.timed_out[n] = true;
        let mut actions = Vec::new();
        if self.mutant == Some(Mutant::ReleasesRunningClaim) && state.attempts[n] == Attempt::Running {
            state.claims[n].release(AttemptId(n as u64), &mut actions);
            state.attempts[n] = Attempt::Failed;
        } else if self.mutant != Some(Mutant::WaitsPastDeadline) {
            state.claims[n].tick(DEADLINE, |_| true, &mut actions);
        }
        apply_actions(state, Node(n), actions);
    }

    /// Restarts a node without its state.
    fn restart(&self, state: &mut State, node: Node) {
        let n = node.0;
        state.restarts += 1;
        state.incarnations[n] = state.incarnations[n].next();
        state.restarted[n] = true;
        let is_complete = self.mutant == Some(Mutant::VotesWithoutState);
        state.tables[n] = ReplicaTable::new(id(node), state.incarnations[n], 1 << 20, is_complete, NOW);
        if n < ATTEMPTS {
            // The process that would answer the attempt has exited.
            state.claims[n] = ClaimCoordinator::new(id(node), state.incarnations[n]);
            if state.attempts[n] != Attempt::NotStarted {
                state.attempts[n] = Attempt::Failed;
            }
        }
    }

    fn adopt_config(&self, state: &mut State, node: Node) {
        let n = node.0;
        let adopted = state.configs[n].propose(config(2, &[0, 1, 3]));
        assert_eq!(adopted, Ok(Proposal::Adopted));
        if self.mutant == Some(Mutant::NewestConfigAlone) {
            state.configs[n] = ActiveConfigs::new(id(node), config(2, &[0, 1, 3]));
        }
        if n < ATTEMPTS {
            let mut actions = Vec::new();
            state.claims[n].reconfigure(NOW, &state.configs[n], &mut actions);
            apply_actions(state, node, actions);
        }
    }
}
