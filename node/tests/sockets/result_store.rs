//! Tests of the result store, which keeps idempotency keys and results across restarts.

use crate::helper::*;
use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};

/// Sends a keyed request over uwsgi.
fn send_keyed_uwsgi_request(node: &mut Node, key: &str) -> Peer {
    let mut client = Peer::connect(node.uwsgi_address());
    client.send(packet(&[("PATH_INFO", "/book"), ("HTTP_IDEMPOTENCY_KEY", key)], "body"));
    client
}

#[test]
fn a_retry_after_a_crash_gets_the_first_result_or_fails_if_the_run_may_have_begun() {
    let folder = StoreFolder::new("");
    let (node, mut vm) = folder.start();
    let mut client = node.client();
    for (id, txn, key) in [(1, "a1", "ended"), (2, "a2", "began"), (3, "a3", "failed")] {
        client.request(id, txn, Some(key), LONG_LIMIT_MS);
        vm.next_run();
    }
    vm.send_run_result(1, "a3", "crashed", "");
    client.read_line();
    vm.send_run_result(2, "a1", "done", "job 5");
    let result = client.read_line();
    assert!(result.contains("\"result\""));
    drop(node);
    // A stored result is served even before the interpreter's link is up.
    let vm = Server::new();
    let mut node = folder.spawn(&vm, None);
    node.wait_for_log("result store: recovered: keys=3");
    let mut client = node.client();
    client.request(1, "b1", Some("ended"), LONG_LIMIT_MS);
    assert_eq!(client.read_line(), result);
    let mut link = vm.interpreter("0");
    node.wait_for_log("dispatcher: health changed: healthy=true");
    client.request(1, "c1", Some("ended"), LONG_LIMIT_MS);
    assert_eq!(client.read_line(), result);
    client.send(request(2, "c2", "book", Some("ended"), LONG_LIMIT_MS).replace("Ym9keQ==", "b3RoZXI="));
    assert!(client.read_line().contains("-32602"), "the key was first used with another body");
    for (id, txn, key) in [(3, "c3", "began"), (4, "c4", "failed")] {
        client.request(id, txn, Some(key), LONG_LIMIT_MS);
        assert!(client.read_line().contains("-32000"));
    }
    assert!(send_keyed_uwsgi_request(&mut node, "ended").read_to_end().ends_with("job 5"));
    client.request(5, "c5", Some("fresh"), LONG_LIMIT_MS);
    assert_eq!(link.next_run().0, "c5", "no earlier key has run again");
    let stats = admin_call(node.admin_address(), "GET /ops/stats");
    assert!(
        stats.contains("svc_remembered_keys 4\n") && stats.contains("svc_remembered_written 1\n"),
        "{stats}"
    );
}

/// The number of runs of each body.
type RunCounts = Arc<Mutex<HashMap<String, u32>>>;

/// Starts a stand-in interpreter that completes every run at once. While `holds_runs` is set it leaves runs
/// open and reports the start of each on the returned channel. Its results are longer by `padding` bytes.
fn spawn_interpreter(
    vm: &Server,
    holds_runs: Arc<AtomicBool>,
    runs: RunCounts,
    padding: usize,
) -> Receiver<()> {
    let mut link = vm.interpreter("0");
    let (report, started) = channel();
    std::thread::spawn(move || {
        for notice in 1.. {
            let (words, body) = link.next_command();
            if words[0] != "APPLY" {
                return;
            }
            *runs.lock().unwrap().entry(body.clone()).or_default() += 1;
            if holds_runs.load(Ordering::SeqCst) {
                let _ = report.send(());
            } else {
                link.send_run_result(
                    notice,
                    &words[1],
                    "done",
                    &format!("job of {body}{}", "-".repeat(padding)),
                );
            }
        }
    });
    started
}

/// Sends a keyed request to either frontend. Its body is its key, so that the interpreter sees the key of
/// each run.
fn send_keyed_request(node: &Node, uwsgi: std::net::SocketAddr, key: &str, id: u32, json: bool) -> Peer {
    let mut client = if json { node.client() } else { Peer::connect(uwsgi) };
    if json {
        let text = request(id, &format!("{id:x}"), "book", Some(key), LONG_LIMIT_MS);
        client.send(text.replace("Ym9keQ==", &BASE64.encode(key)));
    } else {
        client.send(packet(&[("PATH_INFO", "/book"), ("HTTP_IDEMPOTENCY_KEY", key)], key));
    }
    client
}

/// A sequence of processes that are killed one after the other, and the outcomes that their clients saw.
struct Restarts {
    random: Random,
    runs: RunCounts,
    /// Keys whose requests were served.
    served: Vec<u32>,
    /// Keys that may have run without a response.
    unknown: Vec<u32>,
    last_key: u32,
}

impl Restarts {
    /// Draws the key of the next attempt: an earlier key for a retry, or a new one. The last attempt of a
    /// process has a new key.
    fn draw_key(&mut self, is_last: bool) -> u32 {
        let is_retry = self.random.below(2) == 0 && !self.served.is_empty();
        if is_retry && !is_last {
            return self.random.pick(&self.served);
        }
        if self.random.below(3) == 0 && !self.unknown.is_empty() && !is_last {
            return self.random.pick(&self.unknown);
        }
        self.last_key += 1;
        self.last_key
    }

    /// Starts a process that serves a few attempts, and kills it during the last one, in its run or at some
    /// moment before.
    fn run_process(&mut self, folder: &StoreFolder) {
        let (vm, holds_runs) = (Server::new(), Arc::new(AtomicBool::new(false)));
        let mut node = folder.spawn(&vm, None);
        let uwsgi = node.uwsgi_address();
        let started = spawn_interpreter(&vm, holds_runs.clone(), self.runs.clone(), 0);
        node.wait_for_log("dispatcher: health changed: healthy=true");
        let attempts = 3 + self.random.below(8);
        for attempt in 0..=attempts {
            let (json, is_last) = (self.random.below(2) == 0, attempt == attempts);
            let key = self.draw_key(is_last);
            holds_runs.store(is_last, Ordering::SeqCst);
            let id = u32::try_from(attempt).unwrap() + 1;
            let name = format!("k{key:02}");
            let mut client = send_keyed_request(&node, uwsgi, &name, id, json);
            if is_last {
                if self.random.below(2) == 0 {
                    started.recv().unwrap();
                }
                self.unknown.push(key);
                return;
            }
            let response = if json { client.read_line() } else { client.read_to_end() };
            self.check_response(key, &name, &response);
        }
    }

    fn check_response(&mut self, key: u32, name: &str, response: &str) {
        let job = format!("job of {name}");
        let is_served = response.contains(&job) || response.contains(&BASE64.encode(&job));
        if self.served.contains(&key) {
            assert!(is_served, "a retry of a served key did not get the result: {response}");
        } else if is_served {
            self.unknown.retain(|unknown| *unknown != key);
            self.served.push(key);
        } else {
            let is_rejected = response.contains("-32011") || response.contains(" 503 ");
            assert!(self.unknown.contains(&key) && !is_rejected, "{response}");
        }
    }
}

#[test]
fn restarts_at_any_moment_run_no_key_twice_and_reject_no_retry_of_a_served_key() {
    let folder = StoreFolder::new("file_mb = 4\n");
    let mut restarts = Restarts {
        random: Random(20_261_201),
        runs: RunCounts::default(),
        served: Vec::new(),
        unknown: Vec::new(),
        last_key: 0,
    };
    for _ in 0..12 {
        restarts.run_process(&folder);
    }
    let runs = restarts.runs.lock().unwrap();
    assert!(restarts.served.len() > 10 && runs.values().all(|count| *count == 1), "{runs:?}");
}

#[test]
fn an_unusable_folder_stops_startup_with_a_line_naming_the_key() {
    let folder = StoreFolder::new("");
    let (_node, _vm) = folder.start();
    let config = file("config.json", &config(r#""vm": "127.0.0.1:1","#));
    let start = |text: &str| {
        let remembered = file("remembered.toml", text);
        let arguments =
            ["serve", "--config", config.to_str().unwrap(), "--remembered", remembered.to_str().unwrap()];
        let ended = output(&arguments);
        assert!(!ended.status.success());
        String::from_utf8(ended.stderr).unwrap()
    };
    let twice = start(&folder.text);
    assert!(twice.contains("folder: ") && twice.contains("another process has it open"), "{twice}");
    assert!(start("folder = '/nowhere/at/all'").contains("folder: /nowhere/at/all: "));
    assert_eq!(start("folder = 'here'").lines().count(), 1);
}

#[test]
fn with_a_full_folder_keyed_requests_are_rejected_before_they_run_with_a_retry_time() {
    let (folder, vm, runs) = (StoreFolder::new("file_mb = 4\n"), Server::new(), RunCounts::default());
    let node = folder.spawn(&vm, None);
    spawn_interpreter(&vm, Arc::default(), runs.clone(), 60_000);
    let mut client = node.client();
    let mut response_to = |id: u32, key: &str| {
        let text = request(id, &format!("{id:x}"), "book", Some(key), LONG_LIMIT_MS);
        client.send(text.replace("Ym9keQ==", &BASE64.encode(key)));
        client.read_line()
    };
    assert!(response_to(1, "k1").contains("\"result\""));
    let rejected = (2..1000)
        .map(|n| (n, response_to(n, &format!("k{n}"))))
        .find(|(_, answer)| !answer.contains("\"result\""));
    let (n, answer) = rejected.expect("the folder is full before 1000 keys");
    assert!(n > 5 && answer.contains("\"code\":-32011") && answer.contains("\"later\""), "{answer}");
    assert!(!runs.lock().unwrap().contains_key(&format!("k{n}")), "the rejected key did not run");
    assert!(response_to(1000, "k1").contains("\"result\""), "a stored result is still served");
}

#[test]
fn damaged_records_are_counted_and_fail_only_retries_of_their_own_key() {
    let folder = StoreFolder::new("");
    let (node, mut vm) = folder.start();
    let mut client = node.client();
    for (id, key) in [(1, "hurt"), (2, "whole")] {
        client.request(id, &format!("a{id}"), Some(key), LONG_LIMIT_MS);
        vm.next_run();
        vm.send_run_result(id, &format!("a{id}"), "done", &format!("result of {key}"));
        client.read_line();
    }
    drop(node);
    let segment = folder.folder.join(format!("keys-{:016x}.log", 1));
    let mut bytes = std::fs::read(&segment).unwrap();
    // Damages both records of the key; no other record contains it.
    let hurt = |bytes: &[u8]| bytes.windows(4).position(|window| window == b"hurt");
    let first = hurt(&bytes).unwrap();
    bytes[first] ^= 1;
    let second = hurt(&bytes).unwrap();
    bytes[second] ^= 1;
    std::fs::write(&segment, bytes).unwrap();
    let (mut node, _vm) = folder.start();
    node.wait_for_log("result store: damaged: unreadable_records=2 missing_records=0 unrecognized_bytes=0");
    let mut client = node.client();
    client.request(1, "b1", Some("hurt"), LONG_LIMIT_MS);
    assert!(client.read_line().contains("-32000"), "it may have run");
    client.request(2, "b2", Some("whole"), LONG_LIMIT_MS);
    assert!(client.read_line().contains("\"result\""));
    assert!(admin_call(node.admin_address(), "GET /ops/stats").contains("svc_remembered_damaged 2\n"));
}

#[test]
fn a_restart_after_a_drain_answers_later_retries() {
    let folder = StoreFolder::new("");
    let (node, mut vm) = folder.start();
    let mut client = node.client();
    client.request(1, "a1", Some("k"), LONG_LIMIT_MS);
    vm.next_run();
    node.terminate();
    assert_eq!(client.read_any_line(), DRAINING);
    client.request(2, "a2", Some("k"), LONG_LIMIT_MS);
    vm.send_run_result(1, "a1", "done", "job 5");
    let mut answers = [client.read_line(), client.read_line()];
    answers.sort();
    assert!(answers.iter().all(|answer| answer.contains("\"result\"")), "{answers:?}");
    drop(client);
    node.assert_clean_exit();
    let (node, _vm) = folder.start();
    let mut client = node.client();
    client.request(1, "b1", Some("k"), LONG_LIMIT_MS);
    assert_eq!(client.read_line(), answers[0]);
}

#[test]
fn while_the_disk_fails_keyed_requests_are_rejected_and_reads_are_served() {
    let (folder, vm, runs) = (StoreFolder::new("file_mb = 4\n"), Server::new(), RunCounts::default());
    let mut node = folder.spawn(&vm, None);
    spawn_interpreter(&vm, Arc::default(), runs.clone(), 60_000);
    let mut client = node.client();
    let mut response_to = |id: u32, class: &str, key: Option<&str>| {
        let text = request(id, &format!("{id:x}"), class, key, LONG_LIMIT_MS);
        client.send(text.replace("Ym9keQ==", &BASE64.encode(format!("body {id}"))));
        client.read_line()
    };
    // The open segment stays writable, but no new segment can be created.
    std::fs::remove_dir_all(&folder.folder).unwrap();
    let first = (1..100).find(|id| !response_to(*id, "book", Some(&format!("k{id}"))).contains("\"result\""));
    let first = first.expect("the open segment is full before 100 keys");
    assert!(response_to(200, "book", Some("other")).contains("\"code\":-32011"));
    assert!(!runs.lock().unwrap().contains_key("body 200"), "the rejected key did not run");
    assert!(response_to(201, "quote", None).contains("\"result\""));
    assert!(
        response_to(1, "book", Some("k1")).contains("\"result\""),
        "a result that is already stored is served"
    );
    node.wait_for_log("result store: maintenance failed");
    std::fs::create_dir(&folder.folder).unwrap();
    assert!(response_to(203, "book", Some("fresh")).contains("\"result\""));
    assert!(first > 1);
}
