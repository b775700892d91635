//! What members say to one another about duties.

use serde::{Deserialize, Serialize};

use super::term::{LeaseId, Term};
use super::voter::GrantStatus;

/// Duties named in one frame: what a voter tells of each takes up to 31 bytes; head, own record and that of one who is
/// doubted take up to 570 of a datagram's 1,200. A longer one is never sent.
pub const MAX_LEASES_PER_MESSAGE: usize = 20;
/// Bytes of an act's body at most.
pub const MAX_BODY_BYTES: usize = 600;

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// How do these stand? Grants nothing.
    Query {
        round: u32,
        voters: u32,
        leases: Vec<LeaseId>,
    },
    QueryReply {
        round: u32,
        told: Vec<GrantStatus>,
    },
    /// Grant me these for so many microseconds; the numbers make terms with the life of the sender.
    Bid {
        round: u32,
        voters: u32,
        duration_us: u32,
        bids: Vec<(LeaseId, u64)>,
    },
    BidReply {
        round: u32,
        granted: Vec<(LeaseId, u64)>,
        refused: Vec<GrantStatus>,
    },
    /// I let these turns go.
    Release {
        terms: Vec<(LeaseId, u64)>,
    },
    /// These are free now: you are the next.
    Vacated {
        leases: Vec<LeaseId>,
    },
    /// Something done in a duty's name. Whoever knows a later term does not take it.
    Command {
        lease: LeaseId,
        term: Term,
        body: Vec<u8>,
    },
    /// Something about a duty that is no act: said to its holder.
    Note {
        lease: LeaseId,
        body: Vec<u8>,
    },
    /// Your act's term is old; this is the one I know.
    StaleTerm {
        lease: LeaseId,
        term: Term,
    },
}
