//! Hosts a replica node: converts what its links report into events of the node, and carries out the node's
//! actions.

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

/// A replica node with its links and its completeness marker.
pub(super) struct ReplicaHost {
    node: ReplicaNode,
    links: LinkTable,
    clock: MonotonicClock,
    /// The completeness marker of the vote store; none if no vote store is configured.
    marker: Option<CompletenessMarker>,
    /// Events that resulted from carrying out actions and are not handled yet.
    pending_events: VecDeque<Event>,
    /// Responses that the driver has not collected yet.
    responses: Vec<ClaimResponse>,
    /// Whether this process accepts links; false after a successor has taken over.
    accepts_links: bool,
    /// Whether the node is recovering, if that has changed and the driver has not collected the change yet.
    recovering_change: Option<bool>,
}

impl ReplicaHost {
    /// Creates a host that accepts links.
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

    /// Whether this process accepts links; false after a successor has taken over.
    pub(super) fn accepts_links(&self) -> bool {
        self.accepts_links
    }

    /// Adds a connection from a peer as a link.
    pub(super) fn accept(&mut self, stream: TcpStream) {
        self.links.accept(stream);
    }

    /// Removes and returns the responses since the last call.
    pub(super) fn drain_responses(&mut self) -> Vec<ClaimResponse> {
        std::mem::take(&mut self.responses)
    }

    /// Whether the node is recovering, if that has changed since the last call.
    pub(super) fn drain_recovering_change(&mut self) -> Option<bool> {
        self.recovering_change.take()
    }

    /// Copies the current counters and gauges into the metrics.
    pub(super) fn update_metrics(&self, metrics: &PeerMetrics) {
        metrics.update(&self.node, &self.links, self.clock.now());
    }

    /// Writes the position that this process has reached to the marker.
    pub(super) fn advance_marker(&mut self) {
        let position = self.node.position();
        if let Some(marker) = &mut self.marker {
            marker.advance(position);
        }
    }

    /// Stops writing the marker, as another process now writes it.
    pub(super) fn release_marker(&mut self) {
        if let Some(marker) = &mut self.marker {
            marker.release();
        }
    }

    /// Converts an event of a link to an event of the node; none if the event does not concern the node, such
    /// as an invalid hello or the end of an accepted link.
    pub(super) fn on_link_event(&mut self, event: LinkEvent) -> Option<Event> {
        match event {
            LinkEvent::Received { link, message } => self.on_message(link, message),
            LinkEvent::Closed(link) => {
                let ClosedLink { node, was_identified } = self.links.remove(link)?;
                // The peer may have received messages on an identified link. Without identification it was
                // not reached.
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
            log!("fleet: link closed, its peer sent invalid data: error=the first message is not a hello");
            self.links.close(link);
            return None;
        };
        Some(Event::MessageReceived(ReceivedMessage { link, from, incarnation, message }))
    }

    /// Handles the hello of a link's peer. Returns false and closes the link if the peer is not a member, or
    /// if it expects another node at this end.
    fn identify(&mut self, link: LinkId, hello: &Hello) -> bool {
        let node = NodeId::of(&hello.name);
        if !self.is_expected(link, node, hello) {
            log!(
                "fleet: link closed, its peer is not a member or expects another node: name={:?}",
                hello.name
            );
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
        // A peer with a newer configuration may be a member in that configuration, which this node does not
        // know yet.
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

    /// Passes an event to the node and carries out the resulting actions, and likewise for the events that
    /// result from these actions, until none is left.
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
        // The newest configuration that contains the node has its current address.
        let address = || {
            let members = configs.iter().rev().filter_map(|config| config.member(to));
            members.map(|member| member.address).next()
        };
        let sent = links.send(to, address, || Message::Hello(node.hello(to)), message);
        // One event is enough for all messages to a node that fail in one batch of actions.
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

    /// Writes the record of a key to the vote store. If it cannot be written, the failure is reported to the
    /// node at once.
    fn store(
        &mut self,
        sequence: StoreSequence,
        key: Key,
        record: Option<&StoredRecord>,
        store: Option<&ResultStore>,
    ) {
        let writer = store.and_then(|store| store.writer.as_ref());
        // The lower 32 bits identify the write, as never that many writes are pending at the same time.
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
        // The log limits the lines per second of each call site. Stage changes have their own call site, so
        // that they do not cause other notifications to be suppressed.
        match notification {
            Notification::StageChanged(transition) => log!("fleet: recovery: {transition}"),
            notification => log!("fleet: {notification}"),
        }
    }
}
