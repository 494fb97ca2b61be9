//! The text messages that the program exchanges with frontends and interpreters. They are shared by the harness's
//! simulated services and the tests of the program's network code.

use std::fmt::{self, Display, Formatter};

use serde::Deserialize;

/// A node's notification that it is about to close a connection.
pub const DRAINING: &str = r#"{"jsonrpc":"2.0","method":"draining"}"#;

/// A frontend's health check, with its line end.
pub const STATUS: &str = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"status\"}\n";

/// A frontend's request. Its `Display` form is one line of JSON, with its line end.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// JSON-RPC id, unique on the connection.
    pub id: u64,
    /// Transaction id, unique among all requests.
    pub txn: &'a str,
    /// Name of the request's class.
    pub class: &'a str,
    /// Time at which the platform received the request, in Unix milliseconds.
    pub received_at: u64,
    /// Number of the frontend that sends the request.
    pub frontend: usize,
    /// Name of the tenant.
    pub tenant: &'a str,
    /// Time that the frontend waits for the response, in milliseconds.
    pub time_limit_ms: u64,
    /// Expected work of the request, in milliseconds.
    pub cost_hint_ms: f64,
    /// Memory that the request takes while it is held, in KB.
    pub memory_kb: f64,
    /// The idempotency key; `None` in classes without one.
    pub idempotency_key: Option<&'a str>,
    /// The request body in base64.
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

/// A frontend's notification that it no longer waits for the response to a request.
pub fn withdraw(id: u64) -> String {
    format!("{{\"jsonrpc\":\"2.0\",\"method\":\"withdraw\",\"params\":{{\"id\":{id}}}}}\n")
}

/// An interpreter's `VALUE` message: a run has ended.
pub fn value(notice: u64, txn: &str, end: &str, ms: u64, result: &str) -> String {
    format!("VALUE {notice} {txn} {end} {ms} {}\r\n{result}\r\n", result.len())
}

/// An interpreter's `AWAIT` message: a run waits for a call to the dependency.
pub fn await_call(notice: u64, txn: &str, body: &str) -> String {
    format!("AWAIT {notice} {txn} {}\r\n{body}\r\n", body.len())
}

/// An interpreter's `BANNER` message, the reply to `CONNECT`.
pub fn banner(cold: bool, up_for_ms: u64) -> String {
    format!("BANNER {} {up_for_ms}\r\n", if cold { "fresh" } else { "seasoned" })
}

/// An interpreter's `TOPS` message, the reply to `TOP` with the values of its gauges.
pub fn tops(tag: &str, gauges: &[f64]) -> String {
    let values: Vec<String> = gauges.iter().map(|value| format!("{value:.4}")).collect();
    format!("TOPS {tag} {}\r\n", values.join(" "))
}

/// The body length in bytes, which is the last word of a line to an interpreter; `None` if messages of this kind have
/// no body.
pub fn body_length(words: &[&str]) -> Option<usize> {
    let has_body = matches!(words.first(), Some(&("APPLY" | "RESOLVE" | "GET")));
    words.last().filter(|_| has_body)?.parse().ok()
}

/// A message from a node to a frontend.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeMessage {
    /// The response to a request that was served.
    Served {
        /// The request's id.
        id: u64,
        /// The run's result in base64.
        content: String,
    },
    /// The response to a request that was rejected.
    Rejected {
        /// The request's id.
        id: u64,
        /// Delay in milliseconds after which to retry (Retry-After), if the node gives one.
        retry_after: Option<f64>,
        /// Whether the node asks the frontend not to retry on another node.
        give_up: bool,
    },
    /// Any other error response.
    Failed {
        /// The request's id.
        id: u64,
    },
    /// The response to a health check.
    Status {
        /// Id of the health check.
        id: u64,
        /// Whether the node is healthy.
        up: bool,
    },
    /// No further requests are to be sent on this connection.
    Draining,
    /// A line that is none of the above.
    Unrecognized,
}

/// The JSON form of a line from a node.
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

/// The `data` member of a rejection's error: how to retry.
#[derive(Deserialize, Default)]
struct RetryAdvice {
    #[serde(default, rename = "later")]
    retry_after: Option<f64>,
    /// 1 if the frontend is not to retry on another node.
    #[serde(default, rename = "giveup")]
    give_up: u8,
}

/// JSON-RPC error code of a rejection.
pub const REJECTED: i64 = -32011;

/// Parses a line from a node to a frontend.
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
