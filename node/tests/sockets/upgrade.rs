//! Tests of upgrades in place, in which a successor takes over from the serving process.

use oakwind_fault_harness::wire::STATUS;

use crate::helper::*;

#[test]
fn a_successor_takes_over_the_clients_and_runs_no_key_that_its_predecessor_has() {
    let fixture = UpgradeFixture::new();
    let (mut predecessor, mut predecessor_vm) = fixture.start();
    let mut before = predecessor.client();
    for (id, txn, key) in [(1, "a1", "ended"), (2, "a2", "runs"), (3, "a3", "fails")] {
        before.request(id, txn, Some(key), LONG_LIMIT_MS);
        predecessor_vm.next_run();
    }
    predecessor_vm.send_run_result(1, "a1", "done", "first");
    let result = before.read_line().replace("\"id\":1,", "");
    let (mut successor, mut successor_vm) = fixture.start();
    successor.wait_for_log("handover: completed");
    // Clients of the predecessor are notified and get their responses; new clients reach only the successor.
    assert_eq!(before.read_any_line(), DRAINING);
    predecessor.wait_for_log("frontend: stopped listening: protocol=uwsgi");
    let mut client = successor.client();
    client.request(1, "b1", Some("ended"), LONG_LIMIT_MS);
    assert_eq!(client.read_line().replace("\"id\":1,", ""), result);
    assert!(
        fixture.uwsgi_request("ended").read_to_end().ends_with("first"),
        "the uwsgi frontend returns the same result"
    );
    client.request(2, "b2", Some("runs"), LONG_LIMIT_MS);
    client.request(3, "b3", Some("fails"), LONG_LIMIT_MS);
    let mut other = fixture.uwsgi_request("runs");
    client.request(4, "b4", Some("fresh"), LONG_LIMIT_MS);
    assert_eq!(successor_vm.next_run().0, "b4", "no key of the predecessor runs at the successor");
    // The predecessor fails keys that are new to it, as the successor may have run them.
    before.request(4, "a4", Some("late"), LONG_LIMIT_MS);
    assert!(before.read_line().contains("\"id\":4,\"error\":{\"code\":-32000"));
    predecessor.terminate();
    predecessor_vm.send_run_result(2, "a2", "done", "second");
    let result = before.read_line().replace("\"id\":2,", "");
    assert_eq!(client.read_line().replace("\"id\":2,", ""), result);
    assert!(other.read_to_end().ends_with("second"));
    predecessor_vm.send_run_result(3, "a3", "crashed", "");
    assert!(before.read_line().contains("-32000"));
    assert!(client.read_line().contains("\"id\":3,\"error\":{\"code\":-32000"));
    drop(before);
    predecessor.assert_clean_exit();
    successor_vm.send_run_result(1, "b4", "done", "x");
    assert!(client.read_line().contains("\"id\":4,\"result\""));
}

/// Guards against a booking that the successor has run and that the predecessor rejects as never run.
#[test]
fn a_predecessor_does_not_reject_a_key_that_its_successor_has_run() {
    let fixture = UpgradeFixture::new();
    let (predecessor, _predecessor_vm) = fixture.start();
    let mut before = predecessor.client();
    before.send(STATUS);
    assert!(before.read_line().contains("\"up\""), "the predecessor serves this connection");
    let (mut successor, mut successor_vm) = fixture.start();
    successor.wait_for_log("handover: completed");
    let mut client = successor.client();
    client.request(1, "b1", Some("moved"), LONG_LIMIT_MS);
    successor_vm.next_run();
    successor_vm.send_run_result(1, "b1", "done", "x");
    assert!(client.read_line().contains("\"result\""));
    before.request(2, "a2", Some("moved"), LONG_LIMIT_MS);
    assert!(before.read_line().contains("\"id\":2,\"error\":{\"code\":-32000"));
}

#[test]
fn runs_lost_with_a_predecessor_fail_and_a_process_that_lost_its_successor_serves_again() {
    let fixture = UpgradeFixture::new();
    let (mut predecessor, mut predecessor_vm) = fixture.start();
    let (mut successor, _successor_vm) = fixture.start();
    successor.wait_for_log("handover: completed");
    predecessor.wait_for_log("frontend: stopped listening: protocol=JSON-RPC");
    drop(successor);
    predecessor.wait_until_listening();
    predecessor.uwsgi_address();
    let mut client = predecessor.client();
    client.request(1, "a1", Some("k"), LONG_LIMIT_MS);
    predecessor_vm.next_run();
    let (mut successor, _successor_vm) = fixture.start();
    successor.wait_for_log("handover: completed");
    let mut after = successor.client();
    after.request(1, "b1", Some("k"), LONG_LIMIT_MS);
    drop(predecessor);
    assert!(after.read_line().contains("-32000"), "the run may have taken effect");
}

#[test]
fn a_process_whose_successor_was_replaced_accepts_no_clients_again() {
    let fixture = UpgradeFixture::new();
    let (mut first, mut first_vm) = fixture.start();
    let mut before = first.client();
    before.request(1, "a1", Some("k"), LONG_LIMIT_MS);
    first_vm.next_run();
    let (mut second, _second_vm) = fixture.start();
    second.wait_for_log("handover: completed");
    let (mut third, mut third_vm) = fixture.start();
    third.wait_for_log("handover: completed");
    first.wait_for_log("another process has taken over in turn");
    drop(second);
    // Only the third process accepts clients.
    let mut client = third.client();
    client.request(1, "c1", Some("l"), LONG_LIMIT_MS);
    assert_eq!(third_vm.next_run().0, "c1");
    first_vm.send_run_result(1, "a1", "done", "x");
    assert_eq!(before.read_any_line(), DRAINING);
    assert!(before.read_line().contains("\"result\""));
}

#[test]
fn a_configuration_file_replaced_during_an_upgrade_is_applied_by_the_successor() {
    let fixture = UpgradeFixture::new();
    let (predecessor, _predecessor_vm) = fixture.start();
    let (mut successor, mut successor_vm, config) = fixture.start_with_config();
    successor.wait_for_log("handover: completed");
    // The successor applies the file without a SIGHUP: one that reached only the predecessor would be lost.
    successor.replace_config(&config.replace("\"quote\"", "\"price\""));
    predecessor.terminate();
    predecessor.assert_clean_exit();
    successor.wait_for_log("reload: applied: addresses=unchanged settings=changed");
    let mut client = successor.client();
    client.send(request(1, "a1", "price", None, LONG_LIMIT_MS));
    assert_eq!(successor_vm.next_run().1, "price");
}

#[test]
fn a_successor_stopped_before_it_can_serve_leaves_the_predecessor_serving() {
    let fixture = UpgradeFixture::new();
    let (predecessor, mut predecessor_vm) = fixture.start();
    let (successor, _successor_vm) = fixture.start_with_silent_interpreter();
    successor.terminate();
    successor.assert_clean_exit();
    let mut client = predecessor.client();
    client.request(1, "a1", Some("k"), LONG_LIMIT_MS);
    predecessor_vm.next_run();
    predecessor_vm.send_run_result(1, "a1", "done", "x");
    assert!(client.read_line().contains("\"result\""));
}

/// Guards against completed bookings that run again because a predecessor drained, and its keys ended with it, while
/// the interpreter of its successor was silent.
#[test]
fn a_successor_that_cannot_serve_yet_gets_the_keys_of_a_predecessor_that_drains() {
    let fixture = UpgradeFixture::new();
    let (mut predecessor, mut predecessor_vm) = fixture.start();
    let mut before = predecessor.client();
    before.request(1, "a1", Some("ended"), LONG_LIMIT_MS);
    predecessor_vm.next_run();
    predecessor_vm.send_run_result(1, "a1", "done", "first");
    let first = before.read_line().replace("\"id\":1,", "");
    let (mut successor, mut successor_vm) = fixture.start_with_silent_interpreter();
    predecessor.wait_for_log("handover: successor stands by until it can serve");
    // The predecessor serves on meanwhile.
    before.request(2, "a2", Some("runs"), LONG_LIMIT_MS);
    predecessor_vm.next_run();
    predecessor.terminate();
    predecessor.wait_for_log("handover: draining before the successor can serve");
    successor.wait_for_log("handover: table received from the predecessor: keys=2");
    predecessor_vm.send_run_result(2, "a2", "done", "second");
    assert_eq!(before.read_any_line(), DRAINING);
    let second = before.read_line().replace("\"id\":2,", "");
    drop(before);
    predecessor.assert_clean_exit();
    successor_vm.send(BANNER);
    successor.wait_for_log("handover: completed");
    successor.wait_until_listening();
    let mut client = successor.client();
    for (id, txn, key, result) in [(1, "b1", "ended", first), (2, "b2", "runs", second)] {
        client.request(id, txn, Some(key), LONG_LIMIT_MS);
        assert_eq!(client.read_line().replace(&format!("\"id\":{id},"), ""), result, "{key}");
    }
    assert!(fixture.uwsgi_request("ended").read_to_end().ends_with("first"), "over uwsgi as well");
    client.request(3, "b3", Some("fresh"), LONG_LIMIT_MS);
    assert_eq!(successor_vm.next_run().0, "b3", "no key of the predecessor runs at the successor");
}

/// Guards against keys that end with a process which got them and never served.
#[test]
fn a_process_that_has_the_keys_and_cannot_serve_hands_them_to_a_further_process() {
    let fixture = UpgradeFixture::new();
    let (mut first, mut first_vm) = fixture.start();
    let result = UpgradeFixture::serve_ended_key(&first, &mut first_vm);
    let (mut second, _second_vm) = fixture.start_with_silent_interpreter();
    first.wait_for_log("handover: successor stands by until it can serve");
    first.terminate();
    first.assert_clean_exit();
    second.wait_for_log("handover: table received from the predecessor: keys=1");
    let (mut third, mut third_vm) = fixture.start();
    third.wait_for_log("handover: completed");
    second.terminate();
    second.assert_clean_exit();
    let mut client = third.client();
    client.request(1, "c1", Some("ended"), LONG_LIMIT_MS);
    assert_eq!(client.read_line(), result);
    client.request(2, "c2", Some("fresh"), LONG_LIMIT_MS);
    assert_eq!(third_vm.next_run().0, "c2");
}

/// Guards against a process that waits for its interpreter and keeps a later one, which can serve, from taking over.
#[test]
fn a_process_that_can_serve_takes_over_before_one_that_stands_by() {
    let fixture = UpgradeFixture::new();
    let (mut first, mut first_vm) = fixture.start();
    let result = UpgradeFixture::serve_ended_key(&first, &mut first_vm);
    let (mut second, mut second_vm) = fixture.start_with_silent_interpreter();
    first.wait_for_log("handover: successor stands by until it can serve");
    let (mut third, _third_vm) = fixture.start();
    third.wait_for_log("handover: completed");
    first.terminate();
    first.assert_clean_exit();
    // The second process takes over from the third one once it can serve.
    second_vm.send(BANNER);
    second.wait_for_log("handover: completed");
    second.wait_until_listening();
    third.terminate();
    third.assert_clean_exit();
    let mut client = second.client();
    client.request(1, "b1", Some("ended"), LONG_LIMIT_MS);
    assert_eq!(client.read_line(), result);
    client.request(2, "b2", Some("fresh"), LONG_LIMIT_MS);
    assert_eq!(second_vm.next_run().0, "b2");
}

/// Guards against completed bookings that run again because a process that drained ended as soon as a successor took over
/// its clients, before it had sent its keys.
#[test]
fn a_process_that_drains_ends_only_once_its_successor_has_the_keys() {
    let fixture = UpgradeFixture::new();
    let (mut predecessor, mut predecessor_vm, _) = fixture.start_with(with_drain_grace(30_000_000));
    let result = UpgradeFixture::serve_ended_key(&predecessor, &mut predecessor_vm);
    predecessor.terminate();
    // Nothing is left to be answered, and the process only waits for the end of the grace period.
    predecessor.wait_for_log("dispatcher: health changed: healthy=false");
    let (mut successor, mut successor_vm) = fixture.start();
    successor.wait_for_log("handover: table received from the predecessor: keys=1");
    predecessor.assert_clean_exit();
    let mut client = successor.client();
    client.request(1, "b1", Some("ended"), LONG_LIMIT_MS);
    assert_eq!(client.read_line(), result);
    client.request(2, "b2", Some("fresh"), LONG_LIMIT_MS);
    assert_eq!(successor_vm.next_run().0, "b2");
}
