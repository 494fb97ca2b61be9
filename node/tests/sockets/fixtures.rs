//! Files written by an earlier build are read by this one with the same meaning. The README in
//! `node/tests/fixtures/` describes the folders and how they were made.

use crate::helper::*;
use std::path::{Path, PathBuf};

/// When the result store and the votes were written, in Unix milliseconds. The program starts with its clock
/// at this time, so that no key in them has expired, whatever the date is.
const WRITTEN_MS: u64 = 1_796_189_503_000;

/// Extends the idempotency window to 86000 s, so that the keys of the fixtures are retained for most of a
/// day.
fn with_long_windows(config: &str) -> String {
    config.replace("\"window\": 120000000", "\"window\": 86000000000")
}

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// Copies a fixture for one test, since the program writes to its folder.
fn copy_fixture(name: &str) -> PathBuf {
    let copy = file(name, "").with_extension("d");
    std::fs::create_dir(&copy).unwrap();
    for entry in std::fs::read_dir(fixture(name)).unwrap() {
        let path = entry.unwrap().path();
        std::fs::copy(&path, copy.join(path.file_name().unwrap())).unwrap();
    }
    copy
}

/// Starts the program with its clock at the time of the fixtures and with one further file, given by
/// `option`.
fn start_with_fixture_clock(option: &str, text: &str, vm: &Server) -> Node {
    let config = with_long_windows(&config(&format!(r#""ops": "127.0.0.1:0", "vm": "{}","#, vm.address)));
    let (config, uwsgi) = (file("config.json", &config), file("uwsgi.toml", UWSGI));
    let option_file = file("operators.toml", text);
    let [config, uwsgi, option_file] = [&config, &uwsgi, &option_file].map(|path| path.to_str().unwrap());
    let mut command = oakwind(&["serve", "--config", config, "--uwsgi", uwsgi, option, option_file]);
    let offset = i128::from(WRITTEN_MS) - i128::from(now_ms());
    command.env("OAKWIND_REHEARSED_CLOCK", format!("0:{offset}"));
    let mut node = Node::from_command(command);
    node.wait_until_listening();
    node
}

/// Sends a keyed request over uwsgi, where a client need not state a time: JSON-RPC requests carry the time
/// of the test's own clock.
fn send_keyed_request(address: std::net::SocketAddr, key: &str, body: &str) -> Peer {
    let mut client = Peer::connect(address);
    client.send(packet(&[("PATH_INFO", "/book"), ("HTTP_IDEMPOTENCY_KEY", key)], body));
    client
}

/// Asserts that a retry of each keyed request in a fixture gets the outcome of the first attempt. The key
/// whose first attempt never ran is left to the test.
fn assert_retries_get_the_first_outcome(address: std::net::SocketAddr) {
    for (key, body, status, result) in [
        ("ended", "body", "200", "job 5"),
        ("over uwsgi", "another body", "200", "job 6"),
        ("began", "body", "500", ""),
        ("failed", "body", "500", ""),
        ("ended", "not its body", "400", ""),
    ] {
        let answer = send_keyed_request(address, key, body).read_to_end();
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{key}: {answer}");
        assert!(answer.ends_with(result), "{key}: {answer}");
    }
}

#[test]
fn a_result_store_of_an_earlier_build_answers_retries_with_the_first_results() {
    let vm = Server::new();
    let text = format!("folder = '{}'\nfile_mb = 4\n", copy_fixture("remembered").display());
    let mut node = start_with_fixture_clock("--remembered", &text, &vm);
    let _link = vm.interpreter("0");
    node.wait_for_log("result store: recovered: keys=5");
    node.wait_for_log("dispatcher: health changed: healthy=true");
    let address = node.uwsgi_address();
    assert_retries_get_the_first_outcome(address);
    // The disk does not show that this key never ran, only that its run may have begun.
    assert!(send_keyed_request(address, "freed", "body").read_to_end().starts_with("HTTP/1.1 500 "));
    let stats = admin_call(node.admin_address(), "GET /ops/stats");
    for line in ["svc_remembered_damaged 0\n", "svc_remembered_noise_bytes 0\n"] {
        assert!(stats.contains(line), "{stats}");
    }
}

#[test]
fn votes_of_an_earlier_build_stay_valid_and_answer_retries() {
    let vm = Server::new();
    let text = format!(
        "name = 'n1'\nlisten = '127.0.7.21:0'\nprobe_ms = 100\nfolder = '{}'\nfile_mb = 4\n\
         [list]\nnumber = 1\nwindow_ms = 86400000\n\
         [[list.member]]\nname = 'n1'\naddress = '127.0.7.21:7101'\nzone = 'z1'\n",
        copy_fixture("votes").display()
    );
    let mut node = start_with_fixture_clock("--fleet", &text, &vm);
    let mut link = vm.interpreter("0");
    node.wait_for_log("result store: recovered: keys=4");
    node.wait_for_log("fleet: quorum reached");
    node.wait_for_log("dispatcher: health changed: healthy=true");
    let address = node.uwsgi_address();
    assert_retries_get_the_first_outcome(address);
    let mut freed = send_keyed_request(address, "freed", "body");
    let (id, class, body) = link.next_run();
    assert_eq!((class.as_str(), body.as_str()), ("book", "body"), "only the key that never ran runs");
    link.send_run_result(1, &id, "done", "job 7");
    assert!(freed.read_to_end().ends_with("job 7"));
    let stats = admin_call(node.admin_address(), "GET /ops/stats");
    for line in ["svc_fleet_sound 1\n", "svc_fleet_outdated 0\n", "svc_fleet_conflicts 0\n"] {
        assert!(stats.contains(line), "{stats}");
    }
}

/// Runs a `fleet` command on the decision log in the fixture. Returns whether its exit status is success, and
/// its output.
fn run_command(arguments: &[&str]) -> (bool, String) {
    let folder = fixture("records");
    let output = output(&[&["fleet"], arguments, &[folder.to_str().unwrap()]].concat());
    assert!(output.stderr.is_empty(), "{}", String::from_utf8_lossy(&output.stderr));
    (output.status.success(), String::from_utf8(output.stdout).unwrap())
}

/// The output of the build that wrote the fixtures.
fn golden(name: &str) -> String {
    std::fs::read_to_string(fixture(name)).unwrap()
}

#[test]
fn an_audit_of_decisions_of_an_earlier_build_prints_the_same_report() {
    for (format, name) in [(&["--json"][..], "audit.json"), (&[], "audit.txt")] {
        let (clean, text) = run_command(&[&["audit", "--spread-ms", "0"], format].concat());
        assert!(!clean, "the audit reports a key that ran again after its process had ended");
        assert_eq!(text, golden(name));
    }
}

#[test]
fn decisions_of_an_earlier_build_are_explained_the_same_by_attempt_and_by_key() {
    for (arguments, name) in [
        (&["explain", "a2", "--json"][..], "explain-try.json"),
        (&["explain", "k", "--json"], "explain-key.json"),
        (&["explain", "k"], "explain-key.txt"),
    ] {
        let (found, text) = run_command(arguments);
        assert!(found);
        assert_eq!(text, golden(name), "{arguments:?}");
    }
}
