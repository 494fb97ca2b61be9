use super::*;

const NODE: NodeId = NodeId(1);

fn position(incarnation: u64, uptime_seconds: u64) -> StatePosition {
    StatePosition { incarnation: Incarnation(incarnation), uptime_seconds }
}

/// Checks the state that [`NODE`] restored when it began this incarnation.
fn check(tracker: &StalenessTracker, incarnation: u64, restored: StatePosition) -> Option<StatePosition> {
    tracker.check(NODE, Incarnation(incarnation), restored)
}

#[test]
fn state_that_is_older_than_the_last_reported_position_is_stale() {
    let mut tracker = StalenessTracker::default();
    assert_eq!(check(&tracker, 5, position(1, 0)), None, "nothing is known of the node");
    tracker.record(NODE, position(5, 40));
    assert_eq!(
        check(&tracker, 6, position(5, 38)),
        None,
        "a position that was not stored before the kill is tolerated"
    );
    assert_eq!(check(&tracker, 6, position(5, 37)), Some(position(5, 40)));
    assert_eq!(check(&tracker, 6, position(4, 9000)), Some(position(5, 40)), "an earlier incarnation");
    assert_eq!(
        check(&tracker, 6, position(5, 60)),
        None,
        "the state is newer than the last position that peers heard"
    );
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
    assert_eq!(
        check(&tracker, 7, position(6, 99)),
        None,
        "a late report of an earlier incarnation changes nothing"
    );
}

#[test]
fn nodes_that_are_not_members_are_dropped() {
    let mut tracker = StalenessTracker::default();
    tracker.record(NODE, position(5, 40));
    tracker.retain(|_| false);
    assert_eq!(check(&tracker, 6, position(1, 0)), None);
}
