//! The recording of a scenario: the exact text of its first actions, and digests over all actions.

use std::time::Duration;

use oakwind_admission::Action;

/// Virtual time between two lines of digests, in microseconds.
const LINE_PERIOD_MICROS: u64 = 500_000;
/// Number of actions that are recorded as text.
const FIRST_ACTIONS: usize = 300;

/// The offset basis and the prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The recording of one scenario.
pub(super) struct Recording {
    digest: u64,
    actions: usize,
    next_line_at: u64,
    digests: Vec<String>,
    first_actions: Vec<String>,
}

impl Recording {
    /// Creates an empty recording that starts at `now_micros`.
    pub(super) fn new(now_micros: u64) -> Self {
        Recording {
            digest: FNV_OFFSET_BASIS,
            actions: 0,
            next_line_at: now_micros + LINE_PERIOD_MICROS,
            digests: Vec::new(),
            first_actions: Vec::new(),
        }
    }

    /// Adds the actions of one batch and the permitted rate after it.
    pub(super) fn add_batch(&mut self, now_micros: u64, actions: &[Action], permitted_rate: Option<f64>) {
        for action in actions {
            let text = exact_text(action);
            self.add_to_digest(&text);
            if self.first_actions.len() < FIRST_ACTIONS {
                self.first_actions.push(format!("{now_micros} {text}"));
            }
        }
        self.actions += actions.len();
        self.add_to_digest(&rate_text(permitted_rate));
        if now_micros >= self.next_line_at {
            self.add_line(now_micros, permitted_rate);
            self.next_line_at = now_micros + LINE_PERIOD_MICROS;
        }
    }

    /// Ends the recording with a line that covers all actions.
    pub(super) fn finish(mut self, now_micros: u64, permitted_rate: Option<f64>) -> Self {
        self.add_line(now_micros, permitted_rate);
        self
    }

    fn add_line(&mut self, now_micros: u64, permitted_rate: Option<f64>) {
        let seconds = now_micros as f64 / 1e6;
        let rate = rate_text(permitted_rate);
        self.digests.push(format!("{seconds:.3} {} {:016x} {rate}", self.actions, self.digest));
    }

    /// One line per half second: time, number of actions, digest and permitted rate.
    pub(super) fn digests(&self) -> &[String] {
        &self.digests
    }

    /// The first actions, each with the time of its batch in microseconds.
    pub(super) fn first_actions(&self) -> &[String] {
        &self.first_actions
    }

    fn add_to_digest(&mut self, text: &str) {
        for byte in text.bytes().chain([b'\n']) {
            self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }
}

fn bits(value: f64) -> String {
    format!("{:016x}", value.to_bits())
}

fn rate_text(permitted_rate: Option<f64>) -> String {
    permitted_rate.map_or_else(|| "none".to_owned(), bits)
}

fn nanoseconds(duration: Duration) -> String {
    format!("{}ns", duration.as_nanos())
}

/// The text of an action with all of its numbers exact.
fn exact_text(action: &Action) -> String {
    match *action {
        Action::Run(id) => format!("run {}", id.0),
        Action::Pause(id) => format!("pause {}", id.0),
        Action::Reject { id, retry_after, give_up } => {
            let retry_after = retry_after.map_or_else(|| "none".to_owned(), nanoseconds);
            format!("reject {} retry_after={retry_after} give_up={give_up}", id.0)
        }
        Action::Fail(id) => format!("fail {}", id.0),
        Action::Coalesce(id) => format!("coalesce {}", id.0),
        Action::RetainKey(id, retention) => format!("retain_key {} {}", id.0, nanoseconds(retention)),
        Action::ReleaseKey(id) => format!("release_key {}", id.0),
        Action::Call(id, timeout) => format!("call {} {}", id.0, nanoseconds(timeout)),
        Action::SkipCall(id) => format!("skip_call {}", id.0),
        Action::SetHealth { healthy, static_answer } => {
            format!("set_health good={healthy} cheap={static_answer}")
        }
        Action::Advertise(value) => format!("advertise {}", bits(value)),
        Action::IdleLimit(limit) => format!("idle_limit {}", nanoseconds(limit)),
        Action::SetTimer(timer, delay) => format!("set_timer {} {}", timer.0, nanoseconds(delay)),
    }
}
