//! Timers of all kinds, ordered by time.

use std::collections::BTreeMap;

use pinefront_policy::{AttemptOutcome, Micros};

use crate::state::keys::{ClientKey, EndpointConnectionKey, EndpointKey, RequestKey};

#[cfg(test)]
mod tests;

/// What an expired timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerEvent {
    /// A timer of the policy, by its id.
    PolicyTimer(u64),
    /// The timer of a client's connection; what for follows from the connection's state.
    ClientConnection(ClientKey),
    /// A client's next request may already be in its read buffer.
    NextRequest(ClientKey),
    /// The timer of a connection to an endpoint; what for follows from the connection's state.
    EndpointConnection(EndpointConnectionKey),
    /// A connection to an endpoint may have been lost while it was written to.
    EndpointConnectionReady(EndpointConnectionKey),
    /// An attempt has ended within a call of the policy.
    AttemptEnded {
        /// The request.
        request: RequestKey,
        /// The attempt's index in its request.
        number: usize,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// A health check could not be sent.
    ProbeNotSent(EndpointKey),
    /// Discovery is to be polled, or a poll has timed out.
    Discovery,
    /// The pause in accepting connections is over.
    ResumeAccepting,
    /// The next step of the shutdown.
    Shutdown,
    /// A configuration that could not be read is to be read again.
    RetryReload,
}

/// A timer's key: when it expires, in microseconds, and a serial number that keeps timers of the
/// same time in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerKey {
    /// When the timer expires, in microseconds.
    pub at: Micros,
    serial: u64,
}

/// The timers that have not expired.
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

    /// Schedules a timer in place of an earlier one.
    pub fn move_to(&mut self, key: &mut Option<TimerKey>, at: Micros, event: TimerEvent) {
        self.clear(key);
        *key = Some(self.schedule(at, event));
    }

    /// Cancels a timer and forgets its key.
    pub fn clear(&mut self, key: &mut Option<TimerKey>) {
        if let Some(key) = key.take() {
            self.cancel(key);
        }
    }

    /// When the next timer expires, in microseconds.
    pub fn next(&self) -> Option<Micros> {
        self.ordered.first_key_value().map(|(key, _)| key.at)
    }

    /// The serial number of the last timer scheduled. With it, [`Self::expired`] leaves timers that
    /// are scheduled from now on to a later iteration.
    pub fn last_serial(&self) -> u64 {
        self.last_serial
    }

    /// Removes the first timer that has expired by `now` and was scheduled no later than
    /// `last_serial`.
    pub fn expired(&mut self, now: Micros, last_serial: u64) -> Option<TimerEvent> {
        let first = self.ordered.first_entry()?;
        let key = first.key();
        (key.at <= now && key.serial <= last_serial).then(|| first.remove())
    }
}
