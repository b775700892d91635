//! The end of leases: by expiry, by release, by transfer and after pauses of this process.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::super::events::{LeaseEvent, LossReason};
use super::super::messages::{LeaseMessage, MAX_LEASES_PER_MESSAGE, TermNumber};
use super::super::state::LeaseState;
use super::super::term::{LeaseId, Term};
use super::LeaseManager;
use crate::Micros;

/// The shortest time between two transfers to preferred members.
const TRANSFER_INTERVAL_US: Micros = 500_000;
/// After this many pauses of its process within [`PAUSE_WINDOW_US`] a member releases all its
/// leases, and requests none for the same time.
pub(in super::super) const MAX_PAUSES: usize = 3;
const PAUSE_WINDOW_US: Micros = 30_000_000;

impl LeaseManager {
    /// Releases all leases and requests no more.
    pub fn stop(&mut self, now: Micros) {
        self.is_stopping = true;
        self.release_all(now, LossReason::Released);
    }

    /// Records a pause of this process. Leases that expired during the pause are lost. A process
    /// that is paused repeatedly releases all its leases.
    pub fn record_pause(&mut self, now: Micros) {
        self.expire_held(now);
        self.recent_pauses.push_back(now);
        while self
            .recent_pauses
            .front()
            .is_some_and(|at| at + PAUSE_WINDOW_US < now)
        {
            self.recent_pauses.pop_front();
        }
        if self.recent_pauses.len() >= MAX_PAUSES {
            self.recent_pauses.clear();
            self.cooldown_until = now + PAUSE_WINDOW_US;
            self.release_all(now, LossReason::ProcessPaused);
        }
    }

    /// Reports the held leases that have expired as lost.
    pub(super) fn expire_held(&mut self, now: Micros) {
        for tracked in self.tracked.values_mut() {
            if let LeaseState::Held(held) = &tracked.state
                && now >= held.expires_at
            {
                self.events.push(LeaseEvent::Lost {
                    lease: Rc::clone(&tracked.lease.name),
                    term: held.term,
                    held_until: held.expires_at,
                    reason: LossReason::Expired,
                });
                tracked.start_cooldown(now);
            }
        }
    }

    fn release_all(&mut self, now: Micros, reason: LossReason) {
        let all: Vec<LeaseId> = self.tracked.keys().copied().collect();
        self.release(now, &all, reason);
    }

    /// Releases those of the given leases that are held or bid for, and notifies the next
    /// candidates.
    pub(super) fn release(&mut self, now: Micros, leases: &[LeaseId], reason: LossReason) {
        let mut terms = Vec::new();
        let mut vacated: BTreeMap<Rc<str>, Vec<LeaseId>> = BTreeMap::new();
        for &lease in leases {
            let Some(tracked) = self.tracked.get_mut(&lease) else {
                continue;
            };
            let previous_state = tracked.state.clone();
            tracked.start_cooldown(now);
            match previous_state {
                LeaseState::Held(held) => {
                    self.events.push(LeaseEvent::Lost {
                        lease: Rc::clone(&tracked.lease.name),
                        term: held.term,
                        held_until: held.expires_at.min(now),
                        reason,
                    });
                    let number = held.term.number;
                    terms.push(TermNumber { lease, number });
                    let mut candidates = tracked.candidates.iter();
                    if let Some(next) = candidates.find(|name| **name != self.own_name) {
                        vacated.entry(Rc::clone(next)).or_default().push(lease);
                    }
                }
                LeaseState::Bidding(bid) => {
                    let number = bid.term.number;
                    terms.push(TermNumber { lease, number });
                }
                LeaseState::Idle { .. } | LeaseState::Querying(_) => {}
            }
        }
        self.send_release(now, &terms);
        for (name, leases) in vacated {
            for leases in leases.chunks(MAX_LEASES_PER_MESSAGE) {
                let leases = leases.to_vec();
                self.send(&name, LeaseMessage::Vacated { leases });
            }
        }
    }

    /// Notifies the voters that the given terms are released.
    pub(super) fn send_release(&mut self, now: Micros, terms: &[TermNumber]) {
        for terms in terms.chunks(MAX_LEASES_PER_MESSAGE) {
            let terms = terms.to_vec();
            self.send_to_voters(now, &LeaseMessage::Release { terms });
        }
    }

    /// Releases one lease for which another candidate has been preferred for long enough.
    pub(super) fn transfer_one_due_lease(&mut self, now: Micros) {
        if now < self.next_transfer_at {
            return;
        }
        let due = self
            .tracked
            .values()
            .find(|tracked| tracked.is_transfer_due(now))
            .map(|tracked| tracked.lease.id);
        if let Some(lease) = due {
            self.next_transfer_at = now + TRANSFER_INTERVAL_US;
            self.release(now, &[lease], LossReason::Released);
        }
    }

    /// Records a term of another member. A lease that this member holds under an earlier term is
    /// lost.
    pub(super) fn record_term(&mut self, now: Micros, lease: LeaseId, term: Term) {
        self.fencing_tokens.record(lease, term);
        let Some(tracked) = self.tracked.get_mut(&lease) else {
            return;
        };
        tracked.greatest_term_number = tracked.greatest_term_number.max(term.number);
        if matches!(&tracked.state, LeaseState::Held(held) if held.term < term) {
            self.release(now, &[lease], LossReason::Superseded);
        }
    }
}
