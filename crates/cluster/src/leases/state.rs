//! How one member stands to one duty.

use super::MAX_VOTERS;
use super::term::Term;
use crate::Micros;

/// Voters, a bit each by their place in the file.
pub type Votes = u8;

/// Rounds of renewal whose grants are still counted.
const MAX_COUNTED_ROUNDS: usize = 4;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseState {
    /// Asks at that moment, if it is among those who may.
    Idle {
        next: Micros,
    },
    Querying(Query),
    Bidding(Bid),
    Held(Held),
}

/// What voters have said so far of a duty that is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Query {
    pub round: u32,
    pub since: Micros,
    pub heard: Votes,
    /// Those that would grant a claim at once.
    pub available: Votes,
    left: [Micros; MAX_VOTERS],
}

impl Query {
    pub fn new(round: u32, since: Micros) -> Self {
        Self {
            round,
            since,
            heard: 0,
            available: 0,
            left: [0; MAX_VOTERS],
        }
    }

    pub fn told(&mut self, index: usize, left: Micros) {
        self.heard |= 1 << index;
        if left == 0 {
            self.available |= 1 << index;
        }
        self.left[index] = left;
    }

    /// How long until so many of those heard are free.
    pub fn available_in(&self, majority: u32) -> Micros {
        let mut left: Vec<Micros> = (0..MAX_VOTERS)
            .filter(|index| self.heard >> index & 1 == 1)
            .map(|index| self.left[index])
            .collect();
        left.sort_unstable();
        left.get(majority as usize - 1)
            .or(left.last())
            .copied()
            .unwrap_or(0)
    }
}

/// A claim under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Bid {
    pub term: Term,
    pub round: u32,
    pub since: Micros,
    pub granted: Votes,
    pub refused: Votes,
}

impl Bid {
    pub fn new(term: Term, round: u32, since: Micros) -> Self {
        Self {
            term,
            round,
            since,
            granted: 0,
            refused: 0,
        }
    }
}

/// Held up to `until` by this process's clock.
///
/// Invariant: a majority granted `term` for a whole lease in one round, and `until` is that lease counted from the moment
/// before that round was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Held {
    pub term: Term,
    pub from: Micros,
    pub until: Micros,
    rounds: Vec<(u32, Votes)>,
}

impl Held {
    pub fn new(term: Term, from: Micros, until: Micros) -> Self {
        Self {
            term,
            from,
            until,
            rounds: Vec::new(),
        }
    }

    pub fn begin_round(&mut self, round: u32) {
        if self.rounds.len() >= MAX_COUNTED_ROUNDS {
            self.rounds.remove(0);
        }
        self.rounds.push((round, 0));
    }

    /// Voters that granted in that round, this one with them. Grants of different rounds are never added up.
    pub fn grants(&mut self, round: u32, index: usize) -> u32 {
        let Some(entry) = self.rounds.iter_mut().find(|entry| entry.0 == round) else {
            return 0;
        };
        entry.1 |= 1 << index;
        entry.1.count_ones()
    }
}
