//! The log: lines on standard error, written without waiting. While the pipe is full, lines are
//! dropped and counted.

use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::sync::{Arc, Mutex};

use rustix::event::PollFlags;
use slog::{Drain, KV, Logger, Never, OwnedKVList, Record, Serializer, o};

use crate::state::socket::poll_ready;

#[cfg(test)]
mod tests;

/// Bytes that are buffered while the pipe is full: some hundred lines.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Bytes that a pipe that is ready takes without waiting.
const MAX_WRITE_BYTES: usize = 4096;

/// Lines that are not written yet.
#[derive(Default)]
struct Pending {
    bytes: Vec<u8>,
    /// Lines dropped since the last flush.
    dropped: u64,
}

/// What a flush has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Flushed {
    /// Lines dropped since the last flush.
    pub dropped: u64,
    /// Whether all lines were written.
    pub is_empty: bool,
}

/// Buffers log lines until standard error takes them.
#[derive(Clone, Default)]
pub struct LogBuffer(Arc<Mutex<Pending>>);

impl LogBuffer {
    /// Makes a logger that writes to this buffer.
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

    /// Writes as many lines as the pipe takes without waiting.
    pub fn flush(&self) -> Flushed {
        let Ok(mut pending) = self.0.lock() else {
            return Flushed {
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
        Flushed {
            dropped: std::mem::take(&mut pending.dropped),
            is_empty: pending.bytes.is_empty(),
        }
    }
}

/// Whether standard error takes some bytes without waiting. Other processes may share it, so it is
/// not set to non-blocking.
fn is_writable() -> bool {
    poll_ready(&std::io::stderr(), PollFlags::OUT) == PollFlags::OUT
}

/// A line as it is being written: ` key=value` for each field.
struct Line(String);

impl Serializer for Line {
    fn emit_arguments(&mut self, key: slog::Key, value: &fmt::Arguments) -> slog::Result {
        let text = value.to_string();
        // Line ends and blanks from outside must not look like lines or fields of ours.
        let plain = |byte: u8| byte.is_ascii_graphic() && byte != b'"' && byte != b'=';
        if !text.is_empty() && text.bytes().all(plain) {
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
        // A line whose fields cannot all be written is logged up to there.
        let _ = record
            .kv()
            .serialize(record, &mut line)
            .and_then(|()| fields.serialize(record, &mut line));
        line.0.push('\n');
        self.push(&line.0);
        Ok(())
    }
}
