//! Stand-ins for the clients, backends and services of the program.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::time::Instant;

use oakwind_fault_harness::wire;

use super::{request, uninterrupted, DRAINING, TEST_TIMEOUT};

/// A listening stand-in for a backend or service to which the program connects.
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
        Peer::new(accepted.recv_timeout(TEST_TIMEOUT).expect("the program connects within the time limit"))
    }

    /// Accepts the next link as an interpreter that has been up for long, and asserts that the program has
    /// read its notices up to `notice`.
    pub(crate) fn interpreter(&self, notice: &str) -> Peer {
        let mut link = self.accept();
        assert_eq!(link.read_line(), format!("CONNECT {notice}"));
        link.send(wire::banner(false, 10));
        link
    }

    /// Accepts the next request as a uwsgi server. Returns its connection, its variables (sorted, without
    /// those that vary between runs) and its body.
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

    /// Connects a client with a small receive buffer, so that the system holds little unread data for it.
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

    /// Sends data and returns whether the connection still accepts it.
    pub(crate) fn accepts(&mut self, text: impl AsRef<[u8]>) -> bool {
        self.stream.get_mut().write_all(text.as_ref()).is_ok()
    }

    pub(crate) fn send(&mut self, text: impl AsRef<[u8]>) {
        self.stream.get_mut().write_all(text.as_ref()).unwrap();
    }

    /// Reads the next line without its line end; empty at the end of the stream. Skips the notification
    /// `draining`, which a connection may get at any time when a slow machine leaves it idle.
    pub(crate) fn read_line(&mut self) -> String {
        loop {
            let line = self.read_any_line();
            if line != DRAINING {
                return line;
            }
        }
    }

    /// Reads the next line, including the notification `draining`.
    pub(crate) fn read_any_line(&mut self) -> String {
        let mut line = String::new();
        self.stream.read_line(&mut line).unwrap();
        line.trim_end().to_string()
    }

    /// Reads the next line without its line end; none at the end of the stream, clean or not.
    pub(crate) fn next_line(&mut self) -> Option<String> {
        let mut line = String::new();
        let bytes = self.stream.read_line(&mut line).ok()?;
        (bytes > 0).then(|| line.trim_end().to_string())
    }

    pub(crate) fn read_bytes(&mut self, length: usize) -> Vec<u8> {
        let mut bytes = vec![0; length];
        self.stream.read_exact(&mut bytes).unwrap();
        bytes
    }

    /// Reads everything up to the end of the stream.
    pub(crate) fn read_to_end(&mut self) -> String {
        let mut rest = String::new();
        self.stream.read_to_string(&mut rest).unwrap();
        rest
    }

    /// Whether the program has closed this connection, cleanly or not, without sending more.
    pub(crate) fn is_closed(&mut self) -> bool {
        uninterrupted(|| self.stream.read(&mut [0])).is_ok_and(|n| n == 0)
    }

    /// Reads the next command as an interpreter, with its body. Requests for gauges get a response and are
    /// skipped.
    pub(crate) fn next_command(&mut self) -> (Vec<String>, String) {
        // Gauges are requested all the time, so the time limit of each read does not bound this loop.
        let give_up_at = Instant::now() + TEST_TIMEOUT;
        while Instant::now() < give_up_at {
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
        panic!("no command other than requests for gauges within {TEST_TIMEOUT:?}");
    }

    /// Reads the next command as an interpreter, asserts that it starts a run, and returns the id, the class
    /// and the body.
    pub(crate) fn next_run(&mut self) -> (String, String, String) {
        let (words, body) = self.next_command();
        assert_eq!(words[0], "APPLY", "{words:?}");
        (words[1].clone(), words[2].clone(), body)
    }

    pub(crate) fn send_run_result(&mut self, notice: u32, id: &str, end: &str, result: &str) {
        self.send(wire::value(notice.into(), id, end, 5, result));
    }

    /// Sends a request with the body `body` as a client: of class `book` with a key, of class `quote` without
    /// one.
    pub(crate) fn request(&mut self, id: u32, txn: &str, key: Option<&str>, limit_ms: u32) {
        self.request_followed_by(id, txn, key, limit_ms, "");
    }

    /// Like [`Peer::request`], with further lines in the same write.
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
