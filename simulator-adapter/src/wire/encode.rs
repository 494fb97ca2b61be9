//! Encodes replies to the simulator.

use std::time::Duration;

use oakwind_admission::{Action, RequestId};

use super::codes::action_code;

/// Size in bytes of a reply's header: the number of records and the length of the body, four bytes each.
const HEADER_BYTES: usize = 8;

/// The reply to a batch.
#[derive(Debug, Default)]
pub(crate) struct Reply {
    /// Number of records in the body.
    count: u32,
    body: Vec<u8>,
}

impl Reply {
    /// Starts a record with this code; the caller appends the fields to the returned body.
    fn record(&mut self, code: u8) -> &mut Vec<u8> {
        self.count += 1;
        self.body.push(code);
        &mut self.body
    }

    /// Starts a record with this code, followed by the request id.
    fn request(&mut self, code: u8, id: RequestId) -> &mut Vec<u8> {
        let body = self.record(code);
        body.extend(id.0.to_le_bytes());
        body
    }

    /// Appends a record that selects the backend and one record per action; appends nothing without actions.
    pub(crate) fn extend(&mut self, backend: u16, actions: &[Action]) {
        if actions.is_empty() {
            return;
        }
        self.record(action_code::SELECT_BACKEND).extend(backend.to_le_bytes());
        for action in actions {
            self.action(action);
        }
    }

    fn action(&mut self, action: &Action) {
        match *action {
            Action::IdleLimit(limit) => self.record(action_code::IDLE_LIMIT).extend(micros(limit)),
            Action::Run(id) => drop(self.request(action_code::RUN, id)),
            Action::RetainKey(id, duration) => {
                self.request(action_code::RETAIN_KEY, id).extend(micros(duration));
            }
            Action::Coalesce(id) => drop(self.request(action_code::COALESCE, id)),
            Action::Fail(id) => drop(self.request(action_code::FAIL, id)),
            Action::SkipCall(id) => drop(self.request(action_code::SKIP_CALL, id)),
            Action::Reject { id, retry_after, give_up } => {
                let body = self.request(action_code::REJECT, id);
                body.extend(micros(retry_after.unwrap_or_default()));
                body.push(give_up.into());
            }
            Action::Advertise(value) => {
                self.record(action_code::ADVERTISE).extend((value as f32).to_le_bytes());
            }
            Action::SetHealth { healthy, static_answer } => {
                self.record(action_code::SET_HEALTH).extend([u8::from(healthy), u8::from(static_answer)]);
            }
            Action::SetTimer(timer, delay) => {
                let body = self.record(action_code::SET_TIMER);
                body.extend(micros(delay));
                body.extend(timer.0.to_le_bytes());
            }
            Action::Pause(id) => drop(self.request(action_code::PAUSE, id)),
            Action::Call(id, timeout) => self.request(action_code::CALL, id).extend(micros(timeout)),
            Action::ReleaseKey(id) => drop(self.request(action_code::RELEASE_KEY, id)),
        }
    }

    /// Encodes the frame: the number of records, the length of the body in bytes, and the body.
    pub(crate) fn frame(&self) -> Vec<u8> {
        let mut frame = Vec::with_capacity(self.body.len() + HEADER_BYTES);
        frame.extend(self.count.to_le_bytes());
        frame.extend((self.body.len() as u32).to_le_bytes());
        frame.extend(&self.body);
        frame
    }
}

/// Encodes a duration as 32-bit microseconds, saturating at the maximum.
fn micros(time: Duration) -> [u8; 4] {
    u32::try_from(time.as_micros()).unwrap_or(u32::MAX).to_le_bytes()
}
