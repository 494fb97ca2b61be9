//! Defaults that several tables share; serde takes them by function.

pub(super) fn one_u64() -> u64 {
    1
}

pub(super) fn one_usize() -> usize {
    1
}

pub(super) fn one_f64() -> f64 {
    1.0
}

pub(super) fn half() -> f64 {
    0.5
}

pub(super) fn quarter() -> f64 {
    0.25
}

pub(super) fn eight() -> f64 {
    8.0
}
