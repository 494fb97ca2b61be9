use super::*;
use std::time::Duration;

fn local() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn run<T>(test: impl std::future::Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(test)
}

#[test]
fn no_connection_delays_small_writes_whichever_side_opened_it() {
    run(async {
        let listener = listen(local(), AddressUse::Exclusive).unwrap();
        let address = listener.local_addr().unwrap();
        let until = clock::now() + Duration::from_secs(60);
        let (first, _second) =
            (connect(address, until).await.unwrap(), connect(address, until).await.unwrap());
        let accepted = accept(&listener).await.unwrap();
        let rest = close(listener);
        assert!(first.nodelay().unwrap() && accepted.nodelay().unwrap() && rest[0].nodelay().unwrap());
    });
}

#[test]
fn closing_a_listener_returns_every_connection_that_the_system_has_queued() {
    run(async {
        let listener = listen(local(), AddressUse::Exclusive).unwrap();
        let address = listener.local_addr().unwrap();
        // More connections than the runtime accepts in one poll of a task; the listener was never polled
        // before.
        let clients: Vec<_> = (0..300).map(|_| std::net::TcpStream::connect(address).unwrap()).collect();
        assert_eq!(close(listener).len(), clients.len());
        assert!(std::net::TcpStream::connect(address).is_err(), "the listener is closed");
    });
}

#[test]
fn connecting_to_a_peer_that_does_not_accept_ends_at_the_deadline() {
    run(async {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(local()).unwrap();
        let listener = socket.listen(0).unwrap();
        let address = listener.local_addr().unwrap();
        // No connection is accepted, so that the system's queue fills up. From then on connecting hangs.
        let mut held = Vec::new();
        loop {
            match connect(address, clock::now() + Duration::from_millis(300)).await {
                Ok(stream) => held.push(stream),
                Err(e) => break assert_eq!(e.kind(), io::ErrorKind::TimedOut),
            }
        }
    });
}
