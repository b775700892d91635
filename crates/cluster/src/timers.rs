//! All that falls due, in one ordered structure.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::Micros;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Due {
    /// The probe of a round is judged and the next one sent.
    Round,
    /// A probe has no answer yet.
    Again,
    /// A probe for another has no answer.
    Errand(u32),
    /// A doubt may have stood for its time.
    Doubt(Rc<str>),
    News,
    Swap,
    Gone,
    Seeds,
    Duties,
}

#[derive(Default)]
pub struct Timers {
    ordered: BTreeMap<(Micros, u64), Due>,
    last: u64,
}

impl Timers {
    pub fn hang(&mut self, at: Micros, due: Due) {
        self.last += 1;
        self.ordered.insert((at, self.last), due);
    }

    pub fn next(&self) -> Option<Micros> {
        self.ordered.first_key_value().map(|entry| entry.0.0)
    }

    pub fn due(&mut self, now: Micros) -> Option<Due> {
        let first = self.ordered.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }

    /// What fell due while the process was not run falls due now, once each.
    pub fn postpone(&mut self, now: Micros) {
        let later = self.ordered.split_off(&(now, 0));
        let missed = std::mem::replace(&mut self.ordered, later);
        for due in missed.into_values() {
            self.hang(now, due);
        }
    }
}
