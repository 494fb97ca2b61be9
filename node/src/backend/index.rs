//! Calls to the tier below, handed to the index. Each has a connection to itself while it lasts: guards the
//! others against a reply that is spoilt, late, doubled or never comes, after which its connection is closed.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;

use super::Callee;
use crate::clock::{self, Unix};
use crate::config::UpstreamAddresses;
use crate::exchange::{CallOutcome, Request};
use crate::line_codec::{self, encode, LineConnection};
use crate::log;
use crate::sockets;

/// A connection is used again only if it has been idle for less. Guards calls against crossing the close of an
/// idle connection, which would prove nothing about them.
const IDLE: Duration = Duration::from_millis(250);
/// A call without a reply is given up this long after its time, for the index says itself that it was slow.
const SILENT: Duration = Duration::from_millis(150);
/// A reply that has begun is whole after this long, or never.
const STALLED: Duration = Duration::from_millis(600);

/// A connection with no call on it.
struct Idle {
    link: LineConnection,
    address: SocketAddr,
    since: Unix,
    /// The request of the call before. Another call for it goes elsewhere: guards it against a second copy of
    /// the reply before.
    last: Bytes,
}

/// The client side of the index.
pub struct Index {
    links: watch::Receiver<UpstreamAddresses>,
    /// The last one used comes last.
    idle: RefCell<Vec<Idle>>,
    most_idle: usize,
}

impl Index {
    /// The index at the address of the day; without one, no call reaches anybody. So many connections at the
    /// most are kept idle.
    pub fn new(links: watch::Receiver<UpstreamAddresses>, most_idle: usize) -> Rc<Self> {
        Rc::new(Index { links, idle: RefCell::default(), most_idle })
    }

    /// A connection that can be used again, if there is one.
    fn kept(&self, txn: &Bytes) -> Option<LineConnection> {
        self.tidy();
        let mut idle = self.idle.borrow_mut();
        let fits = idle.iter().rposition(|kept| kept.last != txn)?;
        Some(idle.remove(fits).link)
    }

    fn keep(&self, link: LineConnection, address: SocketAddr, last: Bytes) {
        let mut idle = self.idle.borrow_mut();
        // What comes beside a reply belongs to no call.
        if !link.input.is_empty() || idle.len() >= self.most_idle {
            return;
        }
        idle.push(Idle { link, address, since: clock::now(), last });
    }

    async fn ask(&self, txn: &Bytes, body: &[u8], until: Unix) -> io::Result<CallOutcome> {
        let Some(address) = self.links.borrow().index else { return Ok(CallOutcome::Unreachable) };
        let mut link = match self.kept(txn) {
            Some(link) => link,
            None => match sockets::connect(address, until).await {
                Ok(stream) => LineConnection::new(stream),
                // A refused connection proves that the call never ran, and so does one that was never made.
                Err(e) => {
                    log!("index: no connection: {e}");
                    return Ok(CallOutcome::Unreachable);
                }
            },
        };
        let left = until.saturating_sub(clock::now()).as_millis().max(1).to_string();
        encode(&mut link.output, &[b"GET", txn, left.as_bytes()], Some(body));
        let mut begun = None;
        loop {
            while let Some(message) =
                line_codec::decode(&mut link.input, |words| words.nth(1) == Some(b"HIT"))?
            {
                let end = match (&message.field(1)[..], &message.body) {
                    (b"HIT", Some(reply)) => CallOutcome::Ok(reply.clone()),
                    (b"SHED", _) => CallOutcome::Rejected,
                    (b"BROKEN", _) => CallOutcome::Failed,
                    (b"SLOW", _) => CallOutcome::TimedOut,
                    (b"NOBODY", _) => CallOutcome::Unreachable,
                    _ => return Err(message.protocol_error().into()),
                };
                // A reply to another call is nobody's here.
                if message.field(0) == txn {
                    self.keep(link, address, txn.clone());
                    return Ok(end);
                }
                log!("index: a reply to {:?}, which is not called for here", message.field(0));
                begun = None;
            }
            begun = if link.input.is_empty() { None } else { begun.or_else(|| Some(clock::now())) };
            let whole_by = begun.map_or(until + SILENT, |begun| (begun + STALLED).min(until + SILENT));
            tokio::select! {
                turned = link.transfer() => turned?,
                () = clock::until(whole_by) => {
                    return if begun.is_some() { Err(line_codec::ProtocolError::Incomplete.into()) } else { Ok(CallOutcome::TimedOut) };
                }
            }
        }
    }
}

impl Callee for Index {
    async fn call(self: Rc<Self>, request: Rc<Request>, body: Bytes, until: Unix) -> CallOutcome {
        let ended = self.ask(&request.txn, &body, until).await;
        ended.unwrap_or_else(|e| {
            log!("index: a connection was lost with the call on it: {e}");
            CallOutcome::CutOff
        })
    }

    fn tidy(&self) {
        let oldest = clock::now().saturating_sub(IDLE);
        let address = self.links.borrow().index;
        let fresh = |kept: &Idle| kept.since > oldest && Some(kept.address) == address;
        self.idle.borrow_mut().retain(|kept| fresh(kept) && kept.link.is_idle());
    }
}
