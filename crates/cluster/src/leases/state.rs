//! The state of one lease at one member: idle, querying voters, bidding, or held.

use super::config::MAX_VOTERS;
use super::term::Term;
use crate::Micros;

/// A set of voters: bit n is the voter with index n in the configuration.
pub type Votes = u8;

/// The number of last renewal rounds whose grants are counted.
const MAX_COUNTED_ROUNDS: usize = 4;

/// The state of a lease at this member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseState {
    /// The lease is not held by this member, which queries the voters at `retry_at` if it is a
    /// candidate.
    Idle {
        /// The time of the next query.
        retry_at: Micros,
    },
    /// This member queries the voters.
    Querying(Query),
    /// This member requests the voters to grant a term.
    Bidding(Bid),
    /// This member holds the lease.
    Held(HeldLease),
}

/// The replies to a query so far.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Query {
    /// The round of the query.
    pub round: u32,
    /// The time at which the query was sent.
    pub sent_at: Micros,
    /// The voters that replied.
    pub replied: Votes,
    /// The voters that would grant a bid immediately.
    pub available: Votes,
    /// For each voter that replied, the time until it would grant a bid.
    available_in: [Micros; MAX_VOTERS],
}

impl Query {
    /// Creates a query without replies.
    pub fn new(round: u32, sent_at: Micros) -> Self {
        Self {
            round,
            sent_at,
            replied: 0,
            available: 0,
            available_in: [0; MAX_VOTERS],
        }
    }

    /// Records the reply of a voter that would grant a bid after `available_in`.
    pub fn record_reply(&mut self, voter: usize, available_in: Micros) {
        self.replied |= 1 << voter;
        if available_in == 0 {
            self.available |= 1 << voter;
        }
        self.available_in[voter] = available_in;
    }

    /// Whether at least `majority` voters replied.
    pub fn has_reply_majority(&self, majority: u32) -> bool {
        self.replied.count_ones() >= majority
    }

    /// Whether at least `majority` voters would grant a bid immediately.
    pub fn has_available_majority(&self, majority: u32) -> bool {
        self.available.count_ones() >= majority
    }

    /// Whether fewer than `majority` of all `voters` can still report the lease as available.
    pub fn cannot_reach_majority(&self, majority: u32, voters: u32) -> bool {
        self.available.count_ones() + voters - self.replied.count_ones() < majority
    }

    /// The time until a majority of the voters that replied would grant a bid.
    pub fn majority_available_in(&self, majority: u32) -> Micros {
        let mut times: Vec<Micros> = (0..MAX_VOTERS)
            .filter(|voter| self.replied >> voter & 1 == 1)
            .map(|voter| self.available_in[voter])
            .collect();
        times.sort_unstable();
        times
            .get(majority as usize - 1)
            .or(times.last())
            .copied()
            .unwrap_or(0)
    }
}

/// A bid and the votes on it so far.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Bid {
    /// The term for which this member bids.
    pub term: Term,
    /// The round of the bid.
    pub round: u32,
    /// The time at which the bid was sent.
    pub sent_at: Micros,
    /// The voters that granted the bid.
    pub granted: Votes,
    /// The voters that refused the bid.
    pub refused: Votes,
}

impl Bid {
    /// Creates a bid without votes.
    pub fn new(term: Term, round: u32, sent_at: Micros) -> Self {
        Self {
            term,
            round,
            sent_at,
            granted: 0,
            refused: 0,
        }
    }
}

/// The grants of one renewal round.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RenewalRound {
    round: u32,
    granted: Votes,
}

/// A lease held until `expires_at` by this process's clock.
///
/// Invariant: a majority granted `term` for a whole lease duration in one round, and `expires_at`
/// is that duration counted from the moment before that round was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HeldLease {
    /// The term under which the lease is held.
    pub term: Term,
    /// The time at which the lease was acquired.
    pub acquired_at: Micros,
    /// The time at which the lease expires without renewal.
    pub expires_at: Micros,
    rounds: Vec<RenewalRound>,
}

impl HeldLease {
    /// Creates a lease that has just been granted.
    pub fn new(term: Term, acquired_at: Micros, expires_at: Micros) -> Self {
        Self {
            term,
            acquired_at,
            expires_at,
            rounds: Vec::new(),
        }
    }

    /// Begins a renewal round, and discards the oldest one if there are `MAX_COUNTED_ROUNDS`.
    pub fn begin_round(&mut self, round: u32) {
        if self.rounds.len() >= MAX_COUNTED_ROUNDS {
            self.rounds.remove(0);
        }
        self.rounds.push(RenewalRound { round, granted: 0 });
    }

    /// Records a voter's grant and returns the number of grants in that round. Grants of different
    /// rounds are never added up.
    pub fn record_grant(&mut self, round: u32, voter: usize) -> u32 {
        let Some(entry) = self.rounds.iter_mut().find(|entry| entry.round == round) else {
            return 0;
        };
        entry.granted |= 1 << voter;
        entry.granted.count_ones()
    }
}
