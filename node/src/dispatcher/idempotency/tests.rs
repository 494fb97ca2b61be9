use super::*;

const FIRST_ATTEMPT: RequestId = RequestId(1);
const SECOND_ATTEMPT: RequestId = RequestId(2);

fn at(seconds: u64) -> UnixTime {
    Duration::from_secs(seconds)
}

fn key() -> IdempotencyKey {
    Bytes::from_static(b"k")
}

/// A table in which the first attempt was received at 100 s and holds its key until 117 s.
fn table_with_first_attempt() -> IdempotencyTable {
    let mut table = IdempotencyTable::new(10);
    assert_eq!(table.register_attempt(key(), b"x", at(100)), KeyMatch::New);
    table.assign(&key(), b"x", FIRST_ATTEMPT, at(117));
    table.end_batch();
    table
}

#[test]
fn an_attempt_received_before_its_key_expired_is_a_repeat_if_read_within_the_late_read_grace() {
    let mut table = table_with_first_attempt();
    table.sweep(at(120), at(112));
    assert_eq!(table.register_attempt(key(), b"x", at(117)), KeyMatch::RepeatOf(FIRST_ATTEMPT));
    assert_eq!(
        table.register_attempt(key(), b"x", at(118)),
        KeyMatch::New,
        "an attempt received after the expiry is a new request"
    );
    let mut table = table_with_first_attempt();
    table.sweep(at(126), at(118));
    assert_eq!(
        table.register_attempt(key(), b"x", at(117)),
        KeyMatch::New,
        "the grace for late reads is over"
    );
}

#[test]
fn one_attempt_of_a_key_runs_and_the_others_get_its_outcome() {
    let mut table = table_with_first_attempt();
    assert!(table.try_start(&key(), FIRST_ATTEMPT));
    assert!(!table.try_start(&key(), SECOND_ATTEMPT));
    assert_eq!(table.wait_for_outcome(&key(), SECOND_ATTEMPT), None);
    let outcome = StoredOutcome::Succeeded(Bytes::from_static(b"job"));
    assert_eq!(table.complete(FIRST_ATTEMPT, outcome.clone()), [SECOND_ATTEMPT]);
    assert_eq!(table.wait_for_outcome(&key(), SECOND_ATTEMPT), Some(outcome));
}

#[test]
fn the_table_is_full_at_its_capacity_until_keys_expire() {
    let mut table = IdempotencyTable::new(0);
    for n in 0..u32::try_from(MIN_CAPACITY).unwrap() {
        assert!(!table.is_full());
        table.assign(&n.to_be_bytes().to_vec().into(), b"x", RequestId(n), at(117));
    }
    assert!(table.is_full());
    table.sweep(at(126), at(118));
    assert!(!table.is_full());
}

#[test]
fn a_durable_table_drops_no_result_early_and_reserves_memory_for_each_pending_run() {
    let mut table = IdempotencyTable::new(3 * MAX_RESULT_BYTES).into_durable();
    let key = |n: u32| Bytes::from(n.to_be_bytes().to_vec());
    for n in 0..3 {
        assert!(!table.is_full());
        table.assign(&key(n), b"x", RequestId(n), at(117));
    }
    assert!(table.is_full());
    let longest = StoredOutcome::Succeeded(vec![0; MAX_RESULT_BYTES].into());
    for n in 0..3 {
        table.complete(RequestId(n), longest.clone());
    }
    assert!(
        table.is_full() && (0..3).all(|n| table.outcome(&key(n), b"x", at(110)) == Some(longest.clone()))
    );
    table.sweep(at(126), at(118));
    assert!(!table.is_full());
    table.assign(&key(4), b"x", FIRST_ATTEMPT, at(140));
    table.complete(FIRST_ATTEMPT, StoredOutcome::Succeeded(vec![0; MAX_RESULT_BYTES + 1].into()));
    assert_eq!(
        table.outcome(&key(4), b"x", at(130)),
        Some(StoredOutcome::Failed),
        "a result over the maximum length is not stored"
    );
}

#[test]
fn a_key_is_released_if_its_run_never_started() {
    let mut table = table_with_first_attempt();
    assert!(table.try_start(&key(), FIRST_ATTEMPT));
    assert_eq!(table.complete(FIRST_ATTEMPT, StoredOutcome::NeverStarted), []);
    assert_eq!(table.register_attempt(key(), b"x", at(101)), KeyMatch::New);
    assert!(table.try_start(&key(), SECOND_ATTEMPT));
}

#[test]
fn a_repeated_key_joins_the_batch_and_can_be_assigned_to_the_newer_attempt() {
    let mut table = table_with_first_attempt();
    assert!(!table.is_in_batch(&key()));
    assert_eq!(table.register_attempt(key(), b"x", at(101)), KeyMatch::RepeatOf(FIRST_ATTEMPT));
    assert!(table.is_in_batch(&key()));
    table.assign(&key(), b"x", SECOND_ATTEMPT, at(118));
    table.release(FIRST_ATTEMPT);
    assert_eq!(
        table.register_attempt(key(), b"x", at(102)),
        KeyMatch::RepeatOf(SECOND_ATTEMPT),
        "the first attempt no longer holds the key"
    );
}

#[test]
fn no_key_expires_early_when_the_clock_steps_ahead() {
    let mut table = IdempotencyTable::new(1000);
    table.assign(&key(), b"b", FIRST_ATTEMPT, at(117));
    table.postpone_expiry(Duration::from_secs(3600));
    table.sweep(at(3716), at(3708));
    assert_eq!(table.register_attempt(key(), b"b", at(3716)), KeyMatch::RepeatOf(FIRST_ATTEMPT));
    table.sweep(at(3725), at(3717));
    assert!(!table.contains(&key()));
}

#[test]
fn a_known_key_with_another_body_is_a_mismatch_until_it_expires() {
    let mut table = table_with_first_attempt();
    assert_eq!(table.register_attempt(key(), b"y", at(101)), KeyMatch::BodyMismatch);
    assert!(!table.is_in_batch(&key()), "a mismatch is not part of the batch");
    assert_eq!(table.register_attempt(key(), b"x", at(101)), KeyMatch::RepeatOf(FIRST_ATTEMPT));
    assert_eq!(table.register_attempt(key(), b"y", at(118)), KeyMatch::New);
}

#[test]
fn the_oldest_results_are_dropped_at_the_memory_bound_but_their_keys_cannot_run_again() {
    let mut table = table_with_first_attempt();
    let result = |bytes| StoredOutcome::Succeeded(Bytes::from_static(bytes));
    assert_eq!(table.complete(FIRST_ATTEMPT, result(b"seven b")), []);
    let other = Bytes::from_static(b"l");
    table.assign(&other.clone(), b"x", SECOND_ATTEMPT, at(117));
    assert_eq!(table.complete(SECOND_ATTEMPT, result(b"four")), []);
    assert_eq!(table.wait_for_outcome(&key(), SECOND_ATTEMPT), Some(StoredOutcome::Failed));
    assert_eq!(table.wait_for_outcome(&other, FIRST_ATTEMPT), Some(result(b"four")));
    table.sweep(at(126), at(118));
    assert_eq!((table.result_bytes, table.keys_with_outcome.len()), (0, 0));
}

#[test]
fn a_key_does_not_expire_while_it_is_running() {
    let mut table = table_with_first_attempt();
    assert!(table.try_start(&key(), FIRST_ATTEMPT));
    table.sweep(at(300), at(292));
    assert_eq!(
        table.register_attempt(key(), b"x", at(300)),
        KeyMatch::RepeatOf(FIRST_ATTEMPT),
        "the run is in progress and may still take effect"
    );
    assert_eq!(table.wait_for_outcome(&key(), SECOND_ATTEMPT), None);
    assert_eq!(table.complete(FIRST_ATTEMPT, StoredOutcome::Failed), [SECOND_ATTEMPT]);
    assert_eq!(table.register_attempt(key(), b"x", at(301)), KeyMatch::New);
    table.sweep(at(302), at(294));
    assert!(!table.contains(&key()));
}
