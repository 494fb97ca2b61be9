//! Model of frontends and of the clients behind them: the choice of the node for an attempt, and the reaction
//! to each outcome of an attempt. A [`RequestProgress`] follows the request of one client from its first
//! attempt to its end.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::Ms;
use crate::scenario::{Frontends, LoadBalancing, RepeatAt};

/// Least time before the deadline at which an attempt, also the first one, is still started.
pub const MIN_TIME_FOR_ATTEMPT: Ms = 5.0;
/// Range of the random factor by which a frontend multiplies its backoff before a retry.
const FRONTEND_BACKOFF_FACTOR: std::ops::Range<f64> = 0.5..1.5;
/// Range of the random factor by which a client multiplies the backoff of its frontend before a retry of its
/// own.
const CLIENT_BACKOFF_FACTOR: std::ops::Range<f64> = 2.0..6.0;

/// The state of one frontend: what it knows about the nodes, and its load balancing.
#[derive(Debug, Clone)]
pub struct Frontend {
    load_balancing: LoadBalancing,
    /// Whether the frontend honours the hints of a rejection: to avoid the node for a time (Retry-After), and
    /// to try no other node (give up).
    honours_rejection_hints: bool,
    /// Maximum number of retries of a request; none if only the deadline limits them.
    retries: Option<u32>,
    backoff: Ms,
    try_next_node: bool,
    client_retries: u32,
    next_node: usize,
    /// Time until which the Retry-After of each node asks this frontend to avoid the node.
    avoid_until: Vec<Ms>,
    /// Number of open attempts of this frontend on each node.
    open_attempts: Vec<u32>,
    rng: ChaCha8Rng,
}

impl Frontend {
    /// Creates a frontend of a scenario with `nodes` nodes.
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
            // A negative number in the scenario means that there is no limit.
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

    /// Restarts the frontend, which loses what it knows about the nodes.
    pub fn restart(&mut self) {
        self.avoid_until.fill(0.0);
        self.open_attempts.fill(0);
    }

    /// The listed nodes to which an attempt may be sent, without those that had an earlier one (`tried`).
    fn eligible_nodes(&self, now: Ms, listed: &[bool], tried: &[usize]) -> Vec<usize> {
        let is_avoided = |node: usize| self.honours_rejection_hints && self.avoid_until[node] > now;
        let is_eligible = |node: &usize| listed[*node] && !is_avoided(*node) && !tried.contains(node);
        (0..listed.len()).filter(is_eligible).collect()
    }

    /// Picks a node for an attempt, preferably one without an earlier attempt of the request.
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

    /// The candidate with the fewest open attempts; of several, the first one in order from a random
    /// position.
    fn least_loaded(&mut self, candidates: &[usize]) -> usize {
        let start = self.rng.random_range(0..candidates.len());
        let rotated = candidates[start..].iter().chain(&candidates[..start]);
        rotated.copied().min_by_key(|node| self.open_attempts[*node]).unwrap_or(candidates[0])
    }

    /// Records the Retry-After of a node, if this frontend honours it.
    fn record_retry_after(&mut self, now: Ms, node: usize, retry_after: Option<Ms>) {
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
    /// The node served the request.
    Served {
        /// Whether the result was computed without the call of the dependency.
        degraded: bool,
    },
    /// The node rejected the request.
    Rejected {
        /// Time for which to avoid the node (Retry-After); none if the node does not say.
        retry_after: Option<Ms>,
        /// Whether the node asks the frontend to try no other node.
        give_up: bool,
    },
    /// The request failed.
    Failed,
    /// The connection ended before the answer, or could not be opened.
    ConnectionLost,
    /// The caller stopped waiting at its deadline.
    TimedOut,
}

/// How the request of a client ended. The aliases are the names in the first version of the history format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The request was served.
    Served,
    /// The request was served with a result computed without the call of the dependency.
    #[serde(alias = "poorer")]
    Degraded,
    /// The node of the last attempt rejected the request, or the frontend had no node to send it to.
    #[serde(alias = "refused")]
    Rejected,
    /// The request failed.
    Failed,
    /// No answer came before the deadline.
    #[serde(alias = "silent")]
    TimedOut,
}

/// The next step of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NextStep {
    /// Send an attempt to this node.
    Attempt(usize),
    /// Wait until this time, then call [`RequestProgress::proceed`].
    WaitUntil(Ms),
    /// The request is over.
    Finished(RequestOutcome),
}

/// Which nodes the attempts of a request may go to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// Any node, as the frontend picks.
    Any,
    /// Only this node.
    Only(usize),
    /// Any node except this one.
    Except(usize),
}

/// The nodes to which the attempts of a request may go, and whether there may be more than one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptPolicy {
    /// Nodes to which the attempts may go.
    pub placement: Placement,
    /// Whether the frontend or the client may retry.
    pub may_retry: bool,
}

impl AttemptPolicy {
    /// Any number of attempts, at the nodes that the frontend picks.
    pub const UNRESTRICTED: AttemptPolicy = AttemptPolicy { placement: Placement::Any, may_retry: true };

    /// The policy of a request. First requests are unrestricted. A repeat gets one attempt: at the node of
    /// the first attempt of the original, or away from it, if the original was sent at all.
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

    /// A single attempt without retries, with this placement.
    pub fn single_attempt(placement: Placement) -> AttemptPolicy {
        AttemptPolicy { placement, may_retry: false }
    }
}

/// The progress of the request of one client, from its first attempt to its end.
#[derive(Debug, Clone)]
pub struct RequestProgress {
    deadline: Ms,
    policy: AttemptPolicy,
    /// Nodes of earlier attempts, which the next attempt avoids; cleared when no eligible node is left, and
    /// when the client retries.
    tried: Vec<usize>,
    /// Retries that the frontend has left; none if only the deadline limits them.
    retries: Option<u32>,
    client_retries: u32,
    /// Outcome of the request if no further attempt is made.
    last_outcome: RequestOutcome,
}

impl RequestProgress {
    /// Creates the progress of a request whose client waits until `deadline`.
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

    /// Returns the next step, at the start of the request and at the end of each wait.
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
            // No eligible node: the frontend rejects the request itself.
            None => self.retry_by_client(now, frontend),
        }
    }

    /// Returns the next step after an attempt has ended.
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
                // Repeats are sent where the scenario says rather than where the frontend would send them, so
                // their rejections must not steer other requests.
                if self.policy.may_retry {
                    frontend.record_retry_after(now, node, retry_after);
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

    /// Lets the frontend retry after its backoff, if it has a retry left.
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

    /// Lets the client retry by itself, after the frontend has given up.
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
