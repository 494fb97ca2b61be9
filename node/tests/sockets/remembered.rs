//! Keys and results that outlast the process.

use crate::helper::*;
use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};

/// A folder that lasts for one test, and the file that names it.
struct Memory {
    folder: PathBuf,
    /// The text of that file.
    text: String,
}

impl Memory {
    fn new(more: &str) -> Memory {
        let folder = file("remembered", "").with_extension("d");
        std::fs::create_dir(&folder).unwrap();
        let text = format!("folder = '{}'\n{more}", folder.display());
        Memory { folder, text }
    }

    /// A process of the node with a stand-in interpreter whose link is up.
    fn start(&self) -> (Node, Peer) {
        let vm = Server::new();
        let node = self.spawn(&vm, None);
        (node, vm.interpreter("0"))
    }

    fn spawn(&self, vm: &Server, folder: Option<&Path>) -> Node {
        let config = config(&format!(r#""ops": "127.0.0.1:0", "vm": "{}","#, vm.address));
        let mut node = Node::spawn_with(&config, Some(UWSGI), folder, Some(&self.text));
        node.wait_until_listening();
        node
    }
}

fn uwsgi(node: &mut Node, key: &str) -> Peer {
    let mut client = Peer::connect(node.uwsgi_address());
    client.send(packet(&[("PATH_INFO", "/book"), ("HTTP_IDEMPOTENCY_KEY", key)], "body"));
    client
}

#[test]
fn a_booking_is_answered_from_its_first_result_after_a_crash_and_one_that_may_have_run_has_failed() {
    let memory = Memory::new("");
    let (node, mut vm) = memory.start();
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
    // Before anything can run here as well.
    let vm = Server::new();
    let mut node = memory.spawn(&vm, None);
    node.wait_for_log("remembered: 3 keys are known from before");
    let mut client = node.client();
    client.request(1, "b1", Some("ended"), LONG_LIMIT_MS);
    assert_eq!(client.read_line(), result);
    let mut link = vm.interpreter("0");
    node.wait_for_log("health is good");
    client.request(1, "c1", Some("ended"), LONG_LIMIT_MS);
    assert_eq!(client.read_line(), result);
    client.send(request(2, "c2", "book", Some("ended"), LONG_LIMIT_MS).replace("Ym9keQ==", "b3RoZXI="));
    assert!(client.read_line().contains("-32602"), "another body");
    for (id, txn, key) in [(3, "c3", "began"), (4, "c4", "failed")] {
        client.request(id, txn, Some(key), LONG_LIMIT_MS);
        assert!(client.read_line().contains("-32000"));
    }
    assert!(uwsgi(&mut node, "ended").read_to_end().ends_with("job 5"));
    client.request(5, "c5", Some("fresh"), LONG_LIMIT_MS);
    assert_eq!(link.next_run().0, "c5", "nothing else has run");
    let stats = admin_call(node.admin_address(), "GET /ops/stats");
    assert!(
        stats.contains("svc_remembered_keys 4\n") && stats.contains("svc_remembered_written 1\n"),
        "{stats}"
    );
}

/// How often each body was run.
type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// An interpreter that runs all that comes, but holds what it begins while it is told to. Its results have so
/// many bytes more.
fn interpreter(vm: &Server, hold: Arc<AtomicBool>, runs: Runs, padding: usize) -> Receiver<()> {
    let mut link = vm.interpreter("0");
    let (say, began) = channel();
    std::thread::spawn(move || {
        for notice in 1.. {
            let (words, body) = link.next_command();
            if words[0] != "APPLY" {
                return;
            }
            *runs.lock().unwrap().entry(body.clone()).or_default() += 1;
            if hold.load(Ordering::SeqCst) {
                let _ = say.send(());
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
    began
}

/// A booking over either front. Its body is its key, so that a run tells whose it is.
fn ask(node: &Node, front: std::net::SocketAddr, key: &str, id: u32, json: bool) -> Peer {
    let mut client = if json { node.client() } else { Peer::connect(front) };
    if json {
        let text = request(id, &format!("{id:x}"), "book", Some(key), LONG_LIMIT_MS);
        client.send(text.replace("Ym9keQ==", &BASE64.encode(key)));
    } else {
        client.send(packet(&[("PATH_INFO", "/book"), ("HTTP_IDEMPOTENCY_KEY", key)], key));
    }
    client
}

#[test]
fn restarts_at_any_moment_run_no_key_twice_and_refuse_no_repeat_of_what_is_done() {
    let memory = Memory::new("file_mb = 4\n");
    let runs = Runs::default();
    let (mut done, mut unknown): (Vec<u32>, Vec<u32>) = Default::default();
    let (mut state, mut number) = (20_261_201_u64, 0);
    let mut draw = |below: u64| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) % below
    };
    for _ in 0..12 {
        let (vm, hold) = (Server::new(), Arc::new(AtomicBool::new(false)));
        let mut node = memory.spawn(&vm, None);
        let front = node.uwsgi_address();
        let began = interpreter(&vm, hold.clone(), runs.clone(), 0);
        node.wait_for_log("health is good");
        let mut id = 0;
        let steps = 3 + draw(8);
        for step in 0..=steps {
            let (json, last) = (draw(2) == 0, step == steps);
            let again = draw(2) == 0 && !done.is_empty();
            let key = if again && !last {
                done[draw(done.len() as u64) as usize]
            } else if draw(3) == 0 && !unknown.is_empty() && !last {
                unknown[draw(unknown.len() as u64) as usize]
            } else {
                number += 1;
                number
            };
            id += 1;
            hold.store(last, Ordering::SeqCst);
            let name = format!("k{key:02}");
            let mut asked = ask(&node, front, &name, id, json);
            if last {
                // Killed in the run, or at whatever moment before it.
                if draw(2) == 0 {
                    began.recv().unwrap();
                }
                unknown.push(key);
                break;
            }
            let answer = if json { asked.read_line() } else { asked.read_to_end() };
            let job = format!("job of {name}");
            let served = answer.contains(&job) || answer.contains(&BASE64.encode(&job));
            if done.contains(&key) {
                assert!(served, "a repeat of a booking that is done: {answer}");
            } else if served {
                unknown.retain(|unknown| *unknown != key);
                done.push(key);
            } else {
                assert!(
                    unknown.contains(&key) && !answer.contains("-32011") && !answer.contains(" 503 "),
                    "{answer}"
                );
            }
        }
        drop(node);
    }
    let runs = runs.lock().unwrap();
    assert!(done.len() > 10 && runs.values().all(|runs| *runs == 1), "{runs:?}");
}

#[test]
fn a_folder_that_cannot_be_used_ends_the_start_with_a_line_that_names_the_key() {
    let memory = Memory::new("");
    let (_node, _vm) = memory.start();
    let config = file("config.json", &config(r#""vm": "127.0.0.1:1","#));
    let start = |text: &str| {
        let remembered = file("remembered.toml", text);
        let arguments =
            ["serve", "--config", config.to_str().unwrap(), "--remembered", remembered.to_str().unwrap()];
        let ended = output(&arguments);
        assert!(!ended.status.success());
        String::from_utf8(ended.stderr).unwrap()
    };
    let twice = start(&memory.text);
    assert!(twice.contains("folder: ") && twice.contains("another process has it open"), "{twice}");
    assert!(start("folder = '/nowhere/at/all'").contains("folder: /nowhere/at/all: "));
    assert_eq!(start("folder = 'here'").lines().count(), 1);
}

#[test]
fn an_upgrade_hands_the_folder_over_and_both_processes_keys_are_known_after_a_crash() {
    let (memory, place) = (Memory::new(""), crate::upgrade::Place::new("127.0.3.6"));
    let start = || {
        let vm = Server::new();
        let config = config(&format!(r#""vm": "{}","#, vm.address)).replace("127.0.0.1:0", &place.json);
        let mut node = Node::spawn_with(&config, None, Some(&place.folder), Some(&memory.text));
        let link = vm.interpreter("0");
        node.wait_until_listening();
        (node, link)
    };
    let (old, mut old_vm) = start();
    let mut before = old.client();
    for (id, txn, key) in [(1, "a1", "first"), (2, "a2", "second")] {
        before.request(id, txn, Some(key), LONG_LIMIT_MS);
        old_vm.next_run();
    }
    old_vm.send_run_result(1, "a1", "done", "1");
    let first = before.read_line().replace("\"id\":1,", "");
    let (mut new, mut new_vm) = start();
    new.wait_for_log("handover: completed");
    let mut client = new.client();
    client.request(1, "b1", Some("third"), LONG_LIMIT_MS);
    assert_eq!(new_vm.next_run().0, "b1");
    new_vm.send_run_result(1, "b1", "done", "3");
    let third = client.read_line().replace("\"id\":1,", "");
    client.request(2, "b2", Some("second"), LONG_LIMIT_MS);
    old_vm.send_run_result(2, "a2", "done", "2");
    let second = client.read_line().replace("\"id\":2,", "");
    assert!(second.contains("result") && third.contains("result"));
    drop(old);
    drop(new);
    let (after, _vm) = start();
    let mut client = after.client();
    for (id, txn, key, result) in
        [(1, "c1", "first", first), (2, "c2", "second", second), (3, "c3", "third", third)]
    {
        client.request(id, txn, Some(key), LONG_LIMIT_MS);
        assert_eq!(client.read_line().replace(&format!("\"id\":{id},"), ""), result, "{key}");
    }
}

#[test]
fn where_the_folder_is_full_bookings_are_turned_away_before_they_run_and_told_when_to_return() {
    let (memory, vm, runs) = (Memory::new("file_mb = 4\n"), Server::new(), Runs::default());
    let node = memory.spawn(&vm, None);
    interpreter(&vm, Arc::default(), runs.clone(), 60_000);
    let mut client = node.client();
    let mut ask = |id: u32, key: &str| {
        let text = request(id, &format!("{id:x}"), "book", Some(key), LONG_LIMIT_MS);
        client.send(text.replace("Ym9keQ==", &BASE64.encode(key)));
        client.read_line()
    };
    assert!(ask(1, "k1").contains("\"result\""));
    let refused =
        (2..1000).map(|n| (n, ask(n, &format!("k{n}")))).find(|(_, answer)| !answer.contains("\"result\""));
    let (n, answer) = refused.expect("the folder has an end");
    assert!(n > 5 && answer.contains("\"code\":-32011") && answer.contains("\"later\""), "{answer}");
    assert!(!runs.lock().unwrap().contains_key(&format!("k{n}")), "it did not run");
    assert!(ask(1000, "k1").contains("\"result\""), "what is done is served all the same");
}

#[test]
fn what_is_damaged_is_counted_and_its_key_does_not_run_and_the_others_are_known() {
    let memory = Memory::new("");
    let (node, mut vm) = memory.start();
    let mut client = node.client();
    for (id, key) in [(1, "hurt"), (2, "whole")] {
        client.request(id, &format!("a{id}"), Some(key), LONG_LIMIT_MS);
        vm.next_run();
        vm.send_run_result(id, &format!("a{id}"), "done", &format!("result of {key}"));
        client.read_line();
    }
    drop(node);
    let segment = memory.folder.join(format!("keys-{:016x}.log", 1));
    let mut bytes = std::fs::read(&segment).unwrap();
    // Both records of that key: nothing else tells of it.
    let hurt = |bytes: &[u8]| bytes.windows(4).position(|window| window == b"hurt");
    let first = hurt(&bytes).unwrap();
    bytes[first] ^= 1;
    let second = hurt(&bytes).unwrap();
    bytes[second] ^= 1;
    std::fs::write(&segment, bytes).unwrap();
    let (mut node, _vm) = memory.start();
    node.wait_for_log("remembered: damage: 2 records can't be read, 0 are missing, 0 bytes are no record's");
    let mut client = node.client();
    client.request(1, "b1", Some("hurt"), LONG_LIMIT_MS);
    assert!(client.read_line().contains("-32000"), "it may have run");
    client.request(2, "b2", Some("whole"), LONG_LIMIT_MS);
    assert!(client.read_line().contains("\"result\""));
    assert!(admin_call(node.admin_address(), "GET /ops/stats").contains("svc_remembered_damaged 2\n"));
}

#[test]
fn a_restart_during_a_drain_answers_the_repeats_that_go_on_to_come() {
    let memory = Memory::new("");
    let (node, mut vm) = memory.start();
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
    let (node, _vm) = memory.start();
    let mut client = node.client();
    client.request(1, "b1", Some("k"), LONG_LIMIT_MS);
    assert_eq!(client.read_line(), answers[0]);
}

#[test]
fn where_the_disk_fails_bookings_are_turned_away_and_reads_go_on_until_it_is_back() {
    let (memory, vm, runs) = (Memory::new("file_mb = 4\n"), Server::new(), Runs::default());
    let mut node = memory.spawn(&vm, None);
    interpreter(&vm, Arc::default(), runs.clone(), 60_000);
    let mut client = node.client();
    let mut ask = |id: u32, class: &str, key: Option<&str>| {
        let text = request(id, &format!("{id:x}"), class, key, LONG_LIMIT_MS);
        client.send(text.replace("Ym9keQ==", &BASE64.encode(format!("body {id}"))));
        client.read_line()
    };
    // The segment that is open goes on; no other can be begun.
    std::fs::remove_dir_all(&memory.folder).unwrap();
    let first = (1..100).find(|id| !ask(*id, "book", Some(&format!("k{id}"))).contains("\"result\""));
    let first = first.expect("a segment has an end");
    assert!(ask(200, "book", Some("other")).contains("\"code\":-32011"));
    assert!(!runs.lock().unwrap().contains_key("body 200"), "it did not run");
    assert!(ask(201, "quote", None).contains("\"result\""));
    assert!(ask(1, "book", Some("k1")).contains("\"result\""), "what is known is served");
    node.wait_for_log("remembered: the folder is not tidied");
    std::fs::create_dir(&memory.folder).unwrap();
    assert!(ask(203, "book", Some("fresh")).contains("\"result\""));
    assert!(first > 1);
}
