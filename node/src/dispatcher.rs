//! The dispatcher connects the exchange (the queues to the frontends and backends) to the admission module,
//! which decides which attempts are run, queued or rejected. Some attempts are answered without it, see
//! `submission`. The dispatcher collects the events since its last wake-up into one batch, calls
//! [`Admission::handle`] with it, and carries out the resulting actions. It owns the open attempts, the
//! idempotency table and the timers, and knows no wire protocol.
//!
//! An attempt passes through the modules in this order: `submission` matches its key against the idempotency
//! table and passes it to the admission module; `actions` carries out the decisions; `runs` asks the run
//! gate, the interface to the stores of keys on disk and on other nodes, to authorize the run, and sends it
//! to the backend; `calls` makes the calls that the run needs; `runs` completes the run and answers its
//! client and every attempt that waits for the same key. `at_most_once` does the same for requests without a key that
//! must not run twice. `handover` transfers the table to another process of
//! this node.
//!
//! The dispatcher guarantees that every submission is answered at most once, and that no request runs twice
//! while its key is in the idempotency table.

mod actions;
mod at_most_once;
mod attempts;
mod calls;
mod handover;
mod handover_progress;
mod idempotency;
mod late_reads;
mod runs;
mod submission;
mod timers;

use std::cell::Cell;
use std::collections::VecDeque;
use std::time::Duration;

use oakwind_admission::{Action, Admission, Event, Settings};
use oakwind_fleet::audit::decision_record::Decision;
use oakwind_settings::NamedSettings;
use tokio::sync::watch;

use crate::clock::{self, UnixTime};
use crate::decision_log::{self, DecisionLog};
use crate::exchange::{
    BackendEvent, DispatcherEndpoints, DispatcherEvent, HandoverState, NodeStatus, Request, Responder,
    RunCommand, ShutdownNotice,
};
use crate::log;
use crate::outcome::RequestOutcome;
use crate::result_store::KeySource;
use crate::run_gate::RunGate;
use attempts::{Attempt, AttemptTable};
use handover_progress::HandoverProgress;
use idempotency::IdempotencyTable;
use late_reads::LateReads;
use timers::Timers;

/// Time until the next wake-up when no timer, drain or handover step is scheduled.
const IDLE_WAKE_INTERVAL: Duration = Duration::from_secs(3600);

/// Returns the settings for the admission module, with no memory charged per key: the module accounts for the
/// memory of the interpreter, whereas keys are kept in this process, in a table with a bound of its own.
fn admission_settings(settings: &NamedSettings) -> Settings {
    Settings { key_memory_kb: 0.0, ..settings.settings.clone() }
}

/// Drives the admission module and carries out its actions.
pub(crate) struct Dispatcher {
    endpoints: DispatcherEndpoints,
    settings: NamedSettings,
    /// Seeds the admission module's random numbers and the jitter of advised waits.
    seed: u64,
    /// `None` until a backend can run requests.
    admission: Option<Admission>,
    /// Whether the admission module has been called with an empty batch. The first such call makes the module
    /// set its timers; later empty batches are not passed to it.
    empty_batch_passed: bool,
    /// The current batch: events for the next call of the admission module.
    admission_events: Vec<Event>,
    /// Events left for the next batch: an attempt whose key already has an attempt in the current batch, and every
    /// event that came after it.
    deferred: VecDeque<DispatcherEvent>,
    /// Buffer for the actions of one admission call, reused between calls.
    actions: Vec<Action>,
    attempts: AttemptTable,
    idempotency: IdempotencyTable,
    late_reads: LateReads,
    timers: Timers,
    handover: HandoverProgress,
    run_gate: RunGate,
    decision_log: Option<DecisionLog>,
    /// Number of rejections made without the admission module; varies the jitter of the waits that they advise.
    jitter_sequence: Cell<u64>,
    /// Sum of the forward steps of the system clock by which key expiries have been postponed so far.
    observed_clock_steps: Duration,
}

impl Dispatcher {
    /// Creates a dispatcher that applies `settings` once a backend can run requests. Results that are kept
    /// for repeated attempts take at most `max_result_bytes`; the entries of the keys take up to about the
    /// same amount in addition.
    pub(crate) fn new(
        endpoints: DispatcherEndpoints,
        settings: NamedSettings,
        seed: u64,
        max_result_bytes: usize,
    ) -> Self {
        let awaits_predecessor = endpoints.status.borrow().awaiting_state;
        let late_reads = LateReads::new(&settings.settings, clock::now());
        Dispatcher {
            endpoints,
            settings,
            seed,
            admission: None,
            empty_batch_passed: false,
            admission_events: Vec::new(),
            deferred: VecDeque::new(),
            actions: Vec::new(),
            attempts: AttemptTable::default(),
            idempotency: IdempotencyTable::new(max_result_bytes),
            late_reads,
            timers: Timers::default(),
            handover: HandoverProgress::new(awaits_predecessor.then_some(KeySource::Predecessor)),
            run_gate: RunGate::default(),
            decision_log: None,
            jitter_sequence: Cell::new(0),
            observed_clock_steps: Duration::ZERO,
        }
    }

    /// Authorizes runs through `run_gate` from now on. `recovered` holds the records of earlier processes
    /// that the gate's stores contain; it is `None` while the predecessor process still uses the stores.
    pub(crate) fn set_run_gate(&mut self, run_gate: RunGate, recovered: Option<HandoverState>) {
        run_gate.register_metrics(&self.endpoints.metrics);
        self.run_gate = run_gate;
        if self.run_gate.is_durable() {
            self.idempotency = std::mem::take(&mut self.idempotency).into_durable();
        }
        if let Some(recovered) = recovered {
            self.import_recovered(recovered);
        }
    }

    /// Records decisions in `decision_log` from now on and publishes its counters.
    pub(crate) fn set_decision_log(&mut self, decision_log: DecisionLog) {
        let metrics = decision_log.metrics.clone();
        self.endpoints.metrics.register(move || metrics.values());
        self.decision_log = Some(decision_log);
    }

    /// Handles events until all senders of events have been dropped.
    pub(crate) async fn run(mut self) {
        loop {
            let wake = self.next_wake();
            tokio::select! {
                event = self.endpoints.events.recv() => {
                    let Some(event) = event else { return };
                    // On the single-threaded runtime, frontend tasks that are ready run before this task resumes, so
                    // their events join the same batch.
                    tokio::task::yield_now().await;
                    self.handle(event);
                    while let Ok(event) = self.endpoints.events.try_recv() {
                        self.handle(event);
                    }
                }
                event = self.run_gate.next_event() => self.on_gate_event(event),
                () = clock::until(wake) => {}
            }
            self.process_batch();
        }
    }

    /// Time of the next wake-up if no event arrives earlier.
    fn next_wake(&self) -> UnixTime {
        let grace_end = self.grace_ends_at().filter(|_| self.status().accepting);
        let handover_step = self.handover.next_wake(self.standby_transfer_at(), self.stops_at());
        let scheduled = [self.timers.next_wake(), grace_end, handover_step];
        scheduled.into_iter().flatten().min().unwrap_or_else(|| clock::now() + IDLE_WAKE_INTERVAL)
    }

    /// End of the grace period of a drain, `None` without a shutdown notice. New requests must not run after it, so
    /// the frontends stop reading.
    fn grace_ends_at(&self) -> Option<UnixTime> {
        let shutdown = self.status().draining?;
        Some(shutdown.noticed_at + self.settings.settings.drain_grace)
    }

    /// When this process is stopped; `None` without a shutdown notice.
    fn stops_at(&self) -> Option<UnixTime> {
        Some(self.status().draining?.stops_at)
    }

    /// Passes the batch to the admission module and carries out its actions, and repeats this until neither
    /// events nor deferred attempts are left.
    fn process_batch(&mut self) {
        let now = clock::now();
        self.follow_clock_steps();
        self.fail_expired_buffered(now);
        self.fire_timers(now);
        loop {
            self.call_admission(now);
            if self.deferred.is_empty() && self.admission_events.is_empty() {
                break;
            }
            for event in std::mem::take(&mut self.deferred) {
                self.handle(event);
            }
        }
        if let Some(expired_before) = self.late_reads.removable_before(now) {
            self.idempotency.sweep(now, expired_before);
        }
        self.transfer_state(now);
        self.update_drain_status(now);
    }

    /// Postpones the expiry of all keys by the forward steps of the system clock since the last call, so that
    /// no key expires early.
    fn follow_clock_steps(&mut self) {
        let total = clock::stepped_ahead();
        let step = total.saturating_sub(self.observed_clock_steps);
        if !step.is_zero() {
            self.observed_clock_steps = total;
            log!("dispatcher: clock stepped ahead: step_ms={}", step.as_millis());
            self.idempotency.postpone_expiry(step);
            self.handover.postpone_expiry(step);
        }
    }

    fn fire_timers(&mut self, now: UnixTime) {
        if self.timers.take_gauge_request(now) {
            self.send_run_command(RunCommand::Gauges);
        }
        self.admission_events.extend(self.timers.pop_fired(now));
    }

    fn update_drain_status(&self, now: UnixTime) {
        let accepting = self.grace_ends_at().is_none_or(|at| now < at);
        let drained = self.status().draining.is_some()
            && !self.handover.owes_state()
            && self.handover.buffered.is_empty()
            && !self.attempts.iter().any(|attempt| self.is_awaited(attempt));
        self.update_status(|status| {
            status.accepting = accepting;
            status.drained = drained;
        });
    }

    /// Whether the outcome of an attempt is awaited: by its client, or by a successor that needs the key's outcome.
    fn is_awaited(&self, attempt: &Attempt) -> bool {
        let awaited_by_successor =
            self.handover.successor.is_some() && self.idempotency.is_holder(attempt.id);
        attempt.responder.is_some() || awaited_by_successor
    }

    /// Handles an event, or defers it if an earlier event has been deferred to the next batch, so that events
    /// stay in order.
    fn handle(&mut self, event: DispatcherEvent) {
        if !self.deferred.is_empty() {
            return self.deferred.push_back(event);
        }
        match event {
            DispatcherEvent::Submitted(submission) => self.submit(submission),
            DispatcherEvent::Cancelled(submission_id) => self.cancel(&submission_id),
            DispatcherEvent::Backend(event) => self.on_backend_event(event),
            DispatcherEvent::Drain(stops_at) => self.drain(stops_at),
            DispatcherEvent::SetMaintenance(on) => self.update_status(|status| status.maintenance = on),
            DispatcherEvent::SetRecovering(on) => self.update_status(|status| status.recovering = on),
            DispatcherEvent::Reconfigure { settings, digest } => self.reconfigure(*settings, &digest),
            DispatcherEvent::SuccessorStandsBy(updates) => self.successor_stands_by(updates),
            DispatcherEvent::BeginHandover(updates) => self.begin_handover(updates),
            DispatcherEvent::UpdateWritten => self.handover.update_written(),
            DispatcherEvent::SuccessorLost => self.successor_lost(),
            DispatcherEvent::StateReceived(state) => self.receive_state(state),
            DispatcherEvent::PredecessorDone => self.predecessor_done(),
        }
    }

    fn on_backend_event(&mut self, event: BackendEvent) {
        match event {
            BackendEvent::Up { cold } => self.start_admission(cold),
            BackendEvent::RunEnded { txn, completion } => self.run_ended(&txn, completion),
            BackendEvent::CallNeeded { txn, body } => self.call_needed(&txn, body),
            BackendEvent::CallEnded { txn, outcome } => self.call_ended(&txn, outcome),
            BackendEvent::Gauges(values) => {
                let gauges = oakwind_settings::gauges(&self.settings.gauges, &values);
                self.timers.set_gauges(clock::now(), gauges);
            }
        }
    }

    /// Starts the admission module when a backend first reports that it can run requests. Only then is it
    /// known whether the backend is cold, i.e. needs `warm_up_time` before it runs at full speed.
    fn start_admission(&mut self, cold: bool) {
        if self.admission.is_some() {
            return;
        }
        let settings = Settings { cold, ..admission_settings(&self.settings) };
        let now = clock::now();
        let warm_at = cold.then_some(now + settings.warm_up_time);
        self.admission = Some(Admission::new(settings, self.seed, now));
        self.update_status(|status| status.warm_at = warm_at);
        let draining = self.status().draining;
        if let Some(ShutdownNotice { stops_at, .. }) = draining {
            self.admission_events.push(Event::Drain(stops_at.saturating_sub(clock::now())));
        }
    }

    /// Applies new settings. Events that arrived earlier are first passed to the admission module under the
    /// old settings.
    fn reconfigure(&mut self, settings: NamedSettings, digest: &str) {
        self.call_admission(clock::now());
        self.settings = settings;
        self.late_reads.follow_settings(&self.settings.settings);
        if let Some(decision_log) = &self.decision_log {
            decision_log.set_settings_digest(digest.to_owned());
        }
        if let Some(admission) = &mut self.admission {
            admission.reconfigure(admission_settings(&self.settings));
        }
    }

    /// Handles the shutdown notice: the process is stopped at `stops_at`.
    fn drain(&mut self, stops_at: UnixTime) {
        let now = clock::now();
        self.abandon_waits_past_stop(stops_at);
        if self.status().draining.is_none() {
            self.admission_events.push(Event::Drain(stops_at.saturating_sub(now)));
            self.update_status(|status| status.draining = Some(ShutdownNotice { stops_at, noticed_at: now }));
        }
    }

    /// Answers a request and records the outcome in the decision log.
    fn answer(&self, request: &Request, responder: Responder, outcome: RequestOutcome) {
        self.log_decision(decision_log::decision_of(&outcome), request);
        responder.answer(outcome);
    }

    /// Records a decision about an attempt in the decision log, with the version of the membership configuration and
    /// the digest of the settings that applied to it.
    fn log_decision(&self, decision: Decision, request: &Request) {
        let Some(decision_log) = &self.decision_log else { return };
        // Peers may have adopted another version since the last decision; the run gate does not report that.
        decision_log.set_membership_version(self.run_gate.membership_version());
        let class = self.settings.classes.get(usize::from(request.class.0)).map_or("", String::as_str);
        decision_log.record(decision, request, self.dedup_key(request).as_deref(), class);
    }

    /// Borrows the published status of this node. The borrow must end before [`Self::update_status`] is called, which
    /// would otherwise deadlock.
    fn status(&self) -> watch::Ref<'_, NodeStatus> {
        self.endpoints.status.borrow()
    }

    /// Changes the published status. Watchers are notified only if the status differs afterwards.
    fn update_status(&self, change: impl FnOnce(&mut NodeStatus)) {
        self.endpoints.status.send_if_modified(|status| {
            let before = status.clone();
            change(status);
            *status != before
        });
    }
}

#[cfg(test)]
mod tests;
