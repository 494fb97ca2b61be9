//! The state machine of RFC 9568, section 6.4. It performs no I/O and reads no clock: the caller passes each
//! event with the current time and sends the returned advertisements.

use std::net::Ipv4Addr;
use std::time::Duration;

use super::packet::Advertisement;
use crate::clock::UnixTime;

/// The priority of the router that owns the addresses.
const OWNER_PRIORITY: u8 = 255;
/// The priority in an advertisement by which the active router releases its role.
const RELEASE_PRIORITY: u8 = 0;

/// The skew time is `(256 - priority) / 256` of the interval (RFC 9568, section 6.1).
const SKEW_DIVISOR: u32 = 256;
/// The active router is considered down after this many intervals without an advertisement plus the skew
/// time.
const MISSED_ADVERTISEMENTS: u32 = 3;

/// The configuration of a virtual router.
#[derive(Debug, Clone)]
pub(crate) struct Parameters {
    /// The number of the virtual router (VRID).
    pub(crate) vrid: u8,
    /// The priority in the election: 1 to 254, or 255 for the owner of the addresses.
    pub(crate) priority: u8,
    /// Interval between advertisements while this router is active.
    pub(crate) interval: Duration,
    /// Whether this router takes over from an active router with a lower priority.
    pub(crate) preempt: bool,
    /// The addresses of the virtual router.
    pub(crate) addresses: Vec<Ipv4Addr>,
    /// The primary address of this router. Between equal priorities the higher address wins.
    pub(crate) local: Ipv4Addr,
}

/// The states of a virtual router in RFC 9568.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    /// Not started, or shut down.
    Initialize,
    /// This router monitors the active router and is ready to take over.
    Backup,
    /// This router serves the addresses of the virtual router.
    Active,
}

/// An input of the state machine.
#[derive(Debug)]
pub(crate) enum Event {
    /// The router starts.
    Startup,
    /// The router must stop.
    Shutdown,
    /// The timer may have expired.
    Tick,
    /// A valid advertisement of this virtual router has arrived.
    Advertised {
        /// The sender's primary address.
        from: Ipv4Addr,
        /// The decoded advertisement.
        advertisement: Advertisement,
    },
}

/// An action that the caller must perform.
#[derive(Debug, PartialEq)]
pub(crate) enum Output {
    /// Send this advertisement to all peers.
    Send(Advertisement),
}

/// The state machine of a virtual router on this node.
#[derive(Debug)]
pub(crate) struct Router {
    parameters: Parameters,
    role: Role,
    /// The advertisement interval of the active router, from its last advertisement; at first this router's
    /// own interval.
    active_interval: Duration,
    /// While active, when the next advertisement is due; while backup, when the active router is considered
    /// down.
    timer: UnixTime,
}

impl Router {
    /// Creates a router in the state [`Role::Initialize`].
    pub(crate) fn new(parameters: Parameters) -> Self {
        let active_interval = parameters.interval;
        Router { parameters, role: Role::Initialize, active_interval, timer: Duration::ZERO }
    }

    /// The current state.
    pub(crate) fn role(&self) -> Role {
        self.role
    }

    /// When the timer expires; none while the router is not started.
    pub(crate) fn timer_expires_at(&self) -> Option<UnixTime> {
        (self.role != Role::Initialize).then_some(self.timer)
    }

    /// Handles an event and returns the actions to perform.
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
        // The other router has released the role or has the lower rank: an advertisement tells it at once
        // which router is active.
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

    /// The skew time. It is shorter for higher priorities, so that the backup with the highest priority takes
    /// over first.
    fn skew(&self) -> Duration {
        self.active_interval * (SKEW_DIVISOR - u32::from(self.parameters.priority)) / SKEW_DIVISOR
    }

    /// Time after the last advertisement at which the active router is considered down.
    fn down_interval(&self) -> Duration {
        MISSED_ADVERTISEMENTS * self.active_interval + self.skew()
    }
}

#[cfg(test)]
mod tests;
