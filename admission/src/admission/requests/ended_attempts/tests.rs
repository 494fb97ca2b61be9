use super::EndedAttempts;
use crate::interface::RequestId;

#[test]
fn a_chain_of_replacements_resolves_to_the_last_retry() {
    let mut attempts = EndedAttempts::default();
    attempts.record_replaced(RequestId(1), RequestId(2));
    attempts.record_replaced(RequestId(2), RequestId(3));
    assert_eq!(attempts.successor_of(RequestId(1)), Some(RequestId(3)));
    assert_eq!(
        attempts.successor_of(RequestId(9)),
        Some(RequestId(9)),
        "an attempt that has not ended resolves to itself"
    );
}

#[test]
fn an_attempt_that_ended_without_a_replacement_resolves_to_none_until_the_next_batch() {
    let mut attempts = EndedAttempts::default();
    attempts.record_replaced(RequestId(1), RequestId(2));
    attempts.record_ended(RequestId(2));
    assert_eq!(attempts.successor_of(RequestId(1)), None);
    attempts.clear();
    assert_eq!(attempts.successor_of(RequestId(1)), Some(RequestId(1)));
}
