//! Errors of the operator file.

use std::io;
use std::net::SocketAddr;

use pinefront_cluster::InvalidIncarnation;
use pinefront_cluster::datagram::KeyTooShort;
use pinefront_cluster::leases::{MAX_LEASES, MAX_VOTERS};
use pinefront_cluster::messages::MAX_NAME_BYTES;

/// The result of reading a part of the file.
pub type Result<T> = std::result::Result<T, OperatorFileError>;

/// Why an operator file is not accepted.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// Why it cannot be read.
        source: io::Error,
    },
    /// A field has a wrong value.
    #[error("{path}:{line}: {field}: {reason}")]
    Field {
        /// The path of the file.
        path: String,
        /// The line, from 1.
        line: usize,
        /// The field with its table.
        field: String,
        /// What is wrong with it.
        reason: FieldError,
    },
}

/// What is wrong with the value of a field.
#[derive(Debug, thiserror::Error)]
pub enum FieldError {
    #[error("{0}")]
    Syntax(String),
    #[error("'{0}' is no IPv4 address and port")]
    InvalidAddress(String),
    #[error("nobody can send to {0}")]
    UnreachableAddress(SocketAddr),
    #[error("names no address that others can send to: give fleet.advertise")]
    NoReachableAddress,
    #[error("'{}' is no name of 1 to {MAX_NAME_BYTES} letters, digits and signs", .0.escape_debug())]
    InvalidName(String),
    #[error("'{0}' is no span from 5ms to 60s")]
    InvalidDuration(String),
    #[error("must be at most half of fleet.probe_every: there are two tries in it")]
    TimeoutTooLong,
    #[error("names {count} of {max} at most")]
    TooMany { count: usize, max: usize },
    #[error("wants a name and a life, as /fleet shows them")]
    InvalidProcess,
    #[error("'{}' {source}", .text.escape_debug())]
    InvalidIncarnation {
        text: String,
        source: InvalidIncarnation,
    },
    #[error("names {0} twice")]
    DuplicateVoter(String),
    #[error("names {0} members: 1, 3, 5 or {MAX_VOTERS} can have a majority")]
    VoterCount(usize),
    #[error("'{0}' is no span from 200ms to 2s")]
    InvalidLeaseDuration(String),
    #[error("names '{0}' twice, or more than {MAX_LEASES} duties")]
    DuplicateLease(String),
    #[error("names '{0}' twice, or is one of duties.own")]
    DuplicateZone(String),
    #[error("{path}: {source}")]
    UnreadableKey { path: String, source: io::Error },
    #[error("{path}: {source}")]
    ShortKey { path: String, source: KeyTooShort },
}
