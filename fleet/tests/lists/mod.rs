//! Lists for tests.

use std::sync::Arc;
use std::time::Duration;

use oakwind_fleet::membership_config::{Member, MembershipConfig, MembershipSpec};

/// The name of a node.
pub fn name(n: usize) -> String {
    format!("n{n}")
}

/// A list of these nodes with three copies, dealt out to so many zones.
pub fn list(number: u64, nodes: &[usize], zones: usize, window: Duration) -> Arc<MembershipConfig> {
    let members = nodes.iter().map(|n| Member {
        name: name(*n),
        address: ([127, 0, 0, 1], 7000 + *n as u16).into(),
        zone: format!("z{}", n % zones),
    });
    Arc::new(
        MembershipConfig::new(MembershipSpec { number, copies: 3, window, members: members.collect() })
            .unwrap(),
    )
}
