//! The table of links with peers. A node dials one link to each peer for its own requests and accepts one from each for
//! theirs; a response travels on the link of its request.
//!
//! Guarantees: the number of links is bounded each way, and so are the bytes that wait to be written on one. A peer that
//! reads more slowly than it is sent to loses its link, and the next link tells it so.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oakwind_fleet::ids::{Incarnation, LinkId, NodeId};
use oakwind_fleet::message::Message;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use super::connection::{Connection, Origin, IDENTIFICATION_TIMEOUT};
use super::link::{increase, LinkEvent, LinkMetrics, OutputQueue};
use crate::clock::{self, UnixTime};
use crate::log;

/// Bytes that may wait to be written on a link.
const MAX_OUTPUT_BYTES: usize = 1024 * 1024;
/// A peer is not dialed again for so long after a failure, and for twice as long after each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// The longest that a peer is not dialed.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Failures beyond this do not lengthen the backoff, whose computation they might overflow.
const MAX_COUNTED_FAILURES: u32 = 10;

/// The process at the other end of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RemoteProcess {
    /// The node.
    pub(crate) node: NodeId,
    /// The incarnation of the node that the process is.
    pub(crate) incarnation: Incarnation,
}

/// A link and the node at its other end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct KnownLink {
    /// The link.
    pub(crate) link: LinkId,
    /// The node.
    pub(crate) node: NodeId,
}

/// A link that was closed, if this node had dialed it.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ClosedLink {
    /// The node that was dialed.
    pub(crate) node: NodeId,
    /// Whether that had identified itself.
    pub(crate) was_identified: bool,
}

/// The peer cannot be sent anything now.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("the peer cannot be reached now")]
pub(crate) struct PeerUnreachable;

/// A link of the table.
struct LinkState {
    output: Rc<OutputQueue>,
    /// The process at the other end, once it has identified itself.
    remote: Option<RemoteProcess>,
    /// The node that this node dialed; none if the link was accepted.
    dialed: Option<NodeId>,
    last_used: UnixTime,
}

/// A link that this node dialed. The least recently used one comes first in the order, and of several the one of the
/// lowest node.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DialedLink {
    last_used: UnixTime,
    node: NodeId,
    link: LinkId,
}

/// Why a peer is not dialed for a while.
#[derive(Default)]
struct DialBackoff {
    failures: u32,
    not_before: UnixTime,
}

/// All links of this node.
pub(crate) struct LinkTable {
    next_id: LinkId,
    links: HashMap<LinkId, LinkState>,
    dialed: HashMap<NodeId, LinkId>,
    backoffs: HashMap<NodeId, DialBackoff>,
    /// Peers whose last link overflowed, which their next link tells them.
    overflowed: HashSet<NodeId>,
    /// Limit of the links each way.
    max_links: usize,
    events: mpsc::Sender<LinkEvent>,
    /// Counters of all links.
    pub(crate) metrics: Rc<LinkMetrics>,
}

impl LinkTable {
    /// A table without links, for at most `max_links` each way.
    pub(crate) fn new(max_links: usize, events: mpsc::Sender<LinkEvent>) -> LinkTable {
        LinkTable {
            next_id: LinkId(1),
            links: HashMap::new(),
            dialed: HashMap::new(),
            backoffs: HashMap::new(),
            overflowed: HashSet::new(),
            max_links,
            events,
            metrics: Rc::default(),
        }
    }

    /// The number of links.
    pub(crate) fn len(&self) -> usize {
        self.links.len()
    }

    /// Sends a message to a node on the link that was dialed to it. Dials `address` if there is no link, with `hello` as the
    /// first message.
    ///
    /// # Errors
    ///
    /// If there is no link, and none can be dialed now.
    pub(crate) fn send(
        &mut self,
        node: NodeId,
        address: impl FnOnce() -> Option<SocketAddr>,
        hello: impl FnOnce() -> Message,
        message: &Message,
    ) -> Result<(), PeerUnreachable> {
        let link = match self.dialed.get(&node) {
            Some(link) => *link,
            None => self.dial(node, address, hello)?,
        };
        self.send_on(link, message);
        Ok(())
    }

    fn dial(
        &mut self,
        node: NodeId,
        address: impl FnOnce() -> Option<SocketAddr>,
        hello: impl FnOnce() -> Message,
    ) -> Result<LinkId, PeerUnreachable> {
        let now = clock::now();
        let backs_off = self.backoffs.get(&node).is_some_and(|backoff| now < backoff.not_before);
        if backs_off || !self.has_capacity_to_dial(now) {
            return Err(PeerUnreachable);
        }
        let address = address().ok_or(PeerUnreachable)?;
        let link = self.open(Origin::Dial(address), Some(node));
        self.dialed.insert(node, link);
        let mut hello = hello();
        if let Message::Hello(hello) = &mut hello {
            hello.link_cut = self.overflowed.remove(&node);
        }
        self.send_on(link, &hello);
        Ok(link)
    }

    /// Whether one more link may be dialed; at the limit the least recently used one is closed, unless that was used just
    /// now.
    fn has_capacity_to_dial(&mut self, now: UnixTime) -> bool {
        if self.dialed.len() < self.max_links {
            return true;
        }
        let Some(oldest) = self.least_recently_used_dialed() else { return false };
        if now < oldest.last_used + IDENTIFICATION_TIMEOUT {
            return false;
        }
        self.dialed.remove(&oldest.node);
        self.close(oldest.link);
        true
    }

    fn least_recently_used_dialed(&self) -> Option<DialedLink> {
        let dialed = self.dialed.iter().filter_map(|(node, link)| {
            let last_used = self.links.get(link)?.last_used;
            Some(DialedLink { last_used, node: *node, link: *link })
        });
        dialed.min()
    }

    /// Adds a connection that a peer has dialed; at the limit the least recently used one is closed.
    pub(crate) fn accept(&mut self, stream: TcpStream) {
        let accepted =
            || self.links.iter().filter(|(_, state)| state.dialed.is_none() && !state.output.is_closing());
        if accepted().count() >= self.max_links {
            let oldest = accepted().min_by_key(|(_, state)| state.last_used).map(|(link, _)| *link);
            oldest.into_iter().for_each(|link| self.close(link));
        }
        self.open(Origin::Accepted(stream), None);
    }

    fn open(&mut self, origin: Origin, dialed: Option<NodeId>) -> LinkId {
        let link = self.next_id;
        self.next_id = link.next();
        let output = OutputQueue::new();
        let state = LinkState { output: output.clone(), remote: None, dialed, last_used: clock::now() };
        self.links.insert(link, state);
        let connection =
            Connection { link, output, events: self.events.clone(), metrics: self.metrics.clone() };
        connection.spawn(origin);
        link
    }

    /// Sends a message on a link, unless that is closed.
    pub(crate) fn send_on(&mut self, link: LinkId, message: &Message) {
        let Some(state) = self.links.get_mut(&link) else { return };
        state.last_used = clock::now();
        let queued = state.output.push(message);
        increase(&self.metrics.messages_sent, 1);
        increase(&self.metrics.bytes_sent, queued.message_bytes);
        if queued.waiting_bytes > MAX_OUTPUT_BYTES {
            log!("fleet: link closed, its peer reads too slowly: waiting_bytes={}", queued.waiting_bytes);
            increase(&self.metrics.overflows, 1);
            self.overflowed.extend(state.dialed);
            self.close(link);
        }
    }

    /// Closes a link; a [`LinkEvent::Closed`] follows.
    pub(crate) fn close(&mut self, link: LinkId) {
        if let Some(state) = self.links.get(&link) {
            state.output.close();
        }
    }

    /// Closes all links that peers have dialed.
    pub(crate) fn close_accepted(&mut self) {
        for state in self.links.values().filter(|state| state.dialed.is_none()) {
            state.output.close();
        }
    }

    /// The process at the other end of a link, once it has identified itself.
    pub(crate) fn remote(&self, link: LinkId) -> Option<RemoteProcess> {
        self.links.get(&link)?.remote
    }

    /// The node that this node dialed on a link.
    pub(crate) fn dialed_node(&self, link: LinkId) -> Option<NodeId> {
        self.links.get(&link)?.dialed
    }

    /// The process at the other end of a link has identified itself.
    pub(crate) fn identify(&mut self, link: LinkId, remote: RemoteProcess) {
        let Some(state) = self.links.get_mut(&link) else { return };
        state.remote = Some(remote);
        state.last_used = clock::now();
        if state.dialed.is_some() {
            self.backoffs.remove(&remote.node);
            return;
        }
        // A process that dials again has given up the link that it had, whatever has become of that.
        for (other, state) in &self.links {
            if *other != link && state.dialed.is_none() && state.remote == Some(remote) {
                state.output.close();
            }
        }
    }

    /// The links whose other ends are known.
    pub(crate) fn known_links(&self) -> Vec<KnownLink> {
        let known = self.links.iter().filter_map(|(link, state)| {
            let node = state.dialed.or(state.remote.map(|remote| remote.node))?;
            Some(KnownLink { link: *link, node })
        });
        known.collect()
    }

    /// Removes a link that is closed; returns what it was if this node had dialed it.
    pub(crate) fn remove(&mut self, link: LinkId) -> Option<ClosedLink> {
        let state = self.links.remove(&link)?;
        let node = state.dialed?;
        if self.dialed.get(&node) == Some(&link) {
            self.dialed.remove(&node);
        }
        if state.remote.is_none() {
            self.back_off(node);
        }
        Some(ClosedLink { node, was_identified: state.remote.is_some() })
    }

    fn back_off(&mut self, node: NodeId) {
        let backoff = self.backoffs.entry(node).or_default();
        backoff.failures = (backoff.failures + 1).min(MAX_COUNTED_FAILURES);
        let delay = (INITIAL_BACKOFF * 2_u32.pow(backoff.failures - 1)).min(MAX_BACKOFF);
        backoff.not_before = clock::now() + delay;
    }

    /// Forgets how dialing went for all but these nodes.
    pub(crate) fn retain_nodes(&mut self, is_member: impl Fn(NodeId) -> bool) {
        self.backoffs.retain(|node, _| is_member(*node));
        self.overflowed.retain(|node| is_member(*node));
    }
}

#[cfg(test)]
mod tests;
