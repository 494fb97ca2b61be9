//! What all connections of the uwsgi frontend share.

use std::rc::Rc;

use super::request_ids::RequestIds;
use crate::class_registry::ClassRegistry;
use crate::exchange::Exchange;

/// What all connections of this frontend share.
pub(crate) struct UwsgiFrontend {
    /// The way to the dispatcher.
    pub(crate) exchange: Exchange,
    /// The classes and tenants in the settings.
    pub(crate) registry: Rc<ClassRegistry>,
    /// Ids for the requests, which come without any.
    pub(crate) ids: RequestIds,
}
