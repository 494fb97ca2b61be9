//! The classes and tenants of the settings in force: their names and positions, and the limits of a class
//! that the frontends need. A reload replaces them.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use oakwind_admission::{Class, ClassId, Effect, TenantId};
use oakwind_settings::NamedSettings;

use crate::clock::UnixTime;

/// Time after a reload in which requests of a removed class are still accepted, as they may have been sent
/// before it.
const REMOVED_CLASS_GRACE: Duration = Duration::from_secs(1);

/// The names and limits in the settings in force. Frontends and backends share the registry.
#[derive(Debug)]
pub(crate) struct ClassRegistry {
    settings: RefCell<NamedSettings>,
    /// When these settings came into force.
    replaced_at: Cell<UnixTime>,
}

impl ClassRegistry {
    /// Creates the registry with the settings at startup.
    pub(crate) fn new(settings: NamedSettings) -> Self {
        ClassRegistry { settings: RefCell::new(settings), replaced_at: Cell::default() }
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> NamedSettings {
        self.settings.borrow().clone()
    }

    /// Puts new settings into force, in which classes and tenants must keep their positions.
    pub(crate) fn replace_settings(&self, settings: NamedSettings, now: UnixTime) {
        self.replaced_at.set(now);
        *self.settings.borrow_mut() = settings;
    }

    /// The names of all classes by position, including removed ones.
    pub(crate) fn class_names(&self) -> Vec<String> {
        self.settings.borrow().classes.clone()
    }

    /// The class with this name; none if there is none, or its requests are no longer accepted.
    pub(crate) fn class_id(&self, name: &str, now: UnixTime) -> Option<ClassId> {
        let settings = self.settings.borrow();
        let in_grace = now < self.replaced_at.get() + REMOVED_CLASS_GRACE;
        let removed: &[usize] = if in_grace { &[] } else { &settings.retired_classes };
        position_of(&settings.classes, removed, name).map(ClassId)
    }

    /// The name of a class; empty if there is no such class.
    pub(crate) fn class_name(&self, class: ClassId) -> String {
        self.settings.borrow().classes.get(usize::from(class.0)).cloned().unwrap_or_default()
    }

    /// The name of a tenant; none if there is no such tenant.
    pub(crate) fn tenant_name(&self, tenant: TenantId) -> Option<String> {
        self.settings.borrow().tenants.get(usize::from(tenant.0)).cloned()
    }

    /// Whether the requests of a class carry an idempotency key.
    pub(crate) fn requires_key(&self, class: ClassId) -> bool {
        self.class_setting(class, |class| class.effect == Effect::IdempotencyKey).unwrap_or(false)
    }

    /// The tenant with this name. A removed tenant is still found, as its clients may not know of the removal
    /// yet.
    pub(crate) fn tenant_id(&self, name: &str) -> Option<TenantId> {
        position_of(&self.settings.borrow().tenants, &[], name).map(TenantId)
    }

    /// The deadline of a request: the requested one, limited to that of its class. The limit prevents
    /// requests from being queued for ever, and sums of times from overflowing.
    pub(crate) fn request_deadline(
        &self,
        class: ClassId,
        now: UnixTime,
        requested: Option<UnixTime>,
    ) -> UnixTime {
        let latest = now + self.class_timeout(class);
        requested.map_or(latest, |requested| requested.min(latest))
    }

    /// The cost hint of a request, limited to the deadline of its class, so that a single absurd hint does
    /// not distort the mean on which all estimates are based.
    pub(crate) fn bounded_cost_hint(&self, class: ClassId, cost_hint: Duration) -> Duration {
        cost_hint.min(self.class_timeout(class))
    }

    /// Time for which clients wait for the response to a request of a class; zero if there is no such class.
    fn class_timeout(&self, class: ClassId) -> Duration {
        self.class_setting(class, |class| class.deadline).unwrap_or_default()
    }

    fn class_setting<T>(&self, class: ClassId, read: impl FnOnce(&Class) -> T) -> Option<T> {
        self.settings.borrow().settings.classes.get(usize::from(class.0)).map(read)
    }
}

fn position_of(names: &[String], removed: &[usize], name: &str) -> Option<u16> {
    let position = names.iter().position(|known| known == name);
    let position = position.filter(|position| !removed.contains(position));
    position.and_then(|position| u16::try_from(position).ok())
}

#[cfg(test)]
mod tests;
