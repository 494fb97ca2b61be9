//! The handling of a delivered message by a node, and the deviations of the mutants.

use oakwind_fleet::ids::{ConfigVersion, Incarnation, LinkId};
use oakwind_fleet::membership::active_configs::ActiveConfigs;
use oakwind_fleet::message::{ClaimRequest, Completeness, Message, Page};

use crate::system::{
    apply_actions, apply_outcome, config, id, Envelope, Mutant, Node, State, System, ATTEMPTS, KEY, NODES,
    NOW,
};

impl System {
    /// Delivers a message. It stays in the network, so that it can be delivered again.
    pub(crate) fn deliver(&self, state: &mut State, envelope: Envelope) {
        let Envelope { from, incarnation, to, message } = envelope;
        let n = to.0;
        // The first message on a link announces the incarnation of the sender.
        if from != to {
            state.tables[n].record_incarnation(id(from), incarnation);
        }
        let link = LinkId(from.0 as u64 + 1);
        match message {
            Message::Claim(request) => self.deliver_claim(state, to, link, &request),
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
                    send(state, to, from, message);
                }
            }
            Message::Pull { round, from: position } => {
                let read = state.tables[n].page(NOW, id(from), round, position.as_ref(), &state.configs[n]);
                send(state, to, from, Message::Page(read.page));
            }
            // The model uses the requester's incarnation as the round, so that a page that an earlier
            // incarnation requested is ignored.
            Message::Page(page) if u64::from(page.round) == state.incarnations[n].0 => {
                self.deliver_page(state, from, to, page);
            }
            response if n < ATTEMPTS && response.is_response() => {
                self.deliver_response(state, from, incarnation, to, response);
            }
            _ => {}
        }
    }

    fn deliver_claim(&self, state: &mut State, to: Node, link: LinkId, request: &ClaimRequest) {
        let n = to.0;
        if self.mutant == Some(Mutant::VotesChange) {
            if let Some(vote) = state.tables[n].vote(&KEY) {
                state.tables[n].release(NOW, &KEY, vote);
            }
        }
        let configs = if self.mutant == Some(Mutant::NewestConfigAlone) {
            let newest = if request.config_versions.contains(&ConfigVersion(2)) {
                config(2, &[0, 1, 3])
            } else {
                config(1, &[0, 1, 2])
            };
            ActiveConfigs::new(id(to), newest)
        } else {
            state.configs[n].clone()
        };
        let outcome = state.tables[n].claim(NOW, link, request, &configs);
        apply_outcome(state, to, outcome);
    }

    fn deliver_page(&self, state: &mut State, from: Node, to: Node, page: Page) {
        let n = to.0;
        state.tables[n].merge_records(NOW, page.records);
        state.tables[n].record_sync(id(from), page.completeness);
        if self.mutant == Some(Mutant::CatchesUpWithOne) {
            for other in 0..NODES {
                state.tables[n].record_sync(id(Node(other)), Completeness::Complete);
            }
        }
    }

    fn deliver_response(
        &self,
        state: &mut State,
        from: Node,
        incarnation: Incarnation,
        to: Node,
        response: Message,
    ) {
        let response = self.interpret_response(response);
        let counts_any_incarnation = self.mutant == Some(Mutant::EarlierIncarnationsCount);
        let incarnation = if counts_any_incarnation { Incarnation(1) } else { incarnation };
        let responders: Vec<Node> = if self.counts_one_response_as_all(&response) {
            (0..NODES).map(Node).collect()
        } else {
            vec![from]
        };
        let mut actions = Vec::new();
        for responder in responders {
            let response = response.clone();
            state.claims[to.0].handle_response(NOW, id(responder), incarnation, response, &mut actions);
        }
        apply_actions(state, to, actions);
    }

    /// Returns the response as the node, or the mutant, interprets it.
    fn interpret_response(&self, response: Message) -> Message {
        match (self.mutant, response) {
            (Some(Mutant::UncertainIsGranted), Message::Uncertain { claim, .. })
            | (Some(Mutant::EarlierIncarnationsCount), Message::Granted { claim, .. }) => {
                Message::Granted { claim, incarnations: vec![] }
            }
            (_, response) => response,
        }
    }

    /// Whether the mutant counts the response of one replica as the response of all.
    fn counts_one_response_as_all(&self, response: &Message) -> bool {
        matches!(
            (self.mutant, response),
            (Some(Mutant::OneGrant), Message::Granted { .. })
                | (Some(Mutant::OneReplicaStores), Message::Stored { .. })
        )
    }
}

/// Adds a message of a node to the network.
fn send(state: &mut State, from: Node, to: Node, message: Message) {
    let incarnation = state.incarnations[from.0];
    state.net.insert(Envelope { from, incarnation, to, message });
}
