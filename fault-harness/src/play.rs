//! Plays a scenario: starts the nodes and all stand-ins, sends the load, strikes with the faults, and ends every
//! process that it started.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use tokio::io::{copy_bidirectional, DuplexStream};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};

use crate::history::{Event, History};
use crate::model::registry::Members;
use crate::model::Ms;
use crate::node::{Build, Ending, Machine, Programs};
use crate::play_context::{unique_number, PlayContext};
use crate::relay::{Direction, Line};
use crate::scenario::{Directions, Fault, Link, Scenario, Traffic, What};
use crate::schedule::{generator, schedule, At, Schedule, Stream, Strike};
use crate::settings;
use crate::stand_in::dependency::Tier;
use crate::stand_in::frontends::{FrontEnd, NodeEndpoints, Shared};

/// All nodes serve within this, or the play does not begin.
const READY: Ms = 30_000.0;
/// Between the last node's readiness and the load.
const LULL: Ms = 500.0;
/// After the load, the play goes on until the longest deadline is over, and this.
const AFTER: Ms = 500.0;
/// Between two samples of what programs take.
const SAMPLES: Ms = 500.0;
/// The rig looks so often whether it runs late itself, and says so from this on.
const HEARTBEAT: Ms = 10.0;
const LATE_THRESHOLD: Ms = 25.0;
/// Lines between nodes have numbers from here on, for their random numbers.
const PEERS: usize = 1 << 16;
/// One node hears of a list so much later than the one before it.
const PROGRESS_INTERVAL: Ms = 100.0;
/// Datagrams that wait to be handed on.
const WAITING: usize = 64;
/// Pieces of progress: a line every so often.
const PROGRESS: Ms = 5_000.0;

/// How to play.
#[derive(Debug, Clone)]
pub struct Options {
    /// The seed; the scenario's own if there is none.
    pub seed: Option<u64>,
    /// Where the program is, and other builds by name.
    pub programs: Programs,
    /// Where logs and histories go; none are kept without it.
    pub out: Option<PathBuf>,
    /// Whether progress is told on standard error.
    pub progress: bool,
}

/// Plays a scenario to its end.
///
/// # Errors
///
/// Where the program can't be started or does not serve, and where the play is interrupted.
pub fn play(scenario: &Scenario, options: &Options) -> io::Result<History> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let set = LocalSet::new();
    let history = runtime.block_on(set.run_until(async {
        let (mut interrupt, mut terminate) =
            (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?);
        tokio::select! {
            played = run(scenario, options) => played,
            _ = interrupt.recv() => Err(interrupted()),
            _ = terminate.recv() => Err(interrupted()),
        }
    }));
    // Tasks hold the machines, and with them the processes.
    drop(set);
    history
}

fn interrupted() -> io::Error {
    io::Error::new(io::ErrorKind::Interrupted, "interrupted; every process is ended")
}

/// The parts of a play.
struct Stage {
    context: Rc<PlayContext>,
    machines: Vec<Rc<Machine>>,
    fronts: Vec<Rc<FrontEnd>>,
    tier: Option<Rc<Tier>>,
    members: Rc<RefCell<Members>>,
    /// Strikes that wait for an event and have not come yet.
    waiting: RefCell<Vec<Strike>>,
    number: Cell<u64>,
}

async fn run(scenario: &Scenario, options: &Options) -> io::Result<History> {
    let seed = options.seed.unwrap_or(scenario.seed);
    let own = Folder::new(options.out.as_deref())?;
    let stage = Rc::new(stage(scenario, options, seed, &own.path)?);
    let context = stage.context.clone();
    if let Some(vrrp) = &scenario.fleet.vrrp {
        stage.router(vrrp.interval_ms).await?;
    }
    if scenario.fleet.peers.as_ref().is_some_and(|peers| peers.on) {
        stage.links().await?;
    }
    for machine in &stage.machines {
        machine.begin().await?;
    }
    ready(&stage).await?;
    context.begun.set(context.now() + LULL);
    let begun = context.begun.get();
    for machine in &stage.machines {
        machine.keep_copy();
    }
    spawn_local(samples(stage.clone()));
    spawn_local(heartbeat(context.clone()));
    if options.progress {
        spawn_local(progress(stage.clone()));
    }
    for front in &stage.fronts {
        spawn_local(front.clone().tidy());
    }
    arm(&stage);
    let mut order: Vec<usize> = (0..context.schedule.requests.len()).collect();
    order.sort_by(|a, b| context.schedule.requests[*a].at.total_cmp(&context.schedule.requests[*b].at));
    for n in order {
        let ask = &context.schedule.requests[n];
        context.clock.until(begun + ask.at).await;
        spawn_local(stage.fronts[ask.front].clone().client(n));
    }
    let longest = scenario.classes.iter().map(|class| class.deadline_ms).max().unwrap_or(0) as f64;
    let end = begun + scenario.seconds * 1000.0 + longest + scenario.rules.slack_ms + AFTER;
    context.clock.until(end).await;
    context.deafen();
    stage.waiting.borrow_mut().clear();
    for machine in &stage.machines {
        machine.end(Ending::Over);
    }
    Ok(context.history())
}

fn stage(scenario: &Scenario, options: &Options, seed: u64, folder: &Path) -> io::Result<Stage> {
    let drawn: Schedule = schedule(scenario, seed);
    let context = PlayContext::new(scenario.clone(), drawn, seed);
    let members =
        Rc::new(RefCell::new(Members::new(scenario.fleet.nodes, scenario.members.lapse_s * 1000.0)));
    let tier = scenario.below.clone().map(|shape| Tier::new(context.clone(), shape));
    if let Some(tier) = &tier {
        spawn_local(tier.clone().work());
    }
    let mut lines = 0;
    let mut line = || {
        lines += 1;
        Line::new(context.clock, generator(seed, Stream::Links, lines))
    };
    let machines = (0..scenario.fleet.nodes)
        .map(|node| {
            let clients = (0..scenario.fronts.count).map(|_| line()).collect();
            Machine::new(
                context.clone(),
                node,
                [line(), line(), line()],
                clients,
                &options.programs,
                folder,
                options.out.is_some(),
            )
        })
        .collect::<io::Result<Vec<_>>>()?;
    for machine in &machines {
        spawn_local(machine.interpreter.clone().work());
        spawn_local(machine.clone().serve_peers(tier.clone(), members.clone()));
    }
    let doors = machines.iter().map(|machine| NodeEndpoints {
        address: machine.address.subscribe(),
        lines: machine.clients.clone(),
        interpreter: machine.interpreter.clone(),
    });
    let shared = Shared {
        doors: Rc::new(doors.collect()),
        members: members.clone(),
        tries: Rc::default(),
        went: Rc::default(),
    };
    let fronts = (0..scenario.fronts.count)
        .map(|front| FrontEnd::new(context.clone(), front, shared.clone()))
        .collect();
    Ok(Stage { context, machines, fronts, tier, members, waiting: RefCell::default(), number: Cell::new(1) })
}

/// Waits until every node serves and every front end sees it on its list.
async fn ready(stage: &Stage) -> io::Result<()> {
    let window = stage.context.scenario.classes.iter().map(|class| class.window_ms).max().unwrap_or(0) as f64;
    let replicated = stage.context.scenario.fleet.peers.is_some();
    let (context, by) = (&stage.context, stage.context.now() + READY + if replicated { window } else { 0.0 });
    let latest = context.schedule.fronts.iter().map(|front| front.late).fold(0.0, f64::max);
    loop {
        let now = context.now();
        let listed = stage.members.borrow_mut().listed_at(now, now - latest);
        let mut up = true;
        for (machine, listed) in stage.machines.iter().zip(&listed) {
            up = up && *listed && machine.healthy().await;
            // Bookings run once those that hold copies can vote.
            up = up && (machine.place.borrow().is_none() || machine.sound.get());
        }
        if up {
            return Ok(());
        }
        if now > by {
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "not every node serves in time after its start",
            ));
        }
        context.clock.until(now + 50.0).await;
    }
}

/// Arms the faults: those with a time, and those that wait for an event.
fn arm(stage: &Rc<Stage>) {
    let begun = stage.context.begun.get();
    for strike in &stage.context.schedule.strikes {
        match strike.at {
            At::Time(at) => {
                let (stage, strike) = (stage.clone(), strike.clone());
                spawn_local(async move {
                    stage.context.clock.until(begun + at + strike.after).await;
                    stage.strike(&strike);
                });
            }
            At::Event(..) => stage.waiting.borrow_mut().push(strike.clone()),
        }
    }
    let listening = Rc::downgrade(stage);
    stage.context.listen(move |node, what, count| {
        let Some(stage) = listening.upgrade() else { return };
        let due = |strike: &Strike| strike.at == At::Event(node, what, count);
        let struck: Vec<Strike> = {
            let mut waiting = stage.waiting.borrow_mut();
            let (now, later) = std::mem::take(&mut *waiting).into_iter().partition(due);
            *waiting = later;
            now
        };
        for strike in struck {
            if strike.after == 0.0 {
                // At once: a moment later the node would be further on.
                stage.strike(&strike);
            } else {
                let (stage, now) = (stage.clone(), stage.context.now());
                spawn_local(async move {
                    stage.context.clock.until(now + strike.after).await;
                    stage.strike(&strike);
                });
            }
        }
    });
}

/// Every two nodes, each way.
fn pairs(count: usize) -> impl Iterator<Item = (usize, usize)> {
    let all = (0..count).flat_map(move |from| (0..count).map(move |to| (from, to)));
    all.filter(|(from, to)| from != to)
}

impl Stage {
    /// An address of this play's and this node's own: the port that is free there stays free.
    fn unique_address(&self, node: usize) -> Ipv4Addr {
        let of_process = 100 + (std::process::id() % 150) as u8;
        Ipv4Addr::new(127, of_process, (self.context.number % 250) as u8, node as u8 + 1)
    }

    /// A line from one node to another, with random numbers of its own.
    fn line_between(&self, from: usize, to: usize) -> Line {
        let number = (PEERS + from * self.machines.len() + to) as u64;
        Line::new(self.context.clock, generator(self.context.seed, Stream::Links, number))
    }

    /// Joins all nodes to one virtual router, each pair by a line each way.
    async fn router(&self, interval_ms: u64) -> io::Result<()> {
        let count = self.machines.len();
        let mut hears = Vec::new();
        for node in 0..count {
            hears.push(UdpSocket::bind((self.unique_address(node), 0)).await?.local_addr()?);
        }
        // For each node, the sockets that stand for the others.
        let mut stands: Vec<Vec<Rc<UdpSocket>>> = Vec::new();
        for _ in 0..count {
            let mut others = Vec::new();
            for _ in 0..count {
                others.push(Rc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?));
            }
            stands.push(others);
        }
        let mut lines = HashMap::new();
        for (from, to) in pairs(count) {
            let line = self.line_between(from, to);
            lines.insert((from, to), line.clone());
            // What `from` sends to its stand-in of `to` comes to `to` from its stand-in of `from`.
            let (put, mut take) = mpsc::channel::<Vec<u8>>(WAITING);
            spawn_local(line.datagrams(stands[from][to].clone(), Direction::To, put));
            let (out, address) = (stands[to][from].clone(), hears[to]);
            spawn_local(async move {
                while let Some(datagram) = take.recv().await {
                    // One that is lost is lost.
                    let _ = out.send_to(&datagram, address).await;
                }
            });
        }
        for (node, machine) in self.machines.iter().enumerate() {
            let others = || (0..count).filter(move |other| *other != node);
            let peers =
                others().map(|other| stands[node][other].local_addr()).collect::<io::Result<Vec<_>>>()?;
            *machine.router.borrow_mut() = Some(settings::router(node, interval_ms, hears[node], &peers));
            let both =
                others().map(|other| (other, lines[&(other, node)].clone(), lines[&(node, other)].clone()));
            *machine.peers.borrow_mut() = both.collect();
        }
        Ok(())
    }

    /// Links every two nodes, each by a line that it dials.
    async fn links(&self) -> io::Result<()> {
        let count = self.machines.len();
        let mut listens = Vec::new();
        for node in 0..count {
            listens.push(TcpListener::bind((self.unique_address(node), 0)).await?.local_addr()?);
        }
        let mut lines = HashMap::new();
        let mut reaches = vec![listens.clone(); count];
        for (from, to) in pairs(count) {
            let line = self.line_between(from, to);
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            reaches[from][to] = listener.local_addr()?;
            let (put, mut ends) = mpsc::channel::<DuplexStream>(WAITING);
            spawn_local(line.clone().accept(listener, put));
            let address = listens[to];
            spawn_local(async move {
                while let Some(mut end) = ends.recv().await {
                    spawn_local(async move {
                        // Where nobody is there, the end is dropped, and with it the link.
                        let Ok(mut stream) = TcpStream::connect(address).await else { return };
                        let _ = stream.set_nodelay(true);
                        // A link may end at any time.
                        let _ = copy_bidirectional(&mut end, &mut stream).await;
                    });
                }
            });
            lines.insert((from, to), line);
        }
        let later = self.context.scenario.fleet.peers.as_ref().map_or(0, |peers| peers.later);
        let listed: Vec<usize> = (0..count - later).collect();
        for (node, machine) in self.machines.iter().enumerate() {
            let (listen, reaches) = (listens[node], reaches[node].clone());
            *machine.place.borrow_mut() = Some(settings::Place { listen, reaches });
            // One that comes later knows the list that it is on.
            let own: Vec<usize> = if node < count - later { listed.clone() } else { (0..count).collect() };
            *machine.list.borrow_mut() = (if node < count - later { 1 } else { 2 }, own);
            let others = (0..count).filter(|other| *other != node);
            *machine.links.borrow_mut() = others
                .map(|other| (other, lines[&(node, other)].clone(), lines[&(other, node)].clone()))
                .collect();
        }
        Ok(())
    }

    /// Tells everyone of the next list, one after the other.
    fn relist(self: &Rc<Self>, change: impl Fn(&mut Vec<usize>)) {
        let newest = self.machines.iter().map(|machine| machine.list.borrow().clone());
        let Some((number, mut listed)) = newest.min_by_key(|(number, _)| std::cmp::Reverse(*number)) else {
            return;
        };
        let before = listed.clone();
        change(&mut listed);
        listed.sort_unstable();
        listed.dedup();
        // Those that come are on it already.
        let number = if listed == before { number } else { number + 1 };
        for (after, machine) in self.machines.iter().cloned().enumerate() {
            let (clock, listed) = (self.context.clock, listed.clone());
            spawn_local(async move {
                clock.until(clock.now() + after as f64 * PROGRESS_INTERVAL).await;
                machine.takes_list(number, &listed);
            });
        }
    }

    /// Does what a fault does, and sees to its end.
    fn strike(self: &Rc<Self>, strike: &Strike) {
        let (context, fault) = (&self.context, &strike.fault);
        let lasts = fault.for_s.unwrap_or(0.0) * 1000.0;
        let down = fault.down_s.map(|s| s * 1000.0);
        let until = context.now() + lasts.max(down.unwrap_or(0.0));
        context.note(Event::Fault { text: describe(strike), until });
        let struck = || strike.whom.iter().filter_map(|node| self.machines.get(*node));
        match fault.what {
            What::Kill => struck().for_each(|machine| machine.kill(down, fault, strike.draw)),
            What::Leave => struck().for_each(|machine| machine.leave(down, fault, strike.draw)),
            What::Unlist => {
                let whom = strike.whom.clone();
                self.relist(move |listed| listed.retain(|node| !whom.contains(node)));
            }
            What::Enlist => {
                let whom = strike.whom.clone();
                self.relist(move |listed| listed.extend(&whom));
            }
            What::Reload => struck().for_each(|machine| machine.reload()),
            What::Stop => {
                struck().for_each(|machine| machine.set_paused(true, fault.program_only));
                self.later(until, strike, |machine, fault| machine.set_paused(false, fault.program_only));
            }
            What::Slow => {
                struck().for_each(|machine| machine.interpreter.slow(fault.factor));
                self.later(until, strike, |machine, _| machine.interpreter.slow(1.0));
            }
            What::Partition => {
                let silent = Traffic { silent: true, ..Traffic::default() };
                let all = [Link::Clients, Link::Below, Link::Members, Link::Peers];
                self.disturb(strike, &all, Directions::Both, &silent, until);
            }
            What::Link => self.disturb(strike, &fault.between, fault.way, &fault.traffic, until),
            What::Below => {
                if let Some(tier) = self.tier.clone() {
                    tier.weaken(fault.factor);
                    let clock = context.clock;
                    spawn_local(async move {
                        clock.until(until).await;
                        tier.weaken(1.0);
                    });
                }
            }
            What::Members => {
                self.members.borrow_mut().deaf(context.now(), true);
                let (members, clock) = (self.members.clone(), context.clock);
                spawn_local(async move {
                    clock.until(until).await;
                    members.borrow_mut().deaf(clock.now(), false);
                });
            }
            What::Fronts => strike
                .whom
                .iter()
                .filter_map(|front| self.fronts.get(*front))
                .for_each(|front| front.restart()),
        }
    }

    /// Undoes a fault for all that it struck.
    fn later(self: &Rc<Self>, until: Ms, strike: &Strike, undo: impl Fn(&Rc<Machine>, &Fault) + 'static) {
        let (stage, strike) = (self.clone(), strike.clone());
        spawn_local(async move {
            stage.context.clock.until(until).await;
            strike
                .whom
                .iter()
                .filter_map(|node| stage.machines.get(*node))
                .for_each(|machine| undo(machine, &strike.fault));
        });
    }

    /// Disturbs lines of the nodes struck, until then.
    fn disturb(
        self: &Rc<Self>,
        strike: &Strike,
        between: &[Link],
        way: Directions,
        traffic: &Traffic,
        until: Ms,
    ) {
        let number = self.number.replace(self.number.get() + 1);
        let (mut lines, mut peers) = (Vec::new(), Vec::new());
        for node in &strike.whom {
            let Some(machine) = self.machines.get(*node) else { continue };
            for link in between {
                match link {
                    Link::Clients => {
                        for (front, line) in machine.clients.iter().enumerate() {
                            // Front ends within a zone that is cut off still reach it.
                            let within = strike.fault.zone.as_ref().is_some_and(|zone| {
                                let scenario = &self.context.scenario;
                                scenario.fleet.zones[self.context.schedule.fronts[front].zone] == *zone
                            });
                            if strike.fault.what != What::Partition || !within {
                                lines.push((line.clone(), Some((*node, front))));
                            }
                        }
                    }
                    Link::Vm => lines.push((machine.vm.clone(), None)),
                    Link::Below => lines.push((machine.below.clone(), None)),
                    Link::Members => lines.push((machine.members.clone(), None)),
                    Link::Peers => {
                        for (other, to, from) in &*machine.peers.borrow() {
                            // Those that are cut off together hear each other.
                            if strike.fault.what == What::Partition && strike.whom.contains(other) {
                                continue;
                            }
                            let ways = [(to, way != Directions::From), (from, way != Directions::To)];
                            peers.extend(
                                ways.into_iter()
                                    .filter(|(_, suffers)| *suffers)
                                    .map(|(line, _)| (line.clone(), Directions::Both)),
                            );
                        }
                        let names = self.context.scenario.node_names();
                        for (other, dialled, dials) in &*machine.links.borrow() {
                            let with = &strike.fault.with;
                            let together =
                                strike.fault.what == What::Partition && strike.whom.contains(other);
                            if together || !(with.is_empty() || with.contains(&names[*other])) {
                                continue;
                            }
                            // A line is named after the node that dials it.
                            let other_way = match way {
                                Directions::Both => Directions::Both,
                                Directions::To => Directions::From,
                                Directions::From => Directions::To,
                            };
                            peers.extend([(dialled.clone(), way), (dials.clone(), other_way)]);
                        }
                    }
                }
            }
        }
        let told = |on: bool, context: &PlayContext, lines: &[(Line, Option<(usize, usize)>)]| {
            for (node, front) in lines.iter().filter_map(|(_, door)| *door) {
                context.note(Event::Disturbed { node, front: Some(front), on });
            }
        };
        told(true, &self.context, &lines);
        lines.iter().for_each(|(line, _)| line.disturb(number, way, traffic));
        peers.iter().for_each(|(line, way)| line.disturb(number, *way, traffic));
        if !peers.is_empty() {
            self.context.note(Event::Peers { on: true });
        }
        let context = self.context.clone();
        spawn_local(async move {
            context.clock.until(until).await;
            lines.iter().for_each(|(line, _)| line.mend(number));
            peers.iter().for_each(|(line, _)| line.mend(number));
            told(false, &context, &lines);
            if !peers.is_empty() {
                context.note(Event::Peers { on: false });
            }
        });
    }
}

async fn samples(stage: Rc<Stage>) {
    loop {
        for machine in &stage.machines {
            machine.sample();
        }
        let next = stage.context.now() + SAMPLES;
        stage.context.clock.until(next).await;
    }
}

/// Notes where the rig itself runs late: what it sees then is not the program's doing.
async fn heartbeat(context: Rc<PlayContext>) {
    loop {
        let due = context.now() + HEARTBEAT;
        context.clock.until(due).await;
        let by = context.now() - due;
        if by > LATE_THRESHOLD {
            context.note(Event::Late { by });
        }
    }
}

async fn progress(stage: Rc<Stage>) {
    let context = &stage.context;
    loop {
        let at = (context.now() - context.begun.get()) / 1000.0;
        let up = stage.machines.iter().filter(|machine| machine.address.borrow().is_some()).count();
        eprintln!(
            "{}: {:.0} of {:.0} s, {up} of {} nodes up",
            context.scenario.name,
            at.max(0.0),
            context.scenario.seconds,
            stage.machines.len()
        );
        context.clock.until(context.now() + PROGRESS).await;
    }
}

/// A fault in words, for the history and the charts.
fn describe(strike: &Strike) -> String {
    let what = format!("{:?}", strike.fault.what).to_lowercase();
    match (&strike.fault.zone, strike.whom.len()) {
        (_, 0) => what,
        (Some(zone), _) => format!("{what} {zone}"),
        (None, 1) if strike.fault.what != What::Fronts => format!("{what} n{}", strike.whom[0] + 1),
        (None, count) => format!("{what} {count}"),
    }
}

/// Where a play keeps its files; removed at the end unless they are to be kept.
struct Folder {
    path: PathBuf,
    kept: bool,
}

impl Folder {
    fn new(out: Option<&Path>) -> io::Result<Folder> {
        let scratch = || format!("oakwind-fault-harness-{}-{}", std::process::id(), unique_number());
        let path = out.map_or_else(|| std::env::temp_dir().join(scratch()), Path::to_path_buf);
        let kept = out.is_some();
        std::fs::create_dir_all(&path)?;
        Ok(Folder { path: path.canonicalize()?, kept })
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if !self.kept {
            // What is left over lies in the system's folder for such things.
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

/// The builds that are named as NAME=PATH, with arguments behind it.
///
/// # Errors
///
/// Where one is not named like that.
pub fn programs(default: PathBuf, named: &[String]) -> Result<Programs, String> {
    let mut others = BTreeMap::new();
    for entry in named {
        let Some((name, command)) = entry.split_once('=') else {
            return Err(format!("--program {entry}: is not NAME=PATH"));
        };
        let mut words = command.split_whitespace();
        let path = words.next().map(PathBuf::from).unwrap_or_default();
        others.insert(name.to_string(), Build { path, arguments: words.map(String::from).collect() });
    }
    let default = others.get("default").cloned().unwrap_or(Build { path: default, arguments: Vec::new() });
    Ok(Programs { default, others })
}
