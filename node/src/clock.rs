//! Time is the system's Unix clock, but never goes back: deadlines are points on it and travel with what they bound. When
//! the system's clock is set back, time goes on a little slower until that has caught up; when it jumps ahead, as after a
//! sleep of the machine, time follows, and how far it has jumped is told to those who must not forget anything early.

use std::cell::RefCell;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::time::Sleep;

/// A point in time, as the time since the Unix epoch.
pub type UnixTime = Duration;

/// The same; the name that is still used in places.
pub type Unix = Duration;

/// While the system's clock is behind, time goes on slower by one part in so many.
const SLOWER: u32 = 20;
/// What the system's clock gains on the steady one at once, from this on, is a jump.
const JUMP: Duration = Duration::from_millis(500);
/// For rehearsals: so long after its start, in milliseconds, the process sees the system's clock set by so many
/// milliseconds, as AT:BY (`3000:-3600000`).
const REHEARSED: &str = "OAKWIND_REHEARSED_CLOCK";

/// How the time that is told follows the system's clock.
#[derive(Debug)]
struct Follower {
    told: Unix,
    system: Unix,
    steady: Duration,
    jumped: Duration,
}

impl Follower {
    fn new(system: Unix, steady: Duration) -> Self {
        Follower { told: system, system, steady, jumped: Duration::ZERO }
    }

    fn now(&mut self, system: Unix, steady: Duration) -> Unix {
        let passed = steady.saturating_sub(self.steady);
        let gained = system.saturating_sub(self.system).saturating_sub(passed);
        if gained >= JUMP {
            // Where it only makes up for having been set back, time does not jump.
            self.jumped += gained.min(system.saturating_sub(self.told + passed));
        }
        let slower = passed.saturating_sub(passed / SLOWER);
        self.told = system.max(self.told + slower);
        (self.system, self.steady) = (system, steady);
        self.told
    }
}

/// When time was first asked for in this process.
static BEGUN: OnceLock<Instant> = OnceLock::new();

struct Watch {
    rehearsed: Option<(Duration, i64)>,
    follower: Option<Follower>,
}

thread_local! {
    static WATCH: RefCell<Watch> = RefCell::new(Watch {
        rehearsed: std::env::var(REHEARSED).ok().and_then(|text| rehearsed(&text)),
        follower: None,
    });
}

fn rehearsed(text: &str) -> Option<(Duration, i64)> {
    let (at, by) = text.split_once(':')?;
    Some((Duration::from_millis(at.parse().ok()?), by.parse().ok()?))
}

/// Now.
pub fn now() -> Unix {
    let system = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WATCH.with_borrow_mut(|watch| {
        let steady = BEGUN.get_or_init(Instant::now).elapsed();
        let system = match watch.rehearsed {
            Some((at, by)) if steady >= at && by < 0 => {
                system.saturating_sub(Duration::from_millis(by.unsigned_abs()))
            }
            Some((at, by)) if steady >= at => system + Duration::from_millis(by.unsigned_abs()),
            _ => system,
        };
        watch.follower.get_or_insert_with(|| Follower::new(system, steady)).now(system, steady)
    })
}

/// How far time has jumped ahead since the process began, in all.
pub fn jumped() -> Duration {
    WATCH.with_borrow(|watch| watch.follower.as_ref().map_or(Duration::ZERO, |follower| follower.jumped))
}

/// A time in whole milliseconds, as it is written and sent.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Sleeps until a point in time.
pub fn until(at: Unix) -> Sleep {
    let wait = at.saturating_sub(now()).min(Duration::from_secs(86_400));
    tokio::time::sleep_until(tokio::time::Instant::now() + wait)
}

#[cfg(test)]
mod tests;
