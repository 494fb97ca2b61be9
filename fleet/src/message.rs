//! The peer protocol: every message that nodes exchange.
//!
//! Messages are encoded by position. A later build appends new variants, and new fields at the end of
//! existing ones, so that an older build can skip what it does not know. Variants and fields must never be
//! reordered or removed.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{ConfigVersion, Incarnation, NodeId};
use crate::membership::config::MembershipSpec;
use crate::recovery::staleness::StatePosition;
use crate::replication::key_state::{BodyDigest, ClaimId, CompletedRun, Key};

/// The number of message kinds that this build knows; later builds use higher kinds.
pub const MESSAGE_KINDS: u32 = 22;

/// Identifies one membership configuration: two nodes that agree on it have computed the same digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ConfigSignature {
    /// The configuration's version.
    pub version: ConfigVersion,
    /// The digest of its content, addresses aside.
    pub digest: u64,
}

/// Introduces a node to a peer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's name.
    pub name: String,
    /// The node that the sender means to reach.
    pub to: NodeId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The configurations that are active at the sender, the newest last.
    pub configs: Vec<ConfigSignature>,
    /// Configurations up to this version are retired, as the sender knows.
    pub retired_through: ConfigVersion,
    /// The previous link was cut because the receiver was too slow, and the messages on it are lost.
    pub link_cut: bool,
    /// How long the sender's incarnation has lasted, in seconds.
    pub uptime_seconds: u64,
    /// The position of the state that the sender restored from its disk, if it restored any.
    pub restored: Option<StatePosition>,
}

/// Asks a replica to grant a claim on a key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The claim.
    pub claim: ClaimId,
    /// The key.
    pub key: Key,
    /// The digest of the request's body.
    pub body: BodyDigest,
    /// How much longer the key is retained, in milliseconds.
    pub retain_ms: u64,
    /// The versions of the configurations in which the claim needs a quorum.
    pub config_versions: Vec<ConfigVersion>,
}

/// The claim that prevents another one from being granted.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ConflictingClaim {
    /// The claim whose run has started, or completed.
    pub claim: ClaimId,
    /// The digest of its request's body.
    pub body: BodyDigest,
    /// Its completed run, if the replica knows of it.
    pub completed: Option<CompletedRun>,
    /// How long ago its idempotency window ended, in milliseconds; 0 while the window is open.
    pub expired_ms: u64,
}

/// Why a replica can't answer a claim, or a node rejects an attempt before it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RejectReason {
    /// The replica lost its state and has neither caught up nor waited for one idempotency window.
    Recovering,
    /// The node has not heard a majority of the members since it started or resumed.
    NoQuorum,
    /// There is no capacity for one more key.
    CapacityExceeded,
    /// Another process runs under the node's name.
    Superseded,
    /// The replica has active configurations in which the claim does not ask for a quorum.
    ConfigMismatch,
    /// The replica has another configuration of the same version.
    ConfigConflict,
    /// The replica could not write its grant to disk.
    NotDurable,
    /// The replica can't be reached.
    Unreachable,
    /// The node is not a member of the newest configuration.
    NotMember,
    /// No quorum answered before the deadline.
    DeadlineExceeded,
    /// The key's idempotency window has ended, but the key is not removed yet.
    WindowExpired,
    /// The run that the attempt waited for never started.
    ClaimReleased,
}

/// How often a node has come back or refuted a suspicion; the higher version of a member prevails in gossip.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberVersion {
    /// The member's incarnation.
    pub incarnation: Incarnation,
    /// How many suspicions it has refuted in that incarnation.
    pub refutations: u32,
}

/// A member's liveness, as it is gossiped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GossipUpdate {
    /// The member.
    pub node: NodeId,
    /// The version of the member that the update is about.
    pub version: MemberVersion,
    /// The member's liveness.
    pub liveness: Liveness,
}

/// Whether a member answers probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Liveness {
    /// It answers.
    Alive,
    /// It did not answer the last probe.
    Suspect,
    /// It was a suspect for too long, or was never heard.
    Dead,
}

/// A position in a donor's table. Entries are transferred in descending order of the ends of their windows.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TablePosition {
    /// The donor's incarnation; a position in another incarnation is void.
    pub incarnation: Incarnation,
    /// When the window of the entry's key ends on the donor's clock, in nanoseconds.
    pub expires_ns: u64,
    /// The entry's key.
    pub key: Key,
}

impl TablePosition {
    /// Returns the position behind every entry of the table.
    pub fn end(incarnation: Incarnation) -> TablePosition {
        TablePosition { incarnation, expires_ns: 0, key: Key::new() }
    }
}

/// What a replica knows of one key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaRecord {
    /// The key.
    pub key: Key,
    /// How much longer the key is retained, in milliseconds.
    pub retain_ms: u64,
    /// Claims whose runs may have started.
    pub started: Vec<(ClaimId, BodyDigest)>,
    /// The completed run.
    pub completed: Option<CompletedRun>,
}

/// Whether a replica's table holds all that was granted before.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Completeness {
    /// For every key.
    Complete,
    /// For the keys of which enough other replicas are among these nodes, from which the table was
    /// synchronized.
    PartialFrom(Vec<NodeId>),
}

/// One page of a donor's table.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Page {
    /// The round of the request.
    pub round: u32,
    /// The donor's records, those that expire last first.
    pub records: Vec<ReplicaRecord>,
    /// Where the next page begins; none on the last page.
    pub next: Option<TablePosition>,
    /// Whether the donor's own table is complete.
    pub completeness: Completeness,
}

/// A message between two nodes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Introduces the sender. The first message on every link, sent again when anything in it changes.
    Hello(Hello),
    /// Response to a [`Message::Hello`] of an earlier incarnation than the one that is known.
    Superseded {
        /// The incarnation that is known.
        incarnation: Incarnation,
    },
    /// Requests a membership configuration.
    RequestMembershipConfig {
        /// Its version.
        version: ConfigVersion,
    },
    /// A membership configuration.
    MembershipConfig(MembershipSpec),
    /// Probes the receiver.
    Ping {
        /// The probe's sequence number.
        seq: u64,
        /// How long the sender's incarnation has lasted, in seconds.
        uptime_seconds: u64,
        /// Liveness of other members.
        gossip: Vec<GossipUpdate>,
    },
    /// Response to a [`Message::Ping`].
    Ack {
        /// The probe's sequence number.
        seq: u64,
        /// How long the sender's incarnation has lasted, in seconds.
        uptime_seconds: u64,
        /// Liveness of other members.
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
    /// Asks a replica to grant a claim.
    Claim(ClaimRequest),
    /// The replica has granted the claim.
    Granted {
        /// The claim.
        claim: ClaimId,
        /// The incarnations that the replica knows of the key's other replicas.
        incarnations: Vec<(NodeId, Incarnation)>,
    },
    /// The replica has not granted the claim, as another one was first.
    Blocked {
        /// The claim that was requested.
        claim: ClaimId,
        /// The claim that was first.
        conflict: ConflictingClaim,
    },
    /// The replica can neither grant nor deny the claim.
    Uncertain {
        /// The claim that was requested.
        claim: ClaimId,
        /// Why.
        reason: RejectReason,
    },
    /// A run has completed.
    Completed {
        /// The key.
        key: Key,
        /// How much longer the key is retained, in milliseconds.
        retain_ms: u64,
        /// The run.
        run: CompletedRun,
    },
    /// Response to [`Message::Completed`].
    Stored {
        /// The run's claim.
        claim: ClaimId,
        /// Whether the replica has stored the run.
        stored: bool,
    },
    /// The claim is withdrawn: no run has started under it and none will.
    Release {
        /// The key.
        key: Key,
        /// The claim.
        claim: ClaimId,
    },
    /// Asks what is known of a key, without claiming it.
    QueryKey {
        /// The withdrawn claim of the attempt that asks.
        claim: ClaimId,
        /// The key.
        key: Key,
    },
    /// Response to [`Message::QueryKey`]: no run of the key has started or completed.
    KeyFree {
        /// The claim of the attempt that asked.
        claim: ClaimId,
    },
    /// Asks the node that made a claim what became of it.
    QueryClaim {
        /// The key.
        key: Key,
        /// The claim.
        claim: ClaimId,
        /// The digest of its request's body.
        body: BodyDigest,
    },
    /// Requests a page of the table.
    Pull {
        /// The requester's round; a page of an earlier round is ignored.
        round: u32,
        /// Where the page begins; none for the first.
        from: Option<TablePosition>,
    },
    /// A page of the table.
    Page(Page),
    /// Response to [`Message::Pull`]: the donor serves too many others now.
    Deferred {
        /// The round of the request.
        round: u32,
        /// When to ask again, in milliseconds.
        retry_after_ms: u64,
    },
    /// The state that the receiver restored is older than the latest that is known of it.
    StaleState {
        /// The latest position that is known.
        latest: StatePosition,
    },
}

impl Message {
    /// Whether this is a response, which goes back on the link that the request came by.
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

/// Copies bytes out of the buffer that they were received in, so that storing them does not keep the whole
/// buffer alive.
pub(crate) fn detach(bytes: &Bytes) -> Bytes {
    Bytes::copy_from_slice(bytes)
}
