//! The platform's front.

use crate::helper::*;

#[test]
fn a_request_runs_once_with_its_body_and_gets_the_result_unchanged() {
    let (node, _vm, mut vm) = Node::with_interpreter("", None);
    let mut client = node.client();
    client.request(7, "9b1f03aa5c7e2d41", None, LONG);
    assert_eq!(vm.apply(), ("9b1f03aa5c7e2d41".into(), "quote".into(), "body".into()));
    vm.value(1, "9b1f03aa5c7e2d41", "done", "re\r\nsult");
    insta::assert_snapshot!(client.line(), @r#"{"jsonrpc":"2.0","id":7,"result":{"content":"cmUNCnN1bHQ="}}"#);
    client.request(8, "aa", None, LONG);
    vm.apply();
    vm.value(2, "aa", "crashed", "");
    insta::assert_snapshot!(client.line(), @r#"{"jsonrpc":"2.0","id":8,"error":{"code":-32000,"message":"failed"}}"#);
}

#[test]
fn an_answer_that_took_long_to_come_is_written_whole() {
    let (node, _vm, mut vm) = Node::with_interpreter("", None);
    let mut client = node.client();
    client.request(1, "a1", Some("k"), LONG);
    vm.apply();
    // Longer than a client may leave what was written unread: that time begins with the answer.
    std::thread::sleep(std::time::Duration::from_millis(5_200));
    vm.value(1, "a1", "done", "job 5");
    insta::assert_snapshot!(client.line(), @r#"{"jsonrpc":"2.0","id":1,"result":{"content":"am9iIDU="}}"#);
}

#[test]
fn bad_lines_get_the_standard_errors_and_the_connection_stays() {
    let (mut node, _vm, _link) = Node::with_interpreter("", None);
    let mut client = node.client();
    let mut answers = Vec::new();
    let asks = |id: u32, method: &str, extra: &str| {
        format!(
            r#"{{"jsonrpc":"2.0","id":{id},"method":"{method}","params":{{"txn":"a","door":1,"limit":1,"ram":1{extra}}}}}"#
        )
    };
    for line in [
        "{\"jsonrpc\":",
        "\u{0}\u{fffd}",
        "[]",
        r#"{"id":1}"#,
        r#"{"jsonrpc":"1.0","id":1,"method":"quote"}"#,
        r#"{"jsonrpc":"2.0","method":"quote","params":{"txn":"a","door":1,"limit":1,"ram":1}}"#,
        r#"{"jsonrpc":"2.0","id":2,"method":"paint","params":{}}"#,
        r#"{"jsonrpc":"2.0","id":3,"method":"quote","params":{"txn":"a"}}"#,
        &asks(4, "quote", "").replace("\"a\"", "\"a b\""),
        &asks(5, "book", ""),
        &asks(6, "quote", r#","content":"?""#),
        r#"{"jsonrpc":"2.0","id":8,"method":"status"}"#,
        r#"{"jsonrpc":"2.0","id":9,"method":"withdraw","params":{}}"#,
        &asks(10, "quote", "").replace("\"ram\":1", "\"ram\":2000"),
        &asks(11, "quote", "").replace("\"limit\":1", "\"limit\":-1"),
        &asks(12, "quote", r#","standing":1.5"#),
        &asks(13, "quote", r#","lb":-3"#),
        &asks(14, "quote", r#","team":"nobody""#),
        &asks(15, "book", &format!(r#","unique":"{}""#, "k".repeat(65))),
        &asks(16, "quote", &format!(r#","content":"{}""#, "AAAA".repeat(700))),
    ] {
        client.say(format!("{line}\n"));
        answers.push(client.line());
    }
    insta::assert_snapshot!(answers.join("\n"), @r#"
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
    // A notification gets no answer, however wrong; the next line shows it.
    client.say("{\"jsonrpc\":\"2.0\",\"method\":\"withdraw\"}\n{\"jsonrpc\":\"2.0\",\"id\":9,\"method\":\"status\"}\n");
    assert!(client.line().contains("\"id\":9"));
    client.say("x".repeat(20_000));
    insta::assert_snapshot!(client.line(), @r#"{"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"the line is too long"}}"#);
    assert_eq!(client.line(), "", "it is closed");
    node.logs("jsonrpc: message rejected");
    // Who sends nothing else is not listened to for ever, nor is who never ends a message or says nothing.
    let mut client = node.client();
    client.say("?\n".repeat(100));
    assert_eq!(client.rest().lines().count(), 17);
    let (mut silent, mut slow) = (node.client(), node.client());
    slow.say("{\"jsonrpc\":");
    insta::assert_snapshot!(slow.rest(), @r#"{"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"the message did not end in time"}}"#);
    assert_eq!(silent.rest().trim_end(), DRAINING);
}

#[test]
fn one_front_end_may_not_open_more_than_32_requests_on_a_connection() {
    let (node, _vm, _link) = Node::with_interpreter("", None);
    let mut client = node.client();
    (1..=33).for_each(|id| client.request(id, &format!("a{id}"), None, LONG));
    insta::assert_snapshot!(client.line(), @r#"{"jsonrpc":"2.0","id":33,"error":{"code":-32600,"message":"32 requests are open here"}}"#);
}

#[test]
fn tries_of_one_key_share_one_run_whenever_they_come() {
    let (node, _vm, mut vm) = Node::with_interpreter("", None);
    let (mut client, mut other) = (node.client(), node.client());
    client.request(1, "a1", Some("k"), LONG);
    client.request(2, "a2", Some("k"), LONG);
    let (ran, class, _) = vm.apply();
    assert_eq!(class, "book");
    other.request(1, "a3", Some("k"), LONG);
    // Another key runs; that it is the next command shows that none of the others did.
    other.request(2, "b1", Some("l"), LONG);
    assert_eq!(vm.apply().0, "b1");
    vm.value(1, &ran, "done", "job 5");
    let mut answers = vec![client.line(), client.line(), other.line()];
    other.request(3, "a4", Some("k"), LONG);
    answers.push(other.line());
    answers.sort();
    insta::assert_snapshot!(answers.join("\n"), @r#"
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
    // Front ends name the id that they gave on this connection; the txn will do, too.
    for (id, txn, named) in [(1, "a1", r#""id":1"#), (2, "a2", r#""txn":"a2""#)] {
        client.request(id, txn, None, LONG);
        vm.apply();
        client.say(format!("{{\"jsonrpc\":\"2.0\",\"method\":\"withdraw\",\"params\":{{{named}}}}}\n"));
        assert_eq!(vm.command().0, ["BREAK", txn]);
        vm.value(id, txn, "aborted", "");
    }
    client.request(3, "a3", None, LONG);
    vm.apply();
    drop(client);
    assert_eq!(vm.command().0, ["BREAK", "a3"]);
}

#[test]
fn what_is_not_done_in_time_fails_by_then() {
    let (node, _vm, mut vm) = Node::with_interpreter("", None);
    let mut client = node.client();
    client.request(1, "a1", None, 300);
    vm.apply();
    insta::assert_snapshot!(client.line(), @r#"{"jsonrpc":"2.0","id":1,"error":{"code":-32001,"message":"out of time"}}"#);
    assert_eq!(vm.command().0, ["BREAK", "a1"]);
}

#[test]
fn a_drain_tells_clients_answers_all_that_was_read_and_ends() {
    let (node, _vm, mut vm) = Node::with_interpreter("", None);
    let mut client = node.client();
    client.request(1, "a1", None, LONG);
    vm.apply();
    node.terminate();
    assert_eq!(client.any_line(), DRAINING);
    vm.value(1, "a1", "done", "late");
    insta::assert_snapshot!(client.line(), @r#"{"jsonrpc":"2.0","id":1,"result":{"content":"bGF0ZQ=="}}"#);
    node.ends();
    assert!(client.closed());
}

#[test]
fn times_beyond_all_reason_do_no_harm() {
    let (node, _vm, mut vm) = Node::with_interpreter("", None);
    let mut client = node.client();
    client.say(concat!(
        r#"{"jsonrpc":"2.0","id":1,"method":"quote","params":{"txn":"a1","door":1e22,"limit":1e22,"ram":1}}"#,
        "\n",
        r#"{"jsonrpc":"2.0","id":2,"method":"quote","params":{"txn":"a2","door":1,"limit":1e300,"ram":1}}"#,
        "\n"
    ));
    assert_eq!(vm.apply().0, "a1");
    assert!(client.line().contains("-32602"));
    vm.value(1, "a1", "done", "");
    assert!(client.line().contains("result"));
}

#[test]
fn an_idle_connection_is_told_before_it_is_closed() {
    let vm = Server::new();
    let text =
        config(&format!(r#""vm": "{}","#, vm.address)).replace("\"idle\": 30000000", "\"idle\": 100000");
    let node = Node::start(&text, None);
    let mut link = vm.interpreter("0");
    let mut client = node.client();
    client.request(1, "a1", None, LONG);
    let (id, ..) = link.apply();
    link.value(1, &id, "done", "");
    assert!(client.line().contains("result"));
    assert_eq!(client.any_line(), DRAINING);
    assert!(client.closed());
}

#[test]
fn a_node_reports_to_the_membership_service_until_it_leaves() {
    let members = udp("127.0.0.1:0");
    let links = format!(r#""members": "{}","#, members.local_addr().unwrap());
    let (node, _vm, _link) = Node::with_interpreter(&links, None);
    let report = || String::from_utf8(datagram(&members)).unwrap();
    assert_eq!([report(), report()], ["HB n1 UP", "HB n1 UP"]);
    node.terminate();
    while report() != "HB n1 OUT" {}
    node.ends();
}

#[test]
fn who_copies_the_id_of_an_open_request_can_not_take_it_back() {
    let (node, _vm, mut vm) = Node::with_interpreter("", None);
    let (mut client, mut copies) = (node.client(), node.client());
    client.request(1, "a1", Some("k"), LONG);
    vm.apply();
    copies.request_and(
        1,
        "a1",
        Some("k"),
        LONG,
        "{\"jsonrpc\":\"2.0\",\"method\":\"withdraw\",\"params\":{\"txn\":\"a1\"}}\n",
    );
    // That the copier's own request runs shows that all it said before has been heard.
    copies.request(2, "b1", None, LONG);
    assert_eq!(vm.apply().0, "b1");
    vm.value(1, "a1", "done", "x");
    assert!(client.line().contains("\"id\":1,\"result\""));
}

#[test]
fn remembered_keys_take_none_of_the_interpreters_memory() {
    let vm = Server::new();
    // By the settings there is no room for a second key.
    let text = config(&format!(r#""vm": "{}","#, vm.address));
    let node = Node::start(&text.replace("\"entryKb\": 1.0", "\"entryKb\": 60000.0"), None);
    let (mut link, mut client) = (vm.interpreter("0"), node.client());
    for (id, txn) in [(1, "a1"), (2, "a2"), (3, "a3")] {
        client.request(id, txn, Some(txn), LONG);
        assert_eq!(link.apply().0, txn);
    }
}

#[test]
fn a_known_client_that_asks_for_what_is_not_there_is_answered_however_often() {
    let (node, _vm, mut link) = Node::with_interpreter("", None);
    while node.status() != "up" {}
    let mut client = node.client();
    let asked: String = (0..40).map(|id| request(id, "a1", "price", None, LONG)).collect();
    client.say("{\"jsonrpc\":\"2.0\",\"id\":\"s\",\"method\":\"status\"}\n".to_string() + &asked);
    client.request(40, "a2", None, LONG);
    assert!(client.line().contains("true"));
    assert!((0..40).all(|_| client.line().contains("-32601")));
    assert_eq!(link.apply().0, "a2");
}
