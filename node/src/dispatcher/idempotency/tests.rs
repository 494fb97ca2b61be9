use super::*;

const A: RequestId = RequestId(1);
const B: RequestId = RequestId(2);

fn at(seconds: u64) -> Unix {
    Duration::from_secs(seconds)
}

fn key() -> IdempotencyKey {
    Bytes::from_static(b"k")
}

/// A came at 100 s and holds its key until 117 s.
fn keys() -> Keys {
    let mut keys = Keys::new(10);
    assert_eq!(keys.arrived(key(), b"x", at(100)), Linked::First);
    keys.remember(key(), b"x", A, at(117));
    keys.batch_over();
    keys
}

#[test]
fn what_came_in_an_entrys_time_is_linked_to_it_however_late_it_is_read() {
    let mut keys = keys();
    keys.sweep(at(120));
    assert_eq!(keys.arrived(key(), b"x", at(117)), Linked::To(A));
    assert_eq!(keys.arrived(key(), b"x", at(118)), Linked::First, "that is a new request");
    let mut keys = self::keys();
    keys.sweep(at(126));
    assert_eq!(keys.arrived(key(), b"x", at(117)), Linked::First, "nothing is kept for ever");
}

#[test]
fn one_try_of_a_key_runs_and_the_others_get_what_became_of_it() {
    let mut keys = keys();
    assert!(keys.may_run(&key(), A));
    assert!(!keys.may_run(&key(), B));
    assert_eq!(keys.join(&key(), B), None);
    let kept = StoredOutcome::Succeeded(Bytes::from_static(b"job"));
    assert_eq!(keys.ended(A, kept.clone()), [B]);
    assert_eq!(keys.join(&key(), B), Some(kept));
}

#[test]
fn the_table_is_full_at_its_bound_and_has_room_again_when_keys_run_out() {
    let mut keys = Keys::new(0);
    for n in 0..u32::try_from(FEWEST).unwrap() {
        assert!(!keys.full());
        keys.remember(n.to_be_bytes().to_vec().into(), b"x", RequestId(n), at(117));
    }
    assert!(keys.full());
    keys.sweep(at(126));
    assert!(!keys.full());
}

#[test]
fn in_a_lasting_table_no_result_goes_early_and_each_open_run_has_its_room() {
    let mut keys = Keys::new(3 * MAX_RESULT_BYTES).lasting();
    let key = |n: u32| Bytes::from(n.to_be_bytes().to_vec());
    for n in 0..3 {
        assert!(!keys.full());
        keys.remember(key(n), b"x", RequestId(n), at(117));
    }
    assert!(keys.full());
    let longest = StoredOutcome::Succeeded(vec![0; MAX_RESULT_BYTES].into());
    for n in 0..3 {
        keys.ended(RequestId(n), longest.clone());
    }
    assert!(keys.full() && (0..3).all(|n| keys.kept(&key(n), b"x", at(110)) == Some(longest.clone())));
    keys.sweep(at(126));
    assert!(!keys.full());
    keys.remember(key(4), b"x", A, at(140));
    keys.ended(A, StoredOutcome::Succeeded(vec![0; MAX_RESULT_BYTES + 1].into()));
    assert_eq!(keys.kept(&key(4), b"x", at(130)), Some(StoredOutcome::Failed), "too long to be kept");
}

#[test]
fn a_run_that_never_began_frees_its_key() {
    let mut keys = keys();
    assert!(keys.may_run(&key(), A));
    assert_eq!(keys.ended(A, StoredOutcome::NeverStarted), []);
    assert_eq!(keys.arrived(key(), b"x", at(101)), Linked::First);
    assert!(keys.may_run(&key(), B));
}

#[test]
fn a_key_passes_to_a_newer_try_and_is_seen_in_its_batch() {
    let mut keys = keys();
    assert!(!keys.in_batch(&key()));
    assert_eq!(keys.arrived(key(), b"x", at(101)), Linked::To(A));
    assert!(keys.in_batch(&key()));
    keys.remember(key(), b"x", B, at(118));
    keys.forget(A);
    assert_eq!(keys.arrived(key(), b"x", at(102)), Linked::To(B), "A has nothing left to give up");
}

#[test]
fn a_clock_that_jumps_ahead_makes_no_key_run_out_early() {
    let mut keys = Keys::new(1000);
    keys.remember(key(), b"b", A, at(117));
    keys.jumped(Duration::from_secs(3600));
    keys.sweep(at(3716));
    assert_eq!(keys.arrived(key(), b"b", at(3716)), Linked::To(A));
    keys.sweep(at(3717) + LATE_READ_GRACE);
    assert!(!keys.knows(&key()));
}

#[test]
fn a_key_with_another_body_is_another_request_until_it_runs_out() {
    let mut keys = keys();
    assert_eq!(keys.arrived(key(), b"y", at(101)), Linked::Elsewhere);
    assert!(!keys.in_batch(&key()), "it leaves no trace");
    assert_eq!(keys.arrived(key(), b"x", at(101)), Linked::To(A));
    assert_eq!(keys.arrived(key(), b"y", at(118)), Linked::First);
}

#[test]
fn the_oldest_results_go_when_there_is_no_room_but_not_that_they_ran() {
    let mut keys = keys();
    let kept = |bytes| StoredOutcome::Succeeded(Bytes::from_static(bytes));
    assert_eq!(keys.ended(A, kept(b"seven b")), []);
    let other = Bytes::from_static(b"l");
    keys.remember(other.clone(), b"x", B, at(117));
    assert_eq!(keys.ended(B, kept(b"four")), []);
    assert_eq!(keys.join(&key(), B), Some(StoredOutcome::Failed));
    assert_eq!(keys.join(&other, A), Some(kept(b"four")));
    keys.sweep(at(126));
    assert_eq!((keys.bytes, keys.results.len()), (0, 0));
}

#[test]
fn a_key_whose_run_has_no_end_yet_does_not_run_out() {
    let mut keys = keys();
    assert!(keys.may_run(&key(), A));
    keys.sweep(at(300));
    assert_eq!(keys.arrived(key(), b"x", at(300)), Linked::To(A), "it may still have its effect");
    assert_eq!(keys.join(&key(), B), None);
    assert_eq!(keys.ended(A, StoredOutcome::Failed), [B]);
    assert_eq!(keys.arrived(key(), b"x", at(301)), Linked::First);
    keys.sweep(at(302));
    assert!(!keys.knows(&key()));
}
