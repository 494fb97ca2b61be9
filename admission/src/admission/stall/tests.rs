use super::StallDetector;
use crate::admission::tests::fixtures::{at, ServerState};
use crate::interface::Settings;

/// A server with a mean run time of one second.
fn server() -> ServerState {
    let mut state = ServerState::new(Settings::default());
    state.record_work(1.0);
    state
}

#[test]
fn a_stall_starts_after_several_mean_run_times_without_progress_and_ends_with_progress() {
    let state = server();
    let mut stall = StallDetector::new(at(0.0));
    assert!(!stall.update(&state.context(4.0), true));
    assert!(stall.update(&state.context(4.5), true) && stall.is_stalled());
    assert!(!stall.update(&state.context(4.6), true), "the server was already stalled");
    stall.record_progress(at(4.7));
    assert!(stall.update(&state.context(4.8), true) && !stall.is_stalled());
}

#[test]
fn no_stall_is_detected_while_run_times_are_unknown() {
    let mut stall = StallDetector::new(at(0.0));
    assert!(!stall.update(&server().context(60.0), false));
}
