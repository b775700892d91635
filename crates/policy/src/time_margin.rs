//! Safety margin of bounds in real time: a process may be paused between reading its clock and
//! acting.

use crate::Micros;

/// Longest pause of a process between reading its clock and writing.
const MAX_PROCESS_PAUSE_US: Micros = 150_000;

/// The time before which an action has to begin so that it happens within `span` microseconds of
/// `from` even if the process is paused. The margin takes at most half of the span.
#[must_use]
pub fn start_deadline(from: Micros, span: Micros) -> Micros {
    from.saturating_add(span - MAX_PROCESS_PAUSE_US.min(span / 2))
}

#[cfg(test)]
mod tests;
