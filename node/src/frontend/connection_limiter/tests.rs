use super::*;
use futures_util::FutureExt;

fn asked(guest: &ConnectionGuard) -> bool {
    guest.asked_to_leave().now_or_never().is_some()
}

#[test]
fn two_processes_of_a_node_have_half_of_the_room_each() {
    let guests = ConnectionLimiter::new(4);
    let seats: Vec<ConnectionGuard> = (0..4).map(|_| guests.seat().unwrap()).collect();
    seats[..3].iter().for_each(|seat| seat.is(Standing::Busy));
    guests.share(true);
    assert_eq!(
        seats.iter().map(asked).collect::<Vec<_>>(),
        [false, false, false, true],
        "the busy ones stay"
    );
    drop(seats);
    let seats = [guests.seat().unwrap(), guests.seat().unwrap()];
    seats[1].is(Standing::Busy);
    let _third = guests.seat().unwrap();
    assert_eq!(seats.each_ref().map(asked), [true, false]);
    guests.share(false);
    let all = [guests.seat().unwrap(), guests.seat().unwrap()];
    assert!(!all.iter().any(asked) && !asked(&seats[1]));
}

#[test]
fn strangers_go_before_idle_ones_and_busy_ones_stay() {
    let guests = ConnectionLimiter::new(3);
    let seats: Vec<ConnectionGuard> = (0..3).map(|_| guests.seat().unwrap()).collect();
    seats[0].is(Standing::Busy);
    seats[1].is(Standing::Idle);
    let fourth = guests.seat().unwrap();
    assert_eq!(seats.iter().map(asked).collect::<Vec<_>>(), [false, false, true]);
    fourth.is(Standing::Busy);
    drop(seats);
    let (_fifth, sixth) = (guests.seat().unwrap(), guests.seat().unwrap());
    sixth.is(Standing::Busy);
    let seventh = guests.seat().unwrap();
    seventh.is(Standing::Busy);
    assert!(guests.seat().is_none(), "all are busy");
    drop((fourth, sixth));
    let (last, other) = (guests.seat().unwrap(), guests.seat().unwrap());
    other.is(Standing::Busy);
    let newest = guests.seat().unwrap();
    // A request came on the one that was asked to leave: it stays, and counts.
    last.is(Standing::Busy);
    assert!(guests.seat().is_some() && asked(&newest));
}

#[test]
fn who_does_not_read_its_answers_goes_after_idle_ones_and_is_waited_for_at_the_end() {
    let guests = ConnectionLimiter::new(2);
    let seats = [guests.seat().unwrap(), guests.seat().unwrap()];
    seats[0].is(Standing::Answered);
    seats[1].is(Standing::Idle);
    let third = guests.seat().unwrap();
    third.is(Standing::Busy);
    assert_eq!(seats.each_ref().map(asked), [false, true]);
    assert!(guests.all_paid().now_or_never().is_none(), "one waits for its answer, one has not read it");
    let fourth = guests.seat().unwrap();
    assert!(asked(&seats[0]), "it goes before one that waits for its answer");
    drop(seats);
    third.is(Standing::Idle);
    assert!(guests.all_paid().now_or_never().is_some());
    drop(fourth);
}
