use super::*;
use futures_util::FutureExt;

fn is_notified_of_eviction(guard: &ConnectionGuard) -> bool {
    guard.evicted().now_or_never().is_some()
}

const MAX_BUFFER_BYTES: usize = 4 * UNCOUNTED_BUFFER_BYTES;

fn limiter_of(connections: usize) -> Rc<ConnectionLimiter> {
    ConnectionLimiter::new(ConnectionLimits { connections, buffer_bytes: MAX_BUFFER_BYTES })
}

#[test]
fn during_an_upgrade_each_process_has_half_of_the_connections() {
    let limiter = limiter_of(4);
    let guards: Vec<ConnectionGuard> = (0..4).map(|_| limiter.admit().unwrap()).collect();
    guards[..3].iter().for_each(|guard| guard.set_state(ConnectionState::Busy));
    limiter.set_shared(true);
    assert_eq!(
        guards.iter().map(is_notified_of_eviction).collect::<Vec<_>>(),
        [false, false, false, true],
        "busy connections are not evicted"
    );
    drop(guards);
    let guards = [limiter.admit().unwrap(), limiter.admit().unwrap()];
    guards[1].set_state(ConnectionState::Busy);
    let _third = limiter.admit().unwrap();
    assert_eq!(guards.each_ref().map(is_notified_of_eviction), [true, false]);
    limiter.set_shared(false);
    let all = [limiter.admit().unwrap(), limiter.admit().unwrap()];
    assert!(!all.iter().any(is_notified_of_eviction) && !is_notified_of_eviction(&guards[1]));
}

#[test]
fn unproven_connections_are_evicted_before_idle_ones_and_busy_ones_never() {
    let limiter = limiter_of(3);
    let guards: Vec<ConnectionGuard> = (0..3).map(|_| limiter.admit().unwrap()).collect();
    guards[0].set_state(ConnectionState::Busy);
    guards[1].set_state(ConnectionState::Idle);
    let fourth = limiter.admit().unwrap();
    assert_eq!(guards.iter().map(is_notified_of_eviction).collect::<Vec<_>>(), [false, false, true]);
    fourth.set_state(ConnectionState::Busy);
    drop(guards);
    let (_fifth, sixth) = (limiter.admit().unwrap(), limiter.admit().unwrap());
    sixth.set_state(ConnectionState::Busy);
    let seventh = limiter.admit().unwrap();
    seventh.set_state(ConnectionState::Busy);
    assert!(limiter.admit().is_none(), "all connections are busy");
    drop((fourth, sixth));
    let (last, other) = (limiter.admit().unwrap(), limiter.admit().unwrap());
    other.set_state(ConnectionState::Busy);
    let newest = limiter.admit().unwrap();
    // A request arrives on the evicted connection, which therefore stays open and counts towards the limit.
    last.set_state(ConnectionState::Busy);
    assert!(limiter.admit().is_some() && is_notified_of_eviction(&newest));
}

#[test]
fn a_flushing_connection_is_evicted_after_idle_ones_and_waited_for_at_shutdown() {
    let limiter = limiter_of(2);
    let guards = [limiter.admit().unwrap(), limiter.admit().unwrap()];
    guards[0].set_state(ConnectionState::Flushing);
    guards[1].set_state(ConnectionState::Idle);
    let third = limiter.admit().unwrap();
    third.set_state(ConnectionState::Busy);
    assert_eq!(guards.each_ref().map(is_notified_of_eviction), [false, true]);
    assert!(
        limiter.all_flushed().now_or_never().is_none(),
        "one client waits for its response, another has not read it"
    );
    let fourth = limiter.admit().unwrap();
    assert!(is_notified_of_eviction(&guards[0]), "flushing connections are evicted before busy ones");
    drop(guards);
    third.set_state(ConnectionState::Idle);
    assert!(limiter.all_flushed().now_or_never().is_some());
    drop(fourth);
}

/// Guards against incomplete messages that together take more memory than their frontend may have.
#[test]
fn the_oldest_incomplete_message_gives_way_if_the_buffers_take_too_much_memory() {
    let limiter = limiter_of(8);
    let half = MAX_BUFFER_BYTES / 2;
    let guards: Vec<ConnectionGuard> = (0..4).map(|_| limiter.admit().unwrap()).collect();
    guards[0].set_state(ConnectionState::Busy);
    assert!(guards[..2].iter().all(|guard| guard.set_buffers(half, half)));
    assert!(
        guards[2].set_buffers(UNCOUNTED_BUFFER_BYTES, UNCOUNTED_BUFFER_BYTES),
        "small buffers are not counted"
    );
    assert!(guards[3].set_buffers(half, half));
    assert_eq!(
        guards.iter().map(is_notified_of_eviction).collect::<Vec<_>>(),
        [false, true, false, false],
        "busy connections are not evicted, and those with small buffers need not be"
    );
    guards[3].set_state(ConnectionState::Busy);
    assert!(!guards[2].set_buffers(half, half), "all others are busy");
    assert!(guards[2].set_buffers(0, 0) && guards[0].set_buffers(0, 0));
    assert!(guards[2].set_buffers(half, half));
    limiter.set_shared(true);
    assert!(
        !guards[3].set_buffers(half + 1, half + 1),
        "the other process of the node has half of the memory"
    );
}
