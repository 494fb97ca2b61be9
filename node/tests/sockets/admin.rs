//! Tests of the admin interface: readiness, metrics and maintenance mode.

use crate::helper::*;

#[test]
fn readiness_and_metrics_reflect_the_state_of_the_node() {
    let vm = Server::new();
    let links = format!(r#""vm": "{}", "ops": "127.0.0.1:0","#, vm.address);
    let mut node = Node::start(&config(&links), None);
    let ops = node.admin_address();
    assert!(
        admin_call(ops, "GET /ops/readiness").starts_with("HTTP/1.1 503 "),
        "the interpreter link is not up yet"
    );
    let mut link = vm.interpreter("0");
    // Health checks pass once the dispatcher has started.
    while node.health() != "up" {}
    assert!(admin_call(ops, "GET /ops/readiness").starts_with("HTTP/1.1 200 "));
    let mut client = node.client();
    client.request(1, "a1", None, LONG_LIMIT_MS);
    let first = link.next_run().0;
    link.send_run_result(1, &first, "done", "x");
    client.read_line();
    for (id, txn) in [(2, "a2"), (3, "a3"), (4, "a4")] {
        client.request(id, txn, Some(txn), LONG_LIMIT_MS);
    }
    for (notice, end) in [(2, "crashed"), (3, "done")] {
        let txn = link.next_run().0;
        link.send_run_result(notice, &txn, end, "x");
        client.read_line();
    }
    link.next_run();
    // A configuration file that cannot be applied is counted in svc_conf_invalid.
    node.reload("{");
    node.wait_for_log("reload: rejected");
    let stats = admin_call(ops, "GET /ops/stats");
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
    // The request of a client that disconnects no longer counts as open.
    drop(client);
    while !admin_call(ops, "GET /ops/stats").contains("svc_current 0") {}
}

#[test]
fn maintenance_mode_fails_health_checks_on_both_frontends_and_nothing_else() {
    let (mut node, _vm, mut link) = Node::with_interpreter(r#""ops": "127.0.0.1:0","#, Some(UWSGI));
    let (ops, uwsgi) = (node.admin_address(), node.uwsgi_address());
    while node.health() != "up" {}
    assert!(admin_call(ops, "PUT /ops/drain/start").starts_with("HTTP/1.1 200 "));
    assert_eq!(node.health(), "down");
    let mut uwsgi_client = Peer::connect(uwsgi);
    uwsgi_client.send(packet(&[("PATH_INFO", "/status")], ""));
    assert!(uwsgi_client.read_line().contains("503"));
    // Requests that still arrive are served.
    let mut client = node.client();
    client.request(1, "a1", None, LONG_LIMIT_MS);
    link.next_run();
    link.send_run_result(1, "a1", "done", "x");
    assert!(client.read_line().contains("\"result\""));
    assert!(admin_call(ops, "PUT /ops/drain/stop").starts_with("HTTP/1.1 200 "));
    assert_eq!(node.health(), "up");
}

#[test]
fn an_invalid_admin_call_gets_an_error_and_silent_clients_block_no_others() {
    let mut node = Node::start(&config(&format!(r#""vm": "{UNREACHABLE}", "ops": "127.0.0.1:0","#)), None);
    let ops = node.admin_address();
    let silent: Vec<Peer> = (0..40)
        .map(|_| {
            let mut peer = Peer::connect(ops);
            peer.send("PUT /ops/dr");
            peer
        })
        .collect();
    for (head, status) in [("GET /ops/drain/start", 405), ("GET /", 404), ("\u{16}", 400)] {
        assert!(admin_call(ops, head).starts_with(&format!("HTTP/1.1 {status} ")), "{head}");
    }
    drop(silent);
}
