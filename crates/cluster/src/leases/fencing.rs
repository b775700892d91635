//! Fencing: the greatest known term of each lease. Commands of older terms are rejected.

use std::collections::BTreeMap;

use super::config::MAX_LEASES;
use super::fault_injection::InjectedFault;
use super::term::{LeaseId, Term};

/// The greatest known term of each lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FencingTokens {
    known: BTreeMap<LeaseId, Term>,
    injected_fault: Option<InjectedFault>,
}

impl FencingTokens {
    /// Creates an empty table.
    pub fn new(injected_fault: Option<InjectedFault>) -> Self {
        Self {
            known: BTreeMap::new(),
            injected_fault,
        }
    }

    /// The greatest known term of a lease.
    pub fn greatest_known_term(&self, lease: LeaseId) -> Option<Term> {
        self.known.get(&lease).copied()
    }

    /// Records a term. No terms are recorded for leases beyond [`MAX_LEASES`], so that commands
    /// under them are rejected.
    pub fn record(&mut self, lease: LeaseId, term: Term) {
        if self.known.len() >= MAX_LEASES && !self.known.contains_key(&lease) {
            return;
        }
        let known = self.known.entry(lease).or_insert(term);
        if self.injected_fault == Some(InjectedFault::NoFencing) {
            *known = term;
        }
        *known = (*known).max(term);
    }

    /// Records the term of a command.
    ///
    /// # Errors
    ///
    /// Returns the greatest known term if the command's term is older.
    pub fn accept(&mut self, lease: LeaseId, term: Term) -> Result<(), Term> {
        self.record(lease, term);
        match self.greatest_known_term(lease) {
            Some(known) if known == term => Ok(()),
            Some(known) => Err(known),
            None => Err(term),
        }
    }
}
