//! The events of a history. Names that they had in the first form of histories are aliases, so that old files are read.

use serde::{Deserialize, Serialize};

use crate::model::frontend::RequestOutcome;
use crate::model::Ms;

/// The answer to an attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Response {
    /// Served, with this result.
    Served(String),
    /// Rejected.
    #[serde(alias = "refused")]
    Rejected {
        /// After how long to retry (Retry-After).
        #[serde(alias = "later")]
        retry_after: Option<Ms>,
        /// The node asks the frontend to give up: no other node is to be tried.
        #[serde(alias = "giveup")]
        give_up: bool,
    },
    /// Any other error.
    Failed,
}

/// On which connection an attempt was when that ended without its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConnectionLoss {
    /// One that the node was closing as idle when the attempt was written; it was sent again.
    #[serde(alias = "crossed")]
    CrossedClose,
    /// One on which nothing had been answered yet.
    #[serde(alias = "fresh")]
    NewConnection,
    /// One on which others had been answered.
    #[serde(alias = "used")]
    UsedConnection,
}

/// How a program ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessExit {
    /// The harness killed it.
    Killed,
    /// By itself after the shutdown notice.
    #[serde(alias = "left")]
    ShutDown,
    /// It was still running when its time for a graceful shutdown was over.
    #[serde(alias = "overstayed")]
    ShutdownTimedOut,
    /// By itself, without a notice: its exit status.
    Crashed(String),
}

/// An event with its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// When, in milliseconds since the load began.
    #[serde(rename = "at_ms", alias = "t")]
    pub at: Ms,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// What can happen in a play. Nodes, frontends, classes and requests go by their positions, attempts by their ids.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A client sent a request. A repeat has the idempotency key of another request.
    #[serde(alias = "asked")]
    RequestSent {
        /// The request.
        #[serde(alias = "n")]
        request: usize,
        /// Its class.
        class: usize,
        /// The request whose key it repeats.
        repeats: Option<usize>,
    },
    /// A client's request is over.
    #[serde(alias = "over")]
    RequestEnded {
        /// The request.
        #[serde(alias = "n")]
        request: usize,
        /// How it ended.
        #[serde(alias = "end")]
        outcome: RequestOutcome,
        /// Its attempts.
        #[serde(alias = "tries")]
        attempts: u32,
    },
    /// An attempt was written to a node.
    #[serde(alias = "wrote")]
    AttemptWritten {
        /// The attempt.
        #[serde(alias = "txn")]
        attempt: u64,
        /// The request.
        #[serde(alias = "n")]
        request: usize,
        /// The node.
        node: usize,
        /// The frontend.
        #[serde(alias = "front")]
        frontend: usize,
        /// When its caller stops waiting.
        #[serde(alias = "due")]
        deadline: Ms,
    },
    /// An attempt was answered.
    #[serde(alias = "answered")]
    AttemptAnswered {
        /// The attempt.
        #[serde(alias = "txn")]
        attempt: u64,
        /// The answer.
        #[serde(alias = "kind")]
        response: Response,
    },
    /// An attempt's caller cancelled it.
    #[serde(alias = "withdrew")]
    AttemptCancelled {
        /// The attempt.
        #[serde(alias = "txn")]
        attempt: u64,
    },
    /// An attempt's connection ended without its answer.
    #[serde(alias = "dropped")]
    ConnectionLost {
        /// The attempt.
        #[serde(alias = "txn")]
        attempt: u64,
        /// On which connection it was.
        #[serde(alias = "why")]
        loss: ConnectionLoss,
    },
    /// A line came that is no answer, or answers nothing that is open.
    #[serde(alias = "stray")]
    UnexpectedLine {
        /// The node.
        node: usize,
        /// The attempt that it answers a second time, if it does.
        #[serde(alias = "txn")]
        attempt: Option<u64>,
        /// What came.
        text: String,
    },
    /// A run started.
    #[serde(alias = "began")]
    RunStarted {
        /// The attempt.
        #[serde(alias = "txn")]
        attempt: u64,
        /// The node.
        node: usize,
    },
    /// A run ended, with this result if it worked.
    #[serde(alias = "ended")]
    RunEnded {
        /// The attempt.
        #[serde(alias = "txn")]
        attempt: u64,
        /// The node.
        node: usize,
        /// Its result.
        result: Option<String>,
    },
    /// A run called the dependency.
    #[serde(alias = "called")]
    DependencyCalled {
        /// The attempt.
        #[serde(alias = "txn")]
        attempt: u64,
        /// The node.
        node: usize,
    },
    /// A program logged something about the fleet.
    #[serde(alias = "said")]
    FleetLogged {
        /// The node.
        node: usize,
        /// The line.
        text: String,
    },
    /// A body, class or reply reached the interpreter changed, or a command was about a request that never came.
    #[serde(alias = "spoilt")]
    Corrupted {
        /// The node.
        node: usize,
        /// What was wrong.
        text: String,
    },
    /// A program was started and serves.
    #[serde(alias = "up")]
    NodeUp {
        /// The node.
        node: usize,
        /// Whether its interpreter is cold.
        cold: bool,
    },
    /// A program got its shutdown notice (SIGTERM).
    #[serde(alias = "notice")]
    ShutdownNotice {
        /// The node.
        node: usize,
    },
    /// A program has ended.
    #[serde(alias = "down")]
    NodeDown {
        /// The node.
        node: usize,
        /// How it ended.
        #[serde(alias = "way")]
        exit: ProcessExit,
    },
    /// The state that a node keeps over restarts was erased, truncated or replaced.
    #[serde(alias = "wiped")]
    StateLost {
        /// The node.
        node: usize,
    },
    /// A node's process was paused, or resumed.
    #[serde(alias = "still")]
    Paused {
        /// The node.
        node: usize,
        /// Whether it is paused from now on.
        #[serde(alias = "still")]
        paused: bool,
    },
    /// Traffic between a node and a frontend is disturbed, or no longer is. Without a frontend, that of all frontends is.
    #[serde(alias = "disturbed")]
    LinkDisturbed {
        /// The node.
        node: usize,
        /// The frontend.
        #[serde(alias = "front")]
        frontend: Option<usize>,
        /// Whether it is disturbed from now on.
        #[serde(alias = "on")]
        disturbed: bool,
    },
    /// Traffic among nodes is disturbed, or no longer is.
    #[serde(alias = "peers")]
    PeerLinksDisturbed {
        /// Whether it is disturbed from now on.
        #[serde(alias = "on")]
        disturbed: bool,
    },
    /// A node has the role of the virtual router, or no longer has it.
    #[serde(alias = "role")]
    RouterRole {
        /// The node.
        node: usize,
        /// Whether it has the role from now on.
        active: bool,
    },
    /// The harness injected a fault.
    #[serde(alias = "fault")]
    FaultInjected {
        /// What it is, and for which nodes.
        text: String,
        /// When it is over.
        until: Ms,
    },
    /// A frontend opened a connection.
    #[serde(alias = "connected")]
    ConnectionOpened {
        /// The node.
        node: usize,
        /// The frontend.
        #[serde(alias = "front")]
        frontend: usize,
    },
    /// A sample of the resources that a program takes.
    #[serde(alias = "sample")]
    ResourceSample {
        /// The node.
        node: usize,
        /// Resident memory.
        #[serde(alias = "rss_kb")]
        memory_kb: u64,
        /// Open descriptors.
        #[serde(alias = "files")]
        descriptors: u64,
        /// CPU time since its start.
        cpu_ms: u64,
    },
    /// An interpreter has died of the load that the program put on it.
    #[serde(alias = "fell")]
    InterpreterDied {
        /// The node.
        node: usize,
        /// Of what.
        #[serde(alias = "text")]
        cause: String,
    },
    /// The harness itself was scheduled late.
    #[serde(alias = "late")]
    HarnessDelayed {
        /// By how much.
        #[serde(alias = "by")]
        delay: Ms,
    },
}
