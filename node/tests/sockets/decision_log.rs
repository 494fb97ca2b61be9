//! The decision log of a node, and the commands that audit it.

use crate::helper::*;
use std::path::{Path, PathBuf};

/// A folder for the decision log of one node.
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

/// The decision log of a node that serves a booking by both protocols, rejects another request, and ends in order.
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
    let mut old = Peer::connect(node.uwsgi_address());
    old.send(packet(&[("PATH_INFO", "/book"), ("HTTP_IDEMPOTENCY_KEY", key)], "body"));
    assert!(old.read_to_end().ends_with("job"));
    client.request(2, "a2", None, 60_000);
    link.next_run();
    link.send("ERROR APPLY a2\r\n");
    client.read_line();
    drop(client);
    node.terminate();
    node.assert_clean_exit();
    folder
}

/// The output of a command that must have no errors, and whether its exit status is success.
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
    let (clean, said) = run_command(&["fleet", "audit", path(&folder)]);
    assert!(clean && said.contains("whole") && said.ends_with("nothing is wrong\n"), "{said}");
    let (found, said) = run_command(&["fleet", "explain", "k", path(&folder)]);
    let did = |line: &str| line.split_whitespace().nth(2).unwrap_or_default().to_string();
    let all: Vec<String> = said.lines().skip(1).map(did).collect();
    assert!(found && all == ["runs", "served", "served"], "{said}");
    let (_, said) = run_command(&["fleet", "explain", "a2", path(&folder)]);
    let all: Vec<String> = said.lines().skip(1).map(did).collect();
    assert_eq!(all, ["runs", "never", "refused"], "no server took it: {said}");
    let (found, said) = run_command(&["fleet", "explain", "--json", "nobody", path(&folder)]);
    assert!(!found && said == "[]\n");
    let (_, said) = run_command(&["fleet", "audit", "--json", path(&folder)]);
    assert!(said.contains("\"program\"") && said.contains(env!("CARGO_PKG_VERSION")), "{said}");
}

#[test]
fn an_audit_names_the_node_that_keeps_old_settings() {
    let old = record_decisions("n1", "k", |_| None);
    let new = record_decisions("n2", "l", |config| Some(config.replace("\"worth\": 2.0", "\"worth\": 3.0")));
    let older = record_decisions("n3", "m", |_| None);
    let all = [path(&old), path(&new), path(&older)];
    let (clean, said) = run_command(&[&["fleet", "audit", "--spread-ms", "0"][..], &all].concat());
    let late: Vec<&str> = said.lines().filter(|line| line.contains("went on with Settings")).collect();
    assert!(!clean && late.len() == 1 && late[0].starts_with("n3 "), "{said}");
    assert!(late[0].contains("has not come round"), "{said}");
    let (clean, said) = run_command(&[&["fleet", "audit", "--spread-ms", "600000"][..], &all].concat());
    assert!(clean, "{said}");
}

#[test]
fn an_audit_shows_which_line_was_edited() {
    let folder = record_decisions("n1", "k", |_| None);
    let mut files = std::fs::read_dir(&folder).unwrap().map(|entry| entry.unwrap().path());
    let log = files.find(|path| path.extension().is_some_and(|kind| kind == "log")).unwrap();
    let text = std::fs::read_to_string(&log).unwrap();
    std::fs::write(&log, text.replacen("served", "failed", 1)).unwrap();
    let (clean, said) = run_command(&["fleet", "audit", path(&folder)]);
    assert!(!clean && said.contains("line 3: not as it was written"), "{said}");
    let gone = output(&["fleet", "audit", "/nowhere/at/all"]);
    let said = String::from_utf8(gone.stderr).unwrap();
    assert!(
        !gone.status.success() && said.starts_with("oakwind: /nowhere/at/all: ") && said.lines().count() == 1
    );
}

#[test]
fn a_folder_that_is_not_there_ends_the_start_with_one_line_that_names_the_key() {
    let vm = Server::new();
    let records = file("records.toml", "folder = '/nowhere/at/all'\n");
    let config = file("config.json", &node_config(&vm, "n1"));
    let arguments = ["--config", path(&config), "--records", path(&records)];
    let ended = output(&[&["serve"], &arguments[..]].concat());
    let said = String::from_utf8(ended.stderr).unwrap();
    assert!(
        !ended.status.success() && said.contains("oakwind: records file, folder: /nowhere/at/all"),
        "{said}"
    );
}
