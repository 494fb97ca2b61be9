//! The instant in which something ends while something is still owed (docs/endings.md).

use crate::helper::*;
use crate::upgrade::Place;
use std::io::Write;
use std::os::unix::net::{UnixListener, UnixStream};

/// A node with these changes to its configuration and a stand-in interpreter, whose link is up.
fn node_with(change: impl Fn(String) -> String) -> (Node, Server, Peer) {
    let vm = Server::new();
    let node = Node::start(&change(config(&format!(r#""vm": "{}","#, vm.address))), None);
    let link = vm.interpreter("0");
    (node, vm, link)
}

fn grace(us: u64) -> impl Fn(String) -> String {
    move |text| text.replace("\"drainGrace\": 200000", &format!("\"drainGrace\": {us}"))
}

const STATUS: &str = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"status\"}\n";

#[test]
fn what_comes_after_the_end_of_a_resting_connection_is_not_sent_on_and_resets_nothing() {
    let (node, _vm, mut link) = node_with(|text| text.replace("\"idle\": 30000000", "\"idle\": 100000"));
    let mut resting = node.client();
    resting.request(1, "a1", None, LONG);
    link.apply();
    link.value(1, "a1", "done", "x");
    assert!(resting.line().contains("result"));
    assert_eq!(resting.any_line(), DRAINING);
    assert_eq!(resting.rest(), "", "it ends");
    resting.request(2, "a2", None, LONG);
    assert!(resting.takes("half a li"), "no reset answers what was on its way");
    let mut other = node.client();
    other.request(1, "b1", None, LONG);
    assert_eq!(link.apply().0, "b1", "the request after the end was not sent on");
}

#[test]
fn half_a_line_before_the_notice_to_leave_is_answered_when_it_is_whole() {
    let (node, _vm, mut link) = node_with(grace(30_000_000));
    let mut client = node.client();
    let line = request(1, "a1", "quote", None, LONG);
    client.say(&line[..40]);
    // That another request of the connection before it was heard shows that this half was, too.
    while node.status() != "up" {}
    node.terminate();
    assert_eq!(client.any_line(), DRAINING);
    client.say(&line[40..]);
    link.apply();
    link.value(1, "a1", "done", "x");
    assert!(client.line().contains("\"id\":1,\"result\""));
}

#[test]
fn what_is_whole_only_after_the_grace_is_refused_and_never_run() {
    let (node, _vm, mut link) = node_with(grace(0));
    let mut client = node.client();
    // A door that is still to come is the moment of reading.
    let line = request(1, "a1", "quote", None, LONG).replace("\"door\":", "\"door\":1");
    client.say(&line[..40]);
    while node.status() != "up" {}
    node.terminate();
    assert_eq!(client.any_line(), DRAINING);
    client.say(&line[40..]);
    assert!(client.line().contains("\"id\":1,\"error\":{\"code\":-32011"));
    drop(client);
    node.ends();
    assert!(!link.rest().contains("APPLY"));
}

#[test]
fn connections_that_the_system_took_before_the_listener_closed_are_served() {
    let (node, _vm, _link) = node_with(grace(0));
    while node.status() != "up" {}
    // More than the runtime does in one turn of a task.
    node.stands_still();
    let mut clients: Vec<Peer> = (0..400).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|client| client.say(STATUS));
    node.terminate();
    node.goes_on();
    for client in &mut clients {
        assert!(client.line().contains("\"up\""));
    }
    drop(clients);
    node.ends();
}

#[test]
fn a_client_that_hardly_reads_its_answers_is_let_go_and_nobody_waits_for_it() {
    let (node, _vm, mut link) = Node::with_interpreter("", None);
    let mut slow = Peer::that_reads_little(node.json);
    let result = "r".repeat(250_000);
    let all: String = (1..=32).map(|id| request(id, &format!("a{id}"), "quote", None, LONG)).collect();
    slow.say(all);
    for id in 1..=32 {
        let (txn, ..) = link.apply();
        link.value(id, &txn, "done", &result);
    }
    // A little is read all the time; that the connection takes nothing more shows its end.
    while slow.takes("\n") {
        slow.bytes(4096);
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    let mut other = node.client();
    other.request(1, "b1", None, LONG);
    link.apply();
    link.value(33, "b1", "done", "x");
    assert!(other.line().contains("result"));
}

/// A process that takes over at this place from one that the test plays, which says nothing yet.
fn takes_over(place: &Place, change: impl Fn(String) -> String) -> (Node, Server, Peer, UnixStream) {
    let socket = place.json.replace(':', "_");
    let before = UnixListener::bind(place.folder.join(format!("oakwind-{socket}.sock"))).unwrap();
    let vm = Server::new();
    let text = config(&format!(r#""vm": "{}","#, vm.address)).replace("127.0.0.1:0", &place.json);
    let mut node = Node::spawn(&change(text), None, Some(&place.folder));
    // It asks first whether a process serves here, then takes over.
    drop(before.accept().unwrap());
    let link = vm.interpreter("0");
    node.serves();
    let (told, _) = before.accept().unwrap();
    (node, vm, link, told)
}

#[test]
fn a_process_before_that_is_slow_to_tell_its_keys_delays_no_answer() {
    let place = Place::new("127.0.3.7");
    let (mut node, _vm, mut link, mut before) = takes_over(&place, |text| text);
    let mut client = node.client();
    client.request(1, "a1", Some("slow"), 300);
    assert!(client.line().contains("-32011"), "it has not run, and its caller waits no longer");
    client.request(2, "a2", Some("known"), LONG);
    before.write_all(b"SEED 1\r\nKEY 1 99999999999999 done 5 8\r\nknownjob\r\nALL\r\n").unwrap();
    node.logs("handover: 1 keys are known from the predecessor");
    // What was held back is decided on now: this key came with another body.
    assert!(client.line().contains("-32602"));
    client.request(3, "a3", Some("fresh"), LONG);
    assert_eq!(link.apply().0, "a3");
}

#[test]
fn a_notice_to_leave_before_the_keys_are_told_leaves_no_try_without_an_answer() {
    let place = Place::new("127.0.3.8");
    // It is stopped before it would give up waiting for the keys.
    let (node, _vm, _link, _before) = takes_over(&place, |text| text.replace("30000", "1000"));
    let mut client = node.client();
    client.request(1, "a1", Some("k"), LONG);
    client.say(STATUS.replace(":1,", ":2,"));
    assert!(client.line().contains("\"id\":2"), "both were read");
    node.terminate();
    assert!(client.line().contains("\"id\":1,\"error\":{\"code\":-32011"));
}

#[test]
fn a_client_that_finds_no_place_sees_an_end_and_no_reset() {
    let (mut node, _vm, _link) =
        node_with(|text| text.replace("\"seed\"", "\"limits\": {\"sockets\": 40}, \"seed\""));
    let mut busy: Vec<Peer> = (0..10).map(|_| node.client()).collect();
    for (place, client) in busy.iter_mut().enumerate() {
        client.request(1, &format!("a{place}"), None, LONG);
        client.say(STATUS.replace(":1,", ":2,"));
        assert!(client.line().contains("\"id\":2"), "its request is open");
    }
    // What it says has come before the node knows of it.
    node.stands_still();
    let mut late = node.client();
    late.say(STATUS);
    node.goes_on();
    assert_eq!(late.rest(), "");
    node.logs("frontend: connection rejected: all connections are busy");
}

#[test]
fn half_a_uwsgi_request_before_the_notice_to_leave_is_answered_when_it_is_whole() {
    let vm = Server::new();
    let text = grace(30_000_000)(config(&format!(r#""vm": "{}","#, vm.address)));
    let mut node = Node::start(&text, Some("listen = '127.0.2.9:0'"));
    let address = node.uwsgi();
    let mut link = vm.interpreter("0");
    let mut client = Peer::connect(address);
    let whole = packet(&[("PATH_INFO", "/quote")], "body");
    client.say(&whole[..9]);
    while node.status() != "up" {}
    node.terminate();
    while node.status() != "down" {}
    client.say(&whole[9..]);
    let (id, ..) = link.apply();
    link.value(1, &id, "done", "late");
    assert!(client.rest().ends_with("late"));
}

#[test]
fn a_node_whose_interpreter_is_late_answers_at_once_and_is_up_with_it() {
    let vm = Server::new();
    let node = Node::start(&config(&format!(r#""vm": "{}","#, vm.address)), None);
    let mut link = vm.accept();
    link.line();
    assert_eq!(node.status(), "down");
    let mut client = node.client();
    client.request(1, "a1", None, LONG);
    assert!(client.line().contains("-32011"), "nothing runs yet");
    link.say("BANNER fresh 0\r\n");
    while node.status() != "up" {}
}

#[test]
fn a_node_that_is_to_stop_at_once_still_writes_all_answers_to_a_client_that_reads() {
    let (node, _vm, mut link) = node_with(|text| text.replace("30000", "1"));
    let (mut slow, mut other) = (Peer::that_reads_little(node.json), node.client());
    let all: String = (1..=32).map(|id| request(id, &format!("a{id}"), "quote", None, LONG)).collect();
    slow.say(all);
    let result = "r".repeat(250_000);
    for notice in 1..=32 {
        let (txn, ..) = link.apply();
        link.value(notice, &txn, "done", &result);
    }
    // That this is answered shows that all results before it were heard.
    other.request(1, "b1", None, LONG);
    link.apply();
    link.value(33, "b1", "done", "x");
    assert!(other.line().contains("result"));
    node.terminate();
    assert_eq!(other.any_line(), DRAINING);
    let answers = slow.rest();
    assert_eq!(answers.lines().filter(|line| line.contains("\"result\"") && line.ends_with('}')).count(), 32);
    node.ends();
}

#[test]
fn an_interpreter_is_known_again_though_the_clock_was_set_ahead_meanwhile() {
    let vm = Server::new();
    let path = file("config.json", &config(&format!(r#""vm": "{}","#, vm.address)));
    let mut command = oakwind(&["serve", "--config", path.to_str().unwrap()]);
    // An hour ahead, a second after its start.
    command.env("OAKWIND_REHEARSED_CLOCK", "1000:3600000");
    let mut node = Node::of(command);
    node.serves();
    let mut link = vm.interpreter("0");
    let mut client = node.client();
    // A door that is still to come is the moment of reading, whenever the clock is set.
    client.say(request(1, "a1", "book", Some("k"), LONG).replace("\"door\":", "\"door\":1"));
    link.apply();
    node.logs("the clock has jumped ahead");
    drop(link);
    let mut link = vm.accept();
    link.line();
    // Surely no later a start than the one told before, however long this test takes.
    link.say("BANNER seasoned 600000\r\n");
    assert_eq!(link.apply().0, "a1", "its run goes on");
}

#[test]
fn processes_that_start_together_are_each_ready_with_their_interpreter_and_not_before() {
    let vms: Vec<Server> = (0..24).map(|_| Server::new()).collect();
    let start = |vm: &Server| {
        // Nobody hears their reports.
        let links = format!(r#""vm": "{}", "members": "{DOWN}", "ops": "127.0.0.1:0","#, vm.address);
        Node::spawn(&config(&links), None, None)
    };
    let mut nodes: Vec<Node> = vms.iter().map(start).collect();
    let mut links: Vec<Peer> = vms.iter().map(Server::accept).collect();
    for node in &mut nodes {
        node.serves();
        assert_eq!(node.status(), "down");
    }
    links.iter_mut().for_each(|link| link.say("BANNER fresh 0\r\n"));
    for node in &mut nodes {
        let ops = node.ops();
        while !call(ops, "GET /ops/readiness").starts_with("HTTP/1.1 200 ") {}
        while node.status() != "up" {}
    }
}
