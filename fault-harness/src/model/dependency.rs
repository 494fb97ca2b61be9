//! The dependency that all nodes share: slots that work on calls, a short queue, rejections when that is full.

use std::collections::{BTreeMap, VecDeque};

use super::Ms;

/// A call, by a number of the caller's.
pub type CallId = u64;

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// It went well.
    Done(CallId),
    /// Its time ran out before or in its work.
    Slow(CallId),
}

#[derive(Debug, Clone, Copy)]
struct Call {
    id: CallId,
    work: Ms,
    until: Ms,
}

/// The tier.
#[derive(Debug, Clone)]
pub struct Below {
    slots: usize,
    queue: usize,
    /// What is left of the slots.
    factor: f64,
    /// Calls being worked on, by when they end.
    working: BTreeMap<CallId, (Ms, Call)>,
    waiting: VecDeque<Call>,
}

impl Below {
    /// One with so many slots and room for so many to wait.
    pub fn new(slots: usize, queue: usize) -> Below {
        Below { slots, queue, factor: 1.0, working: BTreeMap::new(), waiting: VecDeque::new() }
    }

    /// Leaves it a part of its slots; what is being worked on goes on.
    pub fn weaken(&mut self, factor: f64) {
        self.factor = factor;
    }

    fn room(&self) -> usize {
        (self.slots as f64 * self.factor).round() as usize
    }

    /// A call that takes so long and is given up at `until`. False if it is refused.
    pub fn call(&mut self, now: Ms, id: CallId, work: Ms, until: Ms) -> bool {
        let call = Call { id, work, until };
        if self.working.len() < self.room() {
            self.begin(now, call);
        } else if self.waiting.len() < self.queue && self.room() > 0 {
            self.waiting.push_back(call);
        } else {
            return false;
        }
        true
    }

    fn begin(&mut self, now: Ms, call: Call) {
        self.working.insert(call.id, ((now + call.work).min(call.until), call));
    }

    /// A call is given up. What is worked on keeps its slot to its end.
    pub fn give_up(&mut self, id: CallId) {
        self.waiting.retain(|call| call.id != id);
    }

    /// When something will happen.
    pub fn next(&self) -> Option<Ms> {
        let working = self.working.values().map(|(end, _)| *end);
        let waiting = self.waiting.iter().map(|call| call.until);
        working.chain(waiting).min_by(f64::total_cmp)
    }

    /// Lets time pass, and tells which calls ended.
    pub fn advance(&mut self, now: Ms) -> Vec<Ended> {
        let mut ended = Vec::new();
        while let Some(at) = self.next().filter(|at| *at <= now) {
            let over: Vec<CallId> =
                self.working.iter().filter(|(_, (end, _))| *end <= at).map(|(id, _)| *id).collect();
            for id in over {
                let Some((end, call)) = self.working.remove(&id) else { continue };
                ended.push(if end < call.until { Ended::Done(id) } else { Ended::Slow(id) });
            }
            self.waiting.retain(|call| {
                let overdue = call.until <= at;
                if overdue {
                    ended.push(Ended::Slow(call.id));
                }
                !overdue
            });
            while self.working.len() < self.room() {
                let Some(call) = self.waiting.pop_front() else { break };
                self.begin(at, call);
            }
        }
        ended
    }
}

#[cfg(test)]
mod tests;
