//! Rounds of messages to all voters: queries, bids and renewals.

use std::rc::Rc;

use super::super::config::MAX_LEASE_DURATION_US;
use super::super::events::LeaseEvent;
use super::super::messages::{LeaseMessage, MAX_LEASES_PER_MESSAGE, TermNumber};
use super::super::state::{Bid, LeaseState, Query};
use super::super::term::{LeaseId, Term};
use super::super::tracked::{RANK_DELAY_US, TrackedLease};
use super::{AddressedMessage, LeaseManager, ROUND_TIMEOUT_US};
use crate::Micros;

/// The number of renewals within one lease duration, two of which may be lost.
pub(super) const RENEWALS_PER_LEASE: u64 = 3;
/// The number of successive rounds without enough replies after which the quorum is lost.
const UNANSWERED_ROUNDS_WITHOUT_QUORUM: u32 = 2;

impl LeaseManager {
    fn next_round(&mut self, now: Micros) -> u32 {
        self.round = self.round.wrapping_add(1);
        self.sent_rounds.insert(self.round, now);
        // Replies to a round older than the longest lease duration can grant nothing, so the round
        // is discarded.
        self.sent_rounds
            .retain(|_, sent_at| *sent_at + MAX_LEASE_DURATION_US >= now);
        self.round
    }

    /// Sends a message to all voters. If this member is a voter, it receives the message
    /// immediately.
    pub(super) fn send_to_voters(&mut self, now: Micros, message: &LeaseMessage) {
        let others = self
            .config
            .voters
            .iter()
            .filter(|voter| **voter != self.own_name);
        self.outgoing.extend(others.map(|voter| AddressedMessage {
            to: Rc::clone(voter),
            message: message.clone(),
        }));
        if self.voter.is_some() {
            let own_name = Rc::clone(&self.own_name);
            self.receive(now, &own_name, self.own_incarnation_id, message);
        }
    }

    /// Queries the voters about all leases whose retry timer has expired.
    pub(super) fn query_due_leases(&mut self, now: Micros) {
        let is_due = |tracked: &&TrackedLease| {
            tracked.rank.is_some()
                && matches!(tracked.state, LeaseState::Idle { retry_at } if retry_at <= now)
        };
        let due: Vec<LeaseId> = self
            .tracked
            .values()
            .filter(is_due)
            .map(|tracked| tracked.lease.id)
            .collect();
        for leases in due.chunks(MAX_LEASES_PER_MESSAGE) {
            let round = self.next_round(now);
            for id in leases {
                if let Some(tracked) = self.tracked.get_mut(id) {
                    tracked.state = LeaseState::Querying(Query::new(round, now));
                }
            }
            let query = LeaseMessage::Query {
                round,
                voters: self.voters_fingerprint,
                leases: leases.to_vec(),
            };
            self.send_to_voters(now, &query);
        }
    }

    /// Bids for leases that a majority of voters reported as available.
    pub(super) fn bid(&mut self, now: Micros, leases: &[LeaseId]) {
        let min_number = self.wall_clock_offset_ms + now / 1_000;
        for leases in leases.chunks(MAX_LEASES_PER_MESSAGE) {
            let round = self.next_round(now);
            let mut bids = Vec::new();
            for &lease in leases {
                let known = self.fencing_tokens.greatest_known_term(lease);
                let Some(tracked) = self.tracked.get_mut(&lease) else {
                    continue;
                };
                let number = tracked
                    .greatest_term_number
                    .max(known.map_or(0, |term| term.number))
                    .saturating_add(1)
                    .max(min_number);
                tracked.greatest_term_number = number;
                let term = Term {
                    number,
                    incarnation_id: self.own_incarnation_id,
                };
                tracked.state = LeaseState::Bidding(Bid::new(term, round, now));
                bids.push(TermNumber { lease, number });
            }
            self.send_bids(now, round, bids);
        }
    }

    /// Renews all held leases by bidding again under the same terms, which extends their grants.
    pub(super) fn renew(&mut self, now: Micros) {
        self.renew_at = now + self.config.duration / RENEWALS_PER_LEASE;
        let held: Vec<LeaseId> = self
            .acquired_not_reported_lost()
            .map(|held| held.lease.id)
            .collect();
        for leases in held.chunks(MAX_LEASES_PER_MESSAGE) {
            let round = self.next_round(now);
            let mut bids = Vec::new();
            for &lease in leases {
                if let Some(LeaseState::Held(held)) = self
                    .tracked
                    .get_mut(&lease)
                    .map(|tracked| &mut tracked.state)
                {
                    held.begin_round(round);
                    let number = held.term.number;
                    bids.push(TermNumber { lease, number });
                }
            }
            self.send_bids(now, round, bids);
        }
    }

    fn send_bids(&mut self, now: Micros, round: u32, bids: Vec<TermNumber>) {
        let bid = LeaseMessage::Bid {
            round,
            voters: self.voters_fingerprint,
            duration_us: self.config.duration as u32,
            bids,
        };
        self.send_to_voters(now, &bid);
    }

    /// Ends the rounds that have timed out.
    pub(super) fn expire_rounds(&mut self, now: Micros) {
        let majority = self.config.majority();
        let mut expired_bids = Vec::new();
        let mut is_unanswered = false;
        for tracked in self.tracked.values_mut() {
            match &tracked.state {
                LeaseState::Querying(query) if now >= query.sent_at + ROUND_TIMEOUT_US => {
                    if query.has_reply_majority(majority) {
                        let delay = query.majority_available_in(majority).max(RANK_DELAY_US);
                        tracked.backoff = 0;
                        tracked.retry_after(now, delay);
                    } else {
                        is_unanswered = true;
                        tracked.back_off(now);
                    }
                }
                LeaseState::Bidding(bid) if now >= bid.sent_at + ROUND_TIMEOUT_US => {
                    expired_bids.push(TermNumber {
                        lease: tracked.lease.id,
                        number: bid.term.number,
                    });
                    tracked.back_off(now);
                }
                _ => {}
            }
        }
        if is_unanswered {
            self.record_quorum(false);
        }
        self.send_release(now, &expired_bids);
    }

    /// Records whether a majority of voters replied, and reports when the quorum is lost or
    /// restored.
    pub(super) fn record_quorum(&mut self, has_majority: bool) {
        self.unanswered_rounds = if has_majority {
            0
        } else {
            self.unanswered_rounds + 1
        };
        let is_lost = self.unanswered_rounds >= UNANSWERED_ROUNDS_WITHOUT_QUORUM;
        if is_lost != self.is_quorum_lost {
            self.is_quorum_lost = is_lost;
            self.events.push(if is_lost {
                LeaseEvent::QuorumLost
            } else {
                LeaseEvent::QuorumRestored
            });
        }
    }
}
