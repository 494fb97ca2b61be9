//! The load figures of an interpreter's protocol.

/// What an interpreter reports of itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Gauges {
    /// The mean fraction of the cores that was busy over the last `CPU_BUSY_WINDOW`.
    pub cpu_busy: f64,
    /// How many runs and overhead tasks share the cores now.
    pub runnable: f64,
    /// The fraction of the memory in use.
    pub memory_used: f64,
}

impl Gauges {
    /// All of them, in the order of the interpreter's protocol.
    pub fn as_array(&self) -> [f64; 3] {
        [self.cpu_busy, self.runnable, self.memory_used]
    }
}
