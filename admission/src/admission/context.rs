//! The state that every decision may read: the time, the settings, the open requests and the class estimates.

use crate::admission::class_estimates::ClassEstimates;
use crate::admission::constants::MIN_DIVISOR;
use crate::admission::quantities::{Fraction, RequestRate};
use crate::admission::requests::request::Request;
use crate::admission::requests::table::RequestTable;
use crate::admission::time::{Instant, Span};
use crate::interface::{Class, Settings};

/// Read-only view of the state of the server at the time of a decision.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Context<'a> {
    pub(crate) now: Instant,
    pub(crate) settings: &'a Settings,
    pub(crate) requests: &'a RequestTable,
    pub(crate) estimates: &'a ClassEstimates,
}

impl<'a> Context<'a> {
    pub(crate) fn new(
        now: Instant,
        settings: &'a Settings,
        requests: &'a RequestTable,
        estimates: &'a ClassEstimates,
    ) -> Self {
        Context { now, settings, requests, estimates }
    }

    /// The settings of the request's class.
    pub(crate) fn class_of(&self, request: &Request) -> &Class {
        &self.settings.classes[request.class]
    }

    /// The latency objective of the request's class.
    pub(crate) fn objective_of(&self, request: &Request) -> Span {
        Span::from(self.class_of(request).latency_objective)
    }

    /// Ratio of the time since the request arrived to the latency objective of its class. The extension of
    /// the objective by the request's own work is not included.
    pub(crate) fn latency_over_objective(&self, request: &Request) -> Fraction {
        let objective = self.objective_of(request).max(Span::from_seconds(MIN_DIVISOR));
        Fraction::new((self.now - request.arrived_at) / objective)
    }

    /// Number of cores of this server; at least one.
    pub(crate) fn cores(&self) -> f64 {
        f64::from(self.settings.cores.max(1))
    }

    /// Requests per second that the cores of this server can run.
    pub(crate) fn capacity(&self) -> RequestRate {
        self.estimates.capacity(self.cores())
    }

    /// Number of callers of this tier; at least one.
    pub(crate) fn callers(&self) -> f64 {
        f64::from(self.settings.callers.max(1))
    }
}
