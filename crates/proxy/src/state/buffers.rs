//! Read and write buffers of a stream. Bodies of messages are slices of the buffer into which they
//! were read.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;

use bytes::{Buf, Bytes};

use crate::state::arrival_time::{ArrivalTime, Received, receive};
use crate::state::memory::{Charge, ChargedBytes, MemoryPool, UNRESERVED_BYTES};

#[cfg(test)]
mod tests;

/// Size of the buffer into which sockets are read, in bytes.
const SCRATCH_BYTES: usize = 64 * 1024;
/// Maximum number of slices passed to one write; the system accepts no more than 1,024.
const MAX_SLICES_PER_WRITE: usize = 64;

/// Reason for which reading stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The socket holds no more bytes for now.
    WouldBlock,
    /// The limit is reached; the socket may hold more bytes.
    Full,
    /// The peer shut down its side of the connection.
    Closed,
    /// The connection was reset, or reading failed.
    Failed,
}

/// The buffer into which all sockets are read, one after the other. Only the bytes that a
/// connection has to keep are copied to a buffer of its own.
pub struct ScratchBuffer(Box<[u8]>);

impl Default for ScratchBuffer {
    fn default() -> Self {
        Self(vec![0; SCRATCH_BYTES].into_boxed_slice())
    }
}

impl ScratchBuffer {
    /// Reads once from a stream and discards the bytes. Returns their number; `Full` means that the
    /// socket may hold more.
    pub fn discard_from(&mut self, mut stream: &TcpStream) -> (usize, ReadOutcome) {
        match read_uninterrupted(&mut self.0, |bytes| stream.read(bytes)) {
            Ok(0) => (0, ReadOutcome::Closed),
            Ok(count) => (count, ReadOutcome::Full),
            Err(error) if error.kind() == ErrorKind::WouldBlock => (0, ReadOutcome::WouldBlock),
            Err(_) => (0, ReadOutcome::Failed),
        }
    }
}

/// Calls `read` again as long as a signal interrupts it.
fn read_uninterrupted<T>(
    bytes: &mut [u8],
    mut read: impl FnMut(&mut [u8]) -> io::Result<T>,
) -> io::Result<T> {
    loop {
        match read(bytes) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Bytes that were received and not taken yet.
pub struct ReadBuffer {
    bytes: Vec<u8>,
    charge: Charge,
    /// Number of bytes that the buffer may hold without a reservation.
    unreserved_limit: usize,
    /// Number of bytes that the buffer may hold.
    limit: usize,
    arrived_at: ArrivalTime,
}

impl ReadBuffer {
    /// Creates an empty buffer that is charged to a pool.
    pub fn new(pool: &Arc<MemoryPool>) -> Self {
        Self::with_limit(pool, UNRESERVED_BYTES)
    }

    /// Creates an empty buffer that may hold `limit` bytes, whatever the pool has left.
    pub fn with_limit(pool: &Arc<MemoryPool>, limit: usize) -> Self {
        Self {
            bytes: Vec::new(),
            charge: pool.charge(0),
            unreserved_limit: limit,
            limit,
            arrived_at: ArrivalTime::default(),
        }
    }

    /// Reads until the socket holds no more bytes or the buffer is full.
    pub fn fill(&mut self, stream: &TcpStream, scratch: &mut ScratchBuffer) -> ReadOutcome {
        self.fill_to(self.limit, stream, scratch)
    }

    /// Reads until the socket holds no more bytes, or the buffer holds `limit` bytes or is full.
    pub fn fill_to(
        &mut self,
        limit: usize,
        mut stream: &TcpStream,
        scratch: &mut ScratchBuffer,
    ) -> ReadOutcome {
        self.fill_by(limit, scratch, |bytes| {
            let count = stream.read(bytes)?;
            let arrived_at = ArrivalTime::default();
            Ok(Received { count, arrived_at })
        })
    }

    /// Reads like [`ReadBuffer::fill_to`], and keeps when the last byte arrived.
    pub fn fill_with_arrival(
        &mut self,
        limit: usize,
        stream: &TcpStream,
        scratch: &mut ScratchBuffer,
    ) -> ReadOutcome {
        self.fill_by(limit, scratch, |bytes| receive(stream, bytes))
    }

    fn fill_by(
        &mut self,
        limit: usize,
        scratch: &mut ScratchBuffer,
        mut read: impl FnMut(&mut [u8]) -> io::Result<Received>,
    ) -> ReadOutcome {
        let limit = limit.min(self.limit);
        while self.bytes.len() < limit {
            let part = scratch.0.len().min(limit - self.bytes.len());
            match read_uninterrupted(&mut scratch.0[..part], &mut read) {
                Ok(Received { count: 0, .. }) => return ReadOutcome::Closed,
                Ok(received) => {
                    self.arrived_at = received.arrived_at;
                    self.append(&scratch.0[..received.count]);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return ReadOutcome::WouldBlock;
                }
                Err(_) => return ReadOutcome::Failed,
            }
        }
        ReadOutcome::Full
    }

    /// Appends bytes. The capacity grows to the limit at most, in steps that keep the cost of
    /// copying linear.
    pub(crate) fn append(&mut self, received: &[u8]) {
        let needed = self.bytes.len() + received.len();
        if needed > self.bytes.capacity() {
            let capacity = (2 * self.bytes.capacity()).min(self.limit).max(needed);
            self.bytes.reserve_exact(capacity - self.bytes.len());
            self.charge
                .set(self.bytes.capacity().max(self.charge.bytes()));
        }
        self.bytes.extend_from_slice(received);
    }

    /// Reserves `charge` bytes in the pool, so that the buffer may hold `limit` bytes. Returns false
    /// if they are not available.
    pub fn try_reserve(&mut self, limit: usize, charge: usize) -> bool {
        let is_granted = self.charge.try_grow(charge.max(limit));
        if is_granted {
            self.limit = self.limit.max(limit);
        }
        is_granted
    }

    /// Whether the buffer holds as many bytes as it may.
    pub fn is_full(&self) -> bool {
        self.bytes.len() >= self.limit
    }

    /// Whether more memory is reserved than every buffer may have.
    pub fn has_reservation(&self) -> bool {
        self.charge.bytes() > UNRESERVED_BYTES
    }

    /// Memory that the buffer takes, in bytes.
    pub fn charged_bytes(&self) -> usize {
        self.charge.bytes()
    }

    /// When the last byte that was read arrived.
    pub fn arrived_at(&self) -> ArrivalTime {
        self.arrived_at
    }

    /// The bytes in the buffer.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// The bytes in the buffer, for a change that does not lengthen them.
    pub fn bytes_mut(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Takes a message of `length` bytes from the front. The bytes after it stay in the buffer, and
    /// what was reserved for the message is its own from now on.
    pub fn take(&mut self, length: usize) -> Bytes {
        let rest = self.bytes.split_off(length.min(self.bytes.len()));
        let message = std::mem::replace(&mut self.bytes, rest);
        let charge = self.charge.take();
        self.charge.set(self.bytes.capacity());
        self.limit = self.unreserved_limit;
        ChargedBytes::into_bytes(message, charge)
    }

    /// Discards a message of `length` bytes at the front.
    pub fn skip(&mut self, length: usize) {
        self.bytes.drain(..length.min(self.bytes.len()));
    }

    /// Discards the bytes and frees the buffer.
    pub fn clear(&mut self) {
        self.bytes = Vec::new();
        self.charge.set(0);
        self.limit = self.unreserved_limit;
    }
}

/// Bytes to be sent.
#[derive(Default)]
pub struct WriteBuffer {
    slices: VecDeque<Bytes>,
}

impl WriteBuffer {
    /// Appends a slice.
    pub fn push(&mut self, slice: Bytes) {
        if !slice.is_empty() {
            self.slices.push_back(slice);
        }
    }

    /// Appends several slices.
    pub fn extend(&mut self, slices: impl IntoIterator<Item = Bytes>) {
        slices.into_iter().for_each(|slice| self.push(slice));
    }

    /// Whether all bytes are sent.
    pub fn is_empty(&self) -> bool {
        self.slices.is_empty()
    }

    /// The number of bytes to be sent.
    #[cfg(test)]
    pub fn length(&self) -> usize {
        self.slices.iter().map(Bytes::len).sum()
    }

    /// Writes as many bytes as the socket accepts.
    ///
    /// # Errors
    ///
    /// Fails when the connection is lost.
    pub fn flush(&mut self, mut stream: &TcpStream) -> io::Result<()> {
        while !self.slices.is_empty() {
            let batch: Vec<IoSlice> = self
                .slices
                .iter()
                .take(MAX_SLICES_PER_WRITE)
                .map(|slice| IoSlice::new(slice))
                .collect();
            match stream.write_vectored(&batch) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(written) => self.advance(written),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Removes written bytes from the front.
    fn advance(&mut self, mut count: usize) {
        while let Some(first) = self.slices.front_mut().filter(|_| count > 0) {
            let part = count.min(first.len());
            first.advance(part);
            count -= part;
            if first.is_empty() {
                self.slices.pop_front();
            }
        }
    }
}
