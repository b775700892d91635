//! Gossip messages between balancers, encoded as short lines of text. A message identifies an
//! endpoint by the leading bits of its hash, which is the same at all balancers. Messages may be
//! lost, late or corrupted; a malformed message is ignored.

use crate::{AttemptOutcome, Micros};

/// Outcome of an attempt as it counts in the failure rate of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerOutcome {
    Neutral,
    Succeeded,
    Failed,
}

impl PeerOutcome {
    const SUCCEEDED_CODE: u64 = 1;
    const FAILED_CODE: u64 = 2;

    pub(crate) fn of(outcome: AttemptOutcome) -> Self {
        match outcome {
            AttemptOutcome::Succeeded => Self::Succeeded,
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent | AttemptOutcome::Rejected => {
                Self::Neutral
            }
            AttemptOutcome::Failed
            | AttemptOutcome::TimedOut
            | AttemptOutcome::ConnectionLost
            | AttemptOutcome::Unreachable => Self::Failed,
        }
    }

    fn from_code(code: u64) -> Self {
        match code {
            Self::SUCCEEDED_CODE => Self::Succeeded,
            Self::FAILED_CODE => Self::Failed,
            _ => Self::Neutral,
        }
    }

    fn code(self) -> u64 {
        match self {
            Self::Neutral => 0,
            Self::Succeeded => Self::SUCCEEDED_CODE,
            Self::Failed => Self::FAILED_CODE,
        }
    }
}

/// A gossip message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GossipMessage {
    /// The sender started an attempt at the endpoint.
    AttemptStarted { endpoint: u64 },
    /// An attempt of the sender ended.
    AttemptEnded {
        endpoint: u64,
        class: usize,
        outcome: PeerOutcome,
    },
    /// Requests the endpoint's load according to the receiver's ledger.
    LoadRequest { endpoint: u64 },
    /// Load of the endpoint according to the sender's ledger, and the percentage of attempts that
    /// failed.
    LoadReport {
        endpoint: u64,
        in_flight: u64,
        failure_percent: u64,
    },
    /// The network drops connections that were idle for this time in microseconds.
    IdleDrops { idle_for: Micros },
}

impl GossipMessage {
    /// Parses a message; returns `None` if it is malformed.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split(' ');
        let kind = parts.next()?;
        let mut number = || u64::from_str_radix(parts.next()?, 16).ok();
        Some(match (kind, number()?, number(), number()) {
            ("+", endpoint, ..) => Self::AttemptStarted { endpoint },
            ("-", endpoint, Some(class), Some(code)) => Self::AttemptEnded {
                endpoint,
                class: usize::try_from(class).ok()?,
                outcome: PeerOutcome::from_code(code),
            },
            ("?", endpoint, ..) => Self::LoadRequest { endpoint },
            ("=", endpoint, Some(in_flight), failure_percent) => Self::LoadReport {
                endpoint,
                in_flight,
                failure_percent: failure_percent.unwrap_or(0),
            },
            ("~", idle_for, ..) => Self::IdleDrops { idle_for },
            _ => return None,
        })
    }

    /// Returns the message as text.
    pub(crate) fn to_text(self) -> String {
        match self {
            Self::AttemptStarted { endpoint } => format!("+ {endpoint:x}"),
            Self::AttemptEnded {
                endpoint,
                class,
                outcome,
            } => format!("- {endpoint:x} {class:x} {}", outcome.code()),
            Self::LoadRequest { endpoint } => format!("? {endpoint:x}"),
            Self::LoadReport {
                endpoint,
                in_flight,
                failure_percent,
            } => format!("= {endpoint:x} {in_flight:x} {failure_percent:x}"),
            Self::IdleDrops { idle_for } => format!("~ {idle_for:x}"),
        }
    }

    /// Returns the gossip ID of the endpoint that the message refers to.
    pub(crate) fn endpoint(self) -> Option<u64> {
        match self {
            Self::AttemptStarted { endpoint }
            | Self::AttemptEnded { endpoint, .. }
            | Self::LoadRequest { endpoint }
            | Self::LoadReport { endpoint, .. } => Some(endpoint),
            Self::IdleDrops { .. } => None,
        }
    }
}
