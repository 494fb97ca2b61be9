//! What operators are told of a node, as lines of its log.

use std::fmt;
use std::time::Duration;

use crate::active_configs::ProposalError;
use crate::ids::{ConfigVersion, Incarnation, NodeId};
use crate::key_state::{ClaimId, RunConflict};
use crate::recovery_stages::Transition;
use crate::staleness::StatePosition;

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

/// A claim as log lines name it: node, incarnation and number.
struct ClaimName(ClaimId);

impl fmt::Display for ClaimName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ClaimId { node, incarnation, number } = self.0;
        write!(f, "{node}/{incarnation}/{number}")
    }
}

impl fmt::Display for Notification {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notification::QuorumReached => write!(f, "a majority is heard, bookings run"),
            Notification::Resumed { suspended_for } => write!(
                f,
                "stood still for {} ms, nothing runs until a majority is heard again",
                suspended_for.as_millis()
            ),
            Notification::TableComplete { keys } => {
                write!(f, "has what it needs to vote, {keys} keys are known")
            }
            Notification::Superseded { incarnation } => write!(
                f,
                "another process has this name (life {incarnation}), nothing that has a key runs here"
            ),
            Notification::StaleState { restored, latest } => write!(
                f,
                "what it kept ends at life {}, second {}, and others know of life {}, second {}: an old copy, which \
                 counts as lost",
                restored.incarnation, restored.uptime_seconds, latest.incarnation, latest.uptime_seconds
            ),
            Notification::ConfigAdopted(version) => write!(f, "list {version} is taken"),
            Notification::ConfigRejected(error) => write!(f, "list not taken: {error}"),
            Notification::ConfigReceived(version) => {
                write!(f, "a peer goes by list {version}, which counts too")
            }
            Notification::ConfigRetired(version) => write!(f, "list {version} is over"),
            Notification::ConfigConflict { node, version } => {
                write!(f, "node {node} has another list {version}; it is not heard")
            }
            Notification::DuplicateRun(RunConflict { kept, dropped }) => write!(
                f,
                "conflict: a key ran twice, by {} and by {}; the first stands",
                ClaimName(kept.claim),
                ClaimName(dropped.claim)
            ),
            Notification::CapacityExceeded { donor } => {
                write!(f, "no room for all that node {donor} holds, so no vote for a window")
            }
            Notification::StageChanged(transition) => transition.fmt(f),
            Notification::StateLost { complete_within } => write!(
                f,
                "what it granted before is lost: it votes for a key once it has caught up with its other copies, and \
                 for all in {:.1} s, when nothing from before can come again",
                complete_within.as_secs_f64()
            ),
        }
    }
}
