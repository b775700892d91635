//! The greatest term known of each duty: what comes with an older one is not taken.

use std::collections::BTreeMap;

use super::term::{DutyId, Term};
use super::{DUTIES_MOST, Planted};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Fence {
    known: BTreeMap<DutyId, Term>,
    planted: Option<Planted>,
}

impl Fence {
    pub fn new(planted: Option<Planted>) -> Self {
        Self {
            known: BTreeMap::new(),
            planted,
        }
    }

    pub fn known(&self, duty: DutyId) -> Option<Term> {
        self.known.get(&duty).copied()
    }

    /// Takes down a term that was heard of. Terms of duties beyond the most are not kept, so their acts are not taken.
    pub fn learn(&mut self, duty: DutyId, term: Term) {
        if self.known.len() >= DUTIES_MOST && !self.known.contains_key(&duty) {
            return;
        }
        let known = self.known.entry(duty).or_insert(term);
        if self.planted == Some(Planted::NoFence) {
            *known = term;
        }
        *known = (*known).max(term);
    }

    /// Whether an act of that term may be taken; the greater one known where not.
    pub fn take(&mut self, duty: DutyId, term: Term) -> Result<(), Term> {
        self.learn(duty, term);
        match self.known(duty) {
            Some(known) if known == term => Ok(()),
            Some(known) => Err(known),
            None => Err(term),
        }
    }
}
