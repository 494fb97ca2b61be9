//! The peer protocol: all messages that nodes exchange.
//!
//! Messages are encoded by position. Later builds may only append variants, and fields at the end of existing
//! variants, so that older builds can skip what they do not know. Variants and fields must never be reordered
//! or removed.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{ConfigVersion, Incarnation, NodeId};
use crate::membership::config::MembershipSpec;
use crate::recovery::staleness::StatePosition;
use crate::replication::key_state::{BodyDigest, ClaimId, CompletedRun, Key};

/// Number of message kinds that this build knows. Kinds that later builds add have higher numbers.
pub const MESSAGE_KINDS: u32 = 22;

/// Identifies a membership configuration. Two nodes agree on it if they have computed the same digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ConfigSignature {
    /// The configuration's version.
    pub version: ConfigVersion,
    /// Digest of the configuration's content without the members' addresses.
    pub digest: u64,
}

/// Introduction of a node to a peer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's name.
    pub name: String,
    /// The node that the sender intends to reach.
    pub to: NodeId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Configurations that are active at the sender, in ascending order of version.
    pub configs: Vec<ConfigSignature>,
    /// Version up to which the sender knows the configurations to be retired.
    pub retired_through: ConfigVersion,
    /// Whether the sender cut the previous link because the receiver was too slow. Messages on it are lost.
    pub link_cut: bool,
    /// Time since the sender's incarnation began, in seconds.
    pub uptime_seconds: u64,
    /// Position of the state that the sender restored from its disk; `None` if it relies on no restored
    /// state.
    pub restored: Option<StatePosition>,
}

/// Request to a replica to grant a claim on a key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The claim to grant.
    pub claim: ClaimId,
    /// The key that is claimed.
    pub key: Key,
    /// Digest of the client request's body.
    pub body: BodyDigest,
    /// Remaining idempotency window of the key, in milliseconds.
    pub retain_ms: u64,
    /// Versions of the configurations in which the claim needs a quorum.
    pub config_versions: Vec<ConfigVersion>,
}

/// A claim that prevents the requested claim from being granted.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ConflictingClaim {
    /// The claim, whose run may have started or has completed.
    pub claim: ClaimId,
    /// Digest of the body of the claim's client request.
    pub body: BodyDigest,
    /// The completed run of the claim; `None` if the replica does not know of a completion.
    pub completed: Option<CompletedRun>,
    /// Time since the key's idempotency window ended, in milliseconds; 0 while the window is open.
    pub expired_ms: u64,
}

/// Reason why a replica can neither grant nor deny a claim, or why a node rejects an attempt without a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RejectReason {
    /// The replica lost its state, has not caught up yet, and one idempotency window has not passed since.
    Recovering,
    /// The node has not heard a majority of the members since it started or resumed after a suspension.
    NoQuorum,
    /// The table has no capacity for another key, or the node for another open claim.
    CapacityExceeded,
    /// Another process runs under the node's name or has taken over the node.
    Superseded,
    /// The claim is not made in every configuration that is active at the replica.
    ConfigMismatch,
    /// The replica has a configuration with the same version as one of the requester's but different content.
    ConfigConflict,
    /// The replica could not write its grant to disk.
    NotDurable,
    /// The replica is unreachable.
    Unreachable,
    /// The node is not a member of the newest configuration.
    NotMember,
    /// No quorum responded before the deadline, or the requested idempotency window exceeds the configured
    /// one.
    DeadlineExceeded,
    /// The key was used by an earlier request whose idempotency window has ended, but is not removed yet.
    WindowExpired,
    /// The claim that the attempt waited for was released without a run.
    ClaimReleased,
}

/// Version of a member's liveness in gossip; the higher version prevails. It increases with each incarnation
/// and each refuted suspicion.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberVersion {
    /// The member's incarnation.
    pub incarnation: Incarnation,
    /// Number of suspicions that the member has refuted in that incarnation.
    pub refutations: u32,
}

/// Gossip about the liveness of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GossipUpdate {
    /// The member that the update is about.
    pub node: NodeId,
    /// The version of the liveness.
    pub version: MemberVersion,
    /// The member's liveness at that version.
    pub liveness: Liveness,
}

/// Liveness of a member, as determined by probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Liveness {
    /// The member answers probes.
    Alive,
    /// The member did not answer the last probe.
    Suspect,
    /// The member did not refute a suspicion in time, or was never heard.
    Dead,
}

/// Position in a donor's table. Entries are transferred in descending order of the end of their idempotency
/// window.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TablePosition {
    /// The donor's incarnation. A position in another incarnation is invalid.
    pub incarnation: Incarnation,
    /// End of the entry's idempotency window on the donor's clock, in nanoseconds.
    pub expires_ns: u64,
    /// The key of the entry.
    pub key: Key,
}

impl TablePosition {
    /// Returns the position after the last entry of the table.
    pub fn end(incarnation: Incarnation) -> TablePosition {
        TablePosition { incarnation, expires_ns: 0, key: Key::new() }
    }
}

/// State of one key at a replica, as it is transferred and stored.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaRecord {
    /// Idempotency key that the state belongs to.
    pub key: Key,
    /// Remaining idempotency window of the key, in milliseconds.
    pub retain_ms: u64,
    /// Claims whose runs may have started, with the digests of their request bodies.
    pub started: Vec<(ClaimId, BodyDigest)>,
    /// The completed run of the key, if the replica knows of one.
    pub completed: Option<CompletedRun>,
}

/// Whether a replica's table accounts for all unexpired claims that the replica has granted, including those
/// from before a loss of state.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Completeness {
    /// The table is complete for every key.
    Complete,
    /// State was lost, and the tables of these nodes, complete themselves, have been merged since. The table
    /// is complete only for keys of which enough other replicas are among these nodes.
    PartialFrom(Vec<NodeId>),
}

/// A page of a donor's table, sent in response to [`Message::Pull`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Page {
    /// The requester's round, as stated in the request.
    pub round: u32,
    /// Records of the keys that the requester is a replica of, in descending order of expiry.
    pub records: Vec<ReplicaRecord>,
    /// Position at which the next page begins; `None` on the last page.
    pub next: Option<TablePosition>,
    /// Whether the donor's own table is complete.
    pub completeness: Completeness,
}

/// A message between two nodes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Introduces the sender. This is the first message on every link, and is sent again when its content
    /// changes.
    Hello(Hello),
    /// Response to a [`Message::Hello`] whose incarnation is lower than the latest known one of its sender.
    Superseded {
        /// The latest known incarnation of the receiver.
        incarnation: Incarnation,
    },
    /// Requests a membership configuration.
    RequestMembershipConfig {
        /// Version of the requested configuration.
        version: ConfigVersion,
    },
    /// Response to [`Message::RequestMembershipConfig`], with the configuration.
    MembershipConfig(MembershipSpec),
    /// Probes the liveness of the receiver.
    Ping {
        /// The probe's sequence number.
        seq: u64,
        /// Time since the sender's incarnation began, in seconds.
        uptime_seconds: u64,
        /// Liveness updates about any members.
        gossip: Vec<GossipUpdate>,
    },
    /// Response to a [`Message::Ping`].
    Ack {
        /// The probe's sequence number.
        seq: u64,
        /// Time since the sender's incarnation began, in seconds.
        uptime_seconds: u64,
        /// Liveness updates about any members.
        gossip: Vec<GossipUpdate>,
    },
    /// Asks the receiver to probe another member.
    IndirectPing {
        /// The probe's sequence number.
        seq: u64,
        /// The member to probe.
        target: NodeId,
    },
    /// Response to an [`Message::IndirectPing`] whose target answered.
    IndirectAck {
        /// The probe's sequence number.
        seq: u64,
        /// The member that answered.
        target: NodeId,
    },
    /// Requests that a replica grants a claim.
    Claim(ClaimRequest),
    /// Response to [`Message::Claim`]: the replica has granted the claim.
    Granted {
        /// The granted claim.
        claim: ClaimId,
        /// Latest incarnations of the key's other replicas, as far as the replica knows them.
        incarnations: Vec<(NodeId, Incarnation)>,
    },
    /// Response to [`Message::Claim`] or [`Message::QueryKey`]: the run of another claim may have started or
    /// has completed. Also sent to waiting attempts when that run completes.
    Blocked {
        /// The claim of the attempt that asked.
        claim: ClaimId,
        /// The conflicting claim.
        conflict: ConflictingClaim,
    },
    /// Response to [`Message::Claim`] or [`Message::QueryKey`]: the replica can neither grant nor deny
    /// the claim, or does not know whether the key is free.
    Uncertain {
        /// The claim of the attempt that asked.
        claim: ClaimId,
        /// Why the replica gave no definite response.
        reason: RejectReason,
    },
    /// Requests that a replica stores a completed run.
    Completed {
        /// The key of the run.
        key: Key,
        /// Remaining idempotency window of the key, in milliseconds.
        retain_ms: u64,
        /// The completed run.
        run: CompletedRun,
    },
    /// Response to [`Message::Completed`].
    Stored {
        /// The claim of the run.
        claim: ClaimId,
        /// Whether the replica has stored the run; false if it lacks capacity or could not write to its disk.
        stored: bool,
    },
    /// Withdraws a claim: no run has started under it and none will.
    Release {
        /// The key of the claim.
        key: Key,
        /// The withdrawn claim.
        claim: ClaimId,
    },
    /// Requests the state of a key from a replica, without claiming the key.
    QueryKey {
        /// The withdrawn claim of the attempt that asks.
        claim: ClaimId,
        /// The key to look up.
        key: Key,
    },
    /// Response to [`Message::QueryKey`]: the replica knows of no run of the key. Also sent to waiting
    /// attempts when the last claim on the key is released.
    KeyFree {
        /// The claim of the attempt that asked.
        claim: ClaimId,
    },
    /// Requests the outcome of a claim from the node that made it. The node sends [`Message::Completed`] or
    /// [`Message::Release`], or nothing while the outcome is open.
    QueryClaim {
        /// The key of the claim.
        key: Key,
        /// The claim to look up.
        claim: ClaimId,
        /// Digest of the body of the claim's client request.
        body: BodyDigest,
    },
    /// Requests a page of a donor's table.
    Pull {
        /// The requester's round; a page of an earlier round is ignored.
        round: u32,
        /// Position at which the page begins; `None` for the first page.
        from: Option<TablePosition>,
    },
    /// Response to [`Message::Pull`], with a page of the donor's table.
    Page(Page),
    /// Response to [`Message::Pull`]: the donor is serving too many other nodes.
    Deferred {
        /// The requester's round, as stated in the request.
        round: u32,
        /// Delay before the next request, in milliseconds.
        retry_after_ms: u64,
    },
    /// Response to a [`Message::Hello`] whose restored state is older than the latest known position of its
    /// sender.
    StaleState {
        /// The latest known position of the receiver's state.
        latest: StatePosition,
    },
}

impl Message {
    /// Whether this is a response, which must be sent on the link on which the request was received.
    pub fn is_response(&self) -> bool {
        matches!(
            self,
            Message::Superseded { .. }
                | Message::MembershipConfig(_)
                | Message::Ack { .. }
                | Message::IndirectAck { .. }
                | Message::Granted { .. }
                | Message::Blocked { .. }
                | Message::Uncertain { .. }
                | Message::Stored { .. }
                | Message::KeyFree { .. }
                | Message::Page(_)
                | Message::Deferred { .. }
                | Message::StaleState { .. }
        )
    }
}

/// Copies bytes out of their receive buffer, so that storing them does not keep the whole buffer alive.
pub(crate) fn detach(bytes: &Bytes) -> Bytes {
    Bytes::copy_from_slice(bytes)
}
