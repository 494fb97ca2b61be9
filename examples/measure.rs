//! Measures what it costs to let keys outlast the process, or to keep records of what is decided: starts the real program
//! with a stand-in interpreter and a client of its own, and prints a table. Not part of the tests;
//! [`docs/remembered.md`](../docs/remembered.md) and [`docs/audit.md`](../docs/audit.md) keep results.
//!
//!     cargo build --release && cargo run --release --example measure -- FOLDER [records]
//!
//! FOLDER is made, on the disk that is to be measured, and removed.

#[path = "common/mod.rs"]
mod common;

use std::io::{self, BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const SETTINGS: &str = r#"{"services": [{"name": "book", "slo": 60000000, "deadline": 120000000, "effect": "by_key",
    "window": 600000000, "worth": 2.0, "lateWorth": 0.2}],
  "specifics": {"cores": 64, "memoryKb": 100000000.0, "runFactor": 8.0, "entryKb": 1.0, "dependsOn": "off",
     "classCalls": [false], "classSkipWorth": [0.0], "idle": 30000000, "passesDeadline": true, "preemption": "pause",
     "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"]},
  "safety": {"drainGrace": 200000, "fallMultiple": 8.0}, "limits": {"maxRetryAfter": 1000000, "retryAfter": true},
  "tenants": [], "servers": 1, "tick": 4000}"#;

/// Requests of one measurement, by how many are open at a time.
const COUNTS: [(usize, usize); 2] = [(1, 2_000), (32, 20_000)];
const ENTRIES: [usize; 3] = [1_000, 10_000, 40_000];
/// Turns of both sides, where two are compared.
const TURNS: usize = 3;
/// A result of the size that front ends take at the most.
const LARGE: usize = 4 * 1024;

fn main() -> io::Result<()> {
    let Some(folder) = std::env::args().nth(1).map(PathBuf::from) else {
        eprintln!("measure FOLDER");
        std::process::exit(2)
    };
    std::fs::create_dir_all(&folder)?;
    let folder = folder.canonicalize()?;
    if std::env::args().nth(2).is_some_and(|what| what == "records") {
        let sides = [("off", Keeps::Nothing), ("on", Keeps::Records)];
        (0..TURNS).try_for_each(|_| costs("records", &sides, &folder))?;
        return std::fs::remove_dir(&folder);
    }
    let sides = [
        ("off", Keeps::Nothing),
        ("on, each waits alone", Keeps::Keys(1)),
        ("on, waits are shared", Keeps::Keys(1024)),
    ];
    costs("keys outlast", &sides, &folder)?;
    println!("\n| keys in the folder | bytes of it | start to listening, ms |\n| --- | --- | --- |");
    for count in ENTRIES {
        let mut node = Node::start(&folder, Keeps::Keys(1024), 0)?;
        node.book(32, count)?;
        drop(node);
        let bytes = size(&folder)?;
        let node = Node::start(&folder, Keeps::Keys(1024), 0)?;
        println!("| {count} | {bytes} | {:.0} |", node.started.as_secs_f64() * 1e3);
        node.end(&folder)?;
    }
    let mut node = Node::start(&folder, Keeps::Keys(1024), LARGE)?;
    let begun = node.peak()?;
    let served = node.book(32, 50_000)?.1;
    println!("\nAt the bound of memory (192 MB for the process): {served} results of {LARGE} bytes are kept and all more");
    println!(
        "is turned away; the process peaked at {} MB, from {} MB at its start.",
        node.peak()? / 1024,
        begun / 1024
    );
    node.end(&folder)?;
    std::fs::remove_dir(&folder)
}

/// What the program keeps in the folder.
#[derive(Clone, Copy)]
enum Keeps {
    Nothing,
    /// Keys and results; so many records may share a wait for the disk.
    Keys(usize),
    /// Records of what it decides.
    Records,
}

/// What a booking costs on each side.
fn costs(what: &str, sides: &[(&str, Keeps)], folder: &Path) -> io::Result<()> {
    println!("| {what} | open at a time | a second | median ms | 99 of 100 ms | cores' time a request, us |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for (name, keeps) in sides {
        for (open, count) in COUNTS {
            let mut node = Node::start(folder, *keeps, 0)?;
            let (cpu, began) = (node.cpu()?, Instant::now());
            let mut times = node.book(open, count)?.0;
            let (took, cpu) = (began.elapsed().as_secs_f64(), node.cpu()? - cpu);
            times.sort();
            let at = |part: f64| times[(times.len() as f64 * part) as usize].as_secs_f64() * 1e3;
            let (rate, each) = (count as f64 / took, cpu * 1e6 / count as f64);
            println!("| {name} | {open} | {rate:.0} | {:.2} | {:.2} | {each:.0} |", at(0.5), at(0.99));
            node.end(folder)?;
        }
    }
    Ok(())
}

/// Bytes of all files in a folder.
fn size(folder: &Path) -> io::Result<u64> {
    std::fs::read_dir(folder)?.map(|entry| Ok(entry?.metadata()?.len())).sum()
}

/// The program at work.
struct Node {
    child: Child,
    json: SocketAddr,
    /// From its start until it listens.
    started: Duration,
}

impl Node {
    fn start(folder: &Path, keeps: Keeps, result: usize) -> io::Result<Node> {
        let vm = TcpListener::bind("127.0.0.1:0")?;
        let (own, number) = (std::env::temp_dir(), std::process::id());
        let (config, remembered) =
            (own.join(format!("measure-{number}.json")), own.join(format!("measure-{number}.toml")));
        let address = vm.local_addr()?;
        let text = format!(
            r#"{{"name": "n1", "listen": "127.0.0.1:0", "seed": "1", "stop_ms": 9000, "vm": "{address}", "settings": {SETTINGS}}}"#
        );
        std::fs::write(&config, text)?;
        let program = std::env::current_exe()?.with_file_name("").join("../oakwind");
        let mut command = Command::new(program);
        command.arg("serve").arg("--config").arg(&config).env_remove("TMPDIR").stderr(Stdio::piped());
        let file = match keeps {
            Keeps::Nothing => None,
            Keeps::Keys(batch) => Some(("--remembered", format!("batch = {batch}\nfile_mb = 128\n"))),
            Keeps::Records => Some(("--records", String::new())),
        };
        if let Some((option, more)) = file {
            std::fs::write(&remembered, format!("folder = '{}'\n{more}", folder.display()))?;
            command.arg(option).arg(&remembered);
        }
        let began = Instant::now();
        let mut child = command.spawn()?;
        let mut log = BufReader::new(child.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?).lines();
        let mut says = |words: &str| loop {
            let line = log.next().ok_or(io::ErrorKind::UnexpectedEof)??;
            if line.contains(words) {
                return Ok::<String, io::Error>(line);
            }
        };
        let line = says("frontend: listening: protocol=JSON-RPC address=")?;
        let started = began.elapsed();
        let json =
            line.rsplit('=').next().and_then(|word| word.parse().ok()).ok_or(io::ErrorKind::InvalidData)?;
        std::thread::spawn(move || common::interpret(&vm, &"r".repeat(result)));
        says("health is good")?;
        std::thread::spawn(move || log.for_each(drop));
        [config, remembered].iter().for_each(|file| drop(std::fs::remove_file(file)));
        Ok(Node { child, json, started })
    }

    /// Seconds of the cores that the program has taken.
    fn cpu(&self) -> io::Result<f64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let fields = stat.rsplit(") ").next().unwrap_or_default().split(' ').skip(11).take(2);
        Ok(fields.filter_map(|ticks| ticks.parse::<f64>().ok()).sum::<f64>() / 100.0)
    }

    /// The most memory that it has taken, in KB.
    fn peak(&self) -> io::Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        Ok(line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or_default())
    }

    /// Books with so many open at a time until so many are answered; returns how long each took, and how many were
    /// served.
    fn book(&mut self, open: usize, count: usize) -> io::Result<(Vec<Duration>, usize)> {
        let (times, served) = common::ask(self.json, "book", open, count, 0)?;
        Ok((times.into_iter().map(|(_, took)| took).collect(), served))
    }

    /// Ends it and empties the folder.
    fn end(self, folder: &Path) -> io::Result<()> {
        drop(self);
        for entry in std::fs::read_dir(folder)? {
            std::fs::remove_file(entry?.path())?;
        }
        Ok(())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
