//! Outcomes of attempts.

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint served the request.
    Succeeded,
    /// The endpoint answered with an error.
    Failed,
    /// No response arrived in time.
    TimedOut,
    /// The connection was lost during the attempt.
    ConnectionLost,
    /// The balancer cancelled the attempt.
    Cancelled,
    /// The endpoint rejected the request before running it.
    Rejected,
    /// No connection could be opened, so the request did not run.
    Unreachable,
    /// The balancer did not send the request.
    NotSent,
}

impl AttemptOutcome {
    /// Returns whether the outcome proves that the request did not run at the endpoint.
    #[must_use]
    pub fn proves_not_run(self) -> bool {
        matches!(self, Self::Rejected | Self::Unreachable | Self::NotSent)
    }
}
