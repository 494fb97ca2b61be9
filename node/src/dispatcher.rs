//! Drives the decisions: gathers what happened in one wake-up into one call of [`Admission::handle`], carries
//! out its actions, and keeps the table of requests, the table of keys and the timers. It knows no wire.

mod idempotency;

use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use oakwind_admission::{
    Action, Admission, Arrival, CallerId, ClassId, Effect, Event, Gauges, Outcome as RunOutcome, RequestId,
    Settings, TenantId, TimerId,
};
use oakwind_fleet::decision_record::Decision;
use oakwind_settings::Parsed;
use tokio::sync::mpsc;

use crate::clock::{self, Unix};
use crate::decision_log::{self, Recorder};
use crate::exchange::{
    BackendEvent, CallCommand, CallOutcome, Completion, DispatcherEndpoints, DispatcherEvent, HandoverState,
    NodeStatus, Request, RequestOutcome, Responder, RunCommand, SubmissionId,
};
use crate::log;
use crate::outcome::{digest, IdempotencyKey, IdempotencyRecord, RunState, StoredOutcome};
use crate::run_gate::{Run, RunGate, Word};
use idempotency::{Keys, Linked};

/// The gauges are asked for this long before the timer that they go with, as the answer takes a moment.
const GAUGE_LEAD: Duration = Duration::from_millis(5);
/// Gauges older than this are no longer true.
const GAUGE_LIFE: Duration = Duration::from_millis(500);
/// A request failed this shortly before its due time was failed for want of time.
const OVERDUE: Duration = Duration::from_millis(60);

/// Who is turned away without a decision may come back after this part of the longest time that callers follow.
const UNDECIDED: f64 = 0.25;

/// Clients are told to go to a new process so long before it gets the table of keys. Guards requests that cross
/// that word: what is read until then is still run here.
const CROSSING: Duration = Duration::from_millis(100);

/// The process that takes over from this one.
struct Heir {
    tell: mpsc::Sender<HandoverState>,
    /// When it gets the table of keys.
    at: Unix,
    told: bool,
}

/// The settings that decisions are made by. The memory in them is the interpreter's, where requests are booked; keys
/// are remembered in this process, whose table of them has a bound of its own. Guards writes against being refused
/// for memory that is free.
fn decided_by(settings: &Parsed) -> Settings {
    Settings { key_memory_kb: 0.0, ..settings.settings.clone() }
}

/// One try of a request, from its reading until it is answered and nothing of it runs.
struct Try {
    id: RequestId,
    request: Rc<Request>,
    claim: SubmissionId,
    /// The right to answer; used up by the answer, void when the caller has gone.
    responder: Option<Responder>,
    phase: Phase,
}

#[derive(Debug, Clone, PartialEq)]
enum Phase {
    Held,
    /// It waits for the outcome of another try of its key.
    Joining {
        since: Unix,
    },
    /// It waits for the outcome of another node's run of its key; to the decisions it is over.
    Elsewhere,
    Running {
        since: Unix,
    },
    /// Its run waits for a call with this body.
    AtCall {
        since: Unix,
        body: Bytes,
    },
    Calling {
        since: Unix,
        called: Unix,
        body: Bytes,
    },
}

/// The core of a node.
pub struct Dispatcher {
    ends: DispatcherEndpoints,
    settings: Parsed,
    seed: u64,
    admission: Option<Admission>,
    tries: HashMap<RequestId, Try>,
    by_txn: HashMap<Bytes, RequestId>,
    keys: Keys,
    next_id: u32,
    /// The events of the batch that is being gathered.
    events: Vec<Event>,
    /// Tries of keys that already have one in this batch, and all that came after them.
    deferred: VecDeque<DispatcherEvent>,
    actions: Vec<Action>,
    timers: BinaryHeap<Reverse<(Unix, TimerId)>>,
    gauges: (Unix, Gauges),
    gauges_asked: bool,
    /// The decisions have been called, if only to open.
    opened: bool,
    heir: Option<Heir>,
    /// Tries with keys, while it is not known which keys the process before this one has run. As bounded as
    /// connections and what may be open on them.
    held_back: Vec<(Rc<Request>, SubmissionId, Responder)>,
    /// Ends of runs of the process before this one that are being kept, by the try that holds the key here. As bounded as
    /// keys.
    to_keep: HashMap<RequestId, IdempotencyRecord>,
    /// What keeps keys beyond this process, as far as operators' files say so.
    keeper: RunGate,
    /// Requests turned away without a decision.
    turned: Cell<u64>,
    /// How far time had jumped ahead when that was last looked at.
    jumped: Duration,
    /// Records of what is decided, if operators want them.
    records: Option<Recorder>,
}

impl Dispatcher {
    /// A core that makes its decisions by these settings once something can run requests.
    /// Kept results take so many bytes at the most.
    pub fn new(ends: DispatcherEndpoints, settings: Parsed, seed: u64, results: usize) -> Self {
        Dispatcher {
            ends,
            settings,
            seed,
            admission: None,
            tries: HashMap::new(),
            by_txn: HashMap::new(),
            keys: Keys::new(results),
            next_id: 1,
            events: Vec::new(),
            deferred: VecDeque::new(),
            actions: Vec::new(),
            timers: BinaryHeap::new(),
            gauges: (Duration::ZERO, Gauges::default()),
            gauges_asked: false,
            opened: false,
            heir: None,
            held_back: Vec::new(),
            to_keep: HashMap::new(),
            keeper: RunGate::default(),
            turned: Cell::new(0),
            jumped: Duration::ZERO,
            records: None,
        }
    }

    /// Keys are kept beyond the process from now on, as far as anything keeps them, and this is what the ones before it
    /// left. None while the process before still has it.
    pub fn keep(&mut self, keeper: RunGate, left: Option<HandoverState>) {
        keeper.counts(&self.ends.metrics);
        self.keeper = keeper;
        if self.keeper.keeps() {
            self.keys = std::mem::take(&mut self.keys).lasting();
        }
        if let Some(left) = left {
            self.keys.digests_with(left.digest_seed);
            self.recall(left.records);
        }
    }

    /// What is decided from now on is recorded.
    pub fn record(&mut self, records: Recorder) {
        let tally = records.tally.clone();
        self.ends.metrics.register(Box::new(move || tally.all()));
        self.records = Some(records);
    }

    /// Records what was decided of a try, where that is wanted, by the versions of the moment.
    fn recorded(&self, did: Decision, request: &Request) {
        let Some(records) = &self.records else { return };
        records.list(self.keeper.list());
        let class = self.settings.classes.get(usize::from(request.class)).map_or("", String::as_str);
        records.tried(did, request, self.key_of(request).as_deref(), class);
    }

    /// Gives a request its outcome, and records that.
    fn turn(&self, request: &Request, responder: Responder, outcome: RequestOutcome) {
        self.recorded(decision_log::decided(&outcome), request);
        responder.answer(outcome);
    }

    /// Serves until every other end of the exchange is gone.
    pub async fn run(mut self) {
        loop {
            let wake = self.next_wake();
            tokio::select! {
                input = self.ends.inbox.recv() => {
                    let Some(input) = input else { return };
                    // All sockets that are ready get their turn first, so that one wake-up is one batch.
                    tokio::task::yield_now().await;
                    self.take_in(input);
                    while let Ok(input) = self.ends.inbox.try_recv() {
                        self.take_in(input);
                    }
                }
                word = self.keeper.told() => self.told(word),
                () = clock::until(wake) => {}
            }
            self.settle();
        }
    }

    /// When something is to be done though nothing happens.
    fn next_wake(&self) -> Unix {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let timer = timer.map(|at| if self.gauges_asked { at } else { at.saturating_sub(GAUGE_LEAD) });
        let closing = self.closing_at().filter(|_| self.ends.state.borrow().accepting);
        let heir = self.heir.as_ref().filter(|heir| !heir.told).map(|heir| heir.at);
        let held_back = self.held_back.iter().map(|held| held.0.deadline.saturating_sub(OVERDUE)).min();
        [timer, closing, heir, held_back]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(clock::now() + Duration::from_secs(3600))
    }

    /// From then on nothing that comes may be run, so nothing more is read.
    fn closing_at(&self) -> Option<Unix> {
        let (_, notice) = self.ends.state.borrow().draining?;
        Some(notice + self.settings.settings.drain_grace)
    }

    /// Hands the batch to the decisions and carries out what they answer, until nothing more follows from it.
    fn settle(&mut self) {
        let now = clock::now();
        self.see_jumps();
        self.turn_held_back(now);
        self.fire_timers(now);
        loop {
            self.decide(now);
            if self.deferred.is_empty() && self.events.is_empty() {
                break;
            }
            for input in std::mem::take(&mut self.deferred) {
                self.take_in(input);
            }
        }
        self.keys.sweep(now);
        self.tell_heir_all(now);
        let open = self.closing_at().is_none_or(|at| now < at);
        let leaving = self.ends.state.borrow().draining.is_some();
        // A new process waits for what becomes of runs with keys, though their clients have gone.
        let owed = |t: &Try| t.responder.is_some() || (self.heir.is_some() && self.keys.holds(t.id));
        let answered = leaving && !self.tries.values().any(owed);
        self.update(|state| (state.accepting, state.drained) = (open, answered));
    }

    /// Keys stay remembered for as long as they would have, however the system's clock is set.
    fn see_jumps(&mut self) {
        let jumped = clock::jumped();
        if jumped > self.jumped {
            let by = jumped - std::mem::replace(&mut self.jumped, jumped);
            log!("the clock has jumped ahead by {} ms", by.as_millis());
            self.keys.jumped(by);
        }
    }

    fn update(&self, change: impl FnOnce(&mut NodeStatus)) {
        self.ends.state.send_if_modified(|state| {
            let before = state.clone();
            change(state);
            *state != before
        });
    }

    fn fire_timers(&mut self, now: Unix) {
        let Some(&Reverse((at, _))) = self.timers.peek() else { return };
        if !self.gauges_asked && at <= now + GAUGE_LEAD {
            self.gauges_asked = true;
            self.command_run(RunCommand::Gauges);
        }
        let fresh = self.gauges.0 + GAUGE_LIFE >= now;
        let gauges = if fresh { self.gauges.1 } else { Gauges::default() };
        while let Some(&Reverse((at, timer))) = self.timers.peek() {
            if at > now {
                break;
            }
            self.timers.pop();
            self.gauges_asked = false;
            self.events.push(Event::Timer(timer, gauges));
        }
    }

    fn take_in(&mut self, input: DispatcherEvent) {
        if !self.deferred.is_empty() {
            self.deferred.push_back(input);
            return;
        }
        match input {
            DispatcherEvent::Submitted(request, claim, responder) => {
                self.submitted(request, claim, responder)
            }
            DispatcherEvent::Cancelled(claim) => self.gone(&claim),
            DispatcherEvent::Drain(stop) => self.drain(stop),
            DispatcherEvent::Reconfigure(settings, digest) => {
                // What has come by now is decided by the settings that it came under.
                self.decide(clock::now());
                self.settings = *settings;
                self.records.iter().for_each(|records| records.settings(digest.clone()));
                if let Some(admission) = &mut self.admission {
                    admission.reconfigure(decided_by(&self.settings));
                }
            }
            DispatcherEvent::HandOver(tell) => {
                let at = clock::now() + CROSSING;
                self.heir = Some(Heir { tell, at, told: false });
                self.update(|state| state.handed_over = true);
            }
            DispatcherEvent::SuccessorLost => {
                self.heir = None;
                self.keeper.take_over(true);
                // One that is to leave takes no clients again.
                self.update(|state| state.handed_over &= state.draining.is_some());
            }
            DispatcherEvent::StateReceived(estate) => self.inherit(estate),
            DispatcherEvent::PredecessorDone => {
                self.inheritance_over();
                self.inherited();
                self.keeper.alone();
                self.update(|state| state.predecessor_alive = false);
            }
            DispatcherEvent::SetMaintenance(away) => self.update(|state| state.maintenance = away),
            DispatcherEvent::SetRecovering(held) => self.update(|state| state.recovering = held),
            DispatcherEvent::Backend(BackendEvent::Up { cold }) => self.start(cold),
            DispatcherEvent::Backend(BackendEvent::Gauges(values)) => {
                let gauges = oakwind_settings::gauges(&self.settings.gauges, &values);
                self.gauges = (clock::now(), gauges);
            }
            DispatcherEvent::Backend(BackendEvent::Ended(txn, end)) => self.run_ended(&txn, end),
            DispatcherEvent::Backend(BackendEvent::CallNeeded(txn, body)) => self.call_needed(&txn, body),
            DispatcherEvent::Backend(BackendEvent::CallEnded(txn, end)) => self.call_ended(&txn, end),
        }
    }

    /// The decisions begin when something can run requests: only then is it known whether that is cold.
    fn start(&mut self, cold: bool) {
        if self.admission.is_none() {
            let (settings, now) = (Settings { cold, ..decided_by(&self.settings) }, clock::now());
            let warm_at = cold.then_some(now + settings.warm_up_time);
            self.admission = Some(Admission::new(settings, self.seed, now));
            self.update(|state| state.warm_at = warm_at);
            if let Some((stop, _)) = self.ends.state.borrow().draining {
                self.events.push(Event::Drain(stop.saturating_sub(clock::now())));
            }
        }
    }

    fn submitted(&mut self, request: Rc<Request>, claim: SubmissionId, responder: Responder) {
        // Guards against an id that is used twice while it is open: the links could not tell the two apart.
        if self.by_txn.contains_key(&request.txn) {
            log!("request {:?} came again while it is open", request.txn);
            return self.turn(&request, responder, RequestOutcome::Failed { timed_out: false });
        }
        let now = clock::now();
        let key = self.key_of(&request);
        if self.admission.is_none() {
            // Guards a request that has run against a refusal, which would say that it has not.
            let kept = key.as_ref().filter(|_| !self.ends.state.borrow().awaiting_state);
            let outcome = kept.and_then(|key| self.known_before(key, &request, now));
            return self.turn(&request, responder, outcome.unwrap_or_else(|| self.not_now()));
        }
        if key.is_some() && self.ends.state.borrow().awaiting_state {
            return self.held_back.push((request, claim, responder));
        }
        // Guards against a second run of what a damaged record may have told of.
        if key.as_ref().is_some_and(|key| self.in_doubt(key, now)) {
            log!("request {:?} has a key that may have run: what tells of it is damaged", request.txn);
            return self.turn(&request, responder, RequestOutcome::Failed { timed_out: false });
        }
        // Guards against a run here and one in the process that took over, which would not know of this key.
        if key.as_ref().is_some_and(|key| self.heir_told() && !self.keys.knows(key)) {
            return self.turn(&request, responder, self.not_now());
        }
        if key.as_ref().is_some_and(|key| self.keys.full() && !self.keys.knows(key)) {
            log!("no room to remember one more key");
            return self.turn(&request, responder, self.not_now());
        }
        // Guards against two tries of one key in one batch: the second is linked to what became of the first.
        if key.as_ref().is_some_and(|key| self.keys.in_batch(key)) {
            return self.deferred.push_back(DispatcherEvent::Submitted(request, claim, responder));
        }
        let repeats = match key
            .map_or(Linked::First, |key| self.keys.arrived(key, &request.body, request.received_at))
        {
            Linked::First => None,
            Linked::To(prior) => Some(prior),
            Linked::Elsewhere => {
                log!("request {:?} came with the key of another body", request.txn);
                return self.turn(&request, responder, RequestOutcome::BodyMismatch);
            }
        };
        let id = self.new_id();
        self.events.push(Event::Arrived(Arrival {
            id,
            repeats,
            class: ClassId(request.class),
            tenant: TenantId(request.tenant),
            cost_hint: request.cost_hint,
            memory_kb: request.memory_kb,
            age: now.saturating_sub(request.received_at),
            rank: request.rank,
            caller: CallerId(request.caller),
            time_left: Some(request.deadline.saturating_sub(now)),
        }));
        self.by_txn.insert(request.txn.clone(), id);
        self.tries.insert(id, Try { id, request, claim, responder: Some(responder), phase: Phase::Held });
    }

    /// What a request gets that came before anything can run here, if its key is known from an earlier process.
    fn known_before(&self, key: &IdempotencyKey, request: &Request, now: Unix) -> Option<RequestOutcome> {
        if self.in_doubt(key, now) {
            return Some(RequestOutcome::Failed { timed_out: false });
        }
        Some(self.outcome_of(&self.keys.kept(key, &request.body, request.received_at)?))
    }

    /// What a try gets that another try of its key stands for.
    fn outcome_of(&self, kept: &StoredOutcome) -> RequestOutcome {
        match kept {
            StoredOutcome::Succeeded(result) => RequestOutcome::Served(result.clone()),
            StoredOutcome::Failed => RequestOutcome::Failed { timed_out: false },
            StoredOutcome::NeverStarted => self.not_now(),
        }
    }

    /// Whether a key that is not known may have run, as far as damage to what was kept tells.
    fn in_doubt(&self, key: &IdempotencyKey, now: Unix) -> bool {
        !self.keys.knows(key) && self.keeper.doubts(key, now)
    }

    /// Takes in what earlier processes left. What began and has no end has failed.
    fn recall(&mut self, records: Vec<IdempotencyRecord>) {
        for IdempotencyRecord { key, body_digest: body, expires_at: until, state: fate } in records {
            let id = self.new_id();
            self.keys.inherit(key, (body, until, fate), id);
        }
        self.inheritance_over();
    }

    /// What earlier processes began and told no end of has failed.
    fn inheritance_over(&mut self) {
        for record in std::mem::take(&mut self.to_keep).into_values() {
            self.inherit_key(record, false);
        }
        let joiners = self.keys.inheritance_over();
        self.all_join_ended(joiners, &StoredOutcome::Failed);
    }

    /// The keeper has something to say.
    fn told(&mut self, word: Word) {
        match word {
            Word::Begin(id, kept) => self.may_begin(id, kept),
            Word::Ended(id, end) => match self.to_keep.remove(&id) {
                Some(record) => {
                    let fate =
                        if let Completion::Succeeded(_) = end { record.state } else { RunState::Failed };
                    self.inherit_key(IdempotencyRecord { state: fate, ..record }, false);
                }
                None => self.run_over(id, end),
            },
            Word::Elsewhere(id) => self.elsewhere(id),
            Word::Became(id, kept) => self.became(id, kept),
            Word::Unknown(id) => self.unknown(id, RequestOutcome::Failed { timed_out: true }),
            Word::Mismatch(id) => self.unknown(id, RequestOutcome::BodyMismatch),
            Word::Recalled(records) => self.recall(records),
        }
    }

    /// A try's key runs at another node, or may: the cores here have nothing to do for it.
    fn elsewhere(&mut self, id: RequestId) {
        let Some(taken) = self.tries.get_mut(&id) else { return };
        if let Phase::Running { since } = std::mem::replace(&mut taken.phase, Phase::Elsewhere) {
            let took = clock::now().saturating_sub(since);
            self.events.push(Event::Finished { id, outcome: RunOutcome::Skipped, took });
        }
    }

    /// What became of another node's run of a try's key.
    fn became(&mut self, id: RequestId, kept: StoredOutcome) {
        self.elsewhere(id);
        self.answer(id, self.outcome_of(&kept));
        self.keep_fate(id, &kept);
        self.key_ended(id, &kept);
        self.forget(id);
    }

    /// It is not known what became of a try's key. The next try asks again.
    fn unknown(&mut self, id: RequestId, answer: RequestOutcome) {
        self.elsewhere(id);
        self.answer(id, answer);
        let joiners = self.keys.abandon(id);
        self.all_join_ended(joiners, &StoredOutcome::Failed);
        self.forget(id);
    }

    /// That a run begins is kept now, or could not be: then it does not begin.
    fn may_begin(&mut self, id: RequestId, kept: bool) {
        let Some(taken) = self.tries.get(&id) else { return };
        let request = taken.request.clone();
        if kept && taken.responder.is_some() {
            return self.hand_to_run(request);
        }
        if kept {
            // Its caller has had an answer, or has gone, so nobody waits for the run.
            self.keep_fate(id, &StoredOutcome::NeverStarted);
        }
        self.run_ended(&request.txn, Completion::NeverStarted);
    }

    /// The run of a try that holds a key, as the keeper is asked about it.
    fn run_of(&self, id: RequestId) -> Option<Run> {
        let (key, body, until) = self.keys.held_by(id)?;
        let request = self.tries.get(&id).map(|taken| taken.request.clone());
        Some(Run { id, request, key, body, until })
    }

    /// Has it kept how a run ended that nobody here waits for.
    fn keep_fate(&mut self, id: RequestId, kept: &StoredOutcome) {
        if let Some(run) = self.run_of(id) {
            self.keeper.over(run, kept);
        }
    }

    fn new_id(&mut self) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1).max(1);
        id
    }

    /// Takes in what the process before this one knows. The first of it is its whole table.
    fn inherit(&mut self, estate: HandoverState) {
        let first = self.ends.state.borrow().awaiting_state;
        if first {
            self.keys.digests_with(estate.digest_seed);
            log!("handover: {} keys are known from the process before", estate.records.len());
        }
        for record in estate.records {
            // What it tells at first is kept already. Later ends are kept before anybody hears of them.
            let ended = match &record.state {
                RunState::Succeeded(result) if !first => Some(StoredOutcome::Succeeded(result.clone())),
                RunState::Failed if !first => Some(StoredOutcome::Failed),
                _ => None,
            };
            let run = self.keys.holder(&record.key).and_then(|holder| self.run_of(holder));
            match (ended, run) {
                (Some(kept), Some(run)) if self.keeper.ended_before(run.clone(), &kept) => {
                    self.to_keep.insert(run.id, record);
                }
                _ => self.inherit_key(record, !first),
            }
        }
        if first {
            self.keeper.take_over(false);
        }
        self.inherited();
    }

    /// What the process before this one knows of a key is known here; `keeps` if it is to be kept as well.
    fn inherit_key(
        &mut self,
        IdempotencyRecord { key, body_digest: body, expires_at: until, state: fate }: IdempotencyRecord,
        keeps: bool,
    ) {
        let id = self.new_id();
        if let Some((joiners, kept)) = self.keys.inherit(key.clone(), (body, until, fate), id) {
            if let Some(holder) = self.keys.holder(&key).filter(|_| keeps) {
                self.keep_fate(holder, &kept);
            }
            self.all_join_ended(joiners, &kept);
        }
    }

    /// Requests with keys are decided on from now on.
    fn inherited(&mut self) {
        self.update(|state| state.awaiting_state = false);
        let held_back = std::mem::take(&mut self.held_back).into_iter();
        self.deferred.extend(
            held_back
                .map(|(request, claim, responder)| DispatcherEvent::Submitted(request, claim, responder)),
        );
    }

    /// Turns away what is held back and can wait no longer, or will not be decided on any more. Guards its answer
    /// against a process before this one that is slow to tell, or never does.
    fn turn_held_back(&mut self, now: Unix) {
        let leaving = self.ends.state.borrow().draining.is_some();
        let over =
            |held: &(Rc<Request>, SubmissionId, Responder)| leaving || now + OVERDUE >= held.0.deadline;
        let (over, waits) = std::mem::take(&mut self.held_back).into_iter().partition(over);
        self.held_back = waits;
        let over: Vec<_> = over;
        over.into_iter().for_each(|(request, _, responder)| self.turn(&request, responder, self.not_now()));
    }

    fn heir_told(&self) -> bool {
        self.heir.as_ref().is_some_and(|heir| heir.told)
    }

    /// Hands the table of keys to the process that takes over, once nothing crosses the word to go there.
    fn tell_heir_all(&mut self, now: Unix) {
        let Some(heir) = self.heir.as_mut().filter(|heir| !heir.told && now >= heir.at) else { return };
        heir.told = true;
        self.let_go();
        let (seed, all) = self.keys.all();
        let keys = all.map(|(key, body, until, fate)| IdempotencyRecord {
            key: key.clone(),
            body_digest: body,
            expires_at: until,
            state: fate,
        });
        let estate = HandoverState { digest_seed: seed, records: keys.collect() };
        self.tell_heir(estate);
    }

    /// Leaves what is kept to the process that takes over. What is held here may still run here, so it counts as begun.
    fn let_go(&mut self) {
        let held = self.tries.values().filter(|t| t.phase == Phase::Held);
        let held: Vec<Run> = held.filter_map(|t| self.run_of(t.id)).collect();
        self.keeper.let_go(held);
    }

    /// Tells the process that took over what became of the run of a try, if that holds a key.
    fn tell_heir_of(&mut self, id: RequestId, fate: RunState) {
        if !self.heir_told() {
            return;
        }
        let Some((key, body, until)) = self.keys.held_by(id) else { return };
        self.tell_heir(HandoverState {
            digest_seed: 0,
            records: vec![IdempotencyRecord { key, body_digest: body, expires_at: until, state: fate }],
        });
    }

    fn tell_heir(&mut self, estate: HandoverState) {
        let told = self.heir.as_ref().is_some_and(|heir| heir.tell.try_send(estate).is_ok());
        if !told {
            log!("handover: the new process hears nothing more");
            self.heir = None;
        }
    }

    /// Turns a request away where no decision is made of it: nothing runs requests yet, or nothing took it. The advice
    /// differs each time, and from node to node: guards against all coming back in the same moment.
    fn not_now(&self) -> RequestOutcome {
        let settings = &self.settings.settings;
        let turned = self.turned.replace(self.turned.get() + 1);
        let spread = 0.5 + (digest(self.seed, &turned.to_be_bytes()) >> 11) as f64 / (1_u64 << 53) as f64;
        let advice = || settings.max_retry_after.mul_f64(UNDECIDED * spread);
        RequestOutcome::Rejected { retry_after: settings.retry_after.then(advice), give_up: false }
    }

    /// The key of a request whose class must not run twice.
    fn key_of(&self, request: &Request) -> Option<IdempotencyKey> {
        let class = self.settings.settings.classes.get(usize::from(request.class))?;
        request.key.clone().filter(|_| class.effect == Effect::IdempotencyKey)
    }

    fn gone(&mut self, claim: &SubmissionId) {
        self.held_back.retain(|(_, held, _)| held != claim);
        let Some(&id) = self.by_txn.get(&claim.txn) else { return };
        let Some(taken) = self.tries.get_mut(&id).filter(|taken| taken.claim == *claim) else { return };
        if taken.responder.take().is_some() {
            self.events.push(Event::Cancelled(id));
        }
    }

    fn drain(&mut self, stop: Unix) {
        let now = clock::now();
        // What is not known by the stop will not be: guards what was read against having no answer then.
        let late = |t: &&Try| t.phase == Phase::Elsewhere && t.request.deadline + OVERDUE >= stop;
        let late: Vec<RequestId> = self.tries.values().filter(late).map(|t| t.id).collect();
        late.into_iter().for_each(|id| self.unknown(id, RequestOutcome::Failed { timed_out: false }));
        if self.ends.state.borrow().draining.is_none() {
            self.events.push(Event::Drain(stop.saturating_sub(now)));
            self.update(|state| state.draining = Some((stop, now)));
        }
    }

    fn run_ended(&mut self, txn: &Bytes, end: Completion) {
        let Some(&id) = self.by_txn.get(txn) else {
            return log!("run of {txn:?} ended, which is not in hand");
        };
        let Some(taken) = self.tries.get(&id) else { return };
        if matches!(taken.phase, Phase::Held | Phase::Joining { .. } | Phase::Elsewhere) {
            return log!("run of {txn:?} ended, which never began");
        }
        if end == Completion::NeverStarted {
            self.keeper.never_ran(id);
            return self.run_over(id, end);
        }
        let run = self.run_of(id);
        // Where it can't be kept, later tries get the same as its caller does now.
        if let Some(end) = self.keeper.ended(run, end) {
            self.run_over(id, end);
        }
    }

    /// How a run ended is known for sure.
    fn run_over(&mut self, id: RequestId, end: Completion) {
        let now = clock::now();
        let Some(taken) = self.tries.get(&id) else { return };
        let (txn, request) = (taken.request.txn.clone(), taken.request.clone());
        let since = match taken.phase {
            Phase::Held | Phase::Joining { .. } | Phase::Elsewhere => return,
            Phase::Running { since } | Phase::AtCall { since, .. } => since,
            Phase::Calling { since, .. } => {
                self.command_call(CallCommand::GiveUp(txn));
                since
            }
        };
        if end == Completion::NeverStarted {
            self.recorded(Decision::NeverStarted, &request);
        }
        let (outcome, answer, kept) = match end {
            Completion::Succeeded(result) => {
                // Kept results outlive the buffer that they were read into.
                let kept = if self.keys.holds(id) { Bytes::copy_from_slice(&result) } else { Bytes::new() };
                (RunOutcome::Ok, RequestOutcome::Served(result), StoredOutcome::Succeeded(kept))
            }
            Completion::Failed => {
                (RunOutcome::Error, RequestOutcome::Failed { timed_out: false }, StoredOutcome::Failed)
            }
            Completion::Cancelled => {
                (RunOutcome::Cancelled, RequestOutcome::Failed { timed_out: false }, StoredOutcome::Failed)
            }
            Completion::Skipped => {
                (RunOutcome::Skipped, RequestOutcome::Failed { timed_out: false }, StoredOutcome::Failed)
            }
            Completion::NeverStarted => (RunOutcome::Rejected, self.not_now(), StoredOutcome::NeverStarted),
        };
        self.answer(id, answer);
        self.events.push(Event::Finished { id, outcome, took: now.saturating_sub(since) });
        self.key_ended(id, &kept);
        self.forget(id);
    }

    /// It is known what became of a try's key: whoever waits for that is told.
    fn key_ended(&mut self, id: RequestId, kept: &StoredOutcome) {
        self.tell_heir_of(id, kept.fate());
        let joiners = self.keys.ended(id, kept.clone());
        self.all_join_ended(joiners, kept);
    }

    fn all_join_ended(&mut self, joiners: Vec<RequestId>, kept: &StoredOutcome) {
        let now = clock::now();
        joiners.into_iter().for_each(|joiner| self.join_ended(joiner, kept, now));
    }

    /// Serves a joined try with what became of the try that ran.
    fn join_ended(&mut self, id: RequestId, kept: &StoredOutcome, now: Unix) {
        let Some(Try { phase: Phase::Joining { since }, .. }) = self.tries.get(&id) else { return };
        let took = now.saturating_sub(*since);
        let outcome = match kept {
            StoredOutcome::Succeeded(_) => RunOutcome::Ok,
            StoredOutcome::Failed => RunOutcome::Error,
            StoredOutcome::NeverStarted => RunOutcome::Rejected,
        };
        self.answer(id, self.outcome_of(kept));
        self.events.push(Event::Finished { id, outcome, took });
        self.forget(id);
    }

    fn call_needed(&mut self, txn: &Bytes, body: Bytes) {
        let Some(&id) = self.by_txn.get(txn) else {
            return log!("{txn:?} waits for a call and is not in hand");
        };
        let Some(taken) = self.tries.get_mut(&id) else { return };
        if let Phase::Running { since } = taken.phase {
            taken.phase = Phase::AtCall { since, body };
            self.events.push(Event::CallNeeded(id));
        }
    }

    fn call_ended(&mut self, txn: &Bytes, end: CallOutcome) {
        let Some(&id) = self.by_txn.get(txn) else { return };
        let Some(taken) = self.tries.get_mut(&id) else { return };
        let Phase::Calling { since, called, body } = &taken.phase else { return };
        let (since, took, body) = (*since, clock::now().saturating_sub(*called), body.clone());
        let outcome = match end {
            CallOutcome::Ok(reply) => {
                taken.phase = Phase::Running { since };
                self.command_run(RunCommand::Resolve(txn.clone(), reply));
                self.events.push(Event::CallReturned { id, outcome: RunOutcome::Ok, took });
                return;
            }
            CallOutcome::Failed => RunOutcome::Error,
            CallOutcome::Rejected => RunOutcome::Rejected,
            CallOutcome::TimedOut => RunOutcome::TimedOut,
            CallOutcome::Unreachable => RunOutcome::Unreachable,
            CallOutcome::CutOff => RunOutcome::CutOff,
        };
        taken.phase = Phase::AtCall { since, body };
        self.events.push(Event::CallReturned { id, outcome, took });
    }

    /// One call of the decisions with the events gathered, and their actions.
    fn decide(&mut self, now: Unix) {
        let events = std::mem::take(&mut self.events);
        self.keys.batch_over();
        let Some(admission) = &mut self.admission else { return };
        if events.is_empty() && std::mem::replace(&mut self.opened, true) {
            return;
        }
        let mut actions = std::mem::take(&mut self.actions);
        admission.handle(now, &events, &mut actions);
        for action in actions.drain(..) {
            self.act(action, now);
        }
        self.actions = actions;
        for event in &events {
            if let Event::Cancelled(id) = event {
                let over = |t: &Try| matches!(t.phase, Phase::Held | Phase::Joining { .. });
                if self.tries.get(id).is_some_and(over) {
                    self.forget(*id);
                }
            }
        }
    }

    fn act(&mut self, action: Action, now: Unix) {
        match action {
            Action::Run(id) => self.start_run(id, now),
            Action::Pause(id) => self.with_txn(id, |core, txn| core.command_run(RunCommand::Stop(txn))),
            Action::Reject { id, retry_after, give_up } => {
                // Guards the promise in a refusal against a try that has begun or has joined one that has.
                let held = self.tries.get(&id).is_some_and(|t| t.phase == Phase::Held);
                let refused = RequestOutcome::Rejected { retry_after, give_up };
                self.answer(id, if held { refused } else { RequestOutcome::Failed { timed_out: false } });
                self.end_unless_running(id);
            }
            Action::Fail(id) => {
                let deadline = self.tries.get(&id).map_or(now, |t| t.request.deadline);
                self.answer(id, RequestOutcome::Failed { timed_out: now + OVERDUE >= deadline });
                self.end_unless_running(id);
            }
            Action::Coalesce(id) => self.join(id, now),
            Action::RetainKey(id, keep) => {
                let Some(request) = self.tries.get(&id).map(|t| t.request.clone()) else { return };
                if let Some(key) = self.key_of(&request) {
                    self.keys.remember(key, &request.body, id, now + keep);
                }
            }
            Action::ReleaseKey(id) => {
                self.tell_heir_of(id, RunState::NeverStarted);
                self.keys.forget(id);
            }
            Action::Call(id, within) => self.call(id, now, now + within),
            Action::SkipCall(id) => {
                let Some(taken) = self.tries.get_mut(&id) else { return };
                if let Phase::AtCall { since, .. } = taken.phase {
                    taken.phase = Phase::Running { since };
                    self.with_txn(id, |core, txn| core.command_run(RunCommand::Skip(txn)));
                }
            }
            Action::SetHealth { good, .. } => {
                if self.ends.state.borrow().health != Some(good) {
                    log!("health is {}", if good { "good" } else { "bad" });
                }
                self.update(|state| state.health = Some(good));
            }
            Action::IdleLimit(limit) => self.update(|state| state.idle_timeout = Some(limit)),
            Action::SetTimer(timer, after) => self.timers.push(Reverse((now + after, timer))),
            // Neither wire has a place for a free value, and the settings forbid it where there is none.
            Action::Advertise(_) => {}
        }
    }

    fn with_txn(&mut self, id: RequestId, then: impl FnOnce(&mut Self, Bytes)) {
        if let Some(txn) = self.tries.get(&id).map(|t| t.request.txn.clone()) {
            then(self, txn);
        }
    }

    fn start_run(&mut self, id: RequestId, now: Unix) {
        let Some(taken) = self.tries.get(&id) else { return };
        if taken.phase != Phase::Held {
            return;
        }
        let key = self.key_of(&taken.request);
        // Guards against a second run of one effect, whatever asks for it.
        if key.is_some_and(|key| !self.keys.may_run(&key, id)) {
            log!("try {:?} of a key that has run is not run", taken.request.txn);
            self.answer(id, RequestOutcome::Failed { timed_out: false });
            self.events.push(Event::Finished { id, outcome: RunOutcome::Error, took: Duration::ZERO });
            return self.forget(id);
        }
        let Some(taken) = self.tries.get_mut(&id) else { return };
        taken.phase = Phase::Running { since: now };
        let request = taken.request.clone();
        let run = self.run_of(id);
        match self.keeper.may_begin(run) {
            Some(true) => self.hand_to_run(request),
            Some(false) => self.run_ended(&request.txn, Completion::NeverStarted),
            // The keeper tells.
            None => {}
        }
    }

    fn hand_to_run(&mut self, request: Rc<Request>) {
        if self.ends.runs.try_send(RunCommand::Run(request.clone())).is_err() {
            log!("no room for one more command to what runs requests");
            return self.run_ended(&request.txn, Completion::NeverStarted);
        }
        self.recorded(Decision::Run, &request);
        self.ends.metrics.run_dispatched(request.class);
    }

    fn join(&mut self, id: RequestId, now: Unix) {
        let Some(taken) = self.tries.get_mut(&id) else { return };
        taken.phase = Phase::Joining { since: now };
        let key = self.tries.get(&id).and_then(|t| self.key_of(&t.request));
        if let Some(kept) = key.map_or(Some(StoredOutcome::Failed), |key| self.keys.join(&key, id)) {
            self.join_ended(id, &kept, now);
        }
    }

    fn call(&mut self, id: RequestId, now: Unix, until: Unix) {
        let Some(taken) = self.tries.get_mut(&id) else { return };
        let Phase::AtCall { since, body } = &taken.phase else { return };
        let (since, body) = (*since, body.clone());
        let request = taken.request.clone();
        taken.phase = Phase::Calling { since, called: now, body: body.clone() };
        self.command_call(CallCommand::Call { request, body, until });
    }

    /// Gives a request its outcome, if it still lacks one and its caller is there.
    fn answer(&mut self, id: RequestId, outcome: RequestOutcome) {
        let Some(taken) = self.tries.get_mut(&id) else { return };
        if let Some(responder) = taken.responder.take() {
            let request = taken.request.clone();
            self.turn(&request, responder, outcome);
        }
    }

    /// What was answered is over, unless it runs: then its end is still to come.
    fn end_unless_running(&mut self, id: RequestId) {
        if self.tries.get(&id).is_some_and(|t| matches!(t.phase, Phase::Held | Phase::Joining { .. })) {
            self.forget(id);
        }
    }

    fn forget(&mut self, id: RequestId) {
        if let Some(taken) = self.tries.remove(&id) {
            self.by_txn.remove(&taken.request.txn);
        }
    }

    fn command_run(&self, command: RunCommand) {
        if self.ends.runs.try_send(command).is_err() {
            log!("no room for one more command to what runs requests");
        }
    }

    fn command_call(&mut self, command: CallCommand) {
        let made = match &command {
            CallCommand::Call { request, .. } => Some(request.txn.clone()),
            CallCommand::GiveUp(_) => None,
        };
        if self.ends.calls.try_send(command).is_err() {
            log!("no room for one more command to what makes calls");
            if let Some(txn) = made {
                self.call_ended(&txn, CallOutcome::Unreachable);
            }
        }
    }
}
