//! Identifiers of nodes, their incarnations, membership configurations and links.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::digest::{digest, DigestKind};

/// A node, identified by a digest of its name. Every node and every build computes the same value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u64);

impl NodeId {
    /// Returns the id of the node with this name.
    pub fn of(name: &str) -> NodeId {
        NodeId(digest(DigestKind::NodeName, name.as_bytes()))
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Number of a lifetime of a node's replica state. A node begins a higher incarnation when it starts or loses
/// its state; grants from an earlier incarnation no longer count.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Returns the incarnation that follows this one.
    pub fn next(self) -> Incarnation {
        Incarnation(self.0 + 1)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Version of a membership configuration. Operators increase it with every change; 0 means that there is no
/// configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Number that the I/O layer assigns to a connection to a peer. A response is sent on the link on which its
/// request arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

impl LinkId {
    /// The link of a node to itself. The I/O layer numbers connections from 1.
    pub const LOOPBACK: LinkId = LinkId(0);

    /// Returns the id of the connection that is opened after this one.
    pub fn next(self) -> LinkId {
        LinkId(self.0 + 1)
    }
}
