//! Plays a scenario: starts the nodes and all that they talk to, sends the load, injects the faults, and ends every process
//! that it started.

mod disturbance;
mod error;
mod faults;
mod links;
mod monitoring;
mod testbed;
mod workspace;

use std::path::PathBuf;
use std::rc::Rc;

use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};

use crate::history::History;
use crate::model::{ms_of_seconds, Ms};
use crate::node::{Ending, Programs};
use crate::scenario::Scenario;
use testbed::Testbed;
use workspace::Workspace;

pub use error::PlayError;

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
pub fn play(scenario: &Scenario, options: &Options) -> Result<History, PlayError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let set = LocalSet::new();
    let history = runtime.block_on(set.run_until(async {
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            played = run(scenario, options) => played,
            _ = interrupt.recv() => Err(PlayError::Interrupted),
            _ = terminate.recv() => Err(PlayError::Interrupted),
        }
    }));
    // Tasks hold the nodes, and with them the processes.
    drop(set);
    history
}

async fn run(scenario: &Scenario, options: &Options) -> Result<History, PlayError> {
    let seed = options.seed.unwrap_or(scenario.seed);
    let workspace = Workspace::new(options.out.as_deref())?;
    let testbed = Rc::new(Testbed::new(scenario, options, seed, &workspace.path)?);
    start_nodes(&testbed).await?;
    let context = &testbed.context;
    context.load_start.set(context.now() + PAUSE_BEFORE_LOAD);
    for node in &testbed.nodes {
        node.keep_copy();
    }
    start_tasks(&testbed, options);
    testbed.arm();
    send_load(&testbed).await;
    let longest = scenario.classes.iter().map(|class| class.deadline_ms).max().unwrap_or(0) as f64;
    let load_end = context.load_start.get() + ms_of_seconds(scenario.seconds);
    context.clock.until(load_end + longest + scenario.rules.slack_ms + PAUSE_AFTER_DEADLINES).await;
    stop(&testbed);
    Ok(context.take_history())
}

/// Connects the nodes with each other, starts them and waits until they serve.
async fn start_nodes(testbed: &Testbed) -> Result<(), PlayError> {
    let fleet = &testbed.context.scenario.fleet;
    if let Some(vrrp) = &fleet.vrrp {
        testbed.connect_router(vrrp.interval_ms).await?;
    }
    if fleet.peers.as_ref().is_some_and(|peers| peers.enabled) {
        testbed.connect_peers().await?;
    }
    for node in &testbed.nodes {
        node.begin().await?;
    }
    testbed.ready().await
}

/// Starts the tasks that go on for as long as the play.
fn start_tasks(testbed: &Rc<Testbed>, options: &Options) {
    spawn_local(monitoring::sample(testbed.clone()));
    spawn_local(monitoring::monitor_own_delay(testbed.context.clone()));
    if options.progress {
        spawn_local(monitoring::print_progress(testbed.clone()));
    }
    for frontend in &testbed.frontends {
        spawn_local(frontend.clone().close_idle_connections());
    }
}

/// Sends each request at its time.
async fn send_load(testbed: &Testbed) {
    let context = &testbed.context;
    let requests = &context.schedule.requests;
    let mut order: Vec<usize> = (0..requests.len()).collect();
    order.sort_by(|first, second| requests[*first].at.total_cmp(&requests[*second].at));
    for position in order {
        let request = &requests[position];
        context.clock.until(context.load_start.get() + request.at).await;
        spawn_local(testbed.frontends[request.frontend].clone().serve_client(position));
    }
}

/// Ends all programs; faults that still wait are not injected.
fn stop(testbed: &Testbed) {
    testbed.context.remove_listener();
    testbed.pending_injections.borrow_mut().clear();
    for node in &testbed.nodes {
        node.end(Ending::PlayEnded);
    }
}
