//! Identifiers that nodes exchange: nodes, their incarnations, versions of the membership configuration and
//! links.

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

/// One lifetime of a node's replica state. A node that starts, or loses its state, begins a higher
/// incarnation; grants of an earlier one no longer count.
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

/// The version of a membership configuration. Operators raise it with every change; 0 stands for no
/// configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A connection to a peer, as the I/O layer numbers it. A response goes back on the link that its request
/// came by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

impl LinkId {
    /// The link of a node with itself; the I/O layer numbers connections from 1.
    pub const LOOPBACK: LinkId = LinkId(0);

    /// Returns the number of the next connection.
    pub fn next(self) -> LinkId {
        LinkId(self.0 + 1)
    }
}
