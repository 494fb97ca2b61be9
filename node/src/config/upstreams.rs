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

impl UpstreamAddresses {
    /// The key of the first kind of service that is configured here and was not at the start, or the other way round. A
    /// running node cannot take that over, only other addresses.
    pub(crate) fn first_incompatible_key(&self, at_start: &UpstreamAddresses) -> Option<&'static str> {
        let kinds = self.kinds().into_iter().zip(at_start.kinds());
        kinds.into_iter().find(|(new, old)| new != old).map(|(new, _)| new.0)
    }

    /// For each kind of service its key and whether it is absent.
    fn kinds(&self) -> [(&'static str, bool); 5] {
        [
            ("runs", self.uwsgi_run_servers.is_empty()),
            ("vm", self.interpreter.is_none()),
            ("calls", self.uwsgi_call_servers.is_empty()),
            ("index", self.index.is_none()),
            ("members", self.membership_service.is_none()),
        ]
    }
}
