//! How a node's program ends and is restarted, and what faults do to its process.

use std::io;
use std::rc::Rc;

use tokio::task::spawn_local;

use super::Machine;
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
    /// It has notice to leave.
    Leaving,
    /// The play is over.
    Over,
}

/// How a node is restarted after its program has ended.
#[derive(Debug, Clone)]
pub(super) struct PlannedRestart {
    after: Ms,
    folder: StoredState,
    draw: u64,
    program: Option<String>,
    clock: Option<String>,
    old_list: bool,
}

impl Machine {
    /// Its program has ended.
    pub(super) fn on_exit(self: &Rc<Self>) {
        let status = self.program.borrow_mut().take().and_then(|mut program| program.wait().ok());
        self.address.send_replace(None);
        let way = match (self.ending.replace(None), status) {
            (Some(Ending::Over), _) => return,
            // That was noted when it was killed.
            (Some(Ending::Killed), _) => None,
            (Some(Ending::Leaving), Some(status)) if status.success() => Some(ProcessExit::ShutDown),
            (_, status) => {
                Some(ProcessExit::Crashed(status.map_or("unknown".into(), |status| status.to_string())))
            }
        };
        self.interpreter.end();
        if let Some(way) = way {
            self.context.note(Event::NodeDown { node: self.node, exit: way });
        }
        let Some(planned) = self.planned_restart.borrow_mut().take() else { return };
        let machine = self.clone();
        spawn_local(async move {
            machine.context.clock.until(machine.context.now() + planned.after).await;
            if let Err(e) = machine.restart(&planned) {
                machine.context.note(Event::NodeDown {
                    node: machine.node,
                    exit: ProcessExit::Crashed(format!("not started again: {e}")),
                });
            }
        });
    }

    fn restart(self: &Rc<Self>, planned: &PlannedRestart) -> io::Result<()> {
        if let Some(build) = &planned.program {
            *self.build.borrow_mut() = Some(build.clone());
        }
        self.clock.borrow_mut().clone_from(&planned.clock);
        if let Some(before) = self.list_before.borrow_mut().take().filter(|_| planned.old_list) {
            *self.list.borrow_mut() = before;
        }
        self.state_folders.prepare(planned.folder, planned.draw)?;
        if planned.folder != StoredState::Intact || !self.context.scenario.fleet.folder {
            self.context.note(Event::StateLost { node: self.node });
        }
        self.interpreter.start();
        self.start()
    }

    fn plan_restart(&self, down: Option<Ms>, fault: &Fault, draw: u64) {
        let (program, clock) = (fault.program.clone(), fault.clock.clone());
        let (folder, old_list) = (fault.folder, fault.previous_membership);
        *self.planned_restart.borrow_mut() =
            down.map(|after| PlannedRestart { after, folder, draw, program, clock, old_list });
    }

    /// Kills it with its interpreter; it is restarted after a while, if the fault says so.
    pub fn kill(&self, down: Option<Ms>, fault: &Fault, draw: u64) {
        self.plan_restart(down, fault, draw);
        self.end(Ending::Killed);
        self.interpreter.end();
    }

    /// Ends its program at once, if there is one.
    pub fn end(&self, ending: Ending) {
        if let Some(program) = &*self.program.borrow() {
            self.ending.set(Some(ending));
            // It may have ended already.
            let _ = program.signal(Signal::KILL);
            if ending == Ending::Killed {
                // Noted before its connections are seen to end.
                self.context.note(Event::NodeDown { node: self.node, exit: ProcessExit::Killed });
                self.address.send_replace(None);
            }
        }
    }

    /// Tells it to shut down; it is killed when its time for that is over.
    pub fn leave(self: &Rc<Self>, down: Option<Ms>, fault: &Fault, draw: u64) {
        let Some(id) = self.program.borrow().as_ref().map(|program| {
            // It may have ended already.
            let _ = program.signal(Signal::TERM);
            program.id()
        }) else {
            return;
        };
        self.plan_restart(down, fault, draw);
        self.ending.set(Some(Ending::Leaving));
        self.context.note(Event::ShutdownNotice { node: self.node });
        let (machine, stop) = (self.clone(), self.context.now() + self.context.scenario.fleet.stop_ms as f64);
        spawn_local(async move {
            machine.context.clock.until(stop).await;
            if machine.program.borrow().as_ref().is_some_and(|program| program.id() == id) {
                machine
                    .context
                    .note(Event::NodeDown { node: machine.node, exit: ProcessExit::ShutdownTimedOut });
                machine.end(Ending::Killed);
            }
        });
    }

    /// Tells it to read its files again.
    pub fn reload(&self) {
        if let Some(program) = &*self.program.borrow() {
            // It may have ended already.
            let _ = program.signal(Signal::HUP);
        }
    }

    /// Pauses it, or resumes it.
    pub fn set_paused(&self, paused: bool, program_only: bool) {
        if let Some(program) = &*self.program.borrow() {
            // It may have ended already.
            let _ = program.signal(if paused { Signal::STOP } else { Signal::CONT });
        }
        if !program_only {
            self.interpreter.set_paused(paused);
        }
        self.context.note(Event::Paused { node: self.node, paused });
    }

    /// Notes what its program takes, and ends it where its interpreter has died.
    pub fn sample(self: &Rc<Self>) {
        // Until it logs, its process may still be a copy of this one, with all that this one has open.
        let usage = self.program.borrow().as_ref().filter(|_| self.has_logged.get()).and_then(Program::usage);
        if let Some(usage) = usage {
            let (rss_kb, files, cpu_ms) = (usage.rss_kb, usage.files, usage.cpu_ms);
            self.context.note(Event::ResourceSample {
                node: self.node,
                memory_kb: rss_kb,
                descriptors: files,
                cpu_ms,
            });
        }
        if self.interpreter.fallen().is_some() {
            *self.planned_restart.borrow_mut() = Some(PlannedRestart {
                after: RESTART_DELAY_AFTER_DEATH,
                folder: StoredState::Intact,
                draw: 0,
                program: None,
                clock: None,
                old_list: false,
            });
            self.end(Ending::Killed);
        }
    }
}
