//! The buffers of a connection: how they grow, when they are freed, and what they take of the frontend's memory.

use bytes::BytesMut;

use super::{Connection, MAX_LINE_BYTES};
use crate::log;

/// Free space that is kept in the read buffer for each read, in bytes.
const READ_CHUNK_BYTES: usize = 4096;
/// Size up to which an unused buffer is kept, in bytes.
const MAX_IDLE_BUFFER_BYTES: usize = 2 * READ_CHUNK_BYTES;

impl Connection {
    /// Reports the memory of the buffers, and frees those that are not needed. Returns whether there is memory to read more;
    /// a long message for which there is none fails.
    pub(super) fn limit_buffers(&mut self, input: &mut BytesMut) -> bool {
        if input.is_empty() || self.stops_reading() {
            release(input);
        }
        if self.output.is_empty() {
            release(&mut self.output);
        }
        let used = input.len() + self.output.len();
        let has_memory = self.guard.set_buffers(used, input.capacity() + self.output.capacity());
        if !has_memory && input.len() > READ_CHUNK_BYTES && !self.stops_reading() {
            log!("frontend: message refused, no memory for long messages: protocol=JSON-RPC");
            self.fail("no memory for a long message");
            release(input);
        }
        has_memory
    }
}

/// Reserves free space for a read. Once a line is longer than a read it gets its maximum length at once, as a buffer that
/// grows by and by takes up to twice the memory.
pub(super) fn reserve_for_read(input: &mut BytesMut) {
    let rest_of_line = MAX_LINE_BYTES.saturating_sub(input.len());
    let is_long = input.len() >= READ_CHUNK_BYTES;
    input.reserve(if is_long { rest_of_line + READ_CHUNK_BYTES } else { READ_CHUNK_BYTES });
}

/// Frees the memory of an unused buffer that is larger than usual.
fn release(buffer: &mut BytesMut) {
    if buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
        *buffer = BytesMut::new();
    }
}
