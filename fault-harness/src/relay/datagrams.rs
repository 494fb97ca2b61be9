//! Datagrams through a relay, which can be lost, duplicated and reordered.

use std::rc::Rc;
use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio::sync::{mpsc, Semaphore};
use tokio::task::spawn_local;

use super::{Direction, Relay};
use crate::model::Ms;

/// Datagrams on their way; more are lost.
const MAX_IN_FLIGHT: usize = 1024;
/// The largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
/// How much later a datagram is delivered that others are to overtake.
const REORDER_DELAY: Ms = 20.0;

impl Relay {
    /// Relays the datagrams that a socket receives in one direction. Ends when nobody receives them any more.
    pub async fn datagrams(
        self,
        socket: Rc<UdpSocket>,
        direction: Direction,
        deliver: mpsc::Sender<Vec<u8>>,
    ) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let in_flight = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
        while !deliver.is_closed() {
            let Ok(length) = socket.recv(&mut buffer).await else { continue };
            let traffic = self.traffic(direction);
            if traffic.disconnect || traffic.blackhole || self.draw(traffic.loss) {
                continue;
            }
            let copies = if self.draw(traffic.duplicate) { 2 } else { 1 };
            for _ in 0..copies {
                let Ok(permit) = in_flight.clone().try_acquire_owned() else { continue };
                let reorder_delay = if self.draw(traffic.reorder) { REORDER_DELAY } else { 0.0 };
                let deliver_at = self.clock.now() + self.draw_delay(&traffic) + reorder_delay;
                let datagram = buffer[..length].to_vec();
                let deliver = deliver.clone();
                let clock = self.clock;
                spawn_local(async move {
                    clock.until(deliver_at).await;
                    // Nobody receives it any more once the play is over.
                    let _ = deliver.send(datagram).await;
                    drop(permit);
                });
            }
        }
    }
}
