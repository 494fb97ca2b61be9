//! What an earlier build left on its disk is read by this one, and means the same. The folders under
//! `node/tests/fixtures/` and how they were made: see the README there.

use crate::helper::*;
use std::path::{Path, PathBuf};

/// When the result store and the votes were written, in Unix milliseconds: the program reads them as if it were started
/// right then, so that nothing in them has run out, whatever the date is.
const WRITTEN_MS: u64 = 1_796_189_503_000;

/// Keys of the fixtures are remembered for most of a day.
fn with_long_windows(config: &str) -> String {
    config.replace("\"window\": 120000000", "\"window\": 86000000000")
}

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// A copy of a fixture for one test, as the program writes to its folder.
fn copy_of(name: &str) -> PathBuf {
    let copy = file(name, "").with_extension("d");
    std::fs::create_dir(&copy).unwrap();
    for entry in std::fs::read_dir(fixture(name)).unwrap() {
        let path = entry.unwrap().path();
        std::fs::copy(&path, copy.join(path.file_name().unwrap())).unwrap();
    }
    copy
}

/// The program with its clock at the time of the fixtures, with one operators' file.
fn start_at_the_time_of_the_fixtures(option: &str, text: &str, vm: &Server) -> Node {
    let config = with_long_windows(&config(&format!(r#""ops": "127.0.0.1:0", "vm": "{}","#, vm.address)));
    let (config, uwsgi) = (file("config.json", &config), file("uwsgi.toml", UWSGI));
    let operators_file = file("operators.toml", text);
    let [config, uwsgi, operators_file] =
        [&config, &uwsgi, &operators_file].map(|path| path.to_str().unwrap());
    let mut command = oakwind(&["serve", "--config", config, "--uwsgi", uwsgi, option, operators_file]);
    let offset = i128::from(WRITTEN_MS) - i128::from(now_ms());
    command.env("OAKWIND_REHEARSED_CLOCK", format!("0:{offset}"));
    let mut node = Node::from_command(command);
    node.wait_until_listening();
    node
}

/// A booking by uwsgi, whose caller names no time: JSON-RPC requests carry the time of the test's own clock.
fn book(address: std::net::SocketAddr, key: &str, body: &str) -> Peer {
    let mut client = Peer::connect(address);
    client.send(packet(&[("PATH_INFO", "/book"), ("HTTP_IDEMPOTENCY_KEY", key)], body));
    client
}

/// What every repeat of the bookings in a fixture is to get, but for the one whose first attempt never ran.
fn assert_repeats_get_what_the_first_attempts_got(front: std::net::SocketAddr) {
    for (key, body, status, result) in [
        ("ended", "body", "200", "job 5"),
        ("over uwsgi", "another body", "200", "job 6"),
        ("began", "body", "500", ""),
        ("failed", "body", "500", ""),
        ("ended", "not its body", "400", ""),
    ] {
        let answer = book(front, key, body).read_to_end();
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{key}: {answer}");
        assert!(answer.ends_with(result), "{key}: {answer}");
    }
}

#[test]
fn a_result_store_of_an_earlier_build_answers_repeats_from_their_first_results() {
    let vm = Server::new();
    let text = format!("folder = '{}'\nfile_mb = 4\n", copy_of("remembered").display());
    let mut node = start_at_the_time_of_the_fixtures("--remembered", &text, &vm);
    let _link = vm.interpreter("0");
    node.wait_for_log("result store: recovered: keys=5");
    node.wait_for_log("dispatcher: health changed: healthy=true");
    let front = node.uwsgi_address();
    assert_repeats_get_what_the_first_attempts_got(front);
    // That it never ran is not on the disk, only that it may have begun.
    assert!(book(front, "freed", "body").read_to_end().starts_with("HTTP/1.1 500 "));
    let stats = admin_call(node.admin_address(), "GET /ops/stats");
    for line in ["svc_remembered_damaged 0\n", "svc_remembered_noise_bytes 0\n"] {
        assert!(stats.contains(line), "{stats}");
    }
}

#[test]
fn votes_of_an_earlier_build_are_relied_on_and_answer_repeats() {
    let vm = Server::new();
    let text = format!(
        "name = 'n1'\nlisten = '127.0.7.21:0'\nprobe_ms = 100\nfolder = '{}'\nfile_mb = 4\n\
         [list]\nnumber = 1\nwindow_ms = 86400000\n\
         [[list.member]]\nname = 'n1'\naddress = '127.0.7.21:7101'\nzone = 'z1'\n",
        copy_of("votes").display()
    );
    let mut node = start_at_the_time_of_the_fixtures("--fleet", &text, &vm);
    let mut link = vm.interpreter("0");
    node.wait_for_log("result store: recovered: keys=4");
    node.wait_for_log("fleet: quorum reached");
    node.wait_for_log("dispatcher: health changed: healthy=true");
    let front = node.uwsgi_address();
    assert_repeats_get_what_the_first_attempts_got(front);
    let mut freed = book(front, "freed", "body");
    let (id, class, body) = link.next_run();
    assert_eq!((class.as_str(), body.as_str()), ("book", "body"), "the one key that never ran runs");
    link.send_run_result(1, &id, "done", "job 7");
    assert!(freed.read_to_end().ends_with("job 7"));
    let stats = admin_call(node.admin_address(), "GET /ops/stats");
    for line in ["svc_fleet_sound 1\n", "svc_fleet_outdated 0\n", "svc_fleet_conflicts 0\n"] {
        assert!(stats.contains(line), "{stats}");
    }
}

/// What a command says of the decisions in the fixture, and whether nothing was wrong or missing.
fn run_command(arguments: &[&str]) -> (bool, String) {
    let folder = fixture("records");
    let output = output(&[&["fleet"], arguments, &[folder.to_str().unwrap()]].concat());
    assert!(output.stderr.is_empty(), "{}", String::from_utf8_lossy(&output.stderr));
    (output.status.success(), String::from_utf8(output.stdout).unwrap())
}

/// The text that the build of the fixtures printed.
fn golden(name: &str) -> String {
    std::fs::read_to_string(fixture(name)).unwrap()
}

#[test]
fn an_audit_of_decisions_of_an_earlier_build_says_the_same() {
    for (format, name) in [(&["--json"][..], "audit.json"), (&[], "audit.txt")] {
        let (clean, text) = run_command(&[&["audit", "--spread-ms", "0"], format].concat());
        assert!(!clean, "a key ran again once its process was gone");
        assert_eq!(text, golden(name));
    }
}

#[test]
fn decisions_of_an_earlier_build_on_an_attempt_and_on_a_key_are_explained_the_same() {
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
