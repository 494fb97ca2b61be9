//! Tasks that monitor a play: resource usage of the node processes, scheduling delays of the harness itself,
//! and progress output.

use std::rc::Rc;

use super::testbed::Testbed;
use crate::history::Event;
use crate::model::{seconds_of_ms, Ms};
use crate::play_context::PlayContext;

/// Interval between two samples of a node process's resource usage.
const SAMPLE_INTERVAL: Ms = 500.0;
/// Interval between two checks for scheduling delays of the harness.
const HEARTBEAT_INTERVAL: Ms = 10.0;
/// Scheduling delays of the harness above this are recorded in the history.
const DELAY_THRESHOLD: Ms = 25.0;
/// Interval between two progress lines.
const PROGRESS_INTERVAL: Ms = 5_000.0;

/// Samples the resource usage of every node process until the end of the play.
pub(super) async fn sample(testbed: Rc<Testbed>) {
    loop {
        for node in &testbed.nodes {
            node.sample();
        }
        let next = testbed.context.now() + SAMPLE_INTERVAL;
        testbed.context.clock.until(next).await;
    }
}

/// Records when the harness itself runs late: late observations at such a time are not caused by the program.
pub(super) async fn monitor_own_delay(context: Rc<PlayContext>) {
    loop {
        let expected = context.now() + HEARTBEAT_INTERVAL;
        context.clock.until(expected).await;
        let delay = context.now() - expected;
        if delay > DELAY_THRESHOLD {
            context.note(Event::HarnessDelayed { delay });
        }
    }
}

/// Prints progress on standard error.
pub(super) async fn print_progress(testbed: Rc<Testbed>) {
    let context = &testbed.context;
    loop {
        let elapsed_s = seconds_of_ms(context.now() - context.load_start.get());
        let up = testbed.nodes.iter().filter(|node| node.address.borrow().is_some()).count();
        eprintln!(
            "{}: {:.0} of {:.0} s, {up} of {} nodes up",
            context.scenario.name,
            elapsed_s.max(0.0),
            context.scenario.seconds,
            testbed.nodes.len()
        );
        context.clock.until(context.now() + PROGRESS_INTERVAL).await;
    }
}
