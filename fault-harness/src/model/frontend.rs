//! The behaviour of frontends and of the clients behind them: which node an attempt goes to, and what follows each
//! outcome of an attempt. A [`RequestProgress`] is one client's request from its first attempt to its end.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::Ms;
use crate::scenario::{Frontends, LoadBalancing, RepeatAt};

/// No attempt, the first included, is begun with less than this left.
pub const MIN_TIME_FOR_ATTEMPT: Ms = 5.0;
/// A frontend waits a random time between these multiples of its backoff before it retries.
const FRONTEND_BACKOFF_FACTOR: std::ops::Range<f64> = 0.5..1.5;
/// A client waits a random time between these multiples of its frontend's backoff before it retries by itself.
const CLIENT_BACKOFF_FACTOR: std::ops::Range<f64> = 2.0..6.0;

/// One frontend: what it knows of the nodes and how it picks one.
#[derive(Debug, Clone)]
pub struct Frontend {
    load_balancing: LoadBalancing,
    /// Whether it heeds what a rejection asks: to stay away for a while (Retry-After), and to try no other node (give up).
    honours_rejection_hints: bool,
    /// How often it retries a request; none for no limit but the deadline.
    retries: Option<u32>,
    backoff: Ms,
    try_next_node: bool,
    client_retries: u32,
    next_node: usize,
    /// For each node, until when its Retry-After asks this frontend to stay away.
    avoid_until: Vec<Ms>,
    /// For each node, this frontend's open attempts there.
    open_attempts: Vec<u32>,
    rng: ChaCha8Rng,
}

impl Frontend {
    /// A frontend of a scenario that knows `nodes` nodes.
    pub fn new(
        settings: &Frontends,
        load_balancing: LoadBalancing,
        honours_rejection_hints: bool,
        nodes: usize,
        mut rng: ChaCha8Rng,
    ) -> Frontend {
        Frontend {
            load_balancing,
            honours_rejection_hints,
            // The scenario's -1 means no limit.
            retries: u32::try_from(settings.retries).ok(),
            backoff: settings.backoff_ms,
            try_next_node: settings.try_next_node,
            client_retries: settings.client_retries,
            next_node: rng.random_range(0..nodes),
            avoid_until: vec![0.0; nodes],
            open_attempts: vec![0; nodes],
            rng,
        }
    }

    /// It restarts and knows nothing of before.
    pub fn restart(&mut self) {
        self.avoid_until.fill(0.0);
        self.open_attempts.fill(0);
    }

    /// The listed nodes that it may send to, without those already tried.
    fn eligible_nodes(&self, now: Ms, listed: &[bool], tried: &[usize]) -> Vec<usize> {
        let is_avoided = |node: usize| self.honours_rejection_hints && self.avoid_until[node] > now;
        let is_eligible = |node: &usize| listed[*node] && !is_avoided(*node) && !tried.contains(node);
        (0..listed.len()).filter(is_eligible).collect()
    }

    /// Picks a node, one that was not tried if there is any.
    fn pick(&mut self, now: Ms, listed: &[bool], tried: &[usize]) -> Option<usize> {
        let mut candidates = self.eligible_nodes(now, listed, tried);
        if candidates.is_empty() {
            candidates = self.eligible_nodes(now, listed, &[]);
        }
        if candidates.is_empty() {
            return None;
        }
        let picked = match self.load_balancing {
            LoadBalancing::RoundRobin => {
                let following = candidates.iter().find(|node| **node >= self.next_node);
                *following.unwrap_or(&candidates[0])
            }
            LoadBalancing::Random => candidates[self.rng.random_range(0..candidates.len())],
            LoadBalancing::LeastRequests => self.least_loaded(&candidates),
        };
        self.next_node = (picked + 1) % listed.len();
        Some(picked)
    }

    /// The candidate with the fewest open attempts; of several, the first one from a random position on.
    fn least_loaded(&mut self, candidates: &[usize]) -> usize {
        let start = self.rng.random_range(0..candidates.len());
        let rotated = candidates[start..].iter().chain(&candidates[..start]);
        rotated.copied().min_by_key(|node| self.open_attempts[*node]).unwrap_or(candidates[0])
    }

    /// Takes in the Retry-After of a node, if this frontend honours it.
    fn note_retry_after(&mut self, now: Ms, node: usize, retry_after: Option<Ms>) {
        if let Some(delay) = retry_after.filter(|_| self.honours_rejection_hints) {
            self.avoid_until[node] = self.avoid_until[node].max(now + delay);
        }
    }

    fn jittered_backoff(&mut self, jitter: std::ops::Range<f64>) -> Ms {
        self.backoff * self.rng.random_range(jitter)
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptOutcome {
    /// Served; `degraded` if without the call of the dependency.
    Served {
        /// The call was skipped.
        degraded: bool,
    },
    /// Rejected.
    Rejected {
        /// How long to stay away (Retry-After).
        retry_after: Option<Ms>,
        /// The node asks that no other node be tried.
        give_up: bool,
    },
    /// Failed.
    Failed,
    /// The connection ended without an answer, or there was none.
    ConnectionLost,
    /// The caller's time ran out.
    TimedOut,
}

/// How a client's request ended. The aliases are the names in histories of earlier builds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// Served.
    Served,
    /// Served without the call of the dependency.
    #[serde(alias = "poorer")]
    Degraded,
    /// Rejected by the last attempt, or by the frontend.
    #[serde(alias = "refused")]
    Rejected,
    /// Failed.
    Failed,
    /// No answer in time.
    #[serde(alias = "silent")]
    TimedOut,
}

/// What is to be done next for a client's request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NextStep {
    /// Send an attempt to this node.
    Attempt(usize),
    /// Wait until this time, then proceed.
    WaitUntil(Ms),
    /// It is over.
    Finished(RequestOutcome),
}

/// Which nodes the attempts of a request may go to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// Wherever the frontend picks.
    Any,
    /// This node alone.
    Only(usize),
    /// Any node but this one.
    Except(usize),
}

/// Where the attempts of a request may go, and whether there may be more than one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptPolicy {
    /// Which nodes they may go to.
    pub placement: Placement,
    /// Whether the frontend or the client may retry.
    pub may_retry: bool,
}

impl AttemptPolicy {
    /// Any number of attempts, wherever the frontend picks.
    pub const UNRESTRICTED: AttemptPolicy = AttemptPolicy { placement: Placement::Any, may_retry: true };

    /// First requests are unrestricted. A repeat gets one attempt: at or away from the node of the original, if that was
    /// sent to one.
    pub fn of(is_repeat: bool, first_node: Option<usize>, repeat_at: RepeatAt) -> AttemptPolicy {
        if !is_repeat {
            return AttemptPolicy::UNRESTRICTED;
        }
        let placement = match (first_node, repeat_at) {
            (Some(node), RepeatAt::Same) => Placement::Only(node),
            (Some(node), RepeatAt::Other) => Placement::Except(node),
            _ => Placement::Any,
        };
        AttemptPolicy::single_attempt(placement)
    }

    /// One attempt.
    pub fn single_attempt(placement: Placement) -> AttemptPolicy {
        AttemptPolicy { placement, may_retry: false }
    }
}

/// One client's request, from its first attempt to its end.
#[derive(Debug, Clone)]
pub struct RequestProgress {
    deadline: Ms,
    policy: AttemptPolicy,
    /// The nodes of its attempts, to be avoided by the next; emptied when no eligible node is left, and when the client retries.
    tried: Vec<usize>,
    /// Retries that its frontend has left; none for no limit.
    retries: Option<u32>,
    client_retries: u32,
    /// How it ends if no further attempt is made.
    last_outcome: RequestOutcome,
}

impl RequestProgress {
    /// A request whose client waits until `deadline`.
    pub fn new(deadline: Ms, policy: AttemptPolicy, frontend: &Frontend) -> RequestProgress {
        RequestProgress {
            deadline,
            policy,
            tried: Vec::new(),
            retries: frontend.retries,
            client_retries: frontend.client_retries,
            last_outcome: RequestOutcome::Rejected,
        }
    }

    /// What to do now: at its start, and whenever a wait is over.
    pub fn proceed(&mut self, now: Ms, frontend: &mut Frontend, listed: &[bool]) -> NextStep {
        if now + MIN_TIME_FOR_ATTEMPT >= self.deadline {
            return NextStep::Finished(self.last_outcome);
        }
        let node = match self.policy.placement {
            Placement::Only(node) => Some(node),
            Placement::Except(node) => frontend.pick(now, listed, &[node]).filter(|picked| *picked != node),
            Placement::Any => frontend.pick(now, listed, &self.tried),
        };
        match node {
            Some(node) => {
                self.tried.push(node);
                frontend.open_attempts[node] += 1;
                NextStep::Attempt(node)
            }
            // No node takes it: the frontend rejects the request itself.
            None => self.retry_by_client(now, frontend),
        }
    }

    /// What to do after an attempt has ended.
    pub fn on_outcome(
        &mut self,
        now: Ms,
        node: usize,
        outcome: AttemptOutcome,
        frontend: &mut Frontend,
        listed: &[bool],
    ) -> NextStep {
        frontend.open_attempts[node] = frontend.open_attempts[node].saturating_sub(1);
        match outcome {
            AttemptOutcome::Served { degraded: false } => NextStep::Finished(RequestOutcome::Served),
            AttemptOutcome::Served { degraded: true } => NextStep::Finished(RequestOutcome::Degraded),
            AttemptOutcome::TimedOut => NextStep::Finished(RequestOutcome::TimedOut),
            AttemptOutcome::Rejected { retry_after, give_up } => {
                self.last_outcome = RequestOutcome::Rejected;
                // Repeats are sent where the scenario wants them, not where the frontend would: their rejections do
                // not steer other requests.
                if self.policy.may_retry {
                    frontend.note_retry_after(now, node, retry_after);
                }
                self.on_rejection(now, give_up, frontend, listed)
            }
            AttemptOutcome::Failed | AttemptOutcome::ConnectionLost => {
                self.last_outcome = RequestOutcome::Failed;
                self.on_failure(now, frontend, listed)
            }
        }
    }

    fn on_rejection(&mut self, now: Ms, give_up: bool, frontend: &mut Frontend, listed: &[bool]) -> NextStep {
        if !self.policy.may_retry {
            return NextStep::Finished(self.last_outcome);
        }
        if give_up && frontend.honours_rejection_hints {
            return self.retry_by_client(now, frontend);
        }
        if frontend.try_next_node && !frontend.eligible_nodes(now, listed, &self.tried).is_empty() {
            return self.proceed(now, frontend, listed);
        }
        self.retry(now, frontend, listed)
    }

    fn on_failure(&mut self, now: Ms, frontend: &mut Frontend, listed: &[bool]) -> NextStep {
        if !self.policy.may_retry {
            return NextStep::Finished(self.last_outcome);
        }
        self.retry(now, frontend, listed)
    }

    /// The frontend retries after its backoff, if it has a retry left.
    fn retry(&mut self, now: Ms, frontend: &mut Frontend, listed: &[bool]) -> NextStep {
        match &mut self.retries {
            Some(0) => return self.retry_by_client(now, frontend),
            Some(left) => *left -= 1,
            None => {}
        }
        if frontend.eligible_nodes(now, listed, &self.tried).is_empty() {
            self.tried.clear();
        }
        self.wait_until(now + frontend.jittered_backoff(FRONTEND_BACKOFF_FACTOR))
    }

    /// The frontend has given up; the client may retry by itself.
    fn retry_by_client(&mut self, now: Ms, frontend: &mut Frontend) -> NextStep {
        if self.client_retries == 0 || !self.policy.may_retry {
            return NextStep::Finished(self.last_outcome);
        }
        self.client_retries -= 1;
        self.retries = frontend.retries;
        self.tried.clear();
        self.wait_until(now + frontend.jittered_backoff(CLIENT_BACKOFF_FACTOR))
    }

    fn wait_until(&self, until: Ms) -> NextStep {
        if until + MIN_TIME_FOR_ATTEMPT >= self.deadline {
            NextStep::Finished(self.last_outcome)
        } else {
            NextStep::WaitUntil(until)
        }
    }
}

#[cfg(test)]
mod tests;
