//! The sockets of a mutant: connections of clients, the connection to the interpreter, and heartbeats to the
//! registry.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWrite, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::{response, Config, Fault, FinishedRun, Mutant};

/// Maximum number of lines queued for writing on a connection.
const WRITE_QUEUE: usize = 1024;
/// Interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Length of the line end that terminates a body on the interpreter's link, in bytes.
const BODY_END: usize = b"\r\n".len();

/// Serves clients until the connection with the interpreter ends, which is returned as an error.
pub(super) async fn serve(fault: Fault, config: Config) -> io::Result<()> {
    let (reader, mut writer) = TcpStream::connect(config.vm).await?.into_split();
    let (commands, queued_commands) = mpsc::channel::<String>(WRITE_QUEUE);
    let mutant = Mutant::new(fault, commands);
    writer.write_all(b"CONNECT 0\r\n").await?;
    spawn_local(write_lines(writer, queued_commands));
    let listener = TcpListener::bind(config.listen).await?;
    eprintln!("frontend: listening: protocol=JSON-RPC address={}", listener.local_addr()?);
    spawn_local(accept(mutant.clone(), listener));
    spawn_local(send_heartbeats(config.name, config.members));
    receive_notices(&mutant, BufReader::new(reader)).await
}

async fn write_lines(mut writer: impl AsyncWrite + Unpin, mut lines: mpsc::Receiver<String>) {
    while let Some(line) = lines.recv().await {
        if writer.write_all(line.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn accept(mutant: Rc<Mutant>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(serve_client(mutant.clone(), stream));
    }
}

async fn send_heartbeats(name: String, members: SocketAddr) {
    let Ok(socket) = UdpSocket::bind("127.0.0.1:0").await else { return };
    loop {
        // A heartbeat that cannot be sent is ignored, since the next one replaces it.
        let _ = socket.send_to(format!("HB {name} UP").as_bytes(), members).await;
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn serve_client(mutant: Rc<Mutant>, stream: TcpStream) {
    let (reader, writer) = stream.into_split();
    let (answers, queued_answers) = mpsc::channel::<String>(WRITE_QUEUE);
    spawn_local(write_lines(writer, queued_answers));
    let mut input = BufReader::new(reader).lines();
    while let Ok(Some(line)) = input.next_line().await {
        let Ok(request) = serde_json::from_str::<Value>(&line) else { return };
        let id = request["id"].as_u64().unwrap_or_default();
        match request["method"].as_str() {
            // If the write queue is full because the client does not read, this answer is dropped.
            Some("status") => drop(answers.try_send(response(id, &json!({"result": {"up": true}})))),
            Some("withdraw") | None => {}
            Some(class) => mutant.handle_request(id, class, &request["params"], &answers),
        }
    }
}

/// Handles the interpreter's notices until its connection ends.
async fn receive_notices(mutant: &Mutant, mut input: BufReader<OwnedReadHalf>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        match words[..] {
            ["VALUE", _, txn, end, _, length] => {
                let result = read_body(&mut input, length).await?;
                mutant.handle_finished_run(FinishedRun { txn: txn.into(), succeeded: end == "done", result });
            }
            ["AWAIT", notice, txn, length] => {
                read_body(&mut input, length).await?;
                mutant.send_command(format!("STUB {txn} {notice}\r\n"));
            }
            _ => {}
        }
    }
}

/// Reads the body that follows a notice, with its line end. A malformed length counts as 0.
async fn read_body(input: &mut BufReader<OwnedReadHalf>, length: &str) -> io::Result<String> {
    let length = length.parse::<usize>().unwrap_or(0);
    let mut body = vec![0; length + BODY_END];
    input.read_exact(&mut body).await?;
    body.truncate(length);
    Ok(String::from_utf8_lossy(&body).into_owned())
}
