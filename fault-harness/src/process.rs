//! A program as a process: its log line by line, signals by its id, what it takes, and its end whatever happens.

use std::io::{self, BufRead, BufReader};
use std::process::{Child, Command, ExitStatus, Stdio};

pub use rustix::process::Signal;
use rustix::process::{kill_process, Pid};

/// Ticks of the kernel's clock a second, in which it counts time of the cores.
const TICKS: u64 = 100;

/// A program that was started. It is killed and waited for when this is dropped.
#[derive(Debug)]
pub struct Program {
    child: Child,
}

/// What a program takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Memory that is resident, in KB.
    pub rss_kb: u64,
    /// Descriptors.
    pub files: u64,
    /// Time of the cores since its start, in milliseconds.
    pub cpu_ms: u64,
}

impl Program {
    /// Starts it. Its lines on standard error go to `said`, on a thread that ends with them.
    ///
    /// # Errors
    ///
    /// Where it can't be started.
    pub fn start(
        command: &mut Command,
        mut said: impl FnMut(String) + Send + 'static,
    ) -> io::Result<Program> {
        let mut child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn()?;
        let log = child.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?;
        std::thread::spawn(move || BufReader::new(log).lines().map_while(Result::ok).for_each(&mut said));
        Ok(Program { child })
    }

    /// Its id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal.
    ///
    /// # Errors
    ///
    /// Where it has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid =
            i32::try_from(self.child.id()).ok().and_then(Pid::from_raw).ok_or(io::ErrorKind::InvalidInput)?;
        Ok(kill_process(pid, signal)?)
    }

    /// Its status, if it has ended.
    ///
    /// # Errors
    ///
    /// Where the system does not tell.
    pub fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Waits for its end.
    ///
    /// # Errors
    ///
    /// Where the system does not tell.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }

    /// What it takes now; nothing once it has ended.
    pub fn usage(&self) -> Option<Usage> {
        let folder = format!("/proc/{}", self.child.id());
        let status = std::fs::read_to_string(format!("{folder}/status")).ok()?;
        let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let rss_kb = rss.split_whitespace().next()?.parse().ok()?;
        let files = std::fs::read_dir(format!("{folder}/fd")).ok()?.count() as u64;
        let stat = std::fs::read_to_string(format!("{folder}/stat")).ok()?;
        // The name before may hold anything, but no closing bracket comes after it.
        let times = stat.rsplit(") ").next()?.split(' ').skip(11).take(2);
        let ticks: u64 = times.filter_map(|ticks| ticks.parse::<u64>().ok()).sum();
        Some(Usage { rss_kb, files, cpu_ms: ticks * 1000 / TICKS })
    }
}

impl std::ops::Drop for Program {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
