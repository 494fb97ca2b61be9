//! Upgrades in place: a successor takes over from the process that serves.

use crate::helper::*;

#[test]
fn a_successor_takes_over_the_clients_and_runs_no_key_that_its_predecessor_has() {
    let fixture = UpgradeFixture::new();
    let (mut old, mut old_vm) = fixture.start();
    let mut before = old.client();
    for (id, txn, key) in [(1, "a1", "ended"), (2, "a2", "runs"), (3, "a3", "fails")] {
        before.request(id, txn, Some(key), LONG_LIMIT_MS);
        old_vm.next_run();
    }
    old_vm.send_run_result(1, "a1", "done", "first");
    let result = before.read_line().replace("\"id\":1,", "");
    let (mut new, mut new_vm) = fixture.start();
    new.wait_for_log("handover: completed");
    // Clients of the predecessor are notified and get their responses; new ones reach the successor alone.
    assert_eq!(before.read_any_line(), DRAINING);
    old.wait_for_log("frontend: stopped listening: protocol=uwsgi");
    let mut client = new.client();
    client.request(1, "b1", Some("ended"), LONG_LIMIT_MS);
    assert_eq!(client.read_line().replace("\"id\":1,", ""), result);
    assert!(fixture.uwsgi_request("ended").read_to_end().ends_with("first"), "over the other front as well");
    client.request(2, "b2", Some("runs"), LONG_LIMIT_MS);
    client.request(3, "b3", Some("fails"), LONG_LIMIT_MS);
    let mut other = fixture.uwsgi_request("runs");
    client.request(4, "b4", Some("fresh"), LONG_LIMIT_MS);
    assert_eq!(new_vm.next_run().0, "b4", "nothing else runs here");
    // The predecessor runs no key that it does not know.
    before.request(4, "a4", Some("late"), LONG_LIMIT_MS);
    assert!(before.read_line().contains("-32011"));
    old.terminate();
    old_vm.send_run_result(2, "a2", "done", "second");
    let result = before.read_line().replace("\"id\":2,", "");
    assert_eq!(client.read_line().replace("\"id\":2,", ""), result);
    assert!(other.read_to_end().ends_with("second"));
    old_vm.send_run_result(3, "a3", "crashed", "");
    assert!(before.read_line().contains("-32000"));
    assert!(client.read_line().contains("\"id\":3,\"error\":{\"code\":-32000"));
    drop(before);
    old.assert_clean_exit();
    new_vm.send_run_result(1, "b4", "done", "x");
    assert!(client.read_line().contains("\"id\":4,\"result\""));
}

#[test]
fn runs_lost_with_a_predecessor_have_failed_and_a_process_that_lost_its_successor_serves_on() {
    let fixture = UpgradeFixture::new();
    let (mut old, mut old_vm) = fixture.start();
    let (mut new, _new_vm) = fixture.start();
    new.wait_for_log("handover: completed");
    old.wait_for_log("frontend: stopped listening: protocol=JSON-RPC");
    drop(new);
    old.wait_until_listening();
    old.uwsgi_address();
    let mut client = old.client();
    client.request(1, "a1", Some("k"), LONG_LIMIT_MS);
    old_vm.next_run();
    let (mut new, _new_vm) = fixture.start();
    new.wait_for_log("handover: completed");
    let mut after = new.client();
    after.request(1, "b1", Some("k"), LONG_LIMIT_MS);
    drop(old);
    assert!(after.read_line().contains("-32000"), "it may have run");
}

#[test]
fn a_process_whose_successor_has_a_successor_accepts_no_clients_again() {
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
    // Only the third takes clients.
    let mut client = third.client();
    client.request(1, "c1", Some("l"), LONG_LIMIT_MS);
    assert_eq!(third_vm.next_run().0, "c1");
    first_vm.send_run_result(1, "a1", "done", "x");
    assert_eq!(before.read_any_line(), DRAINING);
    assert!(before.read_line().contains("\"result\""));
}

#[test]
fn a_file_that_was_replaced_during_an_upgrade_is_applied_by_the_successor() {
    let fixture = UpgradeFixture::new();
    let (old, _old_vm) = fixture.start();
    let (mut new, mut new_vm, config) = fixture.start_with_config();
    new.wait_for_log("handover: completed");
    // A SIGHUP that reached the predecessor alone would be lost with it.
    new.replace_config(&config.replace("\"quote\"", "\"price\""));
    old.terminate();
    old.assert_clean_exit();
    new.wait_for_log("reload: applied: addresses=unchanged settings=changed");
    let mut client = new.client();
    client.send(request(1, "a1", "price", None, LONG_LIMIT_MS));
    assert_eq!(new_vm.next_run().1, "price");
}

#[test]
fn a_successor_that_is_stopped_before_it_can_serve_takes_nothing_over() {
    let fixture = UpgradeFixture::new();
    let (old, mut old_vm) = fixture.start();
    let vm = Server::new();
    let text = config(&format!(r#""vm": "{}","#, vm.address)).replace("127.0.0.1:0", &fixture.json);
    let new = Node::spawn(&text, None, Some(&fixture.folder));
    let mut link = vm.accept();
    link.read_line();
    new.terminate();
    new.assert_clean_exit();
    let mut client = old.client();
    client.request(1, "a1", Some("k"), LONG_LIMIT_MS);
    old_vm.next_run();
    old_vm.send_run_result(1, "a1", "done", "x");
    assert!(client.read_line().contains("\"result\""));
}
