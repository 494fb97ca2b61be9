//! The state machine of RFC 9568, section 6.4. It has no clock and no socket: it takes events with their time and
//! returns what is to be sent.

use std::net::Ipv4Addr;
use std::time::Duration;

use super::packet::Advertisement;
use crate::clock::UnixTime;

/// The priority of the router that owns the addresses.
const OWNER_PRIORITY: u8 = 255;
/// The priority in an advertisement by which the active router releases its role.
const RELEASE_PRIORITY: u8 = 0;

/// The skew time is this part of the interval for each step that the priority is below this number (RFC 9568, section 6.1).
const SKEW_DIVISOR: u32 = 256;
/// The active router counts as down after so many intervals without an advertisement, and the skew time.
const MISSED_ADVERTISEMENTS: u32 = 3;

/// The configuration of a virtual router.
#[derive(Debug, Clone)]
pub(crate) struct Parameters {
    /// The number of the virtual router (VRID).
    pub(crate) vrid: u8,
    /// 1 to 254, or 255 for the owner of the addresses.
    pub(crate) priority: u8,
    /// Between two advertisements.
    pub(crate) interval: Duration,
    /// Whether this router takes over from an active one with a lower priority.
    pub(crate) preempt: bool,
    /// The addresses that the virtual router stands for.
    pub(crate) addresses: Vec<Ipv4Addr>,
    /// The primary address of this router; the higher one wins between equal priorities.
    pub(crate) local: Ipv4Addr,
}

/// The states of RFC 9568.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    /// Not started, or shut down.
    Initialize,
    /// Another router is active, as far as this one knows.
    Backup,
    /// This router serves the addresses.
    Active,
}

/// What happens to a router, besides the passing of time.
#[derive(Debug)]
pub(crate) enum Event {
    /// It starts.
    Startup,
    /// It is to stop.
    Shutdown,
    /// Its timer may have expired.
    Tick,
    /// A valid advertisement of this virtual router has arrived.
    Advertised {
        /// The sender's primary address.
        from: Ipv4Addr,
        /// Its content.
        advertisement: Advertisement,
    },
}

/// What a router asks for.
#[derive(Debug, PartialEq)]
pub(crate) enum Output {
    /// Send this to all peers.
    Send(Advertisement),
}

/// A virtual router.
#[derive(Debug)]
pub(crate) struct Router {
    parameters: Parameters,
    role: Role,
    /// The interval of the active router.
    active_interval: Duration,
    /// The only timer: while active the next advertisement, while backup when the active router counts as down.
    timer: UnixTime,
}

impl Router {
    /// A router that has not started.
    pub(crate) fn new(parameters: Parameters) -> Self {
        let active_interval = parameters.interval;
        Router { parameters, role: Role::Initialize, active_interval, timer: Duration::ZERO }
    }

    /// The state it is in.
    pub(crate) fn role(&self) -> Role {
        self.role
    }

    /// When the timer expires; none while the router is not started.
    pub(crate) fn timer_expires_at(&self) -> Option<UnixTime> {
        (self.role != Role::Initialize).then_some(self.timer)
    }

    /// Processes an event and returns what is to be sent.
    pub(crate) fn handle(&mut self, now: UnixTime, event: Event) -> Vec<Output> {
        match (self.role, event) {
            (Role::Initialize, Event::Startup) if self.parameters.priority == OWNER_PRIORITY => {
                self.transition_to_active(now)
            }
            (Role::Initialize, Event::Startup) => {
                self.active_interval = self.parameters.interval;
                self.transition_to_backup(now);
                Vec::new()
            }
            (Role::Backup, Event::Tick) if now >= self.timer => self.transition_to_active(now),
            (Role::Backup, Event::Advertised { advertisement, .. }) => {
                self.advertised_while_backup(now, &advertisement);
                Vec::new()
            }
            (Role::Backup, Event::Shutdown) => {
                self.role = Role::Initialize;
                Vec::new()
            }
            (Role::Active, Event::Tick) if now >= self.timer => self.advertise(now),
            (Role::Active, Event::Advertised { from, advertisement }) => {
                self.advertised_while_active(now, from, &advertisement)
            }
            (Role::Active, Event::Shutdown) => {
                self.role = Role::Initialize;
                vec![Output::Send(self.advertisement(RELEASE_PRIORITY))]
            }
            _ => Vec::new(),
        }
    }

    fn advertised_while_backup(&mut self, now: UnixTime, advertisement: &Advertisement) {
        if advertisement.priority == RELEASE_PRIORITY {
            self.timer = now + self.skew();
        } else if !self.parameters.preempt || advertisement.priority >= self.parameters.priority {
            self.active_interval = advertisement.interval;
            self.timer = now + self.down_interval();
        }
    }

    fn advertised_while_active(
        &mut self,
        now: UnixTime,
        from: Ipv4Addr,
        advertisement: &Advertisement,
    ) -> Vec<Output> {
        let local = (self.parameters.priority, self.parameters.local);
        if (advertisement.priority, from) > local {
            self.active_interval = advertisement.interval;
            self.transition_to_backup(now);
            return Vec::new();
        }
        // A router that has released the role, or claims it with less priority, learns at once which one is active.
        self.advertise(now)
    }

    fn transition_to_active(&mut self, now: UnixTime) -> Vec<Output> {
        self.role = Role::Active;
        self.advertise(now)
    }

    fn transition_to_backup(&mut self, now: UnixTime) {
        self.role = Role::Backup;
        self.timer = now + self.down_interval();
    }

    fn advertise(&mut self, now: UnixTime) -> Vec<Output> {
        self.timer = now + self.parameters.interval;
        vec![Output::Send(self.advertisement(self.parameters.priority))]
    }

    fn advertisement(&self, priority: u8) -> Advertisement {
        let Parameters { vrid, interval, addresses, .. } = &self.parameters;
        Advertisement { vrid: *vrid, priority, interval: *interval, addresses: addresses.clone() }
    }

    /// The skew time: shorter for higher priorities, so that the best backup takes over first.
    fn skew(&self) -> Duration {
        self.active_interval * (SKEW_DIVISOR - u32::from(self.parameters.priority)) / SKEW_DIVISOR
    }

    /// How long after the last advertisement the active router counts as down.
    fn down_interval(&self) -> Duration {
        MISSED_ADVERTISEMENTS * self.active_interval + self.skew()
    }
}

#[cfg(test)]
mod tests;
