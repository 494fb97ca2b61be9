//! Messages together with where they come from or go to.

use crate::ids::{Incarnation, LinkId, NodeId};
use crate::message::Message;

/// A message that a peer has sent.
#[derive(Debug, Clone)]
pub struct ReceivedMessage {
    /// The link that it came by.
    pub link: LinkId,
    /// The peer.
    pub from: NodeId,
    /// The incarnation that the peer introduced itself with on the link.
    pub incarnation: Incarnation,
    /// The message.
    pub message: Message,
}

/// A message to a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The node.
    pub to: NodeId,
    /// The message.
    pub message: Message,
}

/// A message that goes back on the link that a request came by.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The link.
    pub link: LinkId,
    /// The message.
    pub message: Message,
}
