//! A node as the harness sees it: its program as a process, its interpreter, its lines, its folders, and what can be done
//! to all of them.

mod builds;
mod lifecycle;
mod state_folders;

use std::cell::{Cell, RefCell};
use std::fs::OpenOptions;
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::rc::Rc;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

use crate::history::Event;
use crate::model::registry::Registry;
use crate::play_context::PlayContext;
use crate::process::Program;
use crate::program_log::LogLine;
use crate::relay::{Direction, Line};
use crate::settings::{self, Peers};
use crate::stand_in::dependency::Tier;
use crate::stand_in::interpreter::Interpreter;
use crate::wire::{self, NodeMessage};
use lifecycle::PlannedRestart;
use state_folders::StateFolders;

pub use builds::{Build, Programs};
pub use lifecycle::Ending;

/// Lines of a log that wait to be read; a program that logs more is blocked.
const LOG_QUEUE: usize = 1024;
/// Connections or datagrams that wait for a stand-in.
const STAND_IN_QUEUE: usize = 64;
/// The variable that tells a program how the system's clock is set.
const CLOCK_VARIABLE: &str = "OAKWIND_REHEARSED_CLOCK";

/// One node.
pub struct Machine {
    context: Rc<PlayContext>,
    node: usize,
    /// Its interpreter.
    pub interpreter: Rc<Interpreter>,
    /// Its line to that.
    pub vm: Line,
    /// Its line to the dependency.
    pub below: Line,
    /// Its line to the membership service.
    pub members: Line,
    /// Its lines with frontends.
    pub clients: Vec<Line>,
    /// Its lines with other nodes: which one, to it, and from it.
    pub peers: RefCell<Vec<(usize, Line, Line)>>,
    /// Its links with other nodes: which one, the one that it dials, and the one that the other dials.
    pub links: RefCell<Vec<(usize, Line, Line)>>,
    /// The file that makes it one of the virtual router.
    pub router: RefCell<Option<String>>,
    /// The addresses at which it meets its peers, if nodes replicate.
    pub place: RefCell<Option<settings::Place>>,
    /// The membership configuration that it is given next: its version, and the nodes in it.
    pub list: RefCell<(u64, Vec<usize>)>,
    /// The one before that.
    list_before: RefCell<Option<(u64, Vec<usize>)>>,
    /// How the system's clock is set for its program.
    clock: RefCell<Option<String>>,
    /// Whether it can vote, as far as it has logged.
    pub can_vote: Cell<bool>,
    /// Whether the program has said anything since it was started.
    has_logged: Cell<bool>,
    /// Where it serves; none while it is down.
    pub address: watch::Sender<Option<SocketAddr>>,
    programs: Programs,
    build: RefCell<Option<String>>,
    folder: PathBuf,
    state_folders: StateFolders,
    log_enabled: bool,
    listeners: Cell<Option<Peers>>,
    program: RefCell<Option<Program>>,
    ending: Cell<Option<Ending>>,
    planned_restart: RefCell<Option<PlannedRestart>>,
}

impl Machine {
    /// A node that is not started yet. The lines go to the interpreter, the dependency and the membership service.
    ///
    /// # Errors
    ///
    /// Where its folder can't be made.
    pub fn new(
        context: Rc<PlayContext>,
        node: usize,
        [vm, below, members]: [Line; 3],
        clients: Vec<Line>,
        programs: &Programs,
        folder: &Path,
        log_enabled: bool,
    ) -> io::Result<Rc<Machine>> {
        let name = format!("n{}", node + 1);
        let folder = folder.join(&name);
        let state_folders = StateFolders::create(&folder)?;
        let build = context.scenario.fleet.programs.iter().find(|(_, nodes)| nodes.contains(&name));
        let build = build.map(|(build, _)| build.clone());
        let clock = context.scenario.fleet.clocks.get(&name).cloned();
        let interpreter = Interpreter::new(context.clone(), node, context.scenario.fleet.cold);
        Ok(Rc::new(Machine {
            context,
            node,
            interpreter,
            vm,
            below,
            members,
            clients,
            peers: RefCell::default(),
            links: RefCell::default(),
            router: RefCell::default(),
            place: RefCell::default(),
            list: RefCell::default(),
            list_before: RefCell::default(),
            clock: RefCell::new(clock),
            can_vote: Cell::new(false),
            has_logged: Cell::new(false),
            address: watch::channel(None).0,
            programs: programs.clone(),
            build: RefCell::new(build),
            folder,
            state_folders,
            log_enabled,
            listeners: Cell::new(None),
            program: RefCell::default(),
            ending: Cell::new(None),
            planned_restart: RefCell::default(),
        }))
    }

    fn name(&self) -> String {
        format!("n{}", self.node + 1)
    }

    /// Plays what the node connects to, for as long as the play.
    pub async fn serve_peers(self: Rc<Self>, tier: Option<Rc<Tier>>, members: Rc<RefCell<Registry>>) {
        let Ok((vm, index, reports)) = self.listeners().await else { return };
        let (vm_put, mut vm_ends) = mpsc::channel(STAND_IN_QUEUE);
        let (index_put, mut index_ends) = mpsc::channel(STAND_IN_QUEUE);
        let (report_put, mut heard) = mpsc::channel(STAND_IN_QUEUE);
        spawn_local(self.vm.clone().accept(vm, vm_put));
        spawn_local(self.below.clone().accept(index, index_put));
        spawn_local(self.members.clone().datagrams(Rc::new(reports), Direction::From, report_put));
        loop {
            tokio::select! {
                Some(end) = vm_ends.recv() => drop(spawn_local(self.interpreter.clone().serve(end))),
                Some(end) = index_ends.recv() => {
                    if let Some(tier) = &tier {
                        spawn_local(tier.clone().serve(self.node, self.interpreter.clone(), end));
                    }
                }
                Some(report) = heard.recv() => {
                    let words = String::from_utf8_lossy(&report).into_owned();
                    let up = match words.split(' ').collect::<Vec<_>>()[..] {
                        ["HB", name, "UP"] if name == self.name() => true,
                        ["HB", name, "OUT"] if name == self.name() => false,
                        _ => {
                            let text = format!("a report that is none: {words}");
                            self.context.note(Event::Corrupted { node: self.node, text });
                            continue;
                        }
                    };
                    members.borrow_mut().on_heartbeat(self.context.now(), self.node, up);
                }
                else => return,
            }
        }
    }

    async fn listeners(&self) -> io::Result<(TcpListener, TcpListener, UdpSocket)> {
        let any = (Ipv4Addr::LOCALHOST, 0);
        let (vm, index) = (TcpListener::bind(any).await?, TcpListener::bind(any).await?);
        let reports = UdpSocket::bind(any).await?;
        let peers =
            Peers { vm: vm.local_addr()?, index: index.local_addr()?, members: reports.local_addr()? };
        self.listeners.set(Some(peers));
        Ok((vm, index, reports))
    }

    /// Starts it for the first time.
    ///
    /// # Errors
    ///
    /// Where the program can't be started.
    pub async fn begin(self: &Rc<Self>) -> io::Result<()> {
        while self.listeners.get().is_none() {
            tokio::task::yield_now().await;
        }
        self.start()
    }

    fn start(self: &Rc<Self>) -> io::Result<()> {
        let Some(peers) = self.listeners.get() else { return Err(io::ErrorKind::NotConnected.into()) };
        let seed = self.context.seed.wrapping_mul(1000).wrapping_add(self.node as u64)
            ^ (self.context.now() as u64) << 32;
        let config = self.folder.join("config.json");
        std::fs::write(&config, settings::config(&self.context.scenario, &self.name(), seed, &peers))?;
        let build = self.programs.named(self.build.borrow().as_deref())?;
        let mut command = Command::new(build.path);
        command.arg("serve").arg("--config").arg(&config).args(build.arguments);
        if self.context.scenario.fleet.folder {
            let file = self.folder.join("remembered.toml");
            std::fs::write(&file, settings::remembered(&self.state_folders.results()))?;
            command.arg("--remembered").arg(&file);
        }
        if let Some(router) = &*self.router.borrow() {
            let file = self.folder.join("uwsgi.toml");
            std::fs::write(&file, router)?;
            command.arg("--uwsgi").arg(&file);
        }
        if self.place.borrow().is_some() {
            command.arg("--fleet").arg(self.write_list()?);
        }
        command.env_remove("TMPDIR").env_remove("BALANCER_CONFIG").env_remove(CLOCK_VARIABLE);
        if let Some(clock) = &*self.clock.borrow() {
            command.env(CLOCK_VARIABLE, clock);
        }
        let (say, mut log) = mpsc::channel::<String>(LOG_QUEUE);
        // Once the play is over nobody reads any more.
        let program = Program::start(&mut command, move |line| drop(say.blocking_send(line)))?;
        *self.program.borrow_mut() = Some(program);
        self.ending.set(None);
        self.has_logged.set(false);
        let machine = self.clone();
        spawn_local(async move {
            let mut file = machine
                .log_enabled
                .then(|| OpenOptions::new().create(true).append(true).open(machine.folder.join("log")));
            while let Some(line) = log.recv().await {
                machine.has_logged.set(true);
                if let Some(Ok(file)) = &mut file {
                    // A log that can't be kept is not worth the play.
                    let _ = writeln!(file, "{line}");
                }
                machine.on_log_line(LogLine::parse(&line));
            }
            // The log ends with the program.
            machine.on_exit();
        });
        Ok(())
    }

    /// The program has logged a line.
    fn on_log_line(&self, line: LogLine) {
        if line.ready_to_vote {
            self.can_vote.set(true);
        }
        if let Some(text) = line.fleet {
            self.context.note(Event::FleetLogged { node: self.node, text });
        }
        if let Some(active) = line.router_active {
            self.context.note(Event::RouterRole { node: self.node, active });
        }
        if let Some(address) = line.serving_at {
            self.address.send_replace(Some(address));
            self.context.note(Event::NodeUp { node: self.node, cold: self.interpreter.cold() });
        }
    }

    /// Writes the file of the fleet, with the list of now.
    fn write_list(&self) -> io::Result<PathBuf> {
        let file = self.folder.join("fleet.toml");
        let (number, listed) = self.list.borrow().clone();
        if let Some(place) = &*self.place.borrow() {
            let votes = self.state_folders.votes();
            let text = settings::fleet(&self.context.scenario, self.node, place, &votes, number, &listed);
            std::fs::write(&file, text)?;
        }
        Ok(file)
    }

    /// Keeps a copy of its state folders, for a restart with old ones.
    pub fn keep_copy(&self) {
        self.state_folders.keep_copy();
    }

    /// Gives it a membership configuration, which it reads at once if it runs.
    pub fn apply_membership(&self, number: u64, listed: &[usize]) {
        let before = self.list.replace((number, listed.to_vec()));
        *self.list_before.borrow_mut() = Some(before).filter(|(old, _)| *old < number);
        // What can't be written is not taken.
        if self.write_list().is_ok() {
            self.reload();
        }
    }

    /// Whether a health check is answered as good.
    pub async fn healthy(&self) -> bool {
        let Some(address) = *self.address.borrow() else { return false };
        let Ok(mut stream) = TcpStream::connect(address).await else { return false };
        let mut line = String::new();
        let asked = stream.write_all(wire::STATUS.as_bytes()).await;
        asked.is_ok()
            && BufReader::new(&mut stream).read_line(&mut line).await.is_ok()
            && matches!(wire::parse_node_message(line.trim_end()), NodeMessage::Status(_, true))
    }
}
