//! The services that a node connects to.

use std::net::SocketAddr;

/// The addresses of the services that a node connects to. A reload can change them.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct UpstreamAddresses {
    /// The interpreter; none if uwsgi servers run all requests.
    pub(crate) interpreter: Option<SocketAddr>,
    /// The membership service, if there is one.
    pub(crate) membership_service: Option<SocketAddr>,
    /// The index; the last tier has none.
    pub(crate) index: Option<SocketAddr>,
    /// uwsgi servers that run requests instead of the interpreter.
    pub(crate) uwsgi_run_servers: Vec<SocketAddr>,
    /// uwsgi servers that answer the calls to the tier below instead of the index.
    pub(crate) uwsgi_call_servers: Vec<SocketAddr>,
}

/// Number of kinds of services.
const UPSTREAM_KINDS: usize = 5;

/// A kind of service, and whether none is configured.
#[derive(PartialEq)]
struct UpstreamKind {
    key: &'static str,
    is_absent: bool,
}

impl UpstreamAddresses {
    /// The key of the first kind of service that was added to the configuration since the start, or removed
    /// from it. A running node can't apply that, only a change of addresses.
    pub(crate) fn first_incompatible_key(&self, at_start: &UpstreamAddresses) -> Option<&'static str> {
        let kinds = self.kinds().into_iter().zip(at_start.kinds());
        kinds.into_iter().find(|(new, old)| new != old).map(|(new, _)| new.key)
    }

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
