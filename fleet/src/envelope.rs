//! Messages together with their source or destination.

use crate::ids::{Incarnation, LinkId, NodeId};
use crate::message::Message;

/// A message that was received from a peer.
#[derive(Debug, Clone)]
pub struct ReceivedMessage {
    /// The link on which the message arrived.
    pub link: LinkId,
    /// The node that sent the message.
    pub from: NodeId,
    /// The incarnation that the peer's hello on this link announced.
    pub incarnation: Incarnation,
    /// The content.
    pub message: Message,
}

/// A message that is addressed to a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The destination.
    pub to: NodeId,
    /// The content.
    pub message: Message,
}

/// A message that is sent back on the link on which its request arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The link of the request.
    pub link: LinkId,
    /// The content.
    pub message: Message,
}
