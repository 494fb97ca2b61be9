//! Tests of upgrades in place of a node with a result store.

use crate::helper::*;

#[test]
fn an_upgrade_hands_over_the_folder_and_keys_of_both_processes_survive_a_crash() {
    let store = StoreFolder::new("");
    let fixture = UpgradeFixture::with_store(&store);
    let (predecessor, mut predecessor_vm) = fixture.start();
    let mut before = predecessor.client();
    for (id, txn, key) in [(1, "a1", "first"), (2, "a2", "second")] {
        before.request(id, txn, Some(key), LONG_LIMIT_MS);
        predecessor_vm.next_run();
    }
    predecessor_vm.send_run_result(1, "a1", "done", "1");
    let first = before.read_line().replace("\"id\":1,", "");
    let (mut successor, mut successor_vm) = fixture.start();
    successor.wait_for_log("handover: completed");
    let mut client = successor.client();
    client.request(1, "b1", Some("third"), LONG_LIMIT_MS);
    assert_eq!(successor_vm.next_run().0, "b1");
    successor_vm.send_run_result(1, "b1", "done", "3");
    let third = client.read_line().replace("\"id\":1,", "");
    client.request(2, "b2", Some("second"), LONG_LIMIT_MS);
    predecessor_vm.send_run_result(2, "a2", "done", "2");
    let second = client.read_line().replace("\"id\":2,", "");
    assert!(second.contains("result") && third.contains("result"));
    drop(predecessor);
    drop(successor);
    let (after, _vm) = fixture.start();
    let mut client = after.client();
    for (id, txn, key, result) in
        [(1, "c1", "first", first), (2, "c2", "second", second), (3, "c3", "third", third)]
    {
        client.request(id, txn, Some(key), LONG_LIMIT_MS);
        assert_eq!(client.read_line().replace(&format!("\"id\":{id},"), ""), result, "{key}");
    }
}

/// Guards against completed bookings that run again because a successor got no keys from its predecessor and did not
/// read the result store, which has them.
#[test]
fn a_successor_whose_predecessor_dies_before_it_sent_its_keys_reads_them_from_the_store() {
    let store = StoreFolder::new("");
    let fixture = UpgradeFixture::with_store(&store);
    let (mut predecessor, mut predecessor_vm) = fixture.start();
    let mut before = predecessor.client();
    for (id, txn, key) in [(1, "a1", "ended"), (2, "a2", "began")] {
        before.request(id, txn, Some(key), LONG_LIMIT_MS);
        predecessor_vm.next_run();
    }
    predecessor_vm.send_run_result(1, "a1", "done", "first");
    let first = before.read_line();
    let (mut successor, mut successor_vm) = fixture.start_with_silent_interpreter();
    predecessor.wait_for_log("handover: successor stands by until it can serve");
    drop(predecessor);
    successor.wait_for_log("handover: no table came from the predecessor");
    successor.wait_for_log("result store: recovered: keys=2");
    successor_vm.send(BANNER);
    successor.wait_for_log("handover: completed");
    successor.wait_until_listening();
    let mut client = successor.client();
    client.request(1, "b1", Some("ended"), LONG_LIMIT_MS);
    assert_eq!(client.read_line(), first);
    assert!(fixture.uwsgi_request("ended").read_to_end().ends_with("first"), "over uwsgi as well");
    client.request(2, "b2", Some("began"), LONG_LIMIT_MS);
    assert!(client.read_line().contains("-32000"), "the run may have taken effect");
    // What runs now is stored.
    client.request(3, "b3", Some("fresh"), LONG_LIMIT_MS);
    assert_eq!(successor_vm.next_run().0, "b3");
    successor_vm.send_run_result(1, "b3", "done", "third");
    let third = client.read_line().replace("\"id\":3,", "");
    drop(successor);
    let (after, _vm) = fixture.start();
    let mut client = after.client();
    client.request(1, "c1", Some("fresh"), LONG_LIMIT_MS);
    assert_eq!(client.read_line().replace("\"id\":1,", ""), third);
}

/// Guards against completed bookings that run again because a process was started while the one before it drained, and
/// that one ended before it had sent its keys.
#[test]
fn a_restart_within_a_drain_answers_retries_of_completed_keys_with_the_first_results() {
    let store = StoreFolder::new("");
    let fixture = UpgradeFixture::with_store(&store);
    let (mut predecessor, mut predecessor_vm, _) = fixture.start_with(with_drain_grace(30_000_000));
    let first = UpgradeFixture::serve_ended_key(&predecessor, &mut predecessor_vm);
    predecessor.terminate();
    predecessor.wait_for_log("dispatcher: health changed: healthy=false");
    let (mut successor, mut successor_vm) = fixture.start();
    successor.wait_for_log("handover: completed");
    predecessor.assert_clean_exit();
    let mut client = successor.client();
    client.request(1, "b1", Some("ended"), LONG_LIMIT_MS);
    assert_eq!(client.read_line(), first);
    assert!(fixture.uwsgi_request("ended").read_to_end().ends_with("first"), "over uwsgi as well");
    client.request(2, "b2", Some("fresh"), LONG_LIMIT_MS);
    assert_eq!(successor_vm.next_run().0, "b2", "no key of the predecessor runs at the successor");
}
