//! The classes and tenants of the settings in force: their names and positions, and the bounds of a class that the
//! frontends need. It follows the settings at a reload.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use oakwind_admission::{Class, ClassId, Effect, TenantId};
use oakwind_settings::NamedSettings;

use crate::clock::UnixTime;

/// For this long after a reload requests of a class that was removed are still accepted: they were on their way.
const REMOVED_CLASS_GRACE: Duration = Duration::from_secs(1);

/// The names and bounds in the settings in force. Frontends and backends share it.
#[derive(Debug)]
pub(crate) struct ClassRegistry {
    settings: RefCell<NamedSettings>,
    /// When these settings came into force.
    replaced_at: Cell<UnixTime>,
}

impl ClassRegistry {
    /// The registry of these settings.
    pub(crate) fn new(settings: NamedSettings) -> Self {
        ClassRegistry { settings: RefCell::new(settings), replaced_at: Cell::default() }
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> NamedSettings {
        self.settings.borrow().clone()
    }

    /// Puts other settings into force, which keep the positions of the ones before.
    pub(crate) fn replace_settings(&self, settings: NamedSettings, now: UnixTime) {
        self.replaced_at.set(now);
        *self.settings.borrow_mut() = settings;
    }

    /// The names of all classes by position, those that were removed among them.
    pub(crate) fn class_names(&self) -> Vec<String> {
        self.settings.borrow().classes.clone()
    }

    /// The class of this name, if its requests are accepted now.
    pub(crate) fn class_id(&self, name: &str, now: UnixTime) -> Option<ClassId> {
        let settings = self.settings.borrow();
        let in_grace = now < self.replaced_at.get() + REMOVED_CLASS_GRACE;
        let removed: &[usize] = if in_grace { &[] } else { &settings.retired_classes };
        position_of(&settings.classes, removed, name).map(ClassId)
    }

    /// The name of a class; empty if there is none.
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

    /// The tenant of this name. One that was removed is still known, as its clients may not know yet.
    pub(crate) fn tenant_id(&self, name: &str) -> Option<TenantId> {
        position_of(&self.settings.borrow().tenants, &[], name).map(TenantId)
    }

    /// The deadline of a request: the one that was asked for, but none later than that of its class. So no request is
    /// queued for ever, and sums of times don't overflow.
    pub(crate) fn request_deadline(
        &self,
        class: ClassId,
        now: UnixTime,
        requested: Option<UnixTime>,
    ) -> UnixTime {
        let latest = now + self.class_timeout(class);
        requested.map_or(latest, |requested| requested.min(latest))
    }

    /// A request's cost hint within the time that its class has. One absurd hint does not spoil the mean that all
    /// estimates are made from.
    pub(crate) fn bounded_cost_hint(&self, class: ClassId, cost_hint: Duration) -> Duration {
        cost_hint.min(self.class_timeout(class))
    }

    /// How long clients wait for requests of a class.
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
