//! Received datagrams: checks, merging of the records, and handling of the message.

use std::rc::Rc;

use super::Cluster;
use crate::Micros;
use crate::datagram::{self, Datagram, DropReason};
use crate::membership::events::{MembershipEvent, MergeOutcome};
use crate::membership::table::MAX_MEMBERS;
use crate::messages::{MAX_NAME_BYTES, MemberRecord, MemberState, Message};
use crate::timers::Timer;

/// The shortest interval between two replies to a sender with a superseded incarnation, and between
/// two sends of the table to a member that was dead and sends again.
const CORRECTION_INTERVAL_US: Micros = 500_000;
/// How long this process sends nothing after a conflict with an earlier-started process of the same
/// name. Each further conflict restarts the pause.
const NAME_CONFLICT_SEND_PAUSE_US: Micros = 30_000_000;

impl Cluster {
    pub(super) fn receive_datagram(&mut self, bytes: &[u8]) -> Result<(), DropReason> {
        let datagram = datagram::open(&self.key, &self.config.fleet, bytes)?;
        let has_own_name = datagram.sender == self.config.name;
        if has_own_name && datagram.incarnation == self.incarnation {
            return Err(DropReason::OwnDatagram);
        }
        if datagram.sender.len() > MAX_NAME_BYTES || datagram.sender.is_empty() {
            return Err(DropReason::Malformed);
        }
        if self.is_superseded(&datagram) {
            self.reply_to_old_incarnation(&datagram);
            return Err(DropReason::OldIncarnation);
        }
        self.replay_filter.accept(&datagram)?;
        self.traffic.accepted += 1;
        let was_known = self.table.index(&datagram.sender).is_some();
        for record in &datagram.records {
            self.merge_record(record);
        }
        let Some(index) = self.table.index(&datagram.sender) else {
            return if has_own_name {
                Ok(())
            } else {
                Err(DropReason::TableFull)
            };
        };
        self.record_sender(index, &datagram, was_known);
        self.receive_message(index, &datagram);
        Ok(())
    }

    /// Whether another process of the sender's name is known with the same or a greater refutation
    /// counter.
    fn is_superseded(&self, datagram: &Datagram) -> bool {
        self.table.member(&datagram.sender).is_some_and(|member| {
            member.record.incarnation != datagram.incarnation
                && datagram.refutation_counter <= member.record.refutation_counter
        })
    }

    /// Sends a process that has lost its state in a restart the record of the previous process, so
    /// that it chooses a greater refutation counter.
    fn reply_to_old_incarnation(&mut self, datagram: &Datagram) {
        let last_reply = self.old_incarnation_replies.get(&datagram.sender);
        if last_reply.is_some_and(|at| self.now < at + CORRECTION_INTERVAL_US) {
            return;
        }
        if self.old_incarnation_replies.len() >= MAX_MEMBERS {
            self.old_incarnation_replies.clear();
        }
        self.old_incarnation_replies
            .insert(datagram.sender.clone(), self.now);
        let sender_record = datagram
            .records
            .iter()
            .find(|record| *record.name == *datagram.sender);
        let known_record = self
            .table
            .member(&datagram.sender)
            .map(|member| member.record.clone());
        if let Some((sender_record, known_record)) = sender_record.zip(known_record) {
            self.send(sender_record.address, Message::Gossip, vec![known_record]);
        }
    }

    /// Merges a record, and disseminates it if it changed the table.
    pub(super) fn merge_record(&mut self, record: &MemberRecord) {
        match self.table.merge(self.now, record) {
            MergeOutcome::Unchanged => {}
            MergeOutcome::TableFull => {
                if self.count_dropped(DropReason::TableFull) == 1 {
                    self.table.events.push(MembershipEvent::TableFull);
                }
            }
            MergeOutcome::Refuted => {
                self.failure_detector.increase_health_penalty();
                let own_name = Rc::clone(&self.table.own_record.name);
                self.dissemination.add(&own_name);
                if self.table.has_name_conflict() && record.incarnation < self.incarnation {
                    self.send_disabled_until = self.now + NAME_CONFLICT_SEND_PAUSE_US;
                }
            }
            MergeOutcome::Changed | MergeOutcome::SuspicionConfirmed => {
                self.dissemination.add(&record.name);
                self.schedule_suspicion_timer(&record.name);
            }
        }
    }

    /// Records that a datagram of a member arrived. A member that is suspected or dead here is sent
    /// its record, and a new or returning member is sent the table.
    fn record_sender(&mut self, index: usize, datagram: &Datagram, was_known: bool) {
        let name = Rc::clone(&self.table.members[index].record.name);
        self.table.record_received(&name, datagram.incarnation);
        let member = &mut self.table.members[index];
        if member.record.incarnation != datagram.incarnation {
            return;
        }
        let was_received_recently = member
            .last_received_at
            .is_some_and(|at| self.now < at + CORRECTION_INTERVAL_US);
        let was_dead = member.record.state == MemberState::Dead && !was_received_recently;
        member.last_received_at = Some(self.now);
        let address = member.record.address;
        let state = member.record.state;
        let is_suspected_or_dead = !matches!(state, MemberState::Alive | MemberState::Left);
        // Gossip gets no reply, as two members that consider each other dead would otherwise reply
        // to each other endlessly.
        if is_suspected_or_dead && datagram.message != Message::Gossip {
            let record = member.record.clone();
            self.send(address, Message::Gossip, vec![record]);
        }
        if (!was_known || was_dead) && state != MemberState::Left {
            self.send_table(index);
        }
    }

    fn receive_message(&mut self, index: usize, datagram: &Datagram) {
        match &datagram.message {
            Message::Gossip => {}
            Message::Probe { number, target } => {
                let is_target = target
                    .as_ref()
                    .is_none_or(|target| **target == *self.config.name);
                if is_target {
                    self.send_to_member(index, Message::Ack { number: *number });
                }
            }
            Message::Ack { number } => self.receive_ack(*number, &datagram.sender),
            Message::ProbeRequest {
                number,
                target,
                address,
            } => {
                let requester = self.table.members[index].record.address;
                let Some(number) = self.failure_detector.relay_probe(requester, *number) else {
                    return;
                };
                let target = Some(Rc::clone(target));
                self.send(*address, Message::Probe { number, target }, Vec::new());
                let timeout_at = self.now + self.config.probe_timeout;
                self.timers
                    .schedule(timeout_at, Timer::RelayedProbe(number));
            }
            Message::ProbeReport { number, answered } => {
                self.receive_probe_report(*number, *answered);
            }
            Message::TableSync { reply_wanted } => {
                if *reply_wanted {
                    self.send_table_part(index, false);
                }
            }
            Message::Lease(message) => {
                let name = Rc::clone(&self.table.members[index].record.name);
                if let Some(leases) = &mut self.lease_manager {
                    leases.receive(self.now, &name, datagram.incarnation.random_id, message);
                }
                self.send_lease_messages();
            }
        }
    }
}
