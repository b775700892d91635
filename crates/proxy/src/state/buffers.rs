//! What was read and not yet understood, and what is to be written: slices of the buffers they were read
//! into. Both take partial reads and writes as they come.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::TcpStream;

use bytes::{Buf, Bytes, BytesMut};

#[cfg(test)]
mod tests;

/// Asked of a socket at once: most messages fit, and an idle connection keeps no more.
const READ_AT_ONCE: usize = 4096;
/// Slices handed to one write; the system takes no more than 1,024.
const WRITE_AT_ONCE: usize = 64;

/// How reading stopped.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Nothing more for now.
    WouldBlock,
    /// As much as may be kept; more may be waiting in the socket.
    Full,
    /// The other side ended its sending.
    Closed,
    Failed,
}

#[derive(Default)]
pub struct ReadBuffer {
    bytes: BytesMut,
}

impl ReadBuffer {
    /// Reads until nothing more is there or `most` is kept.
    pub fn fill(&mut self, mut stream: &TcpStream, most: usize) -> ReadOutcome {
        while self.bytes.len() < most {
            let kept = self.bytes.len();
            self.bytes.resize(kept + READ_AT_ONCE.min(most - kept), 0);
            let read = stream.read(&mut self.bytes[kept..]);
            self.bytes
                .truncate(kept + read.as_ref().map_or(0, |count| *count));
            match read {
                Ok(0) => return ReadOutcome::Closed,
                Ok(_) => {}
                Err(problem) if problem.kind() == ErrorKind::Interrupted => {}
                Err(problem) if problem.kind() == ErrorKind::WouldBlock => {
                    return ReadOutcome::WouldBlock;
                }
                Err(_) => return ReadOutcome::Failed,
            }
        }
        ReadOutcome::Full
    }

    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Takes a whole message out; its slices share the buffer that it was read into.
    pub fn take(&mut self, length: usize) -> Bytes {
        self.bytes.split_to(length.min(self.bytes.len())).freeze()
    }

    pub fn forget(&mut self) {
        self.bytes = BytesMut::new();
    }
}

#[derive(Default)]
pub struct WriteBuffer {
    slices: VecDeque<Bytes>,
}

impl WriteBuffer {
    pub fn push(&mut self, slice: Bytes) {
        if !slice.is_empty() {
            self.slices.push_back(slice);
        }
    }

    pub fn is_empty(&self) -> bool {
        self.slices.is_empty()
    }

    #[cfg(test)]
    pub fn length(&self) -> usize {
        self.slices.iter().map(Bytes::len).sum()
    }

    /// Writes what the socket takes.
    pub fn drain(&mut self, mut stream: &TcpStream) -> io::Result<()> {
        while !self.slices.is_empty() {
            let batch: Vec<IoSlice> = self
                .slices
                .iter()
                .take(WRITE_AT_ONCE)
                .map(|slice| IoSlice::new(slice))
                .collect();
            match stream.write_vectored(&batch) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(written) => self.written(written),
                Err(problem) if problem.kind() == ErrorKind::Interrupted => {}
                Err(problem) if problem.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(problem) => return Err(problem),
            }
        }
        Ok(())
    }

    fn written(&mut self, mut count: usize) {
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
