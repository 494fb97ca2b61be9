//! The gauges of the interpreter protocol.

/// The load that an interpreter reports to its node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Gauges {
    /// Mean busy fraction of the cores over the last `CPU_BUSY_WINDOW`.
    pub cpu_busy: f64,
    /// Number of runs and overhead tasks that share the cores now.
    pub runnable: f64,
    /// Fraction of the memory in use; above 1 the interpreter dies.
    pub memory_used: f64,
}

impl Gauges {
    /// All gauges, in the order of the interpreter protocol.
    pub fn as_array(&self) -> [f64; 3] {
        [self.cpu_busy, self.runnable, self.memory_used]
    }
}
