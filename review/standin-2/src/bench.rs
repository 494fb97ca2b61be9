//! A bench of one kind of node: its interpreter, its addresses and its files.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::config::Config;
use crate::free_address;
use crate::interpreter::{start_members, Interpreter};
use crate::node::{Node, Start};
use crate::record::Record;

/// What one process of a node is started with.
pub struct Process {
    pub config: Config,
    pub interpreter: Interpreter,
    pub folder: PathBuf,
}

impl Process {
    /// The addresses and the interpreter of a process that is not started yet.
    pub fn new(name: &str, folder: &Path, record: &Record) -> Process {
        let interpreter = Interpreter::start(name, record);
        let config = Config {
            name: "n1".into(),
            listen: free_address(),
            vm: interpreter.address,
            ops: free_address(),
            members: start_members(),
            stop_ms: 3200,
            deadlines_ms: [3600, 5700],
            window_ms: 16_989,
        };
        Process { config, interpreter, folder: folder.to_path_buf() }
    }

    /// The same node again: the second process of an upgrade has another `ops` and another `vm`.
    pub fn successor(&self, name: &str, record: &Record) -> Process {
        let mut process = Process::new(name, &self.folder, record);
        process.config.listen = self.config.listen;
        process.config.members = self.config.members;
        process.config.stop_ms = self.config.stop_ms;
        process.config.deadlines_ms = self.config.deadlines_ms;
        process.config.window_ms = self.config.window_ms;
        process
    }

    /// Where front ends connect.
    pub fn listen(&self) -> SocketAddr {
        self.config.listen
    }

    /// Starts the process; `file` names its configuration and its log.
    pub fn start(&self, file: &str, options: &str, record: &Record) -> Result<Node, String> {
        let path = self.config.write(&self.folder, &format!("{file}.json"));
        let start = Start {
            name: file,
            listen: self.config.listen,
            ops: self.config.ops,
            config: &path,
            tmpdir: &self.folder,
            log: self.folder.join(format!("{file}.log")),
            options,
        };
        Node::start(&start, record)
    }
}
