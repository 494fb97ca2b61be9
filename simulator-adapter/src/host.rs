//! The backends that this process hosts, and how a batch of records is applied to them.

use std::collections::BTreeMap;
use std::time::Duration;

use oakwind_admission::{Action, Admission, Event, TimerId};

use crate::error::AdapterError;
use crate::wire::{self, Record, Reply};

/// A backend, with the events of the current batch.
struct Backend {
    admission: Admission,
    /// Names of the gauges, in the order in which timers report them.
    gauges: Vec<String>,
    events: Vec<Event>,
    /// Whether the current batch started the backend or has an event for it.
    has_news: bool,
}

impl Backend {
    /// Starts a backend with the settings in `text`.
    fn start(seed: u64, text: &str, now: Duration) -> Result<Self, AdapterError> {
        let parsed = oakwind_settings::parse(text)?;
        Ok(Backend {
            admission: Admission::new(parsed.settings, seed, now),
            gauges: parsed.gauges,
            events: Vec::new(),
            has_news: true,
        })
    }
}

/// All backends of the process, by their number on the wire.
#[derive(Default)]
pub(crate) struct Host {
    backends: BTreeMap<u16, Backend>,
    /// Buffer for the actions of one backend.
    actions: Vec<Action>,
}

impl Host {
    /// Applies the batch in a frame's body and returns the reply to it.
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

    /// Adds an event to the current batch of a backend.
    fn queue_event(&mut self, id: u16, event: Event) -> Result<(), AdapterError> {
        let backend = self.backends.get_mut(&id).ok_or(AdapterError::UnknownBackend(id))?;
        backend.events.push(event);
        backend.has_news = true;
        Ok(())
    }

    /// Adds a timer with the values of its gauges to the current batch of a backend.
    fn queue_timer(&mut self, id: u16, timer: TimerId, values: &[f64]) -> Result<(), AdapterError> {
        let names = self.backends.get(&id).map_or(&[][..], |backend| &backend.gauges);
        let gauges = oakwind_settings::gauges(names, values);
        self.queue_event(id, Event::Timer(timer, gauges))
    }

    /// Lets each backend of the current batch decide, and collects their actions.
    fn reply(&mut self, now: Duration) -> Reply {
        let mut reply = Reply::default();
        for (&id, backend) in self.backends.iter_mut().filter(|(_, backend)| backend.has_news) {
            self.actions.clear();
            backend.admission.handle(now, &backend.events, &mut self.actions);
            backend.events.clear();
            backend.has_news = false;
            reply.extend(id, &self.actions);
        }
        reply
    }
}

/// The backend that the records before have selected.
fn require_selected(selected: Option<u16>) -> Result<u16, AdapterError> {
    selected.ok_or(AdapterError::NoBackendSelected)
}
