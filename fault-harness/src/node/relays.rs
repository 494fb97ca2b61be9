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

/// Relays for datagrams between a node and another one of its virtual router.
pub struct RouterRelays {
    /// The other node.
    pub peer: usize,
    /// To the node, from the other one.
    pub incoming: Relay,
    /// From the node, to the other one.
    pub outgoing: Relay,
}

/// Relays for connections between a node and another one that replicates.
pub struct PeerRelays {
    /// The other node.
    pub peer: usize,
    /// For the connections that the node opens.
    pub opened_here: Relay,
    /// For the connections that the other node opens.
    pub opened_by_peer: Relay,
}
