//! A voter: grants each duty to one claimant at a time, for a span. It keeps nothing on disk; when it starts it grants
//! nothing for the longest lease, so that what it may have granted before has ended.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::term::{LeaseId, Term};
use super::{InjectedFault, with_clock_margin};
use crate::Micros;

/// Duties that one voter keeps seats for; a fleet has fewer.
const MAX_GRANTS: usize = 8_192;

/// What a voter says of a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantStatus {
    pub lease: LeaseId,
    /// The greatest term it granted since it started.
    pub term: Option<Term>,
    /// Microseconds until it would grant another claim; 0: at once.
    pub left: u32,
}

/// The last grant for one duty.
///
/// Invariant: `term` never falls while the voter runs, and until `until` nobody but the claimant of `term` is granted the
/// duty, unless that one let it go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    term: Term,
    until: Micros,
    /// Its claimant let it go: it is free at once, and the term is used up.
    ended: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    silent_until: Micros,
    grants: BTreeMap<LeaseId, Grant>,
    injected_fault: Option<InjectedFault>,
}

impl Voter {
    /// Starts with nothing known, and so silent for the longest lease that it may have granted before.
    pub fn new(now: Micros, injected_fault: Option<InjectedFault>) -> Self {
        let silence = if injected_fault == Some(InjectedFault::NoStartupSilence) {
            0
        } else {
            with_clock_margin(super::MAX_LEASE_US)
        };
        Self {
            silent_until: now + silence,
            grants: BTreeMap::new(),
            injected_fault,
        }
    }

    pub fn is_silent(&self, now: Micros) -> bool {
        now < self.silent_until
    }

    /// What is known of a duty, granting nothing.
    pub fn told(&self, now: Micros, lease: LeaseId) -> GrantStatus {
        let silent = self.silent_until.saturating_sub(now);
        let grant = self.grants.get(&lease);
        let held = grant
            .filter(|grant| !grant.ended)
            .map_or(0, |grant| grant.until.saturating_sub(now));
        let left = u32::try_from(silent.max(held)).unwrap_or(u32::MAX);
        GrantStatus {
            lease,
            term: grant.map(|grant| grant.term),
            left,
        }
    }

    /// Grants a claim, or renews what it granted, for so long by the claimant's clock.
    pub fn bid(
        &mut self,
        now: Micros,
        lease: LeaseId,
        term: Term,
        duration: Micros,
    ) -> Result<(), GrantStatus> {
        let refused = Err(self.told(now, lease));
        if duration > super::MAX_LEASE_US || self.is_silent(now) {
            return refused;
        }
        let until = now
            + if self.injected_fault == Some(InjectedFault::NoClockMargin) {
                duration
            } else {
                with_clock_margin(duration)
            };
        let Some(grant) = self.grants.get_mut(&lease) else {
            if self.grants.len() >= MAX_GRANTS {
                return refused;
            }
            self.grants.insert(
                lease,
                Grant {
                    term,
                    until,
                    ended: false,
                },
            );
            return Ok(());
        };
        let same = match self.injected_fault == Some(InjectedFault::EqualTermNumbersGranted) {
            true => grant.term.number == term.number,
            false => grant.term == term,
        };
        if same && !grant.ended {
            grant.until = grant.until.max(until);
            return Ok(());
        }
        // Only a later turn follows, and only when the one before has run out here or was let go.
        if term <= grant.term || (!grant.ended && grant.until > now) {
            return refused;
        }
        *grant = Grant {
            term,
            until,
            ended: false,
        };
        Ok(())
    }

    /// A claimant lets go of its turn. A release that comes before its own claim uses that claim up; one of any other turn
    /// than the last says nothing.
    pub fn release(&mut self, now: Micros, lease: LeaseId, term: Term) {
        let Some(grant) = self.grants.get_mut(&lease) else {
            return;
        };
        if grant.term == term || self.injected_fault == Some(InjectedFault::ReleaseOfAnyTerm) {
            grant.ended = true;
        } else if term > grant.term && (grant.ended || grant.until <= now) {
            *grant = Grant {
                term,
                until: now,
                ended: true,
            };
        }
    }
}
