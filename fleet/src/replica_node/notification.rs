//! Notifications for operators, which are written to the node's log.

use std::fmt;
use std::time::Duration;

use crate::ids::{ConfigVersion, Incarnation, NodeId};
use crate::membership::active_configs::ProposalError;
use crate::recovery::stages::Transition;
use crate::recovery::staleness::StatePosition;
use crate::replication::key_state::RunConflict;

/// Notification for operators. Its `Display` form is the text of the log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notification {
    /// A majority of the members has been heard, so the node makes and grants claims.
    QuorumReached,
    /// The process was suspended. The node discards what it knew of its peers' liveness.
    Resumed {
        /// Time since the last event before the suspension.
        suspended_for: Duration,
    },
    /// The replica table is complete, so the node can vote for every key.
    TableComplete {
        /// The number of keys in the table.
        keys: usize,
    },
    /// Another process runs under the node's name.
    Superseded {
        /// The incarnation of that process.
        incarnation: Incarnation,
    },
    /// The state that the node restored is not the latest that is known of it, and counts as lost.
    StaleState {
        /// The position of the restored state.
        restored: StatePosition,
        /// The latest position that a peer knows.
        latest: StatePosition,
    },
    /// A configuration that operators proposed is now active.
    ConfigAdopted(ConfigVersion),
    /// A configuration that operators proposed was rejected.
    ConfigRejected(ProposalError),
    /// A configuration that was received from a peer is now active.
    ConfigReceived(ConfigVersion),
    /// The configurations up to this version are retired.
    ConfigRetired(ConfigVersion),
    /// A peer has a configuration with the version of an active one but different content.
    ConfigConflict {
        /// The peer.
        node: NodeId,
        /// The version of both configurations.
        version: ConfigVersion,
    },
    /// Two different runs of one key have completed.
    DuplicateRun(RunConflict),
    /// Records of a donor were dropped, because the replica table or an entry of it is full.
    CapacityExceeded {
        /// Node that sent the records.
        donor: NodeId,
    },
    /// The node's recovery has entered another stage.
    StageChanged(Transition),
    /// The node's replica state was lost, so it can't vote for every key until it has caught up.
    StateLost {
        /// The longest time until the replica table is complete.
        complete_within: Duration,
    },
}

impl fmt::Display for Notification {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notification::QuorumReached => {
                write!(f, "quorum reached: making and granting claims on idempotency keys")
            }
            Notification::Resumed { suspended_for } => write!(
                f,
                "resumed after a suspension: suspended_ms={}: rejecting requests with idempotency keys until \
                 a majority of the members is heard again",
                suspended_for.as_millis()
            ),
            Notification::TableComplete { keys } => write!(f, "replica table complete: keys={keys}"),
            Notification::Superseded { incarnation } => write!(
                f,
                "superseded by another process under this name: incarnation={incarnation}: rejecting \
                 requests with idempotency keys"
            ),
            Notification::StaleState { restored, latest } => {
                write!(f, "restored state is stale and counts as lost: restored={restored} latest={latest}")
            }
            Notification::ConfigAdopted(version) => {
                write!(f, "membership configuration adopted: version={version}")
            }
            Notification::ConfigRejected(error) => write!(f, "membership configuration rejected: {error}"),
            Notification::ConfigReceived(version) => {
                write!(f, "membership configuration received from a peer: version={version}")
            }
            Notification::ConfigRetired(version) => {
                write!(f, "membership configuration retired: version={version}")
            }
            Notification::ConfigConflict { node, version } => write!(
                f,
                "membership configuration conflicts with that of a peer: node={node} version={version}: \
                 granting no claims of this peer"
            ),
            Notification::DuplicateRun(RunConflict { retained, dropped }) => {
                write!(f, "duplicate run of a key: retained={} dropped={}", retained.claim, dropped.claim)
            }
            Notification::CapacityExceeded { donor } => {
                write!(f, "records of a donor dropped for lack of capacity: donor={donor}")
            }
            Notification::StageChanged(transition) => transition.fmt(f),
            Notification::StateLost { complete_within } => write!(
                f,
                "replica state lost: complete_within_s={:.1}: voting for a key once this node has caught up \
                 with the key's other replicas",
                complete_within.as_secs_f64()
            ),
        }
    }
}
