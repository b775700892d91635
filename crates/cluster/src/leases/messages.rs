//! Messages about leases between members. Fields and variants are encoded by their order.

use serde::{Deserialize, Serialize};

use super::term::{LeaseId, Term};

/// The largest number of leases in one message. The status of a lease takes up to 31 bytes; the
/// header, the sender's record and that of a suspected receiver take up to 570 of a datagram's
/// 1,200 bytes.
pub const MAX_LEASES_PER_MESSAGE: usize = 20;
/// The largest body of a command or note, in bytes.
pub const MAX_BODY_BYTES: usize = 600;

/// The state of a lease as a voter reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantStatus {
    /// The lease.
    pub lease: LeaseId,
    /// The greatest term that the voter has granted since it started.
    pub term: Option<Term>,
    /// Microseconds until the voter would grant another bid; 0 means immediately.
    pub available_in_us: u32,
}

/// A lease with the number of a term. The number and the incarnation identifier of the sender or
/// receiver together are the term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TermNumber {
    /// The lease.
    pub lease: LeaseId,
    /// The number of the term.
    pub number: u64,
}

/// A message about leases.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// Requests the state of leases from a voter, without a bid.
    Query {
        /// The sender's round, repeated in the reply.
        round: u32,
        /// The fingerprint of the sender's voters.
        voters: u32,
        /// The leases whose state is requested.
        leases: Vec<LeaseId>,
    },
    /// A voter's reply to a query.
    QueryReply {
        /// The round of the query.
        round: u32,
        /// The state of each lease.
        statuses: Vec<GrantStatus>,
    },
    /// Requests a voter to grant or renew leases under the sender's terms.
    Bid {
        /// The sender's round, repeated in the reply.
        round: u32,
        /// The fingerprint of the sender's voters.
        voters: u32,
        /// How long a grant lasts, in microseconds.
        duration_us: u32,
        /// The leases and term numbers.
        bids: Vec<TermNumber>,
    },
    /// A voter's reply to a bid.
    BidReply {
        /// The round of the bid.
        round: u32,
        /// The bids that are granted.
        granted: Vec<TermNumber>,
        /// The state of the leases that are not granted.
        refused: Vec<GrantStatus>,
    },
    /// Notifies voters that the sender releases the given terms.
    Release {
        /// The leases and term numbers.
        terms: Vec<TermNumber>,
    },
    /// Notifies the next candidate that the given leases are available.
    Vacated {
        /// The leases.
        leases: Vec<LeaseId>,
    },
    /// A command under a lease. A receiver that has recorded a later term rejects it.
    Command {
        /// The lease.
        lease: LeaseId,
        /// The sender's term.
        term: Term,
        /// The command; empty if the message only announces the term of a new holder.
        body: Vec<u8>,
    },
    /// A note about a lease, to its holder.
    Note {
        /// The lease.
        lease: LeaseId,
        /// The note.
        body: Vec<u8>,
    },
    /// Rejects a command whose term is older than the one given.
    StaleTerm {
        /// The lease.
        lease: LeaseId,
        /// The greatest term known to the sender.
        term: Term,
    },
}
