//! What runs: the order of the queue, what is shed from it, and how many run at once as the cores allow.

use super::{Admission, Phase, Request, BUSY_LOW, REMAINING_WORK, USED_CAPACITY, USED_MEMORY};
use crate::interface::{Action, Gauges, RequestId};

/// Runnable work a core above which the run limit falls: past it cores lose efficiency.
const RUNNABLE_HIGH: f64 = 1.4;
/// The server is stalled when no run ends for this many mean run times.
const STALL_RUNS: f64 = 4.0;

impl Admission {
    pub(super) fn cores(&self) -> f64 {
        f64::from(self.settings.cores.max(1))
    }

    /// The part of its full speed that the server has at the least while it warms up.
    pub(super) fn warm_fraction(&self) -> f64 {
        let settings = &self.settings;
        if !settings.cold {
            return 1.0;
        }
        let part = (self.now - self.booted_at) / settings.warm_up_time.as_secs_f64().max(1e-3);
        (settings.cold_speed + (1.0 - settings.cold_speed) * part).clamp(0.0, 1.0)
    }

    /// Concurrent runs that the server survives, less a margin; fewer during warm-up.
    pub(super) fn max_running(&self) -> f64 {
        let each = 1.0 + (self.settings.max_concurrency_per_core - 1.0).max(0.0) * self.warm_fraction();
        (self.cores() * each * USED_CAPACITY).max(1.0)
    }

    /// Raises the run limit while cores idle and requests are queued; lowers it when too much is runnable.
    pub(super) fn adjust_run_limit(&mut self, gauges: &Gauges) {
        let cores = self.cores();
        let waits = self.count_in(Phase::Queued) > 0;
        let runnable = gauges.runnable.unwrap_or(cores);
        let running = self.count_in(Phase::Running) as f64;
        self.off_cpu = (running - gauges.runnable.unwrap_or(running)).max(0.0);
        if runnable > cores * RUNNABLE_HIGH {
            self.run_limit -= 0.25;
        } else if waits && runnable < cores && gauges.busy.is_none_or(|busy| busy < BUSY_LOW) {
            self.run_limit += 0.25;
        }
        self.run_limit = self.run_limit.clamp(cores, self.max_running().max(cores));
    }

    /// Reports bad health, and queues nothing, while no run ends for several mean run times.
    pub(super) fn detect_stall(&mut self, out: &mut Vec<Action>) {
        let idle = self.count_in(Phase::Running) as f64 <= self.off_cpu;
        self.progress_at = if idle { self.now } else { self.progress_at };
        let mean = self.cores() / self.capacity();
        let stalled = self.rate.is_some() && self.now - self.progress_at > STALL_RUNS * mean;
        if std::mem::replace(&mut self.stalled, stalled) != stalled && self.stop_at.is_none() {
            out.push(Action::SetHealth { good: !stalled, cheap: true });
        }
    }

    /// Highest priority first, in steps of 1.4; within a step the earliest latency objective first.
    fn queue_order(&self) -> Vec<RequestId> {
        let held = self.requests.iter().filter(|(_, r)| r.phase == Phase::Queued);
        let step = |r: &Request| (2.0 * r.priority.log2()).round();
        let mut held: Vec<_> = held.map(|(&id, r)| (id, r.objective_at, step(r))).collect();
        held.sort_by(|a, b| b.2.total_cmp(&a.2).then(a.1.total_cmp(&b.1)).then(a.0.cmp(&b.0)));
        held.into_iter().map(|(id, ..)| id).collect()
    }

    /// Sheds the lowest priorities that would delay a request past its objective. If nothing ended lately,
    /// the first of the queue runs all the same: otherwise a wrong estimate would never be corrected.
    pub(super) fn shed_unmeetable(&mut self, out: &mut Vec<Action>) {
        let line = self.queue_order();
        let on_cores = |r: &Request| self.now - r.started_at - r.time_at_calls;
        let remaining = |r: &Request, work: f64| (work - on_cores(r)).max(work * REMAINING_WORK);
        let left = |r: &Request| self.estimated_work(r).map_or(0.0, |work| remaining(r, work));
        let mut ahead: f64 = self.requests.values().filter(|r| r.phase == Phase::Running).map(left).sum();
        let mut kept: Vec<(RequestId, f64, f64)> = Vec::new();
        for id in line {
            let Some(request) = self.requests.get(&id) else { continue };
            let Some(work) = self.estimated_work(request) else { continue };
            let (objective_at, priority) = (request.objective_at, request.priority);
            kept.push((id, work, priority));
            ahead += work;
            while !kept.is_empty()
                && (ahead > work || !self.latencies.is_empty())
                && self.now + (ahead - work) / (self.run_limit + self.off_cpu) + work * REMAINING_WORK
                    > objective_at
            {
                let worst = (0..kept.len()).min_by(|&a, &b| kept[a].2.total_cmp(&kept[b].2));
                let (victim, freed, _) = kept.remove(worst.unwrap_or(0));
                ahead -= freed;
                self.recent.iter_mut().filter(|s| s.id == victim).for_each(|s| s.admitted = false);
                self.reject_queued(victim, out);
                if victim == id {
                    break;
                }
            }
        }
    }

    pub(super) fn start_runs(&mut self, out: &mut Vec<Action>) {
        let mut on_cores = self.count_in(Phase::Running) as f64;
        let at_calls = |r: &Request| matches!(r.phase, Phase::AwaitingCall | Phase::Calling);
        let max_running = self.max_running() - self.at_calls() as f64;
        let max_at_calls = self.max_at_calls();
        let factor = self.settings.running_memory_factor.max(1.0);
        let mut used = self.memory_used();
        for id in self.queue_order() {
            if on_cores + 1.0 > self.run_limit + self.off_cpu || on_cores + 1.0 > max_running {
                break;
            }
            let Some(request) = self.requests.get(&id) else { continue };
            let before = self.requests.values().filter(|r| at_calls(r) && r.priority >= request.priority);
            let calls_full = request.may_call && before.count() >= max_at_calls;
            let Some(request) = self.requests.get_mut(&id) else { continue };
            let more = request.memory_kb * (factor - 1.0);
            if used + more > self.settings.memory_kb * USED_MEMORY || calls_full {
                continue;
            }
            used += more;
            on_cores += 1.0;
            request.started_at = self.now;
            request.phase = Phase::Running;
            out.push(Action::Run(id));
        }
    }
}
