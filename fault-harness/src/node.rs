//! A node of a play: its process, its simulated interpreter, its relays and its state folders, with the
//! operations that the faults need.

mod builds;
mod error;
mod lifecycle;
mod relays;
mod services;
mod startup;
mod state_folders;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::history::Event;
use crate::play_context::PlayContext;
use crate::process::Program;
use crate::program_log::LogLine;
use crate::settings::{PeerAddresses, ServiceAddresses};
use crate::simulated::interpreter::Interpreter;
use crate::wire::{self, NodeMessage};
use lifecycle::PlannedRestart;
use state_folders::StateFolders;

pub use builds::{Build, ProgramOptionError, Programs};
pub use error::StartError;
pub use lifecycle::Ending;
pub use relays::{PeerRelays, ServiceRelays};

/// A membership configuration that the harness gives to nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Membership {
    /// The version, which increases with each change of the member nodes.
    pub version: u64,
    /// Positions of the member nodes.
    pub nodes: Vec<usize>,
}

/// One node of a play.
pub struct Node {
    context: Rc<PlayContext>,
    /// Position in the fleet.
    index: usize,
    /// The simulated interpreter of the node.
    pub interpreter: Rc<Interpreter>,
    /// The relays to services and frontends.
    pub relays: ServiceRelays,
    /// The relays for the datagrams exchanged with the other nodes of the virtual router; empty without a
    /// virtual router.
    pub router_relays: RefCell<Vec<PeerRelays>>,
    /// The relays for replication connections with the other nodes; empty if nodes do not replicate.
    pub peer_relays: RefCell<Vec<PeerRelays>>,
    /// The content of `uwsgi.toml`, which makes the node a member of the virtual router; absent without a
    /// virtual router.
    pub router_config: RefCell<Option<String>>,
    /// The addresses for replication connections; absent if nodes do not replicate.
    pub peer_addresses: RefCell<Option<PeerAddresses>>,
    /// The membership configuration that the node was given last, or will be given at its next start.
    pub membership: RefCell<Membership>,
    previous_membership: RefCell<Option<Membership>>,
    /// The shift of the system clock as its process sees it, as AT:BY in milliseconds.
    clock: RefCell<Option<String>>,
    /// Whether the process has logged that it can vote.
    pub can_vote: Cell<bool>,
    /// Whether the process has logged anything since its start.
    has_logged: Cell<bool>,
    /// The JSON-RPC address at which the node serves; none while it is down.
    pub address: watch::Sender<Option<SocketAddr>>,
    programs: Programs,
    /// The name of the build that the node runs; none means the default build.
    build: RefCell<Option<String>>,
    folder: PathBuf,
    state_folders: StateFolders,
    log_enabled: bool,
    /// The addresses of its simulated services; none until they listen.
    service_addresses: Cell<Option<ServiceAddresses>>,
    program: RefCell<Option<Program>>,
    ending: Cell<Option<Ending>>,
    planned_restart: RefCell<Option<PlannedRestart>>,
}

impl Node {
    /// Creates a node, not started yet, with its own directory below `folder`.
    ///
    /// # Errors
    ///
    /// If its directory cannot be created.
    pub fn new(
        context: Rc<PlayContext>,
        index: usize,
        relays: ServiceRelays,
        programs: &Programs,
        folder: &Path,
        log_enabled: bool,
    ) -> Result<Rc<Node>, StartError> {
        let name = node_name(index);
        let folder = folder.join(&name);
        let state_folders = StateFolders::create(&folder).map_err(StartError::file(&folder))?;
        let fleet = &context.scenario.fleet;
        let build = fleet.programs.iter().find(|(_, nodes)| nodes.contains(&name));
        let build = build.map(|(build, _)| build.clone());
        let clock = fleet.clocks.get(&name).cloned();
        let interpreter = Interpreter::new(context.clone(), index, fleet.cold);
        Ok(Rc::new(Node {
            context,
            index,
            interpreter,
            relays,
            router_relays: RefCell::default(),
            peer_relays: RefCell::default(),
            router_config: RefCell::default(),
            peer_addresses: RefCell::default(),
            membership: RefCell::default(),
            previous_membership: RefCell::default(),
            clock: RefCell::new(clock),
            can_vote: Cell::new(false),
            has_logged: Cell::new(false),
            address: watch::channel(None).0,
            programs: programs.clone(),
            build: RefCell::new(build),
            folder,
            state_folders,
            log_enabled,
            service_addresses: Cell::new(None),
            program: RefCell::default(),
            ending: Cell::new(None),
            planned_restart: RefCell::default(),
        }))
    }

    /// The name of the node in scenarios and reports, such as `n1`.
    pub fn name(&self) -> String {
        node_name(self.index)
    }

    /// Records the events that a log line of the process reports.
    fn on_log_line(&self, line: LogLine) {
        if line.ready_to_vote {
            self.can_vote.set(true);
        }
        if let Some(text) = line.fleet {
            self.context.note(Event::FleetLogged { node: self.index, text });
        }
        if let Some(active) = line.router_active {
            self.context.note(Event::RouterRole { node: self.index, active });
        }
        if let Some(address) = line.serving_at {
            self.address.send_replace(Some(address));
            self.context.note(Event::NodeUp { node: self.index, cold: self.interpreter.is_cold() });
        }
    }

    /// Copies the state folders, for a later restart with stale state.
    pub fn copy_state(&self) {
        self.state_folders.copy_state();
    }

    /// Writes a membership configuration for the node, and sends SIGHUP so that a running process reloads it.
    pub fn apply_membership(&self, membership: &Membership) {
        let previous = self.membership.replace(membership.clone());
        let is_older = previous.version < membership.version;
        *self.previous_membership.borrow_mut() = is_older.then_some(previous);
        // If the file cannot be written, the node keeps the configuration that it has.
        if self.write_fleet_config().is_ok() {
            self.reload();
        }
    }

    /// Whether the node answers a health check and reports itself healthy.
    pub async fn is_healthy(&self) -> bool {
        let Some(address) = *self.address.borrow() else { return false };
        let Ok(mut stream) = TcpStream::connect(address).await else { return false };
        let mut answer = String::new();
        let sent = stream.write_all(wire::STATUS.as_bytes()).await;
        sent.is_ok()
            && BufReader::new(&mut stream).read_line(&mut answer).await.is_ok()
            && matches!(wire::parse_node_message(answer.trim_end()), NodeMessage::Status { up: true, .. })
    }
}

fn node_name(index: usize) -> String {
    format!("n{}", index + 1)
}
