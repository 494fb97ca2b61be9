use std::time::Duration;

use super::RetryJitter;
use crate::admission::quantities::Fraction;
use crate::interface::Settings;

fn advised_millis(settings: &Settings, shed_fraction: f64) -> Vec<u128> {
    let mut jitter = RetryJitter::new(7);
    let mut next = || jitter.retry_after(settings, Fraction::new(shed_fraction));
    (0..100).filter_map(|_| next()).map(|wait| wait.as_millis()).collect()
}

#[test]
fn retry_after_is_spread_between_half_and_all_of_a_delay_that_grows_with_the_load() {
    let settings = Settings { max_retry_after: Duration::from_secs(10), ..Settings::default() };
    let idle = advised_millis(&settings, 0.0);
    let loaded = advised_millis(&settings, 0.8);
    assert!(idle.iter().all(|wait| (500..=1000).contains(wait)));
    assert!(loaded.iter().all(|wait| (4000..=8000).contains(wait)));
    assert!(loaded.iter().max() > loaded.iter().min());
}

#[test]
fn no_retry_after_is_sent_to_callers_that_do_not_honor_it() {
    assert!(advised_millis(&Settings { retry_after: false, ..Settings::default() }, 0.5).is_empty());
}
