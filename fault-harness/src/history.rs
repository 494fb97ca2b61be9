//! The history of a play, in order: every attempt written, every answer, every run, and all that was done to the fleet.
//! The checker and all statistics are functions of it. A file holds one event a line, as JSON, and can be checked again.

use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::model::frontend::End;
use crate::model::Ms;
use crate::scenario::RunScope;

/// What the checker and the statistics need to know of a class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassParameters {
    /// Its name.
    pub name: String,
    /// Its latency objective: an answer within this time earns the full weight.
    #[serde(alias = "aim")]
    pub latency_objective: Ms,
    /// How long a client waits.
    pub deadline: Ms,
    /// How long an idempotency key may come again; 0 in classes without keys.
    #[serde(alias = "window")]
    pub idempotency_window: Ms,
    /// Weight of a request: that of the scenario times its mean work in milliseconds.
    #[serde(alias = "worth")]
    pub weight: f64,
    /// Fraction of the weight that an answer after the latency objective earns.
    #[serde(alias = "late_worth")]
    pub late_weight: f64,
    /// Fraction of the weight that is earned without the call of the dependency.
    #[serde(alias = "skip_worth")]
    pub skip_weight: f64,
}

/// The parameters that a play is checked by.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RuleParameters {
    /// The scenario's name.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// How long load was sent, in seconds.
    pub seconds: f64,
    /// How many nodes there are.
    pub nodes: usize,
    /// The classes.
    pub classes: Vec<ClassParameters>,
    /// Within what an idempotency key may run once.
    #[serde(alias = "once")]
    pub run_once_per: RunScope,
    /// An answer still counts that comes so long after its deadline.
    pub slack: Ms,
    /// What arrives later than this after the shutdown notice is not run.
    pub drain_grace: Ms,
    /// Descriptors that a program may hold.
    pub sockets: u64,
    /// Memory that a program may take, in KB.
    pub memory_kb: u64,
    /// Two nodes may both have the role of the virtual router for so long, once nothing keeps them from hearing each
    /// other.
    pub two_active: Ms,
}

/// The kind of an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Served, with this result.
    Served(String),
    /// Rejected.
    Refused {
        /// After how long to retry (Retry-After).
        later: Option<Ms>,
        /// The node asks the frontend to give up: no other node is to be tried.
        giveup: bool,
    },
    /// Any other error.
    Failed,
}

/// Why an attempt ended with its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Drop {
    /// It crossed the close of an idle connection and was sent again.
    Crossed,
    /// Nothing had been answered on that connection.
    Fresh,
    /// Others had.
    Used,
}

/// How a program ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ProcessExit {
    /// The harness killed it.
    Killed,
    /// By itself after the shutdown notice.
    Left,
    /// It was still running when its time for a graceful shutdown was over.
    Overstayed,
    /// By itself, without a notice: its exit status.
    Crashed(String),
}

/// An event with its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// When.
    pub t: Ms,
    /// What.
    #[serde(flatten)]
    pub what: Event,
}

/// What can happen in a play. Nodes, frontends, classes and requests go by their positions, attempts by their id.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "e", rename_all = "snake_case")]
pub enum Event {
    /// A client sends a request. A repeat has the idempotency key of another request.
    Asked {
        /// Its number.
        n: usize,
        /// Its class.
        class: usize,
        /// The request whose key it repeats.
        repeats: Option<usize>,
    },
    /// A client's request is over.
    Over {
        /// Its number.
        n: usize,
        /// How.
        end: End,
        /// Its attempts.
        tries: u32,
    },
    /// An attempt was written to a node; its caller waits until `due`.
    Wrote {
        /// The attempt.
        txn: u64,
        /// The request.
        n: usize,
        /// The node.
        node: usize,
        /// The frontend.
        front: usize,
        /// When its caller stops waiting.
        due: Ms,
    },
    /// An attempt was answered.
    Answered {
        /// The attempt.
        txn: u64,
        /// How.
        kind: Kind,
    },
    /// An attempt's caller cancelled it.
    Withdrew {
        /// The attempt.
        txn: u64,
    },
    /// An attempt's connection ended without its answer.
    Dropped {
        /// The attempt.
        txn: u64,
        /// Why.
        why: Drop,
    },
    /// A line came that is no answer, or answers nothing that is open.
    Stray {
        /// The node.
        node: usize,
        /// The attempt that it answers a second time, if it is one.
        txn: Option<u64>,
        /// What came.
        text: String,
    },
    /// A run began.
    Began {
        /// The attempt.
        txn: u64,
        /// The node.
        node: usize,
    },
    /// A run ended, with this result if it worked.
    Ended {
        /// The attempt.
        txn: u64,
        /// The node.
        node: usize,
        /// Its result.
        result: Option<String>,
    },
    /// A run's call was made.
    Called {
        /// The attempt.
        txn: u64,
        /// The node.
        node: usize,
    },
    /// A program logged something about the fleet.
    Said {
        /// The node.
        node: usize,
        /// What.
        text: String,
    },
    /// A body, class or reply reached the interpreter changed, or a command was about a request that never came.
    Spoilt {
        /// The node.
        node: usize,
        /// What was wrong.
        text: String,
    },
    /// A program was started and serves.
    Up {
        /// The node.
        node: usize,
        /// Whether its interpreter is cold.
        cold: bool,
    },
    /// A program got its shutdown notice (SIGTERM).
    Notice {
        /// The node.
        node: usize,
    },
    /// A program has ended.
    Down {
        /// The node.
        node: usize,
        /// How.
        way: ProcessExit,
    },
    /// The state that a node keeps over restarts was lost, cut or replaced.
    Wiped {
        /// The node.
        node: usize,
    },
    /// A node's process was paused, or resumed.
    Still {
        /// The node.
        node: usize,
        /// Whether it does.
        still: bool,
    },
    /// Traffic between a node and a frontend is disturbed, or no longer is. Without a frontend, that of all frontends is.
    Disturbed {
        /// The node.
        node: usize,
        /// The frontend.
        front: Option<usize>,
        /// Whether it does.
        on: bool,
    },
    /// Traffic among nodes is disturbed, or no longer is.
    Peers {
        /// Whether it does.
        on: bool,
    },
    /// A node has the role of the virtual router, or no longer has it.
    Role {
        /// The node.
        node: usize,
        /// Whether it has.
        active: bool,
    },
    /// The harness injected a fault, which lasts until then.
    Fault {
        /// What.
        text: String,
        /// When it is over.
        until: Ms,
    },
    /// A frontend opened a connection.
    Connected {
        /// The node.
        node: usize,
        /// The frontend.
        front: usize,
    },
    /// A sample of the resources that a program takes.
    Sample {
        /// The node.
        node: usize,
        /// Memory.
        rss_kb: u64,
        /// Descriptors.
        files: u64,
        /// Time of the cores since its start.
        cpu_ms: u64,
    },
    /// An interpreter has died of the load that the program put on it.
    Fell {
        /// The node.
        node: usize,
        /// Of what.
        text: String,
    },
    /// The harness itself ran late by so much.
    Late {
        /// By how much.
        by: Ms,
    },
}

/// The history of a whole play.
#[derive(Debug, Clone, PartialEq)]
pub struct History {
    /// Its terms.
    pub terms: RuleParameters,
    /// What was seen, in order.
    pub seen: Vec<Observation>,
}

impl History {
    /// Reads a file that [`History::write`] wrote.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, or a line of it is no event; the error names the line.
    pub fn read(path: &Path) -> io::Result<History> {
        let mut lines = BufReader::new(File::open(path)?).lines();
        let first = lines.next().ok_or(io::ErrorKind::UnexpectedEof)??;
        let terms = serde_json::from_str(&first)?;
        let seen = lines
            .enumerate()
            .map(|(i, line)| {
                let wrong = |e| io::Error::new(io::ErrorKind::InvalidData, format!("line {}: {e}", i + 2));
                serde_json::from_str(&line?).map_err(wrong)
            })
            .collect::<io::Result<_>>()?;
        Ok(History { terms, seen })
    }

    /// Writes it, an event a line.
    ///
    /// # Errors
    ///
    /// If the file cannot be written.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut file = BufWriter::new(File::create(path)?);
        serde_json::to_writer(&mut file, &self.terms)?;
        file.write_all(b"\n")?;
        for seen in &self.seen {
            serde_json::to_writer(&mut file, seen)?;
            file.write_all(b"\n")?;
        }
        file.flush()
    }
}
