//! Fixtures shared by the unit tests of the decisions.

pub(crate) mod fixtures;
