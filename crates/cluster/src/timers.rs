//! All timers of a member in one ordered structure.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::Micros;

/// The action to run when a timer expires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Timer {
    /// Evaluate the probe of this round and send the next one.
    ProbeRound,
    /// Repeat the probe of this round if it has had no reply.
    ProbeRetry,
    /// Report that the relayed probe with this number has timed out.
    RelayedProbe(u32),
    /// Declare the named member dead if its suspicion has lasted long enough.
    Suspicion(Rc<str>),
    /// Send changed records.
    Gossip,
    /// Send a part of the member table.
    TableSync,
    /// Probe a dead member.
    DeadProbe,
    /// Contact a seed.
    Seeds,
    /// Run the timers of the lease manager.
    LeaseManager,
}

/// The sort key of a timer. Timers with the same time expire in the order in which they were
/// scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    at: Micros,
    order: u64,
}

/// The timers of a member.
#[derive(Default)]
pub struct Timers {
    scheduled: BTreeMap<TimerKey, Timer>,
    last_order: u64,
}

impl Timers {
    /// Schedules a timer.
    pub fn schedule(&mut self, at: Micros, timer: Timer) {
        self.last_order += 1;
        let order = self.last_order;
        self.scheduled.insert(TimerKey { at, order }, timer);
    }

    /// The time at which the next timer expires.
    pub fn next(&self) -> Option<Micros> {
        self.scheduled.first_key_value().map(|(key, _)| key.at)
    }

    /// Removes and returns the next timer that has expired.
    pub fn take_expired(&mut self, now: Micros) -> Option<Timer> {
        let first = self.scheduled.first_entry()?;
        (first.key().at <= now).then(|| first.remove())
    }

    /// Reschedules all timers that expired before `now` to `now`, so that timers missed during a
    /// pause run after it.
    pub fn reschedule_missed(&mut self, now: Micros) {
        let later = self.scheduled.split_off(&TimerKey { at: now, order: 0 });
        let missed = std::mem::replace(&mut self.scheduled, later);
        for timer in missed.into_values() {
            self.schedule(now, timer);
        }
    }
}
