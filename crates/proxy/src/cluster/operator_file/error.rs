//! Errors of the operator file.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use pinefront_cluster::InvalidIncarnation;
use pinefront_cluster::datagram::KeyTooShort;
use pinefront_cluster::leases::{MAX_LEASES, MAX_VOTERS};
use pinefront_cluster::messages::MAX_NAME_BYTES;

/// The result of reading a part of the file.
pub type Result<T> = std::result::Result<T, OperatorFileError>;

/// The reason why an operator file is rejected.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileError {
    /// The file cannot be read.
    #[error("cannot read operator file {path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A field has an invalid value.
    #[error("{path}:{line}: {field}: {reason}")]
    Field {
        /// The path of the file.
        path: String,
        /// The line number, counted from 1.
        line: usize,
        /// The field with the name of its table.
        field: String,
        /// The reason why the value is rejected.
        reason: FieldError,
    },
}

/// The reason why the value of a field is rejected.
#[derive(Debug, thiserror::Error)]
pub enum FieldError {
    #[error("{0}")]
    Syntax(String),
    #[error("invalid socket address '{0}': expected IPV4:PORT")]
    InvalidAddress(String),
    #[error("unreachable address {0}: expected a specific IP address and a port other than 0")]
    UnreachableAddress(SocketAddr),
    #[error(
        "address {0} is unreachable for other members: expected a specific IP address and a port \
         other than 0, or fleet.advertise"
    )]
    NoReachableAddress(SocketAddr),
    #[error(
        "invalid name '{}': expected 1 to {MAX_NAME_BYTES} visible ASCII characters without \
         double quotes",
        .0.escape_debug()
    )]
    InvalidName(String),
    #[error("invalid duration '{0}': expected 5ms to 60s")]
    InvalidDuration(String),
    #[error(
        "{} is too long: expected at most half of fleet.probe_every ({}), so that a probe and its \
         retry fit into it",
        humantime::format_duration(*.timeout),
        humantime::format_duration(*.interval)
    )]
    TimeoutTooLong {
        timeout: Duration,
        interval: Duration,
    },
    #[error("{count} entries: expected at most {max}")]
    TooMany { count: usize, max: usize },
    #[error(
        "invalid process '{}': expected a name and a life, as shown by /fleet",
        .0.escape_debug()
    )]
    InvalidProcess(String),
    #[error("invalid life '{}': {source}", .text.escape_debug())]
    InvalidIncarnation {
        text: String,
        source: InvalidIncarnation,
    },
    #[error("duplicate voter '{0}'")]
    DuplicateVoter(String),
    #[error("{0} voters: expected 1, 3, 5 or {MAX_VOTERS}, so that there is a majority")]
    VoterCount(usize),
    #[error("invalid duration '{0}': expected 200ms to 2s")]
    InvalidLeaseDuration(String),
    #[error("duplicate duty '{0}', or more than {MAX_LEASES} duties")]
    DuplicateLease(String),
    #[error("duplicate zone '{0}', or its duty is one of duties.own")]
    DuplicateZone(String),
    #[error("cannot read key file {path}: {source}")]
    UnreadableKey { path: String, source: io::Error },
    #[error("invalid key file {path}: {source}")]
    ShortKey { path: String, source: KeyTooShort },
}
