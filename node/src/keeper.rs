//! The one seam between the core and what keeps keys beyond its process: may this run begin, this run has ended. The
//! core does not know what stands behind it; where nothing does, everything may begin and ends at once.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use swiftwinch::RequestId;

use crate::clock::Unix;
use crate::fate::{End, Kept, Key, KeyRecord};
use crate::figures::Figures;
use crate::remembered::record::{Record, State};
use crate::remembered::{Remembrance, Told};

/// The run of a try that holds a key.
#[derive(Debug, Clone)]
pub struct Run {
    /// The try.
    pub id: RequestId,
    /// Its key.
    pub key: Key,
    /// The digest of its body.
    pub body: u64,
    /// How long the key is remembered.
    pub until: Unix,
}

/// What the keeper has to say, when it was not known at once.
#[derive(Debug)]
pub enum Word {
    /// Whether it is kept that this try's run begins; unless it is, it must not.
    Begin(RequestId, bool),
    /// How this try's run has ended, as it is kept.
    Ended(RequestId, End),
    /// What earlier processes left.
    Recalled(Vec<KeyRecord>),
}

/// What a try waits for.
#[derive(Debug)]
enum Waiting {
    /// That it is kept that its run begins.
    Begin,
    /// That it is kept how its run ended.
    End(End),
}

/// All that keeps keys beyond the process, if anything does.
#[derive(Default)]
pub struct Keeper {
    folder: Option<Remembrance>,
    /// What waits, by the try. As bounded as runs.
    waiting: HashMap<RequestId, Waiting>,
}

impl Keeper {
    /// A keeper with a folder.
    pub fn new(folder: Remembrance) -> Self {
        Keeper { folder: Some(folder), waiting: HashMap::new() }
    }

    /// Has the figures show what is kept.
    pub fn counts(&self, figures: &Figures) {
        if let Some(folder) = &self.folder {
            figures.remembers(folder.tally.clone());
        }
    }

    /// Whether results stay for as long as their keys.
    pub fn lasts(&self) -> bool {
        self.folder.is_some()
    }

    /// Whether a key that is not known may have run, as far as damage tells.
    pub fn doubts(&self, key: &[u8], now: Unix) -> bool {
        self.folder.as_ref().is_some_and(|folder| folder.doubts.doubts(key, now))
    }

    /// Opens what another process of this node has, once that lets go of it; `recalls` if what is in it is news.
    pub fn take_over(&mut self, recalls: bool) {
        if let Some(folder) = &mut self.folder {
            folder.take_over(recalls);
        }
    }

    /// Leaves all to another process of this node. These runs may still begin here.
    pub fn let_go(&mut self, held: Vec<Run>) {
        for run in held {
            self.record(run, State::Begun, Bytes::new());
        }
        if let Some(folder) = &mut self.folder {
            folder.recorder = None;
        }
    }

    /// Whether a run may begin; none if that is told later. A try without a key may.
    pub fn may_begin(&mut self, run: Option<Run>) -> Option<bool> {
        let Some(run) = run else { return Some(true) };
        let id = run.id;
        match self.record(run, State::Begun, Bytes::new()) {
            Some(true) => {
                self.waiting.insert(id, Waiting::Begin);
                None
            }
            Some(false) => Some(false),
            None => Some(true),
        }
    }

    /// A run has ended; returns how, as it is kept, unless that is told later.
    pub fn ended(&mut self, run: Option<Run>, end: End) -> Option<End> {
        let Some(run) = run else { return Some(end) };
        let id = run.id;
        let (state, result) = match &end {
            // It outlives the buffer that it was read into.
            End::Done(result) => (State::Done, Bytes::copy_from_slice(result)),
            _ => (State::Failed, Bytes::new()),
        };
        match self.record(run, state, result) {
            Some(true) => {
                self.waiting.insert(id, Waiting::End(end));
                None
            }
            Some(false) => Some(End::Crashed),
            None => Some(end),
        }
    }

    /// Keeps what became of a run that nobody waits for.
    pub fn over(&mut self, run: Run, kept: &Kept) {
        match kept {
            Kept::Done(result) => self.record(run, State::Done, result.clone()),
            Kept::Failed => self.record(run, State::Failed, Bytes::new()),
            Kept::NeverRan => self.record(run, State::Freed, Bytes::new()),
        };
    }

    /// Hands a record to the folder: whether the disk takes it, or none where there is none, or another process has it.
    fn record(&self, run: Run, state: State, result: Bytes) -> Option<bool> {
        let recorder = self.folder.as_ref()?.recorder.as_ref()?;
        let Run { id, key, body, until } = run;
        Some(recorder.write(id, Record { number: 0, at: Duration::ZERO, until, body, state, key, result }))
    }

    /// The next that it has to say; never where nothing is kept.
    pub async fn told(&mut self) -> Word {
        loop {
            let told = match &mut self.folder {
                Some(folder) => folder.told().await,
                None => std::future::pending().await,
            };
            if let Some(word) = self.of_folder(told) {
                return word;
            }
        }
    }

    fn of_folder(&mut self, told: Told) -> Option<Word> {
        match told {
            Told::Written(id, kept) => match self.waiting.remove(&id)? {
                Waiting::Begin => Some(Word::Begin(id, kept)),
                Waiting::End(end) => Some(Word::Ended(id, if kept { end } else { End::Crashed })),
            },
            Told::Opened(recovered) => {
                let folder = self.folder.as_mut()?;
                folder.doubts = recovered.doubts;
                // Otherwise the process before has told all this, and more of late.
                folder.recalls.then_some(Word::Recalled(recovered.keys))
            }
        }
    }
}
