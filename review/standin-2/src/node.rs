//! A node under test: a process that the deploy file's command starts, from the root of the repository.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use crate::record::Record;
use crate::{ops, wait_until};

/// What a node is started with.
pub struct Start<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub ops: SocketAddr,
    pub config: &'a Path,
    /// `$TMPDIR` of the node.
    pub tmpdir: &'a Path,
    /// The file that takes its log.
    pub log: PathBuf,
    /// Options after the command of the deploy file, such as `--fleet FILE`.
    pub options: &'a str,
}

/// A started node. It is killed when this is dropped.
pub struct Node {
    child: Child,
    name: String,
    ops: SocketAddr,
    record: Record,
    ended: Option<ExitStatus>,
}

impl Node {
    /// Starts a node by the command `run` of `deploy/balancer.toml`.
    pub fn start(start: &Start, record: &Record) -> Result<Node, String> {
        let command = format!("{} {}", run_command()?, start.options);
        let log = File::create(&start.log).map_err(|error| format!("log of {}: {error}", start.name))?;
        let output = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new("sh")
            .args(["-c", command.trim()])
            .env("BALANCER_NAME", start.name)
            .env("BALANCER_LISTEN", start.listen.to_string())
            .env("BALANCER_OPS", start.ops.to_string())
            .env("BALANCER_CONFIG", start.config)
            .env("TMPDIR", start.tmpdir)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{} not started: {error}", start.name))?;
        record.line(&format!("node {} started pid={}", start.name, child.id()));
        let (name, record) = (start.name.to_string(), record.clone());
        Ok(Node { child, name, ops: start.ops, record, ended: None })
    }

    /// Waits until the node says at its operators' address that it can serve.
    pub fn wait_ready(&mut self, ms: u64) -> Result<(), String> {
        let ops = self.ops;
        if wait_until(ms, || ops::call(ops, "GET", "/ops/readiness").is_some_and(|answer| answer.is_yes())) {
            self.record.line(&format!("node {} ready", self.name));
            return Ok(());
        }
        let ended = self.ended();
        Err(format!("node {} not ready within {ms} ms, ended={ended:?}", self.name))
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, signal: &str) {
        self.record.line(&format!("node {}: SIG{signal}", self.name));
        let pid = self.child.id().to_string();
        let command = format!("kill -{signal} {pid}");
        let sent = Command::new("sh").args(["-c", &command]).stderr(Stdio::null()).status();
        if !sent.is_ok_and(|status| status.success()) {
            self.record.line(&format!("node {}: SIG{signal} not sent", self.name));
        }
    }

    /// The exit status; none while the process runs.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        if self.ended.is_none() {
            self.ended = self.child.try_wait().ok().flatten();
        }
        self.ended
    }

    /// Kills the process, as the platform does at the end of a drain.
    pub fn kill(&mut self) {
        if self.ended().is_none() {
            self.record.line(&format!("node {}: SIGKILL", self.name));
            let _ = self.child.kill();
            self.ended = self.child.wait().ok();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // A stopped process takes SIGKILL too.
        self.kill();
    }
}

/// The command `run` of the deploy file; the current folder is the root.
fn run_command() -> Result<String, String> {
    let deploy =
        std::fs::read_to_string("deploy/balancer.toml").map_err(|error| format!("deploy file: {error}"))?;
    let line =
        deploy.lines().find_map(|line| line.strip_prefix("run = \"")).ok_or("no run in the deploy file")?;
    Ok(line.trim_end().trim_end_matches('"').to_string())
}
