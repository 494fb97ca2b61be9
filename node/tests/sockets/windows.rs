//! Retries just inside and just outside a short idempotency window, which starts when the attempt that ran
//! was received.

use crate::helper::*;

/// Starts a node whose idempotency window, deadlines and latency objectives are three seconds: long enough
/// for a slow machine to begin a run.
fn start_node_with_short_window() -> (Node, Server, Peer) {
    let vm = Server::new();
    let text = config(&format!(r#""vm": "{}","#, vm.address))
        .replace("\"by_key\", \"window\": 120000000", "\"by_key\", \"window\": 3000000")
        .replace("\"deadline\": 120000000", "\"deadline\": 3000000")
        .replace("\"slo\": 60000000", "\"slo\": 3000000");
    let node = Node::start(&text, Some(UWSGI));
    let link = vm.interpreter("0");
    (node, vm, link)
}

const WINDOW_MS: u32 = 3_000;

/// Waits until the windows of all earlier attempts have passed, including the margin that the node adds.
fn wait_until_window_has_passed() {
    let passed_at = now_ms() + 4_000;
    while now_ms() < passed_at {
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
}

#[test]
fn a_retry_inside_the_idempotency_window_gets_the_first_result_and_one_outside_it_runs() {
    let (node, _vm, mut link) = start_node_with_short_window();
    let mut client = node.client();
    let first = request(1, "a1", "book", Some("k"), WINDOW_MS);
    client.send(&first);
    link.next_run();
    link.send_run_result(1, "a1", "done", "job 1");
    assert!(client.read_line().contains("am9iIDE="));
    // The attempt's receipt time counts, not the time at which it is read; this attempt has the receipt time
    // of the first.
    wait_until_window_has_passed();
    client.send(
        first
            .replace("\"id\":1", "\"id\":2")
            .replace("\"a1\"", "\"a2\"")
            .replace("\"limit\":3000", "\"limit\":90000"),
    );
    let late = client.read_line();
    assert!(late.contains("\"id\":2,\"result\":{\"content\":\"am9iIDE=\"}"), "{late}");
    client.request(3, "a3", Some("k"), WINDOW_MS);
    assert_eq!(link.next_run().0, "a3", "the window has passed, so this is a new request");
}

#[test]
fn no_retry_runs_while_the_first_attempt_runs_however_late() {
    let (node, _vm, mut link) = start_node_with_short_window();
    let mut client = node.client();
    client.request(1, "a1", Some("k"), WINDOW_MS);
    link.next_run();
    assert!(
        client.read_line().contains("-32001"),
        "the request timed out, but its run may still take effect"
    );
    wait_until_window_has_passed();
    client.request(2, "a2", Some("k"), WINDOW_MS);
    // The next run is that of another key.
    client.request(3, "b1", Some("l"), WINDOW_MS);
    assert_eq!(link.next_run().0, "b1");
    link.send_run_result(1, "a1", "done", "job 1");
    let coalesced = client.read_line();
    assert!(coalesced.contains("\"id\":2,\"result\":{\"content\":\"am9iIDE=\"}"), "{coalesced}");
}

#[test]
fn during_a_drain_a_retry_gets_the_result_of_the_run_and_a_new_key_is_rejected() {
    let (node, _vm, mut link) = Node::with_interpreter("", None);
    let (mut client, mut other) = (node.client(), node.client());
    client.request(1, "a1", Some("k"), LONG_LIMIT_MS);
    link.next_run();
    other.send("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"sta");
    while node.health() != "up" {}
    node.terminate();
    assert_eq!(client.read_any_line(), DRAINING);
    assert_eq!(other.read_any_line(), DRAINING);
    // The listener closes at the end of the drain grace, after which nothing new may run.
    while std::net::TcpStream::connect(node.json).is_ok() {}
    client.request(2, "a2", Some("k"), LONG_LIMIT_MS);
    client.request(3, "b1", Some("l"), LONG_LIMIT_MS);
    assert!(client.read_line().contains("\"id\":3,\"error\":{\"code\":-32011"));
    link.send_run_result(1, "a1", "done", "job 1");
    let mut answers = [client.read_line(), client.read_line()];
    answers.sort();
    insta::assert_snapshot!(answers.join("\n"), @r#"
    {"jsonrpc":"2.0","id":1,"result":{"content":"am9iIDE="}}
    {"jsonrpc":"2.0","id":2,"result":{"content":"am9iIDE="}}
    "#);
}

/// Guards against keys that are removed right after a standstill, before the retries that came within their window are read.
#[test]
fn a_retry_inside_the_window_that_is_read_after_a_long_standstill_does_not_run() {
    let (node, _vm, mut link) = start_node_with_short_window();
    let mut client = node.client();
    client.request(1, "a1", Some("k"), WINDOW_MS);
    link.next_run();
    link.send_run_result(1, "a1", "done", "job 1");
    assert!(client.read_line().contains("am9iIDE="));
    node.pause();
    client.request(2, "a2", Some("k"), LONG_LIMIT_MS);
    // Longer than the window and the 8 s for which expired keys were kept whatever happened.
    std::thread::sleep(std::time::Duration::from_secs(12));
    node.resume();
    let late = client.read_line();
    assert!(late.contains("\"id\":2,\"result\":{\"content\":\"am9iIDE=\"}"), "{late}");
}

/// Guards against a retry over uwsgi that came within the window and runs, because its receipt is taken to be when it is read.
#[test]
fn a_uwsgi_retry_inside_the_window_that_is_read_after_it_does_not_run() {
    let (mut node, _vm, mut link) = start_node_with_short_window();
    let address = node.uwsgi_address();
    let book = packet(&[("PATH_INFO", "/book"), ("HTTP_IDEMPOTENCY_KEY", "k")], "body");
    let mut first = Peer::connect(address);
    first.send(&book);
    let (id, ..) = link.next_run();
    link.send_run_result(1, &id, "done", "job 1");
    assert!(first.read_to_end().ends_with("job 1"));
    node.pause();
    let mut retry = Peer::connect(address);
    retry.send(&book);
    wait_until_window_has_passed();
    node.resume();
    assert!(retry.read_to_end().ends_with("job 1"));
}
