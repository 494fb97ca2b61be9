//! The work of an interpreter: runs of requests, and overhead tasks.

use crate::model::Ms;

/// The parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct RunRequest {
    /// Id of the attempt that is run.
    pub attempt: u64,
    /// Work of the run: its duration on a core of speed 1.
    pub work: Ms,
    /// Whether the run calls the dependency half way through its work.
    pub calls_dependency: bool,
}

/// Whether a run uses the cores, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum RunState {
    /// Runnable: the run shares the cores with the others.
    Running,
    /// Paused: off the cores, with its progress kept.
    Paused,
    /// The run waits for the reply to its call.
    WaitingForCall,
}

/// A run that has not ended.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) remaining: Ms,
    /// Remaining work at which the call is made; none after the call, or if there is none.
    pub(super) call_at: Option<Ms>,
    pub(super) state: RunState,
}

impl Run {
    /// Whether the run shares the cores.
    pub(super) fn is_running(&self) -> bool {
        self.state == RunState::Running
    }
}

/// A request that was written to the node and is not closed.
#[derive(Debug, Clone, Copy)]
pub(super) struct OpenRequest {
    pub(super) memory_kb: f64,
    /// Time from which its memory counts.
    pub(super) counts_from: Ms,
}

/// Work that is no run: reading a request, or accepting a connection.
#[derive(Debug, Clone, Copy)]
pub(super) struct OverheadTask {
    pub(super) remaining: Ms,
    /// Id of the attempt whose request is read; none for a connection.
    pub(super) reads: Option<u64>,
}
