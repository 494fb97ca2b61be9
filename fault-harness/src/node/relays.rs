//! The relays that the traffic of a node passes through.

use crate::relay::Relay;

/// The relays between a node and its services and frontends.
pub struct ServiceRelays {
    /// The relay to its interpreter.
    pub interpreter: Relay,
    /// The relay to the dependency.
    pub dependency: Relay,
    /// The relay to the registry.
    pub registry: Relay,
    /// The relay from each frontend, by the frontend's position.
    pub frontends: Vec<Relay>,
}

/// The relays between a node and one of its peers.
pub struct PeerRelays {
    /// Position of the peer.
    pub peer: usize,
    /// The relay for the datagrams that the node sends, or the connections that it opens.
    pub outgoing: Relay,
    /// The relay for the datagrams that the peer sends, or the connections that it opens.
    pub incoming: Relay,
}
