//! The fault harness's scenarios against the built program, shortened and with three nodes: no fault may lead to a
//! violation. The verdict depends on the checker's rules alone, with a slack wide enough for a slow machine.

mod plays;

/// Plays the named scenario with three nodes and the given keys overridden, and asserts that enough requests were sent.
fn assert_no_violations(name: &str, overrides: &[(&str, &str)]) {
    let shortened =
        [("fleet.nodes", "3"), ("seconds", "6"), ("load.load", "0.5"), ("rules.slack_ms", "3000")];
    let (_, verdict) = plays::play_without_violations(name, &[&shortened, overrides]);
    assert!(verdict.written > 50, "only {} requests were written", verdict.written);
}

/// The first fault starts after two seconds.
const EARLY_FAULT: (&str, &str) = ("fault.0.at_s", "2");
/// The first fault lasts a second and a half.
const SHORT_FAULT: (&str, &str) = ("fault.0.duration_s", "1.5");

#[test]
fn no_rule_is_violated_without_faults() {
    assert_no_violations("calm", &[]);
}

#[test]
fn no_rule_is_violated_when_most_nodes_are_killed_and_restart_cold() {
    assert_no_violations("killed", &[EARLY_FAULT]);
}

#[test]
fn no_rule_is_violated_in_a_rolling_restart() {
    assert_no_violations("waves", &[EARLY_FAULT, ("fault.0.waves", "3"), ("fault.0.wave_interval_s", "1.5")]);
}

#[test]
fn no_rule_is_violated_when_a_zone_is_partitioned() {
    assert_no_violations("zone", &[EARLY_FAULT, SHORT_FAULT]);
}

#[test]
fn no_rule_is_violated_when_a_node_is_slow() {
    assert_no_violations("slow", &[EARLY_FAULT, SHORT_FAULT]);
}

#[test]
fn no_rule_is_violated_when_a_node_is_suspended_and_resumed() {
    assert_no_violations("stopped", &[EARLY_FAULT, SHORT_FAULT]);
}

#[test]
fn no_rule_is_violated_when_the_dependency_rejects_calls() {
    assert_no_violations("below", &[EARLY_FAULT, SHORT_FAULT]);
}

#[test]
fn no_rule_is_violated_when_stores_are_lost_while_retries_arrive() {
    assert_no_violations("folders", &[EARLY_FAULT]);
}

#[test]
fn no_rule_is_violated_when_nodes_with_stores_are_killed_while_retries_arrive() {
    assert_no_violations("restarted", &[EARLY_FAULT]);
}

#[test]
fn no_rule_is_violated_when_stores_are_truncated_or_stale() {
    let cut = "{at_s = 2, what = 'kill', nodes = ['n1'], down_s = 0.5, folder = 'truncated'}";
    let old = "{at_s = 2.5, what = 'kill', nodes = ['n2'], down_s = 0.5, folder = 'stale'}";
    assert_no_violations("restarted", &[("fault", &format!("[{cut}, {old}]"))]);
}

#[test]
fn no_rule_is_violated_when_a_node_is_killed_as_a_run_completes() {
    let kill =
        "{when = {node = 'n2', event = 'run_ended', count = 20}, what = 'kill', nodes = ['n2'], down_s = 1.0}";
    assert_no_violations("restarted", &[("fault", &format!("[{kill}]"))]);
}

#[test]
fn no_rule_is_violated_when_links_are_slow_one_way_and_lose_load_reports() {
    let link = "{at_s = 2, what = 'link', duration_s = 2, nodes = ['n1', 'n2'], between = ['frontends', 'interpreter', 'dependency', 'registry'], \
                direction = 'from', traffic = {delay_ms = 40, jitter_ms = 30, loss = 0.3, duplicate = 0.3, reorder = 0.3}}";
    assert_no_violations("calm", &[("fault", &format!("[{link}]"))]);
}

#[test]
fn no_rule_is_violated_when_connections_are_reset_and_clients_restart() {
    let reset = "{at_s = 2, what = 'link', nodes = ['n1'], between = ['frontends', 'interpreter', 'dependency'], traffic = {reset = true}}";
    let frontends = "{at_s = 3, what = 'frontends', fraction = 0.7}";
    assert_no_violations("calm", &[("fault", &format!("[{reset}, {frontends}]"))]);
}

#[test]
fn no_rule_is_violated_when_a_virtual_router_is_partitioned_and_its_active_node_suspended() {
    let fault_times =
        [EARLY_FAULT, ("fault.0.duration_s", "1.5"), ("fault.1.at_s", "5"), ("fault.1.duration_s", "1.5")];
    let fleet_settings = [("seconds", "8"), ("fleet.vrrp.interval_ms", "100")];
    assert_no_violations("router", &[&fault_times[..], &fleet_settings[..]].concat());
}
