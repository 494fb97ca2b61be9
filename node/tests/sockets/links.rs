//! Tests of the links to the interpreter and the index, and of which runs and calls are retried when a link
//! breaks.

use crate::helper::*;

/// A node whose runs make calls to an index, with stand-ins for its backends and a client.
struct NodeWithIndex {
    _node: Node,
    _interpreter: Server,
    /// The link to the interpreter.
    link: Peer,
    index: Server,
    client: Peer,
}

impl NodeWithIndex {
    fn start() -> NodeWithIndex {
        let index = Server::new();
        let links = format!(r#""index": "{}","#, index.address);
        let (node, interpreter, link) = Node::with_interpreter(&links, None);
        let client = node.client();
        NodeWithIndex { _node: node, _interpreter: interpreter, link, index, client }
    }
}

#[test]
fn after_a_broken_link_all_notices_are_read_before_any_run_is_sent_again() {
    let (node, server, mut vm) = Node::with_interpreter("", None);
    let mut client = node.client();
    for (id, txn) in [(1, "a1"), (2, "a2")] {
        client.request(id, txn, None, LONG_LIMIT_MS);
        vm.next_run();
    }
    vm.send("TRACE 1 a remark\r\n");
    vm.send_run_result(2, "a9", "done", "of nobody");
    drop(vm);
    let mut vm = server.accept();
    let connect = vm.read_line();
    assert!(connect == "CONNECT 2" || connect == "CONNECT 0", "{connect}");
    vm.send("BANNER seasoned 10\r\n");
    // Only the fence may be sent now: the result of a1 is still in transit.
    assert_eq!(vm.read_line(), "TOP fence");
    vm.send_run_result(3, "a1", "done", "x");
    assert!(client.read_line().contains("\"id\":1,\"result\""));
    vm.send("TOPS fence 0 0 0 0\r\n");
    assert_eq!(vm.next_run().0, "a2");
    vm.send_run_result(4, "a2", "done", "y");
    assert!(client.read_line().contains("\"id\":2,\"result\""));
}

#[test]
fn a_restarted_interpreter_gets_no_run_a_second_time() {
    let server = Server::new();
    let node = Node::start(&config(&format!(r#""vm": "{}","#, server.address)), None);
    let mut vm = server.accept();
    vm.read_line();
    vm.send("BANNER seasoned 100000\r\n");
    let mut client = node.client();
    client.request(1, "a1", Some("k"), LONG_LIMIT_MS);
    vm.next_run();
    drop(vm);
    let mut vm = server.accept();
    vm.read_line();
    vm.send("BANNER fresh 5\r\n");
    assert!(client.read_line().contains("-32000"), "it may have run");
    client.request(2, "b1", Some("l"), LONG_LIMIT_MS);
    assert_eq!(vm.next_run().0, "b1");
}

#[test]
fn a_protocol_error_is_logged_and_the_link_is_reestablished() {
    let (mut node, server, mut vm) = Node::with_interpreter("", None);
    // The last notice is valid as far as it goes, but its body never arrives.
    for invalid in
        ["HELLO\r\n", "VALUE x a done 1 0\r\n\r\n", "VALUE 1 a done 1 many\r\n", "VALUE 1 a done 1 9\r\n"]
    {
        vm.send(invalid);
        node.wait_for_log("interpreter: link lost");
        vm = server.interpreter("0");
    }
    let mut client = node.client();
    client.request(1, "a1", None, LONG_LIMIT_MS);
    vm.next_run();
    vm.send("ERROR APPLY a1\r\n");
    insta::assert_snapshot!(client.read_line(), @r#"{"jsonrpc":"2.0","id":1,"error":{"code":-32011,"message":"not now","data":{"later":248}}}"#);
}

#[test]
fn a_call_goes_to_the_index_and_its_reply_comes_back_unchanged() {
    let mut with_index = NodeWithIndex::start();
    let NodeWithIndex { link: vm, index, client, .. } = &mut with_index;
    client.request(1, "a1", Some("k"), LONG_LIMIT_MS);
    vm.next_run();
    vm.send("AWAIT 1 a1 4\r\ncall\r\n");
    let mut calls = index.accept();
    let (get, body) = calls.next_command();
    assert_eq!((&get[..2], &body[..]), (&["GET".to_string(), "a1".to_string()][..], "call"));
    calls.send("a1 HIT 5\r\nre\r\nl\r\n");
    let (resolve, reply) = vm.next_command();
    assert_eq!((&resolve[0][..], &reply[..]), ("RESOLVE", "re\r\nl"));
    vm.send_run_result(2, "a1", "done", "ok");
    assert!(client.read_line().contains("result"));
}

#[test]
fn an_interrupted_call_is_not_retried_for_a_write_and_is_skipped_for_a_read() {
    let mut with_index = NodeWithIndex::start();
    let NodeWithIndex { link: vm, index, client, .. } = &mut with_index;
    client.request(1, "a1", Some("k"), LONG_LIMIT_MS);
    vm.next_run();
    vm.send("AWAIT 1 a1 1\r\nc\r\n");
    drop(index.accept());
    assert!(client.read_line().contains("-32000"), "the call may have taken effect");
    vm.send_run_result(2, "a1", "aborted", "");
    client.request(2, "a2", None, LONG_LIMIT_MS);
    vm.next_run();
    vm.send("AWAIT 3 a2 1\r\nc\r\n");
    drop(index.accept());
    assert_eq!(vm.next_command().0, ["STUB", "a2", "3"]);
}

#[test]
fn a_call_whose_connection_was_refused_is_retried_even_for_a_write() {
    let (mut node, _vm, mut vm) = Node::with_interpreter(&format!(r#""index": "{UNREACHABLE}","#), None);
    let mut client = node.client();
    client.request(1, "a1", Some("k"), LONG_LIMIT_MS);
    vm.next_run();
    vm.send("AWAIT 1 a1 1\r\nc\r\n");
    node.wait_for_log("index: connection failed");
    node.wait_for_log("index: connection failed");
    assert!(client.read_line().contains("-32000"), "the request fails after a few attempts to connect");
}

#[test]
fn a_reload_moves_every_link_and_runs_continue() {
    let links = |vm: &Server, index: &Server, members: &std::net::UdpSocket| {
        let members = members.local_addr().unwrap();
        config(&format!(r#""vm": "{}", "index": "{}", "members": "{members}","#, vm.address, index.address))
    };
    let (old, new) = ((Server::new(), Server::new()), (Server::new(), Server::new()));
    let members = bind_udp("127.0.0.1:0");
    let mut node = Node::start(&links(&old.0, &old.1, &bind_udp("127.0.0.1:0")), None);
    let mut vm = old.0.interpreter("0");
    let mut client = node.client();
    for (id, txn) in [(1, "a1"), (2, "a2")] {
        client.request(id, txn, Some(txn), LONG_LIMIT_MS);
        vm.next_run();
    }
    vm.send("AWAIT 1 a1 1\r\nc\r\n");
    let mut call = old.1.accept();
    call.next_command();
    let good = links(&new.0, &new.1, &members);
    for (bad, key) in [
        (good.replace(&new.1.address.to_string(), "nowhere"), "index: \"nowhere\""),
        (good.replace("by_key", "sometimes"), "effect"),
        (good.replace("\"index\"", "\"none\""), "reload: rejected: error=index"),
        ("{".into(), "reload: rejected"),
    ] {
        node.reload(&bad);
        let line = node.wait_for_log("reload: rejected");
        assert!(line.contains(key), "{line}");
    }
    node.reload(&good);
    let mut vm = new.0.interpreter("1");
    assert_eq!(next_datagram(&members), b"HB n1 UP");
    // Runs whose result the old link did not deliver are applied again, which does not start them twice.
    assert_eq!((vm.next_run().0, vm.next_run().0), ("a1".into(), "a2".into()));
    // The call in progress ends on its old connection, and the next one goes to the new address.
    call.send("a1 HIT 1\r\nr\r\n");
    assert_eq!(vm.next_command().0[..2], ["RESOLVE", "a1"]);
    vm.send("AWAIT 2 a2 1\r\nc\r\n");
    let mut call = new.1.accept();
    assert_eq!(call.next_command().0[..2], ["GET", "a2"]);
    vm.send_run_result(3, "a1", "done", "x");
    assert!(client.read_line().contains("\"id\":1,\"result\""));
}

#[test]
fn a_malformed_reply_fails_only_its_own_call_and_stray_replies_fail_none() {
    let mut with_index = NodeWithIndex::start();
    let NodeWithIndex { link: vm, index, client, .. } = &mut with_index;
    let mut calls: Vec<Peer> = (1..=4)
        .map(|id| {
            let txn = format!("a{id}");
            client.request(id, &txn, Some(&txn), LONG_LIMIT_MS);
            vm.next_run();
            vm.send(format!("AWAIT {id} {txn} 1\r\nc\r\n"));
            let mut call = index.accept();
            assert_eq!(call.next_command().0[1], txn);
            call
        })
        .collect();
    // A reply of 3 GB is rejected by its stated length, before the body arrives.
    calls[0].send("a1 HIT 3000000000\r\nxxxx");
    assert!(client.read_line().contains("\"id\":1,\"error\""), "the call may have taken effect");
    assert!(calls[0].is_closed());
    // The reply to a4 never completes and fails only a4; the stray reply that a2's connection gets in pieces
    // fails no call.
    calls[1].send("b9 HIT 1\r\n");
    calls[3].send("a4 HIT 5\r\n");
    calls[1].send("x\r\n");
    assert!(client.read_line().contains("\"id\":4,\"error\""));
    calls[1].send("a2 HIT 1\r\ny\r\na2 HIT 1\r\nz\r\n");
    assert_eq!(vm.next_command(), (vec!["RESOLVE".into(), "a2".into(), "1".into()], "y".into()));
    calls[2].send("a3 HIT 1\r\nw\r\n");
    assert_eq!(vm.next_command(), (vec!["RESOLVE".into(), "a3".into(), "1".into()], "w".into()));
}
