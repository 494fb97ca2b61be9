//! A minimal uwsgi server, and a minimal client for both frontends, to try out a node:
//!
//!     cargo run --example toy -- serve 127.0.0.1:3032
//!     cargo run --example toy -- uwsgi 127.0.0.1:3031 book my-key
//!     cargo run --example toy -- json 127.0.0.1:4100 quote

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The body of every request. It is constant because all attempts with one idempotency key must carry the same body.
const REQUEST_BODY: &str = "hello";
/// Time that the server takes for each request.
const WORK_DURATION: Duration = Duration::from_millis(200);

fn main() -> io::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match arguments[..] {
        ["serve", address] => serve(address),
        ["uwsgi", address, class, ref key @ ..] => send_uwsgi(address, class, key.first().copied()),
        ["json", address, class, ref key @ ..] => send_json(address, class, key.first().copied()),
        _ => {
            eprintln!("toy serve ADDRESS | toy uwsgi ADDRESS CLASS [KEY] | toy json ADDRESS CLASS [KEY]");
            std::process::exit(2)
        }
    }
}

/// Accepts connections until it is killed, and serves one request on each.
fn serve(address: &str) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    println!("toy server at {}", listener.local_addr()?);
    for (count, stream) in (1..).zip(listener.incoming()) {
        let stream = stream?;
        std::thread::spawn(move || {
            if let Err(error) = respond(stream, count) {
                eprintln!("request {count} failed: {error}");
            }
        });
    }
    Ok(())
}

/// Reads one uwsgi request and responds with its path and the number of the run.
fn respond(mut stream: TcpStream, count: u32) -> io::Result<()> {
    let mut head = [0; 4];
    stream.read_exact(&mut head)?;
    let mut block = vec![0; usize::from(u16::from_le_bytes([head[1], head[2]]))];
    stream.read_exact(&mut block)?;
    let variables = parse_variables(&block);
    let variable = |name: &str| variables.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value);
    let mut body = vec![0; variable("CONTENT_LENGTH").parse().unwrap_or(0)];
    stream.read_exact(&mut body)?;
    println!(
        "request {count}: {} key {:?}, {} bytes",
        variable("PATH_INFO"),
        variable("HTTP_IDEMPOTENCY_KEY"),
        body.len()
    );
    std::thread::sleep(WORK_DURATION);
    let result = format!("{} done as run {count}", variable("PATH_INFO"));
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{result}", result.len())
}

/// Decodes the variables of a uwsgi packet: alternating names and values, each preceded by its length in two bytes.
fn parse_variables(mut block: &[u8]) -> Vec<(String, String)> {
    let mut parts = Vec::new();
    while let [low, high, rest @ ..] = block {
        let (part, rest) = rest.split_at(rest.len().min(usize::from(u16::from_le_bytes([*low, *high]))));
        parts.push(String::from_utf8_lossy(part).into_owned());
        block = rest;
    }
    parts.chunks_exact(2).map(|pair| (pair[0].clone(), pair[1].clone())).collect()
}

/// Sends one request over uwsgi and prints the response.
fn send_uwsgi(address: &str, class: &str, key: Option<&str>) -> io::Result<()> {
    let path = format!("/{class}");
    let mut variables = vec![("REQUEST_METHOD", "POST"), ("PATH_INFO", &path), ("HTTP_X_TENANT", "acme")];
    let length = REQUEST_BODY.len().to_string();
    variables.push(("CONTENT_LENGTH", &length));
    variables.extend(key.map(|key| ("HTTP_IDEMPOTENCY_KEY", key)));
    let mut block = Vec::new();
    for part in variables.iter().flat_map(|(name, value)| [name, value]) {
        block.extend((part.len() as u16).to_le_bytes());
        block.extend(part.as_bytes());
    }
    let [low, high] = (block.len() as u16).to_le_bytes();
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(&[&[0, low, high, 0], &block[..], REQUEST_BODY.as_bytes()].concat())?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    println!("{response}");
    Ok(())
}

/// Sends one request over JSON-RPC and prints the response.
fn send_json(address: &str, class: &str, key: Option<&str>) -> io::Result<()> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let (received_at, txn) = (now.as_millis(), format!("{:016x}", now.as_nanos() as u64));
    let unique = key.map_or(String::new(), |key| format!(r#","unique":"{key}""#));
    let mut stream = TcpStream::connect(address)?;
    writeln!(
        stream,
        r#"{{"jsonrpc":"2.0","id":1,"method":"{class}","params":{{"txn":"{txn}","door":{received_at},"lb":1,"team":"acme","limit":3000,"cpu":200,"ram":24.5,"standing":0.5{unique},"content":"aGVsbG8="}}}}"#
    )?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    print!("{line}");
    Ok(())
}
