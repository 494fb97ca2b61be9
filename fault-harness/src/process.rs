//! A child process: its log lines, signals by process id, and resource usage. The process is killed when its
//! [`Program`] is dropped, so that none outlives the harness after an error.

use std::io::{self, BufRead, BufReader};
use std::process::{Child, Command, ExitStatus, Stdio};

pub use rustix::process::Signal;
use rustix::process::{kill_process, Pid};

/// Clock ticks per second, the unit of the CPU times in `/proc` (`USER_HZ` on Linux).
const TICKS_PER_SECOND: u64 = 100;
const MS_PER_SECOND: u64 = 1000;
/// The number of fields of `/proc/PID/stat` between the program's name and its CPU times.
const STAT_FIELDS_BEFORE_TIMES: usize = 11;
/// The number of CPU times that are added up: user mode and kernel mode.
const STAT_TIMES: usize = 2;

/// A child process. Dropping this kills the process and waits for its end.
#[derive(Debug)]
pub struct Program {
    child: Child,
}

/// The resource usage of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Resident memory, in KB.
    pub memory_kb: u64,
    /// Largest resident memory since the start of the process, in KB.
    pub peak_memory_kb: u64,
    /// Number of open file descriptors.
    pub descriptors: u64,
    /// CPU time since the start of the process, in milliseconds.
    pub cpu_ms: u64,
}

impl Program {
    /// Starts the process. A thread passes each line of its standard error to `on_line` until the stream is
    /// closed.
    ///
    /// # Errors
    ///
    /// If the process cannot be started.
    pub fn start(
        command: &mut Command,
        mut on_line: impl FnMut(String) + Send + 'static,
    ) -> io::Result<Program> {
        let mut child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn()?;
        let log = child.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?;
        std::thread::spawn(move || BufReader::new(log).lines().map_while(Result::ok).for_each(&mut on_line));
        Ok(Program { child })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// If the process has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid =
            i32::try_from(self.child.id()).ok().and_then(Pid::from_raw).ok_or(io::ErrorKind::InvalidInput)?;
        Ok(kill_process(pid, signal)?)
    }

    /// The exit status, if the process has ended.
    ///
    /// # Errors
    ///
    /// If the system does not give its status.
    pub fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Waits until the process ends.
    ///
    /// # Errors
    ///
    /// If the system does not give its status.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }

    /// The current resource usage; none once the process has ended.
    pub fn usage(&self) -> Option<Usage> {
        let folder = format!("/proc/{}", self.child.id());
        let status = std::fs::read_to_string(format!("{folder}/status")).ok()?;
        let memory_kb = status_kb(&status, "VmRSS:")?;
        let peak_memory_kb = status_kb(&status, "VmHWM:")?;
        let descriptors = std::fs::read_dir(format!("{folder}/fd")).ok()?.count() as u64;
        let stat = std::fs::read_to_string(format!("{folder}/stat")).ok()?;
        // The program's name may contain any character, but no closing bracket follows the one that ends it.
        let times = stat.rsplit(") ").next()?.split(' ').skip(STAT_FIELDS_BEFORE_TIMES).take(STAT_TIMES);
        let ticks: u64 = times.filter_map(|ticks| ticks.parse::<u64>().ok()).sum();
        Some(Usage {
            memory_kb,
            peak_memory_kb,
            descriptors,
            cpu_ms: ticks * MS_PER_SECOND / TICKS_PER_SECOND,
        })
    }
}

/// The value of a field of `/proc/PID/status` that is in KB.
fn status_kb(status: &str, field: &str) -> Option<u64> {
    let value = status.lines().find_map(|line| line.strip_prefix(field))?;
    value.split_whitespace().next()?.parse().ok()
}

impl std::ops::Drop for Program {
    fn drop(&mut self) {
        // Killing fails if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
