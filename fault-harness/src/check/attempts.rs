//! The attempts of a history: the node and request of each, and its outcome.

use std::collections::{BTreeMap, HashMap};

use crate::history::{ConnectionLoss, Event, Response};
use crate::model::Ms;

/// The answer to an attempt, and its time.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) at: Ms,
    pub(super) response: Response,
}

/// The loss of the connection of an attempt, and its time.
#[derive(Debug, Clone, Copy)]
pub(super) struct Loss {
    pub(super) at: Ms,
    pub(super) kind: ConnectionLoss,
}

/// One attempt of a request at one node.
#[derive(Debug)]
pub(super) struct Attempt {
    /// Position of the request in the schedule.
    pub(super) request: usize,
    /// Position of the node to which it was written.
    pub(super) node: usize,
    /// Position of the frontend that wrote it.
    pub(super) frontend: usize,
    /// Time at which it was written.
    pub(super) written_at: Ms,
    /// Time at which its caller stops waiting.
    pub(super) deadline: Ms,
    /// Its first answer; later ones are violations.
    pub(super) answer: Option<Answer>,
    /// Time at which its caller cancelled it.
    pub(super) cancelled_at: Option<Ms>,
    /// Loss of its connection before it was answered.
    pub(super) loss: Option<Loss>,
    /// Whether an interpreter started to run it.
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

    pub(super) fn is_rejected(&self) -> bool {
        matches!(self.answer, Some(Answer { response: Response::Rejected { .. }, .. }))
    }
}

/// What the history says about a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Request {
    /// Position of the request whose idempotency key it has: its own, or that of the request that it repeats.
    pub(super) original_request: usize,
    /// Position of its class in the parameters.
    pub(super) class: usize,
}

/// All attempts, by id, and the requests that they belong to.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    by_id: BTreeMap<u64, Attempt>,
    requests: HashMap<usize, Request>,
}

impl Attempts {
    /// Handles the events that concern attempts alone: the sending of requests, and the writing, cancelling
    /// and loss of attempts. The rules about answers set `answer` of an attempt, those about runs `has_run`.
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

    /// The attempt with this id, if it was written.
    pub(super) fn get(&self, id: u64) -> Option<&Attempt> {
        self.by_id.get(&id)
    }

    /// Changes an attempt; has no effect if it was never written.
    pub(super) fn update(&mut self, id: u64, change: impl FnOnce(&mut Attempt)) {
        if let Some(attempt) = self.by_id.get_mut(&id) {
            change(attempt);
        }
    }

    /// The request at this position, if a client sent it.
    pub(super) fn request(&self, index: usize) -> Option<Request> {
        self.requests.get(&index).copied()
    }

    /// The idempotency key of an attempt: the position of the original request. A request whose sending is
    /// not in the history counts as an original.
    pub(super) fn key_of(&self, id: u64) -> Option<usize> {
        let index = self.by_id.get(&id)?.request;
        Some(self.request(index).map_or(index, |request| request.original_request))
    }

    /// Number of attempts that were written.
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// All attempts, in order of their ids.
    pub(super) fn iter(&self) -> impl Iterator<Item = (u64, &Attempt)> {
        self.by_id.iter().map(|(id, attempt)| (*id, attempt))
    }
}
