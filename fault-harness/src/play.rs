//! Plays a scenario: starts the nodes and all stand-ins, sends the load, injects the faults, and ends every process that
//! it started.

mod disturbance;
mod faults;
mod links;
mod monitoring;
mod testbed;
mod workspace;

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;

use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};

use crate::history::History;
use crate::model::Ms;
use crate::node::{Build, Ending, Programs};
use crate::scenario::Scenario;
use testbed::Testbed;
use workspace::Workspace;

/// Between the last node's readiness and the load.
const PAUSE_BEFORE_LOAD: Ms = 500.0;
/// After the load, the play goes on until the longest deadline is over, and this.
const PAUSE_AFTER_DEADLINES: Ms = 500.0;

/// How to play.
#[derive(Debug, Clone)]
pub struct Options {
    /// The seed; the scenario's own if there is none.
    pub seed: Option<u64>,
    /// Where the program is, and other builds by name.
    pub programs: Programs,
    /// Where logs and histories go; none are kept without it.
    pub out: Option<PathBuf>,
    /// Whether progress is printed on standard error.
    pub progress: bool,
}

/// Plays a scenario to its end.
///
/// # Errors
///
/// If the program can't be started or does not serve, and if the play is interrupted.
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

async fn run(scenario: &Scenario, options: &Options) -> io::Result<History> {
    let seed = options.seed.unwrap_or(scenario.seed);
    let workspace = Workspace::new(options.out.as_deref())?;
    let testbed = Rc::new(Testbed::new(scenario, options, seed, &workspace.path)?);
    start_nodes(&testbed).await?;
    let context = &testbed.context;
    context.begun.set(context.now() + PAUSE_BEFORE_LOAD);
    for machine in &testbed.machines {
        machine.keep_copy();
    }
    start_tasks(&testbed, options);
    testbed.arm();
    send_load(&testbed).await;
    let longest = scenario.classes.iter().map(|class| class.deadline_ms).max().unwrap_or(0) as f64;
    let load_end = context.begun.get() + scenario.seconds * 1000.0;
    context.clock.until(load_end + longest + scenario.rules.slack_ms + PAUSE_AFTER_DEADLINES).await;
    stop(&testbed);
    Ok(context.history())
}

/// Connects the nodes with each other, starts them and waits until they serve.
async fn start_nodes(testbed: &Testbed) -> io::Result<()> {
    let fleet = &testbed.context.scenario.fleet;
    if let Some(vrrp) = &fleet.vrrp {
        testbed.connect_router(vrrp.interval_ms).await?;
    }
    if fleet.peers.as_ref().is_some_and(|peers| peers.enabled) {
        testbed.connect_peers().await?;
    }
    for machine in &testbed.machines {
        machine.begin().await?;
    }
    testbed.ready().await
}

/// Starts the tasks that go on for as long as the play.
fn start_tasks(testbed: &Rc<Testbed>, options: &Options) {
    spawn_local(monitoring::sample(testbed.clone()));
    spawn_local(monitoring::watch_lateness(testbed.context.clone()));
    if options.progress {
        spawn_local(monitoring::print_progress(testbed.clone()));
    }
    for frontend in &testbed.frontends {
        spawn_local(frontend.clone().tidy());
    }
}

/// Sends each request at its time.
async fn send_load(testbed: &Testbed) {
    let context = &testbed.context;
    let requests = &context.schedule.requests;
    let mut order: Vec<usize> = (0..requests.len()).collect();
    order.sort_by(|a, b| requests[*a].at.total_cmp(&requests[*b].at));
    for position in order {
        let request = &requests[position];
        context.clock.until(context.begun.get() + request.at).await;
        spawn_local(testbed.frontends[request.frontend].clone().client(position));
    }
}

/// Ends all programs; faults that still wait do not strike.
fn stop(testbed: &Testbed) {
    testbed.context.deafen();
    testbed.pending_injections.borrow_mut().clear();
    for machine in &testbed.machines {
        machine.end(Ending::Over);
    }
}

/// The builds of the program: the default one, and others given as NAME=PATH with arguments behind the path.
///
/// # Errors
///
/// If one does not have that form.
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
