//! What those who speak with other parties need of the settings: the names that classes and tenants go by, and
//! the classes' habits. It follows the settings at a reload.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use oakwind_admission::{Class, Effect};
use oakwind_settings::Parsed;

use crate::clock::UnixTime;

/// Requests of a class that the settings no longer have are taken for so long: guards those that were on their way.
const CROSSING: Duration = Duration::from_secs(1);

/// The names and habits in the settings that hold now.
#[derive(Debug)]
pub struct ClassRegistry {
    known: RefCell<Parsed>,
    /// When the settings that hold now came.
    since: Cell<UnixTime>,
}

impl ClassRegistry {
    /// The names in these settings.
    pub fn new(settings: Parsed) -> Self {
        ClassRegistry { known: RefCell::new(settings), since: Cell::default() }
    }

    /// The settings that hold now.
    pub fn settings(&self) -> Parsed {
        self.known.borrow().clone()
    }

    /// Other settings hold from now on, which follow the ones before.
    pub fn replace_settings(&self, settings: Parsed, now: UnixTime) {
        self.since.set(now);
        *self.known.borrow_mut() = settings;
    }

    /// The names of all classes, by position.
    pub fn class_names(&self) -> Vec<String> {
        self.known.borrow().classes.clone()
    }

    /// The position of a class that requests may have now.
    pub fn class_index(&self, name: &str, now: UnixTime) -> Option<u16> {
        let known = self.known.borrow();
        let crossing = now < self.since.get() + CROSSING;
        position(&known.classes, if crossing { &[] } else { &known.retired_classes }, name)
    }

    /// The name of a class.
    pub fn class_name(&self, class: u16) -> String {
        self.known.borrow().classes.get(usize::from(class)).cloned().unwrap_or_default()
    }

    /// The name of a tenant, if it is one.
    pub fn tenant_name(&self, tenant: u16) -> Option<String> {
        self.known.borrow().tenants.get(usize::from(tenant)).cloned()
    }

    /// Whether the requests of a class carry a key.
    pub fn is_keyed(&self, class: u16) -> bool {
        self.habit(class, |class| class.effect == Effect::IdempotencyKey).unwrap_or(false)
    }

    /// How long the callers of a class wait altogether.
    fn class_deadline(&self, class: u16) -> Duration {
        self.habit(class, |class| class.deadline).unwrap_or_default()
    }

    fn habit<T>(&self, class: u16, of: impl FnOnce(&Class) -> T) -> Option<T> {
        self.known.borrow().settings.classes.get(usize::from(class)).map(of)
    }

    /// When a request's caller stops waiting: when it says, but no later than any caller of its class would.
    /// Guards the hold against requests that would stay in it for ever, and sums of times against overflow.
    pub fn request_deadline(&self, class: u16, now: UnixTime, wanted: Option<UnixTime>) -> UnixTime {
        let latest = now + self.class_deadline(class);
        wanted.map_or(latest, |wanted| wanted.min(latest))
    }

    /// A request's hint of its work, within reason. Guards the mean of the hints, and so everyone's estimates,
    /// against one absurd hint.
    pub fn bounded_cost_hint(&self, class: u16, cost_hint: Duration) -> Duration {
        cost_hint.min(self.class_deadline(class))
    }

    /// The position of a tenant. One that the settings no longer have keeps it: its clients may not know yet.
    pub fn tenant_index(&self, name: &str) -> Option<u16> {
        position(&self.known.borrow().tenants, &[], name)
    }
}

fn position(names: &[String], retired: &[usize], name: &str) -> Option<u16> {
    let position = names.iter().position(|n| n == name).filter(|position| !retired.contains(position));
    position.and_then(|position| u16::try_from(position).ok())
}

#[cfg(test)]
mod tests;
