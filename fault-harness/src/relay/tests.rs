use super::*;
use crate::schedule::{generator, RandomStream};
use tokio::task::LocalSet;

fn run<F: std::future::Future<Output = ()>>(test: impl FnOnce(Line) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(async {
        test(Line::new(Clock::begin(), generator(1, RandomStream::Links, 0))).await;
    }));
}

/// A node that echoes.
async fn echo() -> SocketAddr {
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

async fn echoes(end: &mut DuplexStream, text: &[u8]) -> bool {
    let mut got = vec![0; text.len()];
    end.write_all(text).await.is_ok() && end.read_exact(&mut got).await.is_ok() && got == text
}

#[test]
fn a_cut_ends_what_is_open_and_refuses_what_is_new_until_it_is_mended() {
    run(|line| async move {
        let node = echo().await;
        let mut end = line.open(node).await.unwrap();
        assert!(echoes(&mut end, b"before").await);
        line.disturb(1, Directions::Both, &Traffic { disconnect: true, ..Traffic::default() });
        assert!(!echoes(&mut end, b"within").await);
        assert!(line.open(node).await.is_err());
        line.mend(1);
        assert!(echoes(&mut line.open(node).await.unwrap(), b"after").await);
    });
}

#[test]
fn silence_one_way_holds_back_what_goes_that_way_and_lets_it_pass_in_the_end() {
    run(|line| async move {
        let mut end = line.open(echo().await).await.unwrap();
        line.disturb(1, Directions::From, &Traffic { blackhole: true, ..Traffic::default() });
        end.write_all(b"hello").await.unwrap();
        let mut got = [0; 5];
        let early = tokio::time::timeout(Duration::from_millis(50), end.read_exact(&mut got)).await;
        assert!(early.is_err(), "nothing passes");
        line.mend(1);
        end.read_exact(&mut got).await.unwrap();
        assert_eq!(&got, b"hello");
    });
}

#[test]
fn delays_add_up_and_keep_the_order_of_a_stream() {
    run(|line| async move {
        let mut end = line.open(echo().await).await.unwrap();
        line.disturb(1, Directions::To, &Traffic { delay_ms: 30.0, jitter_ms: 20.0, ..Traffic::default() });
        let before = line.clock.now();
        let text: Vec<u8> = (0..=255).collect();
        for byte in &text {
            end.write_all(&[*byte]).await.unwrap();
        }
        let mut got = vec![0; text.len()];
        end.read_exact(&mut got).await.unwrap();
        assert!(got == text && line.clock.now() - before >= 30.0);
    });
}

#[test]
fn datagrams_are_lost_and_doubled_by_chance() {
    run(|line| async move {
        let count = |wrong: Traffic| {
            let line = line.clone();
            async move {
                let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
                let address = socket.local_addr().unwrap();
                line.disturb(1, Directions::Both, &wrong);
                let (deliver, mut got) = mpsc::channel(1024);
                let carried = spawn_local(line.clone().datagrams(Rc::new(socket), Direction::To, deliver));
                let from = UdpSocket::bind("127.0.0.1:0").await.unwrap();
                for _ in 0..200 {
                    from.send_to(b"x", address).await.unwrap();
                    tokio::task::yield_now().await;
                }
                // Whatever is lost, the last one that is not marks the end.
                line.mend(1);
                let mut number = 0;
                loop {
                    from.send_to(b"end", address).await.unwrap();
                    tokio::task::yield_now().await;
                    match got.recv().await.as_deref() {
                        Some(b"x") => number += 1,
                        _ => break,
                    }
                }
                carried.abort();
                number
            }
        };
        assert_eq!(count(Traffic { loss: 1.0, ..Traffic::default() }).await, 0);
        assert!(count(Traffic { duplicate: 1.0, ..Traffic::default() }).await > 200);
    });
}
