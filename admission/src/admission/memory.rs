//! Memory accounting for queued and started requests and for retained keys.
//!
//! No request is queued or started beyond the limit. Keys count towards it, which bounds the table of keys.

use crate::admission::constants::USABLE_MEMORY_FRACTION;
use crate::admission::context::Context;
use crate::admission::requests::idempotency_keys::RetainedKeys;
use crate::admission::requests::request::Request;
use crate::interface::Settings;

/// Memory in use, and the limit for it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MemoryUse {
    used_kb: f64,
    limit_kb: f64,
}

impl MemoryUse {
    /// Computes the memory of the open requests and the retained keys.
    pub(crate) fn of(context: &Context, keys: &RetainedKeys) -> Self {
        let settings = context.settings;
        let requests = context.requests.memory_kb(running_factor(settings));
        MemoryUse {
            used_kb: requests + keys.len() as f64 * settings.key_memory_kb,
            limit_kb: settings.memory_kb * USABLE_MEMORY_FRACTION,
        }
    }

    /// Memory use with `more_kb` kilobytes added.
    pub(crate) fn with_additional(self, more_kb: f64) -> Self {
        MemoryUse { used_kb: self.used_kb + more_kb, ..self }
    }

    /// Whether the memory in use is within the limit.
    pub(crate) fn fits(&self) -> bool {
        self.used_kb <= self.limit_kb
    }

    /// Whether the memory in use is over the limit.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.used_kb > self.limit_kb
    }
}

/// Additional memory of a request while it runs, in kB.
pub(crate) fn extra_memory_of_run(request: &Request, settings: &Settings) -> f64 {
    request.memory_kb * (running_factor(settings) - 1.0)
}

fn running_factor(settings: &Settings) -> f64 {
    settings.running_memory_factor.max(1.0)
}

#[cfg(test)]
mod tests;
