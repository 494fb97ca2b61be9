//! The messages on the program's links, as text: shared by the harness's simulated services and the tests of the network code.

use std::fmt::{self, Display, Formatter};

use serde::Deserialize;

/// The notification that a connection is about to be closed.
pub const DRAINING: &str = r#"{"jsonrpc":"2.0","method":"draining"}"#;

/// A health check.
pub const STATUS: &str = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"status\"}\n";

/// A request as a frontend writes it, one line with its end.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Its id on the connection.
    pub id: u64,
    /// Its transaction id, which no other request has.
    pub txn: &'a str,
    /// Its class.
    pub class: &'a str,
    /// When the platform received it, in Unix milliseconds.
    pub received_at: u64,
    /// The frontend's number.
    pub frontend: usize,
    /// The tenant.
    pub tenant: &'a str,
    /// How long the frontend waits, in milliseconds.
    pub time_limit_ms: u64,
    /// The work to expect, in milliseconds.
    pub cost_hint_ms: f64,
    /// The memory that it takes while held, in KB.
    pub memory_kb: f64,
    /// The idempotency key, in classes that have one.
    pub idempotency_key: Option<&'a str>,
    /// The body in base64.
    pub content: &'a str,
}

impl Display for Request<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Request { id, txn, class, received_at, frontend, tenant, time_limit_ms, .. } = self;
        let Request { cost_hint_ms, memory_kb, idempotency_key, content, .. } = self;
        write!(f, r#"{{"jsonrpc":"2.0","id":{id},"method":"{class}","params":{{"txn":"{txn}","#)?;
        write!(f, r#""door":{received_at},"lb":{frontend},"team":"{tenant}","limit":{time_limit_ms},"#)?;
        write!(f, r#""cpu":{cost_hint_ms:.2},"ram":{memory_kb:.1},"standing":0.5,"#)?;
        if let Some(key) = idempotency_key {
            write!(f, r#""unique":"{key}","#)?;
        }
        writeln!(f, r#""content":"{content}"}}}}"#)
    }
}

/// The notification that a frontend no longer waits for a request.
pub fn withdraw(id: u64) -> String {
    format!("{{\"jsonrpc\":\"2.0\",\"method\":\"withdraw\",\"params\":{{\"id\":{id}}}}}\n")
}

/// An interpreter's notice that a run has ended.
pub fn value(notice: u64, txn: &str, end: &str, ms: u64, result: &str) -> String {
    format!("VALUE {notice} {txn} {end} {ms} {}\r\n{result}\r\n", result.len())
}

/// An interpreter's notice that a run waits for a call to the dependency.
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

/// A message of a node to a frontend.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeMessage {
    /// The answer to a request that was served.
    Served {
        /// The request's id.
        id: u64,
        /// The result in base64.
        content: String,
    },
    /// The answer to a request that was rejected.
    Rejected {
        /// The request's id.
        id: u64,
        /// After how many milliseconds to retry (Retry-After).
        retry_after: Option<f64>,
        /// The node asks the frontend not to retry elsewhere.
        give_up: bool,
    },
    /// Any other error.
    Failed {
        /// The request's id.
        id: u64,
    },
    /// The answer to a health check.
    Status {
        /// The health check's id.
        id: u64,
        /// Whether the node is healthy.
        up: bool,
    },
    /// Nothing new is to be sent on this connection.
    Draining,
    /// A line that is none of these.
    Unrecognized,
}

/// A line as it is on the wire.
#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    id: Option<u64>,
    #[serde(default)]
    method: Option<String>,
    #[serde(default)]
    result: Option<ResultMember>,
    #[serde(default)]
    error: Option<ErrorMember>,
}

#[derive(Deserialize)]
struct ResultMember {
    #[serde(default)]
    content: Option<String>,
    #[serde(default)]
    up: Option<bool>,
}

#[derive(Deserialize)]
struct ErrorMember {
    code: i64,
    #[serde(default)]
    data: RetryAdvice,
}

/// What a rejection says about retrying.
#[derive(Deserialize, Default)]
struct RetryAdvice {
    #[serde(default, rename = "later")]
    retry_after: Option<f64>,
    /// 1 if the frontend is not to retry elsewhere.
    #[serde(default, rename = "giveup")]
    give_up: u8,
}

/// The error code of a rejection.
pub const REJECTED: i64 = -32011;

/// Reads a line of a node's.
pub fn parse_node_message(line: &str) -> NodeMessage {
    let Ok(message) = serde_json::from_str::<Message>(line) else { return NodeMessage::Unrecognized };
    if message.method.as_deref() == Some("draining") {
        return NodeMessage::Draining;
    }
    match (message.id, message.result, message.error) {
        (Some(id), Some(ResultMember { content: Some(content), .. }), None) => {
            NodeMessage::Served { id, content }
        }
        (Some(id), Some(ResultMember { up: Some(up), .. }), None) => NodeMessage::Status { id, up },
        (Some(id), None, Some(ErrorMember { code: REJECTED, data })) => {
            NodeMessage::Rejected { id, retry_after: data.retry_after, give_up: data.give_up == 1 }
        }
        (Some(id), None, Some(_)) => NodeMessage::Failed { id },
        _ => NodeMessage::Unrecognized,
    }
}

#[cfg(test)]
mod tests;
