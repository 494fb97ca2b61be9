//! The one seam between the core and what keeps keys beyond its process: may this run begin, this run has ended. Behind
//! it stand the folder and the peers, either, both or neither; the core does not know which. Where nothing does, everything
//! may begin and ends at once.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use oakwind_admission::RequestId;
use oakwind_fleet::claim_coordinator::ClaimOutcome;
use oakwind_fleet::ids::ConfigVersion;
use oakwind_fleet::key_state::RunResult;

use crate::clock::Unix;
use crate::exchange::Request;
use crate::metrics::Metrics;
use crate::outcome::{Completion, IdempotencyKey, IdempotencyRecord, StoredOutcome};
use crate::peers::{Asked, Peers};
use crate::result_store::record::{Record, State};
use crate::result_store::{ResultStore, Told};

/// The run of a try that holds a key.
#[derive(Debug, Clone)]
pub struct Run {
    /// The try.
    pub id: RequestId,
    /// Its request; none where another process of this node had it.
    pub request: Option<Rc<Request>>,
    /// Its key.
    pub key: IdempotencyKey,
    /// The digest of its body.
    pub body: u64,
    /// How long the key is remembered.
    pub until: Unix,
}

/// What the keeper has to say, when it was not known at once.
#[derive(Debug)]
pub enum Word {
    /// Whether this try's run begins; unless it does, it never did.
    Begin(RequestId, bool),
    /// It must not begin, as another node may run its key; what becomes of that follows.
    Elsewhere(RequestId),
    /// What became of another node's run of its key; it must not begin.
    Became(RequestId, StoredOutcome),
    /// What became of another node's run of its key is not known in time, or its own result is held by too few.
    Unknown(RequestId),
    /// Its key is that of another body.
    Mismatch(RequestId),
    /// How this try's run has ended, as it is kept.
    Ended(RequestId, Completion),
    /// What earlier processes left.
    Recalled(Vec<IdempotencyRecord>),
}

/// What one of those behind the seam says of a question.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Answer {
    /// It is not there, or was not asked.
    Yes,
    Open,
    No,
}

/// What a try waits for.
#[derive(Debug)]
struct Waiting {
    /// How its run ended, if it is that.
    end: Option<Completion>,
    folder: Answer,
    peers: Answer,
    run: Run,
}

/// All that keeps keys beyond the process, if anything does.
#[derive(Default)]
pub struct RunGate {
    folder: Option<ResultStore>,
    peers: Option<Peers>,
    /// What waits, by the try. As bounded as runs.
    waiting: HashMap<RequestId, Waiting>,
}

impl RunGate {
    /// A keeper with a folder, peers, both or neither.
    pub fn new(folder: Option<ResultStore>, peers: Option<Peers>) -> Self {
        RunGate { folder, peers, waiting: HashMap::new() }
    }

    /// Has the figures show what is kept.
    pub fn counts(&self, metrics: &Metrics) {
        if let Some(folder) = &self.folder {
            let tally = folder.tally.clone();
            metrics.register(Box::new(move || tally.all()));
        }
        if let Some(peers) = &self.peers {
            let shown = peers.shown.clone();
            metrics.register(Box::new(move || shown.all()));
        }
    }

    /// Whether anything is kept beyond the process, and so results for as long as their keys.
    pub fn keeps(&self) -> bool {
        self.folder.is_some() || self.peers.is_some()
    }

    /// The number of the list that the fleet goes by; 0 without one.
    pub fn list(&self) -> ConfigVersion {
        self.peers.as_ref().map(|peers| peers.shown.list.get()).unwrap_or_default()
    }

    /// Whether a key that is not known may have run, as far as damage tells.
    pub fn doubts(&self, key: &[u8], now: Unix) -> bool {
        self.folder.as_ref().is_some_and(|folder| folder.doubts.doubts(key, now))
    }

    /// Takes over from another process of this node, once that lets go; `recalls` if what it left is news.
    pub fn take_over(&mut self, recalls: bool) {
        if let Some(folder) = &mut self.folder {
            folder.take_over(recalls);
        }
        if let Some(peers) = &self.peers {
            peers.resume();
            peers.beside(!recalls);
        }
    }

    /// The process before this one is gone, whether or not it let go of anything.
    pub fn alone(&self) {
        if let Some(peers) = &self.peers {
            peers.resume();
            peers.beside(false);
        }
    }

    /// Leaves all to another process of this node. These runs may still begin here.
    pub fn let_go(&mut self, held: Vec<Run>) {
        for run in &held {
            self.record(run, State::Begun, Bytes::new());
        }
        if let Some(folder) = &mut self.folder {
            folder.recorder = None;
        }
        if let Some(peers) = &self.peers {
            peers.retire();
        }
    }

    /// Whether a run may begin; none if that is told later. A try without a key may.
    pub fn may_begin(&mut self, run: Option<Run>) -> Option<bool> {
        let Some(run) = run.filter(|_| self.keeps()) else { return Some(true) };
        let folder = self.asked_folder(&run, State::Begun, Bytes::new());
        let peers = match (&self.peers, &run.request) {
            (None, _) => Answer::Yes,
            (Some(peers), Some(request)) if folder != Answer::No => {
                let (id, key, until) = (run.id, run.key.clone(), run.until);
                let (body, received_at, deadline) =
                    (&request.body[..], request.received_at, request.deadline);
                if peers.want(&Asked { id, key, body, until, received_at, deadline }) {
                    Answer::Open
                } else {
                    Answer::No
                }
            }
            _ => Answer::No,
        };
        if folder == Answer::Open && peers == Answer::No {
            self.record(&run, State::Freed, Bytes::new());
            return Some(false);
        }
        if folder == Answer::Open || peers == Answer::Open {
            self.waiting.insert(run.id, Waiting { end: None, folder, peers, run });
            return None;
        }
        Some(folder != Answer::No && peers != Answer::No)
    }

    /// A run has ended; returns how, as it is kept, unless that is told later.
    pub fn ended(&mut self, run: Option<Run>, end: Completion) -> Option<Completion> {
        let Some(run) = run.filter(|_| self.keeps()) else { return Some(end) };
        // It outlives the buffer that it was read into.
        let (state, result) = match &end {
            Completion::Succeeded(result) => (State::Done, Bytes::copy_from_slice(result)),
            _ => (State::Failed, Bytes::new()),
        };
        let folder = self.asked_folder(&run, state, result.clone());
        let peers = match &self.peers {
            None => Answer::Yes,
            Some(peers) => match &end {
                Completion::Succeeded(_) if peers.ended(run.id, RunResult::Succeeded(result)) => Answer::Open,
                Completion::Succeeded(_) => Answer::No,
                _ => {
                    // Nobody waits for that: a failure promises nothing.
                    peers.ended(run.id, RunResult::Failed);
                    Answer::Yes
                }
            },
        };
        if folder == Answer::Open || peers == Answer::Open {
            self.waiting.insert(run.id, Waiting { end: Some(end), folder, peers, run });
            return None;
        }
        Some(if folder == Answer::No || peers == Answer::No { Completion::Failed } else { end })
    }

    /// A run never began and never will.
    pub fn never_ran(&mut self, id: RequestId) {
        if let Some(peers) = &self.peers {
            peers.never_ran(id);
        }
    }

    /// Keeps how a run of the process before this one ended; true if it tells when that is kept.
    pub fn ended_before(&mut self, run: Run, kept: &StoredOutcome) -> bool {
        let (end, state, result) = match kept {
            StoredOutcome::Succeeded(result) => {
                (Completion::Succeeded(result.clone()), State::Done, result.clone())
            }
            StoredOutcome::Failed => (Completion::Failed, State::Failed, Bytes::new()),
            StoredOutcome::NeverStarted => return false,
        };
        let open = self.asked_folder(&run, state, result) == Answer::Open;
        if open {
            let waiting = Waiting { end: Some(end), folder: Answer::Open, peers: Answer::Yes, run };
            self.waiting.insert(waiting.run.id, waiting);
        }
        open
    }

    /// Keeps what became of a run that nobody waits for.
    pub fn over(&mut self, run: Run, kept: &StoredOutcome) {
        match kept {
            StoredOutcome::Succeeded(result) => self.record(&run, State::Done, result.clone()),
            StoredOutcome::Failed => self.record(&run, State::Failed, Bytes::new()),
            StoredOutcome::NeverStarted => {
                self.never_ran(run.id);
                self.record(&run, State::Freed, Bytes::new())
            }
        };
    }

    fn asked_folder(&self, run: &Run, state: State, result: Bytes) -> Answer {
        match self.record(run, state, result) {
            Some(true) => Answer::Open,
            Some(false) => Answer::No,
            None => Answer::Yes,
        }
    }

    /// Hands a record to the folder: whether the disk takes it, or none where there is none, or another process has it.
    fn record(&self, run: &Run, state: State, result: Bytes) -> Option<bool> {
        let recorder = self.folder.as_ref()?.recorder.as_ref()?;
        let Run { id, body, until, .. } = *run;
        let key = run.key.clone();
        Some(recorder.write(id, Record { number: 0, at: Duration::ZERO, until, body, state, key, result }))
    }

    /// The next that it has to say; never where nothing is kept.
    pub async fn told(&mut self) -> Word {
        loop {
            let RunGate { folder, peers, .. } = self;
            let of_folder = async {
                match folder {
                    Some(folder) => folder.told().await,
                    None => std::future::pending().await,
                }
            };
            let of_peers = async {
                match peers {
                    Some(peers) => peers.told().await,
                    None => std::future::pending().await,
                }
            };
            let word = tokio::select! {
                told = of_folder => self.of_folder(told),
                (id, said) = of_peers => self.of_peers(id, said),
            };
            if let Some(word) = word {
                return word;
            }
        }
    }

    fn of_folder(&mut self, told: Told) -> Option<Word> {
        match told {
            Told::Written(id, kept) => {
                let waiting = self.waiting.get_mut(&id).filter(|waiting| waiting.folder == Answer::Open)?;
                waiting.folder = if kept { Answer::Yes } else { Answer::No };
                self.settled(id)
            }
            Told::Opened(recovered) => {
                let folder = self.folder.as_mut()?;
                folder.doubts = recovered.doubts;
                // Otherwise the process before has told all this, and more of late.
                folder.recalls.then_some(Word::Recalled(recovered.keys))
            }
        }
    }

    fn of_peers(&mut self, id: RequestId, said: ClaimOutcome) -> Option<Word> {
        let begins = |keeper: &RunGate| keeper.waiting.get(&id).is_some_and(|waiting| waiting.end.is_none());
        match said {
            ClaimOutcome::Granted | ClaimOutcome::Rejected(_) if begins(self) => {
                let waiting = self.waiting.get_mut(&id)?;
                waiting.peers = if said == ClaimOutcome::Granted { Answer::Yes } else { Answer::No };
                self.settled(id)
            }
            // That it waits for another node's run is known already.
            ClaimOutcome::Rejected(_) => Some(Word::Became(id, StoredOutcome::NeverStarted)),
            ClaimOutcome::Granted => None,
            ClaimOutcome::Replicated(held) => {
                let waiting = self.waiting.get_mut(&id).filter(|waiting| waiting.end.is_some())?;
                waiting.peers = if held { Answer::Yes } else { Answer::No };
                self.settled(id)
            }
            ClaimOutcome::RunningElsewhere => {
                self.not_begun(id);
                Some(Word::Elsewhere(id))
            }
            ClaimOutcome::RemoteOutcome(fate) => {
                self.not_begun(id);
                let kept = match fate {
                    RunResult::Succeeded(result) => StoredOutcome::Succeeded(result),
                    RunResult::Failed => StoredOutcome::Failed,
                };
                Some(Word::Became(id, kept))
            }
            ClaimOutcome::Unknown => {
                self.not_begun(id);
                Some(Word::Unknown(id))
            }
            ClaimOutcome::BodyMismatch => {
                self.not_begun(id);
                Some(Word::Mismatch(id))
            }
        }
    }

    /// A try that waited to begin does not: the folder is told that its key is free here.
    fn not_begun(&mut self, id: RequestId) {
        if let Some(waiting) = self.waiting.remove(&id) {
            self.record(&waiting.run, State::Freed, Bytes::new());
        }
    }

    /// What a try hears once nothing is open any more, or one of them has said no.
    fn settled(&mut self, id: RequestId) -> Option<Word> {
        let waiting = self.waiting.get(&id)?;
        let (folder, peers) = (waiting.folder, waiting.peers);
        let refused = folder == Answer::No || peers == Answer::No;
        if !refused && (folder == Answer::Open || peers == Answer::Open) {
            return None;
        }
        let Waiting { end, run, .. } = self.waiting.remove(&id)?;
        match end {
            None => {
                if refused && folder != Answer::No {
                    self.record(&run, State::Freed, Bytes::new());
                }
                if refused && peers != Answer::No {
                    self.never_ran(id);
                }
                Some(Word::Begin(id, !refused))
            }
            Some(_) if peers == Answer::No => Some(Word::Unknown(id)),
            Some(_) if folder == Answer::No => Some(Word::Ended(id, Completion::Failed)),
            Some(end) => Some(Word::Ended(id, end)),
        }
    }
}
