//! Measures the cost of replication: starts three nodes of the built program with stub interpreters that complete
//! every run immediately, and prints a table of measurements with replication off and on, in alternating rounds. It is
//! not part of the tests; [`docs/replication.md`](../docs/replication.md) records a result.
//!
//!     cargo build --release && cargo run --release --example replicated -- [OTHER_BUILD]
//!
//! If the path of another build of the program is given, that build is benchmarked in the same rounds, with
//! replication off.

#[path = "common/mod.rs"]
mod common;

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

use common::{run_stub_interpreter, send_requests, Answers, Sample, HEALTHY};
use oakwind_fault_harness::process::Program;

/// Number of repetitions of each measurement; the median is printed.
const ROUNDS: usize = 3;

/// Concurrency and number of requests of a measurement.
#[derive(Clone, Copy)]
struct Load {
    concurrency: usize,
    count: usize,
}

/// The loads of each round. The higher concurrency comes first because the admitted rate follows recent throughput:
/// after the low concurrency, part of the higher load would be rejected.
const LOADS: [Load; 2] = [Load { concurrency: 32, count: 12_000 }, Load { concurrency: 1, count: 1_500 }];
/// Number of idempotency keys that the state transfer sends to a node that restarts without state.
const TRANSFERRED_KEYS: usize = 40_000;

/// Settings of a node: an idempotent class and one with idempotency keys, and limits that the load does not reach.
fn settings(window_s: u64) -> String {
    let us = window_s * 1_000_000;
    format!(
        r#"{{"services": [{{"name": "quote", "slo": 1000000, "deadline": {us}, "effect": "repeatable"}},
        {{"name": "book", "slo": 1000000, "deadline": {us}, "effect": "by_key", "window": {us}, "worth": 2.0, "lateWorth": 0.2}}],
      "specifics": {{"cores": 64, "memoryKb": 100000000.0, "runFactor": 8.0, "entryKb": 1.0, "dependsOn": "off",
         "classCalls": [false, false], "classSkipWorth": [0.0, 0.0], "idle": 30000000, "passesDeadline": true,
         "preemption": "pause", "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"]}},
      "safety": {{"drainGrace": 200000, "fallMultiple": 8.0}}, "limits": {{"maxRetryAfter": 1000000, "retryAfter": true}},
      "tenants": [], "servers": 1, "tick": 4000}}"#
    )
}

/// A running node.
struct Node {
    program: Program,
    log: Receiver<String>,
    json_address: SocketAddr,
    admin_address: SocketAddr,
}

/// The configuration of three nodes on this machine.
struct Fleet {
    program: PathBuf,
    folder: PathBuf,
    ports: Vec<u16>,
    window_s: u64,
    replicates: bool,
}

impl Fleet {
    /// Chooses free ports for the nodes and creates their folder.
    fn new(program: &Path, window_s: u64, replicates: bool) -> io::Result<Fleet> {
        let folder = std::env::temp_dir().join(format!("oakwind-replicated-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let listeners = (0..3).map(|_| TcpListener::bind("127.0.9.1:0")).collect::<io::Result<Vec<_>>>()?;
        let ports =
            listeners.iter().map(|listener| Ok(listener.local_addr()?.port())).collect::<io::Result<_>>()?;
        Ok(Fleet { program: program.into(), folder, ports, window_s, replicates })
    }

    /// Starts node `n`, counted from 1, and waits until it reports that it is healthy.
    fn start(&self, n: usize) -> io::Result<Node> {
        let interpreter = TcpListener::bind("127.0.0.1:0")?;
        let config = self.folder.join(format!("{n}.json"));
        let fleet = self.folder.join(format!("{n}.toml"));
        let text = format!(
            r#"{{"name": "n{n}", "listen": "127.0.0.1:0", "ops": "127.0.0.1:0", "seed": "1", "stop_ms": 9000, "vm": "{}",
                "limits": {{"memory_mb": 1024, "sockets": 1024}}, "settings": {}}}"#,
            interpreter.local_addr()?,
            settings(self.window_s)
        );
        std::fs::write(&config, text)?;
        let member = |(i, port)| {
            format!("[[list.member]]\nname = 'n{i}'\naddress = '127.0.9.1:{port}'\nzone = 'z{i}'\n")
        };
        let members: String = (1..).zip(&self.ports).map(member).collect();
        let text = format!(
            "name = 'n{n}'\nlisten = '127.0.9.1:{}'\nmemory_mb = 256\n[list]\nnumber = 1\nwindow_ms = {}\n{members}",
            self.ports[n - 1],
            self.window_s * 1000 + 1000
        );
        std::fs::write(&fleet, text)?;
        let mut command = Command::new(&self.program);
        command.arg("serve").arg("--config").arg(&config).env_remove("TMPDIR");
        if self.replicates {
            command.arg("--fleet").arg(&fleet);
        }
        let (log_sender, log) = channel();
        let program = Program::start(&mut command, move |line| drop(log_sender.send(line)))?;
        let mut node = Node {
            program,
            log,
            json_address: ([127, 0, 0, 1], 0).into(),
            admin_address: ([127, 0, 0, 1], 0).into(),
        };
        node.admin_address = node.logged_address("admin: listening: address=")?;
        node.json_address = node.logged_address("frontend: listening: protocol=JSON-RPC address=")?;
        std::thread::spawn(move || run_stub_interpreter(&interpreter, "job 12345"));
        node.wait_for_line(&HEALTHY)?;
        Ok(node)
    }

    /// Starts all nodes and, with replication, waits until their replica tables are complete.
    fn start_all(&self) -> io::Result<Vec<Node>> {
        let mut nodes = (1..=3).map(|n| self.start(n)).collect::<io::Result<Vec<_>>>()?;
        for node in nodes.iter_mut().filter(|_| self.replicates) {
            node.wait_for_line(&["fleet: replica table complete"])?;
        }
        Ok(nodes)
    }
}

impl Node {
    /// Waits for a log line that contains one of these texts, and returns it.
    fn wait_for_line(&mut self, texts: &[&str]) -> io::Result<String> {
        loop {
            let line = self.log.recv().map_err(|_| io::ErrorKind::UnexpectedEof)?;
            if texts.iter().any(|text| line.contains(text)) {
                return Ok(line);
            }
        }
    }

    /// Waits for a log line that contains `text`, and returns the address at its end.
    fn logged_address(&mut self, text: &str) -> io::Result<SocketAddr> {
        let line = self.wait_for_line(&[text])?;
        line.rsplit('=')
            .next()
            .and_then(|address| address.parse().ok())
            .ok_or(io::ErrorKind::InvalidData.into())
    }

    /// Reads a metric from the admin interface; 0 if it is not reported.
    fn metric(&self, name: &str) -> io::Result<f64> {
        let mut stream = TcpStream::connect(self.admin_address)?;
        stream.write_all(b"GET /ops/stats HTTP/1.1\r\n\r\n")?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        let found = text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
        Ok(found.unwrap_or(0.0))
    }
}

/// Returns the samples, or an error if a request was not served.
fn require_all_served(answers: Answers) -> io::Result<Vec<Sample>> {
    let Answers { samples, served } = answers;
    match samples.len() - served {
        0 => Ok(samples),
        unserved => {
            Err(io::Error::other(format!("{unserved} of {} requests were not served", samples.len())))
        }
    }
}

/// The value below which the given fraction of the values lies. Sorts the values.
fn percentile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    values[((values.len() as f64 * fraction) as usize).min(values.len() - 1)]
}

fn median(mut values: Vec<f64>) -> f64 {
    percentile(&mut values, 0.5)
}

/// A build of the program, with replication on or off.
struct Variant {
    name: &'static str,
    program: PathBuf,
    replicates: bool,
}

/// A variant with its running nodes.
struct RunningVariant {
    name: &'static str,
    nodes: Vec<Node>,
    /// Kept as long as the nodes run with its ports and folder.
    _fleet: Fleet,
}

/// The figures of one round of a measurement.
struct Measurement {
    requests_per_second: f64,
    median_ms: f64,
    p99_ms: f64,
    cpu_us_per_request: f64,
    messages_per_request: f64,
    bytes_per_request: f64,
}

/// Totals of the messages that the nodes of a variant have sent to each other.
struct Traffic {
    messages: f64,
    bytes: f64,
}

impl RunningVariant {
    fn start(variant: Variant) -> io::Result<RunningVariant> {
        let fleet = Fleet::new(&variant.program, 10, variant.replicates)?;
        let nodes = fleet.start_all()?;
        Ok(RunningVariant { name: variant.name, nodes, _fleet: fleet })
    }

    /// Total CPU time used by all nodes so far, in milliseconds.
    fn cpu_ms(&self) -> f64 {
        let usages = self.nodes.iter().filter_map(|node| node.program.usage());
        usages.map(|usage| usage.cpu_ms as f64).sum()
    }

    fn traffic(&self) -> Traffic {
        let sum = |name| self.nodes.iter().map(|node| node.metric(name).unwrap_or(0.0)).sum();
        Traffic { messages: sum("svc_fleet_frames_out"), bytes: sum("svc_fleet_bytes_out") }
    }

    /// Measures requests of a class at the first node, with keys that count up from `first_key + 1`.
    fn measure(&self, class: &str, load: Load, first_key: usize) -> io::Result<Measurement> {
        let Load { concurrency, count } = load;
        let before = self.traffic();
        let cpu_before_ms = self.cpu_ms();
        let started_at = Instant::now();
        let answers = send_requests(self.nodes[0].json_address, class, concurrency, count, first_key)?;
        let samples = require_all_served(answers)?;
        let elapsed = started_at.elapsed().as_secs_f64();
        let cpu_ms = self.cpu_ms() - cpu_before_ms;
        // A node updates its metrics periodically; wait until they include all requests.
        std::thread::sleep(Duration::from_millis(120));
        let after = self.traffic();
        let mut latencies: Vec<f64> = samples.iter().map(latency_ms).collect();
        let per_request = |total: f64| total / count as f64;
        Ok(Measurement {
            requests_per_second: count as f64 / elapsed,
            median_ms: percentile(&mut latencies, 0.5),
            p99_ms: percentile(&mut latencies, 0.99),
            cpu_us_per_request: per_request(cpu_ms * 1e3),
            messages_per_request: per_request(after.messages - before.messages),
            bytes_per_request: per_request(after.bytes - before.bytes),
        })
    }
}

fn latency_ms(sample: &Sample) -> f64 {
    sample.latency().as_secs_f64() * 1e3
}

fn main() -> io::Result<()> {
    let built = std::env::current_exe()?.with_file_name("").join("../oakwind");
    let mut variants = vec![
        Variant { name: "off", program: built.clone(), replicates: false },
        Variant { name: "on", program: built.clone(), replicates: true },
    ];
    if let Some(other) = std::env::args().nth(1) {
        variants.insert(0, Variant { name: "off, other build", program: other.into(), replicates: false });
    }
    let variants = variants.into_iter().map(RunningVariant::start).collect::<io::Result<Vec<_>>>()?;
    println!("| replication | class | concurrent requests | requests/s | median ms | p99 ms | CPU us per request, all nodes | messages per request | bytes per request |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut first_key = 0;
    for class in ["quote", "book"] {
        for load in LOADS {
            measure_load(&variants, class, load, &mut first_key)?;
        }
    }
    drop(variants);
    measure_state_transfer(&built)
}

/// Measures a load with all variants in alternating rounds and prints a row for each variant. Advances `first_key`
/// past the keys used.
fn measure_load(
    variants: &[RunningVariant],
    class: &str,
    load: Load,
    first_key: &mut usize,
) -> io::Result<()> {
    let mut rounds: Vec<Vec<Measurement>> = variants.iter().map(|_| Vec::new()).collect();
    for _ in 0..ROUNDS {
        for (variant, measurements) in variants.iter().zip(&mut rounds) {
            measurements.push(variant.measure(class, load, *first_key)?);
            *first_key += load.count;
        }
    }
    for (variant, measurements) in variants.iter().zip(&rounds) {
        let median_of = |value: fn(&Measurement) -> f64| median(measurements.iter().map(value).collect());
        println!(
            "| {} | {class} | {} | {:.0} | {:.2} | {:.2} | {:.0} | {:.1} | {:.0} |",
            variant.name,
            load.concurrency,
            median_of(|measurement| measurement.requests_per_second),
            median_of(|measurement| measurement.median_ms),
            median_of(|measurement| measurement.p99_ms),
            median_of(|measurement| measurement.cpu_us_per_request),
            median_of(|measurement| measurement.messages_per_request),
            median_of(|measurement| measurement.bytes_per_request),
        );
    }
    Ok(())
}

/// Measures the state transfer to a node that restarts without state, while one of its donors serves keyed requests.
fn measure_state_transfer(program: &Path) -> io::Result<()> {
    let fleet = Fleet::new(program, 40, true)?;
    let mut nodes = fleet.start_all()?;
    let keys_per_node = TRANSFERRED_KEYS / 2;
    let writers: Vec<_> = (0..2)
        .map(|n| {
            let address = nodes[n].json_address;
            std::thread::spawn(move || {
                require_all_served(send_requests(address, "book", 32, keys_per_node, n * keys_per_node)?)
            })
        })
        .collect();
    for writer in writers {
        writer.join().map_err(|_| io::ErrorKind::Other)??;
    }
    drop(nodes.pop());
    let address = nodes[0].json_address;
    let load = std::thread::spawn(move || {
        require_all_served(send_requests(address, "book", 4, 30_000, TRANSFERRED_KEYS)?)
    });
    std::thread::sleep(Duration::from_millis(1500));
    let started_at = Instant::now();
    let mut recovering = fleet.start(3)?;
    let line = recovering.wait_for_line(&["fleet: replica table complete"])?;
    let complete_at = Instant::now();
    let samples = load.join().map_err(|_| io::ErrorKind::Other)??;
    let latencies_between = |from: Instant, to: Instant| -> Vec<f64> {
        let within = samples.iter().filter(|sample| sample.sent_at >= from && sample.sent_at < to);
        within.map(latency_ms).collect()
    };
    let mut before = latencies_between(started_at - Duration::from_millis(1200), started_at);
    let mut during = latencies_between(started_at, complete_at);
    println!(
        "\nState transfer: complete {} ms after the start of the process; {line}",
        (complete_at - started_at).as_millis()
    );
    println!(
        "p99 of keyed requests at a donor: {:.2} ms over {} before the transfer, {:.2} ms over {} during it.",
        percentile(&mut before, 0.99),
        before.len(),
        percentile(&mut during, 0.99),
        during.len()
    );
    println!(
        "Records sent by the donors: {} and {}.",
        nodes[0].metric("svc_fleet_given")?,
        nodes[1].metric("svc_fleet_given")?
    );
    std::fs::remove_dir_all(&fleet.folder)
}
