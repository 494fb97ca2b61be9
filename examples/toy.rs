//! A toy uwsgi server, and a toy client for both fronts, to try a node with:
//!
//!     cargo run --example toy -- serve 127.0.0.1:3032
//!     cargo run --example toy -- uwsgi 127.0.0.1:3031 book my-key
//!     cargo run --example toy -- json 127.0.0.1:4100 quote

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// What both clients ask with: all tries of one key carry the same body.
const BODY: &str = "hello";
/// What the toy server takes for each request.
const WORK: Duration = Duration::from_millis(200);

fn main() -> io::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words[..] {
        ["serve", address] => serve(address),
        ["uwsgi", address, class, ref key @ ..] => ask_uwsgi(address, class, key.first().copied()),
        ["json", address, class, ref key @ ..] => ask_json(address, class, key.first().copied()),
        _ => {
            eprintln!("toy serve ADDRESS | toy uwsgi ADDRESS CLASS [KEY] | toy json ADDRESS CLASS [KEY]");
            std::process::exit(2)
        }
    }
}

fn serve(address: &str) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    println!("toy server at {}", listener.local_addr()?);
    for (count, stream) in (1..).zip(listener.incoming()) {
        let stream = stream?;
        std::thread::spawn(move || {
            if let Err(e) = answer(stream, count) {
                eprintln!("request {count}: {e}");
            }
        });
    }
    Ok(())
}

/// Reads one request packet and answers with what it asked for.
fn answer(mut stream: TcpStream, count: u32) -> io::Result<()> {
    let mut head = [0; 4];
    stream.read_exact(&mut head)?;
    let mut block = vec![0; usize::from(u16::from_le_bytes([head[1], head[2]]))];
    stream.read_exact(&mut block)?;
    let vars = vars(&block);
    let var = |name: &str| vars.iter().find(|(n, _)| n == name).map_or("", |(_, value)| value);
    let mut body = vec![0; var("CONTENT_LENGTH").parse().unwrap_or(0)];
    stream.read_exact(&mut body)?;
    println!(
        "request {count}: {} key {:?}, {} bytes",
        var("PATH_INFO"),
        var("HTTP_IDEMPOTENCY_KEY"),
        body.len()
    );
    std::thread::sleep(WORK);
    let result = format!("{} done as run {count}", var("PATH_INFO"));
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{result}", result.len())
}

fn vars(mut block: &[u8]) -> Vec<(String, String)> {
    let mut parts = Vec::new();
    while let [low, high, rest @ ..] = block {
        let (part, rest) = rest.split_at(rest.len().min(usize::from(u16::from_le_bytes([*low, *high]))));
        parts.push(String::from_utf8_lossy(part).into_owned());
        block = rest;
    }
    parts.chunks_exact(2).map(|pair| (pair[0].clone(), pair[1].clone())).collect()
}

fn ask_uwsgi(address: &str, class: &str, key: Option<&str>) -> io::Result<()> {
    let path = format!("/{class}");
    let mut vars = vec![("REQUEST_METHOD", "POST"), ("PATH_INFO", &path), ("HTTP_X_TENANT", "acme")];
    let length = BODY.len().to_string();
    vars.push(("CONTENT_LENGTH", &length));
    vars.extend(key.map(|key| ("HTTP_IDEMPOTENCY_KEY", key)));
    let mut block = Vec::new();
    for part in vars.iter().flat_map(|(name, value)| [name, value]) {
        block.extend((part.len() as u16).to_le_bytes());
        block.extend(part.as_bytes());
    }
    let [low, high] = (block.len() as u16).to_le_bytes();
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(&[&[0, low, high, 0], &block[..], BODY.as_bytes()].concat())?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    println!("{response}");
    Ok(())
}

fn ask_json(address: &str, class: &str, key: Option<&str>) -> io::Result<()> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let (door, txn) = (now.as_millis(), format!("{:016x}", now.as_nanos() as u64));
    let unique = key.map_or(String::new(), |key| format!(r#","unique":"{key}""#));
    let mut stream = TcpStream::connect(address)?;
    writeln!(
        stream,
        r#"{{"jsonrpc":"2.0","id":1,"method":"{class}","params":{{"txn":"{txn}","door":{door},"lb":1,"team":"acme","limit":3000,"cpu":200,"ram":24.5,"standing":0.5{unique},"content":"aGVsbG8="}}}}"#
    )?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    print!("{line}");
    Ok(())
}
