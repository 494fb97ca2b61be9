//! What nodes say to each other. Kinds are told by their position: a later build appends new ones, and new fields at the
//! end of old ones, so that builds that know less skip what they don't know.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::key_state::{BodyDigest, ClaimId, CompletedRun, Key};
use crate::membership_config::{MembershipSpec, NodeId};
use crate::staleness::StatePosition;

/// Kinds of frames that this build knows; later ones have higher numbers.
pub const MESSAGE_KINDS: u32 = 22;

/// Who a node is, and what it goes by.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Hello {
    /// Its name.
    pub name: String,
    /// Whom it means to reach.
    pub to: NodeId,
    /// Which life of it this is; a later one has a higher number.
    pub incarnation: u64,
    /// The numbers and digests of the lists that are about there, the newest last.
    pub lists: Vec<(u64, u64)>,
    /// Lists up to this number are over, as this node knows.
    pub over: u64,
    /// The link before this one was cut, and what was on it is lost.
    pub cut: bool,
    /// How long this life has lasted.
    pub seconds: u64,
    /// Where what it goes on from ends: what it kept of an earlier life, if it did.
    pub kept: Option<StatePosition>,
}

/// A claim as a copy is asked for it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The claim.
    pub claim: ClaimId,
    /// The key.
    pub key: Key,
    /// The digest of the request's body.
    pub body: BodyDigest,
    /// How much longer the key is remembered, in milliseconds.
    pub keep_ms: u64,
    /// The numbers of the lists that it needs majorities in.
    pub lists: Vec<u64>,
}

/// What stands in the way of a claim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ConflictingClaim {
    /// The claim that has begun, or ended.
    pub claim: ClaimId,
    /// The digest of its body.
    pub body: BodyDigest,
    /// How it ended, if it has.
    pub ended: Option<CompletedRun>,
    /// How long its window has been over, in milliseconds.
    pub past_ms: u64,
}

/// Why a copy can't say.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RejectReason {
    /// It came back without its state and has neither caught up nor waited for a window.
    Returning,
    /// It has not heard a majority since it started or woke up.
    Unheard,
    /// It has no room for one more key.
    Full,
    /// Another process has its name.
    Superseded,
    /// It knows of other lists than those that the claim is made under.
    ActiveConfigs,
    /// It has another list of the same number.
    Contradicted,
    /// It could not keep its word on its disk.
    Unkept,
    /// It can't be reached.
    Unreached,
    /// It is not on the list.
    Unlisted,
    /// Its time ran out.
    Late,
    /// The key's window is over, and it is not forgotten yet.
    Past,
    /// What it waited for never ran.
    Freed,
}

/// Word of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GossipUpdate {
    /// Whom it is about.
    pub node: NodeId,
    /// Its life and, in that, how often it has had to say that it is alive.
    pub age: (u64, u32),
    /// How it stands.
    pub standing: Liveness,
}

/// How a member stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Liveness {
    /// It is heard.
    Alive,
    /// It did not answer.
    Suspect,
    /// It did not answer for long.
    Lost,
}

/// A place in a donor's table.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TablePosition {
    /// Which life of the donor.
    pub incarnation: u64,
    /// When the entry runs out there, in nanoseconds.
    pub until_ns: u64,
    /// The entry's key.
    pub key: Key,
}

impl TablePosition {
    /// Behind everything in the table of this life of a donor.
    pub fn end(incarnation: u64) -> TablePosition {
        TablePosition { incarnation, until_ns: 0, key: Key::new() }
    }
}

/// What a donor knows of one key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaRecord {
    /// The key.
    pub key: Key,
    /// How much longer it is remembered, in milliseconds.
    pub keep_ms: u64,
    /// Claims that may have begun.
    pub begun: Vec<(ClaimId, BodyDigest)>,
    /// The end that stands.
    pub ended: Option<CompletedRun>,
}

/// How far a copy's votes can be relied on.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Completeness {
    /// For all keys.
    Complete,
    /// For those whose other copies are enough of these, which it has caught up with.
    CompleteWith(Vec<NodeId>),
}

/// A part of a donor's table.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Page {
    /// The round that it was asked in.
    pub round: u32,
    /// What the donor knows, the newest windows first.
    pub records: Vec<ReplicaRecord>,
    /// Where the next part begins; none at the end.
    pub next: Option<TablePosition>,
    /// How far the donor's own votes can be relied on.
    pub sound: Completeness,
}

/// What one node says to another.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Who speaks; the first on every link, and again when something in it changes.
    Hello(Hello),
    /// The one that spoke has an earlier life than this one, which is known.
    Superseded {
        /// That life.
        incarnation: u64,
    },
    /// Asks for a list.
    AskMembershipConfig {
        /// Its number.
        number: u64,
    },
    /// A list.
    MembershipConfig(MembershipSpec),
    /// Asks whether one is there.
    Ping {
        /// Which one.
        seq: u64,
        /// How long the sender's life has lasted, in seconds.
        seconds: u64,
        /// Word of others.
        rumors: Vec<GossipUpdate>,
    },
    /// One is there.
    Ack {
        /// The ping's.
        seq: u64,
        /// How long the sender's life has lasted, in seconds.
        seconds: u64,
        /// Word of others.
        rumors: Vec<GossipUpdate>,
    },
    /// Asks to ask another.
    PingFor {
        /// Which one.
        seq: u64,
        /// Whom.
        target: NodeId,
    },
    /// That other is there.
    AckFor {
        /// The ping's.
        seq: u64,
        /// Who.
        target: NodeId,
    },
    /// Asks for a claim.
    Claim(ClaimRequest),
    /// Yours.
    Granted {
        /// The claim.
        claim: ClaimId,
        /// Lives that this copy knows of the key's other copies.
        lives: Vec<(NodeId, u64)>,
    },
    /// Another's.
    Blocked {
        /// The claim that was asked for.
        claim: ClaimId,
        /// What stands in its way.
        by: ConflictingClaim,
    },
    /// Can't say.
    Unsure {
        /// The claim that was asked for.
        claim: ClaimId,
        /// Why.
        why: RejectReason,
    },
    /// A run has ended.
    Ended {
        /// The key.
        key: Key,
        /// How much longer it is remembered, in milliseconds.
        keep_ms: u64,
        /// Its end.
        end: CompletedRun,
    },
    /// An end is kept, or can't be.
    Kept {
        /// The run's claim.
        claim: ClaimId,
        /// Whether it is kept.
        kept: bool,
    },
    /// A claim is given up: no run has begun by it and none will.
    Release {
        /// The key.
        key: Key,
        /// The claim.
        claim: ClaimId,
    },
    /// Asks what is known of a key, without a claim.
    Ask {
        /// The claim of the try that wants to know, which is given up.
        claim: ClaimId,
        /// The key.
        key: Key,
    },
    /// Nothing has begun or ended.
    Free {
        /// The claim of the try that wanted to know.
        claim: ClaimId,
    },
    /// Asks a claim's node what became of it.
    What {
        /// The key.
        key: Key,
        /// The claim.
        claim: ClaimId,
        /// The digest of its body.
        body: BodyDigest,
    },
    /// Asks for a part of the table.
    Pull {
        /// Which round of asking this is.
        round: u32,
        /// Where the part begins; none for the first.
        from: Option<TablePosition>,
    },
    /// A part of the table.
    Page(Page),
    /// There is no part of the table to be had now.
    Away {
        /// The round that it was asked in.
        round: u32,
        /// Come back after so many milliseconds.
        after_ms: u64,
    },
    /// What the one that spoke has kept is not the last that was known of it.
    Outdated {
        /// What was.
        known: StatePosition,
    },
}

impl Message {
    /// Whether it answers a frame of the other side's, and so goes back on the link that that came by.
    pub fn answers(&self) -> bool {
        matches!(
            self,
            Message::Superseded { .. }
                | Message::MembershipConfig(_)
                | Message::Ack { .. }
                | Message::AckFor { .. }
                | Message::Granted { .. }
                | Message::Blocked { .. }
                | Message::Unsure { .. }
                | Message::Kept { .. }
                | Message::Free { .. }
                | Message::Page(_)
                | Message::Away { .. }
                | Message::Outdated { .. }
        )
    }
}

/// A copy of bytes that outlives the buffer that they were read into.
pub fn own(bytes: &Bytes) -> Bytes {
    Bytes::copy_from_slice(bytes)
}
