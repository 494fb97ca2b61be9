use super::RetainedKeys;
use crate::admission::tests::fixtures::{at, seconds};
use crate::interface::RequestId;

#[test]
fn a_key_is_retained_until_both_its_window_and_the_deadline_have_passed() {
    let mut keys = RetainedKeys::default();
    let longer_window = keys.retain(RequestId(1), seconds(5.0), seconds(2.0), at(0.0));
    let longer_deadline = keys.retain(RequestId(2), seconds(5.0), seconds(8.0), at(0.0));
    assert_eq!((longer_window, longer_deadline), (seconds(5.1), seconds(8.1)));
    keys.expire(at(6.0));
    assert_eq!(keys.len(), 1);
}

#[test]
fn a_key_is_released_once() {
    let mut keys = RetainedKeys::default();
    keys.retain(RequestId(1), seconds(5.0), seconds(2.0), at(0.0));
    assert!(keys.release(RequestId(1)) && !keys.release(RequestId(1)));
}
