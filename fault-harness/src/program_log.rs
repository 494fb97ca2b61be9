//! What the harness reads from the log of a program. Plays that compare builds run older ones as well, so each event is
//! known by the words of every release.

use std::net::SocketAddr;

/// Before the address at which JSON-RPC is served.
const JSONRPC_ADDRESS: [&str; 2] =
    ["frontend: listening: protocol=JSON-RPC address=", "JSON-RPC is served at "];
/// The node's votes are complete for every key.
const READY_TO_VOTE: [&str; 2] = ["fleet: replica table complete", "fleet: has what it needs to vote"];
/// Before a change of the virtual router's role.
const ROUTER_ROLE: [&str; 2] = ["vrrp: role changed: ", "vrrp "];
/// Before everything about the fleet.
const FLEET: &str = " fleet: ";

/// The event that a line of a log reports, if it is one that matters here.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LogLine {
    /// JSON-RPC is served at this address.
    pub serving_at: Option<SocketAddr>,
    /// The node's votes are complete from now on.
    pub ready_to_vote: bool,
    /// Whether the node has the active role of its virtual router from now on.
    pub router_active: Option<bool>,
    /// A message of the component `fleet`.
    pub fleet: Option<String>,
}

impl LogLine {
    /// Reads a line.
    pub fn parse(line: &str) -> LogLine {
        let address = JSONRPC_ADDRESS.iter().find_map(|before| line.split_once(before));
        let has_role = ROUTER_ROLE.iter().any(|before| line.contains(before));
        LogLine {
            serving_at: address.and_then(|(_, address)| address.trim().parse().ok()),
            ready_to_vote: READY_TO_VOTE.iter().any(|words| line.contains(words)),
            router_active: has_role.then(|| line.ends_with("Active")),
            fleet: line.split_once(FLEET).map(|(_, text)| text.to_owned()),
        }
    }
}

#[cfg(test)]
mod tests;
