//! A server's state for the tests of one decision.

use std::time::Duration;

use crate::admission::class_estimates::ClassEstimates;
use crate::admission::context::Context;
use crate::admission::priority::Priority;
use crate::admission::quantities::Fraction;
use crate::admission::requests::request::{Phase, Request, Run};
use crate::admission::requests::table::RequestTable;
use crate::admission::time::{Instant, Span};
use crate::interface::{RequestId, Settings};

/// The time since the clock's start at which the requests of these tests arrive.
pub(crate) const START: f64 = 100.0;

/// The point in time so many seconds after the requests of these tests arrive.
pub(crate) fn at(seconds: f64) -> Instant {
    Instant::from_clock(Duration::from_secs_f64(START + seconds))
}

/// A length of time.
pub(crate) fn seconds(seconds: f64) -> Span {
    Span::from_seconds(seconds)
}

/// The priority of a request of this weight and one second of work.
pub(crate) fn priority(weight: f64) -> Priority {
    Priority::new(weight, seconds(1.0), Fraction::ALL, 1.0)
}

/// A queued request of the first class: objective after one second, deadline after five.
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

/// A request like [`queued`] that may call and reached a call on arrival.
pub(crate) fn awaiting_call() -> Request {
    let phase = Phase::AwaitingCall { run: Run::started(at(0.0)), needed_at: at(0.0) };
    Request { phase, may_call: true, ..queued() }
}

/// The parts of a server that decisions read.
pub(crate) struct ServerState {
    pub(crate) settings: Settings,
    pub(crate) requests: RequestTable,
    pub(crate) estimates: ClassEstimates,
}

impl ServerState {
    /// A server without requests.
    pub(crate) fn new(settings: Settings) -> Self {
        let estimates = ClassEstimates::new(settings.classes.len());
        ServerState { settings, requests: RequestTable::default(), estimates }
    }

    /// A server with these requests, numbered from 1.
    pub(crate) fn with_requests(settings: Settings, requests: Vec<Request>) -> Self {
        let mut state = ServerState::new(settings);
        for (number, request) in (1..).zip(requests) {
            state.requests.insert(RequestId(number), request);
        }
        state
    }

    /// Lets the first class's runs take this time.
    pub(crate) fn learn_work(&mut self, work: f64) {
        self.estimates.record_run(&running(), seconds(work));
    }

    /// What a decision at this time reads, in seconds after the requests arrive.
    pub(crate) fn context(&self, now: f64) -> Context<'_> {
        Context::new(at(now), &self.settings, &self.requests, &self.estimates)
    }
}
