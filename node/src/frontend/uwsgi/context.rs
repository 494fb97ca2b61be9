//! The state that all connections of the uwsgi frontend share.

use std::rc::Rc;

use super::request_ids::RequestIds;
use crate::class_registry::ClassRegistry;
use crate::exchange::Exchange;

/// The state that all connections of the uwsgi frontend share.
pub(crate) struct UwsgiFrontend {
    /// The channel to the dispatcher.
    pub(crate) exchange: Exchange,
    /// The classes and tenants in the settings.
    pub(crate) registry: Rc<ClassRegistry>,
    /// The ids for requests, as uwsgi requests carry none.
    pub(crate) ids: RequestIds,
}
