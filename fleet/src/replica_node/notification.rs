//! What operators are told of a node, as lines of its log.

use std::fmt;
use std::time::Duration;

use crate::ids::{ConfigVersion, Incarnation, NodeId};
use crate::membership::active_configs::ProposalError;
use crate::recovery::stages::Transition;
use crate::recovery::staleness::StatePosition;
use crate::replication::key_state::RunConflict;

/// Something that operators may want to know. It is displayed as the text of a log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notification {
    /// A majority of the members is heard: claims are made and granted.
    QuorumReached,
    /// The node was suspended, and acts on nothing that it heard before.
    Resumed {
        /// For how long.
        suspended_for: Duration,
    },
    /// The replica table is complete: the node can vote for every key.
    TableComplete {
        /// The number of keys in it.
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
        /// The latest position that is known.
        latest: StatePosition,
    },
    /// A configuration of the operators is active.
    ConfigAdopted(ConfigVersion),
    /// A configuration of the operators is rejected.
    ConfigRejected(ProposalError),
    /// A configuration that a peer has is active too.
    ConfigReceived(ConfigVersion),
    /// A configuration is retired.
    ConfigRetired(ConfigVersion),
    /// A peer has a configuration of the same version with another content.
    ConfigConflict {
        /// The peer.
        node: NodeId,
        /// The version.
        version: ConfigVersion,
    },
    /// Two runs of one key have completed.
    DuplicateRun(RunConflict),
    /// There is no capacity for all records of a donor.
    CapacityExceeded {
        /// The donor.
        donor: NodeId,
    },
    /// The node has entered another stage of its recovery.
    StageChanged(Transition),
    /// State was lost: the node can vote for every key once it has caught up, and at the latest after this.
    StateLost {
        /// The longest time until the table is complete.
        complete_within: Duration,
    },
}

impl fmt::Display for Notification {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notification::QuorumReached => {
                write!(f, "quorum reached: requests with idempotency keys run")
            }
            Notification::Resumed { suspended_for } => write!(
                f,
                "resumed after a suspension: suspended_ms={}: nothing with a key runs until a majority \
                 is heard again",
                suspended_for.as_millis()
            ),
            Notification::TableComplete { keys } => write!(f, "replica table complete: keys={keys}"),
            Notification::Superseded { incarnation } => write!(
                f,
                "superseded by another process under this name: incarnation={incarnation}: nothing with a \
                 key runs here"
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
                "a peer has another membership configuration of the same version: node={node} version={version}"
            ),
            Notification::DuplicateRun(RunConflict { retained, dropped }) => {
                write!(f, "conflict: a key ran twice: retained={} dropped={}", retained.claim, dropped.claim)
            }
            Notification::CapacityExceeded { donor } => {
                write!(f, "no capacity for all records of a donor: donor={donor}")
            }
            Notification::StageChanged(transition) => transition.fmt(f),
            Notification::StateLost { complete_within } => write!(
                f,
                "replica state lost: complete_within_s={:.1}: votes for a key once it has caught up \
                 with the key's other replicas",
                complete_within.as_secs_f64()
            ),
        }
    }
}
