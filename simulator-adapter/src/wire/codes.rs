//! Codes, flags and limits of the simulator's wire protocol.

/// Size in bytes of a frame's length field.
pub(crate) const LENGTH_BYTES: usize = 4;
/// Maximum accepted length of a frame's body in bytes; the simulator sends a few megabytes at most.
pub(crate) const MAX_FRAME_BYTES: usize = 1 << 28;
/// Value of a request id field that refers to no request.
pub(crate) const NO_REQUEST: u32 = 0;
/// Flag of an arrival record whose cost hint field is valid.
pub(crate) const FLAG_COST_HINT: u8 = 1;

/// Codes of the records that the simulator sends.
pub(crate) mod record_code {
    pub(crate) const BACKEND_STARTED: u8 = 0;
    pub(crate) const ARRIVED: u8 = 1;
    pub(crate) const FINISHED: u8 = 2;
    pub(crate) const CALL_NEEDED: u8 = 3;
    pub(crate) const CALL_RETURNED: u8 = 4;
    pub(crate) const DRAIN: u8 = 5;
    pub(crate) const CANCELLED: u8 = 6;
    pub(crate) const TIMER: u8 = 7;
    pub(crate) const BACKEND_CRASHED: u8 = 8;
    pub(crate) const SELECT_BACKEND: u8 = 9;
}

/// Outcome codes of runs and calls.
pub(crate) mod outcome_code {
    pub(crate) const OK: u16 = 1;
    pub(crate) const ERROR: u16 = 2;
    pub(crate) const REJECTED: u16 = 3;
    pub(crate) const TIMED_OUT: u16 = 4;
    pub(crate) const UNREACHABLE: u16 = 5;
    pub(crate) const CUT_OFF: u16 = 6;
    pub(crate) const CANCELLED: u16 = 7;
    pub(crate) const SKIPPED: u16 = 8;
}

/// Codes of the records in a reply.
pub(crate) mod action_code {
    pub(crate) const IDLE_LIMIT: u8 = 64;
    pub(crate) const RUN: u8 = 65;
    pub(crate) const RETAIN_KEY: u8 = 66;
    pub(crate) const COALESCE: u8 = 68;
    pub(crate) const FAIL: u8 = 69;
    pub(crate) const SELECT_BACKEND: u8 = 70;
    pub(crate) const SKIP_CALL: u8 = 71;
    pub(crate) const REJECT: u8 = 72;
    pub(crate) const ADVERTISE: u8 = 73;
    pub(crate) const SET_HEALTH: u8 = 74;
    pub(crate) const SET_TIMER: u8 = 75;
    pub(crate) const PAUSE: u8 = 77;
    pub(crate) const CALL: u8 = 78;
    pub(crate) const RELEASE_KEY: u8 = 79;
}
