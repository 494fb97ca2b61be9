use std::time::Duration;

use super::WarmUp;
use crate::admission::quantities::Fraction;
use crate::admission::tests::fixtures::at;
use crate::interface::Settings;

#[test]
fn the_speed_of_a_cold_server_rises_linearly_until_it_is_warm() {
    let warm_up_time = Duration::from_secs(10);
    let settings = Settings { cold: true, cold_speed: 0.5, warm_up_time, ..Settings::default() };
    let warm_up = WarmUp::new(&settings, at(0.0));
    assert_eq!([0.0, 5.0, 10.0, 50.0].map(|now| warm_up.fraction(at(now)).value()), [0.5, 0.75, 1.0, 1.0]);
}

#[test]
fn a_server_that_starts_warm_has_full_speed() {
    let warm_up = WarmUp::new(&Settings { cold_speed: 0.1, ..Settings::default() }, at(0.0));
    assert_eq!(warm_up.fraction(at(0.0)), Fraction::ALL);
}
