//! The habits of front ends and of the clients behind them: which node they choose, and what they do after each
//! answer. A journey is one client's request from its first try to its end.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::Ms;
use crate::scenario::{Choose, Fronts, RepeatAt};

/// A try is not begun with less than this left.
pub const TOO_LATE: Ms = 5.0;

/// One front end: what it knows and how it chooses.
#[derive(Debug, Clone)]
pub struct Front {
    choose: Choose,
    heeds: bool,
    retries: i64,
    backoff: Ms,
    walk: bool,
    client_retries: u32,
    next: usize,
    /// Until when it was asked to stay away from each node.
    away: Vec<Ms>,
    /// Its requests out at each node.
    out: Vec<u32>,
    rng: ChaCha8Rng,
}

impl Front {
    /// A front end with these habits.
    pub fn new(fronts: &Fronts, choose: Choose, heeds: bool, nodes: usize, mut rng: ChaCha8Rng) -> Front {
        Front {
            choose,
            heeds,
            retries: fronts.retries,
            backoff: fronts.backoff_ms,
            walk: fronts.walk,
            client_retries: fronts.client_retries,
            next: rng.random_range(0..nodes),
            away: vec![0.0; nodes],
            out: vec![0; nodes],
            rng,
        }
    }

    /// It restarts and knows nothing of before.
    pub fn restart(&mut self) {
        self.away.fill(0.0);
        self.out.fill(0);
    }

    /// The nodes on the list that it was not asked to stay away from, without those tried.
    fn willing(&self, now: Ms, listed: &[bool], tried: &[usize]) -> Vec<usize> {
        let willing = |node: &usize| listed[*node] && !(self.heeds && self.away[*node] > now);
        (0..listed.len()).filter(|node| willing(node) && !tried.contains(node)).collect()
    }

    fn pick(&mut self, now: Ms, listed: &[bool], tried: &[usize]) -> Option<usize> {
        let nodes = listed.len();
        let fresh = self.willing(now, listed, tried);
        let among = if fresh.is_empty() { self.willing(now, listed, &[]) } else { fresh };
        if among.is_empty() {
            return None;
        }
        let picked = match self.choose {
            Choose::Round => *among.iter().find(|node| **node >= self.next).unwrap_or(&among[0]),
            Choose::Chance => among[self.rng.random_range(0..among.len())],
            Choose::Least => {
                let start = self.rng.random_range(0..among.len());
                let turned = among[start..].iter().chain(&among[..start]);
                turned.copied().min_by_key(|node| self.out[*node]).unwrap_or(among[0])
            }
        };
        self.next = (picked + 1) % nodes;
        Some(picked)
    }
}

/// What came of a try.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Answer {
    /// Served; `poorer` if made without its call.
    Served {
        /// The call was left out.
        poorer: bool,
    },
    /// Turned away, with advice.
    Refused {
        /// How long to stay away.
        later: Option<Ms>,
        /// The wish that no other node be tried.
        giveup: bool,
    },
    /// Failed.
    Failed,
    /// The connection ended without an answer, or there was none.
    Gone,
    /// The time ran out.
    Silent,
}

/// How a client's request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    /// Served.
    Served,
    /// Served without its call.
    Poorer,
    /// Refused.
    Refused,
    /// Failed.
    Failed,
    /// No answer in time.
    Silent,
}

/// What is to be done next.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Step {
    /// Try this node.
    Try(usize),
    /// Wait until then.
    Wait(Ms),
    /// It is over.
    Over(End),
}

/// Where a request has to go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pin {
    /// To this node, once.
    To(usize),
    /// To any but this one, once.
    Not(usize),
    /// Once, wherever the front end likes.
    Once,
    /// Wherever the front end likes, as often as it likes.
    Free,
}

impl Pin {
    /// Where a request goes that repeats no other, or one that was first tried at a node, if at any.
    pub fn of(repeats: bool, first: Option<usize>, at: RepeatAt) -> Pin {
        match (repeats, first, at) {
            (false, ..) => Pin::Free,
            (true, Some(node), RepeatAt::Same) => Pin::To(node),
            (true, Some(node), RepeatAt::Other) => Pin::Not(node),
            (true, ..) => Pin::Once,
        }
    }
}

/// One client's request on its way.
#[derive(Debug, Clone)]
pub struct Journey {
    due: Ms,
    pin: Pin,
    tried: Vec<usize>,
    retries: i64,
    client_retries: u32,
    last: End,
}

impl Journey {
    /// A request whose client waits until `due`.
    pub fn new(due: Ms, pin: Pin, front: &Front) -> Journey {
        Journey {
            due,
            pin,
            tried: Vec::new(),
            retries: front.retries,
            client_retries: front.client_retries,
            last: End::Refused,
        }
    }

    /// What to do now: at its start, and whenever a wait is over.
    pub fn go(&mut self, now: Ms, front: &mut Front, listed: &[bool]) -> Step {
        if now + TOO_LATE >= self.due {
            return Step::Over(self.last);
        }
        let node = match self.pin {
            Pin::To(node) => Some(node),
            Pin::Not(node) => front.pick(now, listed, &[node]).filter(|picked| *picked != node),
            Pin::Once | Pin::Free => front.pick(now, listed, &self.tried),
        };
        match node {
            Some(node) => {
                self.tried.push(node);
                front.out[node] += 1;
                Step::Try(node)
            }
            // Nobody is willing: the front end turns the request away itself.
            None => self.given_up(now, front),
        }
    }

    /// A try has ended.
    pub fn answered(
        &mut self,
        now: Ms,
        node: usize,
        answer: Answer,
        front: &mut Front,
        listed: &[bool],
    ) -> Step {
        front.out[node] = front.out[node].saturating_sub(1);
        match answer {
            Answer::Served { poorer } => return Step::Over(if poorer { End::Poorer } else { End::Served }),
            Answer::Silent => return Step::Over(End::Silent),
            Answer::Refused { .. } => self.last = End::Refused,
            Answer::Failed | Answer::Gone => self.last = End::Failed,
        }
        if self.pin != Pin::Free {
            return Step::Over(self.last);
        }
        let refused = matches!(answer, Answer::Refused { .. });
        if let Answer::Refused { later, giveup } = answer {
            if let Some(later) = later.filter(|_| front.heeds) {
                front.away[node] = front.away[node].max(now + later);
            }
            if giveup && front.heeds {
                return self.given_up(now, front);
            }
        }
        let left = !front.willing(now, listed, &self.tried).is_empty();
        if refused && front.walk && left {
            return self.go(now, front, listed);
        }
        if self.retries != 0 {
            self.retries -= 1;
            if !left {
                self.tried.clear();
            }
            return self.wait(now + front.backoff * front.rng.random_range(0.5..1.5));
        }
        self.given_up(now, front)
    }

    /// The front end has given up; the client may ask again by itself.
    fn given_up(&mut self, now: Ms, front: &mut Front) -> Step {
        if self.client_retries == 0 || self.pin != Pin::Free {
            return Step::Over(self.last);
        }
        self.client_retries -= 1;
        self.retries = front.retries;
        self.tried.clear();
        self.wait(now + front.backoff * front.rng.random_range(2.0..6.0))
    }

    fn wait(&self, until: Ms) -> Step {
        if until + TOO_LATE >= self.due {
            Step::Over(self.last)
        } else {
            Step::Wait(until)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    fn front(habits: Fronts, heeds: bool) -> Front {
        let mut front = Front::new(&habits, habits.choose[0], heeds, 3, ChaCha8Rng::seed_from_u64(1));
        front.next = 0;
        front
    }

    const ALL: [bool; 3] = [true; 3];
    const NO: Answer = Answer::Refused { later: None, giveup: false };

    #[test]
    fn one_that_walks_goes_through_its_list_and_then_gives_up() {
        let mut front =
            front(Fronts { walk: true, retries: 0, client_retries: 0, ..Fronts::default() }, false);
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
            let mut front = front(Fronts { retries: 0, client_retries: 0, ..Fronts::default() }, heeds);
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
        let habits = Fronts { walk: true, retries: 0, client_retries: 0, ..Fronts::default() };
        let mut front = front(habits, true);
        front.away = vec![0.0, 500.0, 500.0];
        let mut journey = Journey::new(1000.0, Pin::Free, &front);
        assert_eq!(journey.go(0.0, &mut front, &ALL), Step::Try(0));
        assert_eq!(journey.answered(1.0, 0, NO, &mut front, &ALL), Step::Over(End::Refused));
    }

    #[test]
    fn without_a_limit_it_goes_on_to_the_deadline() {
        let mut front = front(Fronts { retries: -1, client_retries: 0, ..Fronts::default() }, false);
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
        let mut front = front(Fronts { retries: 0, client_retries: 1, ..Fronts::default() }, false);
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
        let mut front = front(Fronts { client_retries: 0, ..Fronts::default() }, false);
        let mut journey = Journey::new(1000.0, Pin::Free, &front);
        assert_eq!(journey.go(0.0, &mut front, &[false; 3]), Step::Over(End::Refused));
    }
}
