//! The clock of a process: the system's Unix clock, but it never goes back.
//!
//! Deadlines are points on it and travel with the requests that they bound. When the system's clock is set back, this one
//! is slewed: it runs slower until the other has caught up. When the system's clock steps ahead, as after a sleep of the
//! machine, this one follows, and [`stepped_ahead`] returns by how much: stored keys must not expire early because of it.

use std::cell::RefCell;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::time::Sleep;

/// A point in time, as the time since the Unix epoch.
pub(crate) type UnixTime = Duration;

/// While the system's clock is behind, this one runs slower by one part in so many.
const SLEW_DIVISOR: u32 = 20;
/// What the system's clock gains on the monotonic one between two readings is a step from this on.
const STEP_THRESHOLD: Duration = Duration::from_millis(500);
/// The longest sleep: far enough for every deadline, near enough for the runtime's timer.
const MAX_SLEEP: Duration = Duration::from_secs(86_400);
/// For tests: so long after its start, in milliseconds, the process sees the system's clock set by so many
/// milliseconds, as AT:BY (`3000:-3600000`).
const SIMULATED_STEP_VARIABLE: &str = "OAKWIND_REHEARSED_CLOCK";

/// Derives the time of this clock from readings of the system's clock and of the monotonic one.
#[derive(Debug)]
struct SlewedClock {
    /// The last time that was returned.
    returned: UnixTime,
    /// The last reading of the system's clock.
    system: UnixTime,
    /// The last reading of the monotonic clock.
    monotonic: Duration,
    /// All steps ahead together.
    stepped_ahead: Duration,
}

impl SlewedClock {
    fn new(system: UnixTime, monotonic: Duration) -> Self {
        SlewedClock { returned: system, system, monotonic, stepped_ahead: Duration::ZERO }
    }

    fn now(&mut self, system: UnixTime, monotonic: Duration) -> UnixTime {
        let passed = monotonic.saturating_sub(self.monotonic);
        let gained = system.saturating_sub(self.system).saturating_sub(passed);
        if gained >= STEP_THRESHOLD {
            // What only makes up for having been set back is no step of this clock.
            self.stepped_ahead += gained.min(system.saturating_sub(self.returned + passed));
        }
        let slowed = passed.saturating_sub(passed / SLEW_DIVISOR);
        self.returned = system.max(self.returned + slowed);
        self.system = system;
        self.monotonic = monotonic;
        self.returned
    }
}

/// A step of the system's clock that a process is to see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SimulatedStep {
    /// How long after the start of the process.
    after: Duration,
    /// By how much, in milliseconds; negative where the clock is set back.
    by_ms: i64,
}

impl SimulatedStep {
    fn parse(text: &str) -> Option<Self> {
        let (after_ms, by_ms) = text.split_once(':')?;
        let after = Duration::from_millis(after_ms.parse().ok()?);
        Some(SimulatedStep { after, by_ms: by_ms.parse().ok()? })
    }

    /// What the system's clock reads with this step.
    fn apply(self, system: UnixTime, since_start: Duration) -> UnixTime {
        let by = Duration::from_millis(self.by_ms.unsigned_abs());
        match since_start >= self.after {
            true if self.by_ms < 0 => system.saturating_sub(by),
            true => system + by,
            false => system,
        }
    }
}

/// The clock of a thread.
struct ThreadClock {
    simulated_step: Option<SimulatedStep>,
    slewed: Option<SlewedClock>,
}

/// When the clock was first read in this process.
static STARTED_AT: OnceLock<Instant> = OnceLock::new();

thread_local! {
    static CLOCK: RefCell<ThreadClock> = RefCell::new(ThreadClock {
        simulated_step: std::env::var(SIMULATED_STEP_VARIABLE).ok().and_then(|text| SimulatedStep::parse(&text)),
        slewed: None,
    });
}

/// Now.
pub(crate) fn now() -> UnixTime {
    let system = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    CLOCK.with_borrow_mut(|clock| {
        let monotonic = STARTED_AT.get_or_init(Instant::now).elapsed();
        let system = clock.simulated_step.map_or(system, |step| step.apply(system, monotonic));
        clock.slewed.get_or_insert_with(|| SlewedClock::new(system, monotonic)).now(system, monotonic)
    })
}

/// How far this clock has stepped ahead since the process started, in all.
pub(crate) fn stepped_ahead() -> Duration {
    CLOCK.with_borrow(|clock| clock.slewed.as_ref().map_or(Duration::ZERO, |slewed| slewed.stepped_ahead))
}

/// A time in whole milliseconds, as it is written and sent.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Now, in whole milliseconds.
pub(crate) fn now_millis() -> u64 {
    millis(now())
}

/// Sleeps until a point in time, for [`MAX_SLEEP`] at most.
pub(crate) fn until(at: UnixTime) -> Sleep {
    let wait = at.saturating_sub(now()).min(MAX_SLEEP);
    tokio::time::sleep_until(tokio::time::Instant::now() + wait)
}

#[cfg(test)]
mod tests;
