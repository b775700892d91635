//! A voter grants each lease to one bidder at a time. It stores nothing on disk: when it starts, it
//! grants nothing for the longest lease duration, so that every grant that it may have lost in a
//! restart has expired.

use std::collections::BTreeMap;

use super::config::{MAX_LEASE_DURATION_US, with_clock_margin};
use super::fault_injection::InjectedFault;
use super::messages::GrantStatus;
use super::term::{LeaseId, Term};
use crate::Micros;

/// The largest number of leases that a voter keeps grants for.
const MAX_GRANTS: usize = 8_192;

/// The last grant of a lease.
///
/// Invariant: `term` never decreases while the voter runs, and until `expires_at` no other term is
/// granted unless this one is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    term: Term,
    expires_at: Micros,
    /// Whether the holder released the term: then the lease is available immediately, and the term
    /// cannot be granted again.
    released: bool,
}

impl Grant {
    fn is_active(&self, now: Micros) -> bool {
        !self.released && self.expires_at > now
    }
}

/// The state of a member as a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    startup_wait_until: Micros,
    grants: BTreeMap<LeaseId, Grant>,
    injected_fault: Option<InjectedFault>,
}

impl Voter {
    /// Creates a voter that grants nothing for the longest lease duration.
    pub fn new(now: Micros, injected_fault: Option<InjectedFault>) -> Self {
        let startup_wait = if injected_fault == Some(InjectedFault::NoStartupWait) {
            0
        } else {
            with_clock_margin(MAX_LEASE_DURATION_US)
        };
        Self {
            startup_wait_until: now + startup_wait,
            grants: BTreeMap::new(),
            injected_fault,
        }
    }

    /// Whether the voter grants nothing yet because it has just started.
    pub fn is_in_startup_wait(&self, now: Micros) -> bool {
        now < self.startup_wait_until
    }

    /// The state of a lease.
    pub fn status(&self, now: Micros, lease: LeaseId) -> GrantStatus {
        let startup_wait = self.startup_wait_until.saturating_sub(now);
        let grant = self.grants.get(&lease);
        let granted = grant
            .filter(|grant| !grant.released)
            .map_or(0, |grant| grant.expires_at.saturating_sub(now));
        GrantStatus {
            lease,
            term: grant.map(|grant| grant.term),
            available_in_us: u32::try_from(startup_wait.max(granted)).unwrap_or(u32::MAX),
        }
    }

    /// Grants a bid or renews its grant for `duration` by the bidder's clock.
    ///
    /// # Errors
    ///
    /// Returns the state of the lease if the bid is refused.
    pub fn bid(
        &mut self,
        now: Micros,
        lease: LeaseId,
        term: Term,
        duration: Micros,
    ) -> Result<(), GrantStatus> {
        let refused = Err(self.status(now, lease));
        if duration > MAX_LEASE_DURATION_US || self.is_in_startup_wait(now) {
            return refused;
        }
        let granted = Grant {
            term,
            expires_at: now + self.grant_duration(duration),
            released: false,
        };
        let Some(grant) = self.grants.get(&lease).copied() else {
            if self.grants.len() >= MAX_GRANTS {
                return refused;
            }
            self.grants.insert(lease, granted);
            return Ok(());
        };
        if self.is_same_term(grant.term, term) && !grant.released {
            let expires_at = grant.expires_at.max(granted.expires_at);
            self.grants.insert(
                lease,
                Grant {
                    expires_at,
                    ..grant
                },
            );
            return Ok(());
        }
        // Only a later term is granted, and only after the previous grant has expired by this
        // voter's clock or was released.
        if term <= grant.term || grant.is_active(now) {
            return refused;
        }
        self.grants.insert(lease, granted);
        Ok(())
    }

    /// Releases a term. A release of the granted term makes the lease available immediately. A
    /// release that arrives before the bid for its term prevents that term from being granted, but
    /// only if the voter stores an earlier grant of the lease that is no longer active. Any other
    /// release has no effect.
    pub fn release(&mut self, now: Micros, lease: LeaseId, term: Term) {
        let Some(grant) = self.grants.get_mut(&lease) else {
            return;
        };
        if grant.term == term || self.injected_fault == Some(InjectedFault::ReleaseOfAnyTerm) {
            grant.released = true;
        } else if term > grant.term && !grant.is_active(now) {
            *grant = Grant {
                term,
                expires_at: now,
                released: true,
            };
        }
    }

    /// How long a grant lasts by this voter's clock.
    fn grant_duration(&self, duration: Micros) -> Micros {
        match self.injected_fault {
            Some(InjectedFault::NoClockMargin) => duration,
            _ => with_clock_margin(duration),
        }
    }

    fn is_same_term(&self, granted: Term, bid: Term) -> bool {
        match self.injected_fault {
            Some(InjectedFault::EqualTermNumbersGranted) => granted.number == bid.number,
            _ => granted == bid,
        }
    }
}
