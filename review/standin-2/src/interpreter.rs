//! The interpreter: runs what it is told for as long as the body says (`run=MS`), and numbers its notices.
//! No run makes a call.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};

use crate::record::Record;
use crate::{sleep_ms, unix_ms};

/// A run that was started.
#[derive(Debug, Clone)]
pub struct Run {
    pub txn: String,
    pub class: String,
    pub body: String,
    pub started_at: u64,
    pub ended: bool,
}

#[derive(Default)]
struct State {
    link: Option<TcpStream>,
    notices: Vec<Vec<u8>>,
    runs: Vec<Run>,
    by_txn: HashMap<String, usize>,
}

/// An interpreter that listens on a loopback address.
#[derive(Clone)]
pub struct Interpreter {
    pub address: SocketAddr,
    name: String,
    state: Arc<Mutex<State>>,
    started_at: u64,
    record: Record,
}

impl Interpreter {
    /// Starts an interpreter.
    pub fn start(name: &str, record: &Record) -> Interpreter {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port on loopback");
        let interpreter = Interpreter {
            address: listener.local_addr().expect("the address of a listener"),
            name: name.to_string(),
            state: Arc::default(),
            started_at: unix_ms(),
            record: record.clone(),
        };
        let acceptor = interpreter.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let link = acceptor.clone();
                std::thread::spawn(move || link.serve(stream));
            }
        });
        interpreter
    }

    /// All runs that were started, in their order.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().expect("state").runs.clone()
    }

    /// The runs with this body.
    pub fn runs_of(&self, body: &str) -> Vec<Run> {
        self.runs().into_iter().filter(|run| run.body == body).collect()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reader) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reader);
        let mut line = String::new();
        while reader.read_line(&mut line).is_ok_and(|bytes| bytes > 0) {
            let words: Vec<&str> = line.split_whitespace().collect();
            match words[..] {
                ["CONNECT", after] => self.connect(&stream, after.parse().unwrap_or(0)),
                ["APPLY", txn, class, length] => {
                    let Some(body) = read_body(&mut reader, length) else { return };
                    self.apply(txn, class, body);
                }
                ["BREAK", txn] => self.end(txn, "aborted", ""),
                // No run here asks for a call or is paused.
                ["RESOLVE", _, length] => {
                    let Some(_) = read_body(&mut reader, length) else { return };
                }
                ["CONTINUE", _] | ["STUB", _, _] => {}
                ["TOP", tag] => {
                    let busy = self.state.lock().expect("state").runs.iter().filter(|run| !run.ended).count();
                    let share = (busy as f64 / 6.0).min(1.0);
                    self.write(&stream, format!("TOPS {tag} {share:.3} {busy} 0.1 4\r\n").as_bytes());
                }
                _ => return,
            }
            line.clear();
        }
    }

    fn connect(&self, stream: &TcpStream, after: usize) {
        let mut state = self.state.lock().expect("state");
        let banner = format!("BANNER seasoned {}\r\n", unix_ms() - self.started_at);
        self.write(stream, banner.as_bytes());
        for notice in state.notices.iter().skip(after) {
            self.write(stream, notice);
        }
        state.link = stream.try_clone().ok();
    }

    fn write(&self, mut stream: &TcpStream, bytes: &[u8]) {
        let _ = stream.write_all(bytes);
    }

    fn apply(&self, txn: &str, class: &str, body: String) {
        let mut state = self.state.lock().expect("state");
        if let Some(index) = state.by_txn.get(txn) {
            // For a request that runs already nothing happens; one that is over is not started again.
            if state.runs[*index].ended {
                notify(&mut state, |n| format!("VALUE {n} {txn} stale 0 0\r\n\r\n"));
            }
            return;
        }
        self.record.line(&format!("interpreter {}: RUN txn={txn} {class} body={body}", self.name));
        let index = state.runs.len();
        state.by_txn.insert(txn.to_string(), index);
        let (txn, class) = (txn.to_string(), class.to_string());
        let run_ms = run_ms(&body);
        state.runs.push(Run {
            txn: txn.clone(),
            class,
            body: body.clone(),
            started_at: unix_ms(),
            ended: false,
        });
        drop(state);
        let interpreter = self.clone();
        std::thread::spawn(move || {
            sleep_ms(run_ms);
            interpreter.end(&txn, "done", &format!("made for {txn} from {body}"));
        });
    }

    fn end(&self, txn: &str, how: &str, result: &str) {
        let mut state = self.state.lock().expect("state");
        let Some(index) = state.by_txn.get(txn).copied() else { return };
        if std::mem::replace(&mut state.runs[index].ended, true) {
            return;
        }
        let ms = unix_ms() - state.runs[index].started_at;
        self.record.line(&format!("interpreter {}: END txn={txn} {how} after {ms} ms", self.name));
        notify(&mut state, |n| format!("VALUE {n} {txn} {how} {ms} {}\r\n{result}\r\n", result.len()));
    }
}

fn notify(state: &mut State, text: impl FnOnce(usize) -> String) {
    let notice = text(state.notices.len() + 1).into_bytes();
    if let Some(link) = &mut state.link {
        let _ = link.write_all(&notice);
    }
    state.notices.push(notice);
}

fn read_body(reader: &mut impl Read, length: &str) -> Option<String> {
    let mut body = vec![0; length.parse::<usize>().ok()? + 2];
    reader.read_exact(&mut body).ok()?;
    body.truncate(body.len() - 2);
    String::from_utf8(body).ok()
}

/// The time that a body asks for, in milliseconds.
fn run_ms(body: &str) -> u64 {
    let text = body.split("run=").nth(1).unwrap_or("20");
    let end = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    text[..end].parse().unwrap_or(20)
}

/// A membership service that reads reports.
pub fn start_members() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port on loopback");
    let address = socket.local_addr().expect("the address of a socket");
    std::thread::spawn(move || {
        let mut buffer = [0; 2048];
        while socket.recv_from(&mut buffer).is_ok() {}
    });
    address
}
