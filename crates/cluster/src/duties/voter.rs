//! A voter: grants each duty to one claimant at a time, for a span. It keeps nothing on disk; when it starts it grants
//! nothing for the longest lease, so that what it may have granted before has ended.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::term::{DutyId, Term};
use super::{Planted, guarded};
use crate::Micros;

/// Duties that one voter keeps seats for; a fleet has fewer.
const SEATS_MOST: usize = 8_192;

/// What a voter says of a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Told {
    pub duty: DutyId,
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
struct Seat {
    term: Term,
    until: Micros,
    /// Its claimant let it go: it is free at once, and the term is used up.
    ended: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    silent_until: Micros,
    seats: BTreeMap<DutyId, Seat>,
    planted: Option<Planted>,
}

impl Voter {
    /// Starts with nothing known, and so silent for the longest lease that it may have granted before.
    pub fn new(now: Micros, planted: Option<Planted>) -> Self {
        let silence = if planted == Some(Planted::NoSilence) {
            0
        } else {
            guarded(super::LEASE_MOST)
        };
        Self {
            silent_until: now + silence,
            seats: BTreeMap::new(),
            planted,
        }
    }

    pub fn is_silent(&self, now: Micros) -> bool {
        now < self.silent_until
    }

    /// What is known of a duty, granting nothing.
    pub fn told(&self, now: Micros, duty: DutyId) -> Told {
        let silent = self.silent_until.saturating_sub(now);
        let seat = self.seats.get(&duty);
        let held = seat
            .filter(|seat| !seat.ended)
            .map_or(0, |seat| seat.until.saturating_sub(now));
        let left = u32::try_from(silent.max(held)).unwrap_or(u32::MAX);
        Told {
            duty,
            term: seat.map(|seat| seat.term),
            left,
        }
    }

    /// Grants a claim, or renews what it granted, for so long by the claimant's clock.
    pub fn claim(
        &mut self,
        now: Micros,
        duty: DutyId,
        term: Term,
        lease: Micros,
    ) -> Result<(), Told> {
        let refused = Err(self.told(now, duty));
        if lease > super::LEASE_MOST || self.is_silent(now) {
            return refused;
        }
        let until = now
            + if self.planted == Some(Planted::NoGuard) {
                lease
            } else {
                guarded(lease)
            };
        let Some(seat) = self.seats.get_mut(&duty) else {
            if self.seats.len() >= SEATS_MOST {
                return refused;
            }
            self.seats.insert(
                duty,
                Seat {
                    term,
                    until,
                    ended: false,
                },
            );
            return Ok(());
        };
        let same = match self.planted == Some(Planted::EqualTermsTwice) {
            true => seat.term.number == term.number,
            false => seat.term == term,
        };
        if same && !seat.ended {
            seat.until = seat.until.max(until);
            return Ok(());
        }
        // Only a later turn follows, and only when the one before has run out here or was let go.
        if term <= seat.term || (!seat.ended && seat.until > now) {
            return refused;
        }
        *seat = Seat {
            term,
            until,
            ended: false,
        };
        Ok(())
    }

    /// A claimant lets go of its turn. A release that comes before its own claim uses that claim up; one of any other turn
    /// than the last says nothing.
    pub fn release(&mut self, now: Micros, duty: DutyId, term: Term) {
        let Some(seat) = self.seats.get_mut(&duty) else {
            return;
        };
        if seat.term == term || self.planted == Some(Planted::ReleaseReplayed) {
            seat.ended = true;
        } else if term > seat.term && (seat.ended || seat.until <= now) {
            *seat = Seat {
                term,
                until: now,
                ended: true,
            };
        }
    }
}
