//! Clients that send or hold more than their share: memory and descriptors stay bounded, and others are served meanwhile.

use crate::helper::*;
use std::net::SocketAddr;
use std::thread::spawn;

/// One more client gets its request served.
fn assert_other_client_is_served(node: &Node, link: &mut Peer, notice: u32) {
    let (mut client, txn) = (node.client(), format!("f{notice}"));
    client.request(1, &txn, None, LONG_LIMIT_MS);
    assert_eq!(link.next_run().0, txn);
    link.send_run_result(notice, &txn, "done", "x");
    assert!(client.read_line().contains("result"));
}

/// Memory that a flood may add to the program, in KB: less than any of the floods sends.
const MAX_ADDED_KB: u64 = 24 * 1024;

/// Floods the node from 16 threads at once; `flood` returns once the node accepts no more of it. Meanwhile and afterwards
/// other clients are served, and the memory of the program stays bounded.
fn assert_flood_is_bounded(flood: impl Fn(SocketAddr) + Clone + Send + 'static) {
    let (node, _vm, mut link) = Node::with_interpreter("", None);
    let before = node.usage();
    let address = node.json;
    let start = |_| {
        let flood = flood.clone();
        spawn(move || flood(address))
    };
    let floods: Vec<_> = (0..16).map(start).collect();
    assert_other_client_is_served(&node, &mut link, 1);
    floods.into_iter().for_each(|flood| flood.join().unwrap());
    assert!(node.usage().memory_kb < before.memory_kb + MAX_ADDED_KB);
    assert_other_client_is_served(&node, &mut link, 2);
}

#[test]
fn bytes_without_a_line_end_take_no_memory_and_delay_nobody() {
    // Each connection is closed: what comes after the longest line is not read.
    assert_flood_is_bounded(|address| while Peer::connect(address).accepts("x".repeat(4 << 20)) {});
}

#[test]
fn pipelined_health_checks_whose_responses_nobody_reads_are_not_read_on() {
    let checks = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"status\"}\n".repeat(20_000);
    // Each connection is closed in the end, as its client reads nothing.
    assert_flood_is_bounded(move |address| {
        let mut client = Peer::with_small_receive_buffer(address);
        while client.accepts(&checks) {}
    });
}

#[test]
fn idle_clients_that_use_up_the_descriptors_block_nobody_while_the_membership_service_is_down() {
    let (vm, index, members) = (Server::new(), Server::new(), bind_udp("127.0.0.1:0"));
    let service = members.local_addr().unwrap();
    let links = format!(
        r#""vm": "{}", "index": "{}", "members": "{service}", "limits": {{"sockets": 64}},"#,
        vm.address, index.address
    );
    let node = Node::start(&config(&links), None);
    let mut link = vm.interpreter("0");
    while node.health() != "up" {}
    // Nobody receives its heartbeats.
    drop(members);
    let idle: Vec<Peer> = (0..200)
        .map(|_| {
            let mut client = node.client();
            client.send("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"status\"}\n");
            assert!(client.read_line().contains("true"));
            client
        })
        .collect();
    assert!(node.usage().descriptors <= 64);
    // One more client gets a request served that needs a connection to a backend, and health checks pass.
    let mut client = node.client();
    client.request(1, "a1", Some("k"), LONG_LIMIT_MS);
    link.next_run();
    link.send("AWAIT 1 a1 1\r\nc\r\n");
    let mut call = index.accept();
    call.next_command();
    call.send("a1 HIT 1\r\nr\r\n");
    assert_eq!(link.next_command().0[..2], ["RESOLVE", "a1"]);
    link.send_run_result(2, "a1", "done", "x");
    assert!(client.read_line().contains("result"));
    assert_eq!(node.health(), "up");
    // It still sends heartbeats.
    assert_eq!(next_datagram(&bind_udp(&service.to_string())), b"HB n1 UP");
    drop(idle);
}

#[test]
fn connections_that_are_evicted_in_a_burst_close_before_the_descriptors_run_out() {
    let vm = Server::new();
    let links = format!(r#""vm": "{}", "limits": {{"sockets": 64}},"#, vm.address);
    let config_file = file("config.json", &config(&links));
    let program = oakwind(&["serve", "--config", config_file.to_str().unwrap()]);
    // The system holds the process to its limit: with one descriptor more an accept fails, which is logged.
    let mut limited = std::process::Command::new("/bin/sh");
    limited
        .args(["-c", r#"ulimit -n 64 && exec "$0" "$@""#])
        .arg(program.get_program())
        .args(program.get_args());
    limited.env_remove("BALANCER_CONFIG").env_remove("TMPDIR").stdin(std::process::Stdio::null());
    let mut node = Node::from_command(limited);
    node.wait_until_listening();
    let _link = vm.interpreter("0");
    while node.health() != "up" {}
    // While the process is stopped, connections queue up; it meets all of them at once.
    node.pause();
    let clients: Vec<Peer> = (0..100)
        .map(|_| {
            let mut client = node.client();
            client.send("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"status\"}\n");
            client
        })
        .collect();
    node.resume();
    assert_eq!(node.health(), "up");
    assert!(!node.has_logged("accept failed"), "a descriptor was missing");
    drop(clients);
}
