//! What goes into a node's state machine, and what comes out.

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

/// How a node starts.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its name.
    pub name: String,
    /// Its incarnation; higher than all before it, as far as is known.
    pub incarnation: Incarnation,
    /// The seed of its random numbers.
    pub seed: u64,
    /// The most memory that its replica of the key table may take, in bytes.
    pub max_table_bytes: usize,
    /// The most bytes per second that it sends, and receives, in state transfers.
    pub transfer_bytes_per_s: u64,
    /// The interval between two probes.
    pub probe_period: Duration,
    /// The state that it stored in its last incarnation; none if that is lost or was never stored.
    pub restored: Option<RestoredState>,
    /// Whether changes are stored before responses are sent.
    pub is_durable: bool,
}

/// The state that a node stored in its last incarnation.
#[derive(Debug, Clone)]
pub struct RestoredState {
    /// The records.
    pub records: Vec<StoredRecord>,
    /// The position at which the last of them was stored.
    pub position: StatePosition,
}

/// The number of a change that is being stored, in order.
pub type StoreSequence = u64;

/// What happens to a node.
#[derive(Debug, Clone)]
pub enum Event {
    /// An attempt asks for permission to run.
    RunRequested(RunRequest),
    /// The run of an attempt has completed.
    RunCompleted(AttemptId, RunResult),
    /// The run of an attempt never started and never will.
    RunCancelled(AttemptId),
    /// A peer has sent a message.
    MessageReceived(ReceivedMessage),
    /// A peer can't be reached now.
    PeerUnreachable(NodeId),
    /// The link to a peer broke, with the messages that were on it.
    LinkBroken(NodeId),
    /// Operators propose a configuration.
    ConfigProposed(Arc<MembershipConfig>),
    /// A change is stored, or could not be.
    StoreFinished {
        /// The change.
        sequence: StoreSequence,
        /// Whether it is stored.
        stored: bool,
    },
    /// A successor process takes over this node: this one grants nothing more.
    Deactivated,
    /// The other process of this node has exited or let go: this one begins at least this incarnation.
    Activated(Incarnation),
    /// Whether a predecessor process may still run what it started.
    PredecessorAlive(bool),
    /// The backend runs requests.
    BackendStarted {
        /// When its cores are warm, if they started cold.
        warm_at: Option<Time>,
    },
    /// Time passes.
    Tick,
}

/// What is to be done.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send a message to a node.
    Send(NodeId, Message),
    /// Send a response on the link that the request came by; nothing if the link is closed.
    Respond(LinkId, Message),
    /// Notify an attempt.
    NotifyAttempt(AttemptId, ClaimOutcome),
    /// Store what is known of a key, and report it by [`Event::StoreFinished`].
    Store {
        /// The number of the change.
        sequence: StoreSequence,
        /// The key.
        key: Key,
        /// What is known of it; none if it is to be removed.
        record: Option<StoredRecord>,
    },
    /// Send a new [`Message::Hello`] on every link, as something in it has changed.
    SendHello,
    /// What the node is permitted has changed.
    SetPermissions(Permissions),
    /// Report something to operators.
    Notify(Notification),
}
