//! Model of the dependency that all nodes share: a number of slots that work on calls, and a short queue;
//! calls that find the queue full are rejected.

use std::collections::{BTreeMap, VecDeque};

use super::Ms;

/// Id of a call, assigned by the caller.
pub type CallId = u64;

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The call completed before its deadline.
    Completed(CallId),
    /// The deadline of the call passed while it was queued or in a slot.
    TimedOut(CallId),
}

#[derive(Debug, Clone, Copy)]
struct Call {
    id: CallId,
    work: Ms,
    deadline: Ms,
}

/// A call that occupies a slot.
#[derive(Debug, Clone, Copy)]
struct ActiveCall {
    ends_at: Ms,
    call: Call,
}

/// The state of the dependency, advanced in virtual time.
#[derive(Debug, Clone)]
pub struct Dependency {
    slots: usize,
    queue_limit: usize,
    /// Fraction of the slots that a fault leaves; 1 without a fault.
    capacity_factor: f64,
    active: BTreeMap<CallId, ActiveCall>,
    queue: VecDeque<Call>,
}

impl Dependency {
    /// Creates a dependency that works on up to `slots` calls at once and queues up to `queue_limit` more.
    pub fn new(slots: usize, queue_limit: usize) -> Dependency {
        Dependency {
            slots,
            queue_limit,
            capacity_factor: 1.0,
            active: BTreeMap::new(),
            queue: VecDeque::new(),
        }
    }

    /// Sets the fraction of the slots that may be used; calls that already occupy a slot keep it.
    pub fn set_capacity_factor(&mut self, factor: f64) {
        self.capacity_factor = factor;
    }

    fn capacity(&self) -> usize {
        (self.slots as f64 * self.capacity_factor).round() as usize
    }

    /// Starts or queues a call that takes `work` and is abandoned at `deadline`. Returns false if the call is
    /// rejected.
    pub fn try_call(&mut self, now: Ms, id: CallId, work: Ms, deadline: Ms) -> bool {
        let call = Call { id, work, deadline };
        if self.active.len() < self.capacity() {
            self.start(now, call);
        } else if self.queue.len() < self.queue_limit && self.capacity() > 0 {
            self.queue.push_back(call);
        } else {
            return false;
        }
        true
    }

    fn start(&mut self, now: Ms, call: Call) {
        let ends_at = (now + call.work).min(call.deadline);
        self.active.insert(call.id, ActiveCall { ends_at, call });
    }

    /// Cancels a call if it is queued; one that occupies a slot keeps it until it ends.
    pub fn cancel(&mut self, id: CallId) {
        self.queue.retain(|call| call.id != id);
    }

    /// Time of the next internal event: the end of a call, or the deadline of a queued one.
    pub fn next_event_at(&self) -> Option<Ms> {
        let ends = self.active.values().map(|active| active.ends_at);
        let deadlines = self.queue.iter().map(|call| call.deadline);
        ends.chain(deadlines).min_by(f64::total_cmp)
    }

    /// Advances the time to `now` and returns the calls that ended.
    pub fn advance(&mut self, now: Ms) -> Vec<CallEnd> {
        let mut ended = Vec::new();
        while let Some(at) = self.next_event_at().filter(|at| *at <= now) {
            self.end_active(at, &mut ended);
            self.time_out_queued(at, &mut ended);
            while self.active.len() < self.capacity() {
                let Some(call) = self.queue.pop_front() else { break };
                self.start(at, call);
            }
        }
        ended
    }

    fn end_active(&mut self, at: Ms, ended: &mut Vec<CallEnd>) {
        self.active.retain(|id, active| {
            let is_over = active.ends_at <= at;
            if is_over {
                let in_time = active.ends_at < active.call.deadline;
                ended.push(if in_time { CallEnd::Completed(*id) } else { CallEnd::TimedOut(*id) });
            }
            !is_over
        });
    }

    fn time_out_queued(&mut self, at: Ms, ended: &mut Vec<CallEnd>) {
        self.queue.retain(|call| {
            let is_overdue = call.deadline <= at;
            if is_overdue {
                ended.push(CallEnd::TimedOut(call.id));
            }
            !is_overdue
        });
    }
}

#[cfg(test)]
mod tests;
