//! The end and restart of a node's process, and the faults that act on the process.

use std::process::ExitStatus;
use std::rc::Rc;

use tokio::task::spawn_local;

use super::{Node, StartError};
use crate::history::{Event, ProcessExit};
use crate::model::Ms;
use crate::process::{Program, Signal};
use crate::scenario::{Fault, StoredState};

/// Delay before the restart of a node whose interpreter has died.
const RESTART_DELAY_AFTER_DEATH: Ms = 2000.0;

/// Why a node's process is expected to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The harness kills it: a fault, a shutdown that timed out, or the death of its interpreter.
    Killed,
    /// It has received SIGTERM and shuts down gracefully.
    ShuttingDown,
    /// The play is over, and all processes are killed.
    PlayEnded,
}

/// The restart of a node after its process has ended.
#[derive(Debug, Clone)]
pub(super) struct PlannedRestart {
    delay: Ms,
    folder: StoredState,
    draw: u64,
    program: Option<String>,
    clock: Option<String>,
    previous_membership: bool,
}

impl PlannedRestart {
    /// A restart with the stored state, build, clock and membership unchanged.
    fn unchanged(delay: Ms) -> PlannedRestart {
        PlannedRestart {
            delay,
            folder: StoredState::Intact,
            draw: 0,
            program: None,
            clock: None,
            previous_membership: false,
        }
    }

    /// A restart with the changes that a fault describes. `draw` selects the byte at which a file is
    /// truncated.
    fn after_fault(delay: Ms, fault: &Fault, draw: u64) -> PlannedRestart {
        PlannedRestart {
            delay,
            folder: fault.folder,
            draw,
            program: fault.program.clone(),
            clock: fault.clock.clone(),
            previous_membership: fault.previous_membership,
        }
    }
}

impl Node {
    /// Handles the end of the process: records it and schedules the planned restart.
    pub(super) fn on_exit(self: &Rc<Self>) {
        let status = self.program.borrow_mut().take().and_then(|mut program| program.wait().ok());
        self.address.send_replace(None);
        let ending = self.ending.replace(None);
        if ending == Some(Ending::PlayEnded) {
            return;
        }
        self.interpreter.stop();
        if let Some(exit) = process_exit(ending, status) {
            self.record_down(exit);
        }
        let Some(planned) = self.planned_restart.borrow_mut().take() else { return };
        let node = self.clone();
        spawn_local(async move {
            node.context.clock.until(node.context.now() + planned.delay).await;
            if let Err(error) = node.restart(&planned) {
                node.record_down(ProcessExit::Crashed(format!("the node could not be restarted: {error}")));
            }
        });
    }

    fn record_down(&self, exit: ProcessExit) {
        self.context.note(Event::NodeDown { node: self.index, exit });
    }

    fn restart(self: &Rc<Self>, planned: &PlannedRestart) -> Result<(), StartError> {
        if let Some(build) = &planned.program {
            *self.build.borrow_mut() = Some(build.clone());
        }
        self.clock.borrow_mut().clone_from(&planned.clock);
        let previous = self.previous_membership.borrow_mut().take();
        if let Some(previous) = previous.filter(|_| planned.previous_membership) {
            *self.membership.borrow_mut() = previous;
        }
        self.state_folders.prepare(planned.folder, planned.draw).map_err(StartError::file(&self.folder))?;
        if planned.folder != StoredState::Intact || !self.context.scenario.fleet.folder {
            self.context.note(Event::StateLost { node: self.index });
        }
        self.interpreter.start();
        self.start()
    }

    fn schedule_restart(&self, planned: Option<PlannedRestart>) {
        *self.planned_restart.borrow_mut() = planned;
    }

    /// Kills the process and its interpreter. The node is restarted after `down`; without it the node stays
    /// down.
    pub fn kill(&self, down: Option<Ms>, fault: &Fault, draw: u64) {
        self.schedule_restart(down.map(|delay| PlannedRestart::after_fault(delay, fault, draw)));
        self.end(Ending::Killed);
        self.interpreter.stop();
    }

    /// Kills the process at once, if it runs.
    pub fn end(&self, ending: Ending) {
        let program = self.program.borrow();
        let Some(program) = &*program else { return };
        self.ending.set(Some(ending));
        // The signal fails if the process has already ended.
        let _ = program.signal(Signal::KILL);
        if ending == Ending::Killed {
            // Recorded before any connection of the process is seen to close, so that the history explains
            // the closing.
            self.record_down(ProcessExit::Killed);
            self.address.send_replace(None);
        }
    }

    /// Sends SIGTERM, and SIGKILL if the process still runs after `fleet.stop_ms`. The node is restarted as
    /// after [`Node::kill`].
    pub fn shut_down(self: &Rc<Self>, down: Option<Ms>, fault: &Fault, draw: u64) {
        let Some(id) = self.signal(Signal::TERM) else { return };
        self.schedule_restart(down.map(|delay| PlannedRestart::after_fault(delay, fault, draw)));
        self.ending.set(Some(Ending::ShuttingDown));
        self.context.note(Event::ShutdownNotice { node: self.index });
        let node = self.clone();
        let deadline = self.context.now() + self.context.scenario.fleet.stop_ms as f64;
        spawn_local(async move {
            node.context.clock.until(deadline).await;
            if node.program.borrow().as_ref().is_some_and(|program| program.id() == id) {
                node.record_down(ProcessExit::ShutdownTimedOut);
                node.end(Ending::Killed);
            }
        });
    }

    /// Sends SIGHUP, so that the process reloads its configuration files.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Sends a signal to the process, if it runs, and returns the process id.
    fn signal(&self, signal: Signal) -> Option<u32> {
        let program = self.program.borrow();
        let program = program.as_ref()?;
        // The signal fails if the process has already ended.
        let _ = program.signal(signal);
        Some(program.id())
    }

    /// Pauses or resumes the process, and its interpreter unless `program_only` is set.
    pub fn set_paused(&self, paused: bool, program_only: bool) {
        self.signal(if paused { Signal::STOP } else { Signal::CONT });
        if !program_only {
            self.interpreter.set_suspended(paused);
        }
        self.context.note(Event::Paused { node: self.index, paused });
    }

    /// Records the resource usage of the process. Kills the process and plans its restart if its interpreter
    /// has died.
    pub fn sample(&self) {
        // Before its first log line the process may still be the fork of the harness, whose memory and open
        // descriptors would be counted as its own.
        let usage = self.program.borrow().as_ref().filter(|_| self.has_logged.get()).and_then(Program::usage);
        if let Some(usage) = usage {
            self.context.note(Event::ResourceSample {
                node: self.index,
                memory_kb: usage.memory_kb,
                descriptors: usage.descriptors,
                cpu_ms: usage.cpu_ms,
            });
        }
        if self.interpreter.take_cause_of_death().is_some() {
            self.schedule_restart(Some(PlannedRestart::unchanged(RESTART_DELAY_AFTER_DEATH)));
            self.end(Ending::Killed);
        }
    }
}

/// How a process ended, for the history; none if that was already recorded when the harness killed it.
fn process_exit(ending: Option<Ending>, status: Option<ExitStatus>) -> Option<ProcessExit> {
    match (ending, status) {
        (Some(Ending::Killed), _) => None,
        (Some(Ending::ShuttingDown), Some(status)) if status.success() => Some(ProcessExit::ShutDown),
        (_, Some(status)) => Some(ProcessExit::Crashed(status.to_string())),
        (_, None) => Some(ProcessExit::Crashed("unknown".into())),
    }
}
