use super::*;

const NODE: NodeId = NodeId(1);

fn position(incarnation: u64, uptime_seconds: u64) -> StatePosition {
    StatePosition { incarnation: Incarnation(incarnation), uptime_seconds }
}

/// What is known to be later than the state that the node restored for this incarnation.
fn check(tracker: &StalenessTracker, incarnation: u64, restored: StatePosition) -> Option<StatePosition> {
    tracker.check(NODE, Incarnation(incarnation), restored)
}

#[test]
fn state_from_before_the_last_reported_position_is_stale() {
    let mut tracker = StalenessTracker::default();
    assert_eq!(check(&tracker, 5, position(1, 0)), None, "nothing is known of the node");
    tracker.record(NODE, position(5, 40));
    assert_eq!(check(&tracker, 6, position(5, 38)), None, "it was killed before it stored its position");
    assert_eq!(check(&tracker, 6, position(5, 37)), Some(position(5, 40)));
    assert_eq!(check(&tracker, 6, position(4, 9000)), Some(position(5, 40)), "an earlier incarnation");
    assert_eq!(check(&tracker, 6, position(5, 60)), None, "it ran on without being heard");
}

#[test]
fn positions_of_the_current_incarnation_do_not_make_the_restored_state_stale() {
    let mut tracker = StalenessTracker::default();
    tracker.record(NODE, position(5, 40));
    tracker.record(NODE, position(6, 0));
    tracker.record(NODE, position(6, 100));
    tracker.record(NODE, position(6, 90));
    assert_eq!(check(&tracker, 6, position(5, 39)), None);
    assert_eq!(check(&tracker, 6, position(5, 10)), Some(position(5, 40)));
    assert_eq!(check(&tracker, 7, position(6, 50)), Some(position(6, 100)));
    tracker.record(NODE, position(4, 500));
    assert_eq!(check(&tracker, 7, position(6, 99)), None, "a report of an earlier incarnation arrives late");
}

#[test]
fn nodes_that_are_not_members_are_dropped() {
    let mut tracker = StalenessTracker::default();
    tracker.record(NODE, position(5, 40));
    tracker.retain(|_| false);
    assert_eq!(check(&tracker, 6, position(1, 0)), None);
}
