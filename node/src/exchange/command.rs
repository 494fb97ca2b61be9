//! Commands from the dispatcher to the backends.

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
    /// Pass the reply of a call to the run that waits for it.
    Resolve {
        /// Transaction id of the running attempt.
        txn: TransactionId,
        reply: Bytes,
    },
    /// Let a run continue without the call that it waits for.
    Skip(TransactionId),
    /// Report the values of the gauges.
    Gauges,
}

/// A command to the backend that makes calls.
#[derive(Debug)]
pub(crate) enum CallCommand {
    /// Make a call.
    Call {
        /// The request whose run needs the call.
        request: Rc<Request>,
        /// The body of the call, as the run supplied it.
        body: Bytes,
        /// When the backend abandons the call.
        deadline: UnixTime,
    },
    /// Abandon the call of a run, because its reply is no longer needed.
    Abandon(TransactionId),
}
