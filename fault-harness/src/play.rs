//! Plays a scenario: starts the nodes and the simulated services, sends the load, injects the faults, and
//! ends every process that it started.

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

/// Delay between the time when the last node is ready and the start of the load.
const PAUSE_BEFORE_LOAD: Ms = 500.0;
/// Time that the play continues after the load has ended and the longest deadline and the checker's slack
/// have passed.
const PAUSE_AFTER_DEADLINES: Ms = 500.0;

/// Options of one play.
#[derive(Debug, Clone)]
pub struct Options {
    /// The seed of the schedule; the scenario's own seed if absent.
    pub seed: Option<u64>,
    /// The builds of the program that nodes run.
    pub programs: Programs,
    /// The directory for logs and histories; if absent, none are kept.
    pub out: Option<PathBuf>,
    /// Whether progress is printed on standard error.
    pub progress: bool,
}

/// Plays a scenario to its end and returns the recorded history.
///
/// # Errors
///
/// If the program cannot be started, a node is not ready in time, or a signal interrupts the play.
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
    // The tasks hold references to the nodes; dropping them drops the nodes, which kills their processes.
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
        node.copy_state();
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

/// Sets up the links among the nodes, starts the nodes and waits until they are ready.
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
    testbed.wait_until_ready().await
}

/// Starts the tasks that run until the end of the play.
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

/// Sends each request at its scheduled time.
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

/// Ends all node processes. Faults that are still pending are not injected.
fn stop(testbed: &Testbed) {
    testbed.context.remove_listener();
    testbed.pending_injections.borrow_mut().clear();
    for node in &testbed.nodes {
        node.end(Ending::PlayEnded);
    }
}
