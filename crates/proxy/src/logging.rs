//! The log, which is written to standard error without blocking. Lines are buffered while the pipe
//! is full, and dropped and counted while the buffer is full.

use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::sync::{Arc, Mutex};

use rustix::event::PollFlags;
use slog::{Drain, KV, Logger, Never, OwnedKVList, Record, Serializer, o};

use crate::state::socket::poll_ready;

#[cfg(test)]
mod tests;

/// Size of the buffer for lines that are not written yet, in bytes, enough for several hundred
/// lines.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Number of bytes that a writable pipe accepts without blocking.
const MAX_WRITE_BYTES: usize = 4096;

/// Lines that are not written yet.
#[derive(Default)]
struct PendingLines {
    bytes: Vec<u8>,
    /// Number of lines dropped since the last flush.
    dropped: u64,
}

/// The result of a flush.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlushResult {
    /// Number of lines dropped since the last flush.
    pub dropped: u64,
    /// Whether all lines were written.
    pub is_empty: bool,
}

/// Buffer of log lines that standard error has not accepted yet.
#[derive(Clone, Default)]
pub struct LogBuffer(Arc<Mutex<PendingLines>>);

impl LogBuffer {
    /// Creates a logger that writes to this buffer.
    pub fn logger(&self, level: slog::Level) -> Logger {
        Logger::root(self.clone().filter_level(level).fuse(), o!())
    }

    fn push(&self, line: &str) {
        let Ok(mut pending) = self.0.lock() else {
            return;
        };
        if pending.bytes.len() + line.len() > MAX_BUFFERED_BYTES {
            pending.dropped += 1;
            return;
        }
        pending.bytes.extend_from_slice(line.as_bytes());
    }

    /// Writes as many bytes as the pipe accepts without blocking.
    pub fn flush(&self) -> FlushResult {
        let Ok(mut pending) = self.0.lock() else {
            return FlushResult {
                dropped: 0,
                is_empty: false,
            };
        };
        let mut out = std::io::stderr();
        while !pending.bytes.is_empty() && is_writable() {
            let part = pending.bytes.len().min(MAX_WRITE_BYTES);
            match out.write(&pending.bytes[..part]) {
                Ok(written) => drop(pending.bytes.drain(..written)),
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
                Err(_) => break,
            }
        }
        FlushResult {
            dropped: std::mem::take(&mut pending.dropped),
            is_empty: pending.bytes.is_empty(),
        }
    }
}

/// Whether standard error accepts bytes without blocking. It is not set to non-blocking mode
/// because other processes may share it.
fn is_writable() -> bool {
    poll_ready(&std::io::stderr(), PollFlags::OUT) == PollFlags::OUT
}

/// A log line under construction, to which each field is appended as ` key=value`.
struct Line(String);

impl Serializer for Line {
    fn emit_arguments(&mut self, key: slog::Key, value: &fmt::Arguments) -> slog::Result {
        let text = value.to_string();
        // Line ends and spaces in external values must not be mistaken for log lines or fields.
        let is_plain = |byte: u8| byte.is_ascii_graphic() && byte != b'"' && byte != b'=';
        if !text.is_empty() && text.bytes().all(is_plain) {
            write!(self.0, " {key}={text}")?;
        } else {
            write!(self.0, " {key}={text:?}")?;
        }
        Ok(())
    }
}

impl Drain for LogBuffer {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record, fields: &OwnedKVList) -> Result<(), Never> {
        let mut line = Line(format!(
            "{} {}",
            record.level().as_short_str(),
            record.msg()
        ));
        // If a field cannot be serialized, the line is logged without it and the fields after it.
        let _ = record
            .kv()
            .serialize(record, &mut line)
            .and_then(|()| fields.serialize(record, &mut line));
        line.0.push('\n');
        self.push(&line.0);
        Ok(())
    }
}
