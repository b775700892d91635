//! Errors in configuration files.

use std::io;

use pinefront_settings::SettingsError;
use pinefront_settings::fields::FieldError;
use serde_json::Value;
use thiserror::Error;

use crate::lifecycle::retry::is_transient;

/// The reason why a configuration is invalid. The message names the field.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A field is missing or has the wrong type.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The settings are invalid.
    #[error("in 'settings': {0}")]
    Settings(#[from] SettingsError),
    /// The process may open too few file descriptors.
    #[error("field 'limits.sockets' or the open file limit is {sockets}: expected at least {min}")]
    TooFewSockets {
        /// Number of file descriptors that the process may open.
        sockets: u64,
        /// Minimum number that it needs.
        min: u64,
    },
    /// A list of strings contains a value of another type.
    #[error("field '{0}' contains a value that is not a string")]
    NotString(&'static str),
    /// Endpoints report their load only to probes, which the settings do not allow.
    #[error(
        "in 'settings': field 'report.source' is 'on_probe': requires 'caps.probes' to be true"
    )]
    ProbesNotAllowed,
    /// The index of this balancer's zone is out of range.
    #[error(
        "in 'settings': field 'zone' is {zone}: expected less than {zones}, the length of 'dcs'"
    )]
    UnknownZone {
        /// The index of the zone.
        zone: u64,
        /// Number of zones.
        zones: usize,
    },
    /// The seed is invalid.
    #[error("invalid seed '{0}' in field 'seed': expected a hexadecimal number of at most 64 bits")]
    Seed(String),
    /// The address of the listener or of discovery is invalid.
    #[error("invalid socket address '{value}' in field '{field}': expected IP:PORT")]
    Address {
        /// Name of the field.
        field: &'static str,
        /// Value of the field or of its variable.
        value: String,
    },
    /// Endpoints report their load only to probes, and the path of probes is missing.
    #[error("field 'probe_path' is missing: required as 'settings.report.source' is 'on_probe'")]
    NoProbePath,
    /// The path of probes is invalid.
    #[error("invalid path '{0}' in field 'probe_path': expected '/' followed by visible ASCII")]
    ProbePath(String),
    /// The settings allow gossip, and the addresses of the balancers are missing.
    #[error("field 'peers' is missing: required as 'settings.caps.peers' is true")]
    NoPeers,
    /// Two balancers have the same gossip address.
    #[error("field 'peers' contains an address more than once")]
    DuplicatePeer,
    /// The number of gossip addresses differs from the number of balancers.
    #[error("length of field 'peers' is {addresses}: expected {balancers} ('settings.fleetSize')")]
    PeerCount {
        /// Number of gossip addresses.
        addresses: usize,
        /// Number of balancers.
        balancers: usize,
    },
    /// The gossip address of a balancer is invalid.
    #[error("invalid socket address {0} in field 'peers': expected IP:PORT")]
    PeerAddress(Value),
    /// A reload would switch between polled and pushed lists.
    #[error("in 'settings': field 'registryMode' cannot change without a restart")]
    PollingModeChanged,
    /// Reloads have defined too many request classes.
    #[error("in 'settings': more than {0} classes in 'useCases' since the start: restart required")]
    TooManyClasses(usize),
}

/// The reason why a configuration file cannot be loaded.
#[derive(Debug, Error)]
pub enum LoadError {
    /// Neither the command line nor the environment names a file.
    #[error("no configuration file given: use --config or set BALANCER_CONFIG")]
    NoFile,
    /// The file cannot be read.
    #[error("cannot read configuration file {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The error of the system.
        source: io::Error,
    },
    /// The file is not valid JSON.
    #[error("configuration file {path} is not valid JSON: {source}")]
    NotJson {
        /// Path of the file.
        path: String,
        /// The syntax error.
        source: serde_json::Error,
    },
    /// The configuration in the file is invalid.
    #[error("in {path}: {source}")]
    Invalid {
        /// Path of the file.
        path: String,
        /// The error in the configuration.
        source: ConfigError,
    },
}

impl LoadError {
    /// Whether another attempt may succeed.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Unreadable { source, .. } if is_transient(source))
    }
}
