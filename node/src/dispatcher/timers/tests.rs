use super::*;

const FIRST: TimerId = TimerId(1);
const SECOND: TimerId = TimerId(2);

fn at(milliseconds: u64) -> UnixTime {
    Duration::from_secs(100) + Duration::from_millis(milliseconds)
}

fn gauges(cpu: f64) -> Gauges {
    oakwind_settings::gauges(&["cpu_busy".into()], &[cpu])
}

fn timer_and_gauges(event: &Event) -> (TimerId, &Gauges) {
    let Event::Timer(timer, gauges) = event else { panic!("expected a timer event: {event:?}") };
    (*timer, gauges)
}

#[test]
fn timers_fire_in_the_order_of_their_times_and_once() {
    let mut timers = Timers::default();
    timers.schedule(at(20), SECOND);
    timers.schedule(at(10), FIRST);
    assert!(timers.pop_fired(at(9)).is_empty());
    let events = timers.pop_fired(at(20));
    assert_eq!(events.iter().map(|event| timer_and_gauges(event).0).collect::<Vec<_>>(), [FIRST, SECOND]);
    assert!(timers.pop_fired(at(30)).is_empty() && timers.next_wake().is_none());
}

#[test]
fn gauges_are_requested_once_shortly_before_a_timer_fires() {
    let mut timers = Timers::default();
    assert!(!timers.take_gauge_request(at(0)), "nothing is scheduled");
    timers.schedule(at(10), FIRST);
    assert_eq!(timers.next_wake(), Some(at(5)));
    assert!(!timers.take_gauge_request(at(4)));
    assert!(timers.take_gauge_request(at(5)));
    assert!(!timers.take_gauge_request(at(6)), "already requested for this firing");
    assert_eq!(timers.next_wake(), Some(at(10)));
    timers.pop_fired(at(10));
    timers.schedule(at(20), SECOND);
    assert!(timers.take_gauge_request(at(15)));
}

#[test]
fn a_timer_reports_gauges_of_the_last_half_second_and_no_older_ones() {
    let mut timers = Timers::default();
    timers.set_gauges(at(0), gauges(0.75));
    timers.schedule(at(500), FIRST);
    timers.schedule(at(501), SECOND);
    assert_eq!(timer_and_gauges(&timers.pop_fired(at(500))[0]), (FIRST, &gauges(0.75)));
    assert_eq!(timer_and_gauges(&timers.pop_fired(at(501))[0]), (SECOND, &Gauges::default()));
}
