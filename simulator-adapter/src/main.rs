//! Hosts one [`Admission`] for each backend and speaks the simulator's wire on standard input
//! and output. The instances share nothing.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;
use std::time::Duration;

use oakwind_admission::{Action, Admission, Event};
use wire::{Malformed, Record, Reply};

/// A backend with the events of the batch in hand.
struct Backend {
    admission: Admission,
    gauges: Vec<String>,
    events: Vec<Event>,
    touched: bool,
}

/// All backends that this process hosts.
#[derive(Default)]
struct Host {
    backends: BTreeMap<u16, Backend>,
    actions: Vec<Action>,
}

impl Host {
    fn answer(&mut self, body: &[u8]) -> Result<Reply, Malformed> {
        let batch = wire::decode(body)?;
        let mut at = None;
        for record in batch.records {
            match record {
                Record::At(backend) => at = Some(backend),
                Record::PowerOn(seed, text) => {
                    let backend = start(seed, &text, batch.now)?;
                    self.backends.insert(named(at)?, backend);
                }
                Record::Crash => drop(self.backends.remove(&named(at)?)),
                Record::Event(event) => self.tell(named(at)?, event)?,
                Record::Reminder(timer, values) => {
                    let backend = named(at)?;
                    let names = self.backends.get(&backend).map_or(&[][..], |b| &b.gauges);
                    let gauges = oakwind_settings::gauges(names, &values);
                    self.tell(backend, Event::Timer(timer, gauges))?;
                }
            }
        }
        Ok(self.reply(batch.now))
    }

    fn tell(&mut self, at: u16, event: Event) -> Result<(), Malformed> {
        match self.backends.get_mut(&at) {
            Some(backend) => {
                backend.events.push(event);
                backend.touched = true;
                Ok(())
            }
            None => Err(Malformed(format!("event for backend {at}, which has not started"))),
        }
    }

    fn reply(&mut self, now: Duration) -> Reply {
        let mut reply = Reply::default();
        for (&id, backend) in self.backends.iter_mut().filter(|(_, b)| b.touched) {
            self.actions.clear();
            backend.admission.handle(now, &backend.events, &mut self.actions);
            backend.events.clear();
            backend.touched = false;
            reply.extend(id, &self.actions);
        }
        reply
    }
}

fn named(at: Option<u16>) -> Result<u16, Malformed> {
    at.ok_or_else(|| Malformed("a record comes before any that names its backend".into()))
}

fn start(seed: u64, text: &str, now: Duration) -> Result<Backend, Malformed> {
    let parsed = oakwind_settings::parse(text).map_err(|e| Malformed(e.to_string()))?;
    let (admission, gauges) = (Admission::new(parsed.settings, seed, now), parsed.gauges);
    Ok(Backend { admission, gauges, events: Vec::new(), touched: true })
}

fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), Malformed> {
    let mut host = Host::default();
    while let Some(body) = wire::read_frame(input)? {
        let frame = host.answer(&body)?.frame();
        let written = output.write_all(&frame).and_then(|()| output.flush());
        written.map_err(|e| Malformed(format!("writing a reply: {e}")))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    let mut input = io::BufReader::new(io::stdin().lock());
    match serve(&mut input, &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("oakwind-simulator-adapter: {problem}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests;
