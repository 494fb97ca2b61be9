//! What an interpreter works on: runs of requests, and overhead tasks beside them.

use crate::model::Ms;

/// A request to run.
#[derive(Debug, Clone, Copy)]
pub struct RunRequest {
    /// Its attempt.
    pub attempt: u64,
    /// Work on a core of speed 1.
    pub work: Ms,
    /// Whether it calls the dependency half way through.
    pub calls_dependency: bool,
}

/// Where a run is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum RunState {
    /// Runnable: it shares the cores with the others.
    Running,
    /// Off the cores, with its progress.
    Paused,
    /// It waits for its call.
    WaitingForCall,
}

/// A run, from its start to its end.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) remaining: Ms,
    /// The work that remains when the call is made; none after it, or without one.
    pub(super) call_at: Option<Ms>,
    pub(super) state: RunState,
}

impl Run {
    /// Whether it shares the cores.
    pub(super) fn is_running(&self) -> bool {
        self.state == RunState::Running
    }
}

/// A request that was written to the node and is not over.
#[derive(Debug, Clone, Copy)]
pub(super) struct OpenRequest {
    pub(super) memory_kb: f64,
    /// From when on it counts against the memory.
    pub(super) counts_from: Ms,
}

/// Work beside the runs: reading a request, or accepting a connection.
#[derive(Debug, Clone, Copy)]
pub(super) struct OverheadTask {
    pub(super) remaining: Ms,
    /// The attempt that is read; none for a connection.
    pub(super) reads: Option<u64>,
}
