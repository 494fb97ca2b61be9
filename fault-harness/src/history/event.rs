//! The events of a history. The serde aliases are the names in the first version of the history format, so
//! that old files can still be read.

use serde::{Deserialize, Serialize};

use crate::model::frontend::{AttemptOutcome, RequestOutcome};
use crate::model::Ms;

/// The answer to an attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Response {
    /// The request was served; holds the result.
    Served(String),
    /// The node rejected the request.
    #[serde(alias = "refused")]
    Rejected {
        /// Delay after which the node asks the frontend to retry (Retry-After); none if it does not say.
        #[serde(alias = "later")]
        retry_after: Option<Ms>,
        /// Whether the node asks the frontend to give up rather than to try another node.
        #[serde(alias = "giveup")]
        give_up: bool,
    },
    /// The request failed in any other way.
    Failed,
}

/// Suffix of a result that was computed without the call of the dependency.
pub const DEGRADED_SUFFIX: &str = " poorer";

impl Response {
    /// The outcome of an attempt that received this answer.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            Response::Served(result) => {
                AttemptOutcome::Served { degraded: result.ends_with(DEGRADED_SUFFIX) }
            }
            Response::Rejected { retry_after, give_up } => {
                AttemptOutcome::Rejected { retry_after: *retry_after, give_up: *give_up }
            }
            Response::Failed => AttemptOutcome::Failed,
        }
    }
}

/// State of the connection of an attempt when that connection ended before the attempt was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConnectionLoss {
    /// The node was closing the connection as idle while the attempt was written; the attempt is sent again.
    #[serde(alias = "crossed")]
    CrossedClose,
    /// No attempt had been answered on the connection yet.
    #[serde(alias = "fresh")]
    NewConnection,
    /// Other attempts had been answered on the connection.
    #[serde(alias = "used")]
    UsedConnection,
}

/// How the process of a node ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessExit {
    /// The harness killed the process.
    Killed,
    /// The process exited after its shutdown notice.
    #[serde(alias = "left")]
    ShutDown,
    /// The process was still running when the time for a graceful shutdown had passed.
    #[serde(alias = "overstayed")]
    ShutdownTimedOut,
    /// The process exited without a shutdown notice; holds the exit status.
    Crashed(String),
}

/// An event and the time at which it happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// Time of the event, in milliseconds since the load began.
    #[serde(rename = "at_ms", alias = "t")]
    pub at: Ms,
    /// Kind and fields of the event, which are written into the same JSON object as the time.
    #[serde(flatten)]
    pub event: Event,
}

/// An event of a play. Nodes, frontends, classes and requests are identified by their positions, attempts by
/// their ids.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A client sent a request. A repeat carries the idempotency key of an earlier request.
    #[serde(alias = "asked")]
    RequestSent {
        /// Position of the request in the schedule.
        #[serde(alias = "n")]
        request: usize,
        /// Position of its class.
        class: usize,
        /// Position of the request whose key this one repeats; none for a first request.
        repeats: Option<usize>,
    },
    /// The request of a client ended.
    #[serde(alias = "over")]
    RequestEnded {
        /// Position of the request in the schedule.
        #[serde(alias = "n")]
        request: usize,
        /// How it ended.
        #[serde(alias = "end")]
        outcome: RequestOutcome,
        /// Number of attempts that were made for the request.
        #[serde(alias = "tries")]
        attempts: u32,
    },
    /// A frontend wrote an attempt to a node.
    #[serde(alias = "wrote")]
    AttemptWritten {
        /// Id of the attempt.
        #[serde(alias = "txn")]
        attempt: u64,
        /// Position of the request in the schedule.
        #[serde(alias = "n")]
        request: usize,
        /// Position of the node.
        node: usize,
        /// Position of the frontend.
        #[serde(alias = "front")]
        frontend: usize,
        /// Time at which the caller stops waiting.
        #[serde(alias = "due")]
        deadline: Ms,
    },
    /// A frontend received the answer to an attempt.
    #[serde(alias = "answered")]
    AttemptAnswered {
        /// Id of the attempt.
        #[serde(alias = "txn")]
        attempt: u64,
        /// The answer.
        #[serde(alias = "kind")]
        response: Response,
    },
    /// The caller cancelled an attempt.
    #[serde(alias = "withdrew")]
    AttemptCancelled {
        /// Id of the attempt.
        #[serde(alias = "txn")]
        attempt: u64,
    },
    /// The connection of an attempt ended before the attempt was answered.
    #[serde(alias = "dropped")]
    ConnectionLost {
        /// Id of the attempt.
        #[serde(alias = "txn")]
        attempt: u64,
        /// State of that connection.
        #[serde(alias = "why")]
        loss: ConnectionLoss,
    },
    /// A node sent a line that is not an answer, or that answers no open attempt.
    #[serde(alias = "stray")]
    UnexpectedLine {
        /// Position of the node.
        node: usize,
        /// Id of the attempt, if the line is a second answer to it.
        #[serde(alias = "txn")]
        attempt: Option<u64>,
        /// The line that was received.
        text: String,
    },
    /// The interpreter of a node started to run an attempt.
    #[serde(alias = "began")]
    RunStarted {
        /// Id of the attempt.
        #[serde(alias = "txn")]
        attempt: u64,
        /// Position of the node.
        node: usize,
    },
    /// The interpreter of a node completed or aborted a run.
    #[serde(alias = "ended")]
    RunEnded {
        /// Id of the attempt.
        #[serde(alias = "txn")]
        attempt: u64,
        /// Position of the node.
        node: usize,
        /// Result of the run; none if the run failed.
        result: Option<String>,
    },
    /// A run made its call of the dependency.
    #[serde(alias = "called")]
    DependencyCalled {
        /// Id of the attempt.
        #[serde(alias = "txn")]
        attempt: u64,
        /// Position of the node.
        node: usize,
    },
    /// The process of a node logged a line about the fleet.
    #[serde(alias = "said")]
    FleetLogged {
        /// Position of the node.
        node: usize,
        /// The log line.
        text: String,
    },
    /// The interpreter received a body, class or reply that differs from what was sent, or a command for a
    /// request that was never sent to its node.
    #[serde(alias = "spoilt")]
    Corrupted {
        /// Position of the node.
        node: usize,
        /// Description of the difference.
        text: String,
    },
    /// The process of a node started and accepts requests.
    #[serde(alias = "up")]
    NodeUp {
        /// Position of the node.
        node: usize,
        /// Whether its interpreter starts cold and has to warm up.
        cold: bool,
    },
    /// The process of a node received its shutdown notice (SIGTERM).
    #[serde(alias = "notice")]
    ShutdownNotice {
        /// Position of the node.
        node: usize,
    },
    /// The process of a node ended.
    #[serde(alias = "down")]
    NodeDown {
        /// Position of the node.
        node: usize,
        /// How it ended.
        #[serde(alias = "way")]
        exit: ProcessExit,
    },
    /// The stored state that a node keeps across restarts was erased, truncated or replaced.
    #[serde(alias = "wiped")]
    StateLost {
        /// Position of the node.
        node: usize,
    },
    /// The process of a node was paused or resumed.
    #[serde(alias = "still")]
    Paused {
        /// Position of the node.
        node: usize,
        /// True if the process is paused from now on, false if it is resumed.
        #[serde(alias = "still")]
        paused: bool,
    },
    /// A disturbance of the traffic between a node and a frontend begins or ends.
    #[serde(alias = "disturbed")]
    LinkDisturbed {
        /// Position of the node.
        node: usize,
        /// Position of the frontend; none if the traffic with all frontends is disturbed.
        #[serde(alias = "front")]
        frontend: Option<usize>,
        /// True if the disturbance begins, false if it ends.
        #[serde(alias = "on")]
        disturbed: bool,
    },
    /// A disturbance of the traffic between nodes begins or ends.
    #[serde(alias = "peers")]
    PeerLinksDisturbed {
        /// True if the disturbance begins, false if it ends.
        #[serde(alias = "on")]
        disturbed: bool,
    },
    /// A node took or gave up the role of the virtual router.
    #[serde(alias = "role")]
    RouterRole {
        /// Position of the node.
        node: usize,
        /// True if the node holds the role from now on.
        active: bool,
    },
    /// The harness injected a fault.
    #[serde(alias = "fault")]
    FaultInjected {
        /// Kind of the fault and the nodes that it affects.
        text: String,
        /// Time at which the fault ends.
        until: Ms,
    },
    /// A frontend opened a connection.
    #[serde(alias = "connected")]
    ConnectionOpened {
        /// Position of the node.
        node: usize,
        /// Position of the frontend.
        #[serde(alias = "front")]
        frontend: usize,
    },
    /// A sample of the resources that the process of a node uses.
    #[serde(alias = "sample")]
    ResourceSample {
        /// Position of the node.
        node: usize,
        /// Resident memory, in KB.
        #[serde(alias = "rss_kb")]
        memory_kb: u64,
        /// Number of open file descriptors.
        #[serde(alias = "files")]
        descriptors: u64,
        /// CPU time since the process started, in milliseconds.
        cpu_ms: u64,
    },
    /// An interpreter died of the load that its node put on it.
    #[serde(alias = "fell")]
    InterpreterDied {
        /// Position of the node.
        node: usize,
        /// Cause of death: too much concurrency or too much memory.
        #[serde(alias = "text")]
        cause: String,
    },
    /// The harness itself was scheduled late.
    #[serde(alias = "late")]
    HarnessDelayed {
        /// How late the harness was scheduled.
        #[serde(alias = "by")]
        delay: Ms,
    },
}
