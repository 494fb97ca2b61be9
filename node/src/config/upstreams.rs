//! The services that a node connects to.

use std::net::SocketAddr;

/// The addresses of the services that a node connects to: the part of a configuration that a reload changes.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct UpstreamAddresses {
    /// The interpreter, unless uwsgi servers run all requests.
    pub(crate) interpreter: Option<SocketAddr>,
    /// The membership service, if there is one.
    pub(crate) membership_service: Option<SocketAddr>,
    /// The index; the last tier has none.
    pub(crate) index: Option<SocketAddr>,
    /// uwsgi servers that run requests, in place of the interpreter.
    pub(crate) uwsgi_run_servers: Vec<SocketAddr>,
    /// uwsgi servers that serve the calls to the tier below, in place of the index.
    pub(crate) uwsgi_call_servers: Vec<SocketAddr>,
}

/// How many kinds of services there are.
const UPSTREAM_KINDS: usize = 5;

/// A kind of service, and whether none is configured.
#[derive(PartialEq)]
struct UpstreamKind {
    key: &'static str,
    is_absent: bool,
}

impl UpstreamAddresses {
    /// The key of the first kind of service that is configured here and was not at the start, or the other way round. A
    /// running node cannot take that over, only other addresses.
    pub(crate) fn first_incompatible_key(&self, at_start: &UpstreamAddresses) -> Option<&'static str> {
        let kinds = self.kinds().into_iter().zip(at_start.kinds());
        kinds.into_iter().find(|(new, old)| new != old).map(|(new, _)| new.key)
    }

    /// All kinds of services.
    fn kinds(&self) -> [UpstreamKind; UPSTREAM_KINDS] {
        [
            UpstreamKind { key: "runs", is_absent: self.uwsgi_run_servers.is_empty() },
            UpstreamKind { key: "vm", is_absent: self.interpreter.is_none() },
            UpstreamKind { key: "calls", is_absent: self.uwsgi_call_servers.is_empty() },
            UpstreamKind { key: "index", is_absent: self.index.is_none() },
            UpstreamKind { key: "members", is_absent: self.membership_service.is_none() },
        ]
    }
}
