//! Faults that tests inject to verify that a check detects them.

/// A deliberate fault in the lease protocol. Only tests and the state explorer set one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    /// The holder counts its lease from the grant instead of from the bid.
    CountsFromGrant,
    /// A voter grants immediately after a restart, in which it lost its earlier grants.
    NoStartupWait,
    /// Voters do not extend the duration of a grant by the clock margin.
    NoClockMargin,
    /// Terms are distinguished by their number alone.
    EqualTermNumbersGranted,
    /// A release of any term frees the lease.
    ReleaseOfAnyTerm,
    /// Commands of older terms are accepted.
    NoFencing,
}

impl InjectedFault {
    /// All faults with their names on the command line.
    pub const ALL: [(&str, Self); 6] = [
        ("counts-from-grant", Self::CountsFromGrant),
        ("no-silence", Self::NoStartupWait),
        ("no-guard", Self::NoClockMargin),
        ("equal-terms-twice", Self::EqualTermNumbersGranted),
        ("release-replayed", Self::ReleaseOfAnyTerm),
        ("no-fence", Self::NoFencing),
    ];
}
