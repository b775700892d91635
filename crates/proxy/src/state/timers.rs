//! Timers of all kinds, ordered by expiry.

use std::collections::BTreeMap;

use pinefront_policy::{AttemptOutcome, Micros};

use crate::state::keys::{ClientKey, EndpointConnectionKey, EndpointKey, RequestKey};

#[cfg(test)]
mod tests;

/// Event of an expired timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerEvent {
    /// A timer of the policy, by its id.
    PolicyTimer(u64),
    /// The timer of a client connection; its purpose follows from the state of the connection.
    ClientConnection(ClientKey),
    /// The next request of a client may already be in its read buffer.
    NextRequest(ClientKey),
    /// The pause in reading from a client is over.
    ReadingResumed(ClientKey),
    /// The timer of a connection to an endpoint; its purpose follows from the state of the
    /// connection.
    EndpointConnection(EndpointConnectionKey),
    /// A connection to an endpoint may have been lost during a write.
    EndpointConnectionReady(EndpointConnectionKey),
    /// An attempt has ended during a call from the policy.
    AttemptEnded {
        /// The request.
        request: RequestKey,
        /// Index of the attempt in its request.
        number: usize,
        /// Outcome of the attempt.
        outcome: AttemptOutcome,
    },
    /// A health check could not be sent.
    ProbeNotSent(EndpointKey),
    /// A poll of discovery is due or has timed out.
    Discovery,
    /// The pause in accepting connections is over.
    ResumeAccepting,
    /// The next step of the shutdown is due.
    Shutdown,
    /// A failed read of the configuration is to be retried.
    RetryReload,
}

/// The key of a timer: its expiry in microseconds, and a serial number that keeps timers with the
/// same expiry in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerKey {
    /// When the timer expires, in microseconds.
    pub at: Micros,
    serial: u64,
}

/// Timers that have not expired.
#[derive(Default)]
pub struct Timers {
    ordered: BTreeMap<TimerKey, TimerEvent>,
    last_serial: u64,
}

impl Timers {
    /// Schedules a timer.
    pub fn schedule(&mut self, at: Micros, event: TimerEvent) -> TimerKey {
        self.last_serial += 1;
        let key = TimerKey {
            at,
            serial: self.last_serial,
        };
        self.ordered.insert(key, event);
        key
    }

    /// Cancels a timer.
    pub fn cancel(&mut self, key: TimerKey) {
        self.ordered.remove(&key);
    }

    /// Schedules a timer that replaces an earlier one.
    pub fn reschedule(&mut self, key: &mut Option<TimerKey>, at: Micros, event: TimerEvent) {
        self.clear(key);
        *key = Some(self.schedule(at, event));
    }

    /// Cancels a timer and clears its key.
    pub fn clear(&mut self, key: &mut Option<TimerKey>) {
        if let Some(key) = key.take() {
            self.cancel(key);
        }
    }

    /// Returns when the next timer expires, in microseconds.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.ordered.first_key_value().map(|(key, _)| key.at)
    }

    /// Returns the serial number of the timer scheduled last. If it is passed to
    /// [`Self::take_expired`], timers scheduled later are left to a later iteration.
    pub fn last_serial(&self) -> u64 {
        self.last_serial
    }

    /// Removes and returns the first timer that has expired by `now` and was scheduled no later
    /// than the timer with the serial number `last_serial`.
    pub fn take_expired(&mut self, now: Micros, last_serial: u64) -> Option<TimerEvent> {
        let first = self.ordered.first_entry()?;
        let key = first.key();
        (key.at <= now && key.serial <= last_serial).then(|| first.remove())
    }
}
