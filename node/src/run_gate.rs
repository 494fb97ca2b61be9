//! The run gate: the only interface between the dispatcher and the stores that keep idempotency keys outside
//! this process. The dispatcher asks it whether a run may start, and reports the end of each run to it.
//!
//! The stores are the result store on disk and the peer nodes: either, both or neither. A run starts only once
//! each of them has recorded the start, and its end is reported only once each has stored it. Without either,
//! every run is granted at once.

mod event;
mod keyed_run;
mod pending;

use bytes::Bytes;
use oakwind_admission::RequestId;
use oakwind_fleet::claims::coordinator::ClaimOutcome;
use oakwind_fleet::ids::ConfigVersion;
use oakwind_fleet::replication::key_state::RunResult;

use crate::clock::UnixTime;
use crate::exchange::HandoverState;
use crate::metrics::Metrics;
use crate::outcome::{Completion, StoredOutcome};
use crate::peers::{ClaimParameters, ClaimResponse, Peers};
use crate::result_store::record::{Record, RecordState};
use crate::result_store::{KeySource, ResultStore, StoreEvent};
pub(crate) use event::{Authorization, GateEvent};
pub(crate) use keyed_run::KeyedRun;
use pending::{Approval, PendingRun, PendingRuns};

/// The stores that keep idempotency keys outside this process, if any are configured.
#[derive(Default)]
pub(crate) struct RunGate {
    store: Option<ResultStore>,
    peers: Option<Peers>,
    /// Runs that wait for the store or the peers. Bounded by the number of runs.
    pending: PendingRuns,
}

impl RunGate {
    /// Creates a run gate with a store, peers, both or neither.
    pub(crate) fn new(store: Option<ResultStore>, peers: Option<Peers>) -> Self {
        RunGate { store, peers, pending: PendingRuns::default() }
    }

    /// Adds the counters of the store and the peers to the metrics.
    pub(crate) fn register_metrics(&self, metrics: &Metrics) {
        if let Some(store) = &self.store {
            let store = store.metrics.clone();
            metrics.register(move || store.values());
        }
        if let Some(peers) = &self.peers {
            let peers = peers.metrics.clone();
            metrics.register(move || peers.values());
        }
    }

    /// Whether keys outlast the process. Results are then kept until their keys expire.
    pub(crate) fn is_durable(&self) -> bool {
        self.store.is_some() || self.peers.is_some()
    }

    /// Whether a result store is configured, from which the keys of earlier processes can be recovered.
    pub(crate) fn has_store(&self) -> bool {
        self.store.is_some()
    }

    /// Returns the version of the membership configuration; 0 without peers.
    pub(crate) fn membership_version(&self) -> ConfigVersion {
        self.peers.as_ref().map(|peers| peers.metrics.membership_version.get()).unwrap_or_default()
    }

    /// Whether a key that is not in the idempotency table may have run, because its record in the store may
    /// be damaged.
    pub(crate) fn may_have_run(&self, key: &[u8], now: UnixTime) -> bool {
        self.store.as_ref().is_some_and(|store| store.uncertain_keys.contains(key, now))
    }

    /// Acquires the store and the place in the fleet from another process of this node, once that process releases
    /// them. With [`KeySource::Store`], [`GateEvent::Recovered`] reports the keys.
    pub(crate) fn acquire_stores(&mut self, keys: KeySource) {
        if let Some(store) = &mut self.store {
            store.open_after_predecessor(keys);
        }
        if let Some(peers) = &self.peers {
            peers.activate();
            peers.set_predecessor_running(keys == KeySource::Predecessor);
        }
    }

    /// Takes over from a predecessor process that has ended, whether or not it released its stores.
    pub(crate) fn predecessor_ended(&self) {
        if let Some(peers) = &self.peers {
            peers.activate();
            peers.set_predecessor_running(false);
        }
    }

    /// Releases the store and the place in the fleet to the successor process. `runs` may still start here,
    /// so they are recorded as started first.
    pub(crate) fn release_stores(&mut self, runs: &[KeyedRun]) {
        for run in runs {
            self.write(run, RecordState::Started, Bytes::new());
        }
        if let Some(store) = &mut self.store {
            store.writer = None;
        }
        if let Some(peers) = &self.peers {
            peers.deactivate();
        }
    }

    /// Decides whether a run may start. The run of an attempt without a key (`None`) always may.
    pub(crate) fn authorize_run(&mut self, run: Option<KeyedRun>) -> Authorization {
        let Some(run) = run.filter(|_| self.is_durable()) else { return Authorization::Granted };
        let store = self.write(&run, RecordState::Started, Bytes::new());
        let peers = if store == Approval::Denied { Approval::Denied } else { self.claim(&run) };
        if store == Approval::Pending && peers == Approval::Denied {
            self.write(&run, RecordState::NeverStarted, Bytes::new());
            return Authorization::Denied;
        }
        match store.and(peers) {
            Approval::Granted => Authorization::Granted,
            Approval::Denied => Authorization::Denied,
            Approval::Pending => {
                self.pending.insert(PendingRun { run, completion: None, store, peers });
                Authorization::Pending
            }
        }
    }

    /// Claims a run from the peers.
    fn claim(&self, run: &KeyedRun) -> Approval {
        let Some(peers) = &self.peers else { return Approval::Granted };
        let Some(request) = &run.request else { return Approval::Denied };
        Approval::requested(peers.request_claim(&ClaimParameters {
            id: run.id,
            key: run.key.clone(),
            body: &request.body[..],
            expires_at: run.expires_at,
            received_at: request.received_at,
            deadline: request.deadline,
        }))
    }

    /// Stores how a run has ended. Returns the completion if it may be reported now, or `None` if a
    /// [`GateEvent::Completed`] or [`GateEvent::OutcomeUnknown`] follows.
    pub(crate) fn run_completed(
        &mut self,
        run: Option<KeyedRun>,
        completion: Completion,
    ) -> Option<Completion> {
        let Some(run) = run.filter(|_| self.is_durable()) else { return Some(completion) };
        let outcome = match &completion {
            // Copied, because the stored result outlives the buffer that it was read into.
            Completion::Succeeded(result) => StoredOutcome::Succeeded(Bytes::copy_from_slice(result)),
            _ => StoredOutcome::Failed,
        };
        let store = self.write_outcome(&run, &outcome);
        let peers = self.replicate(run.id, outcome);
        match store.and(peers) {
            Approval::Granted => Some(completion),
            Approval::Denied => Some(Completion::Failed),
            Approval::Pending => {
                self.pending.insert(PendingRun { run, completion: Some(completion), store, peers });
                None
            }
        }
    }

    /// Replicates the outcome of a run to the peers.
    fn replicate(&self, id: RequestId, outcome: StoredOutcome) -> Approval {
        let Some(peers) = &self.peers else { return Approval::Granted };
        match outcome {
            StoredOutcome::Succeeded(result) => {
                Approval::requested(peers.run_finished(id, RunResult::Succeeded(result)))
            }
            StoredOutcome::Failed | StoredOutcome::NeverStarted => {
                // The answer to the client does not wait for the peers, because a failure makes no promise
                // about the run.
                peers.run_finished(id, RunResult::Failed);
                Approval::Granted
            }
        }
    }

    /// Stores how a run of the predecessor process ended. Returns whether a [`GateEvent::Completed`] follows.
    pub(crate) fn predecessor_run_completed(&mut self, run: KeyedRun, outcome: &StoredOutcome) -> bool {
        let completion = match outcome {
            StoredOutcome::Succeeded(result) => Completion::Succeeded(result.clone()),
            StoredOutcome::Failed => Completion::Failed,
            StoredOutcome::NeverStarted => return false,
        };
        let store = self.write_outcome(&run, outcome);
        if store != Approval::Pending {
            return false;
        }
        self.pending.insert(PendingRun {
            run,
            completion: Some(completion),
            store,
            peers: Approval::Granted,
        });
        true
    }

    /// Reports to the peers that a run never started and never will.
    pub(crate) fn run_never_started(&mut self, id: RequestId) {
        if let Some(peers) = &self.peers {
            peers.run_never_started(id);
        }
    }

    /// Stores the outcome of a run without reporting when that is done.
    pub(crate) fn store_outcome(&mut self, run: &KeyedRun, outcome: &StoredOutcome) {
        if *outcome == StoredOutcome::NeverStarted {
            self.run_never_started(run.id);
        }
        self.write_outcome(run, outcome);
    }

    /// Writes the outcome of a run to the store.
    fn write_outcome(&self, run: &KeyedRun, outcome: &StoredOutcome) -> Approval {
        match outcome {
            StoredOutcome::Succeeded(result) => self.write(run, RecordState::Succeeded, result.clone()),
            StoredOutcome::Failed => self.write(run, RecordState::Failed, Bytes::new()),
            StoredOutcome::NeverStarted => self.write(run, RecordState::NeverStarted, Bytes::new()),
        }
    }

    /// Writes a record to the store. The approval is granted without a store, or while another process has it.
    fn write(&self, run: &KeyedRun, state: RecordState, result: Bytes) -> Approval {
        let writer = self.store.as_ref().and_then(|store| store.writer.as_ref());
        let Some(writer) = writer else { return Approval::Granted };
        let record = Record::new(run.key.clone(), run.body_digest, run.expires_at, state, result);
        Approval::requested(writer.write(run.id, record))
    }

    /// Waits for the next event. It never comes if neither a store nor peers are configured.
    pub(crate) async fn next_event(&mut self) -> GateEvent {
        loop {
            let RunGate { store, peers, .. } = self;
            let store_event = async {
                match store {
                    Some(store) => store.next_event().await,
                    None => std::future::pending().await,
                }
            };
            let claim_response = async {
                match peers {
                    Some(peers) => peers.next_response().await,
                    None => std::future::pending().await,
                }
            };
            let event = tokio::select! {
                event = store_event => self.on_store_event(event),
                response = claim_response => self.on_claim_response(response),
            };
            if let Some(event) = event {
                return event;
            }
        }
    }

    fn on_store_event(&mut self, event: StoreEvent) -> Option<GateEvent> {
        match event {
            StoreEvent::Written { request: id, durable } => {
                self.pending.waiting_for_store(id)?.store = Approval::of(durable);
                self.resolve(id)
            }
            StoreEvent::Opened(recovered) => {
                let store = self.store.as_mut()?;
                store.uncertain_keys = recovered.uncertain_keys;
                let state = HandoverState {
                    digest_seed: recovered.seed,
                    records: recovered.keys,
                    ..HandoverState::default()
                };
                // With `KeySource::Predecessor` the predecessor has transferred these keys, and newer ones as well.
                (store.key_source == KeySource::Store).then_some(GateEvent::Recovered(state))
            }
            StoreEvent::OpenFailed => Some(GateEvent::StoreUnavailable),
        }
    }

    fn on_claim_response(&mut self, response: ClaimResponse) -> Option<GateEvent> {
        let ClaimResponse { id, outcome } = response;
        match outcome {
            ClaimOutcome::Granted | ClaimOutcome::Rejected(_)
                if self.pending.waiting_to_start(id).is_some() =>
            {
                self.pending.waiting_to_start(id)?.peers = Approval::of(outcome == ClaimOutcome::Granted);
                self.resolve(id)
            }
            // The run is not waiting to start: `AwaitingRemoteRun` has been reported for this attempt before.
            ClaimOutcome::Rejected(_) => {
                Some(GateEvent::RemoteOutcome { id, outcome: StoredOutcome::NeverStarted })
            }
            ClaimOutcome::Granted => None,
            ClaimOutcome::StoredByQuorum(is_stored) => {
                self.pending.waiting_to_complete(id)?.peers = Approval::of(is_stored);
                self.resolve(id)
            }
            ClaimOutcome::AwaitingRemoteRun => {
                self.cancel_start(id);
                Some(GateEvent::AwaitingRemoteRun(id))
            }
            ClaimOutcome::RemoteResult(result) => {
                self.cancel_start(id);
                let outcome = match result {
                    RunResult::Succeeded(result) => StoredOutcome::Succeeded(result),
                    RunResult::Failed => StoredOutcome::Failed,
                };
                Some(GateEvent::RemoteOutcome { id, outcome })
            }
            ClaimOutcome::Unknown => {
                self.cancel_start(id);
                Some(GateEvent::OutcomeUnknown(id))
            }
            ClaimOutcome::BodyMismatch => {
                self.cancel_start(id);
                Some(GateEvent::BodyMismatch(id))
            }
        }
    }

    /// Cancels a run that waits to start, and records in the store that it never started, so that its key is free.
    fn cancel_start(&mut self, id: RequestId) {
        if let Some(run) = self.pending.remove(id) {
            self.write(&run, RecordState::NeverStarted, Bytes::new());
        }
    }

    /// Returns the event of a run once neither store nor peers are awaited for it, or one of them has denied it.
    fn resolve(&mut self, id: RequestId) -> Option<GateEvent> {
        let resolved = self.pending.remove_resolved(id)?;
        let denied = resolved.is_denied();
        let PendingRun { run, completion, store, peers } = resolved;
        let Some(completion) = completion else {
            if denied && store != Approval::Denied {
                self.write(&run, RecordState::NeverStarted, Bytes::new());
            }
            if denied && peers != Approval::Denied {
                self.run_never_started(id);
            }
            return Some(GateEvent::Authorized { id, granted: !denied });
        };
        Some(match (store, peers) {
            (_, Approval::Denied) => GateEvent::OutcomeUnknown(id),
            (Approval::Denied, _) => GateEvent::Completed { id, completion: Completion::Failed },
            _ => GateEvent::Completed { id, completion },
        })
    }
}
