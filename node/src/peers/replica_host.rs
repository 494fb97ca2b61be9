//! A replica node with its links: what links report becomes events of the node, and the node's actions are carried out.

use std::collections::VecDeque;

use oakwind_admission::RequestId;
use oakwind_fleet::envelope::ReceivedMessage;
use oakwind_fleet::ids::{LinkId, NodeId};
use oakwind_fleet::message::{Hello, Message};
use oakwind_fleet::replica_node::{Action, Event, Notification, ReplicaNode, StoreSequence};
use oakwind_fleet::replication::key_state::Key;
use oakwind_fleet::replication::replica_table::StoredRecord;
use tokio::net::TcpStream;

use super::claim::{request_of, ClaimResponse};
use super::completeness_marker::CompletenessMarker;
use super::link::LinkEvent;
use super::links::{ClosedLink, KnownLink, LinkTable, RemoteProcess};
use super::metrics::PeerMetrics;
use super::monotonic_clock::MonotonicClock;
use super::vote_store::vote_record;
use crate::log;
use crate::result_store::ResultStore;

/// A replica node, its links and its marker.
pub(super) struct ReplicaHost {
    node: ReplicaNode,
    links: LinkTable,
    clock: MonotonicClock,
    /// Says in the folder of votes whether that is complete.
    marker: Option<CompletenessMarker>,
    /// Events that follow from what was done.
    pending_events: VecDeque<Event>,
    /// Responses that are to be reported.
    responses: Vec<ClaimResponse>,
    /// Whether peers may dial this process.
    accepts_links: bool,
    /// Whether the node is recovering, if that has changed and is to be reported.
    recovering_change: Option<bool>,
}

impl ReplicaHost {
    /// A host whose peers may dial it.
    pub(super) fn new(
        node: ReplicaNode,
        links: LinkTable,
        clock: MonotonicClock,
        marker: Option<CompletenessMarker>,
    ) -> ReplicaHost {
        ReplicaHost {
            node,
            links,
            clock,
            marker,
            pending_events: VecDeque::new(),
            responses: Vec::new(),
            accepts_links: true,
            recovering_change: None,
        }
    }

    /// Whether peers may dial this process.
    pub(super) fn accepts_links(&self) -> bool {
        self.accepts_links
    }

    /// Adds a link that a peer has dialed.
    pub(super) fn accept(&mut self, stream: TcpStream) {
        self.links.accept(stream);
    }

    /// The responses since the last call.
    pub(super) fn drain_responses(&mut self) -> Vec<ClaimResponse> {
        std::mem::take(&mut self.responses)
    }

    /// Whether the node is recovering, if that has changed since the last call.
    pub(super) fn drain_recovering_change(&mut self) -> Option<bool> {
        self.recovering_change.take()
    }

    /// Has the metrics show this moment.
    pub(super) fn update_metrics(&self, metrics: &PeerMetrics) {
        metrics.update(&self.node, &self.links, self.clock.now());
    }

    /// Writes to the marker which position this process has reached.
    pub(super) fn advance_marker(&mut self) {
        let position = self.node.position();
        if let Some(marker) = &mut self.marker {
            marker.advance(position);
        }
    }

    /// Leaves the marker to another process.
    pub(super) fn release_marker(&mut self) {
        if let Some(marker) = &mut self.marker {
            marker.release();
        }
    }

    /// What a link reports, as an event of the node; none if the link's peer has to identify itself first.
    pub(super) fn on_link_event(&mut self, event: LinkEvent) -> Option<Event> {
        match event {
            LinkEvent::Received { link, message } => self.on_message(link, message),
            LinkEvent::Closed(link) => {
                let ClosedLink { node, was_identified } = self.links.remove(link)?;
                // Messages that were on an identified link may have arrived.
                Some(if was_identified { Event::LinkBroken(node) } else { Event::PeerUnreachable(node) })
            }
        }
    }

    fn on_message(&mut self, link: LinkId, message: Message) -> Option<Event> {
        if let Message::Hello(hello) = &message {
            if !self.identify(link, hello) {
                return None;
            }
        }
        let Some(RemoteProcess { node: from, incarnation }) = self.links.remote(link) else {
            log!("fleet: link closed, its peer sent invalid data: error=the first message is no hello");
            self.links.close(link);
            return None;
        };
        Some(Event::MessageReceived(ReceivedMessage { link, from, incarnation, message }))
    }

    /// The peer of a link says who it is. Returns false and closes the link if that is no member, or the peer takes this
    /// node for another one.
    fn identify(&mut self, link: LinkId, hello: &Hello) -> bool {
        let node = NodeId::of(&hello.name);
        if !self.is_expected(link, node, hello) {
            log!("fleet: link closed, not a member or meant for another node: name={:?}", hello.name);
            self.links.close(link);
            return false;
        }
        let is_first = self.links.remote(link).is_none();
        self.links.identify(link, RemoteProcess { node, incarnation: hello.incarnation });
        if is_first && self.links.dialed_node(link).is_none() {
            self.send_hello(link, node);
        }
        true
    }

    fn is_expected(&self, link: LinkId, node: NodeId, hello: &Hello) -> bool {
        let newest = self.node.configs().newest().version();
        // A peer with a newer configuration may be a member by that one.
        let has_newer = hello.configs.last().is_some_and(|signature| signature.version > newest);
        let is_member = self.node.configs().all_members().contains(&node);
        let is_for_this_node = hello.to == self.node.id() && node != self.node.id();
        let is_dialed = self.links.dialed_node(link).is_none_or(|dialed| dialed == node);
        (is_member || has_newer) && is_for_this_node && is_dialed
    }

    fn send_hello(&mut self, link: LinkId, node: NodeId) {
        let hello = Message::Hello(self.node.hello(node));
        self.links.send_on(link, &hello);
    }

    /// Gives an event to the node and carries out the actions that follow, until nothing more follows from them.
    pub(super) fn handle(&mut self, event: Event, store: Option<&ResultStore>) {
        match &event {
            Event::Deactivated => {
                self.accepts_links = false;
                self.links.close_accepted();
            }
            Event::Activated(_) => self.accepts_links = true,
            _ => {}
        }
        self.pending_events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = self.pending_events.pop_front() {
            self.node.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action, store);
            }
        }
    }

    fn perform(&mut self, action: Action, store: Option<&ResultStore>) {
        match action {
            Action::Send(node, message) => self.send(node, &message),
            Action::Respond(link, message) => self.links.send_on(link, &message),
            Action::NotifyAttempt(attempt, outcome) => {
                self.responses.push(ClaimResponse { id: request_of(attempt), outcome });
            }
            Action::Store { sequence, key, record } => self.store(sequence, key, record.as_ref(), store),
            Action::SendHello => self.send_hello_on_all_links(),
            Action::SetPermissions(permissions) => {
                self.recovering_change = Some(!permissions.accept_clients);
            }
            Action::Notify(notification) => self.notify(&notification),
        }
    }

    fn send(&mut self, to: NodeId, message: &Message) {
        let ReplicaHost { node, links, .. } = self;
        let configs = node.configs();
        // The newest configuration has the address that holds.
        let address = || {
            let members = configs.iter().rev().filter_map(|config| config.member(to));
            members.map(|member| member.address).next()
        };
        let sent = links.send(to, address, || Message::Hello(node.hello(to)), message);
        // One event is enough for all messages of one batch.
        let is_reported = |event: &Event| matches!(event, Event::PeerUnreachable(node) if *node == to);
        if sent.is_err() && !self.pending_events.iter().any(is_reported) {
            self.pending_events.push_back(Event::PeerUnreachable(to));
        }
    }

    fn send_hello_on_all_links(&mut self) {
        for KnownLink { link, node } in self.links.known_links() {
            self.send_hello(link, node);
        }
        let members = self.node.configs().all_members();
        self.links.retain_nodes(|node| members.contains(&node));
    }

    /// Stores what is known of a key. Where that is not possible, the node gets the failure at once.
    fn store(
        &mut self,
        sequence: StoreSequence,
        key: Key,
        record: Option<&StoredRecord>,
        store: Option<&ResultStore>,
    ) {
        let writer = store.and_then(|store| store.writer.as_ref());
        // The sequence comes back as it went: so many writes are never pending.
        let request = RequestId((sequence & u64::from(u32::MAX)) as u32);
        if !writer.is_some_and(|writer| writer.write(request, vote_record(key, record))) {
            self.pending_events.push_back(Event::StoreFinished { sequence, stored: false });
        }
    }

    fn notify(&mut self, notification: &Notification) {
        let position = self.node.position();
        if let Some(marker) = &mut self.marker {
            match notification {
                Notification::TableComplete { .. } => marker.set_complete(position),
                Notification::StaleState { .. } => marker.invalidate(),
                _ => {}
            }
        }
        // Each place in the code may log a few lines a second: stage changes have one of their own, so that they do not
        // suppress the others.
        match notification {
            Notification::StageChanged(transition) => log!("fleet: recovery: {transition}"),
            notification => log!("fleet: {notification}"),
        }
    }
}
