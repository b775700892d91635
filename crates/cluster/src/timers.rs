//! All that falls due, in one ordered structure.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::Micros;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The probe of a round is judged and the next one sent.
    ProbeRound,
    /// A probe has no answer yet.
    ProbeRetry,
    /// A probe for another has no answer.
    RelayedProbe(u32),
    /// A doubt may have stood for its time.
    Suspicion(Rc<str>),
    Gossip,
    TableSync,
    DeadProbe,
    Seeds,
    Leases,
}

#[derive(Default)]
pub struct Timers {
    ordered: BTreeMap<(Micros, u64), Timer>,
    last: u64,
}

impl Timers {
    pub fn schedule(&mut self, at: Micros, due: Timer) {
        self.last += 1;
        self.ordered.insert((at, self.last), due);
    }

    pub fn next(&self) -> Option<Micros> {
        self.ordered.first_key_value().map(|entry| entry.0.0)
    }

    pub fn due(&mut self, now: Micros) -> Option<Timer> {
        let first = self.ordered.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }

    /// What fell due while the process was not run falls due now, once each.
    pub fn postpone(&mut self, now: Micros) {
        let later = self.ordered.split_off(&(now, 0));
        let missed = std::mem::replace(&mut self.ordered, later);
        for due in missed.into_values() {
            self.schedule(now, due);
        }
    }
}
