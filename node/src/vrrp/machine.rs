//! The state machine of RFC 9568, section 6.4. It has no clock and no socket: it is told what happened, with
//! the time, and says what is to be sent.

use std::net::Ipv4Addr;
use std::time::Duration;

use super::packet::Advertisement;
use crate::clock::UnixTime;

/// The priority of who owns the addresses.
const OWNER: u8 = 255;
/// Gives the role up.
const GIVEN_UP: u8 = 0;

/// What is configured of a virtual router.
#[derive(Debug, Clone)]
pub struct Parameters {
    /// Its number.
    pub vrid: u8,
    /// 1 to 254, or 255 for the owner.
    pub priority: u8,
    /// Between two advertisements.
    pub interval: Duration,
    /// Whether a higher priority takes over from a lower one that is active.
    pub preempt: bool,
    /// Its addresses.
    pub addresses: Vec<Ipv4Addr>,
    /// The primary address here, which decides between equal priorities.
    pub local: Ipv4Addr,
}

/// The states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Not started, or shut down.
    Initialize,
    /// Another one is taken to be active.
    Backup,
    /// This one answers for the addresses.
    Active,
}

/// What happens to a router.
#[derive(Debug)]
pub enum Event {
    /// It starts.
    Startup,
    /// It is to stop.
    Shutdown,
    /// Time may have passed.
    Tick,
    /// A valid advertisement of this virtual router came.
    Advertised {
        /// The sender's primary address.
        from: Ipv4Addr,
        /// What it says.
        advertisement: Advertisement,
    },
}

/// What a router does.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Send this to all peers.
    Send(Advertisement),
}

/// A virtual router.
#[derive(Debug)]
pub struct Router {
    parameters: Parameters,
    role: Role,
    /// The interval of who is active.
    active_interval: Duration,
    /// The one timer: the next advertisement while active, and while backup when the active one is down.
    timer: UnixTime,
}

impl Router {
    /// A router that has not started.
    pub fn new(parameters: Parameters) -> Self {
        let active_interval = parameters.interval;
        Router { parameters, role: Role::Initialize, active_interval, timer: Duration::ZERO }
    }

    /// The state it is in.
    pub fn role(&self) -> Role {
        self.role
    }

    /// When it wants to be told the time, if ever.
    pub fn wakes_at(&self) -> Option<UnixTime> {
        (self.role != Role::Initialize).then_some(self.timer)
    }

    /// Takes in what happened.
    pub fn handle(&mut self, now: UnixTime, event: Event) -> Vec<Output> {
        match (self.role, event) {
            (Role::Initialize, Event::Startup) if self.parameters.priority == OWNER => self.take_role(now),
            (Role::Initialize, Event::Startup) => {
                self.active_interval = self.parameters.interval;
                self.stand_by(now);
                Vec::new()
            }
            (Role::Backup, Event::Tick) if now >= self.timer => self.take_role(now),
            (Role::Backup, Event::Advertised { advertisement, .. }) => {
                self.heard_as_backup(now, &advertisement);
                Vec::new()
            }
            (Role::Backup, Event::Shutdown) => {
                self.role = Role::Initialize;
                Vec::new()
            }
            (Role::Active, Event::Tick) if now >= self.timer => self.advertise(now),
            (Role::Active, Event::Advertised { from, advertisement }) => {
                self.heard_as_active(now, from, &advertisement)
            }
            (Role::Active, Event::Shutdown) => {
                self.role = Role::Initialize;
                vec![Output::Send(self.advertisement(GIVEN_UP))]
            }
            _ => Vec::new(),
        }
    }

    fn heard_as_backup(&mut self, now: UnixTime, advertisement: &Advertisement) {
        if advertisement.priority == GIVEN_UP {
            self.timer = now + self.skew();
        } else if !self.parameters.preempt || advertisement.priority >= self.parameters.priority {
            self.active_interval = advertisement.interval;
            self.timer = now + self.down_interval();
        }
    }

    fn heard_as_active(
        &mut self,
        now: UnixTime,
        from: Ipv4Addr,
        advertisement: &Advertisement,
    ) -> Vec<Output> {
        let local = (self.parameters.priority, self.parameters.local);
        if (advertisement.priority, from) > local {
            self.active_interval = advertisement.interval;
            self.stand_by(now);
            return Vec::new();
        }
        // Who gave the role up, or claims it by less, hears at once who has it.
        self.advertise(now)
    }

    fn take_role(&mut self, now: UnixTime) -> Vec<Output> {
        self.role = Role::Active;
        self.advertise(now)
    }

    fn stand_by(&mut self, now: UnixTime) {
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

    /// The higher the priority, the shorter: so the best backup is the first to take over.
    fn skew(&self) -> Duration {
        self.active_interval * (256 - u32::from(self.parameters.priority)) / 256
    }

    fn down_interval(&self) -> Duration {
        3 * self.active_interval + self.skew()
    }
}

#[cfg(test)]
mod tests;
