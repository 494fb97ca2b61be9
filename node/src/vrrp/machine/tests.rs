use super::*;

const SECOND: Duration = Duration::from_secs(1);
const NOW: UnixTime = Duration::from_secs(1_000);

/// A router at 127.0.0.`last` that has not started.
fn router(priority: u8, last: u8, preempt: bool) -> Router {
    let local = Ipv4Addr::new(127, 0, 0, last);
    let addresses = vec![Ipv4Addr::new(127, 0, 1, 1)];
    Router::new(Parameters { vrid: 9, priority, interval: SECOND, preempt, addresses, local })
}

fn started_router(priority: u8, last: u8, preempt: bool) -> Router {
    let mut router = router(priority, last, preempt);
    router.handle(NOW, Event::Startup);
    router
}

fn active_router(priority: u8, last: u8) -> Router {
    let mut router = started_router(priority, last, true);
    router.handle(NOW + 4 * SECOND, Event::Tick);
    assert_eq!(router.role(), Role::Active);
    router
}

/// The arrival of an advertisement with this priority from 127.0.0.`last`.
fn advertised(last: u8, priority: u8) -> Event {
    let advertisement = router(100, last, true).advertisement(priority);
    Event::Advertised { from: Ipv4Addr::new(127, 0, 0, last), advertisement }
}

/// The priorities of the advertisements to send.
fn sent_priorities(outputs: &[Output]) -> Vec<u8> {
    outputs.iter().map(|Output::Send(a)| a.priority).collect()
}

#[test]
fn the_owner_is_active_at_once_and_a_backup_after_three_intervals_and_the_skew_time() {
    let mut owner = router(255, 1, true);
    assert_eq!(sent_priorities(&owner.handle(NOW, Event::Startup)), [255]);
    assert_eq!(owner.role(), Role::Active);
    let mut backup = started_router(100, 1, true);
    let down = NOW + 3 * SECOND + SECOND * 156 / 256;
    assert_eq!((backup.role(), backup.timer_expires_at()), (Role::Backup, Some(down)));
    assert!(backup.handle(down - Duration::from_millis(1), Event::Tick).is_empty());
    assert_eq!(sent_priorities(&backup.handle(down, Event::Tick)), [100]);
    assert_eq!((backup.role(), backup.timer_expires_at()), (Role::Active, Some(down + SECOND)));
    assert_eq!(sent_priorities(&backup.handle(down + SECOND, Event::Tick)), [100]);
}

#[test]
fn of_two_routers_that_start_together_the_higher_priority_becomes_active() {
    let (mut high, low) = (started_router(200, 1, true), started_router(100, 2, true));
    assert!(high.timer_expires_at() < low.timer_expires_at());
    let mut low = low;
    let at = high.timer_expires_at().unwrap();
    assert_eq!(sent_priorities(&high.handle(at, Event::Tick)), [200]);
    low.handle(at, advertised(1, 200));
    assert_eq!(low.timer_expires_at(), Some(at + 3 * SECOND + SECOND * 156 / 256));
}

#[test]
fn a_higher_priority_preempts_unless_preemption_is_off() {
    for (preempt, role) in [(true, Role::Active), (false, Role::Backup)] {
        let mut high = started_router(200, 1, preempt);
        for second in 1..=5 {
            let now = NOW + second * SECOND;
            high.handle(now, advertised(2, 100));
            high.handle(now, Event::Tick);
        }
        assert_eq!(high.role(), role, "preempt {preempt}");
    }
}

#[test]
fn an_active_router_yields_to_a_higher_priority_and_advertises_to_a_lower_one() {
    let now = NOW + 5 * SECOND;
    let mut router = active_router(100, 5);
    assert_eq!(sent_priorities(&router.handle(now, advertised(9, 99))), [100]);
    assert_eq!(
        sent_priorities(&router.handle(now, advertised(4, 100))),
        [100],
        "the router with the higher address stays active"
    );
    assert_eq!(router.role(), Role::Active);
    assert!(router.handle(now, advertised(6, 100)).is_empty(), "the router with the lower address yields");
    assert_eq!(router.role(), Role::Backup);
    let mut router = active_router(100, 5);
    router.handle(now, advertised(1, 101));
    assert_eq!((router.role(), router.timer_expires_at() > Some(now + 3 * SECOND)), (Role::Backup, true));
}

#[test]
fn a_released_role_is_taken_over_within_the_skew_time() {
    let mut leaving = active_router(200, 1);
    assert_eq!(sent_priorities(&leaving.handle(NOW + 5 * SECOND, Event::Shutdown)), [0]);
    assert_eq!((leaving.role(), leaving.timer_expires_at()), (Role::Initialize, None));
    let mut backup = started_router(100, 2, true);
    backup.handle(NOW + SECOND, advertised(1, 0));
    assert_eq!(backup.timer_expires_at(), Some(NOW + SECOND + SECOND * 156 / 256));
    let mut active = active_router(100, 3);
    assert_eq!(sent_priorities(&active.handle(NOW + 5 * SECOND, advertised(9, 0))), [100]);
    assert!(backup.handle(NOW + SECOND, Event::Shutdown).is_empty(), "a backup has no role to release");
}

#[test]
fn a_backup_follows_the_interval_of_the_active_router() {
    let mut backup = started_router(100, 2, true);
    let mut slow = router(200, 1, true).advertisement(200);
    slow.interval = 4 * SECOND;
    backup.handle(NOW, Event::Advertised { from: Ipv4Addr::LOCALHOST, advertisement: slow });
    assert_eq!(backup.timer_expires_at(), Some(NOW + 12 * SECOND + 4 * SECOND * 156 / 256));
}
