//! Tests of the uwsgi frontend and of uwsgi servers as backends.

use crate::helper::*;

fn quote_request() -> Vec<u8> {
    packet(&[("REQUEST_METHOD", "POST"), ("PATH_INFO", "/quote"), ("HTTP_X_TENANT", "acme")], "body")
}

fn keyed_request(key: &str) -> Vec<u8> {
    packet(&[("PATH_INFO", "/book"), ("HTTP_IDEMPOTENCY_KEY", key)], "body")
}

/// The status line, the header fields except Content-Type and Connection, and the body of a response, on one
/// line.
fn summary(response: &str) -> String {
    let shown =
        response.lines().filter(|line| !line.starts_with("Content-Type") && !line.starts_with("Connection"));
    shown.filter(|line| !line.is_empty()).collect::<Vec<_>>().join(" | ")
}

#[test]
fn a_request_runs_and_each_outcome_has_its_own_response() {
    let (mut node, _vm, mut vm) = Node::with_interpreter("", Some(UWSGI));
    let address = node.uwsgi_address();
    let mut answers = Vec::new();
    for (notice, end) in [(1, "done"), (2, "crashed")] {
        let mut client = Peer::connect(address);
        client.send(quote_request());
        let (id, class, body) = vm.next_run();
        assert_eq!((&class[..], &body[..]), ("quote", "body"));
        vm.send_run_result(notice, &id, end, if end == "done" { "price" } else { "" });
        answers.push(summary(&client.read_to_end()));
    }
    // This run never completes, so the request fails at the deadline that its client sets.
    let mut client = Peer::connect(address);
    let soon = (now_ms() + 300).to_string();
    client.send(packet(&[("PATH_INFO", "/quote"), ("HTTP_X_DEADLINE", &soon)], ""));
    let (id, ..) = vm.next_run();
    answers.push(summary(&client.read_to_end()));
    assert_eq!(vm.next_command().0, ["BREAK", &id]);
    // A run that the interpreter rejects never began.
    let mut client = Peer::connect(address);
    client.send(quote_request());
    let (id, ..) = vm.next_run();
    vm.send(format!("ERROR APPLY {id}\r\n"));
    answers.push(summary(&client.read_to_end()));
    insta::assert_snapshot!(answers.join("\n"), @r"
    HTTP/1.1 200 OK | Content-Length: 5 | price
    HTTP/1.1 500 Internal Server Error | Content-Length: 7 | failed
    HTTP/1.1 504 Gateway Timeout | Content-Length: 12 | out of time
    HTTP/1.1 503 Service Unavailable | Content-Length: 8 | Retry-After: 1 | not now
    ");
}

#[test]
fn invalid_requests_get_a_response_and_are_closed() {
    let (mut node, _vm, _link) = Node::with_interpreter("", Some(UWSGI));
    let address = node.uwsgi_address();
    let long = "x".repeat(17_000);
    let requests = [
        vec![5, 0, 0, 0],
        vec![0, 5, 0, 0, 9, 0, 1, 2, 3],
        packet(&[("PATH_INFO", "/paint")], ""),
        packet(&[], ""),
        packet(&[("PATH_INFO", "/book")], ""),
        packet(&[("PATH_INFO", "/quote"), ("HTTP_X_TENANT", "nobody")], ""),
        packet(&[("PATH_INFO", "/quote"), ("HTTP_X_DEADLINE", "soon")], ""),
        packet(&[("PATH_INFO", "/quote"), ("LONG_LIMIT_MS", &long)], ""),
        packet(&[("PATH_INFO", "/quote")], &"y".repeat(70_000)),
        packet(&[("PATH_INFO", "/status")], ""),
    ];
    let answers = requests.map(|request| {
        let mut client = Peer::connect(address);
        client.send(request);
        summary(&client.read_to_end())
    });
    insta::assert_snapshot!(answers.join("\n"), @r"
    HTTP/1.1 400 Bad Request | Content-Length: 22 | modifiers other than 0
    HTTP/1.1 400 Bad Request | Content-Length: 26 | lengths that do not add up
    HTTP/1.1 404 Not Found | Content-Length: 13 | no such class
    HTTP/1.1 400 Bad Request | Content-Length: 20 | PATH_INFO is missing
    HTTP/1.1 400 Bad Request | Content-Length: 48 | a request of this class needs an Idempotency-Key
    HTTP/1.1 400 Bad Request | Content-Length: 14 | no such tenant
    HTTP/1.1 400 Bad Request | Content-Length: 47 | a variable that should be a whole number is not
    HTTP/1.1 413 Content Too Large | Content-Length: 18 | too many variables
    HTTP/1.1 413 Content Too Large | Content-Length: 20 | the body is too long
    HTTP/1.1 200 OK | Content-Length: 3 | up
    ");
}

#[test]
fn a_truncated_request_starts_no_run_and_a_client_that_disconnects_later_stops_its_run() {
    let (mut node, _vm, mut vm) = Node::with_interpreter("", Some(UWSGI));
    let address = node.uwsgi_address();
    let whole = keyed_request("k");
    for cut in [2, 4, 20, whole.len() - 5, whole.len() - 1] {
        let mut client = Peer::connect(address);
        client.send(&whole[..cut]);
        drop(client);
        node.wait_for_log("uwsgi: connection lost");
    }
    let mut client = Peer::connect(address);
    client.send(quote_request());
    // The first run belongs to the first complete request.
    let (id, class, _) = vm.next_run();
    assert_eq!(class, "quote");
    drop(client);
    assert_eq!(vm.next_command().0, ["BREAK", &id]);
}

#[test]
fn a_keyed_request_over_both_frontends_runs_once() {
    let (mut node, _vm, mut vm) = Node::with_interpreter("", Some(UWSGI));
    let address = node.uwsgi_address();
    let (mut json, mut uwsgi) = (node.client(), Peer::connect(address));
    json.request(1, "a1", Some("one"), LONG_LIMIT_MS);
    uwsgi.send(keyed_request("one"));
    let (ran, class, _) = vm.next_run();
    assert_eq!(class, "book");
    json.request(2, "b1", Some("two"), LONG_LIMIT_MS);
    assert_eq!(vm.next_run().0, "b1", "no second run of the first key");
    vm.send_run_result(1, &ran, "done", "job 5");
    assert!(json.read_line().contains(r#""id":1,"result":{"content":"am9iIDU="}"#));
    assert_eq!(summary(&uwsgi.read_to_end()), "HTTP/1.1 200 OK | Content-Length: 5 | job 5");
    // A uwsgi retry of a request that came over JSON-RPC, after its run has completed.
    let mut late = Peer::connect(address);
    late.send(keyed_request("one"));
    assert_eq!(summary(&late.read_to_end()), "HTTP/1.1 200 OK | Content-Length: 5 | job 5");
    vm.send_run_result(2, "b1", "crashed", "");
    let mut failed = Peer::connect(address);
    assert!(json.read_line().contains("-32000"));
    failed.send(keyed_request("two"));
    assert!(failed.read_to_end().starts_with("HTTP/1.1 500 "), "the run may have taken effect");
}

#[test]
fn a_drain_responds_to_requests_already_read_and_accepts_no_new_connections() {
    // A host of its own, so that no other test listens on the address after the drain.
    let uwsgi_file = format!("listen = '{}:0'", unique_host());
    let (mut node, _vm, mut vm) = Node::with_interpreter("", Some(&uwsgi_file));
    let address = node.uwsgi_address();
    let mut client = Peer::connect(address);
    client.send(quote_request());
    let (id, ..) = vm.next_run();
    node.terminate();
    node.wait_for_log("frontend: stopped listening: protocol=uwsgi");
    vm.send_run_result(1, &id, "done", "late");
    assert_eq!(summary(&client.read_to_end()), "HTTP/1.1 200 OK | Content-Length: 4 | late");
    assert!(std::net::TcpStream::connect(address).is_err());
    node.assert_clean_exit();
}

#[test]
fn runs_go_to_uwsgi_servers_where_they_are_configured() {
    let first = Server::new();
    let servers = format!("listen = '127.0.0.1:0'\nruns = ['{}', '{UNREACHABLE}']\n", first.address);
    let mut node = Node::start(&config(""), Some(&servers));
    let mut json = node.client();
    json.request(1, "a1", Some("k"), LONG_LIMIT_MS);
    let (mut server, vars, body) = first.next_uwsgi_request();
    assert_eq!(body, b"body");
    insta::assert_snapshot!(vars.join("\n"), @r"
    CONTENT_LENGTH=4
    HTTP_IDEMPOTENCY_KEY=k
    HTTP_X_TENANT=acme
    PATH_INFO=/book
    QUERY_STRING=
    REQUEST_METHOD=POST
    REQUEST_URI=/book
    SERVER_PROTOCOL=HTTP/1.1
    ");
    server.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\njob 5");
    assert!(json.read_line().contains(r#""result":{"content":"am9iIDU="}"#));
    // The next server in turn is down. The request goes to the one after it, since a refused connection ran
    // nothing.
    let address = node.uwsgi_address();
    let respond_with = |answer: &[u8]| {
        let mut client = Peer::connect(address);
        client.send(quote_request());
        let (mut server, ..) = first.next_uwsgi_request();
        server.send(answer);
        drop(server);
        summary(&client.read_to_end())
    };
    let answers = [
        respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nto the end"),
        // Without a Content-Length, a complete result cannot be told from a truncated one.
        respond_with(b"HTTP/1.0 200 OK\r\n\r\nto the end"),
        respond_with(b"HTTP/1.1 503 Busy\r\nRetry-After: 3\r\n\r\n"),
        respond_with(b"HTTP/1.1 503 Busy\r\n\r\n"),
        respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut"),
        respond_with(b"nonsense\r\n\r\n"),
    ];
    insta::assert_snapshot!(answers.join("\n"), @r"
    HTTP/1.1 200 OK | Content-Length: 10 | to the end
    HTTP/1.1 500 Internal Server Error | Content-Length: 7 | failed
    HTTP/1.1 503 Service Unavailable | Content-Length: 8 | Retry-After: 1 | not now
    HTTP/1.1 500 Internal Server Error | Content-Length: 7 | failed
    HTTP/1.1 500 Internal Server Error | Content-Length: 7 | failed
    HTTP/1.1 500 Internal Server Error | Content-Length: 7 | failed
    ");
    let mut node =
        Node::start(&config(""), Some(&format!("listen = '127.0.0.1:0'\nruns = ['{UNREACHABLE}']\n")));
    let mut client = Peer::connect(node.uwsgi_address());
    client.send(quote_request());
    assert!(client.read_to_end().starts_with("HTTP/1.1 503 "), "no server ran the request");
}

#[test]
fn calls_go_to_uwsgi_servers_where_they_are_configured() {
    let store = Server::new();
    let uwsgi_file = format!("listen = '127.0.0.1:0'\ncalls = ['{}']\n", store.address);
    let (mut node, _vm, mut vm) = Node::with_interpreter("", Some(&uwsgi_file));
    let mut client = Peer::connect(node.uwsgi_address());
    client.send(keyed_request("k"));
    let (id, ..) = vm.next_run();
    vm.send(format!("AWAIT 1 {id} 4\r\ncall\r\n"));
    // A rejected call never ran, so it may be retried even for a write.
    let (mut server, ..) = store.next_uwsgi_request();
    server.send("HTTP/1.1 503 Busy\r\nRetry-After: 1\r\n\r\n");
    drop(server);
    let (mut server, vars, body) = store.next_uwsgi_request();
    assert!(vars.contains(&"HTTP_IDEMPOTENCY_KEY=k".into()) && body == b"call");
    server.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nreply");
    let (resolve, reply) = vm.next_command();
    assert_eq!((&resolve[0][..], &resolve[1], &reply[..]), ("RESOLVE", &id, "reply"));
    vm.send_run_result(2, &id, "done", "ok");
    assert_eq!(summary(&client.read_to_end()), "HTTP/1.1 200 OK | Content-Length: 2 | ok");
}

#[test]
fn a_key_with_another_body_gets_no_result_over_either_frontend() {
    let (mut node, _vm, mut vm) = Node::with_interpreter("", Some(UWSGI));
    let other = packet(&[("PATH_INFO", "/book"), ("HTTP_IDEMPOTENCY_KEY", "one")], "another body");
    let address = node.uwsgi_address();
    let (mut json, mut uwsgi) = (node.client(), Peer::connect(address));
    json.request(1, "a1", Some("one"), LONG_LIMIT_MS);
    let (ran, ..) = vm.next_run();
    uwsgi.send(&other);
    assert_eq!(
        summary(&uwsgi.read_to_end()),
        "HTTP/1.1 400 Bad Request | Content-Length: 32 | the key is that of another body"
    );
    vm.send_run_result(1, &ran, "done", "job 5");
    assert!(json.read_line().contains("result"));
    let mut uwsgi = Peer::connect(address);
    uwsgi.send(&other);
    assert!(uwsgi.read_to_end().starts_with("HTTP/1.1 400 "), "a stored result is not returned either");
    json.send(REQUEST_WITH_ANOTHER_BODY);
    insta::assert_snapshot!(json.read_line(), @r#"{"jsonrpc":"2.0","id":2,"error":{"code":-32602,"message":"unique is the key of another body"}}"#);
}

const REQUEST_WITH_ANOTHER_BODY: &str = concat!(
    r#"{"jsonrpc":"2.0","id":2,"method":"book","params":{"txn":"a2","door":1e12,"limit":1e12,"ram":1,"#,
    r#""unique":"one","content":"eHg="}}"#,
    "\n"
);

#[test]
fn silent_clients_block_no_others_on_either_frontend() {
    let vm = Server::new();
    let limited = config(&format!(r#""limits": {{"sockets": 40}}, "vm": "{}","#, vm.address));
    let mut node = Node::start(&limited, Some(UWSGI));
    let mut link = vm.interpreter("0");
    let address = node.uwsgi_address();
    // With this limit, both frontends together keep 16 connections.
    let mut idle: Vec<Peer> = (0..16).flat_map(|_| [node.client(), Peer::connect(address)]).collect();
    let (mut json, mut uwsgi) = (node.client(), Peer::connect(address));
    json.request(1, "a1", None, LONG_LIMIT_MS);
    uwsgi.send(quote_request());
    for notice in [1, 2] {
        let (id, ..) = link.next_run();
        link.send_run_result(notice, &id, "done", "x");
    }
    assert!(json.read_line().contains("result"));
    assert!(uwsgi.read_to_end().starts_with("HTTP/1.1 200 "));
    assert!(idle[0].is_closed() && idle[1].is_closed(), "the oldest connections were evicted for the newest");
    // An incomplete request gets an error response at the read timeout.
    let mut slow = Peer::connect(address);
    slow.send([0, 9]);
    assert_eq!(
        summary(&slow.read_to_end()),
        "HTTP/1.1 400 Bad Request | Content-Length: 38 | the request did not come whole in time"
    );
}

#[test]
fn a_reload_moves_the_uwsgi_servers_too() {
    let (old, new, store) = (Server::new(), Server::new(), Server::new());
    let servers =
        |runs: &Server, more: &str| format!("listen = '127.0.0.1:0'\nruns = ['{}']\n{more}", runs.address);
    let mut node = Node::start(&config(""), Some(&servers(&old, "")));
    let address = node.uwsgi_address();
    let mut before = Peer::connect(address);
    before.send(quote_request());
    let (mut running, ..) = old.next_uwsgi_request();
    for bad in [servers(&new, "surprise = 1"), servers(&new, &format!("calls = ['{}']", store.address))] {
        node.reload_uwsgi_file(&bad);
        let line = node.wait_for_log("reload: rejected");
        assert!(line.contains("surprise") || line.contains("calls"), "{line}");
    }
    node.reload_uwsgi_file(&servers(&new, ""));
    node.wait_for_log("addresses=changed");
    let mut after = Peer::connect(address);
    after.send(quote_request());
    let (mut server, ..) = new.next_uwsgi_request();
    server.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew");
    assert_eq!(summary(&after.read_to_end()), "HTTP/1.1 200 OK | Content-Length: 3 | new");
    // A run at the old address completes there.
    running.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold");
    assert_eq!(summary(&before.read_to_end()), "HTTP/1.1 200 OK | Content-Length: 3 | old");
}
