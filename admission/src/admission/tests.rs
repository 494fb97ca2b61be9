//! What the unit tests of the decisions share.

pub(crate) mod fixtures;
