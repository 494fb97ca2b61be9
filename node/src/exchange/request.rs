//! Requests and the right to answer them.

use std::fmt::{self, Display, Formatter};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use oakwind_admission::{CallerId, ClassId, TenantId};
use tokio::sync::mpsc;

use crate::clock::UnixTime;
use crate::metrics::Metrics;
use crate::outcome::{IdempotencyKey, RequestOutcome};

/// Identifies one attempt on all connections: up to 16 hexadecimal digits, new with every attempt. What a peer sends in
/// its place may be any bytes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct TransactionId(Bytes);

impl TransactionId {
    /// The id as it is written on connections.
    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl<T: Into<Bytes>> From<T> for TransactionId {
    fn from(id: T) -> Self {
        TransactionId(id.into())
    }
}

impl Display for TransactionId {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        self.0.escape_ascii().fmt(formatter)
    }
}

/// One attempt of a request, as a frontend read it.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    /// Its transaction id.
    pub(crate) txn: TransactionId,
    /// Its class.
    pub(crate) class: ClassId,
    /// Its tenant.
    pub(crate) tenant: TenantId,
    /// In keyed classes: the same for all attempts of one request.
    pub(crate) key: Option<IdempotencyKey>,
    /// The client that sent it.
    pub(crate) caller: CallerId,
    /// The work to expect, as time on one core.
    pub(crate) cost_hint: Option<Duration>,
    /// Memory booked for it while it is open, in KB.
    pub(crate) memory_kb: f64,
    /// Its rank, from 0 to under 1.
    pub(crate) rank: f64,
    /// When it reached this machine.
    pub(crate) received_at: UnixTime,
    /// When its client stops waiting.
    pub(crate) deadline: UnixTime,
    /// Its body, as it was read.
    pub(crate) body: Bytes,
}

/// Identifies one submission, so that its frontend can cancel it. The transaction id alone is not enough, as a client
/// may submit the same one a second time.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct SubmissionId {
    /// The request's transaction id.
    pub(crate) txn: TransactionId,
    sequence: u64,
}

impl SubmissionId {
    /// The submission of a transaction id that comes `sequence`th on this exchange.
    pub(super) fn new(txn: TransactionId, sequence: u64) -> Self {
        SubmissionId { txn, sequence }
    }
}

/// A request with the right to answer it.
#[derive(Debug)]
pub(crate) struct Submission {
    /// The request.
    pub(crate) request: Rc<Request>,
    /// By what its frontend cancels it.
    pub(crate) id: SubmissionId,
    /// The right to answer it.
    pub(crate) responder: Responder,
}

/// Identifies a request among those whose answers come by one queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct RequestTag(pub(crate) u64);

impl RequestTag {
    /// The tag that follows this one.
    pub(crate) fn next(self) -> RequestTag {
        RequestTag(self.0 + 1)
    }
}

/// The answer to a request, as its frontend receives it.
#[derive(Debug)]
pub(crate) struct Answer {
    /// The request that it answers.
    pub(crate) tag: RequestTag,
    /// What the request came to.
    pub(crate) outcome: RequestOutcome,
}

/// Where the answer to a request is counted.
#[derive(Debug)]
struct AnswerCounter {
    metrics: Rc<Metrics>,
    class: ClassId,
}

/// The right to give one request its outcome. Answering consumes it, so no request is answered twice. The answer has a
/// place in the queue reserved from the start, so answering never waits.
#[derive(Debug)]
pub(crate) struct Responder {
    tag: RequestTag,
    permit: Option<mpsc::OwnedPermit<Answer>>,
    /// Set when the request is submitted.
    counter: Option<AnswerCounter>,
}

impl Responder {
    /// A responder that sends the answer with this tag to the queue, or `None` while the queue has no place to reserve.
    pub(crate) fn new(answers: &mpsc::Sender<Answer>, tag: RequestTag) -> Option<Self> {
        let permit = answers.clone().try_reserve_owned().ok()?;
        Some(Responder { tag, permit: Some(permit), counter: None })
    }

    /// Counts the answer for a class.
    pub(super) fn count_in(&mut self, metrics: Rc<Metrics>, class: ClassId) {
        self.counter = Some(AnswerCounter { metrics, class });
    }

    /// Gives the request its outcome.
    pub(crate) fn answer(mut self, outcome: RequestOutcome) {
        if let Some(counter) = &self.counter {
            counter.metrics.request_answered(counter.class, &outcome);
        }
        if let Some(permit) = self.permit.take() {
            permit.send(Answer { tag: self.tag, outcome });
        }
    }
}

impl Drop for Responder {
    /// Counts the request as ended, whether it was answered or cancelled.
    fn drop(&mut self) {
        if let Some(counter) = &self.counter {
            counter.metrics.request_finished();
        }
    }
}
