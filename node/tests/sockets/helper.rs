//! Starts the program as a process and stands in for its clients, backends and services. Everything waits for events; the
//! only time limit turns a test that would hang into one that fails.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

use oakwind_fault_harness::process::{Program, Signal, Usage};
pub(crate) use oakwind_fault_harness::wire::DRAINING;
use oakwind_fault_harness::wire::{self, STATUS};

pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// An address at which nobody listens; no test that asks for any port gets this one.
pub(crate) const UNREACHABLE: &str = "127.0.0.1:1";

/// Two classes whose runs make calls; their times are too long to matter where a test does not change them.
const SETTINGS: &str = r#"{"services": [
    {"name": "quote", "slo": 60000000, "deadline": 120000000, "effect": "repeatable"},
    {"name": "book", "slo": 60000000, "deadline": 120000000, "effect": "by_key", "window": 120000000,
     "worth": 2.0, "lateWorth": 0.2}],
  "specifics": {"cores": 2, "memoryKb": 100000.0, "runFactor": 8.0, "entryKb": 1.0, "dependsOn": "tier",
     "classCalls": [true, true], "classSkipWorth": [0.5, 0.0], "idle": 30000000, "passesDeadline": true,
     "preemption": "pause", "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"]},
  "safety": {"drainGrace": 200000, "fallMultiple": 8.0},
  "limits": {"maxRetryAfter": 1000000, "retryAfter": true},
  "tenants": [{"name": "acme", "quotaPerS": 100.0}], "servers": 1, "tick": 4000}"#;

pub(crate) fn now_ms() -> u64 {
    oakwind_fault_harness::clock::unix_now().as_millis() as u64
}

/// Writes a file for one test, in cargo's own folder.
pub(crate) fn file(name: &str, text: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let path =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{number}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

/// A configuration with further keys, each with a comma after it.
pub(crate) fn config(links: &str) -> String {
    format!(
        r#"{{"name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f", "stop_ms": 30000, {links} "settings": {SETTINGS}}}"#
    )
}

pub(crate) fn oakwind(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_oakwind"));
    command.args(arguments).env_remove("BALANCER_CONFIG").env_remove("TMPDIR").stdin(Stdio::null());
    command
}

pub(crate) fn output(arguments: &[&str]) -> Output {
    oakwind(arguments).output().unwrap()
}

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

    /// Starts a node without waiting. `folder` is the folder that it shares with another process, if any.
    pub(crate) fn spawn(config: &str, uwsgi: Option<&str>, folder: Option<&Path>) -> Node {
        Node::spawn_with(config, uwsgi, folder, None)
    }

    /// The same with the text of a result store file.
    pub(crate) fn spawn_with(
        config: &str,
        uwsgi: Option<&str>,
        folder: Option<&Path>,
        remembered: Option<&str>,
    ) -> Node {
        let remembered = remembered.map(|text| ("--remembered", file("remembered.toml", text)));
        Node::spawn_with_file(config, uwsgi, folder, remembered)
    }

    /// Starts a node with both frontends and a decision log in a folder.
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

    /// Starts a node with both frontends and the text of a fleet file.
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

    /// Starts the program by a command.
    pub(crate) fn from_command(mut command: Command) -> Node {
        let (sender, log) = channel();
        // A test that has ended does not receive any more.
        let program = Program::start(&mut command, move |line| drop(sender.send(line))).unwrap();
        Node { program, log, skipped_lines: Vec::new(), files: Vec::new(), json: ([127, 0, 0, 1], 0).into() }
    }

    /// Waits until it accepts JSON-RPC clients.
    pub(crate) fn wait_until_listening(&mut self) {
        self.json = self.address("frontend: listening: protocol=JSON-RPC address=");
    }

    /// A node with a stand-in interpreter whose link is up.
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
            let line = self
                .log
                .recv_timeout(TEST_TIMEOUT)
                .unwrap_or_else(|_| panic!("{words:?} not in {:?}", self.skipped_lines));
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

    /// Pauses the process, so that whatever arrives meanwhile arrives in one moment for it.
    pub(crate) fn pause(&self) {
        self.program.signal(Signal::STOP).unwrap();
    }

    /// Resumes the process.
    pub(crate) fn resume(&self) {
        self.program.signal(Signal::CONT).unwrap();
    }

    /// The memory, descriptors and time that it uses.
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

    /// Waits until it has drained and ended with status 0.
    pub(crate) fn assert_clean_exit(mut self) {
        self.wait_for_log("server: drained");
        assert!(self.program.wait().unwrap().success());
    }
}

/// A stand-in that the program connects to.
pub(crate) struct Server {
    listener: TcpListener,
    pub address: SocketAddr,
}

impl Server {
    pub(crate) fn new() -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        Server { address: listener.local_addr().unwrap(), listener }
    }

    pub(crate) fn accept(&self) -> Peer {
        let (listener, (sender, accepted)) = (self.listener.try_clone().unwrap(), channel());
        std::thread::spawn(move || sender.send(listener.accept().unwrap().0));
        Peer::new(accepted.recv_timeout(TEST_TIMEOUT).expect("nobody connects"))
    }

    /// As an interpreter that has been up for long: accepts the next link, which has read notices up to `notice`.
    pub(crate) fn interpreter(&self, notice: &str) -> Peer {
        let mut link = self.accept();
        assert_eq!(link.read_line(), format!("CONNECT {notice}"));
        link.send(wire::banner(false, 10));
        link
    }

    /// As a uwsgi server: the next request, its variables, sorted and without those that vary, and its body.
    pub(crate) fn next_uwsgi_request(&self) -> (Peer, Vec<String>, Vec<u8>) {
        let mut peer = self.accept();
        let head = peer.read_bytes(4);
        let mut block = &peer.read_bytes(usize::from(u16::from_le_bytes([head[1], head[2]])))[..];
        let mut parts = Vec::new();
        while let [low, high, rest @ ..] = block {
            let (part, rest) = rest.split_at(usize::from(u16::from_le_bytes([*low, *high])));
            parts.push(String::from_utf8(part.to_vec()).unwrap());
            block = rest;
        }
        let mut vars: Vec<String> = parts.chunks(2).map(|pair| pair.join("=")).collect();
        let length = vars.iter().find_map(|v| v.strip_prefix("CONTENT_LENGTH=")).unwrap().parse().unwrap();
        let body = peer.read_bytes(length);
        vars.retain(|v| !v.starts_with("HTTP_X_DEADLINE") && !v.starts_with("HTTP_X_REQUEST_ID"));
        vars.sort();
        (peer, vars, body)
    }
}

/// One end of a connection with the program.
pub(crate) struct Peer {
    stream: BufReader<TcpStream>,
}

impl Peer {
    fn new(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Peer { stream: BufReader::new(stream) }
    }

    pub(crate) fn connect(address: SocketAddr) -> Peer {
        Peer::new(TcpStream::connect(address).unwrap())
    }

    /// A client for which the system buffers little that it has not read.
    pub(crate) fn with_small_receive_buffer(address: SocketAddr) -> Peer {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let stream = runtime.block_on(async {
            let socket = tokio::net::TcpSocket::new_v4().unwrap();
            socket.set_recv_buffer_size(4096).unwrap();
            socket.connect(address).await.unwrap().into_std().unwrap()
        });
        stream.set_nonblocking(false).unwrap();
        Peer::new(stream)
    }

    /// Sends something; whether the program still accepts it on this connection.
    pub(crate) fn accepts(&mut self, text: impl AsRef<[u8]>) -> bool {
        self.stream.get_mut().write_all(text.as_ref()).is_ok()
    }

    pub(crate) fn send(&mut self, text: impl AsRef<[u8]>) {
        self.stream.get_mut().write_all(text.as_ref()).unwrap();
    }

    /// The next line without its end; empty at the end of the stream. The notification `draining`, which a connection may get
    /// at any time where a slow machine leaves it idle, is skipped.
    pub(crate) fn read_line(&mut self) -> String {
        loop {
            let line = self.read_any_line();
            if line != DRAINING {
                return line;
            }
        }
    }

    /// The next line, the notification `draining` included.
    pub(crate) fn read_any_line(&mut self) -> String {
        let mut line = String::new();
        self.stream.read_line(&mut line).unwrap();
        line.trim_end().to_string()
    }

    pub(crate) fn read_bytes(&mut self, length: usize) -> Vec<u8> {
        let mut bytes = vec![0; length];
        self.stream.read_exact(&mut bytes).unwrap();
        bytes
    }

    /// Everything up to the end of the stream.
    pub(crate) fn read_to_end(&mut self) -> String {
        let mut rest = String::new();
        self.stream.read_to_string(&mut rest).unwrap();
        rest
    }

    /// Whether the program has closed this connection, cleanly or not, without sending more.
    pub(crate) fn is_closed(&mut self) -> bool {
        uninterrupted(|| self.stream.read(&mut [0])).is_ok_and(|n| n == 0)
    }

    /// As an interpreter: the next command that does not ask for gauges, with its body. Questions for gauges get a response.
    pub(crate) fn next_command(&mut self) -> (Vec<String>, String) {
        // Gauges are asked for all the time, so the guard on each read is not enough.
        let guard = Instant::now() + TEST_TIMEOUT;
        while Instant::now() < guard {
            let line = self.read_line();
            let words: Vec<String> = line.split(' ').map(String::from).collect();
            let named: Vec<&str> = words.iter().map(String::as_str).collect();
            match wire::body_length(&named) {
                Some(length) => {
                    let body = self.read_bytes(length + 2);
                    return (words, String::from_utf8_lossy(&body[..length]).into_owned());
                }
                None if words[0] == "TOP" => self.send(wire::tops(&words[1], &[0.5, 1.0, 0.1, 3.0])),
                None => return (words, String::new()),
            }
        }
        panic!("no command comes");
    }

    /// As an interpreter: the next command, which is to start a run; returns the id, the class and the body.
    pub(crate) fn next_run(&mut self) -> (String, String, String) {
        let (words, body) = self.next_command();
        assert_eq!(words[0], "APPLY", "{words:?}");
        (words[1].clone(), words[2].clone(), body)
    }

    pub(crate) fn send_run_result(&mut self, notice: u32, id: &str, end: &str, result: &str) {
        self.send(wire::value(notice.into(), id, end, 5, result));
    }

    /// As a client: sends a request with the body `body`; a key makes it one of class `book`.
    pub(crate) fn request(&mut self, id: u32, txn: &str, key: Option<&str>, limit_ms: u32) {
        self.request_followed_by(id, txn, key, limit_ms, "");
    }

    /// The same with more lines in the same write.
    pub(crate) fn request_followed_by(
        &mut self,
        id: u32,
        txn: &str,
        key: Option<&str>,
        limit_ms: u32,
        more: &str,
    ) {
        let class = if key.is_some() { "book" } else { "quote" };
        self.send(request(id, txn, class, key, limit_ms) + more);
    }
}

/// A request of any class, as a client writes it.
pub(crate) fn request(id: u32, txn: &str, class: &str, key: Option<&str>, limit_ms: u32) -> String {
    let request = wire::Request {
        id: id.into(),
        txn,
        class,
        door: now_ms(),
        front: 1,
        team: "acme",
        limit: limit_ms.into(),
        cpu: 1.5,
        ram: 24.5,
        key,
        content: "Ym9keQ==",
    };
    request.to_string()
}

/// A uwsgi file with nothing but the frontend.
pub(crate) const UWSGI: &str = "listen = '127.0.0.1:0'\n";

/// As an operator: the complete response to a call.
pub(crate) fn admin_call(ops: SocketAddr, call: &str) -> String {
    let mut peer = Peer::connect(ops);
    peer.send(format!("{call} HTTP/1.1\r\nHost: node\r\n\r\n"));
    peer.read_to_end()
}

/// A complete request, as a uwsgi client sends it.
pub(crate) fn packet(vars: &[(&str, &str)], body: &str) -> Vec<u8> {
    let length = body.len().to_string();
    let mut block = Vec::new();
    for (name, value) in vars.iter().chain([&("CONTENT_LENGTH", &length[..])]) {
        for part in [name, value] {
            block.extend((part.len() as u16).to_le_bytes());
            block.extend(part.as_bytes());
        }
    }
    let [low, high] = (block.len() as u16).to_le_bytes();
    [&[0, low, high, 0], &block[..], body.as_bytes()].concat()
}

pub(crate) fn bind_udp(address: &str) -> UdpSocket {
    let socket = UdpSocket::bind(address).unwrap();
    socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    socket
}

/// The next datagram.
pub(crate) fn next_datagram(socket: &UdpSocket) -> Vec<u8> {
    let mut bytes = [0; 2048];
    let length = uninterrupted(|| socket.recv(&mut bytes)).unwrap();
    bytes[..length].to_vec()
}

/// Repeats a read that was interrupted, as reads with a time limit are where the machine is suspended.
fn uninterrupted<T>(mut read: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match read() {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

pub(crate) const LONG_LIMIT_MS: u32 = 100_000;
