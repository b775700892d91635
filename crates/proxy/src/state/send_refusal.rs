//! Reasons for which the send guard refuses an attempt.

/// Reason for which an attempt is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendRefusal {
    /// The client has disconnected or has its response.
    ClientDisconnected,
    /// The attempt's deadline has passed.
    DeadlinePassed,
    /// The endpoint is draining or was removed.
    Draining,
    /// The endpoint now has another address.
    AddressChanged,
    /// A list names another endpoint at the address.
    Replaced,
    /// An earlier attempt may have run, and this endpoint may not recognise the repeated request by
    /// its idempotency key.
    OutsideIdempotencyScope,
    /// An earlier attempt may have run, and endpoints no longer recognise a repeated request by its
    /// idempotency key.
    IdempotencyWindowPassed,
    /// An earlier attempt may have run, and the request is not idempotent.
    MayHaveRun,
    /// Another attempt of the request is in flight.
    AttemptInFlight,
}

impl SendRefusal {
    /// Whether the policy's decision was wrong: the passage of time alone cannot cause these
    /// refusals.
    pub fn is_violation(self) -> bool {
        matches!(self, Self::MayHaveRun | Self::AttemptInFlight)
    }

    /// Returns the code that is written to the log.
    pub fn code(self) -> &'static str {
        match self {
            Self::ClientDisconnected => "client_disconnected",
            Self::DeadlinePassed => "deadline_passed",
            Self::Draining => "draining",
            Self::AddressChanged => "address_changed",
            Self::Replaced => "replaced",
            Self::OutsideIdempotencyScope => "outside_idempotency_scope",
            Self::IdempotencyWindowPassed => "idempotency_window_passed",
            Self::MayHaveRun => "may_have_run",
            Self::AttemptInFlight => "attempt_in_flight",
        }
    }
}
