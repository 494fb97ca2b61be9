//! Requests and server state for the unit tests of single decisions.

use std::time::Duration;

use crate::admission::class_estimates::ClassEstimates;
use crate::admission::context::Context;
use crate::admission::priority::Priority;
use crate::admission::quantities::Fraction;
use crate::admission::requests::request::{Phase, Request, Run};
use crate::admission::requests::table::RequestTable;
use crate::admission::time::{Instant, Span};
use crate::interface::{RequestId, Settings};

/// Clock reading, in seconds, at which the requests of these tests arrive.
pub(crate) const START: f64 = 100.0;

/// The point in time this many seconds after the requests of these tests arrive.
pub(crate) fn at(seconds: f64) -> Instant {
    Instant::from_clock(Duration::from_secs_f64(START + seconds))
}

/// The time span of this many seconds.
pub(crate) fn seconds(seconds: f64) -> Span {
    Span::from_seconds(seconds)
}

/// The priority of a request with this weight and one second of work, within its quota.
pub(crate) fn priority(weight: f64) -> Priority {
    Priority::new(weight, seconds(1.0), Fraction::ALL, 1.0)
}

/// A queued request of the first class, with its objective after one second and its deadline after five.
pub(crate) fn queued() -> Request {
    Request {
        class: 0,
        memory_kb: 1.0,
        arrived_at: at(0.0),
        objective_deadline: at(1.0),
        deadline: at(5.0),
        relative_cost: 1.0,
        priority: priority(1.0),
        may_call: false,
        answer_settled: false,
        phase: Phase::Queued,
    }
}

/// A request like [`queued`] whose run started on arrival.
pub(crate) fn running() -> Request {
    Request { phase: Phase::Running(Run::started(at(0.0))), ..queued() }
}

/// A request like [`queued`] that may call and whose run reached a call on arrival.
pub(crate) fn awaiting_call() -> Request {
    let phase = Phase::AwaitingCall { run: Run::started(at(0.0)), needed_at: at(0.0) };
    Request { phase, may_call: true, ..queued() }
}

/// The parts of the server state that decisions read.
pub(crate) struct ServerState {
    pub(crate) settings: Settings,
    pub(crate) requests: RequestTable,
    pub(crate) estimates: ClassEstimates,
}

impl ServerState {
    /// Creates a server without requests.
    pub(crate) fn new(settings: Settings) -> Self {
        let estimates = ClassEstimates::new(settings.classes.len());
        ServerState { settings, requests: RequestTable::default(), estimates }
    }

    /// Creates a server with these requests, numbered from 1.
    pub(crate) fn with_requests(settings: Settings, requests: Vec<Request>) -> Self {
        let mut state = ServerState::new(settings);
        for (number, request) in (1..).zip(requests) {
            state.requests.insert(RequestId(number), request);
        }
        state
    }

    /// Records a successful run of the first class that took `work` seconds on a core.
    pub(crate) fn record_work(&mut self, work: f64) {
        self.estimates.record_run(&running(), seconds(work));
    }

    /// The context of a decision `now` seconds after the requests arrive.
    pub(crate) fn context(&self, now: f64) -> Context<'_> {
        Context::new(at(now), &self.settings, &self.requests, &self.estimates)
    }
}
