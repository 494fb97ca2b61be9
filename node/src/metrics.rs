//! The metrics of a process. Other modules update or register them, and `GET /ops/stats` shows them.

use std::cell::{Cell, RefCell};
use std::fmt::{self, Debug, Formatter, Write};

use oakwind_admission::ClassId;

use crate::outcome::RequestOutcome;

/// Prefix of the name of each metric, separated by an underscore.
const NAME_PREFIX: &str = "svc";

/// Counters of the requests of one class, by outcome, and of their runs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct ClassCounters {
    /// Requests answered with the result of a run.
    served: u64,
    /// Requests rejected without a run.
    rejected: u64,
    /// Requests that failed, or whose body did not match the earlier one of the same key.
    failed: u64,
    /// Runs that were sent to the backend.
    runs: u64,
}

/// The metrics of a process; all counters are 0 at its start.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    /// Counters by the position of the class in the registry.
    classes: RefCell<Vec<ClassCounters>>,
    /// Number of requests that are not finished.
    open_requests: Cell<u64>,
    reloads_applied: Cell<u64>,
    reloads_rejected: Cell<u64>,
    sources: RefCell<Vec<Source>>,
}

/// The value of one metric at the time of reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Metric {
    /// The name without the prefix.
    pub(crate) name: &'static str,
    /// The current value of the counter or gauge.
    pub(crate) value: u64,
}

impl Metric {
    /// Creates a metric from its name without the prefix and its value.
    pub(crate) fn new(name: &'static str, value: u64) -> Self {
        Metric { name, value }
    }
}

/// A callback that reads the metrics of another module.
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

    /// Counts a request as no longer open: it was answered, or its client has disconnected.
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

    /// Counts a run that was sent to the backend.
    pub(crate) fn run_dispatched(&self, class: ClassId) {
        self.update_class(class, |counters| counters.runs += 1);
    }

    /// Counts a configuration reload on SIGHUP as applied or rejected.
    pub(crate) fn configuration_reloaded(&self, applied: bool) {
        let counter = if applied { &self.reloads_applied } else { &self.reloads_rejected };
        counter.set(counter.get() + 1);
    }

    /// Registers the metrics of another module. [`render`](Self::render) lists them in the order of
    /// registration.
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

    /// Renders all metrics as text with one line per metric. `class_names` are the names of the classes by
    /// position.
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
    // Writing to a string does not fail.
    let _ = writeln!(text, "{NAME_PREFIX}_{name} {value}");
}
