//! Sending of messages: choice of receivers, piggybacked records, and sealing.

use std::net::SocketAddr;

use nanorand::Rng;

use super::{Cluster, OutgoingDatagram};
use crate::datagram::{self, Datagram, MAX_DATAGRAM_BYTES};
use crate::membership::member::Member;
use crate::messages::{MemberRecord, MemberState, Message};

/// The largest number of table parts sent at once to a new or returning member.
const MAX_PARTS_AT_ONCE: usize = 8;
/// The number of members for which one table part is sent.
const MEMBERS_PER_PART: usize = 8;

impl Cluster {
    /// Returns up to `count` random members that satisfy the condition, as indices into the table.
    pub(super) fn random_members(
        &mut self,
        count: usize,
        condition: impl Fn(&Member) -> bool,
    ) -> Vec<usize> {
        let members = &self.table.members;
        let mut indices: Vec<usize> = (0..members.len())
            .filter(|&index| condition(&members[index]))
            .collect();
        let count = count.min(indices.len());
        for position in 0..count {
            let other = self.rng.generate_range(position..indices.len());
            indices.swap(position, other);
        }
        indices.truncate(count);
        indices
    }

    /// Sends the table to a new or returning member, in at most [`MAX_PARTS_AT_ONCE`] datagrams.
    pub(super) fn send_table(&mut self, index: usize) {
        let members = self.table.members.len();
        let parts = members
            .div_ceil(MEMBERS_PER_PART)
            .clamp(1, MAX_PARTS_AT_ONCE);
        for part in 0..parts {
            self.send_table_part(index, part == 0);
        }
    }

    /// Sends as many records as fit into a datagram. The next part begins after the first record
    /// that did not fit.
    pub(super) fn send_table_part(&mut self, index: usize, reply_wanted: bool) {
        let Some(member) = self.table.members.get(index) else {
            return;
        };
        let address = member.record.address;
        let mut datagram = self.new_datagram(Message::TableSync { reply_wanted }, Vec::new());
        let mut length = datagram::sealed_length(&datagram);
        let count = self.table.members.len();
        for _ in 0..count {
            self.sync_cursor = (self.sync_cursor + 1) % count;
            let record = &self.table.members[self.sync_cursor].record;
            length += record.max_encoded_length();
            if length > MAX_DATAGRAM_BYTES {
                break;
            }
            datagram.records.push(record.clone());
        }
        self.seal_and_queue(address, &datagram);
    }

    /// Sends a message to a member, with the member's own record if the member should refute it.
    pub(super) fn send_to_member(&mut self, index: usize, message: Message) {
        let record = self.table.members[index].record.clone();
        let address = record.address;
        let records = match record.state {
            MemberState::Suspected | MemberState::Dead => vec![record],
            MemberState::Alive | MemberState::Left => Vec::new(),
        };
        self.send(address, message, records);
    }

    fn new_datagram(&self, message: Message, records: Vec<MemberRecord>) -> Datagram {
        let own = self.table.own_record.clone();
        Datagram {
            fleet: self.config.fleet.clone(),
            sender: self.config.name.clone(),
            incarnation: self.incarnation,
            refutation_counter: self.table.own_record.refutation_counter,
            sequence_number: self.sequence_number,
            message,
            records: [own].into_iter().chain(records).collect(),
        }
    }

    /// Sends a message with the given records and as many changed ones as fit into the datagram.
    pub(crate) fn send(
        &mut self,
        address: SocketAddr,
        message: Message,
        records: Vec<MemberRecord>,
    ) {
        let mut datagram = self.new_datagram(message, records);
        let mut length = datagram::sealed_length(&datagram);
        let table = &self.table;
        self.dissemination
            .offer_changes(table.members.len(), |name| {
                let is_included = datagram.records.iter().any(|record| *record.name == *name);
                let Some(member) = table.member(name).filter(|_| !is_included) else {
                    return true;
                };
                length += member.record.max_encoded_length();
                let fits = length <= MAX_DATAGRAM_BYTES;
                if fits {
                    datagram.records.push(member.record.clone());
                }
                fits
            });
        self.seal_and_queue(address, &datagram);
    }

    fn seal_and_queue(&mut self, to: SocketAddr, datagram: &Datagram) {
        if self.now < self.send_disabled_until || to == self.config.address {
            return;
        }
        self.sequence_number += 1;
        if let Some(bytes) = datagram::seal(&self.key, datagram) {
            self.traffic.sent += 1;
            self.traffic.sent_bytes += bytes.len() as u64;
            self.outgoing.push(OutgoingDatagram { to, bytes });
        }
    }
}
