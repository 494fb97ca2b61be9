use super::*;
use rand::SeedableRng;

fn front(habits: Frontends, heeds: bool) -> Front {
    let mut front = Front::new(&habits, habits.load_balancing[0], heeds, 3, ChaCha8Rng::seed_from_u64(1));
    front.next = 0;
    front
}

const ALL: [bool; 3] = [true; 3];
const NO: Answer = Answer::Refused { later: None, giveup: false };

#[test]
fn one_that_walks_goes_through_its_list_and_then_gives_up() {
    let mut front = front(
        Frontends { try_next_node: true, retries: 0, client_retries: 0, ..Frontends::default() },
        false,
    );
    let mut journey = Journey::new(1000.0, Pin::Free, &front);
    assert_eq!(journey.go(0.0, &mut front, &ALL), Step::Try(0));
    assert_eq!(journey.answered(1.0, 0, NO, &mut front, &ALL), Step::Try(1));
    assert_eq!(journey.answered(2.0, 1, NO, &mut front, &ALL), Step::Try(2));
    assert_eq!(journey.answered(3.0, 2, NO, &mut front, &ALL), Step::Over(End::Refused));
}

#[test]
fn advice_is_followed_by_those_who_heed_it() {
    let advice = Answer::Refused { later: Some(500.0), giveup: false };
    for (heeds, next) in [(true, 1), (false, 0)] {
        let mut front = front(Frontends { retries: 0, client_retries: 0, ..Frontends::default() }, heeds);
        let mut first = Journey::new(1000.0, Pin::Free, &front);
        first.go(0.0, &mut front, &ALL);
        first.answered(1.0, 0, advice, &mut front, &ALL);
        front.next = 0;
        let mut second = Journey::new(1000.0, Pin::Free, &front);
        assert_eq!(second.go(2.0, &mut front, &ALL), Step::Try(next));
    }
}

#[test]
fn a_walk_ends_where_it_was_asked_to_stay_away_from_the_rest() {
    let habits = Frontends { try_next_node: true, retries: 0, client_retries: 0, ..Frontends::default() };
    let mut front = front(habits, true);
    front.away = vec![0.0, 500.0, 500.0];
    let mut journey = Journey::new(1000.0, Pin::Free, &front);
    assert_eq!(journey.go(0.0, &mut front, &ALL), Step::Try(0));
    assert_eq!(journey.answered(1.0, 0, NO, &mut front, &ALL), Step::Over(End::Refused));
}

#[test]
fn without_a_limit_it_goes_on_to_the_deadline() {
    let mut front = front(Frontends { retries: -1, client_retries: 0, ..Frontends::default() }, false);
    let mut journey = Journey::new(1000.0, Pin::Free, &front);
    let (mut now, mut tries, mut step) = (0.0, 0, Step::Wait(0.0));
    let end = loop {
        step = match step {
            Step::Wait(until) => {
                now = until;
                journey.go(now, &mut front, &ALL)
            }
            Step::Try(node) => {
                tries += 1;
                journey.answered(now, node, Answer::Failed, &mut front, &ALL)
            }
            Step::Over(end) => break end,
        };
    };
    assert!(end == End::Failed && tries > 10 && now < 1000.0, "{tries} tries until {now}");
}

#[test]
fn a_client_asks_again_once_and_a_repeat_is_tried_once_where_it_has_to_go() {
    let mut front = front(Frontends { retries: 0, client_retries: 1, ..Frontends::default() }, false);
    let mut journey = Journey::new(1000.0, Pin::Free, &front);
    journey.go(0.0, &mut front, &ALL);
    let Step::Wait(until) = journey.answered(1.0, 0, NO, &mut front, &ALL) else {
        panic!("the client asks again")
    };
    assert_eq!(journey.go(until, &mut front, &ALL), Step::Try(1));
    assert_eq!(journey.answered(until, 1, NO, &mut front, &ALL), Step::Over(End::Refused));
    let mut repeat = Journey::new(1000.0, Pin::To(2), &front);
    assert_eq!(repeat.go(0.0, &mut front, &ALL), Step::Try(2));
    assert_eq!(repeat.answered(1.0, 2, NO, &mut front, &ALL), Step::Over(End::Refused));
    let mut elsewhere = Journey::new(1000.0, Pin::Not(2), &front);
    assert!(matches!(elsewhere.go(0.0, &mut front, &ALL), Step::Try(0 | 1)));
    assert_eq!(elsewhere.go(0.0, &mut front, &[false, false, true]), Step::Over(End::Refused));
}

#[test]
fn with_nobody_on_the_list_the_front_end_turns_it_away_itself() {
    let mut front = front(Frontends { client_retries: 0, ..Frontends::default() }, false);
    let mut journey = Journey::new(1000.0, Pin::Free, &front);
    assert_eq!(journey.go(0.0, &mut front, &[false; 3]), Step::Over(End::Refused));
}
