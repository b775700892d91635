//! What members say to one another about duties.

use serde::{Deserialize, Serialize};

use super::term::{DutyId, Term};
use super::voter::Told;

/// Duties named in one frame: what a voter tells of each takes up to 31 bytes; head, own record and that of one who is
/// doubted take up to 570 of a datagram's 1,200. A longer one is never sent.
pub const NAMED_MOST: usize = 20;
/// Bytes of an act's body at most.
pub const BODY_MOST: usize = 600;

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DutyFrame {
    /// How do these stand? Grants nothing.
    Ask {
        round: u32,
        voters: u32,
        duties: Vec<DutyId>,
    },
    Told {
        round: u32,
        told: Vec<Told>,
    },
    /// Grant me these for so many microseconds; the numbers make terms with the life of the sender.
    Claim {
        round: u32,
        voters: u32,
        lease: u32,
        claims: Vec<(DutyId, u64)>,
    },
    Granted {
        round: u32,
        granted: Vec<(DutyId, u64)>,
        refused: Vec<Told>,
    },
    /// I let these turns go.
    Release {
        turns: Vec<(DutyId, u64)>,
    },
    /// These are free now: you are the next.
    Free {
        duties: Vec<DutyId>,
    },
    /// Something done in a duty's name. Whoever knows a later term does not take it.
    Act {
        duty: DutyId,
        term: Term,
        body: Vec<u8>,
    },
    /// Something about a duty that is no act: said to its holder.
    Say {
        duty: DutyId,
        body: Vec<u8>,
    },
    /// Your act's term is old; this is the one I know.
    Old {
        duty: DutyId,
        term: Term,
    },
}
