//! Helpers for the unit tests: node ids, times and membership configurations.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{ConfigVersion, NodeId};
use crate::membership::config::{Member, MembershipConfig, MembershipSpec};
use crate::Time;

/// The id of the node with this number.
pub(crate) fn id(n: usize) -> NodeId {
    NodeId::of(&format!("n{n}"))
}

/// A point in time, in milliseconds.
pub(crate) fn at(millis: u64) -> Time {
    Duration::from_millis(millis)
}

/// A configuration of the nodes with these numbers, distributed over this many zones, with three replicas of
/// each key and a window of 10 s.
pub(crate) fn spec(version: u64, nodes: &[usize], zones: usize) -> MembershipSpec {
    let members = nodes.iter().map(|n| Member {
        name: format!("n{n}"),
        address: SocketAddr::from(([127, 0, 0, 1], 7000 + *n as u16)),
        zone: format!("z{}", n % zones),
    });
    MembershipSpec {
        version: ConfigVersion(version),
        replicas: 3,
        window: Duration::from_secs(10),
        members: members.collect(),
    }
}

/// The validated configuration of [`spec`].
pub(crate) fn config(version: u64, nodes: &[usize], zones: usize) -> MembershipConfig {
    MembershipConfig::new(spec(version, nodes, zones)).unwrap()
}
