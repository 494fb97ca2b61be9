//! The JSON-RPC frontend: JSON-RPC 2.0 over TCP, one message per line.
//!
//! The methods are the classes of the settings, `status` (a health check) and `withdraw` (the client no
//! longer waits for a request). Before the node closes a connection it sends the notification `draining` and
//! gives the client time to close it first, so that no request crosses the close.
//!
//! | module | what it does |
//! | --- | --- |
//! | `connection` | serves one connection: reading, deadlines, requests and their responses, closing |
//! | `message` | decodes the envelope of a message |
//! | `request` | decodes and checks the parameters of a request |
//! | `response` | error codes, and the bytes of results, errors and notifications |

mod connection;
mod message;
mod request;
mod response;

pub(crate) use connection::serve;
