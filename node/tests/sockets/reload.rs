//! Tests of reloads on SIGHUP: what they change and what they leave unchanged.

use crate::helper::*;

/// Replaces the classes `book` and `quote` by `reserve` and `price`.
fn with_other_classes(text: &str) -> String {
    text.replace("\"book\"", "\"reserve\"").replace("\"quote\"", "\"price\"")
}

#[test]
fn a_reload_replaces_classes_and_open_requests_keep_theirs_and_their_keys() {
    let vm = Server::new();
    let text = config(&format!(r#""vm": "{}", "ops": "127.0.0.1:0","#, vm.address));
    let mut node = Node::start(&text, Some(UWSGI));
    let (ops, uwsgi) = (node.admin_address(), node.uwsgi_address());
    let mut link = vm.interpreter("0");
    let mut client = node.client();
    client.request(1, "a1", Some("k"), LONG_LIMIT_MS);
    link.next_run();
    node.reload(&with_other_classes(&text));
    assert!(node.wait_for_log("reload: applied").contains("settings=changed"));
    // Further attempts of the request, under the new name of its class, join the run on both frontends.
    client.send(request(2, "b1", "reserve", Some("k"), LONG_LIMIT_MS));
    let mut uwsgi_client = Peer::connect(uwsgi);
    uwsgi_client.send(packet(&[("PATH_INFO", "/reserve"), ("HTTP_IDEMPOTENCY_KEY", "k")], "body"));
    client.send(request(3, "c1", "price", None, LONG_LIMIT_MS));
    assert_eq!(link.next_run(), ("c1".into(), "price".into(), "body".into()));
    // Open requests keep their class when they are applied again on a new link.
    drop(link);
    let mut link = vm.interpreter("0");
    assert_eq!((link.next_run().1, link.next_run().1), ("book".into(), "price".into()));
    link.send_run_result(1, "a1", "done", "x");
    let results = [client.read_line(), client.read_line()];
    assert!(results.iter().all(|line| line.contains("\"result\"")), "{results:?}");
    assert!(uwsgi_client.read_to_end().ends_with("\r\n\r\nx"));
    let stats = admin_call(ops, "GET /ops/stats");
    for line in ["answered{group=\"book\"} 1", "answered{group=\"reserve\"} 2", "sends{group=\"price\"} 1"] {
        assert!(stats.contains(line), "{line} is missing in {stats}");
    }
}

#[test]
fn a_reload_with_an_invalid_file_changes_nothing_and_is_counted() {
    let (mut node, vm, _link) = Node::with_interpreter(r#""ops": "127.0.0.1:0","#, None);
    let ops = node.admin_address();
    let text = config(&format!(r#""vm": "{}", "ops": "127.0.0.1:0","#, vm.address));
    // No more reloads than the log shows of one kind in a second.
    let bad = [
        (String::new(), "EOF"),
        (text[..text.len() / 2].into(), "EOF"),
        (text.replace("120000000, \"effect\": \"rep", "0, \"effect\": \"rep"), "services[0].deadline"),
        // These keys have defaults at startup, but a reload may not omit a key that the previous file
        // contained.
        (text.replace(r#""idle": 30000000, "#, ""), "settings.specifics.idle"),
        (text.replace(r#""name": "quote", "#, ""), "settings.services.0.name"),
    ];
    for (file, key) in &bad {
        assert_ne!(*file, text);
        node.reload(&with_other_classes(file));
        let line = node.wait_for_log("reload: rejected");
        assert!(line.contains(key), "{line} does not name {key}");
    }
    let mut client = node.client();
    client.send(request(1, "a1", "price", None, LONG_LIMIT_MS));
    assert!(client.read_line().contains("-32601"));
    node.reload(&with_other_classes(&text));
    node.wait_for_log("reload: applied");
    let stats = admin_call(ops, "GET /ops/stats");
    assert!(stats.contains("svc_conf_loaded 1\n"), "{stats}");
    assert!(stats.contains(&format!("svc_conf_invalid {}\n", bad.len())), "{stats}");
}
