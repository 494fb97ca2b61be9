//! Tests of nodes in a fleet: replication between them, fleet files, and valid and invalid data from peers.

use crate::helper::*;
use oakwind_fleet::ids::{ConfigVersion, Incarnation, NodeId};
use oakwind_fleet::message::{ClaimRequest, ConfigSignature, Hello, Message, MESSAGE_KINDS};
use oakwind_fleet::replication::key_state::ClaimId;
use siphasher::sip::SipHasher13;
use std::hash::Hasher;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};

/// Port of the first node. No other test uses the host, and the system does not assign ports below 32768 by itself. A
/// port that a listener had to find first could be held for a moment by a process that another test starts.
const FIRST_PORT: u16 = 21_001;

/// A fleet of three nodes on addresses that belong to one test, with a short idempotency window.
struct Fleet {
    host: Ipv4Addr,
    version: u64,
}

/// Shortens the idempotency window and the latency objectives to one second and the deadlines to two.
fn with_short_windows(config: &str) -> String {
    config
        .replace("\"window\": 120000000", "\"window\": 1000000")
        .replace("120000000", "2000000")
        .replace("60000000", "1000000")
}

impl Fleet {
    fn new() -> Fleet {
        Fleet { host: unique_host(), version: 1 }
    }

    fn address(&self, n: usize) -> SocketAddr {
        SocketAddr::from((self.host, FIRST_PORT + n as u16 - 1))
    }

    fn membership(&self, nodes: &[usize]) -> String {
        let members = nodes.iter().map(|n| {
            format!("[[list.member]]\nname = 'n{n}'\naddress = '{}'\nzone = 'z{n}'\n", self.address(*n))
        });
        let members: String = members.collect();
        format!("[list]\nnumber = {}\nwindow_ms = 3000\n{members}", self.version)
    }

    fn file(&self, n: usize, nodes: &[usize], more: &str) -> String {
        format!(
            "name = 'n{n}'\nlisten = '{}'\nprobe_ms = 100\n{more}{}",
            self.address(n),
            self.membership(nodes)
        )
    }

    fn start(&self, n: usize, nodes: &[usize], more: &str) -> (Node, Peer) {
        self.start_with(n, nodes, more, |config| config)
    }

    /// Like [`Fleet::start`], with a changed configuration.
    fn start_with(
        &self,
        n: usize,
        nodes: &[usize],
        more: &str,
        change: impl Fn(String) -> String,
    ) -> (Node, Peer) {
        let vm = Server::new();
        let links = format!(r#""ops": "127.0.0.1:0", "vm": "{}","#, vm.address);
        let config = change(with_short_windows(&config(&links)).replace("\"n1\"", &format!("\"n{n}\"")));
        let mut node = Node::with_fleet(&config, &self.file(n, nodes, more), None);
        node.wait_until_listening();
        let link = vm.interpreter("0");
        (node, link)
    }

    /// Starts all three nodes and waits until each can run keyed requests.
    fn start_all(&self) -> Vec<(Node, Peer)> {
        self.start_all_with(|config| config)
    }

    /// Like [`Fleet::start_all`], with a changed configuration.
    fn start_all_with(&self, change: impl Fn(String) -> String) -> Vec<(Node, Peer)> {
        let start = |n| self.start_with(n, &[1, 2, 3], "", &change);
        let mut all: Vec<(Node, Peer)> = (1..=3).map(start).collect();
        for (node, _) in &mut all {
            node.wait_for_log("fleet: quorum reached");
            node.wait_for_log("fleet: replica table complete: keys=0");
        }
        all
    }
}

#[test]
fn a_keyed_request_runs_at_one_node_and_retries_at_others_get_its_result_over_both_protocols() {
    let fleet = Fleet::new();
    let mut all = fleet.start_all();
    let mut clients: Vec<Peer> = all.iter().map(|(node, _)| node.client()).collect();
    clients[0].request(1, "a1", Some("k"), 1900);
    assert_eq!(all[0].1.next_run().0, "a1");
    clients[1].request(1, "b1", Some("k"), 1900);
    all[0].1.send_run_result(1, "a1", "done", "job 5");
    let result = clients[0].read_line();
    assert!(result.contains("\"result\""), "{result}");
    assert_eq!(clients[1].read_line(), result, "the retry waited for the run");
    clients[2].request(1, "c1", Some("k"), 1900);
    assert_eq!(clients[2].read_line(), result);
    let mut uwsgi_client = Peer::connect(all[2].0.uwsgi_address());
    uwsgi_client.send(packet(&[("PATH_INFO", "/book"), ("HTTP_IDEMPOTENCY_KEY", "k")], "body"));
    let answer = uwsgi_client.read_to_end();
    assert!(answer.ends_with("job 5"), "{answer}");
    clients[2].send(request(2, "c2", "book", Some("k"), 1900).replace("Ym9keQ==", "b3RoZXI="));
    assert!(clients[2].read_line().contains("-32602"), "a key that is reused with another body is rejected");
    clients[1].request(2, "b2", None, 1900);
    assert_eq!(all[1].1.next_run().0, "b2", "a request without a key runs without a claim");
    let lines = ["svc_fleet_granted 1\n", "svc_fleet_held 1\n", "svc_fleet_alive 2\n", "svc_fleet_level 1\n"];
    wait_for_stats(&mut all[0].0, &lines);
}

#[test]
fn without_a_quorum_keyed_requests_are_rejected_and_other_requests_run() {
    let fleet = Fleet::new();
    let mut all = fleet.start_all();
    all.truncate(1);
    let (mut node, mut vm) = all.remove(0);
    let mut client = node.client();
    client.request(1, "a1", Some("k"), 1900);
    let refused = client.read_line();
    assert!(refused.contains("-32011") && refused.contains("later"), "{refused}");
    client.request(2, "a2", None, 1900);
    assert_eq!(vm.next_run().0, "a2");
    wait_for_stats(&mut node, &["svc_fleet_lost 2\n"]);
}

/// Guards against a request that is read after the shutdown notice, waits for the run of another node, and is unanswered
/// when its process is stopped.
#[test]
fn a_draining_node_answers_at_once_what_would_wait_for_another_nodes_run_past_its_stop() {
    let fleet = Fleet::new();
    let with_long_grace = with_drain_grace(30_000_000);
    // The process is stopped before the deadline of the request.
    let mut all = fleet.start_all_with(|config| with_long_grace(config).replace("30000,", "1000,"));
    let mut clients: Vec<Peer> = all.iter().map(|(node, _)| node.client()).collect();
    let whole = request(1, "b1", "book", Some("k"), 1900);
    clients[1].send(&whole[..40]);
    clients[0].request(1, "a1", Some("k"), 1900);
    assert_eq!(all[0].1.next_run().0, "a1");
    all[1].0.terminate();
    assert_eq!(clients[1].read_any_line(), DRAINING);
    clients[1].send(&whole[40..]);
    let answer = clients[1].read_line();
    assert!(answer.contains("\"id\":1,\"error\":{\"code\":-32000"), "{answer}");
}

/// Waits until the metrics contain all these lines.
fn wait_for_stats(node: &mut Node, lines: &[&str]) {
    let ops = node.admin_address();
    let give_up_at = std::time::Instant::now() + TEST_TIMEOUT;
    loop {
        let stats = admin_call(ops, "GET /ops/stats");
        if lines.iter().all(|line| stats.contains(line)) {
            return;
        }
        assert!(std::time::Instant::now() < give_up_at, "{stats}");
    }
}

/// Connects to a node as a peer and sends these bytes.
fn connect_peer(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut peer = TcpStream::connect(address).unwrap();
    peer.write_all(bytes).unwrap();
    peer
}

/// Waits until the node closes the link.
fn assert_closed(mut peer: TcpStream) {
    let mut rest = Vec::new();
    // The read may fail with a reset, since the node need not have read everything that was sent.
    let _ = peer.read_to_end(&mut rest);
}

#[test]
fn invalid_data_closes_a_link_is_logged_and_leaves_the_node_serving() {
    let fleet = Fleet::new();
    let (mut node, _vm) = fleet.start(1, &[1], "");
    let at = fleet.address(1);
    for invalid in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        b"OAKPEER1\0\0\0\x04\0\0\0\0haha",
        b"OAKPEER1\xff\xff\xff\xff\0\0\0\0",
    ] {
        assert_closed(connect_peer(at, invalid));
        node.wait_for_log("fleet: link closed, its peer sent invalid data");
    }
    // A link whose peer goes silent before it has identified itself is closed as well.
    assert_closed(connect_peer(at, b"OAK"));
    node.wait_for_log("fleet: replica table complete: keys=0");
    let mut client = node.client();
    client.request(1, "a1", Some("k"), 1900);
    wait_for_stats(&mut node, &["svc_fleet_nonsense 3\n"]);
}

/// The frame of an encoded message, with the bytes of fields that this build does not know appended.
fn frame(mut bytes: Vec<u8>, unknown_fields: &[u8]) -> Vec<u8> {
    bytes.extend_from_slice(unknown_fields);
    let mut hasher = SipHasher13::new_with_keys(1, 0);
    hasher.write(&bytes);
    let (length, check) = (bytes.len() as u32, hasher.finish() as u32);
    [&length.to_be_bytes()[..], &check.to_be_bytes(), &bytes].concat()
}

/// Reads the next message from the node.
fn read_message(peer: &mut TcpStream) -> Message {
    let mut head = [0; 8];
    peer.read_exact(&mut head).unwrap();
    let mut bytes = vec![0; u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize];
    peer.read_exact(&mut bytes).unwrap();
    postcard::from_bytes(&bytes).unwrap()
}

#[test]
fn a_peer_of_a_later_build_is_granted_its_claims_and_its_new_fields_are_skipped() {
    let fleet = Fleet::new();
    let (mut node, _vm) = fleet.start(1, &[1], "");
    node.wait_for_log("fleet: replica table complete: keys=0");
    let (me, to) = (NodeId::of("n2"), NodeId::of("n1"));
    let bytes = |message: &Message| postcard::to_allocvec(message).unwrap();
    let name = "n2".into();
    let hello = Message::Hello(Hello {
        name,
        to,
        incarnation: Incarnation(5),
        configs: vec![ConfigSignature { version: ConfigVersion(2), digest: 0 }],
        retired_through: ConfigVersion(0),
        link_cut: false,
        uptime_seconds: 0,
        restored: None,
    });
    let claim = ClaimId { node: me, incarnation: Incarnation(5), number: 1 };
    let claim_request = ClaimRequest {
        claim,
        key: "k".into(),
        body: 1,
        retain_ms: 3000,
        config_versions: vec![ConfigVersion(1), ConfigVersion(2)],
    };
    let later = postcard::to_allocvec(&(MESSAGE_KINDS + 1, "of a later build")).unwrap();
    let all = [
        b"OAKPEER1".to_vec(),
        frame(bytes(&hello), b"a new field"),
        frame(later, b""),
        frame(bytes(&Message::Claim(claim_request)), b"another"),
    ];
    let mut peer = connect_peer(fleet.address(1), &all.concat());
    peer.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut magic = [0; 8];
    peer.read_exact(&mut magic).unwrap();
    assert!(matches!(read_message(&mut peer), Message::Hello(hello) if hello.name == "n1"));
    assert_eq!(read_message(&mut peer), Message::Granted { claim, incarnations: vec![] });
    wait_for_stats(&mut node, &["svc_fleet_later_frames 1\n", "svc_fleet_nonsense 0\n"]);
}

#[test]
fn a_reload_adopts_a_newer_membership_configuration_and_rejects_others() {
    let mut fleet = Fleet::new();
    let mut all = fleet.start_all();
    fleet.version = 2;
    let next = fleet.file(1, &[1, 2, 3, 4], "");
    let node = &mut all[0].0;
    node.reload_fleet_file(&next);
    node.wait_for_log("fleet: membership configuration adopted: version=2");
    all[1].0.wait_for_log("fleet: membership configuration received from a peer: version=2");
    let node = &mut all[0].0;
    let old = Fleet { version: 1, ..fleet };
    node.reload_fleet_file(&old.file(1, &[1, 2, 3], ""));
    node.wait_for_log("fleet: membership configuration rejected: list.number: 1 is");
    node.reload_fleet_file(&fleet.file(1, &[1, 2, 3], ""));
    node.wait_for_log(
        "fleet: membership configuration rejected: list.number: 2 is the version of the active",
    );
    let third = Fleet { version: 3, ..fleet };
    node.reload_fleet_file(&third.file(1, &[1, 2], ""));
    node.wait_for_log("fleet: membership configuration rejected: list.members: without n3, n4 (2 in all)");
    let mut client = all[2].0.client();
    client.request(1, "c1", Some("k"), 1900);
    assert_eq!(
        all[2].1.next_run().0,
        "c1",
        "claims need votes under both membership configurations and get them"
    );
}

#[test]
fn an_invalid_fleet_file_fails_the_check_with_one_line_naming_the_key() {
    let fleet = Fleet::new();
    let config = file("config.json", &with_short_windows(&config(r#""vm": "127.0.0.1:1","#)));
    let check = |text: &str| {
        let path = file("fleet.toml", text);
        let arguments =
            ["check-config", "--config", config.to_str().unwrap(), "--fleet", path.to_str().unwrap()];
        let ended = output(&arguments);
        assert!(!ended.status.success());
        let error = String::from_utf8(ended.stderr).unwrap();
        assert_eq!(error.lines().count(), 1, "{error}");
        error
    };
    let good = fleet.file(1, &[1, 2, 3], "");
    for (from, to, names) in [
        ("name = 'n1'\nlisten", "name = 'n9'\nlisten", "name: \"n9\" is not on the list"),
        ("probe_ms = 100", "probe_ms = 1", "probe_ms: "),
        ("probe_ms = 100", "memory_mb = 0", "memory_mb: "),
        ("probe_ms = 100", "links = 100000", "links: "),
        ("probe_ms = 100", "links = 600", "half of limits.sockets (1024)"),
        ("probe_ms = 100", "folder = 'here'", "folder: "),
        ("window_ms = 3000", "window_ms = 2999", "list.window_ms: 3000 at least"),
        ("zone = 'z1'", "zone = ''", "list.members[0]"),
        ("zone = 'z1'", "zones = 'z1'", "zones"),
    ] {
        let error = check(&good.replace(from, to));
        assert!(error.contains(names), "{error}");
    }
    let path = file("fleet.toml", &good);
    let arguments = ["check-config", "--config", config.to_str().unwrap(), "--fleet", path.to_str().unwrap()];
    assert!(output(&arguments).status.success());
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/fleet.toml")).unwrap();
    let path = file("fleet.toml", &text);
    let arguments = ["check-config", "--config", config.to_str().unwrap(), "--fleet", path.to_str().unwrap()];
    assert!(output(&arguments).status.success());
}

#[test]
fn in_an_upgrade_the_successor_grants_claims_and_the_predecessor_finishes_its_runs() {
    let fleet = Fleet::new();
    let fixture = UpgradeFixture::new();
    let start = || {
        let vm = Server::new();
        let config = with_short_windows(&config(&format!(r#""vm": "{}","#, vm.address)))
            .replace("127.0.0.1:0", &fixture.json);
        let mut node = Node::with_fleet(&config, &fleet.file(1, &[1, 2, 3], ""), Some(&fixture.folder));
        let link = vm.interpreter("0");
        node.wait_until_listening();
        (node, link)
    };
    let (mut predecessor, mut predecessor_vm) = start();
    let mut others: Vec<(Node, Peer)> = [2, 3].map(|n| fleet.start(n, &[1, 2, 3], "")).into();
    for node in [&mut predecessor].into_iter().chain(others.iter_mut().map(|(node, _)| node)) {
        node.wait_for_log("fleet: replica table complete");
    }
    let mut before = predecessor.client();
    before.request(1, "a1", Some("k"), 1900);
    predecessor_vm.next_run();
    let (mut successor, mut successor_vm) = start();
    successor.wait_for_log("handover: completed");
    successor.wait_for_log("fleet: quorum reached");
    predecessor_vm.send_run_result(1, "a1", "done", "first");
    assert_eq!(before.read_any_line(), DRAINING);
    let result = before.read_line();
    assert!(result.contains("\"result\""), "a majority holds the result: {result}");
    let mut client = others[0].0.client();
    client.request(1, "b1", Some("k"), 1900);
    assert_eq!(client.read_line(), result);
    let mut client = successor.client();
    client.request(1, "c1", Some("l"), 1900);
    assert_eq!(successor_vm.next_run().0, "c1");
    predecessor.terminate();
    predecessor.assert_clean_exit();
    others[1].0.health();
}
