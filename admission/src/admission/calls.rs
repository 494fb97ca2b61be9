//! Calls to the dependency: how many are in flight, which requests wait for one, and which go on without.

use std::collections::VecDeque;
use std::time::Duration;

use super::{
    seconds, Admission, Mean, Phase, Request, LATENCY_TARGET, MEAN_WEIGHT, RATE_WINDOW, REMAINING_WORK,
    TIMER_PERIOD, USED_CAPACITY,
};
use crate::interface::{Action, Dependency, Effect, Outcome, RequestId};

/// A call beyond this part of the latency objective is slow, and so is waiting that long for one.
const SLOW_CALL_FRACTION: f64 = 0.07;
/// A quick call raises the call limit by this part of the share; slow ones lower it to this floor.
const CALL_LIMIT_STEP: f64 = 0.05;
const CALL_LIMIT_FLOOR: f64 = 0.22;
/// The share and its span where no dependency is shared: more than any server uses.
const UNSHARED_CAPACITY: f64 = 1e6;

#[derive(Debug)]
pub(super) struct EndedCall {
    pub(super) at: f64,
    waited: f64,
}

/// Calls in flight at a shared dependency. A balance of call-seconds keeps their mean within this server's
/// share; the limit falls when calls get slow. Below a limit of one, calls are spaced in time.
#[derive(Debug, Default)]
pub(super) struct Calls {
    /// This server's part of the calls that the dependency survives.
    pub(super) share: f64,
    pub(super) span: f64,
    pub(super) linger: f64,
    pub(super) limit: f64,
    balance: f64,
    pub(super) at: f64,
    next_call_at: f64,
    /// Until when calls that were given up still run there.
    lingering: VecDeque<f64>,
    pub(super) ended: VecDeque<EndedCall>,
    pub(super) at_limit_until: f64,
    typical_time: Mean,
}

impl Calls {
    pub(super) fn new(dependency: &Dependency, now: f64) -> Self {
        let mut calls = Calls { at: now, ..Calls::default() };
        calls.reconfigure(dependency);
        calls
    }

    pub(super) fn reconfigure(&mut self, dependency: &Dependency) {
        (self.share, self.span, self.linger) = (UNSHARED_CAPACITY, UNSHARED_CAPACITY, 0.0);
        if let Dependency::Shared { share, span, linger } = *dependency {
            (self.share, self.span, self.linger) = (share.max(0.0), span.as_secs_f64(), linger.as_secs_f64());
        }
        self.limit = self.share;
    }

    /// Brings the balance up to `now`; returns the calls in flight, abandoned ones that still run included.
    fn settle(&mut self, now: f64, calling: f64) -> f64 {
        self.lingering.retain(|until| *until > now);
        let in_hand = calling + self.lingering.len() as f64;
        let most = self.share * self.span * (1.0 - USED_CAPACITY);
        self.balance = (self.balance + (self.share * USED_CAPACITY - in_hand) * (now - self.at)).min(most);
        self.at = now;
        in_hand
    }

    /// Requests whose calls end within the latency target at the recent rate.
    fn completable(&self, latency_objective: f64) -> f64 {
        let ended = self.ended.len() as f64;
        (ended + ended.sqrt()) / RATE_WINDOW * LATENCY_TARGET * latency_objective
    }

    fn can_start(&self, now: f64, in_hand: f64) -> bool {
        in_hand < self.limit.floor().max(1.0) && self.balance >= 0.0 && now >= self.next_call_at
    }

    /// In seconds: one call must not use up the share.
    fn max_call_time(&self) -> f64 {
        (self.share * self.span * 0.5 - self.linger).max(TIMER_PERIOD)
    }

    pub(super) fn ended(&mut self, now: f64, took: f64, waited: f64, slow: bool, lingers: bool) {
        self.ended.push_back(EndedCall { at: now, waited });
        self.lingering.extend(lingers.then_some(now + self.linger));
        let step = if slow { -0.2 * self.limit } else { CALL_LIMIT_STEP * self.share };
        self.limit = (self.limit + step).clamp(CALL_LIMIT_FLOOR * self.share, self.share);
        if self.limit < 1.0 {
            self.next_call_at = now + (took * (1.0 / self.limit.max(1e-3) - 1.0)).min(self.span);
        }
    }
}

impl Admission {
    pub(super) fn call_needed(&mut self, id: RequestId) {
        self.progress_at = self.now;
        if let Some(request) = self.requests.get_mut(&id) {
            request.phase = Phase::AwaitingCall;
            request.call_needed_at = self.now;
        }
    }

    pub(super) fn call_returned(&mut self, id: RequestId, outcome: Outcome, took: Duration) {
        if outcome == Outcome::Rejected {
            self.penalized_until = self.now + RATE_WINDOW;
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.phase != Phase::Calling {
            return;
        }
        let class = &self.settings.classes[request.class];
        let waited = self.now - request.call_needed_at;
        let took = took.as_secs_f64();
        let slow =
            took > SLOW_CALL_FRACTION * class.latency_objective.as_secs_f64() || outcome == Outcome::Rejected;
        if outcome == Outcome::Ok {
            self.calls.typical_time.add(took, MEAN_WEIGHT / 2.0);
            request.phase = Phase::Running;
            request.time_at_calls += self.now - request.call_needed_at;
        } else {
            let never_ran = matches!(outcome, Outcome::Rejected | Outcome::Unreachable);
            request.phase = Phase::AwaitingCall;
            request.calls_failed += if never_ran || class.effect == Effect::Idempotent { 1 } else { 100 };
        }
        self.calls.ended(self.now, took, waited, slow, outcome == Outcome::TimedOut);
    }

    /// Starts the calls that the limit allows, the highest priority first.
    pub(super) fn start_calls(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let mut calling = self.calls.settle(now, self.count_in(Phase::Calling) as f64);
        let full = self.at_calls() >= self.max_at_calls();
        let waiting = self.requests.iter().filter(|(_, r)| r.phase == Phase::AwaitingCall && !r.answered);
        let mut waiting: Vec<_> = waiting.map(|(&id, r)| (id, r.priority, r.objective_at)).collect();
        waiting.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.2.total_cmp(&b.2)));
        for (id, ..) in waiting {
            let Some(request) = self.requests.get(&id) else { continue };
            let class = &self.settings.classes[request.class];
            let late = full && class.effect == Effect::Idempotent && now > request.objective_at;
            let work = self.estimated_work(request).unwrap_or(0.0) * REMAINING_WORK;
            let left = request.objective_at - now - work;
            let unmeetable = now < request.objective_at && left < self.calls.typical_time.average;
            let skips = class.skip_weight > 0.0 && (full || request.calls_failed > 0 || unmeetable);
            let fails = late || request.calls_failed > 2;
            let until_deadline = request.deadline - now - TIMER_PERIOD;
            let timeout = if class.skip_weight > 0.0 && left > 0.0 { left } else { until_deadline };
            let timeout = timeout.min(self.calls.max_call_time()).max(0.001);
            let Some(request) = self.requests.get_mut(&id) else { continue };
            if skips {
                request.phase = Phase::Running;
                request.time_at_calls += now - request.call_needed_at;
                out.push(Action::SkipCall(id));
            } else if fails {
                self.fail(id, out);
            } else if self.calls.can_start(now, calling) {
                calling += 1.0;
                request.phase = Phase::Calling;
                request.call_sent_at = now;
                out.push(Action::Call(id, seconds(timeout)));
            }
        }
    }

    pub(super) fn at_calls(&self) -> usize {
        self.count_in(Phase::AwaitingCall) + self.count_in(Phase::Calling)
    }

    /// Twice the cores while calls are quick, else as many as can be completed within the latency target. A
    /// further tier protects itself: only the concurrency limit counts there.
    pub(super) fn max_at_calls(&self) -> usize {
        let cores = self.cores();
        if self.settings.dependency == Dependency::Tier {
            return (self.max_running() - cores).max(cores) as usize;
        }
        let most = 2.0 * cores;
        let calling = self.settings.classes.iter().filter(|class| class.calls);
        let objectives = calling.map(|class| class.latency_objective.as_secs_f64());
        let objective = objectives.fold(f64::INFINITY, f64::min);
        let waited = self.calls.ended.iter().map(|call| call.waited).sum::<f64>();
        let slow = waited > SLOW_CALL_FRACTION * objective * self.calls.ended.len() as f64;
        (if slow { self.calls.completable(objective).clamp(1.0, most) } else { most }) as usize
    }

    /// With calls at their limit, admits what will call if few of its priority or above are in flight.
    pub(super) fn can_add_call(&mut self, id: RequestId) -> bool {
        if self.at_calls() >= self.max_at_calls() {
            self.calls.at_limit_until = self.now + RATE_WINDOW;
        }
        let Some(request) = self.requests.get(&id) else { return false };
        let bound = self.calls.completable(self.objective_of(request.class)).max(1.0);
        let before = |r: &&Request| r.may_call && !r.answered && r.priority >= request.priority;
        self.now >= self.calls.at_limit_until
            || !request.may_call
            || self.requests.values().filter(before).count() as f64 <= bound
    }
}
