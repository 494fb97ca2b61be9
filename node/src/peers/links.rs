//! The table of links to peers. A node dials one link to each peer for its own requests and accepts one link
//! from each peer for the peer's requests. A response is sent on the link on which its request arrived.
//!
//! Guarantees: the numbers of dialed and of accepted links are bounded, and so is the output queue of each
//! link. If a peer reads so slowly that the queue of its link exceeds the bound, the link is closed. The
//! hello on the next dialed link reports to the peer that messages were lost.

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

/// Limit of the output queue of a link, in bytes.
const MAX_OUTPUT_BYTES: usize = 1024 * 1024;
/// Delay before a peer is dialed again after a first failure; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Upper limit of the delay before a peer is dialed again.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Limit of the counted failures, so that computing the backoff does not overflow.
const MAX_COUNTED_FAILURES: u32 = 10;

/// The process at the other end of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RemoteProcess {
    /// The node to which the process belongs.
    pub(crate) node: NodeId,
    /// The incarnation of the node in this process.
    pub(crate) incarnation: Incarnation,
}

/// A link whose peer is known, because this node dialed it or because it has identified itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct KnownLink {
    /// Identifies the link.
    pub(crate) link: LinkId,
    /// The node at the other end.
    pub(crate) node: NodeId,
}

/// A closed link that this node had dialed.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ClosedLink {
    /// The node that was dialed.
    pub(crate) node: NodeId,
    /// Whether the node had identified itself on the link.
    pub(crate) was_identified: bool,
}

/// There is no link to a peer, and none can be dialed now: the backoff has not elapsed, the limit of links is
/// reached or no address of the peer is known.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("no link to the peer is open and none can be dialed now")]
pub(crate) struct PeerUnreachable;

/// The table's entry for a link.
struct LinkState {
    output: Rc<OutputQueue>,
    /// The process at the other end, once it has identified itself.
    remote: Option<RemoteProcess>,
    /// The peer that this node dialed; none if the link was accepted.
    dialed: Option<NodeId>,
    last_used: UnixTime,
}

/// A link that this node dialed, ordered by the time of its last use and then by node.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DialedLink {
    last_used: UnixTime,
    node: NodeId,
    link: LinkId,
}

/// The failures to dial a peer and the end of the resulting backoff.
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
    /// Peers whose last dialed link was closed by an overflow; the hello on the next link reports it.
    overflowed: HashSet<NodeId>,
    /// Limit of the dialed links, and also of the accepted links.
    max_links: usize,
    events: mpsc::Sender<LinkEvent>,
    /// Counters shared by all links.
    pub(crate) metrics: Rc<LinkMetrics>,
}

impl LinkTable {
    /// Creates an empty table for at most `max_links` dialed links and as many accepted links.
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

    /// The number of dialed and accepted links, including links that are closing.
    pub(crate) fn len(&self) -> usize {
        self.links.len()
    }

    /// Sends a message to a node on the dialed link to the node. If there is none, dials `address` and sends
    /// `hello` as the first message.
    ///
    /// # Errors
    ///
    /// If there is no dialed link and none can be dialed now.
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

    /// Whether one more link may be dialed. At the limit, closes the least recently used dialed link to make
    /// room, unless that link was used within the identification timeout.
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

    /// Adds a connection from a peer. At the limit, closes the least recently used accepted link.
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

    /// Queues a message on a link, or drops it if the link is no longer in the table. Closes the link if its
    /// output queue exceeds the limit.
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

    /// Closes all accepted links.
    pub(crate) fn close_accepted(&mut self) {
        for state in self.links.values().filter(|state| state.dialed.is_none()) {
            state.output.close();
        }
    }

    /// The process at the other end of a link; none until it has identified itself.
    pub(crate) fn remote(&self, link: LinkId) -> Option<RemoteProcess> {
        self.links.get(&link)?.remote
    }

    /// The peer that this node dialed on a link; none if the link was accepted.
    pub(crate) fn dialed_node(&self, link: LinkId) -> Option<NodeId> {
        self.links.get(&link)?.dialed
    }

    /// Records which process is at the other end of a link, as given in its hello.
    pub(crate) fn identify(&mut self, link: LinkId, remote: RemoteProcess) {
        let Some(state) = self.links.get_mut(&link) else { return };
        state.remote = Some(remote);
        state.last_used = clock::now();
        if state.dialed.is_some() {
            self.backoffs.remove(&remote.node);
            return;
        }
        // A process that dials again has abandoned its earlier link, even if this end has not seen it close.
        for (other, state) in &self.links {
            if *other != link && state.dialed.is_none() && state.remote == Some(remote) {
                state.output.close();
            }
        }
    }

    /// All links whose peers are known.
    pub(crate) fn known_links(&self) -> Vec<KnownLink> {
        let known = self.links.iter().filter_map(|(link, state)| {
            let node = state.dialed.or(state.remote.map(|remote| remote.node))?;
            Some(KnownLink { link: *link, node })
        });
        known.collect()
    }

    /// Removes a link whose task has ended. Returns the link's peer if this node had dialed the link.
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

    /// Discards the backoff and the overflow mark of nodes that are not members.
    pub(crate) fn retain_nodes(&mut self, is_member: impl Fn(NodeId) -> bool) {
        self.backoffs.retain(|node, _| is_member(*node));
        self.overflowed.retain(|node| is_member(*node));
    }
}

#[cfg(test)]
mod tests;
