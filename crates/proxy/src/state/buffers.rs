//! Read and write buffers of a stream. Messages are slices of the buffer into which they were read.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::TcpStream;

use bytes::{Buf, Bytes, BytesMut};

use crate::state::arrival_time::{ArrivalTime, Received, receive};

#[cfg(test)]
mod tests;

/// Number of bytes requested from a socket in one read. Most messages fit, and an idle connection
/// does not hold a larger buffer.
const READ_CHUNK_BYTES: usize = 4096;
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

/// Bytes that were received and not taken yet.
#[derive(Default)]
pub struct ReadBuffer {
    bytes: BytesMut,
    arrived_at: ArrivalTime,
}

impl ReadBuffer {
    /// Reads until the socket holds no more bytes or the buffer holds `limit` bytes.
    pub fn fill(&mut self, mut stream: &TcpStream, limit: usize) -> ReadOutcome {
        self.fill_by(limit, |bytes| {
            let count = stream.read(bytes)?;
            let arrived_at = ArrivalTime::default();
            Ok(Received { count, arrived_at })
        })
    }

    /// Reads like [`ReadBuffer::fill`], and keeps when the last byte arrived.
    pub fn fill_with_arrival(&mut self, stream: &TcpStream, limit: usize) -> ReadOutcome {
        self.fill_by(limit, |bytes| receive(stream, bytes))
    }

    fn fill_by(
        &mut self,
        limit: usize,
        mut read: impl FnMut(&mut [u8]) -> io::Result<Received>,
    ) -> ReadOutcome {
        while self.bytes.len() < limit {
            let filled = self.bytes.len();
            let chunk = READ_CHUNK_BYTES.min(limit - filled);
            self.bytes.resize(filled + chunk, 0);
            let read = read(&mut self.bytes[filled..]);
            let count = read.as_ref().map_or(0, |received| received.count);
            self.bytes.truncate(filled + count);
            match read {
                Ok(Received { count: 0, .. }) => return ReadOutcome::Closed,
                Ok(received) => self.arrived_at = received.arrived_at,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return ReadOutcome::WouldBlock;
                }
                Err(_) => return ReadOutcome::Failed,
            }
        }
        ReadOutcome::Full
    }

    /// When the last byte that was read arrived.
    pub fn arrived_at(&self) -> ArrivalTime {
        self.arrived_at
    }

    /// The bytes in the buffer.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Takes a message of `length` bytes from the front. Its slices share the buffer into which it
    /// was read.
    pub fn take(&mut self, length: usize) -> Bytes {
        self.bytes.split_to(length.min(self.bytes.len())).freeze()
    }

    /// Discards the bytes and frees the buffer.
    pub fn clear(&mut self) {
        self.bytes = BytesMut::new();
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
