//! The machines of the simulated nodes and the events that are scheduled for them.

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

/// An event for a node or its machine.
pub(crate) enum SimEvent {
    Tick,
    Event(Event),
    /// An attempt at the key with this number arrives from a client.
    Attempt(usize),
    /// The run of an attempt ends.
    EndRun(AttemptId),
    /// The process is killed and restarts after `down`.
    Kill {
        down: Duration,
        disk: Disk,
    },
    Start,
    /// The process receives no event for this long.
    Suspend(Duration),
    /// A zone is disconnected from the other zones.
    Partition {
        zone: usize,
        until: Time,
    },
    Propose(Arc<MembershipConfig>),
    /// A backup of the disk is made.
    BackUpDisk,
}

impl SimEvent {
    /// Whether the event is for the machine, whichever process runs there, and not for one process.
    pub(crate) fn is_for_machine(&self) -> bool {
        matches!(
            self,
            SimEvent::Kill { .. }
                | SimEvent::Start
                | SimEvent::Partition { .. }
                | SimEvent::Propose(_)
                | SimEvent::Attempt(_)
                | SimEvent::BackUpDisk
        )
    }

    /// Whether the event takes effect while the process is suspended; others wait until it resumes.
    pub(crate) fn reaches_suspended_process(&self) -> bool {
        matches!(self, SimEvent::Kill { .. } | SimEvent::Partition { .. } | SimEvent::Start)
    }
}

/// The state of the disk after a kill. Only a node with durable storage reads its disk when it restarts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Disk {
    Intact,
    Lost,
    /// The disk was replaced by an earlier backup.
    OldBackup,
}

/// The state that a simulated node has on its disk or in a backup of the disk.
#[derive(Debug, Clone, Default)]
pub(crate) struct DiskContents {
    /// The stored records, each with the time at which it expires.
    pub(crate) records: BTreeMap<Key, (StoredRecord, Time)>,
    pub(crate) position: Option<StatePosition>,
}

/// An event with the time and the process for which it is scheduled.
pub(crate) struct Scheduled {
    pub(crate) at: Time,
    /// Order of events that are scheduled for the same time.
    pub(crate) number: u64,
    pub(crate) node: usize,
    /// The process of the node that receives the event; later processes don't receive it.
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

/// The machine of a node, with its process and its disk.
pub(crate) struct Machine {
    /// The state of the process; `None` while no process runs.
    pub(crate) replica: Option<ReplicaNode>,
    /// Number of processes that have been started; also the incarnation of the current one.
    pub(crate) process: u64,
    pub(crate) suspended_until: Time,
    pub(crate) disk: DiskContents,
    pub(crate) backup: DiskContents,
    /// Whether the node restores its state from the disk.
    pub(crate) is_durable: bool,
}

impl Machine {
    /// Ends the process and sets the contents of the disk for the next process.
    pub(crate) fn kill(&mut self, disk: Disk) {
        self.replica = None;
        self.suspended_until = Time::ZERO;
        match disk {
            Disk::Intact => {}
            Disk::Lost => {
                self.disk = DiskContents::default();
                // Without its disk the node can't know which claims it has granted.
                self.is_durable = false;
            }
            Disk::OldBackup => self.disk = std::mem::take(&mut self.backup),
        }
    }
}
