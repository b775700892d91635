//! Messages between members, before they are sealed. Fields and variants are encoded by their
//! order.

use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::Incarnation;
use crate::leases::messages::LeaseMessage;

/// The protocol version that this implementation sends.
pub const PROTOCOL_VERSION: u8 = 1;
/// The largest length of a member's or zone's name.
pub const MAX_NAME_BYTES: usize = 64;

/// The state of a member. Of two records with one refutation counter the one with the later state
/// supersedes the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Nobody suspects it.
    #[serde(rename = "present")]
    Alive,
    /// A member could not reach it.
    #[serde(rename = "doubted")]
    Suspected,
    /// The suspicion was not refuted in time. The process may have died, be cut off or paused, and
    /// may still serve.
    #[serde(rename = "gone")]
    Dead,
    /// It announced that it no longer serves.
    Left,
}

/// What is known of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The member's name.
    pub name: Rc<str>,
    /// The address at which others reach it.
    pub address: SocketAddr,
    /// Its zone; may be empty.
    pub zone: Rc<str>,
    /// The process of that name.
    pub incarnation: Incarnation,
    /// The counter that the process increases to refute what others hold of it.
    pub refutation_counter: u64,
    /// Its state.
    pub state: MemberState,
    /// The random identifier of the process that suspects it, by which independent suspicions are
    /// counted; 0 where nobody does.
    pub suspected_by: u64,
    /// The protocol version it speaks.
    pub version: u8,
}

/// Whether a text may be a name: short, and of visible ASCII characters.
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
            // Above that of earlier processes of the name if the clock is right; otherwise they
            // tell.
            refutation_counter: incarnation.started_at_us,
            state: MemberState::Alive,
            suspected_by: 0,
            version: PROTOCOL_VERSION,
        }
    }

    /// Whether its name and zone are valid; the zone may be empty.
    pub fn is_well_formed(&self) -> bool {
        is_valid_name(&self.name) && (self.zone.is_empty() || is_valid_name(&self.zone))
    }

    /// Whether it supersedes another record of the same name. Of two processes with one refutation
    /// counter the greater incarnation wins, so that all members decide alike.
    pub fn supersedes(&self, other: &Self) -> bool {
        let order = |record: &Self| (record.refutation_counter, record.incarnation, record.state);
        order(self) > order(other)
    }

    /// Whether another record is of the same process and refutation counter.
    pub fn is_same_process_and_counter(&self, other: &Self) -> bool {
        self.refutation_counter == other.refutation_counter && self.incarnation == other.incarnation
    }

    /// The largest number of bytes of the record in a datagram: texts, address, incarnation,
    /// counter, state, suspecting process and version.
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
    /// Nothing but records.
    Gossip,
    /// A health check. Answered by the target, or by any receiver where none is named.
    Probe {
        /// The sender's number of the probe.
        number: u32,
        /// The name of the member that is probed.
        target: Option<Rc<str>>,
    },
    /// The reply to a probe.
    Ack {
        /// The number of the probe.
        number: u32,
    },
    /// Asks the receiver to probe a member for the sender.
    ProbeRequest {
        /// The sender's number of the probe.
        number: u32,
        /// The name of the member to probe.
        target: Rc<str>,
        /// The address of that member.
        address: SocketAddr,
    },
    /// The result of a requested probe. That it arrives at all shows that the link to its sender
    /// works.
    ProbeReport {
        /// The number of the probe request.
        number: u32,
        /// Whether the target replied.
        answered: bool,
    },
    /// A part of the member table.
    TableSync {
        /// Whether the receiver is to send a part of its own table back.
        reply_wanted: bool,
    },
    /// A message about leases.
    Lease(LeaseMessage),
}
