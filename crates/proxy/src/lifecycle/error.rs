//! Why a process cannot start, or a reload is not taken.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

use crate::cluster::node::OpenError;
use crate::cluster::operator_file::OperatorFileError;
use crate::config::{ConfigError, LoadError};

/// Why a process cannot start or go on.
#[derive(Debug, Error)]
pub enum StartupError {
    /// The configuration cannot be loaded.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The operator file cannot be used.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
    /// The cluster's socket cannot be opened.
    #[error(transparent)]
    Cluster(#[from] OpenError),
    /// The event loop cannot be made.
    #[error("cannot make the event loop: {0}")]
    EventLoop(io::Error),
    /// Signals cannot be received.
    #[error("cannot watch signals: {0}")]
    Signals(io::Error),
    /// The event loop cannot watch a source.
    #[error("cannot watch {what}: error inserting event source: {source}")]
    Watch {
        /// The source.
        what: &'static str,
        /// Why not.
        source: calloop::Error,
    },
    /// The address for clients cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The address for gossip cannot be bound.
    #[error("cannot hear at {address:?}: {source}")]
    Gossip {
        /// The address.
        address: Option<SocketAddr>,
        /// What the system says.
        source: io::Error,
    },
    /// The event loop failed again and again.
    #[error("the event loop failed: {0}")]
    Loop(calloop::Error),
}

/// Why a reloaded configuration is not taken.
#[derive(Debug, Error)]
pub enum ReloadError {
    /// The configuration cannot be loaded.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The configuration cannot replace the present one.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The new address for gossip cannot be bound.
    #[error("cannot hear other balancers at {address:?}: {source}")]
    Gossip {
        /// The address.
        address: Option<SocketAddr>,
        /// What the system says.
        source: io::Error,
    },
}

impl ReloadError {
    /// Whether another attempt may succeed.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Load(error) if error.is_transient())
    }
}
