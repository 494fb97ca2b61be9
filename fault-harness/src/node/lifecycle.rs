//! How a node's program ends and is restarted, and what faults do to its process.

use std::process::ExitStatus;
use std::rc::Rc;

use tokio::task::spawn_local;

use super::{Node, StartError};
use crate::history::{Event, ProcessExit};
use crate::model::Ms;
use crate::process::{Program, Signal};
use crate::scenario::{Fault, StoredState};

/// A node whose interpreter died is restarted after this.
const RESTART_DELAY_AFTER_DEATH: Ms = 2000.0;

/// Why a program is expected to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// A fault kills it.
    Killed,
    /// It was told to shut down.
    ShuttingDown,
    /// The play has ended.
    PlayEnded,
}

/// How a node is restarted after its program has ended.
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
    /// With the state that the program left, and nothing else changed.
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

    /// As a fault says; the draw decides where a file is cut.
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
    /// Handles the end of its program.
    pub(super) fn on_exit(self: &Rc<Self>) {
        let status = self.program.borrow_mut().take().and_then(|mut program| program.wait().ok());
        self.address.send_replace(None);
        let ending = self.ending.replace(None);
        if ending == Some(Ending::PlayEnded) {
            return;
        }
        self.interpreter.stop();
        if let Some(exit) = process_exit(ending, status) {
            self.note_down(exit);
        }
        let Some(planned) = self.planned_restart.borrow_mut().take() else { return };
        let node = self.clone();
        spawn_local(async move {
            node.context.clock.until(node.context.now() + planned.delay).await;
            if let Err(error) = node.restart(&planned) {
                node.note_down(ProcessExit::Crashed(format!("not started again: {error}")));
            }
        });
    }

    fn note_down(&self, exit: ProcessExit) {
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

    /// Kills it with its interpreter; it is restarted after `down`, if that is given.
    pub fn kill(&self, down: Option<Ms>, fault: &Fault, draw: u64) {
        self.schedule_restart(down.map(|delay| PlannedRestart::after_fault(delay, fault, draw)));
        self.end(Ending::Killed);
        self.interpreter.stop();
    }

    /// Ends its program at once, if there is one.
    pub fn end(&self, ending: Ending) {
        let program = self.program.borrow();
        let Some(program) = &*program else { return };
        self.ending.set(Some(ending));
        // It may have ended already.
        let _ = program.signal(Signal::KILL);
        if ending == Ending::Killed {
            // Noted before its connections are seen to end.
            self.note_down(ProcessExit::Killed);
            self.address.send_replace(None);
        }
    }

    /// Tells it to shut down; it is killed when its time for that is over. It is restarted like after [`Node::kill`].
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
                node.note_down(ProcessExit::ShutdownTimedOut);
                node.end(Ending::Killed);
            }
        });
    }

    /// Tells it to read its files again.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Sends a signal to its program, if there is one, and returns the program's id.
    fn signal(&self, signal: Signal) -> Option<u32> {
        let program = self.program.borrow();
        let program = program.as_ref()?;
        // It may have ended already.
        let _ = program.signal(signal);
        Some(program.id())
    }

    /// Pauses it, or resumes it.
    pub fn set_paused(&self, paused: bool, program_only: bool) {
        self.signal(if paused { Signal::STOP } else { Signal::CONT });
        if !program_only {
            self.interpreter.set_suspended(paused);
        }
        self.context.note(Event::Paused { node: self.index, paused });
    }

    /// Notes the resources that its program takes, and ends it where its interpreter has died.
    pub fn sample(&self) {
        // Until it logs, its process may still be a copy of this one, with all that this one has open.
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

/// How a program ended, for the history; none where that was noted when it was killed.
fn process_exit(ending: Option<Ending>, status: Option<ExitStatus>) -> Option<ProcessExit> {
    match (ending, status) {
        (Some(Ending::Killed), _) => None,
        (Some(Ending::ShuttingDown), Some(status)) if status.success() => Some(ProcessExit::ShutDown),
        (_, Some(status)) => Some(ProcessExit::Crashed(status.to_string())),
        (_, None) => Some(ProcessExit::Crashed("unknown".into())),
    }
}
