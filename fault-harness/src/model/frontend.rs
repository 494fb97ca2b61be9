//! The habits of frontends and of the clients behind them: which node they choose, and what they do after each
//! answer. A journey is one client's request from its first try to its end.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::Ms;
use crate::scenario::{Frontends, LoadBalancing, RepeatAt};

/// An attempt is not begun with less than this left.
pub const LATEST_RETRY_MARGIN: Ms = 5.0;

/// One frontend: what it knows and how it chooses.
#[derive(Debug, Clone)]
pub struct Front {
    load_balancing: LoadBalancing,
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
    /// A frontend with these habits.
    pub fn new(
        fronts: &Frontends,
        load_balancing: LoadBalancing,
        heeds: bool,
        nodes: usize,
        mut rng: ChaCha8Rng,
    ) -> Front {
        Front {
            load_balancing,
            heeds,
            retries: fronts.retries,
            backoff: fronts.backoff_ms,
            walk: fronts.try_next_node,
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
        let picked = match self.load_balancing {
            LoadBalancing::RoundRobin => *among.iter().find(|node| **node >= self.next).unwrap_or(&among[0]),
            LoadBalancing::Random => among[self.rng.random_range(0..among.len())],
            LoadBalancing::LeastRequests => {
                let start = self.rng.random_range(0..among.len());
                let turned = among[start..].iter().chain(&among[..start]);
                turned.copied().min_by_key(|node| self.out[*node]).unwrap_or(among[0])
            }
        };
        self.next = (picked + 1) % nodes;
        Some(picked)
    }
}

/// What came of an attempt.
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
    /// Once, wherever the frontend likes.
    Once,
    /// Wherever the frontend likes, as often as it likes.
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
        if now + LATEST_RETRY_MARGIN >= self.due {
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
            // No node takes it: the frontend rejects the request itself.
            None => self.abandoned(now, front),
        }
    }

    /// An attempt has ended.
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
                return self.abandoned(now, front);
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
        self.abandoned(now, front)
    }

    /// The frontend has given up; the client may retry by itself.
    fn abandoned(&mut self, now: Ms, front: &mut Front) -> Step {
        if self.client_retries == 0 || self.pin != Pin::Free {
            return Step::Over(self.last);
        }
        self.client_retries -= 1;
        self.retries = front.retries;
        self.tried.clear();
        self.wait(now + front.backoff * front.rng.random_range(2.0..6.0))
    }

    fn wait(&self, until: Ms) -> Step {
        if until + LATEST_RETRY_MARGIN >= self.due {
            Step::Over(self.last)
        } else {
            Step::Wait(until)
        }
    }
}

#[cfg(test)]
mod tests;
