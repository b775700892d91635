//! Safety margin for deadlines in real time, because the process may be paused between reading its
//! clock and acting.

use crate::Micros;

/// Longest pause of the process between reading its clock and writing, in microseconds.
const MAX_PROCESS_PAUSE_US: Micros = 150_000;

/// Returns the time before which an action must start so that it happens within `span` microseconds
/// of `from` even if the process is paused. The margin is at most half of `span`.
#[must_use]
pub fn start_deadline(from: Micros, span: Micros) -> Micros {
    from.saturating_add(span - MAX_PROCESS_PAUSE_US.min(span / 2))
}

#[cfg(test)]
mod tests;
