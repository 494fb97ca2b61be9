use super::*;
use crate::exchange::{self, Endpoints, ShutdownNotice, StartMode};

/// The status of a process that has just started, modified by `change`.
fn status(change: impl FnOnce(&mut NodeStatus)) -> NodeStatus {
    let Endpoints { exchange, .. } = exchange::new(StartMode::default());
    let mut status = exchange.status().borrow().clone();
    change(&mut status);
    status
}

fn draining(status: &mut NodeStatus) {
    let now = clock::now();
    status.draining = Some(ShutdownNotice { stops_at: now, noticed_at: now });
}

#[test]
fn heartbeats_pause_while_the_node_recovers_or_a_successor_reports_under_its_name() {
    assert_eq!(Liveness::of(&status(|_| {})), Liveness::Up);
    assert_eq!(Liveness::of(&status(|status| status.maintenance = true)), Liveness::Up);
    assert_eq!(Liveness::of(&status(|status| status.recovering = true)), Liveness::Paused);
    assert_eq!(Liveness::of(&status(|status| status.handed_over = true)), Liveness::Paused);
}

#[test]
fn a_draining_node_reports_out_even_while_recovering_unless_a_successor_has_taken_over() {
    assert_eq!(Liveness::of(&status(draining)), Liveness::Out);
    let recovering = |status: &mut NodeStatus| {
        draining(status);
        status.recovering = true;
    };
    assert_eq!(Liveness::of(&status(recovering)), Liveness::Out);
    let handed_over = |status: &mut NodeStatus| {
        draining(status);
        status.handed_over = true;
    };
    assert_eq!(Liveness::of(&status(handed_over)), Liveness::Paused);
}
