//! Messages from other members: requests for votes, replies of voters, commands and notes.

use std::rc::Rc;

use super::super::config::MAX_LEASES;
use super::super::events::LeaseEvent;
use super::super::messages::{LeaseMessage, MAX_LEASES_PER_MESSAGE, TermNumber};
use super::super::state::LeaseState;
use super::super::term::{LeaseId, Term};
use super::LeaseManager;
use crate::Micros;

impl LeaseManager {
    /// Receives a message from a member, the process of which has the random identifier
    /// `sender_incarnation_id`.
    pub fn receive(
        &mut self,
        now: Micros,
        sender: &Rc<str>,
        sender_incarnation_id: u64,
        message: &LeaseMessage,
    ) {
        match message {
            LeaseMessage::Query { .. }
            | LeaseMessage::Bid { .. }
            | LeaseMessage::Release { .. } => {
                self.receive_as_voter(now, sender, sender_incarnation_id, message);
            }
            LeaseMessage::QueryReply { round, statuses } => {
                if let Some(voter) = self.config.voter_index(sender) {
                    self.receive_query_reply(now, voter, *round, statuses);
                }
            }
            LeaseMessage::BidReply {
                round,
                granted,
                refused,
            } => {
                if let Some(voter) = self.config.voter_index(sender) {
                    self.receive_grants(now, voter, *round, granted);
                    self.receive_refusals(now, voter, *round, refused);
                }
            }
            LeaseMessage::Vacated { leases } => self.receive_vacated(now, leases),
            LeaseMessage::Command { lease, term, body } => {
                self.receive_command(now, sender, *lease, *term, body);
            }
            LeaseMessage::Note { lease, body } => self.events.push(LeaseEvent::NoteReceived {
                from: Rc::clone(sender),
                lease: *lease,
                body: body.clone(),
            }),
            LeaseMessage::StaleTerm { lease, term } => self.record_term(now, *lease, *term),
        }
    }

    /// Receives a message that is addressed to this member as a voter.
    fn receive_as_voter(
        &mut self,
        now: Micros,
        sender: &Rc<str>,
        sender_incarnation_id: u64,
        message: &LeaseMessage,
    ) {
        match message {
            LeaseMessage::Query {
                round,
                voters,
                leases,
            } if self.has_same_voters(sender, *voters) => {
                self.answer_query(now, sender, *round, leases);
            }
            LeaseMessage::Bid {
                round,
                voters,
                duration_us,
                bids,
            } if self.has_same_voters(sender, *voters) => {
                let duration = Micros::from(*duration_us);
                self.vote(
                    now,
                    sender,
                    *round,
                    duration,
                    terms_of(bids, sender_incarnation_id),
                );
            }
            LeaseMessage::Release { terms } => {
                if let Some(voter) = &mut self.voter {
                    for (lease, term) in terms_of(terms, sender_incarnation_id) {
                        voter.release(now, lease, term);
                    }
                }
            }
            _ => {}
        }
    }

    /// Whether a requester has the same voters in its operator file. Otherwise nothing is granted
    /// to it, since majorities of different voters need not overlap.
    fn has_same_voters(&mut self, sender: &Rc<str>, fingerprint: u32) -> bool {
        let is_same = fingerprint == self.voters_fingerprint;
        let is_reported = self.differing_members.contains(sender);
        if !is_same && !is_reported && self.differing_members.len() < MAX_LEASES {
            self.differing_members.push(Rc::clone(sender));
            self.events
                .push(LeaseEvent::VotersDiffer(Rc::clone(sender)));
        }
        is_same
    }

    fn answer_query(&mut self, now: Micros, sender: &Rc<str>, round: u32, leases: &[LeaseId]) {
        let Some(voter) = &self.voter else { return };
        let statuses = leases
            .iter()
            .take(MAX_LEASES_PER_MESSAGE)
            .map(|lease| voter.status(now, *lease))
            .collect();
        self.reply(now, sender, LeaseMessage::QueryReply { round, statuses });
    }

    fn vote(
        &mut self,
        now: Micros,
        sender: &Rc<str>,
        round: u32,
        duration: Micros,
        bids: Vec<(LeaseId, Term)>,
    ) {
        let Some(voter) = &mut self.voter else { return };
        let mut granted = Vec::new();
        let mut refused = Vec::new();
        for (lease, term) in bids {
            match voter.bid(now, lease, term, duration) {
                Ok(()) => granted.push(TermNumber {
                    lease,
                    number: term.number,
                }),
                Err(status) => refused.push(status),
            }
        }
        let reply = LeaseMessage::BidReply {
            round,
            granted,
            refused,
        };
        self.reply(now, sender, reply);
    }

    /// Sends a voter's reply. A reply to this member itself is received immediately.
    fn reply(&mut self, now: Micros, to: &Rc<str>, message: LeaseMessage) {
        if *to == self.own_name {
            let own_name = Rc::clone(&self.own_name);
            self.receive(now, &own_name, self.own_incarnation_id, &message);
        } else {
            self.send(to, message);
        }
    }

    fn receive_vacated(&mut self, now: Micros, leases: &[LeaseId]) {
        for id in leases.iter().take(MAX_LEASES_PER_MESSAGE) {
            let Some(tracked) = self.tracked.get_mut(id) else {
                continue;
            };
            if let LeaseState::Idle { retry_at } = &mut tracked.state {
                *retry_at = now.max(tracked.cooldown_until);
            }
        }
    }

    fn receive_command(
        &mut self,
        now: Micros,
        sender: &Rc<str>,
        lease: LeaseId,
        term: Term,
        body: &[u8],
    ) {
        if let Err(known) = self.fencing_tokens.accept(lease, term) {
            self.stale_commands += 1;
            self.send(sender, LeaseMessage::StaleTerm { lease, term: known });
            return;
        }
        self.record_term(now, lease, term);
        self.events.push(LeaseEvent::CommandReceived {
            from: Rc::clone(sender),
            lease,
            term,
            body: body.to_vec(),
        });
    }
}

/// Returns the terms of a message, with the identifier of the sender's process.
fn terms_of(terms: &[TermNumber], incarnation_id: u64) -> Vec<(LeaseId, Term)> {
    terms
        .iter()
        .take(MAX_LEASES_PER_MESSAGE)
        .map(|term| {
            let number = term.number;
            (
                term.lease,
                Term {
                    number,
                    incarnation_id,
                },
            )
        })
        .collect()
}
