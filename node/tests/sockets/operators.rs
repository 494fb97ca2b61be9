//! What operators see and do.

use crate::helper::*;

#[test]
fn operators_see_when_the_node_can_serve_and_what_became_of_requests() {
    let vm = Server::new();
    let links = format!(r#""vm": "{}", "ops": "127.0.0.1:0","#, vm.address);
    let mut node = Node::start(&config(&links), None);
    let ops = node.ops();
    assert!(call(ops, "GET /ops/readiness").starts_with("HTTP/1.1 503 "), "nothing runs requests yet");
    let mut link = vm.interpreter("0");
    // Health is good from when the decisions have begun.
    while node.status() != "up" {}
    assert!(call(ops, "GET /ops/readiness").starts_with("HTTP/1.1 200 "));
    let mut client = node.client();
    client.request(1, "a1", None, LONG);
    let first = link.apply().0;
    link.value(1, &first, "done", "x");
    client.line();
    for (id, txn) in [(2, "a2"), (3, "a3"), (4, "a4")] {
        client.request(id, txn, Some(txn), LONG);
    }
    for (notice, end) in [(2, "crashed"), (3, "done")] {
        let txn = link.apply().0;
        link.value(notice, &txn, end, "x");
        client.line();
    }
    link.apply();
    // A file that can't be taken is counted.
    node.reload("{");
    node.logs("reload: rejected");
    let stats = call(ops, "GET /ops/stats");
    insta::assert_snapshot!(stats.split("\r\n\r\n").nth(1).unwrap(), @r#"
    svc_answered{group="quote"} 1
    svc_deferred{group="quote"} 0
    svc_errored{group="quote"} 0
    svc_sends{group="quote"} 1
    svc_answered{group="book"} 1
    svc_deferred{group="book"} 0
    svc_errored{group="book"} 1
    svc_sends{group="book"} 3
    svc_current 1
    svc_conf_loaded 0
    svc_conf_invalid 1
    "#);
    // Who leaves is no longer current.
    drop(client);
    while !call(ops, "GET /ops/stats").contains("svc_current 0") {}
}

#[test]
fn front_ends_are_sent_away_by_health_checks_alone_on_both_fronts() {
    let (mut node, _vm, mut link) = Node::with_interpreter(r#""ops": "127.0.0.1:0","#, Some(UWSGI));
    let (ops, uwsgi) = (node.ops(), node.uwsgi());
    while node.status() != "up" {}
    assert!(call(ops, "PUT /ops/drain/start").starts_with("HTTP/1.1 200 "));
    assert_eq!(node.status(), "down");
    let mut old = Peer::connect(uwsgi);
    old.say(packet(&[("PATH_INFO", "/status")], ""));
    assert!(old.line().contains("503"));
    // What still arrives is answered as usual.
    let mut client = node.client();
    client.request(1, "a1", None, LONG);
    link.apply();
    link.value(1, "a1", "done", "x");
    assert!(client.line().contains("\"result\""));
    assert!(call(ops, "PUT /ops/drain/stop").starts_with("HTTP/1.1 200 "));
    assert_eq!(node.status(), "up");
}

#[test]
fn a_call_that_is_none_is_told_so_and_silent_callers_shut_nobody_out() {
    let mut node = Node::start(&config(&format!(r#""vm": "{DOWN}", "ops": "127.0.0.1:0","#)), None);
    let ops = node.ops();
    let silent: Vec<Peer> = (0..40)
        .map(|_| {
            let mut peer = Peer::connect(ops);
            peer.say("PUT /ops/dr");
            peer
        })
        .collect();
    for (head, status) in [("GET /ops/drain/start", 405), ("GET /", 404), ("\u{16}", 400)] {
        assert!(call(ops, head).starts_with(&format!("HTTP/1.1 {status} ")), "{head}");
    }
    drop(silent);
}
