//! What examples share that measure: a client, and a stand-in interpreter.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use oakwind_fault_harness::clock::unix_now;

/// Asks with so many open at a time until so many are answered, with keys from one on. Returns when each was asked and how
/// long it took, and how many were served.
pub(crate) fn ask(
    json: SocketAddr,
    class: &str,
    open: usize,
    count: usize,
    first: usize,
) -> io::Result<(Vec<(Instant, Duration)>, usize)> {
    let stream = TcpStream::connect(json)?;
    stream.set_nodelay(true)?;
    let (mut output, mut input) = (stream.try_clone()?, BufReader::new(stream));
    let (mut sent, mut times, mut served, mut line) = (Vec::new(), Vec::new(), 0, String::new());
    while times.len() < count {
        while sent.len() < count && sent.len() - times.len() < open {
            let (id, door) = (sent.len() + 1, unix_now().as_millis());
            let (txn, key) = (first + id, first + id);
            let unique = if class == "book" { format!(r#""unique":"{key:032x}","#) } else { String::new() };
            let asked = format!(
                r#"{{"jsonrpc":"2.0","id":{id},"method":"{class}","params":{{"txn":"{txn:x}","door":{door},"lb":1,"limit":100000,"cpu":1.5,"ram":2.5,{unique}"content":"Ym9keQ=="}}}}"#
            );
            sent.push(Instant::now());
            output.write_all(asked.as_bytes())?;
            output.write_all(b"\n")?;
        }
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let id = line.split("\"id\":").nth(1).and_then(|rest| rest.split(',').next()?.parse::<usize>().ok());
        let Some(asked) = id.and_then(|id| sent.get(id - 1)) else { continue };
        served += usize::from(line.contains("\"result\""));
        times.push((*asked, asked.elapsed()));
    }
    Ok((times, served))
}

/// A stand-in interpreter that ends every run at once, with this result.
pub(crate) fn interpret(vm: &TcpListener, result: &str) -> io::Result<()> {
    let (stream, _) = vm.accept()?;
    stream.set_nodelay(true)?;
    let (mut output, mut input) = (stream.try_clone()?, BufReader::new(stream));
    let (mut line, mut notice) = (String::new(), 0);
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        let said = match words[..] {
            ["CONNECT", ..] => oakwind_fault_harness::wire::banner(false, 100_000),
            ["TOP", tag] => oakwind_fault_harness::wire::tops(tag, &[0.5, 1.0, 0.1, 3.0]),
            ["APPLY", id, _, length] => {
                io::copy(&mut input.by_ref().take(length.parse().unwrap_or(0) + 2), &mut io::sink())?;
                notice += 1;
                oakwind_fault_harness::wire::value(notice, id, "done", 1, result)
            }
            _ => continue,
        };
        output.write_all(said.as_bytes())?;
    }
}
