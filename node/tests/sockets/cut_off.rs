//! Backend responses truncated at any byte: each request has one outcome, no run is repeated, and no
//! incomplete result is served.

use crate::helper::*;

#[test]
fn a_notice_truncated_at_any_byte_is_read_over_the_next_link_and_starts_no_second_run() {
    let (node, server, mut vm) = Node::with_interpreter("", None);
    let mut client = node.client();
    client.request(1, "a1", Some("k"), LONG_LIMIT_MS);
    vm.next_run();
    let notice = "VALUE 1 a1 done 5 6\r\nre\r\nlt\r\n";
    for cut in 0..notice.len() {
        vm.send(&notice[..cut]);
        drop(vm);
        vm = server.interpreter("0");
        assert_eq!(vm.next_run().0, "a1", "the run is applied again, which does not start a second one");
    }
    vm.send(notice);
    insta::assert_snapshot!(client.read_line(), @r#"{"jsonrpc":"2.0","id":1,"result":{"content":"cmUNCmx0"}}"#);
    client.request(2, "b1", Some("l"), LONG_LIMIT_MS);
    assert_eq!(vm.next_run().0, "b1", "a1 is not applied again once its result is known");
}

#[test]
fn an_index_reply_truncated_at_any_byte_is_discarded() {
    let index = Server::new();
    let (node, _vm, mut vm) = Node::with_interpreter(&format!(r#""index": "{}","#, index.address), None);
    let mut client = node.client();
    let mut notices = 0;
    let mut command_after_reply = |reply: &dyn Fn(&str) -> String| {
        notices += 2;
        let txn = format!("a{notices}");
        client.request(notices, &txn, None, LONG_LIMIT_MS);
        vm.next_run();
        vm.send(format!("AWAIT {} {txn} 1\r\nc\r\n", notices - 1));
        let mut call = index.accept();
        call.next_command();
        call.send(reply(&txn));
        drop(call);
        let command = vm.next_command().0[0].clone();
        vm.send_run_result(notices, &txn, "done", "x");
        assert!(client.read_line().contains("result"));
        command
    };
    let reply = |txn: &str| format!("{txn} HIT 5\r\nre\r\nl\r\n");
    for short in 1..=reply("a99").len() {
        let cut = |txn: &str| {
            let whole = reply(txn);
            whole[..whole.len().saturating_sub(short)].to_string()
        };
        assert_eq!(command_after_reply(&cut), "STUB", "the reply lacks {short} bytes");
    }
    assert_eq!(command_after_reply(&reply), "RESOLVE");
}

#[test]
fn a_uwsgi_server_response_truncated_at_any_byte_is_never_served() {
    let server = Server::new();
    let uwsgi_file = format!("listen = '127.0.0.1:0'\nruns = ['{}']\n", server.address);
    let mut node = Node::start(&config(""), Some(&uwsgi_file));
    let address = node.uwsgi_address();
    let response_when_server_sends = |answer: &str| {
        let mut client = Peer::connect(address);
        client.send(packet(&[("PATH_INFO", "/quote")], "body"));
        let (mut run, ..) = server.next_uwsgi_request();
        run.send(answer);
        drop(run);
        client.read_to_end()
    };
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nresult";
    for cut in 0..answer.len() {
        assert!(
            response_when_server_sends(&answer[..cut]).starts_with("HTTP/1.1 500 "),
            "cut after {cut} bytes"
        );
    }
    assert!(response_when_server_sends(answer).ends_with("\r\n\r\nresult"));
    // Without a Content-Length, nothing shows that the response is complete.
    assert!(response_when_server_sends("HTTP/1.1 200 OK\r\n\r\nresu").starts_with("HTTP/1.1 500 "));
}
