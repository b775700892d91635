//! Events that the lease protocol reports to its caller.

use std::rc::Rc;

use super::term::{LeaseId, Term};
use crate::Micros;

/// The reason why a lease is no longer held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LossReason {
    /// No majority renewed the lease in time, or the process did not run.
    Expired,
    /// The lease was released deliberately: this member stops requesting it, or another member is
    /// preferred.
    Released,
    /// This process was paused too often to hold the lease reliably.
    ProcessPaused,
    /// Another member reported a later term.
    Superseded,
}

impl LossReason {
    /// The code of the reason in log lines.
    pub fn code(self) -> &'static str {
        match self {
            Self::Expired => "expired",
            Self::Released => "released",
            Self::ProcessPaused => "process_paused",
            Self::Superseded => "superseded",
        }
    }
}

/// A change in the leases of this member, or a message about one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseEvent {
    /// This member holds the lease from now on.
    Acquired {
        /// The name of the lease.
        lease: Rc<str>,
        /// The term under which the lease is held.
        term: Term,
        /// The time at which the lease expires without renewal.
        expires_at: Micros,
    },
    /// This member no longer holds the lease.
    Lost {
        /// The name of the lease.
        lease: Rc<str>,
        /// The term under which the lease was held.
        term: Term,
        /// The latest time at which the lease may have been held.
        held_until: Micros,
        /// The reason why the lease is no longer held.
        reason: LossReason,
    },
    /// No majority of voters replies. Each member falls back to its behavior without leases.
    QuorumLost,
    /// A majority of voters replies again.
    QuorumRestored,
    /// The named member has other voters in its operator file.
    VotersDiffer(Rc<str>),
    /// A command arrived from a lease holder whose term is the greatest known.
    CommandReceived {
        /// The name of the sender.
        from: Rc<str>,
        /// The lease under which the command was sent.
        lease: LeaseId,
        /// The sender's term.
        term: Term,
        /// The command; empty if the message only announces the term of a new holder.
        body: Vec<u8>,
    },
    /// A note about a lease arrived. Its sender does not have to be the holder of the lease.
    NoteReceived {
        /// The name of the sender.
        from: Rc<str>,
        /// The lease.
        lease: LeaseId,
        /// The note.
        body: Vec<u8>,
    },
}
