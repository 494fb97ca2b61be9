use super::*;
use bytes::Bytes;
use oakwind_fleet::ids::ConfigVersion;
use oakwind_fleet::key_state::{ClaimId, CompletedRun, RunResult};
use oakwind_fleet::message::Hello;
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

fn large() -> Message {
    let claim = ClaimId { node: NodeId(1), incarnation: Incarnation(1), number: 1 };
    let result = RunResult::Succeeded(Bytes::from(vec![7; 60_000]));
    let run = CompletedRun { received_at: 1, node_index: 0, claim, result, body: 1 };
    Message::Completed { key: "k".into(), retain_ms: 1, run }
}

#[test]
fn a_peer_that_does_not_read_loses_its_link_and_is_told_so_by_the_next() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (tell, mut told) = mpsc::channel(64);
        let mut links = Links::new(4, tell);
        links.send(PEER, || Some(address), hello, &large()).unwrap();
        let (silent, _) = listener.accept().await.unwrap();
        while links.traffic.cut.get() == 0 {
            links.send(PEER, || Some(address), hello, &large()).unwrap();
            // The link's task writes what the system takes.
            tokio::task::yield_now().await;
        }
        let Some(Heard::Gone(link)) = told.recv().await else { panic!("the link is gone") };
        assert_eq!(links.gone(link), Some((PEER, false)));
        drop(silent);
        // Until then a peer that was never heard is left alone.
        assert_eq!(links.send(PEER, || Some(address), hello, &large()), Err(Unreached));
        clock::until(clock::now() + BACKOFF).await;
        links.send(PEER, || Some(address), hello, &large()).unwrap();
        let (mut next, _) = listener.accept().await.unwrap();
        let mut bytes = BytesMut::with_capacity(64 * 1024);
        let greeting = loop {
            next.read_buf(&mut bytes).await.unwrap();
            if bytes.len() > MAGIC.len() {
                if let Some(frame) = take(&mut bytes.split_off(MAGIC.len())).unwrap() {
                    break frame;
                }
            }
        };
        assert!(
            matches!(greeting, Taken::Message(Message::Hello(Hello { link_cut: true, .. }))),
            "{greeting:?}"
        );
    });
}

#[test]
fn where_there_are_too_many_links_the_one_not_used_for_longest_goes() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (tell, mut told) = mpsc::channel(64);
        let mut links = Links::new(2, tell);
        let mut peers = Vec::new();
        for _ in 0..3 {
            peers.push(TcpStream::connect(address).await.unwrap());
            links.accept(listener.accept().await.unwrap().0);
            // Their times differ.
            clock::until(clock::now() + Duration::from_millis(2)).await;
        }
        let Some(Heard::Gone(first)) = told.recv().await else { panic!("one goes") };
        assert_eq!((first, links.gone(first)), (LinkId(1), None));
        assert_eq!(links.count(), 2);
    });
}
