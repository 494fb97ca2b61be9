//! A node as the harness sees it: its program as a process, its interpreter, its relays, its state directories, and what
//! can be done to all of them.

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

/// A membership configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Membership {
    /// Its version.
    pub version: u64,
    /// The nodes in it, by position.
    pub nodes: Vec<usize>,
}

/// One node.
pub struct Node {
    context: Rc<PlayContext>,
    /// Its position in the fleet.
    index: usize,
    /// Its interpreter.
    pub interpreter: Rc<Interpreter>,
    /// Its relays to services and frontends.
    pub relays: ServiceRelays,
    /// Its relays for datagrams with the other nodes of the virtual router.
    pub router_relays: RefCell<Vec<PeerRelays>>,
    /// Its relays for connections with the other nodes that replicate.
    pub peer_relays: RefCell<Vec<PeerRelays>>,
    /// The file that makes it one of the virtual router.
    pub router_config: RefCell<Option<String>>,
    /// The addresses at which it and its peers listen, if nodes replicate.
    pub peer_addresses: RefCell<Option<PeerAddresses>>,
    /// The membership configuration that it is given next.
    pub membership: RefCell<Membership>,
    previous_membership: RefCell<Option<Membership>>,
    /// How the system's clock is set for its program.
    clock: RefCell<Option<String>>,
    /// Whether it can vote, as far as it has logged.
    pub can_vote: Cell<bool>,
    /// Whether the program has logged anything since it was started.
    has_logged: Cell<bool>,
    /// Where it serves; none while it is down.
    pub address: watch::Sender<Option<SocketAddr>>,
    programs: Programs,
    /// The build that it runs; none is the default one.
    build: RefCell<Option<String>>,
    folder: PathBuf,
    state_folders: StateFolders,
    log_enabled: bool,
    /// Where its program finds the services, once they listen.
    service_addresses: Cell<Option<ServiceAddresses>>,
    program: RefCell<Option<Program>>,
    ending: Cell<Option<Ending>>,
    planned_restart: RefCell<Option<PlannedRestart>>,
}

impl Node {
    /// A node that is not started yet, with a directory of its own below `folder`.
    ///
    /// # Errors
    ///
    /// If its directory cannot be made.
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

    /// Its name in scenarios and reports.
    pub fn name(&self) -> String {
        node_name(self.index)
    }

    /// Handles a line that the program has logged.
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

    /// Keeps a copy of its state directories, for a restart with old ones.
    pub fn keep_copy(&self) {
        self.state_folders.keep_copy();
    }

    /// Gives it a membership configuration, which it reads at once if it runs.
    pub fn apply_membership(&self, membership: &Membership) {
        let previous = self.membership.replace(membership.clone());
        let is_older = previous.version < membership.version;
        *self.previous_membership.borrow_mut() = is_older.then_some(previous);
        // A configuration that cannot be written is not applied.
        if self.write_fleet_config().is_ok() {
            self.reload();
        }
    }

    /// Whether it answers a health check, and is healthy.
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
