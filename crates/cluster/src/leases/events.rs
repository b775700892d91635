//! Events that the lease protocol reports to its caller.

use std::rc::Rc;

use super::term::{LeaseId, Term};
use crate::Micros;

/// Why a lease is no longer held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LossReason {
    /// No majority renewed it in time, or the process did not run.
    Expired,
    /// Released in order: told to stop, or another member is preferred.
    Released,
    /// This process was paused too often to be trusted with it.
    ProcessPaused,
    /// Another member knows a later term.
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
        /// The term under which it is held.
        term: Term,
        /// When it expires without renewal.
        until: Micros,
    },
    /// This member no longer holds the lease.
    Lost {
        /// The name of the lease.
        lease: Rc<str>,
        /// The term under which it was held.
        term: Term,
        /// The last moment at which it may have been held.
        until: Micros,
        /// Why it is lost.
        reason: LossReason,
    },
    /// No majority of voters answers; each member falls back to what it does without leases.
    QuorumLost,
    /// A majority of voters answers again.
    QuorumRestored,
    /// A member has other voters in its file.
    VotersDiffer(Rc<str>),
    /// A command from a lease holder whose term is the greatest known.
    CommandReceived {
        /// The sender.
        from: Rc<str>,
        /// The lease in whose name it was sent.
        lease: LeaseId,
        /// The sender's term.
        term: Term,
        /// The command, empty where a new holder announces its term.
        body: Vec<u8>,
    },
    /// A note about a lease from a member that need not hold it.
    NoteReceived {
        /// The sender.
        from: Rc<str>,
        /// The lease.
        lease: LeaseId,
        /// The note.
        body: Vec<u8>,
    },
}
