//! Commands of the dispatcher to the backends.

use std::rc::Rc;

use bytes::Bytes;

use super::request::{Request, TransactionId};
use crate::clock::UnixTime;

/// A command to the backend that runs requests.
#[derive(Debug)]
pub(crate) enum RunCommand {
    /// Run a request.
    Run(Rc<Request>),
    /// Stop a run.
    Stop(TransactionId),
    /// Give a run the reply to its call.
    Resolve {
        /// The attempt that runs.
        txn: TransactionId,
        /// The reply.
        reply: Bytes,
    },
    /// Let a run go on without its call.
    Skip(TransactionId),
    /// Report the gauges.
    Gauges,
}

/// A command to the backend that makes calls.
#[derive(Debug)]
pub(crate) enum CallCommand {
    /// Make a call.
    Call {
        /// The request that it is made for.
        request: Rc<Request>,
        /// The body that the run gave.
        body: Bytes,
        /// When the call is given up.
        deadline: UnixTime,
    },
    /// Give up the call of a run.
    GiveUp(TransactionId),
}
