//! The greatest term known of each duty: what comes with an older one is not taken.

use std::collections::BTreeMap;

use super::term::{LeaseId, Term};
use super::{InjectedFault, MAX_LEASES};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FencingTokens {
    known: BTreeMap<LeaseId, Term>,
    injected_fault: Option<InjectedFault>,
}

impl FencingTokens {
    pub fn new(injected_fault: Option<InjectedFault>) -> Self {
        Self {
            known: BTreeMap::new(),
            injected_fault,
        }
    }

    pub fn known(&self, lease: LeaseId) -> Option<Term> {
        self.known.get(&lease).copied()
    }

    /// Takes down a term that was heard of. Terms of duties beyond the most are not kept, so their acts are not taken.
    pub fn learn(&mut self, lease: LeaseId, term: Term) {
        if self.known.len() >= MAX_LEASES && !self.known.contains_key(&lease) {
            return;
        }
        let known = self.known.entry(lease).or_insert(term);
        if self.injected_fault == Some(InjectedFault::NoFencing) {
            *known = term;
        }
        *known = (*known).max(term);
    }

    /// Whether an act of that term may be taken; the greater one known where not.
    pub fn take(&mut self, lease: LeaseId, term: Term) -> Result<(), Term> {
        self.learn(lease, term);
        match self.known(lease) {
            Some(known) if known == term => Ok(()),
            Some(known) => Err(known),
            None => Err(term),
        }
    }
}
