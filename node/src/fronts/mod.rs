//! The server side: what clients speak to.

pub mod guests;
pub mod jsonrpc;
pub mod uwsgi;

use std::io;
use std::time::Duration;

use swiftwinch::Effect;
use swiftwinch_settings::Parsed;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::clock::{self, Unix};
use guests::{Guest, Standing};

/// How long, and how often, a connection is read from after its last answer.
const PARTING: Duration = Duration::from_millis(200);
const PARTING_READS: u32 = 32;

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

    /// The names of all classes, by position.
    pub fn classes(&self) -> Vec<String> {
        self.classes.iter().map(|c| c.0.clone()).collect()
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
    fn deadline(&self, class: u16) -> Duration {
        self.classes.get(usize::from(class)).map_or(Duration::ZERO, |c| c.2)
    }

    /// When a request's caller stops waiting: when it says, but no later than any caller of its class would.
    /// Guards the hold against requests that would stay in it for ever, and sums of times against overflow.
    pub fn due(&self, class: u16, now: Unix, wanted: Option<Unix>) -> Unix {
        let latest = now + self.deadline(class);
        wanted.map_or(latest, |wanted| wanted.min(latest))
    }

    /// A request's hint of its work, within reason. Guards the mean of the hints, and so everyone's estimates,
    /// against one absurd hint.
    pub fn hint(&self, class: u16, hint: Duration) -> Duration {
        hint.min(self.deadline(class))
    }

    /// The position of a tenant.
    pub fn tenant(&self, name: &str) -> Option<u16> {
        position(self.tenants.iter(), name)
    }
}

/// Closes a connection so that its last answer arrives: over unread bytes the system would reset it. What a
/// client goes on to send is read for a moment and no further, and only while there is room.
pub async fn part(stream: &mut TcpStream, guest: &Guest) -> io::Result<()> {
    stream.shutdown().await?;
    guest.is(Standing::Stranger);
    let until = clock::now() + PARTING;
    let mut rest = [0; 4096];
    for _ in 0..PARTING_READS {
        tokio::select! {
            read = stream.read(&mut rest) => if read? == 0 { return Ok(()) },
            () = guest.asked_to_leave() => return Ok(()),
            () = clock::until(until) => return Ok(()),
        }
    }
    Ok(())
}

/// Whether so many KB may be booked for a request. Guards the sum of what is booked.
fn booked(kb: f64) -> bool {
    kb > 0.0 && kb < 2_000.0
}

fn position<'a>(mut names: impl Iterator<Item = &'a String>, name: &str) -> Option<u16> {
    names.position(|n| n == name).and_then(|position| u16::try_from(position).ok())
}
