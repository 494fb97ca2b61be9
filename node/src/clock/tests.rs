use super::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn the_clock_follows_a_system_clock_that_runs_evenly() {
    let mut clock = SlewedClock::new(ms(1_000_000), ms(0));
    for at in (0..5_000).step_by(37) {
        // The system clock may be adjusted by a small rate.
        let system = ms(1_000_000 + at + at / 1000);
        assert_eq!(clock.now(system, ms(at)), system);
    }
    assert_eq!(clock.stepped_ahead, ms(0));
}

#[test]
fn after_the_system_clock_is_set_back_the_clock_runs_slower_until_it_has_caught_up() {
    let mut clock = SlewedClock::new(ms(1_000_000), ms(0));
    let mut last = clock.now(ms(1_001_000), ms(1_000));
    for at in (1_100..12_000).step_by(100) {
        let now = clock.now(ms(1_000_000 + at - 400), ms(at));
        assert!(now > last && now - last <= ms(100), "{at}: {last:?} {now:?}");
        last = now;
    }
    assert_eq!(last, ms(1_000_000 + 11_900 - 400), "400 ms are caught up within 8 s");
    assert_eq!(clock.stepped_ahead, ms(0));
}

#[test]
fn a_step_ahead_is_followed_and_counted_and_the_step_back_is_neither() {
    let mut clock = SlewedClock::new(ms(1_000_000), ms(0));
    assert_eq!(clock.now(ms(1_060_100), ms(100)), ms(1_060_100));
    assert_eq!(clock.stepped_ahead, ms(60_000));
    let back = clock.now(ms(1_000_200), ms(200));
    assert!(back > ms(1_060_100));
    let again = clock.now(ms(1_060_300), ms(300));
    assert!(again >= back && again < ms(1_060_400));
    assert!(clock.stepped_ahead <= ms(60_010), "{:?}", clock.stepped_ahead);
}

#[test]
fn a_simulated_step_is_parsed_from_its_time_and_size() {
    let step = |after, by_ms| Some(SimulatedStep { after, by_ms });
    assert_eq!(SimulatedStep::parse("3000:-3600000"), step(ms(3000), -3_600_000));
    assert_eq!(SimulatedStep::parse("0:60000"), step(ms(0), 60_000));
    assert_eq!(["3000", "-1:0", "a:b"].map(SimulatedStep::parse), [None; 3]);
}
