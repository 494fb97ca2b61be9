//! A handle on a process of the program: starts it, reads its log and sends it signals.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::mpsc::{channel, Receiver};

use oakwind_fault_harness::process::{Program, Signal, Usage};
use oakwind_fault_harness::wire::STATUS;

use super::{config, file, oakwind, Peer, Server, TEST_TIMEOUT, UWSGI};

/// The program as a running process.
pub(crate) struct Node {
    program: Program,
    log: Receiver<String>,
    skipped_lines: Vec<String>,
    /// Its configuration, its uwsgi file if it has one, and one more file if there is one.
    files: Vec<PathBuf>,
    pub json: SocketAddr,
}

impl Node {
    /// Starts a node and waits until it listens; `uwsgi` is the text of a uwsgi file, if any.
    pub(crate) fn start(config: &str, uwsgi: Option<&str>) -> Node {
        let mut node = Node::spawn(config, uwsgi, None);
        node.wait_until_listening();
        node
    }

    /// Starts a node without waiting. `folder` is its `TMPDIR` if it shares one with another process.
    pub(crate) fn spawn(config: &str, uwsgi: Option<&str>, folder: Option<&Path>) -> Node {
        Node::spawn_with(config, uwsgi, folder, None)
    }

    /// Like [`Node::spawn`], with the text of a result store file.
    pub(crate) fn spawn_with(
        config: &str,
        uwsgi: Option<&str>,
        folder: Option<&Path>,
        remembered: Option<&str>,
    ) -> Node {
        let remembered = remembered.map(|text| ("--remembered", file("remembered.toml", text)));
        Node::spawn_with_file(config, uwsgi, folder, remembered)
    }

    /// Starts a node with both frontends and a decision log in `folder`, and waits until it listens.
    pub(crate) fn with_records(config: &str, folder: &Path) -> Node {
        let text = format!("folder = '{}'\nfile_mb = 1\nfiles = 4\n", folder.display());
        let mut node = Node::spawn_with_file(
            config,
            Some(UWSGI),
            None,
            Some(("--records", file("records.toml", &text))),
        );
        node.wait_until_listening();
        node
    }

    /// Starts a node with both frontends and the text of a fleet file, without waiting.
    pub(crate) fn with_fleet(config: &str, fleet: &str, folder: Option<&Path>) -> Node {
        Node::spawn_with_file(config, Some(UWSGI), folder, Some(("--fleet", file("fleet.toml", fleet))))
    }

    fn spawn_with_file(
        config: &str,
        uwsgi: Option<&str>,
        folder: Option<&Path>,
        more: Option<(&str, PathBuf)>,
    ) -> Node {
        let path = file("config.json", config);
        let mut command = oakwind(&["serve", "--config", path.to_str().unwrap()]);
        let mut files = vec![path];
        if let Some(text) = uwsgi {
            files.push(file("uwsgi.toml", text));
            command.arg("--uwsgi").arg(&files[1]);
        }
        if let Some((option, path)) = more {
            command.arg(option).arg(&path);
            files.push(path);
        }
        if let Some(folder) = folder {
            command.env("TMPDIR", folder);
        }
        Node { files, ..Node::from_command(command) }
    }

    /// Starts the program with a prepared command.
    pub(crate) fn from_command(mut command: Command) -> Node {
        let (sender, log) = channel();
        // Sending fails once the test has ended; the line is dropped then.
        let program = Program::start(&mut command, move |line| drop(sender.send(line))).unwrap();
        Node { program, log, skipped_lines: Vec::new(), files: Vec::new(), json: ([127, 0, 0, 1], 0).into() }
    }

    /// Waits until it accepts JSON-RPC clients.
    pub(crate) fn wait_until_listening(&mut self) {
        self.json = self.address("frontend: listening: protocol=JSON-RPC address=");
    }

    /// Starts a node with a stand-in interpreter whose link is up.
    pub(crate) fn with_interpreter(links: &str, uwsgi: Option<&str>) -> (Node, Server, Peer) {
        let vm = Server::new();
        let node = Node::start(&config(&format!(r#""vm": "{}", {links}"#, vm.address)), uwsgi);
        let link = vm.interpreter("0");
        (node, vm, link)
    }

    /// Waits for a log line that contains a text, and returns it.
    pub(crate) fn wait_for_log(&mut self, words: &str) -> String {
        if let Some(at) = self.skipped_lines.iter().position(|line| line.contains(words)) {
            return self.skipped_lines.remove(at);
        }
        loop {
            let line = self.log.recv_timeout(TEST_TIMEOUT).unwrap_or_else(|_| {
                panic!("no log line contains {words:?}; other lines: {:?}", self.skipped_lines)
            });
            if line.contains(words) {
                return line;
            }
            self.skipped_lines.push(line);
        }
    }

    fn address(&mut self, words: &str) -> SocketAddr {
        self.wait_for_log(words).rsplit('=').next().unwrap().parse().unwrap()
    }

    pub(crate) fn uwsgi_address(&mut self) -> SocketAddr {
        self.address("frontend: listening: protocol=uwsgi address=")
    }

    pub(crate) fn admin_address(&mut self) -> SocketAddr {
        self.address("admin: listening: address=")
    }

    /// The result of a health check on a connection of its own.
    pub(crate) fn health(&self) -> &'static str {
        let mut check = self.client();
        check.send(STATUS);
        if check.read_line().contains("true") {
            "up"
        } else {
            "down"
        }
    }

    pub(crate) fn client(&self) -> Peer {
        Peer::connect(self.json)
    }

    /// Whether it has logged these words by now.
    pub(crate) fn has_logged(&mut self, words: &str) -> bool {
        self.skipped_lines.extend(self.log.try_iter());
        self.skipped_lines.iter().any(|line| line.contains(words))
    }

    /// Sends SIGTERM.
    pub(crate) fn terminate(&self) {
        self.program.signal(Signal::TERM).unwrap();
    }

    /// Pauses the process, so that all data that arrives meanwhile is there at once when it resumes.
    pub(crate) fn pause(&self) {
        self.program.signal(Signal::STOP).unwrap();
    }

    pub(crate) fn resume(&self) {
        self.program.signal(Signal::CONT).unwrap();
    }

    /// The memory, descriptors and CPU time that the process uses.
    pub(crate) fn usage(&self) -> Usage {
        self.program.usage().unwrap()
    }

    /// Replaces its configuration and sends SIGHUP.
    pub(crate) fn reload(&self, config: &str) {
        self.replace_config(config);
        self.program.signal(Signal::HUP).unwrap();
    }

    /// Replaces its configuration without a signal.
    pub(crate) fn replace_config(&self, config: &str) {
        std::fs::write(&self.files[0], config).unwrap();
    }

    /// Replaces its uwsgi file and sends SIGHUP.
    pub(crate) fn reload_uwsgi_file(&self, text: &str) {
        std::fs::write(&self.files[1], text).unwrap();
        self.program.signal(Signal::HUP).unwrap();
    }

    /// Replaces its fleet file and sends SIGHUP.
    pub(crate) fn reload_fleet_file(&self, text: &str) {
        std::fs::write(self.files.last().unwrap(), text).unwrap();
        self.program.signal(Signal::HUP).unwrap();
    }

    /// Waits until the process has drained and exited with status 0.
    pub(crate) fn assert_clean_exit(mut self) {
        self.wait_for_log("server: drained");
        assert!(self.program.wait().unwrap().success());
    }
}
