//! Tests of shutdowns, closed connections and handovers while requests are still pending (docs/endings.md).

use crate::helper::*;
use oakwind_fault_harness::wire::STATUS;
use std::io::Write;
use std::os::unix::net::{UnixListener, UnixStream};

/// Starts a node with a changed configuration and a stand-in interpreter whose link is up.
fn start_node_with(change: impl Fn(String) -> String) -> (Node, Server, Peer) {
    let vm = Server::new();
    let node = Node::start(&change(config(&format!(r#""vm": "{}","#, vm.address))), None);
    let link = vm.interpreter("0");
    (node, vm, link)
}

#[test]
fn data_received_after_an_idle_connection_is_closed_is_neither_run_nor_reset() {
    let (node, _vm, mut link) =
        start_node_with(|text| text.replace("\"idle\": 30000000", "\"idle\": 100000"));
    let mut idle = node.client();
    idle.request(1, "a1", None, LONG_LIMIT_MS);
    link.next_run();
    link.send_run_result(1, "a1", "done", "x");
    assert!(idle.read_line().contains("result"));
    assert_eq!(idle.read_any_line(), DRAINING);
    assert_eq!(idle.read_to_end(), "", "the node closes the connection");
    idle.request(2, "a2", None, LONG_LIMIT_MS);
    assert!(idle.accepts("half a li"), "data that was in transit causes no reset");
    let mut other = node.client();
    other.request(1, "b1", None, LONG_LIMIT_MS);
    assert_eq!(link.next_run().0, "b1", "the request after the close was not run");
}

#[test]
fn a_line_begun_before_the_shutdown_notice_is_served_once_it_is_complete() {
    let (node, _vm, mut link) = start_node_with(with_drain_grace(30_000_000));
    let mut client = node.client();
    let line = request(1, "a1", "quote", None, LONG_LIMIT_MS);
    client.send(&line[..40]);
    // A response on another connection shows that the node has read this half as well.
    while node.health() != "up" {}
    node.terminate();
    assert_eq!(client.read_any_line(), DRAINING);
    client.send(&line[40..]);
    link.next_run();
    link.send_run_result(1, "a1", "done", "x");
    assert!(client.read_line().contains("\"id\":1,\"result\""));
}

#[test]
fn a_request_completed_after_the_drain_grace_is_rejected_and_never_run() {
    let (node, _vm, mut link) = start_node_with(with_drain_grace(0));
    let mut client = node.client();
    // A receipt time in the future is treated as now.
    let line = request(1, "a1", "quote", None, LONG_LIMIT_MS).replace("\"door\":", "\"door\":1");
    client.send(&line[..40]);
    while node.health() != "up" {}
    node.terminate();
    assert_eq!(client.read_any_line(), DRAINING);
    client.send(&line[40..]);
    assert!(client.read_line().contains("\"id\":1,\"error\":{\"code\":-32011"));
    drop(client);
    node.assert_clean_exit();
    assert!(!link.read_to_end().contains("APPLY"));
}

#[test]
fn connections_that_were_queued_before_the_listener_closed_are_served() {
    let (node, _vm, _link) = start_node_with(with_drain_grace(0));
    while node.health() != "up" {}
    // More connections than the runtime accepts in one poll of a task.
    node.pause();
    let mut clients: Vec<Peer> = (0..400).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|client| client.send(STATUS));
    node.terminate();
    node.resume();
    for client in &mut clients {
        assert!(client.read_line().contains("\"up\""));
    }
    drop(clients);
    node.assert_clean_exit();
}

#[test]
fn a_client_that_reads_too_slowly_is_disconnected_and_delays_no_others() {
    let (node, _vm, mut link) = Node::with_interpreter("", None);
    let mut slow = Peer::with_small_receive_buffer(node.json);
    let result = "r".repeat(250_000);
    let all: String =
        (1..=32).map(|id| request(id, &format!("a{id}"), "quote", None, LONG_LIMIT_MS)).collect();
    slow.send(all);
    for id in 1..=32 {
        let (txn, ..) = link.next_run();
        link.send_run_result(id, &txn, "done", &result);
    }
    // The client keeps reading slowly; a failed write shows that the node has closed the connection.
    while slow.accepts("\n") {
        slow.read_bytes(4096);
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    let mut other = node.client();
    other.request(1, "b1", None, LONG_LIMIT_MS);
    link.next_run();
    link.send_run_result(33, "b1", "done", "x");
    assert!(other.read_line().contains("result"));
}

/// Starts a successor that takes over at this address from a predecessor whose part the test plays. Returns
/// the node, its interpreter, their link and the handover connection, over which the predecessor has sent
/// nothing yet.
fn start_successor(
    fixture: &UpgradeFixture,
    change: impl Fn(String) -> String,
) -> (Node, Server, Peer, UnixStream) {
    let socket = fixture.json.replace(':', "_");
    let predecessor = UnixListener::bind(fixture.folder.join(format!("oakwind-{socket}.sock"))).unwrap();
    let vm = Server::new();
    let text = config(&format!(r#""vm": "{}","#, vm.address)).replace("127.0.0.1:0", &fixture.json);
    let mut node = Node::spawn(&change(text), Some(UWSGI), Some(&fixture.folder));
    // The first connection only checks whether a predecessor serves here; the second one starts the handover.
    drop(predecessor.accept().unwrap());
    let link = vm.interpreter("0");
    node.wait_until_listening();
    let (handover, _) = predecessor.accept().unwrap();
    (node, vm, link, handover)
}

/// Guards against repeats of bookings that have run and are rejected as never run, because a successor took "the keys
/// have not come" for "the key has not run".
#[test]
fn a_predecessor_that_is_slow_to_hand_over_its_keys_delays_no_response_and_no_key_is_rejected_meanwhile() {
    let fixture = UpgradeFixture::new();
    let (mut node, _vm, mut link, mut predecessor) = start_successor(&fixture, |text| text);
    let mut client = node.client();
    client.request(1, "a1", Some("slow"), 300);
    assert!(client.read_line().contains("\"id\":1,\"error\":{\"code\":-32001"), "the key may have run");
    let mut uwsgi = Peer::connect(node.uwsgi_address());
    let deadline = (now_ms() + 300).to_string();
    let variables =
        [("PATH_INFO", "/book"), ("HTTP_IDEMPOTENCY_KEY", "slow"), ("HTTP_X_DEADLINE", &deadline[..])];
    uwsgi.send(packet(&variables, "body"));
    assert!(uwsgi.read_to_end().starts_with("HTTP/1.1 504 "), "the key may have run");
    client.request(2, "a2", Some("known"), LONG_LIMIT_MS);
    predecessor.write_all(b"SEED 1\r\nKEY 1 99999999999999 done 5 8\r\nknownjob\r\nALL\r\n").unwrap();
    node.wait_for_log("handover: table received from the predecessor: keys=1");
    // The buffered attempt is decided on now and rejected: the key was first used with another body.
    assert!(client.read_line().contains("-32602"));
    client.request(3, "a3", Some("fresh"), LONG_LIMIT_MS);
    assert_eq!(link.next_run().0, "a3");
}

/// Guards against bookings that run a second time because a successor served without the keys of a predecessor that was
/// silent for some seconds and lived.
#[test]
fn a_successor_waits_for_the_keys_of_a_silent_predecessor_for_as_long_as_it_lives() {
    let fixture = UpgradeFixture::new();
    let (mut node, _vm, mut link, mut predecessor) = start_successor(&fixture, |text| text);
    let mut client = node.client();
    client.request(1, "a1", Some("known"), LONG_LIMIT_MS);
    // Longer than successors once waited. Nothing else shows that the wait does not end by itself.
    std::thread::sleep(std::time::Duration::from_millis(2500));
    client.request(2, "a2", Some("known"), LONG_LIMIT_MS);
    client.request(3, "a3", None, LONG_LIMIT_MS);
    assert_eq!(link.next_run().0, "a3", "requests without a key are served meanwhile, and no others");
    predecessor.write_all(b"SEED 1\r\nKEY 1 99999999999999 done 5 8\r\nknownjob\r\nALL\r\n").unwrap();
    node.wait_for_log("handover: completed");
    // The attempts are matched against the table now: the key was first used with another body.
    for _ in 0..2 {
        assert!(client.read_line().contains("-32602"));
    }
    client.request(4, "a4", Some("fresh"), LONG_LIMIT_MS);
    assert_eq!(link.next_run().0, "a4");
}

/// Guards against bookings that run a second time because a predecessor was killed before it sent its keys, and "no keys
/// came" was taken for "no key has run".
#[test]
fn keys_lost_with_a_predecessor_that_was_killed_do_not_run_again() {
    let fixture = UpgradeFixture::new();
    let (mut node, _vm, mut link, predecessor) = start_successor(&fixture, |text| text);
    let mut client = node.client();
    client.request(1, "a1", Some("buffered"), LONG_LIMIT_MS);
    client.send(STATUS.replace(":1,", ":2,"));
    assert!(client.read_line().contains("\"id\":2"), "the node has read both messages");
    drop(predecessor);
    node.wait_for_log(
        "handover: keys were lost with the predecessor, keyed requests fail until they have expired",
    );
    assert!(client.read_line().contains("\"id\":1,\"error\":{\"code\":-32000"), "the key may have run");
    client.request(3, "a3", Some("later"), LONG_LIMIT_MS);
    assert!(client.read_line().contains("\"id\":3,\"error\":{\"code\":-32000"), "so may this one");
    client.request(4, "a4", None, LONG_LIMIT_MS);
    assert_eq!(link.next_run().0, "a4", "requests without a key are served");
}

/// Guards against bookings that run a second time at a third process, which got the empty table of a second one and not
/// that the keys of the first were lost.
#[test]
fn a_further_successor_learns_that_keys_were_lost() {
    let fixture = UpgradeFixture::new();
    let (mut second, _vm, _link, predecessor) = start_successor(&fixture, |text| text);
    drop(predecessor);
    second.wait_for_log("handover: keys were lost with the predecessor");
    let (mut third, mut link) = fixture.start();
    third.wait_for_log("handover: completed");
    second.terminate();
    second.assert_clean_exit();
    let mut client = third.client();
    client.request(1, "a1", Some("lost"), LONG_LIMIT_MS);
    assert!(client.read_line().contains("\"id\":1,\"error\":{\"code\":-32000"), "the key may have run");
    let uwsgi = fixture.uwsgi_request("lost").read_to_end();
    assert!(uwsgi.starts_with("HTTP/1.1 500 "), "over uwsgi as well");
    client.request(2, "a2", None, LONG_LIMIT_MS);
    assert_eq!(link.next_run().0, "a2", "requests without a key are served");
}

#[test]
fn a_shutdown_notice_before_the_keys_are_handed_over_leaves_no_attempt_without_a_response() {
    let fixture = UpgradeFixture::new();
    // The stop time is shorter than the time for which the successor waits for the keys.
    let (node, _vm, _link, _predecessor) = start_successor(&fixture, |text| text.replace("30000", "1000"));
    let mut client = node.client();
    client.request(1, "a1", Some("k"), LONG_LIMIT_MS);
    client.send(STATUS.replace(":1,", ":2,"));
    assert!(client.read_line().contains("\"id\":2"), "the node has read both messages");
    node.terminate();
    assert!(client.read_line().contains("\"id\":1,\"error\":{\"code\":-32000"), "the key may have run");
}

#[test]
fn a_connection_above_the_limit_is_closed_without_a_reset() {
    let (mut node, _vm, _link) =
        start_node_with(|text| text.replace("\"seed\"", "\"limits\": {\"sockets\": 40}, \"seed\""));
    let mut busy: Vec<Peer> = (0..10).map(|_| node.client()).collect();
    for (index, client) in busy.iter_mut().enumerate() {
        client.request(1, &format!("a{index}"), None, LONG_LIMIT_MS);
        client.send(STATUS.replace(":1,", ":2,"));
        assert!(client.read_line().contains("\"id\":2"), "its request is open");
    }
    // The client's data arrives before the node accepts the connection.
    node.pause();
    let mut late = node.client();
    late.send(STATUS);
    node.resume();
    assert_eq!(late.read_to_end(), "");
    node.wait_for_log("frontend: connection rejected, all connections are busy");
}

#[test]
fn a_uwsgi_request_begun_before_the_shutdown_notice_is_served_once_it_is_complete() {
    let vm = Server::new();
    let text = with_drain_grace(30_000_000)(config(&format!(r#""vm": "{}","#, vm.address)));
    let mut node = Node::start(&text, Some(&format!("listen = '{}:0'", unique_host())));
    let address = node.uwsgi_address();
    let mut link = vm.interpreter("0");
    let mut client = Peer::connect(address);
    let whole = packet(&[("PATH_INFO", "/quote")], "body");
    client.send(&whole[..9]);
    while node.health() != "up" {}
    node.terminate();
    while node.health() != "down" {}
    client.send(&whole[9..]);
    let (id, ..) = link.next_run();
    link.send_run_result(1, &id, "done", "late");
    assert!(client.read_to_end().ends_with("late"));
}

#[test]
fn a_node_rejects_requests_at_once_until_its_interpreter_is_ready() {
    let vm = Server::new();
    let node = Node::start(&config(&format!(r#""vm": "{}","#, vm.address)), None);
    let mut link = vm.accept();
    link.read_line();
    assert_eq!(node.health(), "down");
    let mut client = node.client();
    client.request(1, "a1", None, LONG_LIMIT_MS);
    assert!(client.read_line().contains("-32011"), "the interpreter is not ready yet");
    link.send("BANNER fresh 0\r\n");
    while node.health() != "up" {}
}

#[test]
fn a_node_with_a_minimal_stop_time_still_writes_all_responses_to_a_reading_client() {
    let (node, _vm, mut link) = start_node_with(|text| text.replace("30000", "1"));
    let (mut slow, mut other) = (Peer::with_small_receive_buffer(node.json), node.client());
    let all: String =
        (1..=32).map(|id| request(id, &format!("a{id}"), "quote", None, LONG_LIMIT_MS)).collect();
    slow.send(all);
    let result = "r".repeat(250_000);
    for notice in 1..=32 {
        let (txn, ..) = link.next_run();
        link.send_run_result(notice, &txn, "done", &result);
    }
    // The response to this request shows that the node has processed all earlier results.
    other.request(1, "b1", None, LONG_LIMIT_MS);
    link.next_run();
    link.send_run_result(33, "b1", "done", "x");
    assert!(other.read_line().contains("result"));
    node.terminate();
    assert_eq!(other.read_any_line(), DRAINING);
    let answers = slow.read_to_end();
    assert_eq!(answers.lines().filter(|line| line.contains("\"result\"") && line.ends_with('}')).count(), 32);
    node.assert_clean_exit();
}

#[test]
fn an_interpreter_is_recognized_after_the_clock_steps_ahead() {
    let vm = Server::new();
    let path = file("config.json", &config(&format!(r#""vm": "{}","#, vm.address)));
    let mut command = oakwind(&["serve", "--config", path.to_str().unwrap()]);
    // The clock steps an hour ahead one second after the start.
    command.env("OAKWIND_REHEARSED_CLOCK", "1000:3600000");
    let mut node = Node::from_command(command);
    node.wait_until_listening();
    let mut link = vm.interpreter("0");
    let mut client = node.client();
    // A receipt time in the future is treated as now, whether or not the clock has stepped yet.
    client.send(request(1, "a1", "book", Some("k"), LONG_LIMIT_MS).replace("\"door\":", "\"door\":1"));
    link.next_run();
    node.wait_for_log("dispatcher: clock stepped ahead");
    drop(link);
    let mut link = vm.accept();
    link.read_line();
    // This uptime means a start no later than the one reported before, however long the test takes.
    link.send("BANNER seasoned 600000\r\n");
    assert_eq!(link.next_run().0, "a1", "its run continues");
}

#[test]
fn processes_that_start_together_are_each_ready_only_once_their_interpreter_is() {
    let vms: Vec<Server> = (0..24).map(|_| Server::new()).collect();
    let start = |vm: &Server| {
        // The heartbeats go to an address on which nothing listens.
        let links = format!(r#""vm": "{}", "members": "{UNREACHABLE}", "ops": "127.0.0.1:0","#, vm.address);
        Node::spawn(&config(&links), None, None)
    };
    let mut nodes: Vec<Node> = vms.iter().map(start).collect();
    let mut links: Vec<Peer> = vms.iter().map(Server::accept).collect();
    for node in &mut nodes {
        node.wait_until_listening();
        assert_eq!(node.health(), "down");
    }
    links.iter_mut().for_each(|link| link.send("BANNER fresh 0\r\n"));
    for node in &mut nodes {
        let ops = node.admin_address();
        while !admin_call(ops, "GET /ops/readiness").starts_with("HTTP/1.1 200 ") {}
        while node.health() != "up" {}
    }
}
