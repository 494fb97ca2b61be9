//! The clock of a process: it follows the system's Unix clock, but never goes back.
//!
//! Deadlines are points in time on this clock and are sent along with the requests that they limit. When the
//! system clock is set back, this clock is slewed: it runs slower until the system clock has caught up. When
//! the system clock steps ahead, as after a suspend of the machine, this clock follows, and [`stepped_ahead`]
//! returns by how much, so that stored keys do not expire early.

use std::cell::RefCell;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::time::Sleep;

/// A point in time, as the time since the Unix epoch.
pub(crate) type UnixTime = Duration;

/// While the system clock is behind, this clock runs slower by one part in this number.
const SLEW_DIVISOR: u32 = 20;
/// The system clock counts as stepped ahead if it gains at least this much on the monotonic clock between two
/// readings.
const STEP_THRESHOLD: Duration = Duration::from_millis(500);
/// The longest sleep. It is longer than every deadline, and short enough for the runtime's timer.
const MAX_SLEEP: Duration = Duration::from_secs(86_400);
/// Environment variable by which tests simulate a step of the system clock. The value `AT:BY`, such as
/// `3000:-3600000`, sets the clock by `BY` milliseconds at `AT` milliseconds after the start of the process.
const SIMULATED_STEP_VARIABLE: &str = "OAKWIND_REHEARSED_CLOCK";

/// Derives the time of this clock from readings of the system clock and of the monotonic clock.
#[derive(Debug)]
struct SlewedClock {
    /// The last time that was returned.
    returned: UnixTime,
    /// The last reading of the system clock.
    system: UnixTime,
    /// The last reading of the monotonic clock.
    monotonic: Duration,
    /// The sum of all steps ahead.
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
            // A step that only makes up for an earlier step back is not a step of this clock.
            self.stepped_ahead += gained.min(system.saturating_sub(self.returned + passed));
        }
        let slowed = passed.saturating_sub(passed / SLEW_DIVISOR);
        self.returned = system.max(self.returned + slowed);
        self.system = system;
        self.monotonic = monotonic;
        self.returned
    }
}

/// A simulated step of the system clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SimulatedStep {
    /// When the step occurs, as the time since the start of the process.
    after: Duration,
    /// The size of the step, in milliseconds; negative if the clock is set back.
    by_ms: i64,
}

impl SimulatedStep {
    fn parse(text: &str) -> Option<Self> {
        let (after_ms, by_ms) = text.split_once(':')?;
        let after = Duration::from_millis(after_ms.parse().ok()?);
        Some(SimulatedStep { after, by_ms: by_ms.parse().ok()? })
    }

    /// The reading of the system clock with this step applied.
    fn apply(self, system: UnixTime, since_start: Duration) -> UnixTime {
        let by = Duration::from_millis(self.by_ms.unsigned_abs());
        match since_start >= self.after {
            true if self.by_ms < 0 => system.saturating_sub(by),
            true => system + by,
            false => system,
        }
    }
}

/// Clock state that each thread keeps for itself.
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

/// The current time on this clock.
pub(crate) fn now() -> UnixTime {
    let system = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    CLOCK.with_borrow_mut(|clock| {
        let monotonic = STARTED_AT.get_or_init(Instant::now).elapsed();
        let system = clock.simulated_step.map_or(system, |step| step.apply(system, monotonic));
        clock.slewed.get_or_insert_with(|| SlewedClock::new(system, monotonic)).now(system, monotonic)
    })
}

/// The sum of all steps ahead of this clock since the process started.
pub(crate) fn stepped_ahead() -> Duration {
    CLOCK.with_borrow(|clock| clock.slewed.as_ref().map_or(Duration::ZERO, |slewed| slewed.stepped_ahead))
}

/// Converts a time to whole milliseconds, the form in which times are stored and sent.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// The current time in whole Unix milliseconds.
pub(crate) fn now_millis() -> u64 {
    millis(now())
}

/// Sleeps until a point in time, but for at most [`MAX_SLEEP`].
pub(crate) fn until(at: UnixTime) -> Sleep {
    let wait = at.saturating_sub(now()).min(MAX_SLEEP);
    tokio::time::sleep_until(tokio::time::Instant::now() + wait)
}

#[cfg(test)]
mod tests;
