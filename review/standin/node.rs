//! A process of the node, started with the command of the deploy file.

use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::record::Record;

/// The settings of a small deployment: the classes of `dispatch-sk`, in its last tier, which makes no calls.
const SETTINGS: &str = r#"{
  "services": [
    {"name": "quote", "slo": 1400000, "deadline": 3600000, "effect": "repeatable", "window": 5000000, "worth": 1.0},
    {"name": "book", "slo": 2300000, "deadline": 5700000, "effect": "by_key", "window": 16989000, "worth": 2.0,
     "lateWorth": 0.2}],
  "specifics": {"callers": 3, "classCalls": [false, false], "classSkipWorth": [0.0, 0.0], "cores": 6, "dependsOn": "off",
     "entryKb": 28.8, "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"], "idle": 30000000, "memoryKb": 23946.0,
     "passesDeadline": true, "preemption": "pause", "runFactor": 8.0, "signal": "off", "tellsGone": true},
  "safety": {"answerSlack": 100000, "coldShare": 0.22, "drainGrace": 2000000, "fallMultiple": 8.0, "overloadFor": 2000000,
     "warmAfter": 17000000},
  "limits": {"maxRetryAfter": 1000000, "retryAfter": true},
  "tenants": [{"name": "rychla-kolesa", "fraction": 0.24, "quotaPerS": 46.0}],
  "servers": 10, "tick": 4000}"#;

/// What a process is started with.
pub struct Start<'a> {
    /// Its name in the record.
    pub name: &'static str,
    pub listen: SocketAddr,
    pub ops: SocketAddr,
    pub vm: SocketAddr,
    /// How long after SIGTERM the platform stops it, in milliseconds.
    pub stop_ms: u64,
    /// Further options of `serve`.
    pub options: &'a str,
    /// The folder of the case; its folder `tmp` is the node's `TMPDIR`.
    pub folder: &'a Path,
}

/// A process of the node. It is killed when this is dropped.
pub struct Node {
    name: &'static str,
    child: Child,
    record: Arc<Record>,
    pub ops: SocketAddr,
}

impl Node {
    pub fn start(start: &Start, record: &Arc<Record>) -> io::Result<Node> {
        let Start { name, listen, ops, vm, stop_ms, options, folder } = start;
        let config = folder.join(format!("{name}.json"));
        fs::write(
            &config,
            format!(
                r#"{{"name": "n1", "listen": "{listen}", "ops": "{ops}", "vm": "{vm}", "seed": "8c1f30d27a5be9{:02x}",
                    "stop_ms": {stop_ms}, "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 1024}},
                    "settings": {SETTINGS}}}"#,
                name.len()
            ),
        )?;
        let run = std::env::var("RUN").map_err(io::Error::other)?;
        let mut child = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("{run} {options}"))
            .env("BALANCER_NAME", "n1")
            .env("BALANCER_LISTEN", listen.to_string())
            .env("BALANCER_OPS", ops.to_string())
            .env("BALANCER_CONFIG", &config)
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        // The script ends what is still running if this program is ended.
        writeln!(fs::File::options().create(true).append(true).open(folder.join("pids"))?, "{}", child.id())?;
        record.line(&format!("{name}: started"));
        let (name, log, lines) = (*name, child.stderr.take(), record.clone());
        thread::spawn(move || {
            for line in log.into_iter().flat_map(|log| BufReader::new(log).lines()).map_while(Result::ok) {
                lines.line(&format!("{name}: log: {line}"));
            }
        });
        Ok(Node { name, child, record: record.clone(), ops: *ops })
    }

    /// Sends a signal: TERM, STOP or CONT.
    pub fn signal(&self, signal: &str) -> io::Result<()> {
        self.record.line(&format!("{}: SIG{signal}", self.name));
        let status =
            Command::new("/bin/sh").arg("-c").arg(format!("kill -{signal} {}", self.child.id())).status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other("the signal was not sent"))
        }
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits until the process has ended; false if it still runs then.
    pub fn wait_for_end(&mut self, limit: Duration) -> bool {
        let ended = wait_for(limit, || self.has_ended());
        self.record.line(&format!("{}: {}", self.name, if ended { "has ended" } else { "still runs" }));
        ended
    }

    /// Asks the operators' address whether this process can serve.
    pub fn is_ready(&self) -> bool {
        let Ok(mut call) = TcpStream::connect_timeout(&self.ops, Duration::from_secs(1)) else {
            return false;
        };
        let _ = call.set_read_timeout(Some(Duration::from_secs(1)));
        let mut answer = Vec::new();
        call.write_all(b"GET /ops/readiness HTTP/1.1\r\nHost: n1\r\n\r\n").is_ok()
            && call.read_to_end(&mut answer).is_ok()
            && answer.starts_with(b"HTTP/1.1 200 ")
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An address on which nothing listens.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Asks every 20 ms until the answer is yes; false if it is not within the limit.
pub fn wait_for(limit: Duration, mut is_so: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    loop {
        if is_so() {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// Waits until health checks are answered as good.
pub fn wait_until_up(listen: SocketAddr) -> bool {
    wait_for(Duration::from_secs(10), || Client::connect(listen).is_ok_and(|mut client| client.is_up()))
}
