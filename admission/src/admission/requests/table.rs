//! The table of open requests, ordered by identifier.

use std::collections::BTreeMap;

use crate::admission::requests::request::Request;
use crate::interface::RequestId;

/// An entry of the table of open requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Entry<'a> {
    pub(crate) id: RequestId,
    pub(crate) request: &'a Request,
}

/// The open requests.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
}

impl RequestTable {
    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    pub(crate) fn insert(&mut self, id: RequestId, request: Request) {
        self.requests.insert(id, request);
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Request> {
        self.requests.remove(&id)
    }

    /// All open requests with their identifiers, in ascending order of identifier.
    pub(crate) fn iter(&self) -> impl Iterator<Item = Entry<'_>> {
        self.requests.iter().map(|(id, request)| Entry { id: *id, request })
    }

    /// All open requests, in ascending order of identifier.
    pub(crate) fn values(&self) -> impl Iterator<Item = &Request> {
        self.requests.values()
    }

    /// All open requests, for modification, in ascending order of identifier.
    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut Request> {
        self.requests.values_mut()
    }

    /// Number of requests that meet the condition.
    pub(crate) fn count(&self, condition: impl Fn(&Request) -> bool) -> usize {
        self.requests.values().filter(|request| condition(request)).count()
    }

    /// Number of runs in progress that are not blocked on a call; they may wait for I/O.
    pub(crate) fn running_count(&self) -> usize {
        self.count(Request::is_running)
    }

    /// Number of requests blocked on a call.
    pub(crate) fn blocked_on_calls_count(&self) -> usize {
        self.count(Request::is_blocked_on_call)
    }

    /// Memory of all requests, in kB. A started request needs `running_factor` times its memory while queued.
    pub(crate) fn memory_kb(&self, running_factor: f64) -> f64 {
        let memory_of = |request: &Request| {
            if request.has_started() {
                request.memory_kb * running_factor
            } else {
                request.memory_kb
            }
        };
        self.requests.values().map(memory_of).sum()
    }
}
