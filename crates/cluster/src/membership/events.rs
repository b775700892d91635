//! Changes of membership that are reported to the caller.

use std::rc::Rc;

use crate::Micros;

/// A change of membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A member joined, or a new process of a member was started.
    Joined(Rc<str>),
    /// A member is suspected to be dead.
    Suspected(Rc<str>),
    /// A member refuted a suspicion, or is alive again after it was declared dead.
    Recovered(Rc<str>),
    /// A member was declared dead, since a suspicion of it was not refuted in time.
    Dead(Rc<str>),
    /// A member left.
    Left(Rc<str>),
    /// This member refuted a record that it is suspected or dead.
    Refuted,
    /// This process did not run for the given time. It suspects no member until one has replied to
    /// it.
    Paused(Micros),
    /// A member replied after a pause of this process.
    Reconnected,
    /// Another running process has the name of this member.
    NameConflict,
    /// A datagram arrived from a process that the operators had confirmed dead; the confirmation is
    /// revoked.
    ConfirmationRevoked(Rc<str>),
    /// A member could not be added because the table is full.
    TableFull,
}

/// The result of merging a record into the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The record contains nothing new.
    Unchanged,
    /// The table changed, and the record is to be disseminated.
    Changed,
    /// The record was about this member and wrong. This member's own record is to be disseminated.
    Refuted,
    /// One more process suspects a suspected member.
    SuspicionConfirmed,
    /// The member could not be added because the table is full.
    TableFull,
}
