//! The memory of queued and started requests and of retained keys, and whether it has room for more.
//!
//! Nothing is queued or started beyond the limit; keys are part of it, so that the table of keys is bounded.

use crate::admission::constants::USABLE_MEMORY_FRACTION;
use crate::admission::context::Context;
use crate::admission::requests::idempotency_keys::RetainedKeys;
use crate::admission::requests::request::Request;
use crate::interface::Settings;

/// Memory that is in use, against what may be used.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MemoryUse {
    used_kb: f64,
    limit_kb: f64,
}

impl MemoryUse {
    /// The memory of the open requests and the retained keys.
    pub(crate) fn of(context: &Context, keys: &RetainedKeys) -> Self {
        let settings = context.settings;
        let requests = context.requests.memory_kb(running_factor(settings));
        MemoryUse {
            used_kb: requests + keys.len() as f64 * settings.key_memory_kb,
            limit_kb: settings.memory_kb * USABLE_MEMORY_FRACTION,
        }
    }

    /// The same with so much more in use.
    pub(crate) fn with(self, more_kb: f64) -> Self {
        MemoryUse { used_kb: self.used_kb + more_kb, ..self }
    }

    /// Whether it is within the limit.
    pub(crate) fn fits(&self) -> bool {
        self.used_kb <= self.limit_kb
    }

    /// Whether it is over the limit.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.used_kb > self.limit_kb
    }
}

/// What a request needs more while it runs, in kB.
pub(crate) fn extra_memory_of_run(request: &Request, settings: &Settings) -> f64 {
    request.memory_kb * (running_factor(settings) - 1.0)
}

fn running_factor(settings: &Settings) -> f64 {
    settings.running_memory_factor.max(1.0)
}

#[cfg(test)]
mod tests;
