//! A node as the rig sees it: its program as a process, its interpreter, its lines, its folder, and what can be done
//! to all of them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
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

use crate::history::{Event, ProcessExit};
use crate::model::registry::Members;
use crate::model::Ms;
use crate::play_context::PlayContext;
use crate::process::{Program, Signal};
use crate::program_log::LogLine;
use crate::relay::{Direction, Line};
use crate::scenario::{Fault, Folder};
use crate::settings::{self, Peers};
use crate::stand_in::dependency::Tier;
use crate::stand_in::interpreter::Interpreter;
use crate::wire::{self, NodeMessage};

/// Lines of a log that wait to be looked at; who logs more waits.
const LOGGED: usize = 1024;
/// What waits on a stand-in's listener.
const WAITING: usize = 64;
/// A node whose interpreter died is started again so long after.
const AFTER_FALL: Ms = 2000.0;
/// How a program is told that the system's clock is set.
const CLOCK: &str = "OAKWIND_REHEARSED_CLOCK";

/// A build of the program.
#[derive(Debug, Clone, Default)]
pub struct Build {
    /// Where it is.
    pub path: PathBuf,
    /// Arguments that it gets besides those of every node.
    pub arguments: Vec<String>,
}

/// The builds of the program.
#[derive(Debug, Clone, Default)]
pub struct Programs {
    /// The one that nodes run unless the scenario says otherwise.
    pub default: Build,
    /// Others by name.
    pub others: BTreeMap<String, Build>,
}

impl Programs {
    fn named(&self, name: Option<&str>) -> io::Result<Build> {
        match name {
            None => Ok(self.default.clone()),
            Some(name) => self.others.get(name).cloned().ok_or_else(|| {
                io::Error::new(
                    io::ErrorKind::NotFound,
                    format!("no --program {name}=PATH names the build {name:?}"),
                )
            }),
        }
    }
}

/// Why a program is expected to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// A fault kills it.
    Killed,
    /// It has notice to leave.
    Leaving,
    /// The play is over.
    Over,
}

/// What happens to a node after its program has ended.
#[derive(Debug, Clone)]
struct Return {
    after: Ms,
    folder: Folder,
    draw: u64,
    program: Option<String>,
    clock: Option<String>,
    old_list: bool,
}

/// One node.
pub struct Machine {
    context: Rc<PlayContext>,
    node: usize,
    /// Its interpreter.
    pub interpreter: Rc<Interpreter>,
    /// Its line to that.
    pub vm: Line,
    /// Its line to the tier below.
    pub below: Line,
    /// Its line to the membership service.
    pub members: Line,
    /// Its lines with front ends.
    pub clients: Vec<Line>,
    /// Its lines with other nodes: which one, to it, and from it.
    pub peers: RefCell<Vec<(usize, Line, Line)>>,
    /// Its links with other nodes: which one, the one that it dials, and the one that the other dials.
    pub links: RefCell<Vec<(usize, Line, Line)>>,
    /// The file that makes it one of the virtual router.
    pub router: RefCell<Option<String>>,
    /// Where it meets its peers, if nodes talk.
    pub place: RefCell<Option<settings::Place>>,
    /// The number of the list that it is told next, and the nodes on it.
    pub list: RefCell<(u64, Vec<usize>)>,
    /// The one before that.
    list_before: RefCell<Option<(u64, Vec<usize>)>>,
    /// How the system's clock is set for its program.
    clock: RefCell<Option<String>>,
    /// Whether its votes can be relied on, as far as it has said.
    pub sound: Cell<bool>,
    /// Whether the program has said anything since it was started.
    speaks: Cell<bool>,
    /// Where it serves; none while it is down.
    pub address: watch::Sender<Option<SocketAddr>>,
    programs: Programs,
    build: RefCell<Option<String>>,
    folder: PathBuf,
    log_enabled: bool,
    listeners: Cell<Option<Peers>>,
    program: RefCell<Option<Program>>,
    ending: Cell<Option<Ending>>,
    back: RefCell<Option<Return>>,
}

impl Machine {
    /// A node that is not started yet. The lines go to the interpreter, the tier below and the membership service.
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
        std::fs::create_dir_all(folder.join("remembered"))?;
        std::fs::create_dir_all(folder.join("votes"))?;
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
            sound: Cell::new(false),
            speaks: Cell::new(false),
            address: watch::channel(None).0,
            programs: programs.clone(),
            build: RefCell::new(build),
            folder,
            log_enabled,
            listeners: Cell::new(None),
            program: RefCell::default(),
            ending: Cell::new(None),
            back: RefCell::default(),
        }))
    }

    fn name(&self) -> String {
        format!("n{}", self.node + 1)
    }

    /// Plays what the node connects to, for as long as the play.
    pub async fn serve_peers(self: Rc<Self>, tier: Option<Rc<Tier>>, members: Rc<RefCell<Members>>) {
        let Ok((vm, index, reports)) = self.listeners().await else { return };
        let (vm_put, mut vm_ends) = mpsc::channel(WAITING);
        let (index_put, mut index_ends) = mpsc::channel(WAITING);
        let (report_put, mut heard) = mpsc::channel(WAITING);
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
                            self.context.note(Event::Spoilt { node: self.node, text });
                            continue;
                        }
                    };
                    members.borrow_mut().report(self.context.now(), self.node, up);
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
            std::fs::write(&file, settings::remembered(&self.folder.join("remembered")))?;
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
        command.env_remove("TMPDIR").env_remove("BALANCER_CONFIG").env_remove(CLOCK);
        if let Some(clock) = &*self.clock.borrow() {
            command.env(CLOCK, clock);
        }
        let (say, mut log) = mpsc::channel::<String>(LOGGED);
        // Once the play is over nobody reads any more.
        let program = Program::start(&mut command, move |line| drop(say.blocking_send(line)))?;
        *self.program.borrow_mut() = Some(program);
        self.ending.set(None);
        self.speaks.set(false);
        let machine = self.clone();
        spawn_local(async move {
            let mut file = machine
                .log_enabled
                .then(|| OpenOptions::new().create(true).append(true).open(machine.folder.join("log")));
            while let Some(line) = log.recv().await {
                machine.speaks.set(true);
                if let Some(Ok(file)) = &mut file {
                    // A log that can't be kept is not worth the play.
                    let _ = writeln!(file, "{line}");
                }
                machine.on_log_line(LogLine::parse(&line));
            }
            // The log ends with the program.
            machine.over();
        });
        Ok(())
    }

    /// The program has logged a line.
    fn on_log_line(&self, line: LogLine) {
        if line.ready_to_vote {
            self.sound.set(true);
        }
        if let Some(text) = line.fleet {
            self.context.note(Event::Said { node: self.node, text });
        }
        if let Some(active) = line.router_active {
            self.context.note(Event::Role { node: self.node, active });
        }
        if let Some(address) = line.serving_at {
            self.address.send_replace(Some(address));
            self.context.note(Event::Up { node: self.node, cold: self.interpreter.cold() });
        }
    }

    /// Writes the file of the fleet, with the list of now.
    fn write_list(&self) -> io::Result<PathBuf> {
        let file = self.folder.join("fleet.toml");
        let (number, listed) = self.list.borrow().clone();
        if let Some(place) = &*self.place.borrow() {
            let votes = self.folder.join("votes");
            let text = settings::fleet(&self.context.scenario, self.node, place, &votes, number, &listed);
            std::fs::write(&file, text)?;
        }
        Ok(file)
    }

    /// Tells it of a list, which it reads at once if it runs.
    pub fn takes_list(&self, number: u64, listed: &[usize]) {
        let before = self.list.replace((number, listed.to_vec()));
        *self.list_before.borrow_mut() = Some(before).filter(|(old, _)| *old < number);
        // What can't be written is not taken.
        if self.write_list().is_ok() {
            self.reload();
        }
    }

    /// Its program has ended.
    fn over(self: &Rc<Self>) {
        let status = self.program.borrow_mut().take().and_then(|mut program| program.wait().ok());
        self.address.send_replace(None);
        let way = match (self.ending.replace(None), status) {
            (Some(Ending::Over), _) => return,
            // That was noted when it was killed.
            (Some(Ending::Killed), _) => None,
            (Some(Ending::Leaving), Some(status)) if status.success() => Some(ProcessExit::Left),
            (_, status) => {
                Some(ProcessExit::Crashed(status.map_or("unknown".into(), |status| status.to_string())))
            }
        };
        self.interpreter.end();
        if let Some(way) = way {
            self.context.note(Event::Down { node: self.node, way });
        }
        let Some(back) = self.back.borrow_mut().take() else { return };
        let machine = self.clone();
        spawn_local(async move {
            machine.context.clock.until(machine.context.now() + back.after).await;
            if let Err(e) = machine.come_back(&back) {
                machine.context.note(Event::Down {
                    node: machine.node,
                    way: ProcessExit::Crashed(format!("not started again: {e}")),
                });
            }
        });
    }

    fn come_back(self: &Rc<Self>, back: &Return) -> io::Result<()> {
        if let Some(build) = &back.program {
            *self.build.borrow_mut() = Some(build.clone());
        }
        self.clock.borrow_mut().clone_from(&back.clock);
        if let Some(before) = self.list_before.borrow_mut().take().filter(|_| back.old_list) {
            *self.list.borrow_mut() = before;
        }
        for name in ["remembered", "votes"] {
            let (folder, copy) = (self.folder.join(name), self.folder.join(format!("{name}-copy")));
            match back.folder {
                Folder::Keep => {}
                Folder::Lost => empty(&folder)?,
                Folder::Old => {
                    empty(&folder)?;
                    copy_files(&copy, &folder)?;
                }
                Folder::Cut => cut_newest(&folder, back.draw)?,
            }
        }
        if back.folder != Folder::Keep || !self.context.scenario.fleet.folder {
            self.context.note(Event::Wiped { node: self.node });
        }
        self.interpreter.start();
        self.start()
    }

    /// Keeps a copy of its folder, for a restart with an old one.
    pub fn keep_copy(&self) {
        for name in ["remembered", "votes"] {
            let copy = self.folder.join(format!("{name}-copy"));
            // What can't be copied is missed when it is put back.
            let _ = std::fs::create_dir_all(&copy);
            let _ = copy_files(&self.folder.join(name), &copy);
        }
    }

    fn returns(&self, down: Option<Ms>, fault: &Fault, draw: u64) {
        let (program, clock) = (fault.program.clone(), fault.clock.clone());
        let (folder, old_list) = (fault.folder, fault.old_list);
        *self.back.borrow_mut() = down.map(|after| Return { after, folder, draw, program, clock, old_list });
    }

    /// Kills it with its interpreter; it may come back.
    pub fn kill(&self, down: Option<Ms>, fault: &Fault, draw: u64) {
        self.returns(down, fault, draw);
        self.end(Ending::Killed);
        self.interpreter.end();
    }

    /// Ends its program at once, if there is one.
    pub fn end(&self, ending: Ending) {
        if let Some(program) = &*self.program.borrow() {
            self.ending.set(Some(ending));
            // It may have ended already.
            let _ = program.signal(Signal::KILL);
            if ending == Ending::Killed {
                // Noted before its connections are seen to end.
                self.context.note(Event::Down { node: self.node, way: ProcessExit::Killed });
                self.address.send_replace(None);
            }
        }
    }

    /// Tells it to leave; it is killed when its time is over.
    pub fn leave(self: &Rc<Self>, down: Option<Ms>, fault: &Fault, draw: u64) {
        let Some(id) = self.program.borrow().as_ref().map(|program| {
            // It may have ended already.
            let _ = program.signal(Signal::TERM);
            program.id()
        }) else {
            return;
        };
        self.returns(down, fault, draw);
        self.ending.set(Some(Ending::Leaving));
        self.context.note(Event::Notice { node: self.node });
        let (machine, stop) = (self.clone(), self.context.now() + self.context.scenario.fleet.stop_ms as f64);
        spawn_local(async move {
            machine.context.clock.until(stop).await;
            if machine.program.borrow().as_ref().is_some_and(|program| program.id() == id) {
                machine.context.note(Event::Down { node: machine.node, way: ProcessExit::Overstayed });
                machine.end(Ending::Killed);
            }
        });
    }

    /// Tells it to read its files again.
    pub fn reload(&self) {
        if let Some(program) = &*self.program.borrow() {
            // It may have ended already.
            let _ = program.signal(Signal::HUP);
        }
    }

    /// Lets it stand still, or go on.
    pub fn set_paused(&self, still: bool, program_only: bool) {
        if let Some(program) = &*self.program.borrow() {
            // It may have ended already.
            let _ = program.signal(if still { Signal::STOP } else { Signal::CONT });
        }
        if !program_only {
            self.interpreter.set_paused(still);
        }
        self.context.note(Event::Still { node: self.node, still });
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

    /// Notes what its program takes, and sees to it where its interpreter has died.
    pub fn sample(self: &Rc<Self>) {
        // Until it speaks its process may still be a copy of this one, with all that this one has open.
        let usage = self.program.borrow().as_ref().filter(|_| self.speaks.get()).and_then(Program::usage);
        if let Some(usage) = usage {
            let (rss_kb, files, cpu_ms) = (usage.rss_kb, usage.files, usage.cpu_ms);
            self.context.note(Event::Sample { node: self.node, rss_kb, files, cpu_ms });
        }
        if self.interpreter.fallen().is_some() {
            *self.back.borrow_mut() = Some(Return {
                after: AFTER_FALL,
                folder: Folder::Keep,
                draw: 0,
                program: None,
                clock: None,
                old_list: false,
            });
            self.end(Ending::Killed);
        }
    }
}

fn files(folder: &Path) -> io::Result<Vec<PathBuf>> {
    let entries = std::fs::read_dir(folder)?;
    let mut paths = entries.map(|entry| Ok(entry?.path())).collect::<io::Result<Vec<_>>>()?;
    paths.retain(|path| path.is_file());
    paths.sort();
    Ok(paths)
}

fn empty(folder: &Path) -> io::Result<()> {
    files(folder)?.iter().try_for_each(std::fs::remove_file)
}

fn copy_files(from: &Path, to: &Path) -> io::Result<()> {
    for path in files(from)? {
        if let Some(name) = path.file_name() {
            std::fs::copy(&path, to.join(name))?;
        }
    }
    Ok(())
}

/// Cuts the newest file of records at a byte drawn by the seed.
fn cut_newest(folder: &Path, draw: u64) -> io::Result<()> {
    let records = files(folder)?.into_iter().rfind(|path| path.extension().is_some_and(|kind| kind == "log"));
    let Some(path) = records else { return Ok(()) };
    let length = std::fs::metadata(&path)?.len();
    let file = OpenOptions::new().write(true).open(&path)?;
    file.set_len(if length == 0 { 0 } else { draw % length })
}
