//! Messages between members, which [`datagram`](crate::datagram) seals. Fields and variants are
//! encoded by their order.

use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::Incarnation;
use crate::leases::messages::LeaseMessage;

/// The protocol version that this implementation sends.
pub const PROTOCOL_VERSION: u8 = 1;
/// The largest length of the name of a member or zone.
pub const MAX_NAME_BYTES: usize = 64;

/// The state of a member. Of two records of a process with the same refutation counter, the one
/// with the later state supersedes the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// No member suspects this one.
    #[serde(rename = "present")]
    Alive,
    /// At least one member received no reply to its probes of this one.
    #[serde(rename = "doubted")]
    Suspected,
    /// The suspicion was not refuted in time. The process may have ended, or it may be unreachable
    /// or paused, and may still serve.
    #[serde(rename = "gone")]
    Dead,
    /// The member announced that it no longer serves.
    Left,
}

/// The record of a member that members exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The member's name.
    pub name: Rc<str>,
    /// The address to which other members send datagrams.
    pub address: SocketAddr,
    /// The member's zone; may be empty.
    pub zone: Rc<str>,
    /// The incarnation of the member's current process.
    pub incarnation: Incarnation,
    /// The counter that the process increases to refute wrong records about it.
    pub refutation_counter: u64,
    /// The member's state.
    pub state: MemberState,
    /// The random identifier of the process that suspects the member, by which independent
    /// suspicions are counted; 0 if no process suspects it.
    pub suspected_by: u64,
    /// The protocol version that the member sends.
    pub version: u8,
}

/// Whether a text is a valid name: 1 to [`MAX_NAME_BYTES`] visible ASCII characters.
pub fn is_valid_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && text.bytes().all(|byte| byte.is_ascii_graphic())
}

impl MemberRecord {
    /// The record of a process that has just started.
    pub fn for_new_process(
        name: &str,
        zone: &str,
        address: SocketAddr,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            name: Rc::from(name),
            address,
            zone: Rc::from(zone),
            incarnation,
            // If the clock is right, this exceeds the counters of earlier processes of the name.
            // Otherwise other members reply with the earlier record, and this process increases its
            // counter.
            refutation_counter: incarnation.started_at_us,
            state: MemberState::Alive,
            suspected_by: 0,
            version: PROTOCOL_VERSION,
        }
    }

    /// Whether the name and zone are valid; the zone may be empty.
    pub fn is_well_formed(&self) -> bool {
        is_valid_name(&self.name) && (self.zone.is_empty() || is_valid_name(&self.zone))
    }

    /// Whether this record supersedes another record of the same name. Of two processes with the
    /// same refutation counter, the one with the greater incarnation wins, so that all members
    /// decide in the same way.
    pub fn supersedes(&self, other: &Self) -> bool {
        let order = |record: &Self| (record.refutation_counter, record.incarnation, record.state);
        order(self) > order(other)
    }

    /// Whether another record has the same incarnation and refutation counter.
    pub fn is_same_process_and_counter(&self, other: &Self) -> bool {
        self.refutation_counter == other.refutation_counter && self.incarnation == other.incarnation
    }

    /// The largest number of bytes that the record takes up in a datagram: texts, address,
    /// incarnation, counter, state, suspecting process and version.
    pub fn max_encoded_length(&self) -> usize {
        const LENGTHS_BYTES: usize = 2;
        const ADDRESS_BYTES: usize = 19;
        const INCARNATION_BYTES: usize = 20;
        const COUNTER_BYTES: usize = 10;
        const STATE_BYTES: usize = 2;
        const SUSPECTED_BY_BYTES: usize = 10;
        const VERSION_BYTES: usize = 1;
        self.name.len()
            + self.zone.len()
            + LENGTHS_BYTES
            + ADDRESS_BYTES
            + INCARNATION_BYTES
            + COUNTER_BYTES
            + STATE_BYTES
            + SUSPECTED_BY_BYTES
            + VERSION_BYTES
    }
}

/// A message between members. Each is sent with records of members, the sender's own first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A message that carries only records.
    Gossip,
    /// A health check. The target replies, or any receiver if no target is named.
    Probe {
        /// The sender's number for the probe.
        number: u32,
        /// The name of the member that is probed.
        target: Option<Rc<str>>,
    },
    /// The reply to a probe.
    Ack {
        /// The number of the probe.
        number: u32,
    },
    /// Requests the receiver to probe a member for the sender.
    ProbeRequest {
        /// The sender's number for the probe.
        number: u32,
        /// The name of the member to probe.
        target: Rc<str>,
        /// The address of that member.
        address: SocketAddr,
    },
    /// The result of a requested probe. Its arrival, whatever the result, shows that the link to
    /// its sender works.
    ProbeReport {
        /// The number of the probe request.
        number: u32,
        /// Whether the target replied.
        answered: bool,
    },
    /// A part of the member table.
    TableSync {
        /// Whether the receiver should reply with a part of its own table.
        reply_wanted: bool,
    },
    /// A message about leases.
    Lease(LeaseMessage),
}
