use std::time::Duration;

use super::{ConnectionLoad, IdleConnectionLimit};
use crate::admission::tests::fixtures::{at, seconds, ServerState};
use crate::admission::time::Span;
use crate::interface::{CallerId, Settings};

const SPARE_CAPACITY: ConnectionLoad = ConnectionLoad { read_overload: false, spare_capacity: true };
const READ_OVERLOAD: ConnectionLoad = ConnectionLoad { read_overload: true, spare_capacity: false };

/// A server with ten callers that keep connections for 20 seconds.
fn server() -> ServerState {
    let idle_timeout = Duration::from_secs(20);
    ServerState::new(Settings { idle_timeout, callers: 10, ..Settings::default() })
}

fn adjusted(limit: &mut IdleConnectionLimit, load: &ConnectionLoad) -> Option<Span> {
    limit.adjust(load, &server().context(0.0))
}

#[test]
fn the_limit_falls_with_the_square_of_the_fraction_of_callers_that_return() {
    let mut limit = IdleConnectionLimit::new(seconds(20.0));
    for _ in 0..200 {
        (0..5).for_each(|caller| limit.record_request(CallerId(caller), at(0.0), seconds(20.0)));
    }
    let half_of_callers =
        adjusted(&mut limit, &SPARE_CAPACITY).expect("the limit changes by more than a fifth");
    assert!(half_of_callers > seconds(4.5) && half_of_callers < seconds(5.0), "{half_of_callers:?}");
    assert_eq!(adjusted(&mut limit, &SPARE_CAPACITY), None, "an unchanged limit is not reported");
}

#[test]
fn read_overload_raises_the_limit_to_the_callers_timeout_and_it_decays_afterwards() {
    let mut limit = IdleConnectionLimit::new(seconds(0.5));
    assert_eq!(adjusted(&mut limit, &READ_OVERLOAD), Some(seconds(20.0)));
    let limits: Vec<Span> = (0..60).filter_map(|_| adjusted(&mut limit, &SPARE_CAPACITY)).collect();
    assert_eq!(limits.last(), Some(&seconds(0.05)));
    assert!(limits.len() > 5, "the limit decays in several steps: {limits:?}");
}
