use super::*;

fn scenario(more: &str) -> Scenario {
    let text = "name = 'x'\nseconds = 20\n[fleet]\nnodes = 10\nspeed = [0.9, 1.1]\n[[class]]\nname = 'quote'\nshare = 3\nwork_ms = 20\nlatency_objective_ms = 100\ndeadline_ms = 300\n[[class]]\nname = 'book'\nshare = 1\nwork_ms = 40\nidempotency_key = true\nidempotency_window_ms = 9000\nlatency_objective_ms = 100\ndeadline_ms = 300\n[load]\nrate = 200\nrepeat_fraction = 0.5\n[[load.step]]\nfrom_s = 10\nto_s = 15\nrate_factor = 3\n";
    Scenario::parse(&format!("{text}{more}"), &[]).unwrap()
}

#[test]
fn same_seed_gives_the_same_schedule_and_another_seed_a_different_one() {
    let scenario = scenario("[[fault]]\nat_s = 3\nwhat = 'kill'\nfraction = 0.7\n");
    let (one, same, other) = (schedule(&scenario, 4), schedule(&scenario, 4), schedule(&scenario, 5));
    assert_eq!(one.requests, same.requests);
    assert_eq!(one.injections[0].targets, same.injections[0].targets);
    assert_ne!(one.requests, other.requests);
    assert_eq!(one.injections[0].targets.len(), 7);
}

#[test]
fn requests_have_the_configured_rate_class_shares_work_and_repeats() {
    let requests = schedule(&scenario(""), 1).requests;
    let originals: Vec<&ClientRequest> =
        requests.iter().filter(|request| request.repeats.is_none()).collect();
    let count_within = |from: Ms, to: Ms| {
        originals.iter().filter(|request| request.at >= from && request.at < to).count() as f64
    };
    assert!((count_within(0.0, 10_000.0) / 2000.0 - 1.0).abs() < 0.1);
    assert!((count_within(10_000.0, 15_000.0) / 3000.0 - 1.0).abs() < 0.1);
    let book_work: Vec<f64> =
        originals.iter().filter(|request| request.class == 1).map(|request| request.work).collect();
    assert!((book_work.len() as f64 / originals.len() as f64 - 0.25).abs() < 0.02);
    assert!((book_work.iter().sum::<f64>() / book_work.len() as f64 / 40.0 - 1.0).abs() < 0.05);
    // Repeats that would come after the end of the scenario are left out, hence less than the fraction of
    // 0.5.
    let repeats = requests.len() - originals.len();
    assert!((repeats as f64 / book_work.len() as f64 - 0.45).abs() < 0.08, "{repeats} repeats");
}

#[test]
fn repeated_fault_draws_new_targets_each_time() {
    let injections =
        schedule(&scenario("[[fault]]\nat_s = 1\nrepeat_every_s = 4\nwhat = 'kill'\nfraction = 0.3\n"), 1)
            .injections;
    let times: Vec<InjectionTime> = injections.iter().map(|injection| injection.at.clone()).collect();
    assert_eq!(times, [1000.0, 5000.0, 9000.0, 13_000.0, 17_000.0].map(InjectionTime::Time));
    assert!(injections.iter().any(|injection| injection.targets != injections[0].targets));
}

#[test]
fn waves_cover_every_target_exactly_once() {
    let scenario = scenario(
        "[[fault]]\nat_s = 1\nwhat = 'shutdown'\nfraction = 1.0\nwaves = 4\nwave_interval_s = 2.0\n",
    );
    let injections = schedule(&scenario, 1).injections;
    let mut targets: Vec<usize> = injections.iter().flat_map(|injection| injection.targets.clone()).collect();
    targets.sort_unstable();
    assert_eq!(targets, (0..10).collect::<Vec<_>>());
    assert_eq!(
        injections.iter().map(|injection| injection.delay).collect::<Vec<_>>(),
        [0.0, 2000.0, 4000.0, 6000.0]
    );
}
