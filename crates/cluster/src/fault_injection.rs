//! Faults that tests inject to verify that a check detects them.

/// A deliberate fault in the membership protocol. A fault can be set only with the feature
/// `planted`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A member does not refute suspicions of itself.
    NoRefutation,
    /// A refutation decreases the refutation counter.
    RefutationCounterDecreases,
    /// A process that other members consider dead is counted as stopped.
    UnresponsiveCountsAsStopped,
    /// Replayed datagrams are accepted.
    AcceptsReplays,
    /// A member is suspected without a request to other members to probe it.
    SuspectsWithoutProbeRequests,
    /// A member leaves without an announcement to other members.
    LeavesUnannounced,
    /// A record with an old refutation counter is accepted.
    AcceptsOldRecords,
    /// A process does not detect that it was paused.
    PauseUndetected,
}

impl InjectedFault {
    /// All faults with their names on the command line.
    pub const ALL: [(&str, Self); 8] = [
        ("no-refutation", Self::NoRefutation),
        ("incarnation-goes-back", Self::RefutationCounterDecreases),
        ("silent-counts-as-gone", Self::UnresponsiveCountsAsStopped),
        ("takes-replays", Self::AcceptsReplays),
        ("doubts-without-asking", Self::SuspectsWithoutProbeRequests),
        ("leaves-untold", Self::LeavesUnannounced),
        ("keeps-old-incarnation", Self::AcceptsOldRecords),
        ("sleep-unnoticed", Self::PauseUndetected),
    ];
}
