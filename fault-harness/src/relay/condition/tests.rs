use super::*;

fn disturbance(number: u64, directions: Directions, traffic: Traffic) -> Disturbance {
    Disturbance { number, directions, traffic }
}

#[test]
fn delays_are_added_up_and_the_worst_loss_and_rate_apply() {
    let mut condition = Condition::default();
    let first = Traffic { delay_ms: 10.0, jitter_ms: 1.0, loss: 0.1, kb_per_s: 50.0, ..Traffic::default() };
    let second = Traffic { delay_ms: 20.0, jitter_ms: 2.0, loss: 0.3, kb_per_s: 8.0, ..Traffic::default() };
    condition.add(disturbance(1, Directions::Both, first));
    condition.add(disturbance(2, Directions::Both, second));
    let total = condition.traffic(Direction::To);
    assert_eq!((total.delay_ms, total.jitter_ms), (30.0, 3.0));
    assert_eq!((total.loss, total.kb_per_s), (0.3, 8.0));
    condition.remove(2);
    assert_eq!(condition.traffic(Direction::To).kb_per_s, 50.0, "0 means no limit, not the lowest rate");
}

#[test]
fn disturbance_of_one_direction_does_not_affect_the_other() {
    let mut condition = Condition::default();
    let blackhole = Traffic { blackhole: true, ..Traffic::default() };
    condition.add(disturbance(1, Directions::From, blackhole));
    assert!(condition.traffic(Direction::From).blackhole);
    assert!(!condition.traffic(Direction::To).blackhole);
    assert!(condition.is_blackholed() && !condition.is_disconnected());
}

#[test]
fn only_reset_and_disconnect_reset_connections() {
    let mut condition = Condition::default();
    condition.add(disturbance(1, Directions::Both, Traffic { delay_ms: 1.0, ..Traffic::default() }));
    assert_eq!(condition.resets, 0);
    condition.add(disturbance(2, Directions::Both, Traffic { reset: true, ..Traffic::default() }));
    condition.add(disturbance(3, Directions::Both, Traffic { disconnect: true, ..Traffic::default() }));
    assert_eq!(condition.resets, 2);
}
