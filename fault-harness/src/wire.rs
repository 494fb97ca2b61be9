//! The messages on the program's links, as text: shared by the harness's stand-ins and the tests of the network code.

use std::fmt::{self, Display, Formatter};

use serde::Deserialize;

/// What a connection is told that is to end.
pub const DRAINING: &str = r#"{"jsonrpc":"2.0","method":"draining"}"#;

/// A health check.
pub const STATUS: &str = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"status\"}\n";

/// A request as a frontend writes it, one line with its end.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Its id on the connection.
    pub id: u64,
    /// Its id everywhere.
    pub txn: &'a str,
    /// Its class.
    pub class: &'a str,
    /// When it came to the machine, in Unix milliseconds.
    pub door: u64,
    /// The frontend's number.
    pub front: usize,
    /// The tenant.
    pub team: &'a str,
    /// How long the frontend waits, in milliseconds.
    pub limit: u64,
    /// The work to expect, in milliseconds.
    pub cpu: f64,
    /// The memory that it takes while held, in KB.
    pub ram: f64,
    /// The key, in keyed classes.
    pub key: Option<&'a str>,
    /// The body in base64.
    pub content: &'a str,
}

impl Display for Request<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Request { id, txn, class, door, front, team, limit, cpu, ram, key, content } = self;
        write!(
            f,
            r#"{{"jsonrpc":"2.0","id":{id},"method":"{class}","params":{{"txn":"{txn}","door":{door},"lb":{front},"#
        )?;
        write!(f, r#""team":"{team}","limit":{limit},"cpu":{cpu:.2},"ram":{ram:.1},"standing":0.5,"#)?;
        if let Some(key) = key {
            write!(f, r#""unique":"{key}","#)?;
        }
        writeln!(f, r#""content":"{content}"}}}}"#)
    }
}

/// The notification that a frontend no longer waits for a request.
pub fn withdraw(id: u64) -> String {
    format!("{{\"jsonrpc\":\"2.0\",\"method\":\"withdraw\",\"params\":{{\"id\":{id}}}}}\n")
}

/// An interpreter's word that a run is over.
pub fn value(notice: u64, txn: &str, end: &str, ms: u64, result: &str) -> String {
    format!("VALUE {notice} {txn} {end} {ms} {}\r\n{result}\r\n", result.len())
}

/// An interpreter's word that a run waits for a call.
pub fn await_call(notice: u64, txn: &str, body: &str) -> String {
    format!("AWAIT {notice} {txn} {}\r\n{body}\r\n", body.len())
}

/// An interpreter's answer to `CONNECT`.
pub fn banner(cold: bool, up_for_ms: u64) -> String {
    format!("BANNER {} {up_for_ms}\r\n", if cold { "fresh" } else { "seasoned" })
}

/// An interpreter's gauges.
pub fn tops(tag: &str, gauges: &[f64]) -> String {
    let values: Vec<String> = gauges.iter().map(|value| format!("{value:.4}")).collect();
    format!("TOPS {tag} {}\r\n", values.join(" "))
}

/// The length that ends a line of words, if its kind has a body.
pub fn body_length(words: &[&str]) -> Option<usize> {
    let bodied = matches!(words.first(), Some(&("APPLY" | "RESOLVE" | "GET")));
    words.last().filter(|_| bodied)?.parse().ok()
}

/// What a node says to a frontend.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeMessage {
    /// A result: the request's id, and the result in base64.
    Served(u64, String),
    /// A refusal, with its advice.
    Refused(u64, Option<f64>, bool),
    /// Any other error.
    Failed(u64),
    /// A good or a bad health check.
    Status(u64, bool),
    /// Nothing new is to be sent on this connection.
    Draining,
    /// What is none of these.
    Noise,
}

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    id: Option<u64>,
    #[serde(default)]
    method: Option<String>,
    #[serde(default)]
    result: Option<Answered>,
    #[serde(default)]
    error: Option<Problem>,
}

#[derive(Deserialize)]
struct Answered {
    #[serde(default)]
    content: Option<String>,
    #[serde(default)]
    up: Option<bool>,
}

#[derive(Deserialize)]
struct Problem {
    code: i64,
    #[serde(default)]
    data: Advice,
}

#[derive(Deserialize, Default)]
struct Advice {
    #[serde(default)]
    later: Option<f64>,
    #[serde(default)]
    giveup: u8,
}

/// The code of a refusal.
pub const REFUSED: i64 = -32011;

/// Reads a line of a node's.
pub fn parse_node_message(line: &str) -> NodeMessage {
    let Ok(message) = serde_json::from_str::<Message>(line) else { return NodeMessage::Noise };
    if message.method.as_deref() == Some("draining") {
        return NodeMessage::Draining;
    }
    match (message.id, message.result, message.error) {
        (Some(id), Some(Answered { content: Some(content), .. }), None) => NodeMessage::Served(id, content),
        (Some(id), Some(Answered { up: Some(up), .. }), None) => NodeMessage::Status(id, up),
        (Some(id), None, Some(Problem { code: REFUSED, data })) => {
            NodeMessage::Refused(id, data.later, data.giveup == 1)
        }
        (Some(id), None, Some(_)) => NodeMessage::Failed(id),
        _ => NodeMessage::Noise,
    }
}

#[cfg(test)]
mod tests;
