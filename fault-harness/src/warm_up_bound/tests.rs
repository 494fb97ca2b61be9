use super::*;
use crate::schedule::schedule;

fn bound_of(load: f64, faults: &str) -> Option<f64> {
    let text = format!(
        "name = 'x'\nseconds = 60\n[fleet]\nnodes = 10\nwarm_from = 0.2\nwarm_s = 10\n[[class]]\nname = 'quote'\nshare = 1\nwork_ms = 100\nlatency_objective_ms = 1000\ndeadline_ms = 3000\n[load]\nload = {load}\n{faults}"
    );
    let scenario = Scenario::parse(&text, &[]).unwrap();
    let schedule = schedule(&scenario, 1);
    warm_up_bound(&scenario, &schedule)
}

#[test]
fn capacity_is_sufficient_once_warming_cores_reach_nine_tenths_of_the_requested_work() {
    let kill = "[[fault]]\nat_s = 10\nwhat = 'kill'\nfraction = 0.5\ndown_s = 1.0\n";
    // Half of the cores stay up; the others need 0.8 of full speed. They are down for 1 s and take 7.5 of the 10 s of
    // warm-up to get there from 0.2.
    assert!((bound_of(1.0, kill).unwrap() - 8.5).abs() < 0.2, "{:?}", bound_of(1.0, kill));
    assert_eq!(bound_of(0.5, kill), Some(0.0), "the cores that stay up are sufficient");
    assert_eq!(bound_of(0.5, ""), None);
    assert_eq!(
        bound_of(1.0, "[[fault]]\nat_s = 10\nwhat = 'kill'\nfraction = 0.5\n"),
        None,
        "the killed nodes never restart"
    );
}
