//! Clients that make the node hold as much as it lets them: the process stays within `limits.memory_mb`, and other clients
//! are served.

use std::net::SocketAddr;

use oakwind_fault_harness::wire::STATUS;

use crate::helper::*;

/// The least memory that a deployment gives to a node.
const MEMORY_LIMIT_MB: u64 = 32;
/// More clients than the node has connections for, on either frontend.
const CLIENTS: usize = 700;

/// A node with the least memory and the usual number of descriptors, and its interpreter.
struct LimitedNode {
    node: Node,
    uwsgi: SocketAddr,
    _vm: Server,
    link: Peer,
}

impl LimitedNode {
    fn start() -> LimitedNode {
        let limits = format!(r#""limits": {{"memory_mb": {MEMORY_LIMIT_MB}, "sockets": 1024}},"#);
        let (mut node, vm, link) = Node::with_interpreter(&limits, Some(UWSGI));
        LimitedNode { uwsgi: node.uwsgi_address(), node, _vm: vm, link }
    }

    /// Asserts that the process has never had more memory than its limit, and that both frontends serve other clients.
    fn assert_memory_was_within_limit(mut self) {
        let (mut json, mut uwsgi) = (self.node.client(), Peer::connect(self.uwsgi));
        json.request(1, "f1", None, LONG_LIMIT_MS);
        uwsgi.send(packet(&[("PATH_INFO", "/quote")], "body"));
        for notice in [1, 2] {
            let (id, ..) = self.link.next_run();
            self.link.send_run_result(notice, &id, "done", "x");
        }
        assert!(json.read_line().contains("result"));
        assert!(uwsgi.read_to_end().starts_with("HTTP/1.1 200 "));
        let peak_kb = self.node.usage().peak_memory_kb;
        assert!(peak_kb <= MEMORY_LIMIT_MB * 1024, "the process had {peak_kb} KB");
    }
}

/// Connects many clients, each of which sends `part` and then nothing more.
fn connect_clients(address: SocketAddr, part: &[u8]) -> Vec<Peer> {
    let connect = |_| {
        let mut client = Peer::connect(address);
        // The node may have closed the connection for a newer one.
        client.accepts(part);
        client
    };
    (0..CLIENTS).map(connect).collect()
}

/// Guards against packets whose variables take many times their own length in memory, because each gets an entry in a
/// table.
#[test]
fn uwsgi_clients_that_send_thousands_of_short_variables_each_keep_the_memory_within_its_limit() {
    let limited = LimitedNode::start();
    let packet = packet(&vec![("", ""); 4000], "body");
    let clients = connect_clients(limited.uwsgi, &packet[..packet.len() - 1]);
    limited.assert_memory_was_within_limit();
    drop(clients);
}

/// Guards against incomplete requests that together take more memory than the process has, although each of them is within
/// its own limits.
#[test]
fn clients_of_both_frontends_that_stop_within_a_large_request_keep_the_memory_within_its_limit() {
    let limited = LimitedNode::start();
    let line = format!("{{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"{}", "x".repeat(16_000));
    let packet = packet(&vec![("", ""); 4000], &"x".repeat(64 * 1024));
    let json = connect_clients(limited.node.json, line.as_bytes());
    let uwsgi = connect_clients(limited.uwsgi, &packet[..packet.len() - 1]);
    limited.assert_memory_was_within_limit();
    drop((json, uwsgi));
}

/// Guards against lines that stay in memory for as long as their requests are open, because the ids of the requests are
/// slices of them.
#[test]
fn open_requests_keep_nothing_of_their_lines_but_the_fields_that_are_needed() {
    const OPEN_REQUESTS: u32 = 32;
    const PADDING_BYTES: usize = 15_000;
    let limited = LimitedNode::start();
    let padding = format!("\"item\":\"{}\",\"content\"", "x".repeat(PADDING_BYTES));
    let mut clients: Vec<Peer> = (0..100).map(|_| limited.node.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let padded = |id| {
            let txn = format!("{number:x}{id:08x}");
            request(id, &txn, "quote", None, LONG_LIMIT_MS).replace("\"content\"", &padding)
        };
        client.send((1..=OPEN_REQUESTS).map(padded).collect::<String>());
    }
    for client in &mut clients {
        // The response to a later message shows that the node has read all of the requests.
        client.send(STATUS.replace(":1,", ":100,"));
        while !client.read_line().contains("\"up\"") {}
    }
    let peak_kb = limited.node.usage().peak_memory_kb;
    assert!(peak_kb <= MEMORY_LIMIT_MB * 1024, "the process had {peak_kb} KB");
}
