//! A plain node in the program's place, which can be told to break a rule. It shows that the checker sees what breaks,
//! through the sockets and not only in a history that was made up.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};

/// Every so many requests the fault shows.
const EVERY: u64 = 5;
/// Lines that wait on a connection.
const MAX_QUEUED_LINES: usize = 1024;

/// What is wrong with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Nothing,
    /// Keys are not known again.
    DuplicateRun,
    /// Some answers are never given.
    LosesAnswers,
    /// Some answers are given twice.
    DuplicateAnswer,
    /// Some of what ran is refused.
    RefusesWhatRan,
    /// Some get the result of another request.
    MixesResults,
    /// Some bodies reach the interpreter changed.
    ChangesBodies,
}

impl Fault {
    fn named(name: &str) -> Option<Fault> {
        Some(match name {
            "" => Fault::Nothing,
            "runs-twice" => Fault::DuplicateRun,
            "loses-answers" => Fault::LosesAnswers,
            "answers-twice" => Fault::DuplicateAnswer,
            "refuses-what-ran" => Fault::RefusesWhatRan,
            "mixes-results" => Fault::MixesResults,
            "changes-bodies" => Fault::ChangesBodies,
            _ => return None,
        })
    }
}

struct Waiting {
    id: u64,
    key: Option<String>,
    answers: mpsc::Sender<String>,
}

/// A key that ran: its result once there is one, and who waits for it.
type Known = (Option<String>, Vec<Waiting>);

struct Node {
    fault: Fault,
    commands: mpsc::Sender<String>,
    open: RefCell<HashMap<String, Waiting>>,
    keys: RefCell<HashMap<String, Known>>,
    count: Cell<u64>,
    last: RefCell<String>,
}

/// Serves until it is killed, with the fault of this name; without one, there is none.
///
/// # Errors
///
/// Where there is no such fault, the configuration can't be read, or its interpreter is gone.
pub fn serve(config: &Path, name: &str) -> io::Result<()> {
    let fault = Fault::named(name)
        .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidInput, format!("no fault is called {name:?}")))?;
    let config: Value = serde_json::from_str(&std::fs::read_to_string(config)?)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(LocalSet::new().run_until(run(fault, config)))
}

fn address(config: &Value, key: &str) -> io::Result<SocketAddr> {
    let text = config[key].as_str().unwrap_or_default();
    text.parse().map_err(|_| io::Error::new(io::ErrorKind::InvalidInput, format!("{key}: {text:?}")))
}

async fn run(fault: Fault, config: Value) -> io::Result<()> {
    let vm = TcpStream::connect(address(&config, "vm")?).await?;
    let (reader, mut writer) = vm.into_split();
    let (commands, mut queue) = mpsc::channel::<String>(MAX_QUEUED_LINES);
    let node = Rc::new(Node {
        fault,
        commands,
        open: RefCell::default(),
        keys: RefCell::default(),
        count: Cell::new(0),
        last: RefCell::default(),
    });
    writer.write_all(b"CONNECT 0\r\n").await?;
    spawn_local(async move {
        while let Some(command) = queue.recv().await {
            if writer.write_all(command.as_bytes()).await.is_err() {
                return;
            }
        }
    });
    let listener = TcpListener::bind(address(&config, "listen")?).await?;
    eprintln!("frontend: listening: protocol=JSON-RPC address={}", listener.local_addr()?);
    let taking = node.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(taking.clone().client(stream));
        }
    });
    let (members, name) =
        (address(&config, "members")?, config["name"].as_str().unwrap_or_default().to_string());
    spawn_local(async move {
        let Ok(socket) = UdpSocket::bind("127.0.0.1:0").await else { return };
        loop {
            // A report that is lost is made up for by the next.
            let _ = socket.send_to(format!("HB {name} UP").as_bytes(), members).await;
            tokio::time::sleep(std::time::Duration::from_millis(300)).await;
        }
    });
    node.notices(BufReader::new(reader)).await
}

impl Node {
    /// Whether the fault shows this time.
    fn shows(&self, fault: Fault) -> bool {
        self.fault == fault && self.count.replace(self.count.get() + 1) % EVERY == EVERY - 1
    }

    async fn client(self: Rc<Self>, stream: TcpStream) {
        let (reader, mut writer) = stream.into_split();
        let (answers, mut lines) = mpsc::channel::<String>(MAX_QUEUED_LINES);
        spawn_local(async move {
            while let Some(line) = lines.recv().await {
                if writer.write_all(line.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
        let mut input = BufReader::new(reader).lines();
        while let Ok(Some(line)) = input.next_line().await {
            let Ok(request) = serde_json::from_str::<Value>(&line) else { return };
            let id = request["id"].as_u64().unwrap_or_default();
            match request["method"].as_str() {
                Some("status") => drop(answers.try_send(response(id, &json!({"result": {"up": true}})))),
                Some("withdraw") | None => {}
                Some(class) => self.request(id, class, &request["params"], &answers),
            }
        }
    }

    fn request(&self, id: u64, class: &str, params: &Value, answers: &mpsc::Sender<String>) {
        let text = |key: &str| params[key].as_str().unwrap_or_default().to_string();
        let (txn, key) = (text("txn"), params["unique"].as_str().map(String::from));
        let waiting = Waiting { id, key: key.clone(), answers: answers.clone() };
        let body = BASE64.decode(text("content")).unwrap_or_default();
        let mut body = String::from_utf8_lossy(&body).into_owned();
        if let Some(key) = key.filter(|_| self.fault != Fault::DuplicateRun) {
            let mut keys = self.keys.borrow_mut();
            match keys.get_mut(&key) {
                Some((Some(result), _)) => return answer(&waiting, Some(result)),
                Some((None, joined)) => return joined.push(waiting),
                None => drop(keys.insert(key, (None, Vec::new()))),
            }
        }
        if self.shows(Fault::ChangesBodies) {
            body.push(' ');
        }
        self.open.borrow_mut().insert(txn.clone(), waiting);
        self.command(format!("APPLY {txn} {class} {}\r\n{body}\r\n", body.len()));
    }

    fn command(&self, text: String) {
        // A queue that is full loses the command, which the checker will see.
        let _ = self.commands.try_send(text);
    }

    async fn notices(&self, mut input: BufReader<tokio::net::tcp::OwnedReadHalf>) -> io::Result<()> {
        loop {
            let mut line = String::new();
            if input.read_line(&mut line).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            match words[..] {
                ["VALUE", _, txn, end, _, length] => {
                    let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                    input.read_exact(&mut body).await?;
                    body.truncate(body.len() - 2);
                    self.ended(txn, end, String::from_utf8_lossy(&body).into_owned());
                }
                ["AWAIT", notice, txn, length] => {
                    let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                    input.read_exact(&mut body).await?;
                    self.command(format!("STUB {txn} {notice}\r\n"));
                }
                _ => {}
            }
        }
    }

    fn ended(&self, txn: &str, end: &str, result: String) {
        let Some(waiting) = self.open.borrow_mut().remove(txn) else { return };
        let done = (end == "done").then_some(&result);
        if let (Some(key), Some(result)) = (&waiting.key, done) {
            if let Some((kept, joined)) = self.keys.borrow_mut().get_mut(key) {
                *kept = Some(result.clone());
                joined.drain(..).for_each(|waiting| answer(&waiting, Some(result)));
            }
        }
        let before = self.last.replace(result.clone());
        if self.shows(Fault::LosesAnswers) {
        } else if self.shows(Fault::RefusesWhatRan) {
            drop(
                waiting.answers.try_send(response(
                    waiting.id,
                    &json!({"error": {"code": -32011, "message": "not now"}}),
                )),
            );
        } else if self.shows(Fault::MixesResults) {
            answer(&waiting, Some(&before));
        } else {
            answer(&waiting, done);
            if self.shows(Fault::DuplicateAnswer) {
                answer(&waiting, done);
            }
        }
    }
}

fn response(id: u64, what: &Value) -> String {
    let mut message = json!({"jsonrpc": "2.0", "id": id});
    for (key, value) in what.as_object().into_iter().flatten() {
        message[key] = value.clone();
    }
    format!("{message}\n")
}

fn answer(waiting: &Waiting, result: Option<&String>) {
    let what = match result {
        Some(result) => json!({"result": {"content": BASE64.encode(result)}}),
        None => json!({"error": {"code": -32000, "message": "failed"}}),
    };
    // A client that has gone is owed nothing.
    let _ = waiting.answers.try_send(response(waiting.id, &what));
}
