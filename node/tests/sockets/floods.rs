//! Clients that send or hold more than is theirs: memory and descriptors stay bounded, and others are served meanwhile.

use crate::helper::*;
use std::thread::spawn;

/// What one more client gets while the others go on.
fn is_served(node: &Node, link: &mut Peer, notice: u32) {
    let (mut client, txn) = (node.client(), format!("f{notice}"));
    client.request(1, &txn, None, LONG);
    assert_eq!(link.apply().0, txn);
    link.value(notice, &txn, "done", "x");
    assert!(client.line().contains("result"));
}

/// Memory of the program that a flood may bring with it: less than any one of the floods sends.
const MORE_KB: u64 = 24 * 1024;

#[test]
fn bytes_without_a_lines_end_take_no_memory_and_nobodys_turn() {
    let (node, _vm, mut link) = Node::with_interpreter("", None);
    let before = node.usage();
    let address = node.json;
    let floods: Vec<_> =
        (0..16).map(|_| spawn(move || while Peer::connect(address).takes("x".repeat(4 << 20)) {})).collect();
    is_served(&node, &mut link, 1);
    // Each is cut off: what it sends after the longest line is not read.
    floods.into_iter().for_each(|flood| flood.join().unwrap());
    assert!(node.usage().rss_kb < before.rss_kb + MORE_KB);
    is_served(&node, &mut link, 2);
}

#[test]
fn pipelined_health_checks_whose_answers_nobody_reads_are_not_read_on() {
    let (node, _vm, mut link) = Node::with_interpreter("", None);
    let before = node.usage();
    let address = node.json;
    let checks = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"status\"}\n".repeat(20_000);
    let floods: Vec<_> = (0..16)
        .map(|_| {
            let checks = checks.clone();
            spawn(move || {
                let mut flood = Peer::that_reads_little(address);
                while flood.takes(&checks) {}
            })
        })
        .collect();
    is_served(&node, &mut link, 1);
    // Who reads nothing is let go in the end.
    floods.into_iter().for_each(|flood| flood.join().unwrap());
    assert!(node.usage().rss_kb < before.rss_kb + MORE_KB);
    is_served(&node, &mut link, 2);
}

#[test]
fn idle_clients_that_fill_the_descriptors_keep_nobody_from_work_while_discovery_is_down() {
    let (vm, index, members) = (Server::new(), Server::new(), udp("127.0.0.1:0"));
    let service = members.local_addr().unwrap();
    let links = format!(
        r#""vm": "{}", "index": "{}", "members": "{service}", "limits": {{"sockets": 64}},"#,
        vm.address, index.address
    );
    let node = Node::start(&config(&links), None);
    let mut link = vm.interpreter("0");
    while node.status() != "up" {}
    // Nobody hears its reports.
    drop(members);
    let idle: Vec<Peer> = (0..200)
        .map(|_| {
            let mut client = node.client();
            client.say("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"status\"}\n");
            assert!(client.line().contains("true"));
            client
        })
        .collect();
    assert!(node.usage().files <= 64);
    // One more gets work done that needs a connection below, and checks are answered.
    let mut client = node.client();
    client.request(1, "a1", Some("k"), LONG);
    link.apply();
    link.say("AWAIT 1 a1 1\r\nc\r\n");
    let mut call = index.accept();
    call.command();
    call.say("a1 HIT 1\r\nr\r\n");
    assert_eq!(link.command().0[..2], ["RESOLVE", "a1"]);
    link.value(2, "a1", "done", "x");
    assert!(client.line().contains("result"));
    assert_eq!(node.status(), "up");
    // It still reports itself.
    assert_eq!(datagram(&udp(&service.to_string())), b"HB n1 UP");
    drop(idle);
}
