//! The runs that were started on the interpreter and whose end has not been read, and the commands that are
//! sent for them.

use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};

use crate::class_registry::ClassRegistry;
use crate::exchange::{Request, RunCommand, TransactionId};
use crate::line_codec::encode;

/// The result of a call that a run waits for.
#[derive(Debug)]
enum CallResult {
    Reply(Bytes),
    Skipped,
}

/// A run whose end has not been read.
#[derive(Debug)]
struct Run {
    request: Rc<Request>,
    /// The number of the notice that asked for the latest call; 0 before the first call.
    call_notice: u64,
    /// The result of the latest call; none while the run waits for it.
    call_result: Option<CallResult>,
    is_stopped: bool,
}

/// All runs whose end has not been read, by the id of their request.
#[derive(Debug)]
pub(super) struct Runs {
    runs: BTreeMap<TransactionId, Run>,
    registry: Rc<ClassRegistry>,
}

impl Runs {
    /// Creates an empty table. Classes are sent by their names in `registry`.
    pub(super) fn new(registry: Rc<ClassRegistry>) -> Self {
        Runs { runs: BTreeMap::new(), registry }
    }

    pub(super) fn len(&self) -> usize {
        self.runs.len()
    }

    /// Removes a run. Returns false if there is no run for the request.
    pub(super) fn remove(&mut self, txn: &TransactionId) -> bool {
        self.runs.remove(txn).is_some()
    }

    /// Removes all runs and returns their ids.
    pub(super) fn remove_all(&mut self) -> Vec<TransactionId> {
        std::mem::take(&mut self.runs).into_keys().collect()
    }

    /// Records that a run waits for the call that this notice asks for.
    pub(super) fn await_call(&mut self, txn: &TransactionId, notice: u64) {
        if let Some(run) = self.runs.get_mut(txn) {
            run.call_notice = notice;
            run.call_result = None;
        }
    }

    /// Records a command, so that it can be sent again on a new link until its effect has been read.
    pub(super) fn record(&mut self, command: &RunCommand) {
        match command {
            RunCommand::Run(request) => {
                let run =
                    Run { request: request.clone(), call_notice: 0, call_result: None, is_stopped: false };
                self.runs.insert(request.txn.clone(), run);
            }
            RunCommand::Stop(txn) => self.update(txn, |run| run.is_stopped = true),
            RunCommand::Skip(txn) => self.update(txn, |run| run.call_result = Some(CallResult::Skipped)),
            RunCommand::Resolve { txn, reply } => {
                self.update(txn, |run| run.call_result = Some(CallResult::Reply(reply.clone())));
            }
            RunCommand::Gauges => {}
        }
    }

    fn update(&mut self, txn: &TransactionId, change: impl FnOnce(&mut Run)) {
        if let Some(run) = self.runs.get_mut(txn) {
            change(run);
        }
    }

    /// Appends the message for a recorded command. Appends nothing if its run has ended.
    pub(super) fn encode_command(&self, command: &RunCommand, output: &mut BytesMut) {
        match command {
            RunCommand::Gauges => encode(output, &[b"TOP", b"g"], None),
            RunCommand::Run(request) => self.with_run(&request.txn, |run| self.encode_run(run, output)),
            RunCommand::Stop(txn) => self.with_run(txn, |run| encode_stop(run, output)),
            RunCommand::Resolve { txn, .. } | RunCommand::Skip(txn) => {
                self.with_run(txn, |run| encode_call_result(run, output));
            }
        }
    }

    /// Appends the messages for all commands whose effect has not been read. The interpreter ignores those
    /// that it has already carried out.
    pub(super) fn encode_all(&self, output: &mut BytesMut) {
        for run in self.runs.values() {
            self.encode_run(run, output);
            encode_call_result(run, output);
            encode_stop(run, output);
        }
    }

    fn with_run(&self, txn: &TransactionId, write: impl FnOnce(&Run)) {
        if let Some(run) = self.runs.get(txn) {
            write(run);
        }
    }

    fn encode_run(&self, run: &Run, output: &mut BytesMut) {
        let class = self.registry.class_name(run.request.class);
        encode(output, &[b"APPLY", run.request.txn.as_bytes(), class.as_bytes()], Some(&run.request.body));
    }
}

fn encode_stop(run: &Run, output: &mut BytesMut) {
    if run.is_stopped {
        encode(output, &[b"BREAK", run.request.txn.as_bytes()], None);
    }
}

fn encode_call_result(run: &Run, output: &mut BytesMut) {
    let txn = run.request.txn.as_bytes();
    match &run.call_result {
        Some(CallResult::Reply(reply)) => encode(output, &[b"RESOLVE", txn], Some(reply)),
        Some(CallResult::Skipped) => {
            encode(output, &[b"STUB", txn, run.call_notice.to_string().as_bytes()], None);
        }
        None => {}
    }
}

#[cfg(test)]
mod tests;
