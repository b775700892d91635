//! Faults that tests inject to show that a check finds them.

/// A deliberate fault in the membership protocol. Without the feature `planted` none is ever set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A member does not refute suspicions of itself.
    NoRefutation,
    /// A refutation decreases the refutation counter.
    RefutationCounterDecreases,
    /// A process that is dead to the others counts as stopped.
    UnresponsiveCountsAsStopped,
    /// Replayed datagrams are accepted.
    AcceptsReplays,
    /// A member is suspected without asking others to probe it.
    SuspectsWithoutProbeRequests,
    /// A member leaves without telling the others.
    LeavesUnannounced,
    /// A record with an old refutation counter is accepted.
    AcceptsOldRecords,
    /// A process does not notice that it was paused.
    PauseUnnoticed,
}

impl InjectedFault {
    /// All faults by their name on the command line.
    pub const ALL: [(&str, Self); 8] = [
        ("no-refutation", Self::NoRefutation),
        ("incarnation-goes-back", Self::RefutationCounterDecreases),
        ("silent-counts-as-gone", Self::UnresponsiveCountsAsStopped),
        ("takes-replays", Self::AcceptsReplays),
        ("doubts-without-asking", Self::SuspectsWithoutProbeRequests),
        ("leaves-untold", Self::LeavesUnannounced),
        ("keeps-old-incarnation", Self::AcceptsOldRecords),
        ("sleep-unnoticed", Self::PauseUnnoticed),
    ];
}
