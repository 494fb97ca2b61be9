//! Decodes the frames that the simulator sends.

use std::io::{self, Read};
use std::time::Duration;

use oakwind_admission::{Arrival, CallerId, ClassId, Event, Outcome, RequestId, TenantId, TimerId};

use super::codes::{outcome_code, record_code, FLAG_COST_HINT, LENGTH_BYTES, MAX_FRAME_BYTES, NO_REQUEST};
use crate::error::AdapterError;

/// One record of a batch.
#[derive(Debug, PartialEq)]
pub(crate) enum Record {
    /// Selects the backend that the following records apply to.
    SelectBackend(u16),
    /// The selected backend starts.
    BackendStarted {
        /// Seed of the backend's random numbers.
        seed: u64,
        /// The backend's settings, as JSON.
        settings: String,
    },
    /// The selected backend has crashed.
    BackendCrashed,
    /// An event for the admission module of the selected backend.
    Event(Event),
    /// A timer of the selected backend has expired.
    Timer {
        /// Id under which the admission module set the timer.
        timer: TimerId,
        /// The values of the gauges, in the order in which the backend's settings list their names.
        gauges: Vec<f64>,
    },
}

/// The records of one frame.
#[derive(Debug, PartialEq)]
pub(crate) struct Batch {
    /// Time on the simulator's clock.
    pub(crate) now: Duration,
    /// The records in wire order.
    pub(crate) records: Vec<Record>,
}

/// Reads the body of the next frame; `None` if the input ends on a frame boundary.
pub(crate) fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, AdapterError> {
    let mut head = [0u8; LENGTH_BYTES];
    match read_up_to(input, &mut head)? {
        0 => return Ok(None),
        LENGTH_BYTES => {}
        _ => return Err(AdapterError::TruncatedLength),
    }
    let len = u32::from_le_bytes(head) as usize;
    if len > MAX_FRAME_BYTES {
        return Err(AdapterError::FrameTooLong(len));
    }
    let mut body = vec![0; len];
    if read_up_to(input, &mut body)? < len {
        return Err(AdapterError::TruncatedFrame);
    }
    Ok(Some(body))
}

/// Reads until `buffer` is full or the input ends; returns the number of bytes read.
fn read_up_to(input: &mut impl Read, buffer: &mut [u8]) -> Result<usize, AdapterError> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) => break,
            Ok(count) => filled += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(AdapterError::Read(error.to_string())),
        }
    }
    Ok(filled)
}

/// Reads the fields of records from a frame's body.
struct Cursor<'a> {
    /// The bytes not yet read.
    rest: &'a [u8],
}

impl<'a> Cursor<'a> {
    fn bytes(&mut self, count: usize) -> Result<&'a [u8], AdapterError> {
        if count > self.rest.len() {
            return Err(AdapterError::TruncatedRecord);
        }
        let (taken, rest) = self.rest.split_at(count);
        self.rest = rest;
        Ok(taken)
    }

    fn array<const LENGTH: usize>(&mut self) -> Result<[u8; LENGTH], AdapterError> {
        let mut value = [0; LENGTH];
        value.copy_from_slice(self.bytes(LENGTH)?);
        Ok(value)
    }

    fn u8(&mut self) -> Result<u8, AdapterError> {
        Ok(self.array::<1>()?[0])
    }

    fn u16(&mut self) -> Result<u16, AdapterError> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    fn u32(&mut self) -> Result<u32, AdapterError> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    fn u64(&mut self) -> Result<u64, AdapterError> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    fn f32(&mut self) -> Result<f32, AdapterError> {
        Ok(f32::from_le_bytes(self.array()?))
    }

    fn micros(&mut self) -> Result<Duration, AdapterError> {
        Ok(Duration::from_micros(self.u32()?.into()))
    }

    fn request_id(&mut self) -> Result<RequestId, AdapterError> {
        Ok(RequestId(self.u32()?))
    }

    fn outcome(&mut self) -> Result<Outcome, AdapterError> {
        Ok(match self.u16()? {
            outcome_code::OK => Outcome::Ok,
            outcome_code::ERROR => Outcome::Error,
            outcome_code::REJECTED => Outcome::Rejected,
            outcome_code::TIMED_OUT => Outcome::TimedOut,
            outcome_code::UNREACHABLE => Outcome::Unreachable,
            outcome_code::CUT_OFF => Outcome::CutOff,
            outcome_code::CANCELLED => Outcome::Cancelled,
            outcome_code::SKIPPED => Outcome::Skipped,
            other => return Err(AdapterError::UnknownOutcome(other)),
        })
    }

    fn arrival(&mut self) -> Result<Arrival, AdapterError> {
        let id = self.request_id()?;
        let retry_of = match self.u32()? {
            NO_REQUEST => None,
            repeated => Some(RequestId(repeated)),
        };
        let cost_hint = self.micros()?;
        let tenant = TenantId(self.u16()?);
        let class = ClassId(self.u16()?);
        let memory_kb = self.f32()?.into();
        let flags = self.u8()?;
        let _path_key = self.u64()?;
        let age = self.micros()?;
        let rank = self.f32()?.into();
        let caller = CallerId(self.u32()?);
        let remaining_time = self.micros()?;
        Ok(Arrival {
            id,
            retry_of,
            class,
            tenant,
            cost_hint: (flags & FLAG_COST_HINT != 0).then_some(cost_hint),
            memory_kb,
            age,
            rank,
            caller,
            remaining_time: (!remaining_time.is_zero()).then_some(remaining_time),
        })
    }

    fn record(&mut self) -> Result<Record, AdapterError> {
        Ok(match self.u8()? {
            record_code::BACKEND_STARTED => self.backend_started()?,
            record_code::ARRIVED => Record::Event(Event::Arrived(self.arrival()?)),
            record_code::FINISHED => Record::Event(Event::Finished {
                id: self.request_id()?,
                outcome: self.outcome()?,
                took: self.micros()?,
            }),
            record_code::CALL_NEEDED => Record::Event(Event::CallNeeded(self.request_id()?)),
            record_code::CALL_RETURNED => Record::Event(Event::CallReturned {
                id: self.request_id()?,
                outcome: self.outcome()?,
                took: self.micros()?,
            }),
            record_code::DRAIN => Record::Event(Event::Drain(self.micros()?)),
            record_code::CANCELLED => Record::Event(Event::Cancelled(self.request_id()?)),
            record_code::TIMER => self.timer()?,
            record_code::BACKEND_CRASHED => Record::BackendCrashed,
            record_code::SELECT_BACKEND => Record::SelectBackend(self.u16()?),
            other => return Err(AdapterError::UnknownRecord(other)),
        })
    }

    fn backend_started(&mut self) -> Result<Record, AdapterError> {
        let seed = self.u64()?;
        let length = self.u32()? as usize;
        let settings = std::str::from_utf8(self.bytes(length)?);
        let settings = settings.map_err(|_| AdapterError::SettingsNotUtf8)?.to_owned();
        Ok(Record::BackendStarted { seed, settings })
    }

    fn timer(&mut self) -> Result<Record, AdapterError> {
        let timer = TimerId(self.u32()?);
        let count = self.u8()?;
        let gauges = (0..count).map(|_| self.f32().map(f64::from)).collect::<Result<_, _>>()?;
        Ok(Record::Timer { timer, gauges })
    }
}

/// Decodes a frame's body.
pub(crate) fn decode(body: &[u8]) -> Result<Batch, AdapterError> {
    let mut cursor = Cursor { rest: body };
    let count = cursor.u32()?;
    let now = Duration::from_micros(cursor.u64()?);
    let mut records = Vec::with_capacity((count as usize).min(body.len()));
    for _ in 0..count {
        records.push(cursor.record()?);
    }
    if !cursor.rest.is_empty() {
        return Err(AdapterError::TrailingBytes(cursor.rest.len()));
    }
    Ok(Batch { now, records })
}
