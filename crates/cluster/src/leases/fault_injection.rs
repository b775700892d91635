//! Faults that tests inject to show that a check finds them.

/// A deliberate fault in the lease protocol. Only tests and the state explorer set one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    /// The holder counts its lease from the grant instead of from the bid.
    CountsFromGrant,
    /// A voter grants at once after it lost its memory.
    NoStartupWait,
    /// Voters count a lease no longer than its holder does.
    NoClockMargin,
    /// Terms are told apart by their number alone.
    EqualTermNumbersGranted,
    /// A release frees the lease whatever its term.
    ReleaseOfAnyTerm,
    /// Commands of older terms are accepted.
    NoFencing,
}

impl InjectedFault {
    /// All faults by their name on the command line.
    pub const ALL: [(&str, Self); 6] = [
        ("counts-from-grant", Self::CountsFromGrant),
        ("no-silence", Self::NoStartupWait),
        ("no-guard", Self::NoClockMargin),
        ("equal-terms-twice", Self::EqualTermNumbersGranted),
        ("release-replayed", Self::ReleaseOfAnyTerm),
        ("no-fence", Self::NoFencing),
    ];
}
