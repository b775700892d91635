//! The log: slog's lines on standard error, never waited for. A full pipe drops lines and counts them.

use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::sync::{Arc, Mutex};

use rustix::event::PollFlags;
use slog::{Drain, KV, Logger, Never, OwnedKVList, Record, Serializer, o};

use crate::state::socket::ready;

#[cfg(test)]
mod tests;

/// Kept while the pipe is full: some hundred lines.
const KEPT_MOST: usize = 64 * 1024;
/// A pipe that is ready takes so much without waiting.
const WRITE_AT_ONCE: usize = 4096;

#[derive(Default)]
struct Kept {
    lines: Vec<u8>,
    dropped: u64,
}

/// Lines not yet written.
#[derive(Clone, Default)]
pub struct LogBuffer(Arc<Mutex<Kept>>);

impl LogBuffer {
    pub fn logger(&self, level: slog::Level) -> Logger {
        Logger::root(self.clone().filter_level(level).fuse(), o!())
    }

    fn keep(&self, line: &str) {
        let Ok(mut kept) = self.0.lock() else { return };
        if kept.lines.len() + line.len() > KEPT_MOST {
            kept.dropped += 1;
            return;
        }
        kept.lines.extend_from_slice(line.as_bytes());
    }

    /// Writes what the pipe takes. Tells how many lines were dropped since it was last asked, and whether there
    /// is room again.
    pub fn flush(&self) -> (u64, bool) {
        let Ok(mut kept) = self.0.lock() else {
            return (0, false);
        };
        let mut out = std::io::stderr();
        while !kept.lines.is_empty() && takes_more() {
            let part = kept.lines.len().min(WRITE_AT_ONCE);
            match out.write(&kept.lines[..part]) {
                Ok(written) => drop(kept.lines.drain(..written)),
                Err(problem) if problem.kind() == std::io::ErrorKind::Interrupted => {}
                Err(_) => break,
            }
        }
        (std::mem::take(&mut kept.dropped), kept.lines.is_empty())
    }
}

/// Whether standard error takes some bytes without waiting. Others may share it: its flags stay as they are.
fn takes_more() -> bool {
    ready(&std::io::stderr(), PollFlags::OUT) == PollFlags::OUT
}

struct Line(String);

impl Serializer for Line {
    fn emit_arguments(&mut self, key: slog::Key, value: &fmt::Arguments) -> slog::Result {
        let text = value.to_string();
        // Line ends and blanks from outside must not pass for lines or fields of ours.
        let plain = |byte: u8| byte.is_ascii_graphic() && byte != b'"' && byte != b'=';
        match !text.is_empty() && text.bytes().all(plain) {
            true => write!(self.0, " {key}={text}")?,
            false => write!(self.0, " {key}={text:?}")?,
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
        // A line that cannot be worded whole is kept as far as it goes.
        let _ = record
            .kv()
            .serialize(record, &mut line)
            .and_then(|()| fields.serialize(record, &mut line));
        line.0.push('\n');
        self.keep(&line.0);
        Ok(())
    }
}
