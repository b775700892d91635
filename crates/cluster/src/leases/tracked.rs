//! The state of one lease at this member, which may hold it or not.

use std::rc::Rc;

use super::assignment::CANDIDATES_PER_LEASE;
use super::config::Lease;
use super::messages::GrantStatus;
use super::state::LeaseState;
use crate::Micros;

/// The delay between candidates of successive rank, so that they do not bid at the same time.
pub(super) const RANK_DELAY_US: Micros = 60_000;
/// How long a member that lost or released a lease does not request it, so that other members can
/// acquire it. With [`CANDIDATES_PER_LEASE`] candidates the holder of a lease changes at most that
/// many times in this duration.
const COOLDOWN_AFTER_LOSS_US: Micros = 10_000_000;
/// The first delay before a retry after a round without enough replies of voters.
const MIN_BACKOFF_US: Micros = 200_000;
/// The longest delay before a retry after a round without enough replies of voters.
const MAX_BACKOFF_US: Micros = 4_000_000;
/// A lease is transferred to a preferred member only when that member has been alive and the lease
/// has been held for this long.
const MIN_HOLD_BEFORE_TRANSFER_US: Micros = 10_000_000;

/// A lease of the fleet with its state at this member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct TrackedLease {
    pub lease: Lease,
    pub state: LeaseState,
    /// The candidates, most preferred first.
    pub candidates: Vec<Rc<str>>,
    /// This member's position among the candidates.
    pub rank: Option<usize>,
    /// The greatest term number used by this member or reported by others.
    pub greatest_term_number: u64,
    /// The time since which a more preferred candidate has been alive.
    pub outranked_since: Option<Micros>,
    pub backoff: Micros,
    /// The time until which this member does not request the lease after a loss.
    pub cooldown_until: Micros,
}

impl TrackedLease {
    pub fn new(lease: Lease, now: Micros, greatest_term_number: u64) -> Self {
        Self {
            lease,
            state: LeaseState::Idle { retry_at: now },
            candidates: Vec::new(),
            rank: None,
            greatest_term_number,
            outranked_since: None,
            backoff: 0,
            cooldown_until: 0,
        }
    }

    /// Ends holding or bidding. If there are other candidates, this member does not request the
    /// lease for [`COOLDOWN_AFTER_LOSS_US`].
    pub fn start_cooldown(&mut self, now: Micros) {
        self.cooldown_until = if self.candidates.len() > 1 {
            now + COOLDOWN_AFTER_LOSS_US
        } else {
            now
        };
        self.state = LeaseState::Idle {
            retry_at: self.cooldown_until,
        };
    }

    /// Schedules a query after `delay` plus the delay for this member's rank.
    pub fn retry_after(&mut self, now: Micros, delay: Micros) {
        let rank = self.rank.unwrap_or(CANDIDATES_PER_LEASE) as Micros;
        self.state = LeaseState::Idle {
            retry_at: now + delay + rank * RANK_DELAY_US,
        };
    }

    /// Doubles the backoff and schedules a query after it.
    pub fn back_off(&mut self, now: Micros) {
        self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF_US, MAX_BACKOFF_US);
        self.retry_after(now, self.backoff);
    }

    /// Records the greatest term that a voter granted. It is only a lower bound for the next term
    /// number: the process that was granted it need not have held the lease.
    pub fn observe_status(&mut self, status: &GrantStatus) {
        self.greatest_term_number = self
            .greatest_term_number
            .max(status.term.map_or(0, |term| term.number));
    }

    /// Replaces the list of candidates.
    pub fn set_candidates(&mut self, now: Micros, candidates: Vec<Rc<str>>, own_name: &str) {
        self.candidates = candidates;
        let rank = self.candidates.iter().position(|name| **name == *own_name);
        let moved_up = rank.is_some_and(|rank| self.rank.is_none_or(|before| rank < before));
        // A member that moved up need not wait for the delay of its former rank.
        if let (LeaseState::Idle { retry_at }, true) = (&mut self.state, moved_up) {
            *retry_at = (*retry_at)
                .min(now + rank.unwrap_or(0) as Micros * RANK_DELAY_US)
                .max(self.cooldown_until);
        }
        self.rank = rank;
        self.outranked_since = match rank {
            Some(0) => None,
            _ => self.outranked_since.or(Some(now)),
        };
    }

    /// Whether the lease is to be transferred to a candidate that has been preferred for long
    /// enough.
    pub fn is_transfer_due(&self, now: Micros) -> bool {
        let has_lasted = |since: Micros| since + MIN_HOLD_BEFORE_TRANSFER_US <= now;
        match &self.state {
            LeaseState::Held(held) => {
                has_lasted(held.acquired_at)
                    && self.outranked_since.is_some_and(has_lasted)
                    && !self.candidates.is_empty()
            }
            _ => false,
        }
    }
}
