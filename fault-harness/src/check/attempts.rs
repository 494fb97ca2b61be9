//! The attempts of a history: where each was sent, for which request, and what became of it.

use std::collections::{BTreeMap, HashMap};

use crate::history::{ConnectionLoss, Event, Response};
use crate::model::Ms;

/// The answer to an attempt, with its time.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) at: Ms,
    pub(super) response: Response,
}

/// The loss of an attempt's connection, with its time.
#[derive(Debug, Clone, Copy)]
pub(super) struct Loss {
    pub(super) at: Ms,
    pub(super) kind: ConnectionLoss,
}

/// One attempt of a request at one node.
#[derive(Debug)]
pub(super) struct Attempt {
    /// The request, as index into those of the schedule.
    pub(super) request: usize,
    /// The node that it was written to.
    pub(super) node: usize,
    /// The frontend that wrote it.
    pub(super) frontend: usize,
    /// When it was written.
    pub(super) written_at: Ms,
    /// When its caller stops waiting.
    pub(super) deadline: Ms,
    /// Its first answer.
    pub(super) answer: Option<Answer>,
    /// When its caller cancelled it.
    pub(super) cancelled_at: Option<Ms>,
    /// The loss of its connection, without an answer.
    pub(super) loss: Option<Loss>,
    /// Whether the interpreter began to run it.
    pub(super) has_run: bool,
}

impl Attempt {
    fn new(request: usize, node: usize, frontend: usize, written_at: Ms, deadline: Ms) -> Attempt {
        Attempt {
            request,
            node,
            frontend,
            written_at,
            deadline,
            answer: None,
            cancelled_at: None,
            loss: None,
            has_run: false,
        }
    }

    /// Whether it was rejected.
    pub(super) fn is_rejected(&self) -> bool {
        matches!(self.answer, Some(Answer { response: Response::Rejected { .. }, .. }))
    }
}

/// What is known of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Request {
    /// The request whose idempotency key it has, by index: itself, or the one that it repeats.
    pub(super) original_request: usize,
    /// Its class, as index into those of the parameters.
    pub(super) class: usize,
}

/// All attempts, by id, and the requests that they belong to.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    by_id: BTreeMap<u64, Attempt>,
    requests: HashMap<usize, Request>,
}

impl Attempts {
    /// Takes in the events that concern attempts alone: requests, and what was written, cancelled and lost. The checks of
    /// answers set an attempt's `answer`, those of runs its `has_run`.
    pub(super) fn observe(&mut self, at: Ms, event: &Event) {
        match event {
            Event::RequestSent { request, class, repeats } => {
                let original_request = repeats.unwrap_or(*request);
                self.requests.insert(*request, Request { original_request, class: *class });
            }
            Event::AttemptWritten { attempt, request, node, frontend, deadline } => {
                self.by_id.insert(*attempt, Attempt::new(*request, *node, *frontend, at, *deadline));
            }
            Event::AttemptCancelled { attempt } => {
                self.update(*attempt, |attempt| attempt.cancelled_at = Some(at));
            }
            Event::ConnectionLost { attempt, loss } => {
                let loss = Loss { at, kind: *loss };
                self.update(*attempt, |attempt| attempt.loss = Some(loss));
            }
            _ => {}
        }
    }

    /// The attempt with this id, if one was written.
    pub(super) fn get(&self, id: u64) -> Option<&Attempt> {
        self.by_id.get(&id)
    }

    /// Changes an attempt; one that was never written is left out.
    pub(super) fn update(&mut self, id: u64, change: impl FnOnce(&mut Attempt)) {
        if let Some(attempt) = self.by_id.get_mut(&id) {
            change(attempt);
        }
    }

    /// The request with this index, if a client sent it.
    pub(super) fn request(&self, index: usize) -> Option<Request> {
        self.requests.get(&index).copied()
    }

    /// The idempotency key of an attempt: the index of the original request. A request whose sending is not in the history is
    /// taken for an original.
    pub(super) fn key_of(&self, id: u64) -> Option<usize> {
        let index = self.by_id.get(&id)?.request;
        Some(self.request(index).map_or(index, |request| request.original_request))
    }

    /// How many were written.
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// All attempts, by id.
    pub(super) fn iter(&self) -> impl Iterator<Item = (u64, &Attempt)> {
        self.by_id.iter().map(|(id, attempt)| (*id, attempt))
    }
}
