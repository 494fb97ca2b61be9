//! Identifiers of requests, classes, tenants, callers and timers.

/// Identifies one attempt of a request on this server. An identifier is not reused while the server runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// Position of a class in [`Settings::classes`](crate::Settings::classes).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u16);

/// Position of a tenant in [`Settings::tenant_quotas`](crate::Settings::tenant_quotas).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u16);

/// Identifies a caller of this server: a client, or a server of the tier above.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u32);

/// Identifies a timer that the module has set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u32);
