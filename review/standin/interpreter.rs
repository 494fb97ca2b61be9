//! A stand-in for the interpreter. It runs every request for a fixed time and counts the runs of each body.

use std::collections::{HashMap, HashSet};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;

/// The runs that any interpreter of this case started, by body.
pub type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// How long the interpreter has been up when the case starts.
const UPTIME_MS: u128 = 100_000;

struct Notice {
    number: u64,
    bytes: Vec<u8>,
}

#[derive(Default)]
struct State {
    /// The link in use; each new one replaces it.
    link: Option<TcpStream>,
    /// The ids of all requests whose run was started here.
    started: HashSet<String>,
    notices: Vec<Notice>,
}

/// One address of an interpreter, with its own numbers of notices.
pub struct Interpreter {
    name: &'static str,
    run_time: Duration,
    up_since: Instant,
    runs: Runs,
    record: Arc<Record>,
    silence: Silence,
    state: Mutex<State>,
}

/// The time until which an interpreter takes commands and answers none. All its addresses share it.
#[derive(Clone, Default)]
pub struct Silence(Arc<Mutex<Option<Instant>>>);

impl Silence {
    pub fn begin(&self, length: Duration) {
        *self.0.lock().unwrap() = Some(Instant::now() + length);
    }

    fn wait_for_end(&self) {
        let until = *self.0.lock().unwrap();
        if let Some(until) = until {
            thread::sleep(until.saturating_duration_since(Instant::now()));
        }
    }
}

impl Interpreter {
    /// Opens an address of an interpreter and serves links to it.
    pub fn start(
        name: &'static str,
        run_time: Duration,
        runs: &Runs,
        record: &Arc<Record>,
        silence: &Silence,
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let interpreter = Arc::new(Interpreter {
            name,
            run_time,
            up_since: Instant::now(),
            runs: runs.clone(),
            record: record.clone(),
            silence: silence.clone(),
            state: Mutex::default(),
        });
        thread::spawn(move || {
            for link in listener.incoming().flatten() {
                let interpreter = interpreter.clone();
                // A link that breaks is replaced by the node's next one.
                thread::spawn(move || drop(interpreter.serve(link)));
            }
        });
        Ok(address)
    }

    fn serve(self: Arc<Self>, mut link: TcpStream) -> io::Result<()> {
        link.set_nodelay(true)?;
        let mut input = BufReader::new(link.try_clone()?);
        let mut line = String::new();
        loop {
            line.clear();
            if input.read_line(&mut line)? == 0 {
                return Ok(());
            }
            self.silence.wait_for_end();
            let words: Vec<&str> = line.split_whitespace().collect();
            match words[..] {
                ["CONNECT", last] => self.connect(&link, last.parse().unwrap_or(0))?,
                ["TOP", tag] => write!(link, "TOPS {tag} 0.2000 1.0000 0.1000 3.0000\r\n")?,
                ["APPLY", id, class, length] => {
                    let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                    input.read_exact(&mut body)?;
                    body.truncate(body.len() - 2);
                    self.clone().apply(id, class, &String::from_utf8_lossy(&body));
                }
                // A sound run of these cases is neither stopped nor waits for a call.
                _ => self.record.line(&format!("{}: ignored {}", self.name, line.trim_end())),
            }
        }
    }

    fn connect(&self, link: &TcpStream, last: u64) -> io::Result<()> {
        let mut state = self.state.lock().unwrap();
        if let Some(previous) = state.link.replace(link.try_clone()?) {
            let _ = previous.shutdown(Shutdown::Both);
        }
        let mut output = link;
        write!(output, "BANNER seasoned {}\r\n", UPTIME_MS + self.up_since.elapsed().as_millis())?;
        for notice in state.notices.iter().filter(|notice| notice.number > last) {
            output.write_all(&notice.bytes)?;
        }
        Ok(())
    }

    /// Starts the run of a request, unless it was started before.
    fn apply(self: Arc<Self>, id: &str, class: &str, body: &str) {
        if !self.state.lock().unwrap().started.insert(id.to_string()) {
            return;
        }
        let number = {
            let mut runs = self.runs.lock().unwrap();
            let count = runs.entry(body.to_string()).or_default();
            *count += 1;
            *count
        };
        self.record.line(&format!("{}: run {number} of {class} {body} starts, txn {id}", self.name));
        let (id, result) = (id.to_string(), format!("{body}, from run {number}"));
        thread::spawn(move || {
            thread::sleep(self.run_time);
            self.silence.wait_for_end();
            self.record.line(&format!("{}: run of txn {id} is done: {result}", self.name));
            self.end(&id, &result);
        });
    }

    fn end(&self, id: &str, result: &str) {
        let mut state = self.state.lock().unwrap();
        let number = state.notices.len() as u64 + 1;
        let took = self.run_time.as_millis();
        let bytes = format!("VALUE {number} {id} done {took} {}\r\n{result}\r\n", result.len()).into_bytes();
        if let Some(mut link) = state.link.as_ref() {
            // A notice that can't be sent now is sent on the next link.
            let _ = link.write_all(&bytes);
        }
        state.notices.push(Notice { number, bytes });
    }
}
