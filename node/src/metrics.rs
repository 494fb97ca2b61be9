//! What this process has done, in figures. Each is counted where it happens and read by operators.

use std::cell::{Cell, RefCell};
use std::fmt::Write;

use crate::outcome::RequestOutcome;

/// Every name begins with this.
const PREFIX: &str = "svc";

/// What became of a class's requests.
#[derive(Debug, Clone, Default, PartialEq)]
struct Counts {
    answered: u64,
    deferred: u64,
    errored: u64,
    sends: u64,
}

/// The figures of a process, all from 0 at its start.
#[derive(Debug, Default)]
pub struct Metrics {
    /// By the position of the class.
    classes: RefCell<Vec<Counts>>,
    current: Cell<u64>,
    loaded: Cell<u64>,
    invalid: Cell<u64>,
    /// What others count, by name.
    others: RefCell<Vec<ExternalMetrics>>,
}

/// Figures that another part keeps, by name.
pub struct ExternalMetrics(Box<dyn Fn() -> Vec<(&'static str, u64)>>);

impl std::fmt::Debug for ExternalMetrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_list().entries((self.0)()).finish()
    }
}

impl Metrics {
    /// A request was taken on; it counts as current until it has ended.
    pub fn request_started(&self) {
        self.current.set(self.current.get() + 1);
    }

    /// A request has ended: by its answer, or because its client has left.
    pub fn request_finished(&self) {
        self.current.set(self.current.get().saturating_sub(1));
    }

    /// A request got its answer.
    pub fn request_answered(&self, class: u16, outcome: &RequestOutcome) {
        self.count(class, |counts| match outcome {
            RequestOutcome::Served(_) => counts.answered += 1,
            RequestOutcome::Rejected { .. } => counts.deferred += 1,
            RequestOutcome::Failed { .. } | RequestOutcome::BodyMismatch => counts.errored += 1,
        });
    }

    /// A run was handed to what runs requests.
    pub fn run_dispatched(&self, class: u16) {
        self.count(class, |counts| counts.sends += 1);
    }

    /// A file was taken, or turned down, at SIGHUP.
    pub fn configuration_reloaded(&self, taken: bool) {
        let counted = if taken { &self.loaded } else { &self.invalid };
        counted.set(counted.get() + 1);
    }

    /// Shows what another part counts too.
    pub fn register(&self, others: Box<dyn Fn() -> Vec<(&'static str, u64)>>) {
        self.others.borrow_mut().push(ExternalMetrics(others));
    }

    fn count(&self, class: u16, change: impl FnOnce(&mut Counts)) {
        let (mut classes, class) = (self.classes.borrow_mut(), usize::from(class));
        if classes.len() <= class {
            classes.resize(class + 1, Counts::default());
        }
        change(&mut classes[class]);
    }

    /// All figures as text, a line each, for classes of these names.
    pub fn render(&self, names: &[String]) -> String {
        let mut text = String::new();
        let mut line = |name: &str, class: Option<&String>, value: u64| {
            let group = class.map_or(String::new(), |class| format!("{{group=\"{class}\"}}"));
            // Writing to memory does not fail.
            let _ = writeln!(text, "{PREFIX}_{name}{group} {value}");
        };
        let classes = self.classes.borrow();
        for (i, name) in names.iter().enumerate() {
            let counts = classes.get(i).cloned().unwrap_or_default();
            line("answered", Some(name), counts.answered);
            line("deferred", Some(name), counts.deferred);
            line("errored", Some(name), counts.errored);
            line("sends", Some(name), counts.sends);
        }
        line("current", None, self.current.get());
        line("conf_loaded", None, self.loaded.get());
        line("conf_invalid", None, self.invalid.get());
        for (name, value) in self.others.borrow().iter().flat_map(|others| (others.0)()) {
            line(name, None, value);
        }
        text
    }
}
