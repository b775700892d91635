//! Errors of startup and reload.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

use crate::cluster::node::OpenError;
use crate::cluster::operator_file::OperatorFileError;
use crate::config::{ConfigError, LoadError};

/// The reason why the process cannot start or continue.
#[derive(Debug, Error)]
pub enum StartupError {
    /// The configuration cannot be loaded.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The operator file is invalid or unreadable.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
    /// The socket of the cluster cannot be opened.
    #[error(transparent)]
    Cluster(#[from] OpenError),
    /// The event loop cannot be created.
    #[error("cannot create the event loop: {0}")]
    EventLoop(io::Error),
    /// The signal handler cannot be created.
    #[error("cannot create the signal handler: {0}")]
    Signals(io::Error),
    /// An event source cannot be registered with the event loop.
    #[error("cannot register {name} with the event loop: {source}")]
    Register {
        /// Name of the event source.
        name: &'static str,
        /// The error of the event loop.
        source: calloop::Error,
    },
    /// The address for client connections cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address that cannot be bound.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The address for gossip cannot be bound.
    #[error("cannot bind the gossip socket to {address:?}: {source}")]
    Gossip {
        /// Address that cannot be bound.
        address: Option<SocketAddr>,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The event loop failed repeatedly.
    #[error("event loop failed repeatedly: {0}")]
    Loop(calloop::Error),
}

/// The reason why a reloaded configuration is rejected.
#[derive(Debug, Error)]
pub enum ReloadError {
    /// The configuration cannot be loaded.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The configuration cannot replace the current one.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The new address for gossip cannot be bound.
    #[error("cannot bind the gossip socket to the new address {address:?}: {source}")]
    Gossip {
        /// Address that cannot be bound.
        address: Option<SocketAddr>,
        /// The error of the operating system.
        source: io::Error,
    },
}

impl ReloadError {
    /// Whether another attempt may succeed.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Load(error) if error.is_transient())
    }
}
