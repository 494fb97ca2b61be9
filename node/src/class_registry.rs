//! The classes and tenants of the settings in force: their names and positions, and the bounds of a class that the
//! frontends need. It follows the settings at a reload.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use oakwind_admission::{Class, Effect};
use oakwind_settings::Parsed;

use crate::clock::UnixTime;

/// For this long after a reload requests of a class that was removed are still accepted: they were on their way.
const REMOVED_CLASS_GRACE: Duration = Duration::from_secs(1);

/// The names and bounds in the settings in force. Frontends and backends share it.
#[derive(Debug)]
pub(crate) struct ClassRegistry {
    settings: RefCell<Parsed>,
    /// When these settings came into force.
    replaced_at: Cell<UnixTime>,
}

impl ClassRegistry {
    /// The registry of these settings.
    pub(crate) fn new(settings: Parsed) -> Self {
        ClassRegistry { settings: RefCell::new(settings), replaced_at: Cell::default() }
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> Parsed {
        self.settings.borrow().clone()
    }

    /// Puts other settings into force, which keep the positions of the ones before.
    pub(crate) fn replace_settings(&self, settings: Parsed, now: UnixTime) {
        self.replaced_at.set(now);
        *self.settings.borrow_mut() = settings;
    }

    /// The names of all classes by position, those that were removed among them.
    pub(crate) fn class_names(&self) -> Vec<String> {
        self.settings.borrow().classes.clone()
    }

    /// The position of a class whose requests are accepted now.
    pub(crate) fn class_index(&self, name: &str, now: UnixTime) -> Option<u16> {
        let settings = self.settings.borrow();
        let in_grace = now < self.replaced_at.get() + REMOVED_CLASS_GRACE;
        let removed: &[usize] = if in_grace { &[] } else { &settings.retired_classes };
        index_of(&settings.classes, removed, name)
    }

    /// The name of a class; empty if there is none.
    pub(crate) fn class_name(&self, class: u16) -> String {
        self.settings.borrow().classes.get(usize::from(class)).cloned().unwrap_or_default()
    }

    /// The name of a tenant, if there is one at this position.
    pub(crate) fn tenant_name(&self, tenant: u16) -> Option<String> {
        self.settings.borrow().tenants.get(usize::from(tenant)).cloned()
    }

    /// Whether the requests of a class carry an idempotency key.
    pub(crate) fn is_keyed(&self, class: u16) -> bool {
        self.class_setting(class, |class| class.effect == Effect::IdempotencyKey).unwrap_or(false)
    }

    /// The position of a tenant. One that was removed keeps it, as its clients may not know yet.
    pub(crate) fn tenant_index(&self, name: &str) -> Option<u16> {
        index_of(&self.settings.borrow().tenants, &[], name)
    }

    /// The deadline of a request: the one that was asked for, but none later than that of its class. So no request is
    /// queued for ever, and sums of times don't overflow.
    pub(crate) fn request_deadline(
        &self,
        class: u16,
        now: UnixTime,
        requested: Option<UnixTime>,
    ) -> UnixTime {
        let latest = now + self.class_timeout(class);
        requested.map_or(latest, |requested| requested.min(latest))
    }

    /// A request's cost hint within the time that its class has. One absurd hint does not spoil the mean that all
    /// estimates are made from.
    pub(crate) fn bounded_cost_hint(&self, class: u16, cost_hint: Duration) -> Duration {
        cost_hint.min(self.class_timeout(class))
    }

    /// How long clients wait for requests of a class.
    fn class_timeout(&self, class: u16) -> Duration {
        self.class_setting(class, |class| class.deadline).unwrap_or_default()
    }

    fn class_setting<T>(&self, class: u16, read: impl FnOnce(&Class) -> T) -> Option<T> {
        self.settings.borrow().settings.classes.get(usize::from(class)).map(read)
    }
}

fn index_of(names: &[String], removed: &[usize], name: &str) -> Option<u16> {
    let index = names.iter().position(|known| known == name).filter(|index| !removed.contains(index));
    index.and_then(|index| u16::try_from(index).ok())
}

#[cfg(test)]
mod tests;
