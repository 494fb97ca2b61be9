//! Clients that close their connection before they have their responses: nothing is run for them any more, and what has run
//! for them does not run again.

use crate::helper::*;

/// Guards against requests that are run for a client that has closed its connection before the node read them.
#[test]
fn requests_of_a_client_that_left_before_they_were_read_are_not_run() {
    const REQUESTS: u32 = 30;
    let (mut node, _vm, mut link) = Node::with_interpreter("", Some(UWSGI));
    let uwsgi = node.uwsgi_address();
    while node.health() != "up" {}
    node.pause();
    let mut json = node.client();
    let requests = (1..=REQUESTS).map(|id| request(id, &format!("a{id}"), "quote", None, LONG_LIMIT_MS));
    json.send(requests.collect::<String>());
    let mut packets: Vec<Peer> = (0..REQUESTS).map(|_| Peer::connect(uwsgi)).collect();
    packets.iter_mut().for_each(|client| client.send(packet(&[("PATH_INFO", "/quote")], "body")));
    drop((json, packets));
    let mut other = node.client();
    other.request(1, "b1", None, LONG_LIMIT_MS);
    node.resume();
    assert_eq!(link.next_run().0, "b1", "the only client that is left");
    link.send_run_result(1, "b1", "done", "x");
    assert!(other.read_line().contains("result"));
    other.request(2, "b2", None, LONG_LIMIT_MS);
    assert_eq!(link.next_run().0, "b2");
}

/// Makes the class `quote`, whose requests carry no key, one whose requests run at most once.
fn with_at_most_once_class(config: String) -> String {
    config.replace("\"effect\": \"repeatable\"", "\"effect\": \"once\"")
}

/// Guards against an at-most-once request that runs again, because it comes again under its id after its client has left.
#[test]
fn an_at_most_once_request_that_comes_again_under_its_id_does_not_run_again() {
    let vm = Server::new();
    let config = with_at_most_once_class(config(&format!(r#""vm": "{}","#, vm.address)));
    let node = Node::start(&config, None);
    let mut link = vm.interpreter("0");
    let (mut leaving, mut client) = (node.client(), node.client());
    leaving.request(1, "a1", None, LONG_LIMIT_MS);
    assert_eq!(link.next_run().0, "a1");
    drop(leaving);
    client.request(1, "a1", None, LONG_LIMIT_MS);
    assert!(client.read_line().contains("\"id\":1,\"error\":{\"code\":-32000"), "it may take effect");
    link.send_run_result(1, "a1", "done", "first");
    // The run of another request shows that the node has read the result.
    client.request(2, "b1", None, LONG_LIMIT_MS);
    assert_eq!(link.next_run().0, "b1");
    link.send_run_result(2, "b1", "done", "x");
    assert!(client.read_line().contains("\"id\":2,\"result\""));
    client.request(3, "a1", None, LONG_LIMIT_MS);
    let again = client.read_line();
    assert!(again.contains("\"id\":3,\"result\":{\"content\":\"Zmlyc3Q=\"}"), "{again}");
    client.request(4, "b2", None, LONG_LIMIT_MS);
    assert_eq!(link.next_run().0, "b2", "a1 has not run again");
}

/// Guards against the same at the other process of an upgrade, while the run is under way and after its end.
#[test]
fn an_at_most_once_request_does_not_run_again_at_the_successor() {
    let fixture = UpgradeFixture::new();
    let (predecessor, mut predecessor_vm, _) = fixture.start_with(with_at_most_once_class);
    let mut leaving = predecessor.client();
    for (id, txn) in [(1, "a1"), (2, "a2")] {
        leaving.request(id, txn, None, LONG_LIMIT_MS);
        predecessor_vm.next_run();
    }
    predecessor_vm.send_run_result(1, "a1", "done", "first");
    assert!(leaving.read_line().contains("\"id\":1,\"result\""));
    drop(leaving);
    let (mut successor, mut successor_vm, _) = fixture.start_with(with_at_most_once_class);
    successor.wait_for_log("handover: completed");
    let mut client = successor.client();
    client.request(1, "a1", None, LONG_LIMIT_MS);
    assert!(client.read_line().contains("\"id\":1,\"result\":{\"content\":\"Zmlyc3Q=\"}"));
    client.request(2, "a2", None, LONG_LIMIT_MS);
    assert!(client.read_line().contains("\"id\":2,\"error\":{\"code\":-32000"), "it may take effect");
    predecessor.terminate();
    predecessor_vm.send_run_result(2, "a2", "done", "second");
    predecessor.assert_clean_exit();
    successor.wait_for_log("handover: predecessor ended");
    client.request(3, "a2", None, LONG_LIMIT_MS);
    assert!(client.read_line().contains("\"id\":3,\"result\":{\"content\":\"c2Vjb25k\"}"));
    client.request(4, "b1", None, LONG_LIMIT_MS);
    assert_eq!(successor_vm.next_run().0, "b1", "neither has run again");
}
