//! The lease manager of one member: it requests, renews and releases leases, votes if the member is
//! a voter, and checks the terms of commands.

mod receive;
mod release;
mod replies;
mod rounds;

#[cfg(test)]
pub(super) use release::MAX_PAUSES;

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use super::assignment::{Candidate, assign};
use super::config::{Lease, LeaseConfig, MAX_LEASES};
use super::events::{LeaseEvent, LossReason};
use super::fault_injection::InjectedFault;
use super::fencing::FencingTokens;
use super::messages::{LeaseMessage, MAX_BODY_BYTES};
use super::state::LeaseState;
use super::term::{LeaseId, Term};
use super::tracked::TrackedLease;
use super::voter::Voter;
use crate::Micros;

/// How long the replies of voters to a round may take.
const ROUND_TIMEOUT_US: Micros = 250_000;
/// The shortest time between two assignments of candidates.
const REASSIGN_INTERVAL_US: Micros = 300_000;

/// A lease that this member holds.
#[derive(Clone, Copy, Debug)]
pub struct HeldLeaseView<'a> {
    /// The lease.
    pub lease: &'a Lease,
    /// The term under which the lease is held.
    pub term: Term,
    /// The time at which the lease was acquired.
    pub acquired_at: Micros,
    /// The time at which the lease expires without renewal.
    pub expires_at: Micros,
}

/// A message with the name of its receiver.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AddressedMessage {
    /// The name of the receiver.
    pub to: Rc<str>,
    /// The message.
    pub message: LeaseMessage,
}

/// The leases of one member: the leases that it requests or holds, and its votes.
///
/// The manager does no I/O and reads no clock: its caller passes in times, messages and the members
/// that are alive, and takes messages, events and the time of the next timer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseManager {
    config: LeaseConfig,
    /// The fingerprint of the configured voters, sent with each query and bid.
    voters_fingerprint: u32,
    own_name: Rc<str>,
    /// The random identifier of this process, which is part of its terms.
    own_incarnation_id: u64,
    /// The Unix time in milliseconds at which this process's local time was 0, by its wall clock.
    wall_clock_offset_ms: u64,
    voter: Option<Voter>,
    tracked: BTreeMap<LeaseId, TrackedLease>,
    fencing_tokens: FencingTokens,
    round: u32,
    /// The time at which each recent round was sent.
    sent_rounds: BTreeMap<u32, Micros>,
    renew_at: Micros,
    assigned_at: Micros,
    /// The members from which the current candidates were chosen; empty if a new assignment is
    /// needed.
    assigned_members: Vec<Candidate>,
    next_transfer_at: Micros,
    recent_pauses: VecDeque<Micros>,
    cooldown_until: Micros,
    is_stopping: bool,
    /// The greatest term number that this process may have used for a lease that it no longer
    /// tracks, or for any lease of an earlier manager.
    min_term_number: u64,
    is_quorum_lost: bool,
    /// The number of successive rounds without a majority of replies.
    unanswered_rounds: u32,
    /// The members that have other voters in their operator files.
    differing_members: Vec<Rc<str>>,
    stale_commands: u64,
    outgoing: Vec<AddressedMessage>,
    events: Vec<LeaseEvent>,
    injected_fault: Option<InjectedFault>,
}

impl LeaseManager {
    /// Creates the manager of a process. `own_incarnation_id` is the random identifier of the
    /// process. `wall_clock_offset_ms` is the Unix time in milliseconds at local time 0: term
    /// numbers are at least the Unix time in milliseconds, so that they increase even if all
    /// members have lost their terms.
    pub fn new(
        now: Micros,
        config: LeaseConfig,
        own_name: Rc<str>,
        own_incarnation_id: u64,
        wall_clock_offset_ms: u64,
    ) -> Self {
        let is_voter = config.voters.contains(&own_name);
        Self {
            voters_fingerprint: config.fingerprint(),
            config,
            own_name,
            own_incarnation_id,
            wall_clock_offset_ms,
            voter: is_voter.then(|| Voter::new(now, None)),
            tracked: BTreeMap::new(),
            fencing_tokens: FencingTokens::new(None),
            round: 0,
            sent_rounds: BTreeMap::new(),
            renew_at: 0,
            assigned_at: 0,
            assigned_members: Vec::new(),
            next_transfer_at: 0,
            recent_pauses: VecDeque::new(),
            cooldown_until: 0,
            is_stopping: false,
            min_term_number: 0,
            is_quorum_lost: false,
            unanswered_rounds: 0,
            differing_members: Vec::new(),
            stale_commands: 0,
            outgoing: Vec::new(),
            events: Vec::new(),
            injected_fault: None,
        }
    }

    /// Injects a fault into a manager that has just been created at `now`.
    #[must_use]
    pub fn with_fault(mut self, now: Micros, fault: Option<InjectedFault>) -> Self {
        self.voter = self.voter.map(|_| Voter::new(now, fault));
        self.fencing_tokens = FencingTokens::new(fault);
        self.injected_fault = fault;
        self
    }

    /// Continues the round and term numbers of an earlier manager of this process, so that replies
    /// to the earlier manager are not mistaken for replies to this one.
    #[must_use]
    pub fn with_numbering_of(mut self, before: &Self) -> Self {
        self.round = before.round;
        self.min_term_number = before
            .tracked
            .values()
            .map(|tracked| tracked.greatest_term_number)
            .max()
            .unwrap_or(0)
            .max(before.min_term_number);
        self
    }

    /// Whether the manager has been stopped and requests no more leases.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping
    }

    /// The configuration with which the manager was created.
    pub fn config(&self) -> &LeaseConfig {
        &self.config
    }

    /// Replaces the leases of this fleet. Held leases that are not among them are released.
    pub fn set_leases(&mut self, now: Micros, leases: Vec<Lease>) {
        let ids: Vec<LeaseId> = leases.iter().map(|lease| lease.id).collect();
        let removed: Vec<LeaseId> = self
            .tracked
            .keys()
            .filter(|id| !ids.contains(id))
            .copied()
            .collect();
        self.release(now, &removed, LossReason::Released);
        for tracked in removed.iter().filter_map(|id| self.tracked.remove(id)) {
            self.min_term_number = self.min_term_number.max(tracked.greatest_term_number);
        }
        for lease in leases.into_iter().take(MAX_LEASES) {
            self.tracked
                .entry(lease.id)
                .or_insert_with(|| TrackedLease::new(lease, now, self.min_term_number));
        }
        self.assigned_members.clear();
    }

    /// Returns the term under which a lease is held now and for at least `required` longer. This
    /// must be called immediately before each action under the lease: an earlier check does not
    /// make the action safe.
    pub fn holds(&self, now: Micros, lease: LeaseId, required: Micros) -> Option<Term> {
        match &self.tracked.get(&lease)?.state {
            LeaseState::Held(held) if now + required < held.expires_at => Some(held.term),
            _ => None,
        }
    }

    /// The greatest known term of a lease, held by this member or another one.
    pub fn greatest_known_term(&self, lease: LeaseId) -> Option<Term> {
        self.fencing_tokens.greatest_known_term(lease)
    }

    /// Whether the quorum is not reported as lost: true at first, and false from
    /// [`LeaseEvent::QuorumLost`] to [`LeaseEvent::QuorumRestored`].
    pub fn has_quorum(&self) -> bool {
        !self.is_quorum_lost
    }

    /// The leases held at `now`.
    pub fn held(&self, now: Micros) -> impl Iterator<Item = HeldLeaseView<'_>> {
        self.acquired_not_reported_lost()
            .filter(move |held| now < held.expires_at)
    }

    /// The leases that were acquired and not yet reported as lost, including expired ones.
    pub fn acquired_not_reported_lost(&self) -> impl Iterator<Item = HeldLeaseView<'_>> {
        self.tracked
            .values()
            .filter_map(|tracked| match &tracked.state {
                LeaseState::Held(held) => Some(HeldLeaseView {
                    lease: &tracked.lease,
                    term: held.term,
                    acquired_at: held.acquired_at,
                    expires_at: held.expires_at,
                }),
                _ => None,
            })
    }

    /// All leases of this fleet.
    pub fn tracked(&self) -> impl Iterator<Item = &Lease> {
        self.tracked.values().map(|tracked| &tracked.lease)
    }

    /// Whether this member is a voter that grants nothing yet because it has just started.
    pub fn is_voter_in_startup_wait(&self, now: Micros) -> bool {
        self.voter
            .as_ref()
            .is_some_and(|voter| voter.is_in_startup_wait(now))
    }

    /// The number of commands that were rejected because their term was stale.
    pub fn stale_command_count(&self) -> u64 {
        self.stale_commands
    }

    /// Removes and returns the messages to send.
    pub fn take_messages(&mut self) -> Vec<AddressedMessage> {
        std::mem::take(&mut self.outgoing)
    }

    /// Removes and returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<LeaseEvent> {
        std::mem::take(&mut self.events)
    }

    /// Sends a command under a lease if the lease is held now and for at least `required` longer,
    /// which is the time that sending may take. Returns whether the command was sent.
    pub fn send_command(
        &mut self,
        now: Micros,
        lease: LeaseId,
        to: &Rc<str>,
        required: Micros,
        body: Vec<u8>,
    ) -> bool {
        if body.len() > MAX_BODY_BYTES {
            return false;
        }
        let Some(term) = self.holds(now, lease, required) else {
            return false;
        };
        self.send(to, LeaseMessage::Command { lease, term, body });
        true
    }

    /// Sends a note about a lease, held or not. A note that is too long is discarded.
    pub fn send_note(&mut self, lease: LeaseId, to: &Rc<str>, body: Vec<u8>) {
        if body.len() <= MAX_BODY_BYTES {
            self.send(to, LeaseMessage::Note { lease, body });
        }
    }

    fn send(&mut self, to: &Rc<str>, message: LeaseMessage) {
        let to = Rc::clone(to);
        self.outgoing.push(AddressedMessage { to, message });
    }

    /// The latest time at which [`LeaseManager::run_timers`] must be called.
    pub fn next_timer(&self) -> Micros {
        let timer_of = |tracked: &TrackedLease| match &tracked.state {
            LeaseState::Idle { retry_at } if tracked.rank.is_some() => Some(*retry_at),
            LeaseState::Idle { .. } => None,
            LeaseState::Querying(query) => Some(query.sent_at + ROUND_TIMEOUT_US),
            LeaseState::Bidding(bid) => Some(bid.sent_at + ROUND_TIMEOUT_US),
            LeaseState::Held(held) => Some(held.expires_at.min(self.renew_at)),
        };
        let first = self.tracked.values().filter_map(timer_of).min();
        let reassign_at = if self.tracked.is_empty() {
            Micros::MAX
        } else {
            self.assigned_at + REASSIGN_INTERVAL_US
        };
        first.unwrap_or(Micros::MAX).min(reassign_at)
    }

    /// Runs the timers that have expired. `alive` contains all members that are alive and not
    /// suspected, this one included. `can_request` is false if this member must not request leases,
    /// since it has had no reply after a pause or another process has its name.
    pub fn run_timers(&mut self, now: Micros, alive: &[Candidate], can_request: bool) {
        self.expire_held(now);
        self.reassign(now, alive);
        self.expire_rounds(now);
        if can_request && !self.is_stopping && now >= self.cooldown_until {
            self.query_due_leases(now);
        }
        if now >= self.renew_at {
            self.renew(now);
        }
        self.transfer_one_due_lease(now);
    }

    /// Assigns candidates again if the members that are alive have changed.
    fn reassign(&mut self, now: Micros, alive: &[Candidate]) {
        let is_recent = now < self.assigned_at + REASSIGN_INTERVAL_US;
        if is_recent && !self.assigned_members.is_empty() {
            return;
        }
        self.assigned_at = now;
        let mut members = alive.to_vec();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        if members == self.assigned_members {
            return;
        }
        let leases: Vec<Lease> = self.tracked().cloned().collect();
        for (tracked, order) in self.tracked.values_mut().zip(assign(&leases, &members)) {
            let names = order
                .into_iter()
                .map(|index| Rc::clone(&members[index].name))
                .collect();
            tracked.set_candidates(now, names, &self.own_name);
        }
        self.assigned_members = members;
    }
}
