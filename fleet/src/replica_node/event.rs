//! Settings, input events and output actions of a node's state machine.

use std::sync::Arc;
use std::time::Duration;

use super::notification::Notification;
use crate::claims::coordinator::{AttemptId, ClaimOutcome, RunRequest};
use crate::envelope::ReceivedMessage;
use crate::ids::{Incarnation, LinkId, NodeId};
use crate::membership::config::MembershipConfig;
use crate::message::Message;
use crate::recovery::stages::Permissions;
use crate::recovery::staleness::StatePosition;
use crate::replication::key_state::{Key, RunResult};
use crate::replication::replica_table::StoredRecord;
use crate::Time;

/// Settings with which a node starts.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The node's name, which is unique in the fleet.
    pub name: String,
    /// The node's incarnation, higher than all earlier ones as far as is known.
    pub incarnation: Incarnation,
    /// Seed of the node's random numbers.
    pub seed: u64,
    /// Maximum memory use of the node's replica of the key table, in bytes.
    pub max_table_bytes: usize,
    /// Maximum rate of state transfers, in bytes per second; applies to sending and receiving separately.
    pub transfer_bytes_per_s: u64,
    /// Interval between two probes.
    pub probe_period: Duration,
    /// The state that the node stored in its last incarnation; `None` if it is lost or was never stored.
    pub restored: Option<RestoredState>,
    /// Whether changes are stored on disk before the responses that depend on them are sent.
    pub is_durable: bool,
}

/// The state that a node stored in its last incarnation.
#[derive(Debug, Clone)]
pub struct RestoredState {
    /// The stored records, in any order.
    pub records: Vec<StoredRecord>,
    /// The node's position when the last record was stored.
    pub position: StatePosition,
}

/// Sequence number of a change that is stored on disk.
pub type StoreSequence = u64;

/// Input to a node's state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// An attempt asks for permission to run.
    RunRequested(RunRequest),
    /// The run of an attempt has completed with this result.
    RunCompleted(AttemptId, RunResult),
    /// The run of an attempt has not started and never will.
    RunCancelled(AttemptId),
    /// A peer has sent a message.
    MessageReceived(ReceivedMessage),
    /// A peer cannot be reached: there is no link to it, and none could be opened.
    PeerUnreachable(NodeId),
    /// The link to a peer broke, and messages in transit are lost.
    LinkBroken(NodeId),
    /// Operators have proposed a membership configuration.
    ConfigProposed(Arc<MembershipConfig>),
    /// A change was stored on disk, or could not be stored.
    StoreFinished {
        /// Sequence number of the change.
        sequence: StoreSequence,
        /// Whether the change was stored.
        stored: bool,
    },
    /// A successor process takes over this node. This process grants no further claims.
    Deactivated,
    /// The other process of this node has exited or handed back the node. This process begins an incarnation
    /// with at least this number.
    Activated(Incarnation),
    /// Whether a predecessor process may still have runs in progress.
    PredecessorAlive(bool),
    /// The backend has started.
    BackendStarted {
        /// When the backend's cores are warm; `None` if they did not start cold.
        warm_at: Option<Time>,
    },
    /// Triggers periodic work; sent at least every [`TICK_INTERVAL`](super::TICK_INTERVAL).
    Tick,
}

/// Output of a node's state machine, which the caller must carry out.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send the message to the node.
    Send(NodeId, Message),
    /// Send the response on the link on which the request was received; dropped if the link is closed.
    Respond(LinkId, Message),
    /// Notify the attempt of the outcome of its claim.
    NotifyAttempt(AttemptId, ClaimOutcome),
    /// Store the record of a key on disk, and report the end with [`Event::StoreFinished`].
    Store {
        /// Sequence number of the change.
        sequence: StoreSequence,
        /// Key whose record changes.
        key: Key,
        /// The record to store; `None` if the key is to be removed.
        record: Option<StoredRecord>,
    },
    /// Send a new [`Message::Hello`] on every link, because its content has changed.
    SendHello,
    /// Apply the permissions of the recovery stage that the node has entered.
    SetPermissions(Permissions),
    /// Log the notification for operators.
    Notify(Notification),
}
