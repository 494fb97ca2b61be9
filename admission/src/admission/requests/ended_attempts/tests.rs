use super::EndedAttempts;
use crate::interface::RequestId;

#[test]
fn a_retry_stands_for_the_attempts_that_it_replaced_one_after_the_other() {
    let mut attempts = EndedAttempts::default();
    attempts.replaced(RequestId(1), RequestId(2));
    attempts.replaced(RequestId(2), RequestId(3));
    assert_eq!(attempts.successor_of(RequestId(1)), Some(RequestId(3)));
    assert_eq!(attempts.successor_of(RequestId(9)), Some(RequestId(9)), "not ended");
}

#[test]
fn nothing_stands_for_an_attempt_that_ended_without_another_until_the_next_batch() {
    let mut attempts = EndedAttempts::default();
    attempts.replaced(RequestId(1), RequestId(2));
    attempts.ended(RequestId(2));
    assert_eq!(attempts.successor_of(RequestId(1)), None);
    attempts.clear();
    assert_eq!(attempts.successor_of(RequestId(1)), Some(RequestId(1)));
}
