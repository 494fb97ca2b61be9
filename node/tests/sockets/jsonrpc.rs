//! Tests of the JSON-RPC frontend.

use crate::helper::*;

#[test]
fn a_request_runs_once_with_its_body_and_gets_the_result_unchanged() {
    let (node, _vm, mut vm) = Node::with_interpreter("", None);
    let mut client = node.client();
    client.request(7, "9b1f03aa5c7e2d41", None, LONG_LIMIT_MS);
    assert_eq!(vm.next_run(), ("9b1f03aa5c7e2d41".into(), "quote".into(), "body".into()));
    vm.send_run_result(1, "9b1f03aa5c7e2d41", "done", "re\r\nsult");
    insta::assert_snapshot!(client.read_line(), @r#"{"jsonrpc":"2.0","id":7,"result":{"content":"cmUNCnN1bHQ="}}"#);
    client.request(8, "aa", None, LONG_LIMIT_MS);
    vm.next_run();
    vm.send_run_result(2, "aa", "crashed", "");
    insta::assert_snapshot!(client.read_line(), @r#"{"jsonrpc":"2.0","id":8,"error":{"code":-32000,"message":"failed"}}"#);
}

#[test]
fn a_response_after_a_long_run_is_written_completely() {
    let (node, _vm, mut vm) = Node::with_interpreter("", None);
    let mut client = node.client();
    client.request(1, "a1", Some("k"), LONG_LIMIT_MS);
    vm.next_run();
    // Longer than a response may stay unread: that time starts only when the response is written.
    std::thread::sleep(std::time::Duration::from_millis(5_200));
    vm.send_run_result(1, "a1", "done", "job 5");
    insta::assert_snapshot!(client.read_line(), @r#"{"jsonrpc":"2.0","id":1,"result":{"content":"am9iIDU="}}"#);
}

/// Invalid lines, with one valid health check among them.
fn invalid_lines() -> Vec<String> {
    let method_call = |id: u32, method: &str, extra: &str| {
        format!(
            r#"{{"jsonrpc":"2.0","id":{id},"method":"{method}","params":{{"txn":"a","door":1,"limit":1,"ram":1{extra}}}}}"#
        )
    };
    let lines: [&str; 20] = [
        "{\"jsonrpc\":",
        "\u{0}\u{fffd}",
        "[]",
        r#"{"id":1}"#,
        r#"{"jsonrpc":"1.0","id":1,"method":"quote"}"#,
        r#"{"jsonrpc":"2.0","method":"quote","params":{"txn":"a","door":1,"limit":1,"ram":1}}"#,
        r#"{"jsonrpc":"2.0","id":2,"method":"paint","params":{}}"#,
        r#"{"jsonrpc":"2.0","id":3,"method":"quote","params":{"txn":"a"}}"#,
        &method_call(4, "quote", "").replace("\"a\"", "\"a b\""),
        &method_call(5, "book", ""),
        &method_call(6, "quote", r#","content":"?""#),
        r#"{"jsonrpc":"2.0","id":8,"method":"status"}"#,
        r#"{"jsonrpc":"2.0","id":9,"method":"withdraw","params":{}}"#,
        &method_call(10, "quote", "").replace("\"ram\":1", "\"ram\":2000"),
        &method_call(11, "quote", "").replace("\"limit\":1", "\"limit\":-1"),
        &method_call(12, "quote", r#","standing":1.5"#),
        &method_call(13, "quote", r#","lb":-3"#),
        &method_call(14, "quote", r#","team":"nobody""#),
        &method_call(15, "book", &format!(r#","unique":"{}""#, "k".repeat(65))),
        &method_call(16, "quote", &format!(r#","content":"{}""#, "AAAA".repeat(700))),
    ];
    lines.map(String::from).to_vec()
}

#[test]
fn invalid_lines_get_the_standard_errors_and_the_connection_stays_open() {
    let (mut node, _vm, _link) = Node::with_interpreter("", None);
    let mut client = node.client();
    let mut responses = Vec::new();
    for line in invalid_lines() {
        client.send(format!("{line}\n"));
        responses.push(client.read_line());
    }
    insta::assert_snapshot!(responses.join("\n"), @r#"
    {"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"not JSON"}}
    {"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"not JSON"}}
    {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"not a request"}}
    {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"not a JSON-RPC 2.0 request"}}
    {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"not a JSON-RPC 2.0 request"}}
    {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"a request has an id"}}
    {"jsonrpc":"2.0","id":2,"error":{"code":-32601,"message":"no such method"}}
    {"jsonrpc":"2.0","id":3,"error":{"code":-32602,"message":"a field is missing or of another kind"}}
    {"jsonrpc":"2.0","id":4,"error":{"code":-32602,"message":"txn is up to 16 hex digits"}}
    {"jsonrpc":"2.0","id":5,"error":{"code":-32602,"message":"a request of this class names its unique key"}}
    {"jsonrpc":"2.0","id":6,"error":{"code":-32602,"message":"content is base64"}}
    {"jsonrpc":"2.0","id":8,"result":{"up":true}}
    {"jsonrpc":"2.0","id":9,"error":{"code":-32602,"message":"withdraw names an id or a txn"}}
    {"jsonrpc":"2.0","id":10,"error":{"code":-32602,"message":"ram is above 0 and under 2000"}}
    {"jsonrpc":"2.0","id":11,"error":{"code":-32602,"message":"no such time"}}
    {"jsonrpc":"2.0","id":12,"error":{"code":-32602,"message":"standing is from 0 to under 1"}}
    {"jsonrpc":"2.0","id":13,"error":{"code":-32602,"message":"a field is missing or of another kind"}}
    {"jsonrpc":"2.0","id":14,"error":{"code":-32602,"message":"no such team"}}
    {"jsonrpc":"2.0","id":15,"error":{"code":-32602,"message":"a request of this class names its unique key"}}
    {"jsonrpc":"2.0","id":16,"error":{"code":-32602,"message":"content is 2 KiB at most"}}
    "#);
    // An invalid notification gets no response: the next response is that of the health check after it.
    client.send("{\"jsonrpc\":\"2.0\",\"method\":\"withdraw\"}\n{\"jsonrpc\":\"2.0\",\"id\":9,\"method\":\"status\"}\n");
    assert!(client.read_line().contains("\"id\":9"));
    client.send("x".repeat(20_000));
    insta::assert_snapshot!(client.read_line(), @r#"{"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"the line is too long"}}"#);
    assert_eq!(client.read_line(), "", "the connection is closed");
    node.wait_for_log("jsonrpc: message rejected");
}

#[test]
fn a_client_that_sends_only_invalid_or_incomplete_lines_or_nothing_is_disconnected() {
    let (node, _vm, _link) = Node::with_interpreter("", None);
    let mut client = node.client();
    client.send("?\n".repeat(100));
    assert_eq!(client.read_to_end().lines().count(), 17);
    let (mut silent, mut slow) = (node.client(), node.client());
    slow.send("{\"jsonrpc\":");
    insta::assert_snapshot!(slow.read_to_end(), @r#"{"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"the message did not end in time"}}"#);
    assert_eq!(silent.read_to_end().trim_end(), DRAINING);
}

/// Guards against requests that are written whole to an open connection and never answered, because one of them was written
/// slowly and the node had stopped reading.
#[test]
fn a_request_that_is_written_slowly_beside_an_open_one_is_served_and_so_is_the_next() {
    let (node, _vm, mut link) = Node::with_interpreter("", None);
    let mut client = node.client();
    client.request(1, "a1", None, LONG_LIMIT_MS);
    assert_eq!(link.next_run().0, "a1");
    let slow = request(2, "a2", "quote", None, LONG_LIMIT_MS);
    client.send(&slow[..40]);
    // Longer than the time for a message on a connection without an open request.
    std::thread::sleep(std::time::Duration::from_millis(2500));
    client.send(&slow[40..]);
    assert_eq!(link.next_run().0, "a2");
    client.request(3, "a3", None, LONG_LIMIT_MS);
    assert_eq!(link.next_run().0, "a3");
    client.send("{\"jsonrpc\":");
    for (notice, txn) in [(1, "a1"), (2, "a2"), (3, "a3")] {
        link.send_run_result(notice, txn, "done", "x");
        assert!(client.read_line().contains("\"result\""));
    }
    insta::assert_snapshot!(client.read_to_end(), @r#"{"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"the message did not end in time"}}"#);
}

/// Guards against a client that does not learn that the node reads no more, and writes requests that stay unanswered.
#[test]
fn a_client_is_notified_if_its_connection_is_no_longer_read_and_has_open_requests() {
    let (node, _vm, mut link) = Node::with_interpreter("", None);
    let mut client = node.client();
    client.request(1, "a1", None, LONG_LIMIT_MS);
    assert_eq!(link.next_run().0, "a1");
    client.send("x".repeat(20_000));
    assert!(client.read_any_line().contains("the line is too long"));
    assert_eq!(client.read_any_line(), DRAINING);
    // Longer than the time for a message, which has no deadline any more.
    std::thread::sleep(std::time::Duration::from_millis(2500));
    link.send_run_result(1, "a1", "done", "x");
    assert!(client.read_any_line().contains("\"result\""));
    assert_eq!(client.read_any_line(), "", "the connection is closed");
}

#[test]
fn a_client_may_not_open_more_than_32_requests_on_a_connection() {
    let (node, _vm, _link) = Node::with_interpreter("", None);
    let mut client = node.client();
    (1..=33).for_each(|id| client.request(id, &format!("a{id}"), None, LONG_LIMIT_MS));
    insta::assert_snapshot!(client.read_line(), @r#"{"jsonrpc":"2.0","id":33,"error":{"code":-32600,"message":"32 requests are open here"}}"#);
}

#[test]
fn attempts_of_one_key_share_one_run_whenever_they_arrive() {
    let (node, _vm, mut vm) = Node::with_interpreter("", None);
    let (mut client, mut other) = (node.client(), node.client());
    client.request(1, "a1", Some("k"), LONG_LIMIT_MS);
    client.request(2, "a2", Some("k"), LONG_LIMIT_MS);
    let (ran, class, _) = vm.next_run();
    assert_eq!(class, "book");
    other.request(1, "a3", Some("k"), LONG_LIMIT_MS);
    // The next command runs another key, which shows that no second attempt of the first key runs.
    other.request(2, "b1", Some("l"), LONG_LIMIT_MS);
    assert_eq!(vm.next_run().0, "b1");
    vm.send_run_result(1, &ran, "done", "job 5");
    let mut responses = vec![client.read_line(), client.read_line(), other.read_line()];
    other.request(3, "a4", Some("k"), LONG_LIMIT_MS);
    responses.push(other.read_line());
    responses.sort();
    insta::assert_snapshot!(responses.join("\n"), @r#"
    {"jsonrpc":"2.0","id":1,"result":{"content":"am9iIDU="}}
    {"jsonrpc":"2.0","id":1,"result":{"content":"am9iIDU="}}
    {"jsonrpc":"2.0","id":2,"result":{"content":"am9iIDU="}}
    {"jsonrpc":"2.0","id":3,"result":{"content":"am9iIDU="}}
    "#);
}

#[test]
fn a_withdrawn_request_is_stopped_and_a_closed_connection_withdraws_all() {
    let (node, _vm, mut vm) = Node::with_interpreter("", None);
    let mut client = node.client();
    // A withdrawal names the request by its id on this connection or by its txn.
    for (id, txn, named) in [(1, "a1", r#""id":1"#), (2, "a2", r#""txn":"a2""#)] {
        client.request(id, txn, None, LONG_LIMIT_MS);
        vm.next_run();
        client.send(format!("{{\"jsonrpc\":\"2.0\",\"method\":\"withdraw\",\"params\":{{{named}}}}}\n"));
        assert_eq!(vm.next_command().0, ["BREAK", txn]);
        vm.send_run_result(id, txn, "aborted", "");
    }
    client.request(3, "a3", None, LONG_LIMIT_MS);
    vm.next_run();
    drop(client);
    assert_eq!(vm.next_command().0, ["BREAK", "a3"]);
}

#[test]
fn a_request_that_is_not_complete_by_its_deadline_fails() {
    let (node, _vm, mut vm) = Node::with_interpreter("", None);
    let mut client = node.client();
    client.request(1, "a1", None, 300);
    vm.next_run();
    insta::assert_snapshot!(client.read_line(), @r#"{"jsonrpc":"2.0","id":1,"error":{"code":-32001,"message":"out of time"}}"#);
    assert_eq!(vm.next_command().0, ["BREAK", "a1"]);
}

#[test]
fn a_drain_notifies_clients_responds_to_all_requests_read_and_exits() {
    let (node, _vm, mut vm) = Node::with_interpreter("", None);
    let mut client = node.client();
    client.request(1, "a1", None, LONG_LIMIT_MS);
    vm.next_run();
    node.terminate();
    assert_eq!(client.read_any_line(), DRAINING);
    vm.send_run_result(1, "a1", "done", "late");
    insta::assert_snapshot!(client.read_line(), @r#"{"jsonrpc":"2.0","id":1,"result":{"content":"bGF0ZQ=="}}"#);
    node.assert_clean_exit();
    assert!(client.is_closed());
}

#[test]
fn out_of_range_times_are_limited_or_rejected() {
    let (node, _vm, mut vm) = Node::with_interpreter("", None);
    let mut client = node.client();
    client.send(concat!(
        r#"{"jsonrpc":"2.0","id":1,"method":"quote","params":{"txn":"a1","door":1e22,"limit":1e22,"ram":1}}"#,
        "\n",
        r#"{"jsonrpc":"2.0","id":2,"method":"quote","params":{"txn":"a2","door":1,"limit":1e300,"ram":1}}"#,
        "\n"
    ));
    assert_eq!(vm.next_run().0, "a1");
    assert!(client.read_line().contains("-32602"));
    vm.send_run_result(1, "a1", "done", "");
    assert!(client.read_line().contains("result"));
}

#[test]
fn an_idle_connection_is_notified_before_it_is_closed() {
    let vm = Server::new();
    let text =
        config(&format!(r#""vm": "{}","#, vm.address)).replace("\"idle\": 30000000", "\"idle\": 100000");
    let node = Node::start(&text, None);
    let mut link = vm.interpreter("0");
    let mut client = node.client();
    client.request(1, "a1", None, LONG_LIMIT_MS);
    let (id, ..) = link.next_run();
    link.send_run_result(1, &id, "done", "");
    assert!(client.read_line().contains("result"));
    assert_eq!(client.read_any_line(), DRAINING);
    assert!(client.is_closed());
}

#[test]
fn a_node_sends_heartbeats_to_the_membership_service_until_it_drains() {
    let members = bind_udp("127.0.0.1:0");
    let links = format!(r#""members": "{}","#, members.local_addr().unwrap());
    let (node, _vm, _link) = Node::with_interpreter(&links, None);
    let report = || String::from_utf8(next_datagram(&members)).unwrap();
    assert_eq!([report(), report()], ["HB n1 UP", "HB n1 UP"]);
    node.terminate();
    while report() != "HB n1 OUT" {}
    node.assert_clean_exit();
}

#[test]
fn a_client_that_copies_the_id_of_an_open_request_can_not_withdraw_it() {
    let (node, _vm, mut vm) = Node::with_interpreter("", None);
    let (mut client, mut copier) = (node.client(), node.client());
    client.request(1, "a1", Some("k"), LONG_LIMIT_MS);
    vm.next_run();
    copier.request_followed_by(
        1,
        "a1",
        Some("k"),
        LONG_LIMIT_MS,
        "{\"jsonrpc\":\"2.0\",\"method\":\"withdraw\",\"params\":{\"txn\":\"a1\"}}\n",
    );
    // The run of the copier's own request shows that its earlier messages have been processed.
    copier.request(2, "b1", None, LONG_LIMIT_MS);
    assert_eq!(vm.next_run().0, "b1");
    vm.send_run_result(1, "a1", "done", "x");
    assert!(client.read_line().contains("\"id\":1,\"result\""));
}

#[test]
fn retained_keys_do_not_count_against_the_interpreters_memory() {
    let vm = Server::new();
    // If keys counted against the interpreter's memory, these settings would leave no room for a second key.
    let text = config(&format!(r#""vm": "{}","#, vm.address));
    let node = Node::start(&text.replace("\"entryKb\": 1.0", "\"entryKb\": 60000.0"), None);
    let (mut link, mut client) = (vm.interpreter("0"), node.client());
    for (id, txn) in [(1, "a1"), (2, "a2"), (3, "a3")] {
        client.request(id, txn, Some(txn), LONG_LIMIT_MS);
        assert_eq!(link.next_run().0, txn);
    }
}

#[test]
fn a_client_with_a_valid_message_gets_a_response_to_every_unknown_method() {
    let (node, _vm, mut link) = Node::with_interpreter("", None);
    while node.health() != "up" {}
    let mut client = node.client();
    let unknown_methods: String = (0..40).map(|id| request(id, "a1", "price", None, LONG_LIMIT_MS)).collect();
    client.send("{\"jsonrpc\":\"2.0\",\"id\":\"s\",\"method\":\"status\"}\n".to_string() + &unknown_methods);
    client.request(40, "a2", None, LONG_LIMIT_MS);
    assert!(client.read_line().contains("true"));
    assert!((0..40).all(|_| client.read_line().contains("-32601")));
    assert_eq!(link.next_run().0, "a2");
}

/// Guards against a client that names a record that the node makes itself, such as that of lost keys.
#[test]
fn keys_that_begin_with_a_zero_byte_are_refused_by_both_frontends() {
    let (mut node, _vm, mut link) = Node::with_interpreter("", Some(UWSGI));
    let mut client = node.client();
    client.request(1, "a1", Some("\\u0000lost"), LONG_LIMIT_MS);
    assert!(client.read_line().contains("\"id\":1,\"error\":{\"code\":-32602"));
    let mut uwsgi = Peer::connect(node.uwsgi_address());
    uwsgi.send(packet(&[("PATH_INFO", "/book"), ("HTTP_IDEMPOTENCY_KEY", "\0lost")], "body"));
    assert!(uwsgi.read_to_end().starts_with("HTTP/1.1 400 "));
    client.request(2, "a2", Some("lost"), LONG_LIMIT_MS);
    assert_eq!(link.next_run().0, "a2");
}
