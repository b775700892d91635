//! What balancers say to one another, before it is sealed.

use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::datagram::Incarnation;
use crate::leases::messages::LeaseMessage;

/// Bytes of a name or a zone at most.
pub const MAX_NAME_BYTES: usize = 64;

/// How a member stands, by rising weight: at one incarnation the later ones go before the earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    #[serde(rename = "present")]
    Alive,
    /// Somebody could not reach it.
    #[serde(rename = "doubted")]
    Suspected,
    /// Nobody refuted the doubt in time. It may be dead, cut off or stalled, and may still serve.
    #[serde(rename = "gone")]
    Dead,
    /// It said itself that it serves no more.
    Left,
}

/// What is said of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    pub name: Rc<str>,
    pub address: SocketAddr,
    pub zone: Rc<str>,
    pub incarnation: Incarnation,
    pub refutation_counter: u64,
    pub state: MemberState,
    /// Who doubted, as chance of its life: doubts of several make up minds sooner. 0 where nobody doubts.
    pub by: u64,
    /// The version that it speaks.
    pub version: u8,
}

/// Whether a text may be a name: short, and of signs that can be seen.
pub fn is_valid_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && text.bytes().all(|byte| byte.is_ascii_graphic())
}

impl MemberRecord {
    /// Whether its names are names; a zone may be left out.
    pub fn is_well_formed(&self) -> bool {
        is_valid_name(&self.name) && (self.zone.is_empty() || is_valid_name(&self.zone))
    }

    /// Whether it goes before another of the same name. Of two processes at one incarnation the one with the greater
    /// life goes first, so that all members choose alike.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.refutation_counter, self.incarnation, self.state)
            > (other.refutation_counter, other.incarnation, other.state)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Nothing but records.
    Gossip,
    /// Whoever bears the name answers; whoever gets it answers where none is named.
    Probe {
        number: u32,
        target: Option<Rc<str>>,
    },
    Ack {
        number: u32,
    },
    /// Please probe the target for me.
    ProbeRequest {
        number: u32,
        target: Rc<str>,
        address: SocketAddr,
    },
    /// What came of it. That one who was asked answers at all shows the way to it is fine.
    ProbeReport {
        number: u32,
        answered: bool,
    },
    /// Part of the whole table; whoever gets it sends parts of its own back if wanted.
    TableSync {
        reply_wanted: bool,
    },
    Lease(LeaseMessage),
}
