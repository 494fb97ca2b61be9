//! Measures what it costs that nodes talk: starts three of the real program with stand-in interpreters that end every run
//! at once, and prints tables, off and on in turns. Not part of the tests; [`docs/replication.md`](../docs/replication.md)
//! keeps a result.
//!
//!     cargo build --release && cargo run --release --example replicated -- [OTHER_BUILD]
//!
//! With another build's program, that one is measured with replication off in the same turns.

#[path = "common/mod.rs"]
mod common;

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

use common::{ask, interpret};
use oakwind_fault_harness::process::Program;

/// Turns, and requests of one measurement by how many are open at a time. Many come first: what is let in follows what was
/// done of late, so a burst after a trickle is turned away in part.
const TURNS: usize = 3;
const COUNTS: [(usize, usize); 2] = [(32, 12_000), (1, 1_500)];
/// Keys that a node which lost its state has to learn.
const KEYS: usize = 40_000;

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

struct Node {
    program: Program,
    log: Receiver<String>,
    json: SocketAddr,
    ops: SocketAddr,
}

struct Fleet {
    program: PathBuf,
    folder: PathBuf,
    ports: Vec<u16>,
    window_s: u64,
    on: bool,
}

impl Fleet {
    fn new(program: &Path, window_s: u64, on: bool) -> io::Result<Fleet> {
        let folder = std::env::temp_dir().join(format!("oakwind-replicated-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let held = (0..3).map(|_| TcpListener::bind("127.0.9.1:0")).collect::<io::Result<Vec<_>>>()?;
        let ports = held.iter().map(|held| Ok(held.local_addr()?.port())).collect::<io::Result<_>>()?;
        Ok(Fleet { program: program.into(), folder, ports, window_s, on })
    }

    fn start(&self, n: usize) -> io::Result<Node> {
        let vm = TcpListener::bind("127.0.0.1:0")?;
        let (config, fleet) = (self.folder.join(format!("{n}.json")), self.folder.join(format!("{n}.toml")));
        let text = format!(
            r#"{{"name": "n{n}", "listen": "127.0.0.1:0", "ops": "127.0.0.1:0", "seed": "1", "stop_ms": 9000, "vm": "{}",
                "limits": {{"memory_mb": 1024, "sockets": 1024}}, "settings": {}}}"#,
            vm.local_addr()?,
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
        if self.on {
            command.arg("--fleet").arg(&fleet);
        }
        let (say, log) = channel();
        let program = Program::start(&mut command, move |line| drop(say.send(line)))?;
        let mut node =
            Node { program, log, json: ([127, 0, 0, 1], 0).into(), ops: ([127, 0, 0, 1], 0).into() };
        node.ops = node.address("admin: listening: address=")?;
        node.json = node.address("frontend: listening: protocol=JSON-RPC address=")?;
        std::thread::spawn(move || interpret(&vm, "job 12345"));
        node.says("health is good")?;
        Ok(node)
    }

    fn all(&self) -> io::Result<Vec<Node>> {
        let mut nodes = (1..=3).map(|n| self.start(n)).collect::<io::Result<Vec<_>>>()?;
        for node in nodes.iter_mut().filter(|_| self.on) {
            node.says("fleet: replica table complete")?;
        }
        Ok(nodes)
    }
}

impl Node {
    fn says(&mut self, words: &str) -> io::Result<String> {
        loop {
            let line = self.log.recv().map_err(|_| io::ErrorKind::UnexpectedEof)?;
            if line.contains(words) {
                return Ok(line);
            }
        }
    }

    fn address(&mut self, words: &str) -> io::Result<SocketAddr> {
        let line = self.says(words)?;
        line.rsplit('=')
            .next()
            .and_then(|address| address.parse().ok())
            .ok_or(io::ErrorKind::InvalidData.into())
    }

    /// A figure that operators see.
    fn figure(&self, name: &str) -> io::Result<f64> {
        let mut stream = TcpStream::connect(self.ops)?;
        stream.write_all(b"GET /ops/stats HTTP/1.1\r\n\r\n")?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        let found = text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
        Ok(found.unwrap_or(0.0))
    }
}

/// All must have been served.
fn served((times, served): (Vec<(Instant, Duration)>, usize)) -> io::Result<Vec<(Instant, Duration)>> {
    match times.len() - served {
        0 => Ok(times),
        left => Err(io::Error::other(format!("{left} of {} were not served", times.len()))),
    }
}

fn part(times: &mut [f64], part: f64) -> f64 {
    times.sort_by(f64::total_cmp);
    times[((times.len() as f64 * part) as usize).min(times.len() - 1)]
}

fn median(mut values: Vec<f64>) -> f64 {
    part(&mut values, 0.5)
}

fn main() -> io::Result<()> {
    let own = std::env::current_exe()?.with_file_name("").join("../oakwind");
    let mut sides = vec![("off", own.clone(), false), ("on", own.clone(), true)];
    if let Some(other) = std::env::args().nth(1) {
        sides.insert(0, ("off, the build before", other.into(), false));
    }
    let mut fleets = Vec::new();
    for (name, program, on) in &sides {
        let fleet = Fleet::new(program, 10, *on)?;
        let nodes = fleet.all()?;
        fleets.push((*name, *on, fleet, nodes));
    }
    println!("| replication | class | open at a time | a second | median ms | 99 in 100 ms | cores' time a request, us, of all nodes | frames a request | bytes a request |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut first = 0;
    for class in ["quote", "book"] {
        for (open, count) in COUNTS {
            let mut seen: Vec<Vec<[f64; 6]>> = vec![Vec::new(); fleets.len()];
            for _ in 0..TURNS {
                for (side, (_, _, _, nodes)) in fleets.iter().enumerate() {
                    let cpu = || {
                        nodes.iter().filter_map(|n| n.program.usage()).map(|u| u.cpu_ms as f64).sum::<f64>()
                    };
                    let sum = |name| nodes.iter().map(|node| node.figure(name).unwrap_or(0.0)).sum::<f64>();
                    let (frames, bytes) = (sum("svc_fleet_frames_out"), sum("svc_fleet_bytes_out"));
                    let (before, began) = (cpu(), Instant::now());
                    let times = served(ask(nodes[0].json, class, open, count, first)?)?;
                    let took = began.elapsed().as_secs_f64();
                    let cpu = (cpu() - before) * 1e3 / count as f64;
                    // What is shown of a moment ago is whole by now.
                    std::thread::sleep(Duration::from_millis(120));
                    let frames = (sum("svc_fleet_frames_out") - frames) / count as f64;
                    let bytes = (sum("svc_fleet_bytes_out") - bytes) / count as f64;
                    let mut ms: Vec<f64> = times.iter().map(|(_, took)| took.as_secs_f64() * 1e3).collect();
                    let rate = count as f64 / took;
                    seen[side].push([rate, part(&mut ms, 0.5), part(&mut ms, 0.99), cpu, frames, bytes]);
                    first += count;
                }
            }
            for ((name, ..), seen) in fleets.iter().zip(seen) {
                let of = |i: usize| median(seen.iter().map(|row| row[i]).collect());
                let [rate, mid, high, cpu, frames, bytes] = [0, 1, 2, 3, 4, 5].map(of);
                println!("| {name} | {class} | {open} | {rate:.0} | {mid:.2} | {high:.2} | {cpu:.0} | {frames:.1} | {bytes:.0} |");
            }
        }
    }
    drop(fleets);
    catch_up(&own)
}

/// One of three loses its state and learns it again, while bookings go on at another.
fn catch_up(program: &Path) -> io::Result<()> {
    let fleet = Fleet::new(program, 40, true)?;
    let mut nodes = fleet.all()?;
    let each = KEYS / 2;
    let fillers: Vec<_> = (0..2)
        .map(|n| {
            let json = nodes[n].json;
            std::thread::spawn(move || served(ask(json, "book", 32, each, n * each)?))
        })
        .collect();
    for filler in fillers {
        filler.join().map_err(|_| io::ErrorKind::Other)??;
    }
    drop(nodes.pop());
    let json = nodes[0].json;
    let load = std::thread::spawn(move || served(ask(json, "book", 4, 30_000, KEYS)?));
    std::thread::sleep(Duration::from_millis(1500));
    let began = Instant::now();
    let mut third = fleet.start(3)?;
    let line = third.says("fleet: replica table complete")?;
    let ended = Instant::now();
    let times = load.join().map_err(|_| io::ErrorKind::Other)??;
    let of = |from: Instant, to: Instant| -> Vec<f64> {
        let within = times.iter().filter(|(asked, _)| *asked >= from && *asked < to);
        within.map(|(_, took)| took.as_secs_f64() * 1e3).collect()
    };
    let (mut before, mut during) = (of(began - Duration::from_millis(1200), began), of(began, ended));
    println!("\nCatch-up: {} ms from the start of the process; {line}", (ended - began).as_millis());
    println!(
        "A donor's bookings, 99 in 100: {:.2} ms in the {} before, {:.2} ms in the {} while it gave.",
        part(&mut before, 0.99),
        before.len(),
        part(&mut during, 0.99),
        during.len()
    );
    println!(
        "Records that donors gave: {} and {}.",
        nodes[0].figure("svc_fleet_given")?,
        nodes[1].figure("svc_fleet_given")?
    );
    std::fs::remove_dir_all(&fleet.folder)
}
