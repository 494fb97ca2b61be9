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
