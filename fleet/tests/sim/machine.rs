//! The machines of the nodes, and the events that happen to them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use oakwind_fleet::claims::coordinator::AttemptId;
use oakwind_fleet::membership::config::MembershipConfig;
use oakwind_fleet::recovery::staleness::StatePosition;
use oakwind_fleet::replica_node::{Event, ReplicaNode};
use oakwind_fleet::replication::key_state::Key;
use oakwind_fleet::replication::replica_table::StoredRecord;
use oakwind_fleet::Time;

/// What happens to a node.
pub(crate) enum SimEvent {
    Tick,
    Event(Event),
    /// An attempt at a key arrives.
    Attempt(usize),
    /// The run of an attempt has ended.
    EndRun(AttemptId),
    Kill {
        down: Duration,
        disk: Disk,
    },
    Start,
    Suspend(Duration),
    Partition {
        zone: usize,
        until: Time,
    },
    Propose(Arc<MembershipConfig>),
    /// Its disk is backed up.
    Copy,
}

impl SimEvent {
    /// Whether it happens to the machine, whichever process runs there.
    pub(crate) fn is_for_machine(&self) -> bool {
        matches!(
            self,
            SimEvent::Kill { .. }
                | SimEvent::Start
                | SimEvent::Partition { .. }
                | SimEvent::Propose(_)
                | SimEvent::Attempt(_)
                | SimEvent::Copy
        )
    }

    pub(crate) fn reaches_suspended_process(&self) -> bool {
        matches!(self, SimEvent::Kill { .. } | SimEvent::Partition { .. } | SimEvent::Start)
    }
}

/// What a node that was killed finds on its disk, if it has one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Disk {
    Intact,
    Lost,
    /// A backup that was made a while ago.
    OldCopy,
}

/// What is stored on a disk.
#[derive(Debug, Clone, Default)]
pub(crate) struct DiskContents {
    /// Each record, and when it expires.
    pub(crate) records: BTreeMap<Key, (StoredRecord, Time)>,
    pub(crate) position: Option<StatePosition>,
}

/// An event that is scheduled.
pub(crate) struct Scheduled {
    pub(crate) at: Time,
    pub(crate) number: u64,
    pub(crate) node: usize,
    /// The process of the node that it is for; others never receive it.
    pub(crate) process: u64,
    pub(crate) sim_event: SimEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// A node's machine: its process, if it runs, and its disk.
pub(crate) struct Machine {
    pub(crate) replica: Option<ReplicaNode>,
    pub(crate) process: u64,
    pub(crate) suspended_until: Time,
    pub(crate) disk: DiskContents,
    pub(crate) copy: DiskContents,
    pub(crate) is_durable: bool,
}

impl Machine {
    /// Ends the process; its disk is as a restart will find it.
    pub(crate) fn kill(&mut self, disk: Disk) {
        self.replica = None;
        self.suspended_until = Time::ZERO;
        match disk {
            Disk::Intact => {}
            Disk::Lost => {
                self.disk = DiskContents::default();
                // Its disk is lost with all that was on it: it can't know what it had granted.
                self.is_durable = false;
            }
            Disk::OldCopy => self.disk = std::mem::take(&mut self.copy),
        }
    }
}
