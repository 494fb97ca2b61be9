//! Pins byte by byte what other programs and operators read: the names of the metrics, and what the program
//! writes to the interpreter, the index, the membership service and admin clients.

use crate::helper::*;

/// The names of all metrics in the order of the response, with their labels and without their values.
fn metric_names(ops: std::net::SocketAddr) -> String {
    let stats = admin_call(ops, "GET /ops/stats");
    let text = stats.split("\r\n\r\n").nth(1).unwrap();
    let names: Vec<&str> = text.lines().map(|line| line.rsplit_once(' ').unwrap().0).collect();
    names.join("\n")
}

/// Reads the next command to the interpreter without parsing it, with its body. Requests for gauges get a
/// response and are skipped.
fn raw_command(link: &mut Peer) -> String {
    loop {
        let line = raw_line(link);
        if line == "TOP g\r\n" {
            link.send("TOPS g 0.5000 1.0000 0.1000 3.0000\r\n");
            continue;
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let body = match oakwind_fault_harness::wire::body_length(&words) {
            Some(length) => String::from_utf8(link.read_bytes(length + 2)).unwrap(),
            None => String::new(),
        };
        return line + &body;
    }
}

/// Reads the next line, including its line end.
fn raw_line(peer: &mut Peer) -> String {
    let mut line = Vec::new();
    while line.last() != Some(&b'\n') {
        line.extend(peer.read_bytes(1));
    }
    String::from_utf8(line).unwrap()
}

/// A configuration file and the command-line option that names it.
struct ConfigurationFile {
    option: &'static str,
    extension: &'static str,
    text: String,
}

/// The configuration files of a node with every optional part.
fn files_for_all_optional_parts() -> [ConfigurationFile; 5] {
    let folder = |name: &str| {
        let folder = file(name, "").with_extension("d");
        std::fs::create_dir(&folder).unwrap();
        folder
    };
    let (results, records) = (folder("results"), folder("records"));
    let hosts = [(); 3].map(|()| unique_host());
    let [host, vrrp_peer, _] = hosts;
    let members = hosts
        .iter()
        .zip(1..)
        .map(|(host, n)| format!("[[list.member]]\nname = 'n{n}'\naddress = '{host}:7199'\nzone = 'z{n}'\n"));
    let members: String = members.collect();
    [
        ("--config", "json", config(&format!(r#""vm": "{UNREACHABLE}", "ops": "127.0.0.1:0","#))),
        (
            "--uwsgi",
            "toml",
            format!(
                "listen = '{host}:0'\n[vrrp]\nvrid = 9\npriority = 100\ninterval_ms = 100\n\
                 addresses = ['127.0.1.1']\nlisten = '{host}:3112'\npeers = ['{vrrp_peer}:3112']\n"
            ),
        ),
        ("--remembered", "toml", format!("folder = '{}'\n", results.display())),
        (
            "--fleet",
            "toml",
            format!("name = 'n1'\nlisten = '{host}:7199'\n[list]\nnumber = 1\nwindow_ms = 260000\n{members}"),
        ),
        ("--records", "toml", format!("folder = '{}'\nfile_mb = 1\nfiles = 4\n", records.display())),
    ]
    .map(|(option, extension, text)| ConfigurationFile { option, extension, text })
}

#[test]
fn metric_names_of_a_node_without_optional_parts() {
    let mut node = Node::start(&config(&format!(r#""vm": "{UNREACHABLE}", "ops": "127.0.0.1:0","#)), None);
    insta::assert_snapshot!(metric_names(node.admin_address()), @r#"
    svc_answered{group="quote"}
    svc_deferred{group="quote"}
    svc_errored{group="quote"}
    svc_sends{group="quote"}
    svc_answered{group="book"}
    svc_deferred{group="book"}
    svc_errored{group="book"}
    svc_sends{group="book"}
    svc_current
    svc_conf_loaded
    svc_conf_invalid
    "#);
}

#[test]
#[expect(clippy::too_many_lines, reason = "the snapshot lists every metric")]
fn metric_names_of_a_node_with_every_optional_part() {
    let files = files_for_all_optional_parts();
    let mut command = oakwind(&["serve"]);
    for ConfigurationFile { option, extension, text } in files {
        command.arg(option).arg(file(&format!("golden.{extension}"), &text));
    }
    let mut node = Node::from_command(command);
    let ops = node.admin_address();
    // These metrics appear once the fleet part has run for the first time, all others from the start.
    while !metric_names(ops).contains("svc_fleet_bytes_out") {}
    insta::assert_snapshot!(metric_names(ops), @r#"
    svc_answered{group="quote"}
    svc_deferred{group="quote"}
    svc_errored{group="quote"}
    svc_sends{group="quote"}
    svc_answered{group="book"}
    svc_deferred{group="book"}
    svc_errored{group="book"}
    svc_sends{group="book"}
    svc_current
    svc_conf_loaded
    svc_conf_invalid
    svc_remembered_keys
    svc_remembered_bytes
    svc_remembered_written
    svc_remembered_refused
    svc_remembered_syncs
    svc_remembered_damaged
    svc_remembered_noise_bytes
    svc_fleet_granted
    svc_fleet_turned
    svc_fleet_became
    svc_fleet_unknown
    svc_fleet_held
    svc_fleet_unheld
    svc_fleet_votes
    svc_fleet_votes_refused
    svc_fleet_learnt
    svc_fleet_given
    svc_fleet_conflicts
    svc_fleet_slept
    svc_fleet_sent_away
    svc_fleet_outdated
    svc_fleet_list
    svc_fleet_lists
    svc_fleet_stage
    svc_fleet_waits_ms
    svc_fleet_level
    svc_fleet_sound
    svc_fleet_alive
    svc_fleet_suspect
    svc_fleet_lost
    svc_fleet_behind
    svc_fleet_open
    svc_fleet_keys
    svc_fleet_bytes
    svc_fleet_links
    svc_fleet_links_cut
    svc_fleet_nonsense
    svc_fleet_later_frames
    svc_fleet_frames_in
    svc_fleet_frames_out
    svc_fleet_bytes_in
    svc_fleet_bytes_out
    svc_records_written
    svc_records_dropped
    svc_records_bytes
    "#);
}

#[test]
fn bytes_sent_to_the_interpreter_and_the_index() {
    let (vm, index) = (Server::new(), Server::new());
    let links = format!(r#""vm": "{}", "index": "{}","#, vm.address, index.address);
    let node = Node::start(&config(&links), None);
    let mut link = vm.accept();
    assert_eq!(raw_line(&mut link), "CONNECT 0\r\n");
    link.send("BANNER seasoned 10\r\n");
    assert_eq!(raw_line(&mut link), "TOP fence\r\n");
    link.send("TOPS fence 0.5000 1.0000 0.1000 3.0000\r\n");
    assert_eq!(raw_line(&mut link), "TOP g\r\n");
    link.send("TOPS g 0.5000 1.0000 0.1000 3.0000\r\n");
    let mut client = node.client();
    client.request(1, "a1", Some("k"), LONG_LIMIT_MS);
    assert_eq!(raw_command(&mut link), "APPLY a1 book 4\r\nbody\r\n");
    link.send("AWAIT 1 a1 4\r\ncall\r\n");
    let mut call = index.accept();
    let get = raw_line(&mut call);
    let left = get.strip_prefix("GET a1 ").and_then(|rest| rest.strip_suffix(" 4\r\n")).expect(&get);
    assert!((1..=u64::from(LONG_LIMIT_MS)).contains(&left.parse().unwrap()), "milliseconds left: {get}");
    assert_eq!(call.read_bytes(6), b"call\r\n");
    call.send("a1 HIT 5\r\nre\r\nl\r\n");
    assert_eq!(raw_command(&mut link), "RESOLVE a1 5\r\nre\r\nl\r\n");
    link.send_run_result(2, "a1", "done", "ok");
    assert!(client.read_line().contains("\"id\":1,\"result\""));
    client.request(2, "a2", None, LONG_LIMIT_MS);
    assert_eq!(raw_command(&mut link), "APPLY a2 quote 4\r\nbody\r\n");
    link.send("AWAIT 3 a2 1\r\nc\r\n");
    // The call may or may not be sent over the open connection before it is closed: it fails either way.
    drop((call, index));
    assert_eq!(raw_command(&mut link), "STUB a2 3\r\n");
    client.send(oakwind_fault_harness::wire::withdraw(2));
    assert_eq!(raw_command(&mut link), "BREAK a2\r\n");
    drop(link);
    let mut link = vm.accept();
    assert_eq!(raw_line(&mut link), "CONNECT 3\r\n");
}

#[test]
fn bytes_sent_to_the_membership_service() {
    let members = bind_udp("127.0.0.1:0");
    let links = format!(r#""members": "{}","#, members.local_addr().unwrap());
    let (node, _vm, _link) = Node::with_interpreter(&links, None);
    assert_eq!(next_datagram(&members), b"HB n1 UP");
    node.terminate();
    let mut last = next_datagram(&members);
    while last == b"HB n1 UP" {
        last = next_datagram(&members);
    }
    assert_eq!(last, b"HB n1 OUT");
    node.assert_clean_exit();
}

#[test]
fn admin_responses_byte_for_byte() {
    let mut node = Node::start(&config(&format!(r#""vm": "{UNREACHABLE}", "ops": "127.0.0.1:0","#)), None);
    let ops = node.admin_address();
    let calls = [
        "GET /ops/readiness",
        "PUT /ops/drain/start",
        "PUT /ops/drain/stop",
        "POST /ops/stats",
        "GET /",
        "\u{16}",
    ];
    let answers: Vec<String> = calls.iter().map(|each| admin_call(ops, each)).collect();
    insta::assert_debug_snapshot!(answers, @r#"
    [
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 10\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\nnot ready\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\ndraining\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 8\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\nserving\n",
        "HTTP/1.1 405 Method Not Allowed\r\nContent-Length: 22\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\nGET asks, PUT changes\n",
        "HTTP/1.1 404 Not Found\r\nContent-Length: 13\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\nno such call\n",
        "HTTP/1.1 400 Bad Request\r\nContent-Length: 14\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\ninvalid token\n",
    ]
    "#);
}
