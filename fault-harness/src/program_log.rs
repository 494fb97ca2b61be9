//! Parser for the log lines of the node program that the harness evaluates. Plays that compare builds also
//! run older releases, so each event is recognized by its text in every release.

use std::net::SocketAddr;

/// Text before the address at which JSON-RPC is served, by release, the newest first.
const JSONRPC_ADDRESS: [&str; 2] =
    ["frontend: listening: protocol=JSON-RPC address=", "JSON-RPC is served at "];
/// Text of the line after which the node can vote on every key, by release, the newest first.
const READY_TO_VOTE: [&str; 2] = ["fleet: replica table complete", "fleet: has what it needs to vote"];
/// Text before a change of the node's role in the virtual router, by release, the newest first.
const ROUTER_ROLE: [&str; 2] = ["vrrp: role changed: ", "vrrp "];
/// Prefix of the messages of the component `fleet`.
const FLEET: &str = " fleet: ";

/// The events that a log line reports; all fields are empty for other lines.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LogLine {
    /// The address at which JSON-RPC is served from now on.
    pub serving_at: Option<SocketAddr>,
    /// Whether the node reports that it can vote on every key from now on.
    pub ready_to_vote: bool,
    /// Whether the new role in the virtual router is the active one; absent if the line reports no role.
    pub router_active: Option<bool>,
    /// The message, if it is one of the component `fleet`.
    pub fleet: Option<String>,
}

impl LogLine {
    /// Parses a log line.
    pub fn parse(line: &str) -> LogLine {
        let address = JSONRPC_ADDRESS.iter().find_map(|prefix| line.split_once(prefix));
        let has_role = ROUTER_ROLE.iter().any(|prefix| line.contains(prefix));
        LogLine {
            serving_at: address.and_then(|(_, address)| address.trim().parse().ok()),
            ready_to_vote: READY_TO_VOTE.iter().any(|message| line.contains(message)),
            router_active: has_role.then(|| line.ends_with("Active")),
            fleet: line.split_once(FLEET).map(|(_, text)| text.to_owned()),
        }
    }
}

#[cfg(test)]
mod tests;
