//! All timers of a member in one ordered structure.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::Micros;

/// What happens when a timer expires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The probe of this round is evaluated and the next one sent.
    ProbeRound,
    /// The probe of this round is repeated if there is no reply.
    ProbeRetry,
    /// A probe relayed for another member, by its number, has timed out.
    RelayedProbe(u32),
    /// The suspicion of the member with that name may have lasted its time.
    Suspicion(Rc<str>),
    /// Changed records are sent.
    Gossip,
    /// A part of the member table is sent.
    TableSync,
    /// A dead member is probed.
    DeadProbe,
    /// A seed is contacted.
    Seeds,
    /// The lease manager's timer has expired.
    LeaseManager,
}

/// The time of a timer; timers of one time expire in the order in which they were scheduled.
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

    /// When the next timer expires.
    pub fn next(&self) -> Option<Micros> {
        self.scheduled.first_key_value().map(|(key, _)| key.at)
    }

    /// Takes the next timer that has expired.
    pub fn take_expired(&mut self, now: Micros) -> Option<Timer> {
        let first = self.scheduled.first_entry()?;
        (first.key().at <= now).then(|| first.remove())
    }

    /// Reschedules to `now` what expired earlier, so that timers missed during a pause run after
    /// it.
    pub fn reschedule_missed(&mut self, now: Micros) {
        let later = self.scheduled.split_off(&TimerKey { at: now, order: 0 });
        let missed = std::mem::replace(&mut self.scheduled, later);
        for timer in missed.into_values() {
            self.schedule(now, timer);
        }
    }
}
