//! The backends that this process hosts, and the application of batches of records to them.

use std::collections::BTreeMap;
use std::time::Duration;

use oakwind_admission::{Action, Admission, Event, TimerId};

use crate::error::AdapterError;
use crate::wire::{self, Record, Reply};

/// The admission module of one backend, with the events queued for it by the current batch.
struct Backend {
    admission: Admission,
    /// Names of the gauges, in the order of the values in timer records.
    gauges: Vec<String>,
    events: Vec<Event>,
    /// Whether the current batch started the backend or queued an event for it.
    is_pending: bool,
}

impl Backend {
    /// Starts a backend with the JSON settings in `text`.
    fn start(seed: u64, text: &str, now: Duration) -> Result<Self, AdapterError> {
        let parsed = oakwind_settings::parse(text)?;
        Ok(Backend {
            admission: Admission::new(parsed.settings, seed, now),
            gauges: parsed.gauges,
            events: Vec::new(),
            is_pending: true,
        })
    }
}

/// All backends of the process, keyed by their wire id.
#[derive(Default)]
pub(crate) struct Host {
    backends: BTreeMap<u16, Backend>,
    /// Reused buffer for the actions of one backend.
    actions: Vec<Action>,
}

impl Host {
    /// Applies the batch in the body of a frame and returns the reply.
    pub(crate) fn handle_frame(&mut self, body: &[u8]) -> Result<Reply, AdapterError> {
        let batch = wire::decode(body)?;
        let mut selected = None;
        for record in batch.records {
            match record {
                Record::SelectBackend(backend) => selected = Some(backend),
                Record::BackendStarted { seed, settings } => {
                    let backend = Backend::start(seed, &settings, batch.now)?;
                    self.backends.insert(require_selected(selected)?, backend);
                }
                Record::BackendCrashed => drop(self.backends.remove(&require_selected(selected)?)),
                Record::Event(event) => self.queue_event(require_selected(selected)?, event)?,
                Record::Timer { timer, gauges } => {
                    self.queue_timer(require_selected(selected)?, timer, &gauges)?;
                }
            }
        }
        Ok(self.reply(batch.now))
    }

    /// Queues an event for a backend.
    fn queue_event(&mut self, id: u16, event: Event) -> Result<(), AdapterError> {
        let backend = self.backends.get_mut(&id).ok_or(AdapterError::UnknownBackend(id))?;
        backend.events.push(event);
        backend.is_pending = true;
        Ok(())
    }

    /// Queues the expiry of a timer for a backend, with the gauge values that the record carries.
    fn queue_timer(&mut self, id: u16, timer: TimerId, values: &[f64]) -> Result<(), AdapterError> {
        let names = self.backends.get(&id).map_or(&[][..], |backend| &backend.gauges);
        let gauges = oakwind_settings::gauges(names, values);
        self.queue_event(id, Event::Timer(timer, gauges))
    }

    /// Passes the queued events to the admission module of each pending backend and collects the actions.
    fn reply(&mut self, now: Duration) -> Reply {
        let mut reply = Reply::default();
        for (&id, backend) in self.backends.iter_mut().filter(|(_, backend)| backend.is_pending) {
            self.actions.clear();
            backend.admission.handle(now, &backend.events, &mut self.actions);
            backend.events.clear();
            backend.is_pending = false;
            reply.extend(id, &self.actions);
        }
        reply
    }
}

/// Returns the selected backend, or an error if no record has selected one yet.
fn require_selected(selected: Option<u16>) -> Result<u16, AdapterError> {
    selected.ok_or(AdapterError::NoBackendSelected)
}
