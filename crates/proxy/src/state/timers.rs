//! Timers of all kinds, in one ordered structure.

use std::collections::BTreeMap;

use pinefront_policy::{AttemptOutcome, Micros};

use crate::state::keys::{ClientKey, EndpointConnectionKey, EndpointKey, RequestKey};

#[cfg(test)]
mod tests;

/// What falls due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerEvent {
    /// A timer that the policy set, by its number.
    PolicyTimer(u64),
    /// A client's connection: what for follows from its state.
    ClientConnection(ClientKey),
    /// A client's next request may already lie in its read buffer.
    NextRequest(ClientKey),
    /// A connection to an endpoint, likewise.
    EndpointConnection(EndpointConnectionKey),
    /// A connection to an endpoint may have failed as it was written to.
    EndpointConnectionReady(EndpointConnectionKey),
    /// An attempt has ended within a call of the policy.
    AttemptEnded {
        /// The request.
        request: RequestKey,
        /// The attempt's index.
        number: usize,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// A probe that never got a connection.
    ProbeNotSent(EndpointKey),
    /// Time to ask discovery, or to stop waiting for it.
    Discovery,
    /// Accepting was paused for want of descriptors.
    ResumeAccepting,
    /// The next step of an orderly stop.
    Shutdown,
    /// A configuration that could not be read is tried again.
    RetryReload,
}

/// A timer's key: its time, and a number that keeps those of one moment in their order.
pub type TimerKey = (Micros, u64);

#[derive(Default)]
pub struct Timers {
    ordered: BTreeMap<TimerKey, TimerEvent>,
    last: u64,
}

impl Timers {
    pub fn schedule(&mut self, at: Micros, due: TimerEvent) -> TimerKey {
        self.last += 1;
        self.ordered.insert((at, self.last), due);
        (at, self.last)
    }

    pub fn cancel(&mut self, key: TimerKey) {
        self.ordered.remove(&key);
    }

    /// Schedules a timer in place of an earlier one.
    pub fn move_to(&mut self, key: &mut Option<TimerKey>, at: Micros, due: TimerEvent) {
        self.clear(key);
        *key = Some(self.schedule(at, due));
    }

    pub fn clear(&mut self, key: &mut Option<TimerKey>) {
        if let Some(key) = key.take() {
            self.cancel(key);
        }
    }

    pub fn next(&self) -> Option<Micros> {
        self.ordered.first_key_value().map(|(key, _)| key.0)
    }

    /// The number of the last one hung: with [`Self::due`] it keeps what a turn hangs for a later turn.
    pub fn mark(&self) -> u64 {
        self.last
    }

    pub fn due(&mut self, now: Micros, mark: u64) -> Option<TimerEvent> {
        let first = self.ordered.first_entry()?;
        (first.key().0 <= now && first.key().1 <= mark).then(|| first.remove())
    }
}
