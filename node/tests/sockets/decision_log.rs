//! Tests of a node's decision log and of the commands `fleet audit` and `fleet explain`.

use crate::helper::*;
use std::path::{Path, PathBuf};

/// Creates an empty folder for the decision log of one node.
fn new_folder(name: &str) -> PathBuf {
    let folder = file(name, "");
    std::fs::remove_file(&folder).unwrap();
    std::fs::create_dir(&folder).unwrap();
    folder
}

fn node_config(vm: &Server, name: &str) -> String {
    config(&format!(r#""ops": "127.0.0.1:0", "vm": "{}","#, vm.address))
        .replace("\"n1\"", &format!("\"{name}\""))
}

/// Runs a node that serves a keyed request over both protocols, rejects another request and exits cleanly.
/// Returns the folder of its decision log. `change` may turn the configuration into one that is loaded
/// between the two protocols.
fn record_decisions(name: &str, key: &str, change: impl FnOnce(&str) -> Option<String>) -> PathBuf {
    let (vm, folder) = (Server::new(), new_folder(name));
    let config = node_config(&vm, name);
    let mut node = Node::with_records(&config, &folder);
    let mut link = vm.interpreter("0");
    let mut client = node.client();
    client.request(1, "a1", Some(key), 60_000);
    link.next_run();
    link.send_run_result(1, "a1", "done", "job");
    client.read_line();
    if let Some(other) = change(&config) {
        node.reload(&other);
        node.wait_for_log("settings=changed");
    }
    let mut uwsgi_client = Peer::connect(node.uwsgi_address());
    uwsgi_client.send(packet(&[("PATH_INFO", "/book"), ("HTTP_IDEMPOTENCY_KEY", key)], "body"));
    assert!(uwsgi_client.read_to_end().ends_with("job"));
    client.request(2, "a2", None, 60_000);
    link.next_run();
    link.send("ERROR APPLY a2\r\n");
    client.read_line();
    drop(client);
    node.terminate();
    node.assert_clean_exit();
    folder
}

/// Runs a command that must print no errors. Returns whether its exit status is success, and its output.
fn run_command(arguments: &[&str]) -> (bool, String) {
    let output = output(arguments);
    assert!(output.stderr.is_empty(), "{}", String::from_utf8_lossy(&output.stderr));
    (output.status.success(), String::from_utf8(output.stdout).unwrap())
}

fn path(folder: &Path) -> &str {
    folder.to_str().unwrap()
}

#[test]
fn decisions_are_recorded_and_explained_by_attempt_and_by_key() {
    let folder = record_decisions("n1", "k", |_| None);
    let (clean, text) = run_command(&["fleet", "audit", path(&folder)]);
    assert!(clean && text.contains("whole") && text.ends_with("nothing is wrong\n"), "{text}");
    let (found, text) = run_command(&["fleet", "explain", "k", path(&folder)]);
    let event = |line: &str| line.split_whitespace().nth(2).unwrap_or_default().to_string();
    let events: Vec<String> = text.lines().skip(1).map(event).collect();
    assert!(found && events == ["runs", "served", "served"], "{text}");
    let (_, text) = run_command(&["fleet", "explain", "a2", path(&folder)]);
    let events: Vec<String> = text.lines().skip(1).map(event).collect();
    assert_eq!(events, ["runs", "never", "refused"], "the interpreter rejected the run: {text}");
    let (found, text) = run_command(&["fleet", "explain", "--json", "nobody", path(&folder)]);
    assert!(!found && text == "[]\n");
    let (_, text) = run_command(&["fleet", "audit", "--json", path(&folder)]);
    assert!(text.contains("\"program\"") && text.contains(env!("CARGO_PKG_VERSION")), "{text}");
}

#[test]
fn an_audit_names_the_node_that_still_uses_old_settings() {
    let old = record_decisions("n1", "k", |_| None);
    let new = record_decisions("n2", "l", |config| Some(config.replace("\"worth\": 2.0", "\"worth\": 3.0")));
    let older = record_decisions("n3", "m", |_| None);
    let all = [path(&old), path(&new), path(&older)];
    let (clean, text) = run_command(&[&["fleet", "audit", "--spread-ms", "0"][..], &all].concat());
    let late: Vec<&str> = text.lines().filter(|line| line.contains("went on with Settings")).collect();
    assert!(!clean && late.len() == 1 && late[0].starts_with("n3 "), "{text}");
    assert!(late[0].contains("has not come round"), "{text}");
    let (clean, text) = run_command(&[&["fleet", "audit", "--spread-ms", "600000"][..], &all].concat());
    assert!(clean, "{text}");
}

#[test]
fn an_audit_shows_which_line_was_edited() {
    let folder = record_decisions("n1", "k", |_| None);
    let mut files = std::fs::read_dir(&folder).unwrap().map(|entry| entry.unwrap().path());
    let log = files.find(|path| path.extension().is_some_and(|kind| kind == "log")).unwrap();
    let text = std::fs::read_to_string(&log).unwrap();
    std::fs::write(&log, text.replacen("served", "failed", 1)).unwrap();
    let (clean, text) = run_command(&["fleet", "audit", path(&folder)]);
    assert!(!clean && text.contains("line 3: not as it was written"), "{text}");
    let missing = output(&["fleet", "audit", "/nowhere/at/all"]);
    let text = String::from_utf8(missing.stderr).unwrap();
    assert!(
        !missing.status.success()
            && text.starts_with("oakwind: /nowhere/at/all: ")
            && text.lines().count() == 1
    );
}

#[test]
fn a_missing_folder_stops_startup_with_one_line_naming_the_key() {
    let vm = Server::new();
    let records = file("records.toml", "folder = '/nowhere/at/all'\n");
    let config = file("config.json", &node_config(&vm, "n1"));
    let arguments = ["--config", path(&config), "--records", path(&records)];
    let ended = output(&[&["serve"], &arguments[..]].concat());
    let text = String::from_utf8(ended.stderr).unwrap();
    assert!(
        !ended.status.success() && text.contains("oakwind: records file, folder: /nowhere/at/all"),
        "{text}"
    );
}
