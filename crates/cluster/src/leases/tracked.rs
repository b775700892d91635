//! One lease as this member follows it, held or not.

use std::rc::Rc;

use super::assignment::CANDIDATES_PER_LEASE;
use super::config::Lease;
use super::messages::GrantStatus;
use super::state::LeaseState;
use crate::Micros;

/// The delay between candidates of successive rank, so that they do not bid at once.
pub(super) const RANK_DELAY_US: Micros = 60_000;
/// How long a member that lost or released a lease leaves it to others. With
/// [`CANDIDATES_PER_LEASE`] candidates a lease changes hands at most that many times in this span.
const COOLDOWN_AFTER_LOSS_US: Micros = 10_000_000;
/// The first and the longest wait after voters did not answer.
const MIN_BACKOFF_US: Micros = 200_000;
const MAX_BACKOFF_US: Micros = 4_000_000;
/// A transfer waits until the preferred member has been alive and the lease has been held for this
/// long.
const MIN_HOLD_BEFORE_TRANSFER_US: Micros = 10_000_000;

/// A lease that this member knows of, with its state here.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct TrackedLease {
    pub lease: Lease,
    pub state: LeaseState,
    /// The candidates, most preferred first.
    pub candidates: Vec<Rc<str>>,
    /// This member's position among the candidates.
    pub rank: Option<usize>,
    /// The greatest term number used here or reported by others.
    pub greatest_term_number: u64,
    /// Since when a more preferred candidate has been alive.
    pub outranked_since: Option<Micros>,
    pub backoff: Micros,
    /// Until when it is left to others after a loss.
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

    /// Ends holding or bidding; where there are other candidates, they go first for a while.
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

    /// Retries after `delay` and this member's delay by rank.
    pub fn retry_after(&mut self, now: Micros, delay: Micros) {
        let rank = self.rank.unwrap_or(CANDIDATES_PER_LEASE) as Micros;
        self.state = LeaseState::Idle {
            retry_at: now + delay + rank * RANK_DELAY_US,
        };
    }

    /// Doubles the backoff and retries after it.
    pub fn back_off(&mut self, now: Micros) {
        self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF_US, MAX_BACKOFF_US);
        self.retry_after(now, self.backoff);
    }

    /// Records the greatest term a voter granted. It is a number to exceed and nothing more:
    /// whoever was granted it need not have held the lease.
    pub fn observe_status(&mut self, status: &GrantStatus) {
        self.greatest_term_number = self
            .greatest_term_number
            .max(status.term.map_or(0, |term| term.number));
    }

    /// Takes a new list of candidates.
    pub fn set_candidates(&mut self, now: Micros, candidates: Vec<Rc<str>>, own_name: &str) {
        self.candidates = candidates;
        let rank = self.candidates.iter().position(|name| **name == *own_name);
        let moved_up = rank.is_some_and(|rank| self.rank.is_none_or(|before| rank < before));
        // A member that moved up need not wait as long as its former rank did.
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
        let is_settled = |since: Micros| since + MIN_HOLD_BEFORE_TRANSFER_US <= now;
        match &self.state {
            LeaseState::Held(held) => {
                is_settled(held.acquired_at)
                    && self.outranked_since.is_some_and(is_settled)
                    && !self.candidates.is_empty()
            }
            _ => false,
        }
    }
}
