//! Links with peers: one that this node dials for its own questions, and those that peers dial for theirs; answers come
//! back on the same link. What waits to be written on one is bounded; a peer that is slower loses its link.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use oakwind_fleet::ids::{Incarnation, LinkId, NodeId};
use oakwind_fleet::message::Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Notify};
use tokio::task::spawn_local;

use super::message_codec::{put, take, Taken, MAGIC};
use crate::clock::{self, Unix};
use crate::{log, sockets};

/// Bytes that may wait to be written on a link.
const QUEUE: usize = 1024 * 1024;
/// Who is dialled, or dials, owes its greeting for so long.
const OWED: Duration = Duration::from_secs(1);
/// After a failure a peer is not dialled again for so long, twice as long after the next, up to the last.
const BACKOFF: Duration = Duration::from_millis(50);
const BACKOFF_LAST: Duration = Duration::from_secs(1);

/// What a link has to tell.
#[derive(Debug)]
pub enum Heard {
    /// A frame came.
    Message(LinkId, Message),
    /// It is gone.
    Gone(LinkId),
}

/// What links have done.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Frames that came and went, and their bytes.
    pub frames_in: Cell<u64>,
    /// Frames that went.
    pub frames_out: Cell<u64>,
    /// Bytes that came.
    pub bytes_in: Cell<u64>,
    /// Bytes that went.
    pub bytes_out: Cell<u64>,
    /// Links that were cut because the peer was too slow.
    pub cut: Cell<u64>,
    /// Links that ended with nonsense.
    pub nonsense: Cell<u64>,
    /// Frames of kinds that only a later build knows.
    pub later: Cell<u64>,
}

fn add(to: &Cell<u64>, number: usize) {
    to.set(to.get() + number as u64);
}

/// One link, as its task and the others see it.
struct Pipe {
    output: RefCell<BytesMut>,
    wake: Notify,
    /// It is to end.
    over: Cell<bool>,
}

/// A link by its number.
struct Known {
    pipe: Rc<Pipe>,
    /// Who is at the other end, and in which life, once it has greeted.
    peer: Option<(NodeId, Incarnation)>,
    /// Whom this node has dialled.
    dialled: Option<NodeId>,
    used: Unix,
}

/// How dialling a peer went of late.
#[derive(Default)]
struct Trouble {
    failures: u32,
    not_before: Unix,
}

/// All links of this node.
pub struct Links {
    next: LinkId,
    known: HashMap<LinkId, Known>,
    dialled: HashMap<NodeId, LinkId>,
    trouble: HashMap<NodeId, Trouble>,
    /// Those whose last link was cut, who are told so by the next.
    cut: HashSet<NodeId>,
    most: usize,
    tell: mpsc::Sender<Heard>,
    /// What was done.
    pub traffic: Rc<Traffic>,
}

/// Why nothing can be said to a peer now.
#[derive(Debug, PartialEq)]
pub struct Unreached;

impl Links {
    /// No links yet; at the most so many each way.
    pub fn new(most: usize, tell: mpsc::Sender<Heard>) -> Links {
        Links {
            next: LinkId(1),
            known: HashMap::new(),
            dialled: HashMap::new(),
            trouble: HashMap::new(),
            cut: HashSet::new(),
            most,
            tell,
            traffic: Rc::default(),
        }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// Says something to a node, on the link that it was dialled by; dials it at this address if there is none.
    pub fn send(
        &mut self,
        to: NodeId,
        address: impl FnOnce() -> Option<SocketAddr>,
        hello: impl FnOnce() -> Message,
        frame: &Message,
    ) -> Result<(), Unreached> {
        let link = match self.dialled.get(&to) {
            Some(link) => *link,
            None => {
                let now = clock::now();
                if self.trouble.get(&to).is_some_and(|trouble| now < trouble.not_before)
                    || !self.make_room(now)
                {
                    return Err(Unreached);
                }
                let address = address().ok_or(Unreached)?;
                let link = self.start(Some((to, address)), None);
                self.dialled.insert(to, link);
                let mut hello = hello();
                if let Message::Hello(hello) = &mut hello {
                    hello.link_cut = self.cut.remove(&to);
                }
                self.write(link, &hello);
                link
            }
        };
        self.write(link, frame);
        Ok(())
    }

    /// Whether one more may be dialled; the one that was not used for longest makes room.
    fn make_room(&mut self, now: Unix) -> bool {
        if self.dialled.len() < self.most {
            return true;
        }
        let idle =
            self.dialled.iter().filter_map(|(node, link)| Some((self.known.get(link)?.used, *node, *link)));
        let Some((used, node, link)) = idle.min() else { return false };
        if now < used + OWED {
            return false;
        }
        self.dialled.remove(&node);
        self.end(link);
        true
    }

    /// Takes a link that a peer has dialled; where there are too many, the one that was not used for longest goes.
    pub fn accept(&mut self, stream: TcpStream) {
        let accepted =
            || self.known.iter().filter(|(_, known)| known.dialled.is_none() && !known.pipe.over.get());
        if accepted().count() >= self.most {
            if let Some(link) = accepted().min_by_key(|(_, known)| known.used).map(|(link, _)| *link) {
                self.end(link);
            }
        }
        self.start(None, Some(stream));
    }

    fn start(&mut self, dial: Option<(NodeId, SocketAddr)>, stream: Option<TcpStream>) -> LinkId {
        let link = self.next;
        self.next = link.next();
        let mut output = BytesMut::with_capacity(4096);
        output.extend_from_slice(MAGIC);
        let pipe =
            Rc::new(Pipe { output: RefCell::new(output), wake: Notify::new(), over: Cell::new(false) });
        let dialled = dial.map(|(node, _)| node);
        let known = Known { pipe: pipe.clone(), peer: None, dialled, used: clock::now() };
        self.known.insert(link, known);
        let (tell, traffic) = (self.tell.clone(), self.traffic.clone());
        spawn_local(async move {
            let talk = async {
                let stream = match (stream, dial) {
                    (Some(stream), _) => stream,
                    (None, Some((_, address))) => sockets::connect(address, clock::now() + OWED).await?,
                    (None, None) => return Ok(()),
                };
                talk(link, stream, &pipe, &tell, &traffic).await
            };
            match talk.await {
                Err(e) if e.kind() == io::ErrorKind::InvalidData => {
                    add(&traffic.nonsense, 1);
                    log!("fleet: a link has ended with nonsense: {e}");
                }
                // A link may end at any time, and who is at the other end is missed by what it owes.
                _ => {}
            }
            // Nobody listens any more only if the process ends.
            let _ = tell.send(Heard::Gone(link)).await;
        });
        link
    }

    /// Says something on a link; nothing if it is gone.
    pub fn write(&mut self, link: LinkId, frame: &Message) {
        let Some(known) = self.known.get_mut(&link) else { return };
        known.used = clock::now();
        let mut output = known.pipe.output.borrow_mut();
        let before = output.len();
        put(&mut output, frame);
        add(&self.traffic.frames_out, 1);
        add(&self.traffic.bytes_out, output.len() - before);
        if output.len() > QUEUE {
            drop(output);
            log!("fleet: a link was cut: its peer is too slow");
            add(&self.traffic.cut, 1);
            self.cut.extend(known.dialled);
            return self.end(link);
        }
        known.pipe.wake.notify_one();
    }

    /// Ends a link.
    pub fn end(&mut self, link: LinkId) {
        if let Some(known) = self.known.get(&link) {
            known.pipe.over.set(true);
            known.pipe.wake.notify_one();
        }
    }

    /// Ends all links that peers have dialled.
    pub fn end_accepted(&mut self) {
        let accepted: Vec<LinkId> =
            self.known.iter().filter(|(_, known)| known.dialled.is_none()).map(|(link, _)| *link).collect();
        accepted.into_iter().for_each(|link| self.end(link));
    }

    /// Who is at the other end of a link, once it has greeted.
    pub fn peer(&self, link: LinkId) -> Option<(NodeId, Incarnation)> {
        self.known.get(&link)?.peer
    }

    /// Whom this node has dialled on a link.
    pub fn dialled(&self, link: LinkId) -> Option<NodeId> {
        self.known.get(&link)?.dialled
    }

    /// The other end has greeted.
    pub fn greeted(&mut self, link: LinkId, node: NodeId, incarnation: Incarnation) {
        let Some(known) = self.known.get_mut(&link) else { return };
        (known.peer, known.used) = (Some((node, incarnation)), clock::now());
        if known.dialled.is_some() {
            self.trouble.remove(&node);
            return;
        }
        // A peer that dials anew has given up the link that it had, whatever has become of that.
        let same = |known: &Known| known.dialled.is_none() && known.peer == Some((node, incarnation));
        let before = self.known.iter().filter(|(other, known)| **other != link && same(known));
        let before: Vec<LinkId> = before.map(|(other, _)| *other).collect();
        before.into_iter().for_each(|other| self.end(other));
    }

    /// Links whose other ends have greeted, or were dialled, with who they are.
    pub fn all(&self) -> Vec<(LinkId, NodeId)> {
        let who = |known: &Known| known.dialled.or(known.peer.map(|(node, _)| node));
        self.known.iter().filter_map(|(link, known)| Some((*link, who(known)?))).collect()
    }

    /// A link is gone. Returns the node that it was dialled to, and whether that had greeted.
    pub fn gone(&mut self, link: LinkId) -> Option<(NodeId, bool)> {
        let known = self.known.remove(&link)?;
        let node = known.dialled?;
        if self.dialled.get(&node) == Some(&link) {
            self.dialled.remove(&node);
        }
        if known.peer.is_none() {
            let trouble = self.trouble.entry(node).or_default();
            trouble.failures = (trouble.failures + 1).min(10);
            let wait = (BACKOFF * 2_u32.pow(trouble.failures - 1)).min(BACKOFF_LAST);
            trouble.not_before = clock::now() + wait;
        }
        Some((node, known.peer.is_some()))
    }

    /// Only these nodes are known any more.
    pub fn keep(&mut self, is_known: impl Fn(NodeId) -> bool) {
        self.trouble.retain(|node, _| is_known(*node));
        self.cut.retain(|node| is_known(*node));
    }
}

/// Reads and writes frames until either end is done.
async fn talk(
    link: LinkId,
    mut stream: TcpStream,
    pipe: &Pipe,
    tell: &mpsc::Sender<Heard>,
    traffic: &Traffic,
) -> io::Result<()> {
    let nonsense = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_string());
    let (mut input, mut writing) = (BytesMut::with_capacity(16 * 1024), BytesMut::new());
    let (mut greeted, owed) = (false, clock::now() + OWED);
    let (mut reader, mut writer) = stream.split();
    loop {
        if pipe.over.get() {
            return Ok(());
        }
        if writing.is_empty() {
            writing = pipe.output.borrow_mut().split();
        }
        if !greeted && input.len() >= MAGIC.len() {
            if input.split_to(MAGIC.len()) != MAGIC[..] {
                return Err(nonsense("it does not begin as a peer does"));
            }
            greeted = true;
        }
        while let Some(taken) = if greeted { take(&mut input).map_err(nonsense)? } else { None } {
            match taken {
                Taken::Message(frame) => {
                    add(&traffic.frames_in, 1);
                    if tell.send(Heard::Message(link, frame)).await.is_err() {
                        return Ok(());
                    }
                }
                Taken::Later => add(&traffic.later, 1),
            }
        }
        tokio::select! {
            read = reader.read_buf(&mut input) => match read? {
                0 => return Ok(()),
                read => add(&traffic.bytes_in, read),
            },
            written = writer.write_buf(&mut writing), if !writing.is_empty() => if written? == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            },
            () = pipe.wake.notified() => {}
            () = clock::until(owed), if !greeted => return Err(io::ErrorKind::TimedOut.into()),
        }
    }
}

#[cfg(test)]
mod tests;
