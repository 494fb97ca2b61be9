//! The simulator's wire: little-endian frames of packed records.

use std::fmt;
use std::io::{self, Read};
use std::time::Duration;

use oakwind_admission::{Action, Arrival, CallerId, ClassId, Event, Outcome, RequestId, TenantId, TimerId};

/// Longest batch accepted; the simulator's are megabytes at most.
const MAX_FRAME: usize = 1 << 28;

/// What is wrong with the input.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

fn malformed<T>(what: impl Into<String>) -> Result<T, Malformed> {
    Err(Malformed(what.into()))
}

/// One record of a batch.
#[derive(Debug, PartialEq)]
pub(crate) enum Record {
    /// The records after it are for this backend.
    At(u16),
    /// A backend starts, with its seed and settings text.
    PowerOn(u64, String),
    /// The backend died.
    Crash,
    /// Something for the decision module.
    Event(Event),
    /// A timer; its gauges are in the order of the backend's settings.
    Reminder(TimerId, Vec<f64>),
}

/// A batch.
#[derive(Debug, PartialEq)]
pub(crate) struct Batch {
    /// The clock.
    pub now: Duration,
    /// Its records, in order.
    pub records: Vec<Record>,
}

/// Reads one whole frame body, or nothing at the end of input.
pub(crate) fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, Malformed> {
    let mut head = [0u8; 4];
    match read_up_to(input, &mut head)? {
        0 => return Ok(None),
        4 => {}
        _ => return malformed("input ends inside a frame's length"),
    }
    let len = u32::from_le_bytes(head) as usize;
    if len > MAX_FRAME {
        return malformed(format!("frame of {len} bytes is too long"));
    }
    let mut body = vec![0; len];
    if read_up_to(input, &mut body)? < len {
        return malformed("input ends inside a frame");
    }
    Ok(Some(body))
}

fn read_up_to(input: &mut impl Read, buffer: &mut [u8]) -> Result<usize, Malformed> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) => break,
            Ok(n) => filled += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return malformed(format!("reading input: {e}")),
        }
    }
    Ok(filled)
}

struct Cursor<'a> {
    rest: &'a [u8],
}

impl<'a> Cursor<'a> {
    fn bytes(&mut self, n: usize) -> Result<&'a [u8], Malformed> {
        if n > self.rest.len() {
            return malformed("a record is cut short");
        }
        let (taken, rest) = self.rest.split_at(n);
        self.rest = rest;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Malformed> {
        let mut value = [0; N];
        value.copy_from_slice(self.bytes(N)?);
        Ok(value)
    }

    fn u8(&mut self) -> Result<u8, Malformed> {
        Ok(self.array::<1>()?[0])
    }

    fn u16(&mut self) -> Result<u16, Malformed> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    fn u32(&mut self) -> Result<u32, Malformed> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    fn u64(&mut self) -> Result<u64, Malformed> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    fn f32(&mut self) -> Result<f32, Malformed> {
        Ok(f32::from_le_bytes(self.array()?))
    }

    fn micros(&mut self) -> Result<Duration, Malformed> {
        Ok(Duration::from_micros(self.u32()?.into()))
    }

    fn id(&mut self) -> Result<RequestId, Malformed> {
        Ok(RequestId(self.u32()?))
    }

    fn outcome(&mut self) -> Result<Outcome, Malformed> {
        Ok(match self.u16()? {
            1 => Outcome::Ok,
            2 => Outcome::Error,
            3 => Outcome::Rejected,
            4 => Outcome::TimedOut,
            5 => Outcome::Unreachable,
            6 => Outcome::CutOff,
            7 => Outcome::Cancelled,
            8 => Outcome::Skipped,
            other => return malformed(format!("unknown outcome {other}")),
        })
    }

    fn arrival(&mut self) -> Result<Arrival, Malformed> {
        let id = self.id()?;
        let repeats = match self.u32()? {
            0 => None,
            prior => Some(RequestId(prior)),
        };
        let cost_hint = self.micros()?;
        let tenant = TenantId(self.u16()?);
        let class = ClassId(self.u16()?);
        let memory_kb = self.f32()?.into();
        let marks = self.u8()?;
        let _path_key = self.u64()?;
        let age = self.micros()?;
        let rank = self.f32()?.into();
        let caller = CallerId(self.u32()?);
        let time_left = self.micros()?;
        Ok(Arrival {
            id,
            repeats,
            class,
            tenant,
            cost_hint: (marks & 1 != 0).then_some(cost_hint),
            memory_kb,
            age,
            rank,
            caller,
            time_left: (!time_left.is_zero()).then_some(time_left),
        })
    }

    fn record(&mut self) -> Result<Record, Malformed> {
        Ok(match self.u8()? {
            0 => {
                let seed = self.u64()?;
                let len = self.u32()? as usize;
                match std::str::from_utf8(self.bytes(len)?) {
                    Ok(text) => Record::PowerOn(seed, text.to_owned()),
                    Err(_) => return malformed("settings are not UTF-8"),
                }
            }
            1 => Record::Event(Event::Arrived(self.arrival()?)),
            2 => Record::Event(Event::Finished {
                id: self.id()?,
                outcome: self.outcome()?,
                took: self.micros()?,
            }),
            3 => Record::Event(Event::CallNeeded(self.id()?)),
            4 => Record::Event(Event::CallReturned {
                id: self.id()?,
                outcome: self.outcome()?,
                took: self.micros()?,
            }),
            5 => Record::Event(Event::Drain(self.micros()?)),
            6 => Record::Event(Event::Cancelled(self.id()?)),
            7 => {
                let handle = TimerId(self.u32()?);
                let n = self.u8()?;
                let gauges = (0..n).map(|_| self.f32().map(f64::from)).collect::<Result<_, _>>()?;
                Record::Reminder(handle, gauges)
            }
            8 => Record::Crash,
            9 => Record::At(self.u16()?),
            other => return malformed(format!("unknown record code {other}")),
        })
    }
}

/// Decodes a frame's body.
pub(crate) fn decode(body: &[u8]) -> Result<Batch, Malformed> {
    let mut cursor = Cursor { rest: body };
    let count = cursor.u32()?;
    let now = Duration::from_micros(cursor.u64()?);
    let mut records = Vec::with_capacity((count as usize).min(body.len()));
    for _ in 0..count {
        records.push(cursor.record()?);
    }
    if !cursor.rest.is_empty() {
        return malformed(format!("{} bytes follow a frame's last record", cursor.rest.len()));
    }
    Ok(Batch { now, records })
}

/// A reply under construction.
#[derive(Debug, Default)]
pub(crate) struct Reply {
    count: u32,
    body: Vec<u8>,
}

impl Reply {
    fn record(&mut self, code: u8) -> &mut Vec<u8> {
        self.count += 1;
        self.body.push(code);
        &mut self.body
    }

    fn request(&mut self, code: u8, id: RequestId) -> &mut Vec<u8> {
        let body = self.record(code);
        body.extend(id.0.to_le_bytes());
        body
    }

    /// Adds a backend's actions.
    pub(crate) fn extend(&mut self, backend: u16, actions: &[Action]) {
        if actions.is_empty() {
            return;
        }
        self.record(70).extend(backend.to_le_bytes());
        for action in actions {
            self.action(action);
        }
    }

    fn action(&mut self, action: &Action) {
        match *action {
            Action::IdleLimit(keep) => self.record(64).extend(micros(keep)),
            Action::Run(id) => drop(self.request(65, id)),
            Action::RetainKey(id, keep) => self.request(66, id).extend(micros(keep)),
            Action::Coalesce(id) => drop(self.request(68, id)),
            Action::Fail(id) => drop(self.request(69, id)),
            Action::SkipCall(id) => drop(self.request(71, id)),
            Action::Reject { id, retry_after, give_up } => {
                let body = self.request(72, id);
                body.extend(micros(retry_after.unwrap_or_default()));
                body.push(give_up.into());
            }
            Action::Advertise(value) => {
                self.record(73).extend((value as f32).to_le_bytes());
            }
            Action::SetHealth { good, cheap } => {
                self.record(74).extend([u8::from(good), u8::from(cheap)]);
            }
            Action::SetTimer(timer, span) => {
                let body = self.record(75);
                body.extend(micros(span));
                body.extend(timer.0.to_le_bytes());
            }
            Action::Pause(id) => drop(self.request(77, id)),
            Action::Call(id, within) => self.request(78, id).extend(micros(within)),
            Action::ReleaseKey(id) => drop(self.request(79, id)),
        }
    }

    /// The whole frame.
    pub(crate) fn frame(&self) -> Vec<u8> {
        let mut frame = Vec::with_capacity(self.body.len() + 8);
        frame.extend(self.count.to_le_bytes());
        frame.extend((self.body.len() as u32).to_le_bytes());
        frame.extend(&self.body);
        frame
    }
}

fn micros(time: Duration) -> [u8; 4] {
    u32::try_from(time.as_micros()).unwrap_or(u32::MAX).to_le_bytes()
}

#[cfg(test)]
mod tests;
