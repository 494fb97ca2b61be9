//! Relaying of datagrams, which can be lost, duplicated and reordered.

use std::rc::Rc;
use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio::sync::{mpsc, Semaphore};
use tokio::task::spawn_local;

use super::{Direction, Relay};
use crate::model::Ms;

/// Maximum number of datagrams in flight; more are dropped.
const MAX_IN_FLIGHT: usize = 1024;
/// The largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
/// Additional delay of a datagram that is selected for reordering, so that later ones overtake it.
const REORDER_DELAY: Ms = 20.0;

impl Relay {
    /// Relays the datagrams that a socket receives, as traffic in `direction`. Ends when the receiver of
    /// `deliver` is dropped.
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
                    // Sending fails once the play is over and the receiver is dropped.
                    let _ = deliver.send(datagram).await;
                    drop(permit);
                });
            }
        }
    }
}
