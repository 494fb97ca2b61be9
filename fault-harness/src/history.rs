//! What a play saw, in order: every request written, every answer, every run, and all that was done to the fleet. The
//! checker and all figures are functions of it. A file holds one event a line, as JSON, and can be checked again.

use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::model::frontend::End;
use crate::model::Ms;
use crate::scenario::Once;

/// What the checker has to know of a class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassParameters {
    /// Its name.
    pub name: String,
    /// Answers within this are worth all.
    pub aim: Ms,
    /// How long a client waits.
    pub deadline: Ms,
    /// How long a key may come again; 0 in classes without keys.
    pub window: Ms,
    /// What one is worth for each millisecond of its mean work.
    pub worth: f64,
    /// The part of that for an answer after the aim.
    pub late_worth: f64,
    /// The part that is left without the call.
    pub skip_worth: f64,
}

/// The terms of a play.
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
    /// Among whom a key may run once.
    pub once: Once,
    /// After an answer's due time it still counts for so long.
    pub slack: Ms,
    /// What comes later than this after the notice to leave is not run.
    pub drain_grace: Ms,
    /// Descriptors that a program may hold.
    pub sockets: u64,
    /// Memory that a program may take, in KB.
    pub memory_kb: u64,
    /// Two nodes may both have the role of the virtual router for so long, once nothing keeps them from hearing each
    /// other.
    pub two_active: Ms,
}

/// What an answer was.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Served, with this result.
    Served(String),
    /// Turned away.
    Refused {
        /// How long to stay away.
        later: Option<Ms>,
        /// The wish that no other node be tried.
        giveup: bool,
    },
    /// Any other error.
    Failed,
}

/// Why a try ended with its connection.
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
    /// The rig killed it.
    Killed,
    /// By itself after the notice to leave.
    Left,
    /// It was still there when its time after the notice was over.
    Overstayed,
    /// By itself, without a reason: what it ended with.
    Crashed(String),
}

/// One thing that was seen, and when.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// When.
    pub t: Ms,
    /// What.
    #[serde(flatten)]
    pub what: Event,
}

/// What can be seen. Nodes, front ends, classes and requests go by their positions, tries by their id.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "e", rename_all = "snake_case")]
pub enum Event {
    /// A client asks. A repeat is of another request's key.
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
        /// Its tries.
        tries: u32,
    },
    /// A try was written to a node; its caller waits until `due`.
    Wrote {
        /// The try.
        txn: u64,
        /// The request.
        n: usize,
        /// The node.
        node: usize,
        /// The front end.
        front: usize,
        /// When its caller stops waiting.
        due: Ms,
    },
    /// A try was answered.
    Answered {
        /// The try.
        txn: u64,
        /// How.
        kind: Kind,
    },
    /// A try's caller told the node that it has gone.
    Withdrew {
        /// The try.
        txn: u64,
    },
    /// A try's connection ended without its answer.
    Dropped {
        /// The try.
        txn: u64,
        /// Why.
        why: Drop,
    },
    /// Something came that is no answer, or answers nothing that is open.
    Stray {
        /// The node.
        node: usize,
        /// The try that it answers a second time, if it is one.
        txn: Option<u64>,
        /// What came.
        text: String,
    },
    /// A run began.
    Began {
        /// The try.
        txn: u64,
        /// The node.
        node: usize,
    },
    /// A run ended, with this result if it worked.
    Ended {
        /// The try.
        txn: u64,
        /// The node.
        node: usize,
        /// Its result.
        result: Option<String>,
    },
    /// A run's call was made.
    Called {
        /// The try.
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
    /// A body, class or reply reached the interpreter changed, or a command was for nothing that came.
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
    /// It was told to leave.
    Notice {
        /// The node.
        node: usize,
    },
    /// It has ended.
    Down {
        /// The node.
        node: usize,
        /// How.
        way: ProcessExit,
    },
    /// What it keeps over restarts was lost, cut or replaced.
    Wiped {
        /// The node.
        node: usize,
    },
    /// It stands still, or goes on.
    Still {
        /// The node.
        node: usize,
        /// Whether it does.
        still: bool,
    },
    /// Traffic between a node and front ends suffers, or no longer does. Without a front end, all are meant.
    Disturbed {
        /// The node.
        node: usize,
        /// The front end.
        front: Option<usize>,
        /// Whether it does.
        on: bool,
    },
    /// Traffic among nodes suffers, or no longer does.
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
    /// The rig did something to the fleet, which lasts until then.
    Fault {
        /// What.
        text: String,
        /// When it is over.
        until: Ms,
    },
    /// A front end opened a connection.
    Connected {
        /// The node.
        node: usize,
        /// The front end.
        front: usize,
    },
    /// What a program takes.
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
    /// An interpreter has died of what the program put on it.
    Fell {
        /// The node.
        node: usize,
        /// Of what.
        text: String,
    },
    /// The rig itself ran late by so much.
    Late {
        /// By how much.
        by: Ms,
    },
}

/// A whole play.
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
