//! Why a configuration cannot be used.

use std::io;

use pinefront_settings::SettingsError;
use pinefront_settings::fields::FieldError;
use serde_json::Value;
use thiserror::Error;

use crate::lifecycle::retry::is_transient;

/// Why a configuration cannot be used; the text names the field.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A field is missing or has the wrong type.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The settings cannot be decoded.
    #[error("in 'settings': {0}")]
    Settings(#[from] SettingsError),
    /// The descriptors do not suffice to serve.
    #[error("field 'sockets' is {sockets}, and {least} are the fewest to serve with")]
    TooFewSockets {
        /// Descriptors that the process may open.
        sockets: u64,
        /// The fewest that it needs.
        least: u64,
    },
    /// A list of names holds something else.
    #[error("field '{0}' holds what is no text")]
    NotText(&'static str),
    /// Endpoints report their load to probes only, and the settings forbid probes.
    #[error("in 'settings': 'report.source' is 'on_probe', and 'caps.probes' is not allowed")]
    ProbesNotAllowed,
    /// This balancer's zone is not among the zones.
    #[error("in 'settings': field 'zone' is {zone} of {zones}")]
    UnknownZone {
        /// The index of the zone.
        zone: u64,
        /// How many zones there are.
        zones: usize,
    },
    /// The seed cannot be read.
    #[error("field 'seed' is no hexadecimal number")]
    Seed,
    /// An address cannot be read.
    #[error("field '{field}' is '{value}', no address and port")]
    Address {
        /// The field.
        field: &'static str,
        /// What it holds.
        value: String,
    },
    /// Endpoints report their load to probes only, and no path for these is given.
    #[error("field 'probe_path' is missing, and loads are told to probes only")]
    NoProbePath,
    /// The path of probes is none.
    #[error("field 'probe_path' is '{0}', no path")]
    ProbePath(String),
    /// Gossip is allowed, and no addresses are given.
    #[error("field 'peers' is missing, and balancers may send messages")]
    NoPeers,
    /// Two peers have one address.
    #[error("field 'peers' names an address twice")]
    DuplicatePeer,
    /// The addresses are not those of all balancers.
    #[error("field 'peers' names {named} balancers of {balancers}")]
    PeerCount {
        /// How many addresses are given.
        named: usize,
        /// How many balancers there are.
        balancers: usize,
    },
    /// The address of a peer cannot be read.
    #[error("field 'peers' holds {0}, no address and port")]
    PeerAddress(Value),
    /// A reload would switch between polled and pushed lists.
    #[error("in 'settings': field 'registryMode' can't change while serving")]
    PollingModeChanged,
    /// Reloads have named too many classes.
    #[error("in 'settings': more than {0} use cases since the start; restart instead")]
    TooManyClasses(usize),
}

/// Why a configuration file cannot be used.
#[derive(Debug, Error)]
pub enum LoadError {
    /// Neither the command line nor the environment names a file.
    #[error("no file named: give --config or set BALANCER_CONFIG")]
    NoFile,
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// The file is not JSON.
    #[error("{path} is not JSON: {source}")]
    NotJson {
        /// The file.
        path: String,
        /// Where it is not.
        source: serde_json::Error,
    },
    /// The configuration in the file cannot be used.
    #[error("in {path}: {source}")]
    Invalid {
        /// The file.
        path: String,
        /// Why.
        source: ConfigError,
    },
}

impl LoadError {
    /// Whether another attempt may succeed.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Unreadable { source, .. } if is_transient(source))
    }
}
