//! Commands of the dispatcher to the backends.

use std::rc::Rc;

use bytes::Bytes;

use super::request::Request;
use crate::clock::Unix;

/// A command to the backend that runs requests.
#[derive(Debug)]
pub(crate) enum RunCommand {
    /// Run a request.
    Run(Rc<Request>),
    /// Stop the run with this transaction id.
    Stop(Bytes),
    /// Give the run with this transaction id the reply to its call.
    Resolve(Bytes, Bytes),
    /// Let the run with this transaction id go on without its call.
    Skip(Bytes),
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
        until: Unix,
    },
    /// Give up the call for this transaction id.
    GiveUp(Bytes),
}
