//! Tests of the virtual router that opens and closes the uwsgi listener, as seen by a peer router.

use std::net::UdpSocket;

use crate::helper::*;

/// An advertisement in the format of RFC 9568 for virtual router 9 at 127.0.1.1, with an interval of 100 ms.
fn advertisement(priority: u8) -> Vec<u8> {
    let mut bytes = vec![0x31, 9, priority, 1, 0, 10, 0, 0, 127, 0, 1, 1];
    let sum: u32 = bytes.chunks(2).map(|pair| u32::from(pair[0]) << 8 | u32::from(pair[1])).sum();
    let sum = !((sum & 0xffff) + (sum >> 16)) as u16;
    bytes[6..8].copy_from_slice(&sum.to_be_bytes());
    bytes
}

/// An address for advertisements that only the calling test uses.
fn vrrp_address() -> String {
    format!("{}:3112", unique_host())
}

/// A uwsgi file whose frontend has a host of its own, so that no other test listens there after it has
/// closed.
fn uwsgi_file(priority: u8, listen: &str, peer: &str) -> String {
    let ip = listen.split(':').next().unwrap();
    format!(
        "listen = '{ip}:0'\n[vrrp]\nvrid = 9\npriority = {priority}\ninterval_ms = 100\n\
         addresses = ['127.0.1.1']\nlisten = '{listen}'\npeers = ['{peer}']\n"
    )
}

/// Waits until the peer receives an advertisement with this priority.
fn wait_for_advertisement(peer: &UdpSocket, priority: u8) {
    while next_datagram(peer)[..] != advertisement(priority)[..] {}
}

#[test]
fn the_listener_is_open_only_while_active_and_requests_already_read_are_served_after_that() {
    let (listen, peer_address) = (vrrp_address(), vrrp_address());
    let peer = bind_udp(&peer_address);
    let file = uwsgi_file(100, &listen, &peer_address);
    let (mut node, _vm, mut vm) = Node::with_interpreter("", Some(&file));
    // No other router advertises, so this node becomes active.
    wait_for_advertisement(&peer, 100);
    let address = node.uwsgi_address();
    let mut client = Peer::connect(address);
    client.send(packet(&[("PATH_INFO", "/quote")], ""));
    let (id, ..) = vm.next_run();
    // A peer with a higher priority takes over the active role; a lower priority and invalid packets do not.
    for bad in [&advertisement(99)[..], &advertisement(200)[..11], b"\x21\x09", b""] {
        peer.send_to(bad, &listen).unwrap();
    }
    node.wait_for_log("vrrp: datagram dropped");
    peer.send_to(&advertisement(200), &listen).unwrap();
    node.wait_for_log("vrrp: role changed: vrid=9 role=Backup");
    node.wait_for_log("frontend: stopped listening: protocol=uwsgi");
    assert!(std::net::TcpStream::connect(address).is_err());
    vm.send_run_result(1, &id, "done", "still");
    assert!(client.read_to_end().ends_with("still"));
    // The peer gives up the active role with priority 0, so this node takes it and serves.
    peer.send_to(&advertisement(0), &listen).unwrap();
    node.wait_for_log("vrrp: role changed: vrid=9 role=Active");
    let address = node.uwsgi_address();
    let mut client = Peer::connect(address);
    client.send(packet(&[("PATH_INFO", "/status")], ""));
    assert!(client.read_to_end().contains("200 OK"));
    node.terminate();
    wait_for_advertisement(&peer, 0);
    node.assert_clean_exit();
}

#[test]
fn of_two_nodes_one_is_active_and_the_other_takes_over_when_it_leaves() {
    let (first, second) = (vrrp_address(), vrrp_address());
    let (mut low, _vm, _link) = Node::with_interpreter("", Some(&uwsgi_file(100, &second, &first)));
    low.uwsgi_address();
    let (mut high, _vm, _link) = Node::with_interpreter("", Some(&uwsgi_file(200, &first, &second)));
    // The node with the higher priority preempts the other.
    high.uwsgi_address();
    low.wait_for_log("vrrp: role changed: vrid=9 role=Backup");
    low.wait_for_log("frontend: stopped listening: protocol=uwsgi");
    high.terminate();
    high.assert_clean_exit();
    low.uwsgi_address();
}
