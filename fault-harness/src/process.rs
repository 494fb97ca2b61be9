//! A program as a process: its log line by line, signals by its id, the resources that it takes. It ends with its value,
//! whatever happens.

use std::io::{self, BufRead, BufReader};
use std::process::{Child, Command, ExitStatus, Stdio};

pub use rustix::process::Signal;
use rustix::process::{kill_process, Pid};

/// Ticks of the kernel's clock per second, in which it counts CPU time.
const TICKS_PER_SECOND: u64 = 100;
/// Milliseconds in a second.
const MS_PER_SECOND: u64 = 1000;
/// The fields of `/proc/ID/stat` between the program's name and its CPU times.
const STAT_FIELDS_BEFORE_TIMES: usize = 11;
/// The CPU times that count: in user mode and in the kernel.
const STAT_TIMES: usize = 2;

/// A program that was started. It is killed and waited for when this is dropped.
#[derive(Debug)]
pub struct Program {
    child: Child,
}

/// The resources that a program takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Resident memory, in KB.
    pub memory_kb: u64,
    /// Open descriptors.
    pub descriptors: u64,
    /// CPU time since its start, in milliseconds.
    pub cpu_ms: u64,
}

impl Program {
    /// Starts it. Its lines on standard error go to `on_line`, on a thread that ends with them.
    ///
    /// # Errors
    ///
    /// If it can't be started.
    pub fn start(
        command: &mut Command,
        mut on_line: impl FnMut(String) + Send + 'static,
    ) -> io::Result<Program> {
        let mut child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn()?;
        let log = child.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?;
        std::thread::spawn(move || BufReader::new(log).lines().map_while(Result::ok).for_each(&mut on_line));
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
    /// If it has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid =
            i32::try_from(self.child.id()).ok().and_then(Pid::from_raw).ok_or(io::ErrorKind::InvalidInput)?;
        Ok(kill_process(pid, signal)?)
    }

    /// Its status, if it has ended.
    ///
    /// # Errors
    ///
    /// If the system does not give its status.
    pub fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Waits for its end.
    ///
    /// # Errors
    ///
    /// If the system does not give its status.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }

    /// The resources that it takes now; none once it has ended.
    pub fn usage(&self) -> Option<Usage> {
        let folder = format!("/proc/{}", self.child.id());
        let status = std::fs::read_to_string(format!("{folder}/status")).ok()?;
        let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let memory_kb = rss.split_whitespace().next()?.parse().ok()?;
        let descriptors = std::fs::read_dir(format!("{folder}/fd")).ok()?.count() as u64;
        let stat = std::fs::read_to_string(format!("{folder}/stat")).ok()?;
        // The name before may hold anything, but no closing bracket comes after it.
        let times = stat.rsplit(") ").next()?.split(' ').skip(STAT_FIELDS_BEFORE_TIMES).take(STAT_TIMES);
        let ticks: u64 = times.filter_map(|ticks| ticks.parse::<u64>().ok()).sum();
        Some(Usage { memory_kb, descriptors, cpu_ms: ticks * MS_PER_SECOND / TICKS_PER_SECOND })
    }
}

impl std::ops::Drop for Program {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
