//! The rules, as a function of a history. Each has a test with a history that it must turn down.
//!
//! A request is excused from being lost where the rig itself was in the way: its node was killed or stood still, its
//! link was disturbed, or the rig ran late, at some moment between the request's writing and its due time.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::Serialize;

use crate::history::{Drop, Event, History, Kind, ProcessExit, RuleParameters};
use crate::model::Ms;
use crate::scenario::Once;

/// A rule that can be broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A request got no answer by its due time, or one that can't be read.
    Lost,
    /// A request was answered twice.
    AnsweredTwice,
    /// A key ran twice at a node within its window.
    RunTwice,
    /// A key ran twice in the fleet within its window.
    RunTwiceInFleet,
    /// A request was refused that had run, or that runs.
    RefusedAndRan,
    /// Something ran that came after the notice to leave and its grace.
    RunAfterNotice,
    /// A request was served with a result that no run of its key made.
    ForeignResult,
    /// What the interpreter was told is not what came.
    Spoilt,
    /// A limit was passed: memory, descriptors, the crowd on the cores, or the time to leave.
    LimitPassed,
    /// The program ended by itself.
    Crashed,
    /// Two nodes had the role of the virtual router for too long, though they could hear each other.
    TwoActive,
}

/// One breach of a rule.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Breach {
    /// When.
    pub t: Ms,
    /// Of which rule.
    pub rule: Rule,
    /// What happened, with the try, the node and the key.
    pub text: String,
}

/// What the checker found.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Verdict {
    /// Every breach, by time.
    pub breaches: Vec<Breach>,
    /// Requests written to nodes.
    pub written: usize,
    /// Those among them that were excused from being lost.
    pub excused: usize,
    /// Keys that ran more than once in the fleet within their window, whether or not the scenario forbids it.
    pub twice_in_fleet: usize,
}

impl Verdict {
    /// How often each rule was broken.
    pub fn by_rule(&self) -> BTreeMap<Rule, usize> {
        let mut counts = BTreeMap::new();
        self.breaches.iter().for_each(|breach| *counts.entry(breach.rule).or_default() += 1);
        counts
    }
}

#[derive(Debug)]
struct Try {
    n: usize,
    node: usize,
    front: usize,
    wrote: Ms,
    due: Ms,
    answered: Option<(Ms, Kind)>,
    withdrew: Option<Ms>,
    dropped: Option<(Ms, Drop)>,
    began: Option<Ms>,
}

struct Run {
    txn: u64,
    node: usize,
    /// Which memory of the node's it belongs to: one that is lost begins a new one.
    memory: usize,
    door: Ms,
    at: Ms,
}

/// Stretches of time in which something held; the last may still be open.
#[derive(Debug, Default)]
struct Stretches(Vec<(Ms, Ms)>);

impl Stretches {
    fn set(&mut self, t: Ms, on: bool) {
        match self.0.last_mut() {
            Some((_, end)) if end.is_infinite() && !on => *end = t,
            Some((_, end)) if end.is_infinite() && on => {}
            _ if on => self.0.push((t, f64::INFINITY)),
            _ => {}
        }
    }

    fn touch(&self, from: Ms, to: Ms) -> bool {
        self.0.iter().any(|(begin, end)| *begin <= to && *end >= from)
    }
}

/// Where the rig was in the way.
#[derive(Default)]
struct Excuses {
    down: HashMap<usize, Stretches>,
    still: HashMap<usize, Stretches>,
    disturbed: HashMap<(usize, Option<usize>), Stretches>,
    late: Stretches,
}

impl Excuses {
    fn hold(&self, taken: &Try, to: Ms) -> bool {
        let touch = |stretches: Option<&Stretches>| stretches.is_some_and(|s| s.touch(taken.wrote, to));
        touch(self.down.get(&taken.node))
            || touch(self.still.get(&taken.node))
            || touch(self.disturbed.get(&(taken.node, None)))
            || touch(self.disturbed.get(&(taken.node, Some(taken.front))))
            || self.late.touch(taken.wrote, to)
    }
}

/// Checks a history.
pub fn check(history: &History) -> Verdict {
    let mut checker = Checker::default();
    for seen in &history.seen {
        checker.take(history, seen.t, &seen.what);
        checker.roles(&history.terms, seen.t, &seen.what);
    }
    checker.finish(history)
}

#[derive(Default)]
struct Checker {
    breaches: Vec<Breach>,
    tries: BTreeMap<u64, Try>,
    /// The request whose key each request has, and its class.
    keys: HashMap<usize, (usize, usize)>,
    runs: HashMap<usize, Vec<Run>>,
    /// Results of runs by key, with the nodes that made them. A folder that was cut, or an old copy of it, may still have
    /// one from before.
    results: HashMap<usize, Vec<(usize, String)>>,
    memories: HashMap<usize, usize>,
    notices: HashMap<usize, Ms>,
    excuses: Excuses,
    twice_in_fleet: usize,
    active: BTreeSet<usize>,
    peers_disturbed: usize,
    standing_still: BTreeSet<usize>,
    /// Since when two have the role though they can hear each other.
    two_since: Option<Ms>,
    limit_passed: BTreeSet<(usize, &'static str)>,
}

impl Checker {
    fn breach(&mut self, t: Ms, rule: Rule, text: String) {
        self.breaches.push(Breach { t, rule, text });
    }

    /// Watches who has the role of the virtual router.
    fn roles(&mut self, terms: &RuleParameters, t: Ms, event: &Event) {
        match event {
            Event::Role { node, active: true } => drop(self.active.insert(*node)),
            Event::Role { node, active: false } | Event::Down { node, .. } => drop(self.active.remove(node)),
            Event::Still { node, still: true } => drop(self.standing_still.insert(*node)),
            Event::Still { node, still: false } => drop(self.standing_still.remove(node)),
            Event::Peers { on: true } => self.peers_disturbed += 1,
            Event::Peers { on: false } => self.peers_disturbed = self.peers_disturbed.saturating_sub(1),
            _ => {}
        }
        let apart = self.peers_disturbed > 0 || !self.standing_still.is_empty();
        if apart || self.active.len() < 2 {
            self.two_since = None;
            return;
        }
        let since = *self.two_since.get_or_insert(t);
        if t - since > terms.two_active {
            let names: Vec<String> = self.active.iter().map(|node| format!("n{}", node + 1)).collect();
            self.breach(t, Rule::TwoActive, format!("{} are all active", names.join(" and ")));
            // Told once, until it is over.
            self.two_since = Some(f64::INFINITY);
        }
    }

    fn memory(&self, node: usize) -> usize {
        self.memories.get(&node).copied().unwrap_or(0)
    }

    fn take(&mut self, history: &History, t: Ms, event: &Event) {
        let terms = &history.terms;
        match event {
            Event::Asked { n, class, repeats } => {
                self.keys.insert(*n, (repeats.unwrap_or(*n), *class));
            }
            Event::Wrote { txn, n, node, front, due } => {
                let taken = Try {
                    n: *n,
                    node: *node,
                    front: *front,
                    wrote: t,
                    due: *due,
                    answered: None,
                    withdrew: None,
                    dropped: None,
                    began: None,
                };
                self.tries.insert(*txn, taken);
            }
            Event::Answered { txn, kind } => self.answered(terms.once, t, *txn, kind),
            Event::Withdrew { txn } => self.with(*txn, |taken| taken.withdrew = Some(t)),
            Event::Dropped { txn, why } => self.with(*txn, |taken| taken.dropped = Some((t, *why))),
            Event::Stray { node, txn: Some(txn), .. } => {
                self.breach(
                    t,
                    Rule::AnsweredTwice,
                    format!("try {txn:016x} at n{} is answered again", node + 1),
                );
            }
            Event::Stray { node, txn: None, text } => {
                self.breach(t, Rule::Lost, format!("n{} says what is no answer: {text}", node + 1));
            }
            Event::Began { txn, node } => self.began(history, t, *txn, *node),
            Event::Ended { txn, node, result: Some(result) } => {
                let Some(key) = self.key_of(*txn) else { return };
                self.results.entry(key).or_default().push((*node, result.clone()));
            }
            Event::Spoilt { node, text } => self.breach(t, Rule::Spoilt, format!("n{}: {text}", node + 1)),
            Event::Up { node, .. } => {
                self.excuses.down.entry(*node).or_default().set(t, false);
                self.notices.remove(node);
            }
            Event::Notice { node } => {
                self.notices.insert(*node, t);
            }
            Event::Down { node, way } => {
                match way {
                    ProcessExit::Crashed(status) => {
                        self.breach(t, Rule::Crashed, format!("n{} ended by itself: {status}", node + 1));
                    }
                    ProcessExit::Overstayed => {
                        self.breach(
                            t,
                            Rule::LimitPassed,
                            format!("n{} was still there when its time to leave was over", node + 1),
                        );
                    }
                    ProcessExit::Killed => self.excuses.down.entry(*node).or_default().set(t, true),
                    // What it has read is answered before it ends by itself: no excuse.
                    ProcessExit::Left => {}
                }
            }
            Event::Wiped { node } => *self.memories.entry(*node).or_default() += 1,
            Event::Still { node, still } => self.excuses.still.entry(*node).or_default().set(t, *still),
            Event::Disturbed { node, front, on } => {
                self.excuses.disturbed.entry((*node, *front)).or_default().set(t, *on);
            }
            Event::Sample { node, rss_kb, files, .. } => {
                self.limit(t, *node, "memory, KB", *rss_kb, terms.memory_kb);
                self.limit(t, *node, "descriptors", *files, terms.sockets);
            }
            Event::Fell { node, text } => {
                self.breach(
                    t,
                    Rule::LimitPassed,
                    format!("the interpreter of n{} has died: {text}", node + 1),
                );
            }
            Event::Late { by } => self.excuses.late.0.push((t - by, t)),
            Event::Over { .. }
            | Event::Fault { .. }
            | Event::Peers { .. }
            | Event::Role { .. }
            | Event::Said { .. }
            | Event::Called { .. }
            | Event::Connected { .. }
            | Event::Ended { result: None, .. } => {}
        }
    }

    fn with(&mut self, txn: u64, change: impl FnOnce(&mut Try)) {
        if let Some(taken) = self.tries.get_mut(&txn) {
            change(taken);
        }
    }

    fn key_of(&self, txn: u64) -> Option<usize> {
        let n = self.tries.get(&txn)?.n;
        Some(self.keys.get(&n).map_or(n, |(key, _)| *key))
    }

    /// A limit that is passed is one breach, however long it stays passed.
    fn limit(&mut self, t: Ms, node: usize, what: &'static str, value: u64, most: u64) {
        if value > most && self.limit_passed.insert((node, what)) {
            self.breach(t, Rule::LimitPassed, format!("n{}: {what}: {value} of {most}", node + 1));
        }
    }

    fn answered(&mut self, once: Once, t: Ms, txn: u64, kind: &Kind) {
        let Some(taken) = self.tries.get(&txn) else { return };
        let (node, began) = (taken.node, taken.began);
        if taken.answered.is_some() {
            return self.breach(
                t,
                Rule::AnsweredTwice,
                format!("try {txn:016x} at n{} is answered again", node + 1),
            );
        }
        match kind {
            Kind::Refused { .. } if began.is_some() => {
                self.breach(
                    t,
                    Rule::RefusedAndRan,
                    format!("try {txn:016x} at n{} had run when it was refused", node + 1),
                );
            }
            Kind::Served(result) => {
                let key = self.key_of(txn);
                let made =
                    |(at, made): &(usize, String)| made == result && (once == Once::Fleet || *at == node);
                let runs = key.and_then(|key| self.results.get(&key));
                if !runs.is_some_and(|runs| runs.iter().any(made)) {
                    self.breach(
                        t,
                        Rule::ForeignResult,
                        format!(
                            "try {txn:016x} at n{} got {result:?}, which no run of its key made there",
                            node + 1
                        ),
                    );
                }
            }
            _ => {}
        }
        self.with(txn, |taken| taken.answered = Some((t, kind.clone())));
    }

    fn began(&mut self, history: &History, t: Ms, txn: u64, node: usize) {
        let Some(taken) = self.tries.get_mut(&txn) else {
            return self.breach(
                t,
                Rule::Spoilt,
                format!("n{} runs {txn:016x}, which was never written", node + 1),
            );
        };
        taken.began = Some(t);
        let (wrote, n, refused) =
            (taken.wrote, taken.n, matches!(taken.answered, Some((_, Kind::Refused { .. }))));
        if refused {
            self.breach(
                t,
                Rule::RefusedAndRan,
                format!("try {txn:016x} at n{} runs after it was refused", node + 1),
            );
        }
        let terms = &history.terms;
        if self.notices.get(&node).is_some_and(|notice| wrote > notice + terms.drain_grace + terms.slack) {
            self.breach(
                t,
                Rule::RunAfterNotice,
                format!("try {txn:016x} came to n{} too long after the notice to leave", node + 1),
            );
        }
        let Some((key, class)) = self.keys.get(&n).copied() else { return };
        let Some(window) = terms.classes.get(class).map(|class| class.window).filter(|window| *window > 0.0)
        else {
            return;
        };
        let memory = self.memory(node);
        let runs = self.runs.entry(key).or_default();
        let within = |run: &&Run| wrote <= run.door + window;
        let here = runs.iter().filter(within).find(|run| run.node == node && run.memory == memory);
        let anywhere = runs.iter().find(within).map(|run| (run.txn, run.node, run.at));
        let here = here.map(|run| run.txn);
        runs.push(Run { txn, node, memory, door: wrote, at: t });
        if let Some(first) = here {
            self.breach(
                t,
                Rule::RunTwice,
                format!(
                    "the key of request {key} runs again at n{}: {first:016x}, then {txn:016x}",
                    node + 1
                ),
            );
        }
        if let Some((first, at, when)) = anywhere {
            self.twice_in_fleet += 1;
            if history.terms.once == Once::Fleet {
                let text = format!("the key of request {key} runs at n{} ({txn:016x}), and did at n{} at {when:.0} ms ({first:016x})", node + 1, at + 1);
                self.breach(t, Rule::RunTwiceInFleet, text);
            }
        }
    }

    fn finish(mut self, history: &History) -> Verdict {
        let mut excused = 0;
        let end = history.seen.last().map_or(0.0, |seen| seen.t);
        let tries = std::mem::take(&mut self.tries);
        for (txn, taken) in &tries {
            let by = taken.due + history.terms.slack;
            let answered = taken.answered.as_ref().is_some_and(|(at, _)| *at <= by);
            let told = taken.withdrew.is_some_and(|at| at <= by);
            let crossed = matches!(taken.dropped, Some((_, Drop::Crossed)));
            // A new connection that is closed, having run nothing, has failed; nothing is lost.
            let closed = matches!(taken.dropped, Some((_, Drop::Fresh))) && taken.began.is_none();
            if answered || told || crossed || closed || by > end {
                continue;
            }
            let to = taken.dropped.map_or(by, |(at, _)| at.min(by));
            if self.excuses.hold(taken, to) {
                excused += 1;
                continue;
            }
            let late = taken
                .answered
                .as_ref()
                .map_or("none ever came".into(), |(at, _)| format!("one came {:.0} ms late", at - taken.due));
            let text = format!(
                "try {txn:016x} at n{}, written at {:.0} ms, got no answer by its due time: {late}",
                taken.node + 1,
                taken.wrote
            );
            self.breach(by, Rule::Lost, text);
        }
        self.breaches.sort_by(|a, b| a.t.total_cmp(&b.t));
        Verdict {
            breaches: self.breaches,
            written: tries.len(),
            excused,
            twice_in_fleet: self.twice_in_fleet,
        }
    }
}

#[cfg(test)]
mod tests;
