//! The metrics of a process: counted where things happen, and shown under `/ops/stats`.

use std::cell::{Cell, RefCell};
use std::fmt::{self, Debug, Formatter, Write};

use oakwind_admission::ClassId;

use crate::outcome::RequestOutcome;

/// Every name begins with this.
const NAME_PREFIX: &str = "svc";

/// What became of the requests of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct ClassCounters {
    /// Requests that were served.
    served: u64,
    /// Requests that were rejected.
    rejected: u64,
    /// Requests that failed.
    failed: u64,
    /// Runs that were handed to the backend.
    runs: u64,
}

/// The metrics of a process, all from 0 at its start.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    /// By the position of the class.
    classes: RefCell<Vec<ClassCounters>>,
    /// Requests without a response.
    open_requests: Cell<u64>,
    reloads_applied: Cell<u64>,
    reloads_rejected: Cell<u64>,
    sources: RefCell<Vec<Source>>,
}

/// One metric at the moment when it is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Metric {
    /// Its name, without the prefix.
    pub(crate) name: &'static str,
    /// Its value.
    pub(crate) value: u64,
}

impl Metric {
    /// A metric by its name without the prefix.
    pub(crate) fn new(name: &'static str, value: u64) -> Self {
        Metric { name, value }
    }
}

/// Reads the metrics that another module keeps.
struct Source(Box<dyn Fn() -> Vec<Metric>>);

impl Debug for Source {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.debug_list().entries((self.0)()).finish()
    }
}

impl Metrics {
    /// Counts a request as open until [`request_finished`](Self::request_finished).
    pub(crate) fn request_started(&self) {
        self.open_requests.set(self.open_requests.get() + 1);
    }

    /// Counts a request as no longer open: it has its response, or its client has gone.
    pub(crate) fn request_finished(&self) {
        self.open_requests.set(self.open_requests.get().saturating_sub(1));
    }

    /// Counts a response by its outcome.
    pub(crate) fn request_answered(&self, class: ClassId, outcome: &RequestOutcome) {
        self.update_class(class, |counters| match outcome {
            RequestOutcome::Served(_) => counters.served += 1,
            RequestOutcome::Rejected { .. } => counters.rejected += 1,
            RequestOutcome::Failed { .. } | RequestOutcome::BodyMismatch => counters.failed += 1,
        });
    }

    /// Counts a run that was handed to the backend.
    pub(crate) fn run_dispatched(&self, class: ClassId) {
        self.update_class(class, |counters| counters.runs += 1);
    }

    /// Counts a reload at SIGHUP, whether it was applied or rejected.
    pub(crate) fn configuration_reloaded(&self, applied: bool) {
        let counter = if applied { &self.reloads_applied } else { &self.reloads_rejected };
        counter.set(counter.get() + 1);
    }

    /// Shows the metrics that another module keeps, after those from before.
    pub(crate) fn register(&self, read: impl Fn() -> Vec<Metric> + 'static) {
        self.sources.borrow_mut().push(Source(Box::new(read)));
    }

    fn update_class(&self, class: ClassId, update: impl FnOnce(&mut ClassCounters)) {
        let mut classes = self.classes.borrow_mut();
        let position = usize::from(class.0);
        if classes.len() <= position {
            classes.resize(position + 1, ClassCounters::default());
        }
        update(&mut classes[position]);
    }

    /// All metrics as text, a line each. `class_names` are the names of the classes by position.
    pub(crate) fn render(&self, class_names: &[String]) -> String {
        let mut text = String::new();
        let classes = self.classes.borrow();
        for (position, class) in class_names.iter().enumerate() {
            let ClassCounters { served, rejected, failed, runs } =
                classes.get(position).copied().unwrap_or_default();
            let counters = [
                Metric::new("answered", served),
                Metric::new("deferred", rejected),
                Metric::new("errored", failed),
                Metric::new("sends", runs),
            ];
            for Metric { name, value } in counters {
                write_metric(&mut text, &format!("{name}{{group=\"{class}\"}}"), value);
            }
        }
        write_metric(&mut text, "current", self.open_requests.get());
        write_metric(&mut text, "conf_loaded", self.reloads_applied.get());
        write_metric(&mut text, "conf_invalid", self.reloads_rejected.get());
        for Metric { name, value } in self.sources.borrow().iter().flat_map(|source| (source.0)()) {
            write_metric(&mut text, name, value);
        }
        text
    }
}

fn write_metric(text: &mut String, name: &str, value: u64) {
    // Writing to memory does not fail.
    let _ = writeln!(text, "{NAME_PREFIX}_{name} {value}");
}
