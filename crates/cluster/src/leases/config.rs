//! The configuration of leases, and its limits.

use std::rc::Rc;

use super::term::LeaseId;
use crate::Micros;

/// The largest relative difference between the rates of any two clocks. Each may be off by 1 %,
/// which gives 2.02 %; the rest is a margin that covers rounding.
pub const MAX_CLOCK_RATE_DIFFERENCE: f64 = 0.025;
/// The longest lease duration that an operator file may set. A voter that starts grants nothing for
/// this time, extended by the clock margin.
pub const MAX_LEASE_DURATION_US: Micros = 2_000_000;
/// The shortest lease duration that an operator file may set.
pub const MIN_LEASE_DURATION_US: Micros = 200_000;
/// The lease duration if the operator file sets none.
pub const DEFAULT_LEASE_DURATION_US: Micros = 1_500_000;
/// The largest number of voters.
pub const MAX_VOTERS: usize = 7;
/// The largest number of leases in a fleet.
pub const MAX_LEASES: usize = 4_096;

/// Returns a duration that covers `duration` as measured by any other clock within
/// [`MAX_CLOCK_RATE_DIFFERENCE`].
pub fn with_clock_margin(duration: Micros) -> Micros {
    duration + (duration as f64 * MAX_CLOCK_RATE_DIFFERENCE).ceil() as Micros
}

/// A named lease, preferably held by a member of `zone` if one is given.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    /// The identifier on the wire.
    pub id: LeaseId,
    /// The configured name.
    pub name: Rc<str>,
    /// The preferred zone of its holder.
    pub zone: Option<Rc<str>>,
}

impl Lease {
    /// Creates the lease with the given name.
    pub fn new(name: &str, zone: Option<Rc<str>>) -> Self {
        Self {
            id: LeaseId::from_name(name),
            name: name.into(),
            zone,
        }
    }
}

/// How leases are granted in a fleet. All members must have the same values.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// The names of the 1, 3, 5 or 7 members that vote.
    pub voters: Vec<Rc<str>>,
    /// How long a grant lasts without renewal.
    pub duration: Micros,
}

impl LeaseConfig {
    /// A hash of the voters' names, by which a voter detects a requester with different voters.
    pub(super) fn fingerprint(&self) -> u32 {
        let mut names: Vec<_> = self.voters.iter().map(|name| &**name).collect();
        names.sort_unstable();
        LeaseId::from_name(&names.join("\n")).0
    }

    /// The smallest number of voters that is a majority.
    pub(super) fn majority(&self) -> u32 {
        self.voters.len() as u32 / 2 + 1
    }

    /// The position of a voter in the list, which is its bit in [`Votes`](super::state::Votes).
    pub(super) fn voter_index(&self, name: &str) -> Option<usize> {
        self.voters
            .iter()
            .position(|voter| **voter == *name)
            .filter(|index| *index < MAX_VOTERS)
    }
}
