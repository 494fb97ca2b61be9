//! Clients that send too much or hold too many connections: memory and descriptors stay bounded, and other
//! clients are served meanwhile.

use crate::helper::*;
use std::net::SocketAddr;
use std::thread::spawn;

/// Asserts that a request on a new connection is served.
fn assert_other_client_is_served(node: &Node, link: &mut Peer, notice: u32) {
    let (mut client, txn) = (node.client(), format!("f{notice}"));
    client.request(1, &txn, None, LONG_LIMIT_MS);
    assert_eq!(link.next_run().0, txn);
    link.send_run_result(notice, &txn, "done", "x");
    assert!(client.read_line().contains("result"));
}

/// Upper bound on the memory that a flood may add to the program, in KB; each flood sends more than this.
const MAX_ADDED_KB: u64 = 24 * 1024;

/// Floods the node from 16 threads at once and asserts that other clients are served during and after the
/// flood and that the memory of the program stays bounded. `flood` returns once the node accepts no more of
/// its data.
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
fn data_without_a_line_end_uses_bounded_memory_and_delays_no_others() {
    // The node closes each connection: it reads nothing beyond the longest permitted line.
    assert_flood_is_bounded(|address| while Peer::connect(address).accepts("x".repeat(4 << 20)) {});
}

#[test]
fn pipelined_health_checks_with_unread_responses_use_bounded_memory() {
    let checks = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"status\"}\n".repeat(20_000);
    // The node closes each connection in the end, since its client reads nothing.
    assert_flood_is_bounded(move |address| {
        let mut client = Peer::with_small_receive_buffer(address);
        while client.accepts(&checks) {}
    });
}

/// Guards against tables that grow with every name that a client sends, and against a client that is known to the node and
/// may therefore send invalid messages without an end.
#[test]
fn messages_under_ever_new_names_from_a_known_client_use_bounded_memory_and_delay_no_others() {
    const MESSAGES: u32 = 200_000;
    let (node, _vm, mut link) = Node::with_interpreter("", None);
    while node.health() != "up" {}
    let before = node.usage();
    let mut known = node.client();
    known.send("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"status\"}\n");
    let flood = spawn(move || {
        // Notifications get no responses.
        let message = |name| format!("{{\"jsonrpc\":\"2.0\",\"method\":\"{name:x}{}\"}}\n", "m".repeat(200));
        (0..MESSAGES).for_each(|name| known.send(message(name)));
        known
    });
    assert_other_client_is_served(&node, &mut link, 1);
    let mut known = flood.join().unwrap();
    assert!(known.read_line().contains("\"up\""));
    assert!(node.usage().memory_kb < before.memory_kb + MAX_ADDED_KB);
    assert_other_client_is_served(&node, &mut link, 2);
}

#[test]
fn idle_clients_that_use_up_the_descriptors_block_no_others_while_the_membership_service_is_down() {
    let (vm, index, members) = (Server::new(), Server::new(), bind_udp("127.0.0.1:0"));
    let service = members.local_addr().unwrap();
    let links = format!(
        r#""vm": "{}", "index": "{}", "members": "{service}", "limits": {{"sockets": 64}},"#,
        vm.address, index.address
    );
    let node = Node::start(&config(&links), None);
    let mut link = vm.interpreter("0");
    while node.health() != "up" {}
    // From here on the heartbeats go to an address on which nothing listens.
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
    // A request on a new connection that needs a connection to a backend is served, and health checks pass.
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
    // The node still sends heartbeats.
    assert_eq!(next_datagram(&bind_udp(&service.to_string())), b"HB n1 UP");
    drop(idle);
}

#[test]
fn connections_that_are_evicted_in_a_burst_close_before_the_descriptors_run_out() {
    let vm = Server::new();
    let links = format!(r#""vm": "{}", "limits": {{"sockets": 64}},"#, vm.address);
    let config_file = file("config.json", &config(&links));
    let program = oakwind(&["serve", "--config", config_file.to_str().unwrap()]);
    // The system enforces the descriptor limit: an accept above it fails and is logged.
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
    // Connections queue up while the process is paused, so on resuming it has to accept all of them at once.
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
    assert!(!node.has_logged("accept failed"), "an accept failed for lack of a descriptor");
    drop(clients);
}
