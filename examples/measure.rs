//! Measures the cost of the result store or of the decision log: starts the built program with a stub interpreter,
//! sends requests to it, and prints a table. It is not part of the tests;
//! [`docs/remembered.md`](../docs/remembered.md) and [`docs/audit.md`](../docs/audit.md) record results.
//!
//!     cargo build --release && cargo run --release --example measure -- FOLDER [records]
//!
//! FOLDER must be on the disk to be benchmarked; it is created, and removed at the end. With `records`, the decision
//! log is benchmarked instead of the result store.

#[path = "common/mod.rs"]
mod common;

use std::io::{self, BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use common::{Answers, Sample};

/// Settings of the node: one class with idempotency keys, and limits that the load does not reach.
const SETTINGS: &str = r#"{"services": [{"name": "book", "slo": 60000000, "deadline": 120000000, "effect": "by_key",
    "window": 600000000, "worth": 2.0, "lateWorth": 0.2}],
  "specifics": {"cores": 64, "memoryKb": 100000000.0, "runFactor": 8.0, "entryKb": 1.0, "dependsOn": "off",
     "classCalls": [false], "classSkipWorth": [0.0], "idle": 30000000, "passesDeadline": true, "preemption": "pause",
     "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"]},
  "safety": {"drainGrace": 200000, "fallMultiple": 8.0}, "limits": {"maxRetryAfter": 1000000, "retryAfter": true},
  "tenants": [], "servers": 1, "tick": 4000}"#;

/// Concurrency and number of requests of each measurement.
const LOADS: [(usize, usize); 2] = [(1, 2_000), (32, 20_000)];
/// Numbers of stored keys for which the startup time is printed.
const STORED_KEYS: [usize; 3] = [1_000, 10_000, 40_000];
/// Number of repetitions of the comparison with and without the decision log.
const ROUNDS: usize = 3;
/// Maximum size of a result that clients accept, in bytes.
const MAX_RESULT_BYTES: usize = 4 * 1024;

fn main() -> io::Result<()> {
    let Some(folder) = std::env::args().nth(1).map(PathBuf::from) else {
        eprintln!("usage: measure FOLDER [records]");
        std::process::exit(2)
    };
    std::fs::create_dir_all(&folder)?;
    let folder = folder.canonicalize()?;
    if std::env::args().nth(2).is_some_and(|what| what == "records") {
        let variants = [("off", Durability::None), ("on", Durability::DecisionLog)];
        (0..ROUNDS).try_for_each(|_| measure_variants("decision log", &variants, &folder))?;
        return std::fs::remove_dir(&folder);
    }
    let variants = [
        ("off", Durability::None),
        ("on, one flush per record", Durability::ResultStore(1)),
        ("on, shared flushes", Durability::ResultStore(1024)),
    ];
    measure_variants("result store", &variants, &folder)?;
    println!("\n| stored keys | bytes on disk | ms from start to listening |\n| --- | --- | --- |");
    for count in STORED_KEYS {
        let mut node = Node::start(&folder, Durability::ResultStore(1024), 0)?;
        node.send_keyed_requests(32, count)?;
        drop(node);
        let bytes = folder_size(&folder)?;
        let node = Node::start(&folder, Durability::ResultStore(1024), 0)?;
        println!("| {count} | {bytes} | {:.0} |", node.startup.as_secs_f64() * 1e3);
        node.stop(&folder)?;
    }
    let mut node = Node::start(&folder, Durability::ResultStore(1024), MAX_RESULT_BYTES)?;
    let initial_peak = node.peak_memory_kb()?;
    let served = node.send_keyed_requests(32, 50_000)?.served;
    println!("\nAt the memory limit (192 MB for the process) {served} results of {MAX_RESULT_BYTES} bytes are kept and all more are");
    println!(
        "rejected; the process peaked at {} MB, from {} MB at its start.",
        node.peak_memory_kb()? / 1024,
        initial_peak / 1024
    );
    node.stop(&folder)?;
    std::fs::remove_dir(&folder)
}

/// The data that the program stores in the folder.
#[derive(Clone, Copy)]
enum Durability {
    None,
    /// Idempotency keys and results, with at most this number of records per flush to the disk.
    ResultStore(usize),
    /// Decision records.
    DecisionLog,
}

/// Measures keyed requests with each variant at each load, and prints a table.
fn measure_variants(component: &str, variants: &[(&str, Durability)], folder: &Path) -> io::Result<()> {
    println!("| {component} | concurrent requests | requests/s | median ms | p99 ms | CPU us per request |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for (name, durability) in variants {
        for (concurrency, count) in LOADS {
            let mut node = Node::start(folder, *durability, 0)?;
            let cpu_before = node.cpu_seconds()?;
            let started_at = Instant::now();
            let samples = node.send_keyed_requests(concurrency, count)?.samples;
            let mut latencies: Vec<Duration> = samples.iter().map(Sample::latency).collect();
            let elapsed = started_at.elapsed().as_secs_f64();
            let cpu = node.cpu_seconds()? - cpu_before;
            latencies.sort();
            let percentile =
                |fraction: f64| latencies[(latencies.len() as f64 * fraction) as usize].as_secs_f64() * 1e3;
            let rate = count as f64 / elapsed;
            let cpu_us = cpu * 1e6 / count as f64;
            println!(
                "| {name} | {concurrency} | {rate:.0} | {:.2} | {:.2} | {cpu_us:.0} |",
                percentile(0.5),
                percentile(0.99)
            );
            node.stop(folder)?;
        }
    }
    Ok(())
}

/// Total size of the files in a folder, in bytes.
fn folder_size(folder: &Path) -> io::Result<u64> {
    std::fs::read_dir(folder)?.map(|entry| Ok(entry?.metadata()?.len())).sum()
}

/// A running node.
struct Node {
    child: Child,
    json_address: SocketAddr,
    /// Time from the start of the process until its JSON-RPC frontend listened.
    startup: Duration,
}

impl Node {
    fn start(folder: &Path, durability: Durability, result_bytes: usize) -> io::Result<Node> {
        let interpreter = TcpListener::bind("127.0.0.1:0")?;
        let process = std::process::id();
        let config = std::env::temp_dir().join(format!("measure-{process}.json"));
        let durability_file = std::env::temp_dir().join(format!("measure-{process}.toml"));
        let address = interpreter.local_addr()?;
        let text = format!(
            r#"{{"name": "n1", "listen": "127.0.0.1:0", "seed": "1", "stop_ms": 9000, "vm": "{address}", "settings": {SETTINGS}}}"#
        );
        std::fs::write(&config, text)?;
        let program = std::env::current_exe()?.with_file_name("").join("../oakwind");
        let mut command = Command::new(program);
        command.arg("serve").arg("--config").arg(&config).env_remove("TMPDIR").stderr(Stdio::piped());
        let file = match durability {
            Durability::None => None,
            Durability::ResultStore(batch) => {
                Some(("--remembered", format!("batch = {batch}\nfile_mb = 128\n")))
            }
            Durability::DecisionLog => Some(("--records", String::new())),
        };
        if let Some((option, keys)) = file {
            std::fs::write(&durability_file, format!("folder = '{}'\n{keys}", folder.display()))?;
            command.arg(option).arg(&durability_file);
        }
        let started_at = Instant::now();
        let mut child = command.spawn()?;
        let mut log = BufReader::new(child.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?).lines();
        let mut wait_for_line = |texts: &[&str]| loop {
            let line = log.next().ok_or(io::ErrorKind::UnexpectedEof)??;
            if texts.iter().any(|text| line.contains(text)) {
                return Ok::<String, io::Error>(line);
            }
        };
        let line = wait_for_line(&["frontend: listening: protocol=JSON-RPC address="])?;
        let startup = started_at.elapsed();
        let json_address =
            line.rsplit('=').next().and_then(|word| word.parse().ok()).ok_or(io::ErrorKind::InvalidData)?;
        std::thread::spawn(move || common::run_stub_interpreter(&interpreter, &"r".repeat(result_bytes)));
        wait_for_line(&common::HEALTHY)?;
        std::thread::spawn(move || log.for_each(drop));
        [config, durability_file].iter().for_each(|file| drop(std::fs::remove_file(file)));
        Ok(Node { child, json_address, startup })
    }

    /// CPU time used by the process so far, in seconds.
    fn cpu_seconds(&self) -> io::Result<f64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let fields = stat.rsplit(") ").next().unwrap_or_default().split(' ').skip(11).take(2);
        Ok(fields.filter_map(|ticks| ticks.parse::<f64>().ok()).sum::<f64>() / 100.0)
    }

    /// Peak resident memory of the process, in KB.
    fn peak_memory_kb(&self) -> io::Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        Ok(line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or_default())
    }

    /// Sends `count` requests with idempotency keys, with at most `concurrency` of them outstanding.
    fn send_keyed_requests(&mut self, concurrency: usize, count: usize) -> io::Result<Answers> {
        common::send_requests(self.json_address, "book", concurrency, count, 0)
    }

    /// Kills the node and deletes all files in the folder.
    fn stop(self, folder: &Path) -> io::Result<()> {
        drop(self);
        for entry in std::fs::read_dir(folder)? {
            std::fs::remove_file(entry?.path())?;
        }
        Ok(())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // Errors are ignored because the process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
