//! The relays that the traffic of a node passes through.

use crate::relay::Relay;

/// Relays to services and frontends.
pub struct ServiceRelays {
    /// To its interpreter.
    pub interpreter: Relay,
    /// To the dependency.
    pub dependency: Relay,
    /// To the membership service.
    pub registry: Relay,
    /// From each frontend.
    pub frontends: Vec<Relay>,
}

/// Relays between a node and another one.
pub struct PeerRelays {
    /// The other node.
    pub peer: usize,
    /// For what the node sends: its datagrams, or the connections that it opens.
    pub outgoing: Relay,
    /// For what the other node sends: its datagrams, or the connections that it opens.
    pub incoming: Relay,
}
