//! The status of the node that the dispatcher publishes.

use std::time::Duration;

use crate::clock::UnixTime;

/// A notice that the process is to be shut down.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ShutdownNotice {
    /// When the process is going to be stopped.
    pub(crate) stops_at: UnixTime,
    /// When the notice came.
    pub(crate) noticed_at: UnixTime,
}

/// Status of the node, as read by the tasks that accept connections, answer health checks and report metrics.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct NodeStatus {
    /// Whether the admission module finds the node healthy; `None` until it has started.
    pub(crate) health: Option<bool>,
    /// Whether an operator has turned maintenance mode on.
    pub(crate) maintenance: bool,
    /// Whether the node is recovering and not ready for clients.
    pub(crate) recovering: bool,
    /// When the backend counts as warm; `None` if it did not start cold, or has not started.
    pub(crate) warm_at: Option<UnixTime>,
    /// Connections that are idle for this long are closed; `None` until the admission module has started.
    pub(crate) idle_timeout: Option<Duration>,
    /// The shutdown notice; `None` until it has come.
    pub(crate) draining: Option<ShutdownNotice>,
    /// Whether a successor process serves new clients. This one still answers the requests that it has read.
    pub(crate) handed_over: bool,
    /// Whether keys that another process of this node has run are still to be received, or recovered from the
    /// result store.
    pub(crate) awaiting_state: bool,
    /// Whether the predecessor process may still be running.
    pub(crate) predecessor_alive: bool,
    /// Whether requests that arrive are still read.
    pub(crate) accepting: bool,
    /// Whether, after the shutdown notice, all open requests have been answered and nothing is to be sent to a
    /// successor.
    pub(crate) drained: bool,
}

/// How a process starts.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StartMode {
    /// Whether a predecessor process is to transfer its state.
    pub(crate) awaiting_state: bool,
    /// Whether the node is recovering and not ready for clients.
    pub(crate) recovering: bool,
}

impl NodeStatus {
    /// Returns the status of a process that has just started.
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

    /// Whether health checks are answered as healthy.
    pub(crate) fn healthy(&self) -> bool {
        self.health == Some(true) && !self.maintenance && !self.recovering
    }

    /// Whether requests can be served: the admission module has started, the predecessor's state has been received,
    /// and this process neither hands over nor drains.
    pub(crate) fn is_serving(&self) -> bool {
        self.health.is_some() && !self.awaiting_state && !self.handed_over && self.draining.is_none()
    }

    /// Whether another process, a predecessor or a successor, runs for this node beside this one.
    pub(crate) fn shares_node(&self) -> bool {
        self.handed_over || self.predecessor_alive
    }

    /// Whether new connections are accepted.
    pub(crate) fn accepts_clients(&self) -> bool {
        self.accepting && !self.handed_over
    }
}
