use super::*;
use crate::peers::message_codec::{decode, Decoded, PREAMBLE};
use bytes::{Bytes, BytesMut};
use oakwind_fleet::ids::ConfigVersion;
use oakwind_fleet::message::Hello;
use oakwind_fleet::replication::key_state::{ClaimId, CompletedRun, RunResult};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

fn run<F: std::future::Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(test));
}

const PEER: NodeId = NodeId(2);

fn hello() -> Message {
    let name = "n1".into();
    Message::Hello(Hello {
        name,
        to: PEER,
        incarnation: Incarnation(1),
        configs: vec![],
        retired_through: ConfigVersion(0),
        link_cut: false,
        uptime_seconds: 0,
        restored: None,
    })
}

/// A message of about 60 kB, of which a few exceed the limit of the output queue.
fn large_message() -> Message {
    let claim = ClaimId { node: NodeId(1), incarnation: Incarnation(1), number: 1 };
    let result = RunResult::Succeeded(Bytes::from(vec![7; 60_000]));
    let run = CompletedRun { received_at: 1, node_index: 0, claim, result, body: 1 };
    Message::Completed { key: "k".into(), retain_ms: 1, run }
}

#[test]
fn an_overflowing_link_is_closed_and_the_hello_on_the_next_link_reports_it() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (event_sender, mut events) = mpsc::channel(64);
        let mut links = LinkTable::new(4, event_sender);
        links.send(PEER, || Some(address), hello, &large_message()).unwrap();
        let (silent, _) = listener.accept().await.unwrap();
        while links.metrics.overflows.get() == 0 {
            links.send(PEER, || Some(address), hello, &large_message()).unwrap();
            // Lets the link's task write as much as the socket buffers hold.
            tokio::task::yield_now().await;
        }
        let Some(LinkEvent::Closed(link)) = events.recv().await else { panic!("the link was not closed") };
        assert_eq!(links.remove(link), Some(ClosedLink { node: PEER, was_identified: false }));
        drop(silent);
        // After a link without identification the peer is dialed again only after the backoff.
        assert_eq!(links.send(PEER, || Some(address), hello, &large_message()), Err(PeerUnreachable));
        clock::until(clock::now() + INITIAL_BACKOFF).await;
        links.send(PEER, || Some(address), hello, &large_message()).unwrap();
        let (mut next, _) = listener.accept().await.unwrap();
        let mut bytes = BytesMut::with_capacity(64 * 1024);
        let first = loop {
            next.read_buf(&mut bytes).await.unwrap();
            if bytes.len() > PREAMBLE.len() {
                if let Some(message) = decode(&mut bytes.split_off(PREAMBLE.len())).unwrap() {
                    break message;
                }
            }
        };
        assert!(matches!(first, Decoded::Message(Message::Hello(Hello { link_cut: true, .. }))), "{first:?}");
    });
}

#[test]
fn at_the_limit_the_least_recently_used_link_is_closed() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (event_sender, mut events) = mpsc::channel(64);
        let mut links = LinkTable::new(2, event_sender);
        let mut peers = Vec::new();
        for _ in 0..3 {
            peers.push(TcpStream::connect(address).await.unwrap());
            links.accept(listener.accept().await.unwrap().0);
            // Gives the links different times of last use.
            clock::until(clock::now() + Duration::from_millis(2)).await;
        }
        let Some(LinkEvent::Closed(first)) = events.recv().await else { panic!("no link was closed") };
        assert_eq!((first, links.remove(first)), (LinkId(1), None));
        assert_eq!(links.len(), 2);
    });
}
