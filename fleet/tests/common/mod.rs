//! Node names and membership configurations for the model and the simulation.

use std::sync::Arc;
use std::time::Duration;

use oakwind_fleet::ids::ConfigVersion;
use oakwind_fleet::membership::config::{Member, MembershipConfig, MembershipSpec};

/// Returns the name of the node with this number.
pub(crate) fn name(n: usize) -> String {
    format!("n{n}")
}

/// Returns a configuration of these nodes, distributed over this many zones, with three replicas of each key.
pub(crate) fn config(version: u64, nodes: &[usize], zones: usize, window: Duration) -> Arc<MembershipConfig> {
    let members = nodes.iter().map(|n| Member {
        name: name(*n),
        address: ([127, 0, 0, 1], 7000 + *n as u16).into(),
        zone: format!("z{}", n % zones),
    });
    let spec =
        MembershipSpec { version: ConfigVersion(version), replicas: 3, window, members: members.collect() };
    Arc::new(MembershipConfig::new(spec).unwrap())
}
