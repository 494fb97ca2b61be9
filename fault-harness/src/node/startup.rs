//! The start of a node's process: its configuration files, its command line, and the reader of its log.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::PathBuf;
use std::process::Command;
use std::rc::Rc;

use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::{Node, StartError};
use crate::process::Program;
use crate::program_log::LogLine;
use crate::settings;

/// Maximum number of log lines queued for the harness; a process that logs faster blocks on standard error.
const LOG_QUEUE: usize = 1024;
/// The environment variable that shifts the system clock as the program sees it, as AT:BY in milliseconds.
const CLOCK_VARIABLE: &str = "OAKWIND_REHEARSED_CLOCK";
/// Environment variables that are removed, because they would let the program use files or a clock from
/// outside the play.
const REMOVED_VARIABLES: [&str; 3] = ["TMPDIR", "BALANCER_CONFIG", CLOCK_VARIABLE];
/// Distance between the node seeds of two plays with consecutive seeds; above the number of nodes, so that
/// they never overlap.
const SEEDS_PER_PLAY: u64 = 1000;
/// Shift of the start time within a node's seed, so that a restarted node gets a different seed.
const START_TIME_SHIFT: u32 = 32;

impl Node {
    /// Starts the process for the first time, once its simulated services listen.
    ///
    /// # Errors
    ///
    /// If the program cannot be started.
    pub async fn begin(self: &Rc<Self>) -> Result<(), StartError> {
        while self.service_addresses.get().is_none() {
            tokio::task::yield_now().await;
        }
        self.start()
    }

    pub(super) fn start(self: &Rc<Self>) -> Result<(), StartError> {
        let (sender, log) = mpsc::channel::<String>(LOG_QUEUE);
        let mut command = self.command()?;
        // Sending fails once the play is over and the receiver is dropped.
        let program = Program::start(&mut command, move |line| drop(sender.blocking_send(line)))
            .map_err(|source| StartError::Program { path: command.get_program().into(), source })?;
        *self.program.borrow_mut() = Some(program);
        self.ending.set(None);
        self.has_logged.set(false);
        spawn_local(self.clone().read_log(log));
        Ok(())
    }

    /// Writes the configuration files and returns the command that starts the process.
    fn command(&self) -> Result<Command, StartError> {
        let addresses = self.service_addresses.get().ok_or(StartError::NoListeners)?;
        let build = self.programs.named(self.build.borrow().as_deref())?;
        let scenario = &self.context.scenario;
        let config = settings::config(scenario, &self.name(), self.seed(), &addresses);
        let mut command = Command::new(&build.path);
        command.arg("serve").arg("--config").arg(self.write_file("config.json", &config)?);
        command.args(build.arguments);
        if scenario.fleet.folder {
            let config = settings::result_store(&self.state_folders.results());
            command.arg("--remembered").arg(self.write_file("remembered.toml", &config)?);
        }
        if let Some(config) = &*self.router_config.borrow() {
            command.arg("--uwsgi").arg(self.write_file("uwsgi.toml", config)?);
        }
        if self.peer_addresses.borrow().is_some() {
            command.arg("--fleet").arg(self.write_fleet_config()?);
        }
        for variable in REMOVED_VARIABLES {
            command.env_remove(variable);
        }
        if let Some(clock) = &*self.clock.borrow() {
            command.env(CLOCK_VARIABLE, clock);
        }
        Ok(command)
    }

    /// The seed of the program's random numbers, which is different at each start.
    fn seed(&self) -> u64 {
        let of_node = self.context.seed.wrapping_mul(SEEDS_PER_PLAY).wrapping_add(self.index as u64);
        of_node ^ ((self.context.now() as u64) << START_TIME_SHIFT)
    }

    /// Writes `fleet.toml` with the current membership configuration.
    pub(super) fn write_fleet_config(&self) -> Result<PathBuf, StartError> {
        let peer_addresses = self.peer_addresses.borrow();
        let Some(addresses) = &*peer_addresses else { return Ok(self.folder.join("fleet.toml")) };
        let membership = self.membership.borrow();
        let votes = self.state_folders.votes();
        let version = membership.version;
        let nodes = &membership.nodes;
        let config = settings::fleet(&self.context.scenario, self.index, addresses, &votes, version, nodes);
        self.write_file("fleet.toml", &config)
    }

    /// Writes a file in the node's directory and returns its path.
    fn write_file(&self, name: &str, text: &str) -> Result<PathBuf, StartError> {
        let path = self.folder.join(name);
        std::fs::write(&path, text).map_err(StartError::file(&path))?;
        Ok(path)
    }

    /// Handles each log line, and writes it to the log file if logs are kept, until the process ends.
    async fn read_log(self: Rc<Self>, mut log: mpsc::Receiver<String>) {
        let mut file = self.log_enabled.then(|| self.open_log());
        while let Some(line) = log.recv().await {
            self.has_logged.set(true);
            if let Some(Ok(file)) = &mut file {
                // The play continues if the log cannot be written.
                let _ = writeln!(file, "{line}");
            }
            self.on_log_line(LogLine::parse(&line));
        }
        // Standard error is closed when the process ends.
        self.on_exit();
    }

    fn open_log(&self) -> io::Result<File> {
        OpenOptions::new().create(true).append(true).open(self.folder.join("log"))
    }
}
