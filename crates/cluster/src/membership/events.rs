//! Changes of membership that are reported to the caller.

use std::rc::Rc;

use crate::Micros;

/// A change of membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A member joined, or a new process of its name.
    Joined(Rc<str>),
    /// A member is suspected to be dead.
    Suspected(Rc<str>),
    /// A member refuted a suspicion or came back after it was dead.
    Recovered(Rc<str>),
    /// A suspicion was not refuted in time.
    Dead(Rc<str>),
    /// A member left.
    Left(Rc<str>),
    /// This member refuted that it is suspected or dead.
    Refuted,
    /// This process did not run for that long; it suspects nobody until a member has answered it.
    Paused(Micros),
    /// A member answered after a pause of this process.
    Reconnected,
    /// Another running process has the name of this member.
    NameConflict,
    /// A datagram arrived from a process that the operators had confirmed dead; the confirmation is
    /// revoked.
    ConfirmationRevoked(Rc<str>),
    /// A member could not be added since the table is full.
    TableFull,
}

/// The result of merging a record into the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Nothing new.
    Unchanged,
    /// The table changed, and the record is to be disseminated.
    Changed,
    /// The record was about this member and wrong; its own record is to be disseminated.
    Refuted,
    /// One more process suspects a suspected member.
    SuspicionConfirmed,
    /// The member could not be added.
    TableFull,
}
