use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UdpSocket;

use super::*;
use crate::schedule::{generator, RandomStream};
use tokio::task::LocalSet;

fn with_relay<F: std::future::Future<Output = ()>>(test: impl FnOnce(Relay) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(async {
        test(Relay::new(Clock::begin(), generator(1, RandomStream::Links, 0))).await;
    }));
}

/// Starts a node that sends back everything that it receives.
async fn start_echo_node() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            spawn_local(async move {
                let (mut reader, mut writer) = stream.split();
                let _ = tokio::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    address
}

/// Whether the echo server behind the relay returns `text` unchanged.
async fn is_echoed(end: &mut DuplexStream, text: &[u8]) -> bool {
    let mut received = vec![0; text.len()];
    end.write_all(text).await.is_ok() && end.read_exact(&mut received).await.is_ok() && received == text
}

#[test]
fn disconnect_closes_open_connections_and_refuses_new_ones_until_restored() {
    with_relay(|relay| async move {
        let node = start_echo_node().await;
        let mut end = relay.open(node).await.unwrap();
        assert!(is_echoed(&mut end, b"before").await);
        relay.disturb(1, Directions::Both, &Traffic { disconnect: true, ..Traffic::default() });
        assert!(!is_echoed(&mut end, b"within").await);
        assert!(relay.open(node).await.is_err());
        relay.restore(1);
        assert!(is_echoed(&mut relay.open(node).await.unwrap(), b"after").await);
    });
}

#[test]
fn one_way_blackhole_holds_back_bytes_and_delivers_them_when_restored() {
    with_relay(|relay| async move {
        let mut end = relay.open(start_echo_node().await).await.unwrap();
        relay.disturb(1, Directions::From, &Traffic { blackhole: true, ..Traffic::default() });
        end.write_all(b"hello").await.unwrap();
        let mut received = [0; 5];
        let early = tokio::time::timeout(Duration::from_millis(50), end.read_exact(&mut received)).await;
        assert!(early.is_err(), "bytes passed through the blackhole");
        relay.restore(1);
        end.read_exact(&mut received).await.unwrap();
        assert_eq!(&received, b"hello");
    });
}

#[test]
fn delay_with_jitter_keeps_the_order_of_a_stream() {
    with_relay(|relay| async move {
        let mut end = relay.open(start_echo_node().await).await.unwrap();
        relay.disturb(1, Directions::To, &Traffic { delay_ms: 30.0, jitter_ms: 20.0, ..Traffic::default() });
        let before = relay.clock.now();
        let text: Vec<u8> = (0..=255).collect();
        for byte in &text {
            end.write_all(&[*byte]).await.unwrap();
        }
        let mut received = vec![0; text.len()];
        end.read_exact(&mut received).await.unwrap();
        assert!(received == text && relay.clock.now() - before >= 30.0);
    });
}

#[test]
fn datagrams_are_lost_and_duplicated_at_the_given_probability() {
    with_relay(|relay| async move {
        let count = |traffic: Traffic| {
            let relay = relay.clone();
            async move {
                let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
                let address = socket.local_addr().unwrap();
                relay.disturb(1, Directions::Both, &traffic);
                let (deliver, mut received) = mpsc::channel(1024);
                let relaying = spawn_local(relay.clone().datagrams(Rc::new(socket), Direction::To, deliver));
                let from = UdpSocket::bind("127.0.0.1:0").await.unwrap();
                for _ in 0..200 {
                    from.send_to(b"x", address).await.unwrap();
                    tokio::task::yield_now().await;
                }
                // With the disturbance removed, an `end` datagram is delivered after all earlier ones.
                relay.restore(1);
                let mut number = 0;
                loop {
                    from.send_to(b"end", address).await.unwrap();
                    tokio::task::yield_now().await;
                    match received.recv().await.as_deref() {
                        Some(b"x") => number += 1,
                        _ => break,
                    }
                }
                relaying.abort();
                number
            }
        };
        assert_eq!(count(Traffic { loss: 1.0, ..Traffic::default() }).await, 0);
        assert!(count(Traffic { duplicate: 1.0, ..Traffic::default() }).await > 200);
    });
}
