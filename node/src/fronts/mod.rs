//! The server side: what clients speak to.

pub mod jsonrpc;
pub mod uwsgi;

use std::time::Duration;

use swiftwinch::Effect;
use swiftwinch_settings::Parsed;

/// What the fronts need of the settings: the names that their fields go by, and the classes' habits.
#[derive(Debug)]
pub struct Names {
    classes: Vec<(String, Effect, Duration)>,
    tenants: Vec<String>,
}

impl Names {
    /// The names in these settings.
    pub fn new(settings: &Parsed) -> Self {
        let classes = settings.classes.iter().zip(&settings.settings.classes);
        let classes = classes.map(|(name, class)| (name.clone(), class.effect, class.deadline)).collect();
        Names { classes, tenants: settings.tenants.clone() }
    }

    /// The position of a class.
    pub fn class(&self, name: &str) -> Option<u16> {
        position(self.classes.iter().map(|c| &c.0), name)
    }

    /// Whether the requests of a class carry a key.
    pub fn keyed(&self, class: u16) -> bool {
        self.classes.get(usize::from(class)).is_some_and(|c| c.1 == Effect::Keyed)
    }

    /// How long the callers of a class wait altogether.
    pub fn deadline(&self, class: u16) -> Duration {
        self.classes.get(usize::from(class)).map_or(Duration::ZERO, |c| c.2)
    }

    /// The position of a tenant.
    pub fn tenant(&self, name: &str) -> Option<u16> {
        position(self.tenants.iter(), name)
    }
}

fn position<'a>(mut names: impl Iterator<Item = &'a String>, name: &str) -> Option<u16> {
    names.position(|n| n == name).and_then(|position| u16::try_from(position).ok())
}
