use super::*;
use crate::schedule::schedule;

fn floor_of(load: f64, faults: &str) -> Option<f64> {
    let text = format!(
        "name = 'x'\nseconds = 60\n[fleet]\nnodes = 10\nwarm_from = 0.2\nwarm_s = 10\n[[class]]\nname = 'quote'\nshare = 1\nwork_ms = 100\nlatency_objective_ms = 1000\ndeadline_ms = 3000\n[load]\nload = {load}\n{faults}"
    );
    let scenario = Scenario::parse(&text, &[]).unwrap();
    let drawn = schedule(&scenario, 1);
    warm_up_bound(&scenario, &drawn)
}

#[test]
fn warming_cores_are_enough_once_they_reach_nine_tenths_of_what_is_asked() {
    let kill = "[[fault]]\nat_s = 10\nwhat = 'kill'\nfraction = 0.5\ndown_s = 1.0\n";
    // Half stays; the rest is to reach 0.8 of its speed, three quarters of the way from 0.2: 7.5 s after 1 s.
    assert!((floor_of(1.0, kill).unwrap() - 8.5).abs() < 0.2, "{:?}", floor_of(1.0, kill));
    assert_eq!(floor_of(0.5, kill), Some(0.0), "the other half is enough");
    assert_eq!(floor_of(0.5, ""), None);
    assert_eq!(floor_of(1.0, "[[fault]]\nat_s = 10\nwhat = 'kill'\nfraction = 0.5\n"), None, "never");
}
