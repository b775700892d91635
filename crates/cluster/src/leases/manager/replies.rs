//! Replies of voters to this member's queries and bids.

use std::rc::Rc;

use super::super::config::MAX_LEASE_DURATION_US;
use super::super::events::LeaseEvent;
use super::super::fault_injection::InjectedFault;
use super::super::messages::{GrantStatus, LeaseMessage, TermNumber};
use super::super::state::{HeldLease, LeaseState};
use super::super::term::LeaseId;
use super::super::tracked::RANK_DELAY_US;
use super::rounds::RENEWALS_PER_LEASE;
use super::{AddressedMessage, LeaseManager};
use crate::Micros;

impl LeaseManager {
    /// Receives a voter's reply to a query, and bids for the leases that a majority reports as
    /// available.
    pub(super) fn receive_query_reply(
        &mut self,
        now: Micros,
        voter: usize,
        round: u32,
        statuses: &[GrantStatus],
    ) {
        let majority = self.config.majority();
        let voters = self.config.voters.len() as u32;
        let mut available = Vec::new();
        let mut has_majority = false;
        for status in statuses {
            let Some(tracked) = self.tracked.get_mut(&status.lease) else {
                continue;
            };
            tracked.observe_status(status);
            let LeaseState::Querying(query) = &mut tracked.state else {
                continue;
            };
            if query.round != round {
                continue;
            }
            query.record_reply(voter, Micros::from(status.available_in_us));
            has_majority |= query.has_reply_majority(majority);
            if query.has_available_majority(majority) {
                available.push(status.lease);
            } else if query.cannot_reach_majority(majority, voters) {
                // Another member holds the lease, regardless of the replies still missing. The
                // query is repeated when enough grants have expired.
                let delay = query.majority_available_in(majority).max(RANK_DELAY_US);
                tracked.backoff = 0;
                tracked.retry_after(now, delay);
            }
        }
        if has_majority {
            self.record_quorum(true);
        }
        if !self.is_stopping {
            self.bid(now, &available);
        }
    }

    /// Receives a voter's grants: a majority of them makes this member the holder, or extends the
    /// lease it holds.
    pub(super) fn receive_grants(
        &mut self,
        now: Micros,
        voter: usize,
        round: u32,
        granted: &[TermNumber],
    ) {
        let Some(&sent_at) = self.sent_rounds.get(&round) else {
            return;
        };
        let counted_from = match self.injected_fault {
            Some(InjectedFault::CountsFromGrant) => now,
            _ => sent_at,
        };
        let expires_at = counted_from + self.config.duration;
        let majority = self.config.majority();
        for &TermNumber { lease, number } in granted {
            let Some(tracked) = self.tracked.get_mut(&lease) else {
                continue;
            };
            match &mut tracked.state {
                LeaseState::Bidding(bid) if bid.round == round && bid.term.number == number => {
                    bid.granted |= 1 << voter;
                    if bid.granted.count_ones() >= majority && expires_at > now {
                        self.acquire(now, lease, expires_at);
                        self.renew_at = self
                            .renew_at
                            .min(sent_at + self.config.duration / RENEWALS_PER_LEASE);
                    }
                }
                // A grant that arrives after the lease has expired does not renew it.
                LeaseState::Held(held) if held.term.number == number && now < held.expires_at => {
                    let grants = held.record_grant(round, voter);
                    if grants >= majority {
                        held.expires_at = held.expires_at.max(expires_at);
                    }
                }
                _ => {}
            }
        }
    }

    /// Makes this member the holder under the term it bid for, and announces the term to all
    /// members.
    fn acquire(&mut self, now: Micros, lease: LeaseId, expires_at: Micros) {
        let Some(tracked) = self.tracked.get_mut(&lease) else {
            return;
        };
        let LeaseState::Bidding(bid) = &tracked.state else {
            return;
        };
        let term = bid.term;
        tracked.backoff = 0;
        tracked.state = LeaseState::Held(HeldLease::new(term, now, expires_at));
        self.fencing_tokens.record(lease, term);
        self.events.push(LeaseEvent::Acquired {
            lease: Rc::clone(&tracked.lease.name),
            term,
            expires_at,
        });
        // An empty command makes its receivers reject commands of older terms.
        let announcement = LeaseMessage::Command {
            lease,
            term,
            body: Vec::new(),
        };
        let others = self
            .assigned_members
            .iter()
            .filter(|member| member.name != self.own_name);
        self.outgoing.extend(others.map(|member| AddressedMessage {
            to: Rc::clone(&member.name),
            message: announcement.clone(),
        }));
    }

    /// Receives a voter's refusals, and withdraws bids that can no longer reach a majority.
    pub(super) fn receive_refusals(
        &mut self,
        now: Micros,
        voter: usize,
        round: u32,
        refused: &[GrantStatus],
    ) {
        if !self.sent_rounds.contains_key(&round) {
            return;
        }
        let majority = self.config.majority();
        let voters = self.config.voters.len() as u32;
        let mut lost_bids = Vec::new();
        for status in refused {
            let Some(tracked) = self.tracked.get_mut(&status.lease) else {
                continue;
            };
            tracked.observe_status(status);
            let LeaseState::Bidding(bid) = &mut tracked.state else {
                continue;
            };
            if bid.round != round {
                continue;
            }
            bid.refused |= 1 << voter;
            if voters - bid.refused.count_ones() < majority {
                lost_bids.push(TermNumber {
                    lease: status.lease,
                    number: bid.term.number,
                });
                let delay = Micros::from(status.available_in_us)
                    .clamp(RANK_DELAY_US, MAX_LEASE_DURATION_US);
                tracked.retry_after(now, delay);
            }
        }
        self.send_release(now, &lost_bids);
    }
}
