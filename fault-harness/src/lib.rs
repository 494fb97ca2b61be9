//! A fault harness for fleets of the real program: it starts the nodes as processes, connects them through relays that
//! inject faults, simulates the services that they talk to, sends load, and reports violations of the rules. See
//! `docs/fault-harness.md`.

pub mod charts;
pub mod check;
pub mod clock;
pub mod experiment;
pub mod history;
pub mod loopback;
pub mod model;
pub mod mutant;
pub mod node;
pub mod play;
pub mod play_context;
pub mod predict;
pub mod process;
pub mod program_log;
pub mod relay;
pub mod report;
pub mod scenario;
pub mod schedule;
pub mod settings;
pub mod simulated;
pub mod statistics;
pub mod warm_up_bound;
pub mod wire;
