//! A soak: clients of both frontends book, leave, come again and misbehave, while the node is upgraded again and again and
//! stands still now and then. Only promises are checked: no key runs twice, no key that has run is rejected, every request
//! gets a response, and the memory stays within its limit.
//!
//! `OAKWIND_SOAK_SECONDS` and `OAKWIND_SOAK_SEED` change its length and its seed; keys are not used again after their window.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use oakwind_fault_harness::wire;

use crate::helper::*;

const DEFAULT_SECONDS: u64 = 40;
const DEFAULT_SEED: u64 = 20_261_205;
/// The least memory that a deployment gives to a node.
const MEMORY_LIMIT_MB: u64 = 32;
/// The transaction ids of misbehaving clients begin with numbers from here on, those of bookings stay below.
const FIRST_HOSTILE_TXN: u64 = 0xf000_0000;
/// Number of the latest keys that are used again.
const RECENT_KEYS: u64 = 20;

/// The number of runs of each key, at all interpreters of the node.
type RunCounts = Arc<Mutex<HashMap<String, u32>>>;

/// Plays the interpreter of one process: a run, whose body is its key, ends when the gauges are requested next.
fn spawn_interpreter(mut link: Peer, runs: RunCounts) {
    spawn(move || {
        let mut started = Vec::new();
        let mut notice = 0;
        while let Some(line) = link.next_line() {
            let words: Vec<&str> = line.split(' ').collect();
            if words[0] == "APPLY" {
                let length: usize = words[3].parse().unwrap();
                let body = link.read_bytes(length + 2);
                let key = String::from_utf8(body[..length].to_vec()).unwrap();
                *runs.lock().unwrap().entry(key).or_default() += 1;
                started.push(words[1].to_string());
            }
            if words[0] == "TOP" {
                let ends = started.drain(..).map(|id| {
                    notice += 1;
                    wire::value(notice, &id, "done", 5, "job")
                });
                link.accepts(wire::tops(words[1], &[0.5, 1.0, 0.1, 3.0]) + &ends.collect::<String>());
            }
        }
    });
}

/// Clients that book with keys of their own, and come again with them.
struct Bookings {
    json: SocketAddr,
    uwsgi: SocketAddr,
    runs: RunCounts,
    random: Random,
    last_key: u64,
    /// Number of attempts that were served, rejected and failed.
    served: u32,
    rejected: u32,
    failed: u32,
    violations: Vec<String>,
}

impl Bookings {
    fn new(json: SocketAddr, uwsgi: SocketAddr, runs: RunCounts, random: Random) -> Bookings {
        Bookings {
            json,
            uwsgi,
            runs,
            random,
            last_key: 0,
            served: 0,
            rejected: 0,
            failed: 0,
            violations: Vec::new(),
        }
    }

    fn run_count(&self, key: &str) -> u32 {
        self.runs.lock().unwrap().get(key).copied().unwrap_or_default()
    }

    /// Sends an attempt on a connection of its own.
    fn send(&self, over_jsonrpc: bool, key: &str, txn: u64, limit_ms: u32) -> Peer {
        if over_jsonrpc {
            let mut client = Peer::connect(self.json);
            let text = request(1, &format!("{txn:x}"), "book", Some(key), limit_ms);
            client.accepts(text.replace("Ym9keQ==", &BASE64.encode(key)));
            return client;
        }
        let mut client = Peer::connect(self.uwsgi);
        let deadline = (now_ms() + u64::from(limit_ms)).to_string();
        let variables =
            [("PATH_INFO", "/book"), ("HTTP_IDEMPOTENCY_KEY", key), ("HTTP_X_DEADLINE", &deadline[..])];
        client.accepts(packet(&variables, key));
        client
    }

    /// Books with a new or a recent key. The client may leave before it has its response.
    fn attempt(&mut self, txn: u64) {
        let is_new = self.random.below(2) == 0;
        self.last_key += u64::from(is_new);
        let age = if is_new { 0 } else { self.random.below(RECENT_KEYS) };
        let key = format!("key-{}", self.last_key.saturating_sub(age));
        let over_jsonrpc = self.random.below(2) == 0;
        let limit_ms = self.random.pick(&[100, 400, 5_000, LONG_LIMIT_MS]);
        let has_run = self.run_count(&key) > 0;
        let mut client = self.send(over_jsonrpc, &key, txn, limit_ms);
        if self.random.below(8) == 0 {
            return;
        }
        let mut response = if over_jsonrpc { client.read_line() } else { client.read_to_end() };
        if response.is_empty() {
            // A request that crosses the end of a connection is sent again once.
            let mut client = self.send(over_jsonrpc, &key, txn, limit_ms);
            response = if over_jsonrpc { client.read_line() } else { client.read_to_end() };
        }
        self.check(&key, has_run, &response);
    }

    fn check(&mut self, key: &str, has_run: bool, response: &str) {
        let is_rejected = response.contains("-32011") || response.contains(" 503 ");
        if response.contains("\"result\"") || response.contains(" 200 ") {
            self.served += 1;
        } else if is_rejected {
            self.rejected += 1;
        } else {
            self.failed += 1;
        }
        if is_rejected && has_run {
            self.violations.push(format!("{key} had run and was rejected"));
        }
        if response.is_empty() {
            self.violations.push(format!("{key} got no response"));
        }
    }
}

/// Misbehaves in one of the ways that a node meets; the connections end with the returned value.
fn misbehave(random: &mut Random, json: SocketAddr, uwsgi: SocketAddr, txn: u64) -> Vec<Peer> {
    let quote = |id: u32| request(id, &format!("{txn:x}{id:02x}"), "quote", None, 2_000);
    let (address, bytes, clients) = match random.below(6) {
        0 => (json, format!("{{\"method\":\"{}", "x".repeat(15_000)).into_bytes(), 40),
        1 => (uwsgi, packet(&vec![("", ""); 4_000], "")[..15_000].to_vec(), 40),
        2 => (uwsgi, packet(&[("CONTENT_LENGTH", "60000")], &"x".repeat(50_000)), 20),
        // They leave with their requests unread or open.
        3 => (json, (1..=32).map(quote).collect::<String>().into_bytes(), 4),
        4 => (
            json,
            (0..2_000).map(|name| format!("{{\"method\":\"m{txn}{name}\"}}\n")).collect::<String>().into(),
            2,
        ),
        _ => (json, "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"status\"}\n".repeat(500).into_bytes(), 4),
    };
    let connect = |_| {
        let mut client = Peer::connect(address);
        client.accepts(&bytes);
        client
    };
    (0..clients).map(connect).collect()
}

/// Repeats `act` with increasing numbers until the soak ends.
fn spawn_until<T: Send + 'static>(
    ended: &Arc<AtomicBool>,
    mut state: T,
    mut act: impl FnMut(&mut T, u64) + Send + 'static,
) -> JoinHandle<T> {
    let ended = ended.clone();
    spawn(move || {
        for number in 1.. {
            if ended.load(Ordering::SeqCst) {
                break;
            }
            act(&mut state, number);
        }
        state
    })
}

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn assert_memory_within_limit(node: &Node) {
    let peak_kb = node.usage().peak_memory_kb;
    assert!(peak_kb <= MEMORY_LIMIT_MB * 1024, "a process had {peak_kb} KB");
}

/// Starts one more process of the node, and its interpreter.
fn start_process(fixture: &UpgradeFixture, runs: &RunCounts) -> Node {
    let limits = format!(r#""limits": {{"memory_mb": {MEMORY_LIMIT_MB}}}, "seed""#);
    let (node, link, _) = fixture.start_with(|config| config.replace("\"seed\"", &limits));
    spawn_interpreter(link, runs.clone());
    node
}

/// Upgrades the node and lets it stand still, again and again, for some time. Returns the number of upgrades and the
/// last process.
fn disturb(
    fixture: &UpgradeFixture,
    runs: &RunCounts,
    mut node: Node,
    random: &mut Random,
    time: Duration,
) -> (u32, Node) {
    let give_up_at = Instant::now() + time;
    let mut upgrades = 0;
    while Instant::now() < give_up_at {
        sleep(Duration::from_millis(200 + random.below(1_500)));
        if random.below(2) == 0 {
            node.pause();
            sleep(Duration::from_millis(20 + random.below(400)));
            node.resume();
            continue;
        }
        let mut successor = start_process(fixture, runs);
        successor.wait_for_log("handover: completed");
        assert_memory_within_limit(&node);
        node.terminate();
        node.assert_clean_exit();
        node = successor;
        upgrades += 1;
    }
    assert_memory_within_limit(&node);
    (upgrades, node)
}

#[test]
fn bookings_run_once_and_get_responses_through_upgrades_standstills_and_misbehaving_clients() {
    let seed = setting("OAKWIND_SOAK_SEED", DEFAULT_SEED);
    let time = Duration::from_secs(setting("OAKWIND_SOAK_SECONDS", DEFAULT_SECONDS));
    println!("soak: seed={seed} seconds={}", time.as_secs());
    let mut random = Random(seed);
    let (fixture, runs) = (UpgradeFixture::new(), RunCounts::default());
    let node = start_process(&fixture, &runs);
    let (json, uwsgi) = (node.json, fixture.uwsgi.parse().unwrap());
    let ended = Arc::new(AtomicBool::new(false));
    let bookings = Bookings::new(json, uwsgi, runs.clone(), Random(random.below(u64::MAX)));
    let bookings = spawn_until(&ended, bookings, Bookings::attempt);
    let hostile = spawn_until(&ended, Random(random.below(u64::MAX)), move |random, number| {
        let clients = misbehave(random, json, uwsgi, FIRST_HOSTILE_TXN + number);
        sleep(Duration::from_millis(random.below(300)));
        drop(clients);
    });
    let (upgrades, node) = disturb(&fixture, &runs, node, &mut random, time);
    ended.store(true, Ordering::SeqCst);
    let bookings = bookings.join().unwrap();
    hostile.join().unwrap();
    drop(node);
    let Bookings { served, rejected, failed, violations, .. } = bookings;
    println!("soak: upgrades={upgrades} served={served} rejected={rejected} failed={failed}");
    let runs = runs.lock().unwrap();
    let twice: Vec<_> = runs.iter().filter(|(key, count)| key.starts_with("key-") && **count > 1).collect();
    assert!(twice.is_empty() && violations.is_empty(), "seed {seed}: ran twice: {twice:?}, {violations:?}");
    assert!(served > 0 && upgrades > 0, "seed {seed}");
}
