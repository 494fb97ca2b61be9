use super::*;

#[test]
fn a_node_without_heartbeats_is_delisted_and_earlier_lists_can_be_read() {
    let mut registry = Registry::new(2, 3000.0);
    registry.on_heartbeat(0.0, 0, true);
    registry.on_heartbeat(1000.0, 1, true);
    registry.on_heartbeat(2500.0, 1, true);
    assert_eq!(registry.listed_at(4000.0, 4000.0), [false, true]);
    assert_eq!(registry.listed_at(4000.0, 2900.0), [true, true], "the list as of an earlier time");
    registry.on_heartbeat(4100.0, 1, false);
    assert_eq!(registry.listed_at(4100.0, 4100.0), [false, false]);
}

#[test]
fn no_node_is_delisted_during_an_outage_of_the_registry() {
    let mut registry = Registry::new(1, 3000.0);
    registry.on_heartbeat(0.0, 0, true);
    registry.set_unreachable(1000.0, true);
    registry.on_heartbeat(2000.0, 0, false);
    assert_eq!(registry.listed_at(9000.0, 9000.0), [true]);
    registry.set_unreachable(9000.0, false);
    assert_eq!(registry.listed_at(11_000.0, 11_000.0), [true]);
    assert_eq!(registry.listed_at(12_500.0, 12_500.0), [false]);
}
