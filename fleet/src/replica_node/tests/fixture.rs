//! A simulated fleet whose nodes exchange messages over links without message loss.

use super::*;

pub(super) fn settings(n: usize, incarnation: u64, has_stored_state: bool) -> Settings {
    let position =
        StatePosition { incarnation: Incarnation(incarnation.saturating_sub(1)), uptime_seconds: 0 };
    Settings {
        name: format!("n{n}"),
        incarnation: Incarnation(incarnation),
        seed: 1,
        max_table_bytes: 64 << 20,
        transfer_bytes_per_s: 16 << 20,
        probe_period: Duration::from_millis(500),
        restored: has_stored_state.then(|| RestoredState { records: Vec::new(), position }),
        is_durable: false,
    }
}

/// Returns the link to a node. Its number is the id of that node.
pub(super) fn link_of(node: NodeId) -> LinkId {
    LinkId(node.0)
}

pub(super) fn received(from: NodeId, incarnation: Incarnation, message: Message) -> Event {
    Event::MessageReceived(ReceivedMessage { link: link_of(from), from, incarnation, message })
}

/// A fleet of nodes that start in their first incarnation.
pub(super) struct Fixture {
    pub(super) nodes: BTreeMap<NodeId, ReplicaNode>,
    pub(super) now: Time,
    pub(super) outcomes: Vec<(AttemptId, ClaimOutcome)>,
    pub(super) notifications: Vec<(NodeId, Notification)>,
    /// Nodes that neither send nor receive messages and handle no events.
    pub(super) down: BTreeSet<NodeId>,
}

impl Fixture {
    pub(super) fn new(count: usize, has_stored_state: bool) -> Fixture {
        let numbers: Vec<usize> = (1..=count).collect();
        let config = Arc::new(config(1, &numbers, 1));
        let node = |n: &usize| ReplicaNode::new(settings(*n, 1, has_stored_state), config.clone(), at(0));
        let mut fixture = Fixture {
            nodes: numbers.iter().map(|n| (id(*n), node(n))).collect(),
            now: at(0),
            outcomes: Vec::new(),
            notifications: Vec::new(),
            down: BTreeSet::new(),
        };
        fixture.advance(200);
        fixture
    }

    pub(super) fn node(&self, n: usize) -> &ReplicaNode {
        &self.nodes[&id(n)]
    }

    /// Restarts a node with the newest configuration of node `config_of`.
    pub(super) fn restart(&mut self, n: usize, settings: Settings, config_of: usize) {
        let config = self.node(config_of).configs().newest().clone();
        self.nodes.insert(id(n), ReplicaNode::new(settings, config, self.now));
    }

    /// Handles an event and all events that result from it.
    pub(super) fn handle(&mut self, node: NodeId, event: Event) {
        let mut events = VecDeque::from([(node, event)]);
        while let Some((node, event)) = events.pop_front() {
            if self.down.contains(&node) {
                continue;
            }
            let mut out = Vec::new();
            let Some(state) = self.nodes.get_mut(&node) else { continue };
            state.handle(self.now, event, &mut out);
            for action in out {
                self.apply(node, action, &mut events);
            }
        }
    }

    pub(super) fn apply(&mut self, node: NodeId, action: Action, events: &mut VecDeque<(NodeId, Event)>) {
        let incarnation = self.nodes[&node].incarnation();
        match action {
            Action::Send(to, _) if self.down.contains(&to) => {
                events.push_back((node, Event::PeerUnreachable(to)));
            }
            Action::Send(to, message) => events.push_back((to, received(node, incarnation, message))),
            Action::Respond(link, message) => {
                events.push_back((NodeId(link.0), received(node, incarnation, message)));
            }
            Action::NotifyAttempt(attempt, outcome) => self.outcomes.push((attempt, outcome)),
            Action::Notify(notification) => self.notifications.push((node, notification)),
            Action::SendHello => {
                let hello = Message::Hello(self.nodes[&node].hello(node));
                let others = self.nodes.keys().filter(|other| **other != node);
                events.extend(others.map(|to| (*to, received(node, incarnation, hello.clone()))));
            }
            Action::Store { sequence, .. } => {
                events.push_back((node, Event::StoreFinished { sequence, stored: true }));
            }
            Action::SetPermissions(_) => {}
        }
    }

    pub(super) fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 50 {
            self.now += TICK_INTERVAL;
            let nodes: Vec<NodeId> = self.nodes.keys().copied().collect();
            for node in nodes {
                self.handle(node, Event::Tick);
            }
        }
    }

    pub(super) fn request_run(&mut self, n: usize, attempt: u64, key: &'static str) {
        let request = RunRequest {
            attempt: AttemptId(attempt),
            key: Key::from_static(key.as_bytes()),
            body_digest: 1,
            window_ends_at: self.now + at(9_000),
            received_at: self.now,
            received_unix_ms: attempt,
            deadline: self.now + at(2_000),
        };
        self.handle(id(n), Event::RunRequested(request));
    }

    pub(super) fn complete_run(&mut self, n: usize, attempt: u64, result: &'static str) {
        self.handle(id(n), Event::RunCompleted(AttemptId(attempt), succeeded(result)));
    }

    /// Returns the outcomes that attempts were notified of since the last call.
    pub(super) fn outcomes(&mut self) -> Vec<(u64, ClaimOutcome)> {
        self.outcomes.drain(..).map(|(attempt, outcome)| (attempt.0, outcome)).collect()
    }

    pub(super) fn has_notified(&self, n: usize, notification: Notification) -> bool {
        self.notifications.contains(&(id(n), notification))
    }
}
