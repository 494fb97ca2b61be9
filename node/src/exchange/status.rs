//! What the dispatcher publishes of the node.

use std::time::Duration;

use crate::clock::UnixTime;

/// The shutdown notice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ShutdownNotice {
    /// When the process is stopped.
    pub(crate) stops_at: UnixTime,
    /// When the notice came.
    pub(crate) noticed_at: UnixTime,
}

/// The state of the node, for all who accept, answer or report on its behalf.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct NodeStatus {
    /// Whether the admission module finds the node healthy; `None` until it has started.
    pub(crate) health: Option<bool>,
    /// Operators have turned maintenance mode on.
    pub(crate) maintenance: bool,
    /// The node is recovering and not ready for clients.
    pub(crate) recovering: bool,
    /// The backend started cold and counts as warm from then on.
    pub(crate) warm_at: Option<UnixTime>,
    /// Connections that are idle for this long are closed; `None` until the admission module has started.
    pub(crate) idle_timeout: Option<Duration>,
    /// The shutdown notice, once it has come.
    pub(crate) draining: Option<ShutdownNotice>,
    /// A successor process serves new clients; this one answers what it has read.
    pub(crate) handed_over: bool,
    /// The predecessor's state is still to come.
    pub(crate) awaiting_state: bool,
    /// The predecessor process is still there.
    pub(crate) predecessor_alive: bool,
    /// Requests that arrive are still read.
    pub(crate) accepting: bool,
    /// After the shutdown notice: all open requests have their answers.
    pub(crate) drained: bool,
}

/// How a process starts.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StartMode {
    /// A predecessor process is to transfer its state.
    pub(crate) awaiting_state: bool,
    /// The node is recovering and not ready for clients.
    pub(crate) recovering: bool,
}

impl NodeStatus {
    /// The status of a process that has only just started.
    pub(super) fn new(mode: StartMode) -> Self {
        let StartMode { awaiting_state, recovering } = mode;
        NodeStatus {
            health: None,
            maintenance: false,
            recovering,
            warm_at: None,
            idle_timeout: None,
            draining: None,
            handed_over: false,
            awaiting_state,
            predecessor_alive: awaiting_state,
            accepting: true,
            drained: false,
        }
    }

    /// The answer to health checks.
    pub(crate) fn healthy(&self) -> bool {
        self.health == Some(true) && !self.maintenance && !self.recovering
    }

    /// Whether requests can be served: the admission module has started, the predecessor's state is known, and this
    /// process is not to leave.
    pub(crate) fn is_serving(&self) -> bool {
        self.health.is_some() && !self.awaiting_state && !self.handed_over && self.draining.is_none()
    }

    /// Whether two processes are this node at present.
    pub(crate) fn shares_node(&self) -> bool {
        self.handed_over || self.predecessor_alive
    }

    /// Whether new connections are accepted.
    pub(crate) fn accepts_clients(&self) -> bool {
        self.accepting && !self.handed_over
    }
}
