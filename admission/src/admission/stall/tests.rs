use super::StallDetector;
use crate::admission::tests::fixtures::{at, ServerState};
use crate::interface::Settings;

/// A server whose mean run takes a second.
fn server() -> ServerState {
    let mut state = ServerState::new(Settings::default());
    state.learn_work(1.0);
    state
}

#[test]
fn no_progress_for_several_mean_runs_is_a_stall_and_progress_ends_it() {
    let state = server();
    let mut stall = StallDetector::new(at(0.0));
    assert!(!stall.update(&state.context(4.0), true));
    assert!(stall.update(&state.context(4.5), true) && stall.is_stalled());
    assert!(!stall.update(&state.context(4.6), true), "no change");
    stall.record_progress(at(4.7));
    assert!(stall.update(&state.context(4.8), true) && !stall.is_stalled());
}

#[test]
fn there_is_no_stall_while_run_times_are_unknown() {
    let mut stall = StallDetector::new(at(0.0));
    assert!(!stall.update(&server().context(60.0), false));
}
