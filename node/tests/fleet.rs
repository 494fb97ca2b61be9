//! The rig's scenarios with the real program, in a short form of three nodes: whatever goes wrong, no rule breaks. The
//! verdict rests on the rules alone, with a slack that no machine's speed uses up.

mod plays;

/// Plays a scenario of the rig's with three nodes and these keys changed.
fn keeps_the_rules(name: &str, changes: &[(&str, &str)]) {
    let short = [("fleet.nodes", "3"), ("seconds", "6"), ("load.load", "0.5"), ("rules.slack_ms", "3000")];
    let (_, verdict) = plays::keeps_the_rules(name, &[&short, changes]);
    assert!(verdict.written > 50, "{} written", verdict.written);
}

const SOON: (&str, &str) = ("fault.0.at_s", "2");
const SHORTLY: (&str, &str) = ("fault.0.for_s", "1.5");

#[test]
fn a_calm_fleet() {
    keeps_the_rules("calm", &[]);
}

#[test]
fn most_nodes_are_killed_and_come_back_cold() {
    keeps_the_rules("killed", &[SOON]);
}

#[test]
fn every_node_leaves_and_comes_back_in_waves() {
    keeps_the_rules("waves", &[SOON, ("fault.0.waves", "3"), ("fault.0.every_s", "1.5")]);
}

#[test]
fn a_zone_is_cut_off() {
    keeps_the_rules("zone", &[SOON, SHORTLY]);
}

#[test]
fn a_node_is_slow() {
    keeps_the_rules("slow", &[SOON, SHORTLY]);
}

#[test]
fn a_node_stands_still_and_goes_on() {
    keeps_the_rules("stopped", &[SOON, SHORTLY]);
}

#[test]
fn the_tier_below_refuses() {
    keeps_the_rules("below", &[SOON, SHORTLY]);
}

#[test]
fn folders_are_lost_while_repeats_arrive() {
    keeps_the_rules("folders", &[SOON]);
}

#[test]
fn nodes_with_folders_are_killed_while_repeats_arrive() {
    keeps_the_rules("restarted", &[SOON]);
}

#[test]
fn folders_are_cut_at_a_byte_and_replaced_by_old_copies() {
    let cut = "{at_s = 2, what = 'kill', nodes = ['n1'], down_s = 0.5, folder = 'cut'}";
    let old = "{at_s = 2.5, what = 'kill', nodes = ['n2'], down_s = 0.5, folder = 'old'}";
    keeps_the_rules("restarted", &[("fault", &format!("[{cut}, {old}]"))]);
}

#[test]
fn a_node_is_killed_as_a_run_ends() {
    let kill =
        "{when = {node = 'n2', event = 'ended', count = 20}, what = 'kill', nodes = ['n2'], down_s = 1.0}";
    keeps_the_rules("restarted", &[("fault", &format!("[{kill}]"))]);
}

#[test]
fn links_are_slow_one_way_and_lose_reports() {
    let link = "{at_s = 2, what = 'link', for_s = 2, nodes = ['n1', 'n2'], between = ['clients', 'vm', 'below', 'members'], \
                way = 'from', traffic = {delay_ms = 40, spread_ms = 30, loss = 0.3, duplicate = 0.3, reorder = 0.3}}";
    keeps_the_rules("calm", &[("fault", &format!("[{link}]"))]);
}

#[test]
fn connections_are_reset_and_front_ends_restart() {
    let reset = "{at_s = 2, what = 'link', nodes = ['n1'], between = ['clients', 'vm', 'below'], traffic = {reset = true}}";
    let fronts = "{at_s = 3, what = 'fronts', part = 0.7}";
    keeps_the_rules("calm", &[("fault", &format!("[{reset}, {fronts}]"))]);
}

#[test]
fn a_virtual_router_is_cut_in_two_and_then_its_active_node_stands_still() {
    let times = [SOON, ("fault.0.for_s", "1.5"), ("fault.1.at_s", "5"), ("fault.1.for_s", "1.5")];
    let longer = [("seconds", "8"), ("fleet.vrrp.interval_ms", "100")];
    keeps_the_rules("router", &[&times[..], &longer[..]].concat());
}
