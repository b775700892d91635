//! Membership, leases and the shared endpoint list of a fleet of load balancers.
//!
//! [`Cluster`] is the state of one member. It does no I/O, reads no clock and starts no thread: its
//! caller passes in datagrams and the current time, and takes datagrams to send, events and the
//! time of the next timer. The same inputs and seed produce the same datagrams, byte for byte.
//!
//! - [`membership`] tracks which members are alive, and which processes may still serve although
//!   they are unresponsive.
//! - [`leases`] grants work that must be done once in a fleet to one member at a time.
//! - [`shared_list`] distributes the endpoint list from the member that polls discovery to the
//!   other members of its zone.
//! - [`datagram`] encodes, authenticates and decodes datagrams; [`messages`] defines their
//!   contents.

#![cfg_attr(
    test,
    // A test that consists of a list of cases is easier to read in one function.
    allow(
        clippy::default_trait_access,
        clippy::needless_for_each,
        clippy::too_many_lines
    )
)]
#![warn(missing_docs)]

mod cluster;
mod config;
pub mod datagram;
mod fault_injection;
mod incarnation;
pub mod leases;
pub mod membership;
pub mod messages;
pub mod shared_list;
mod timers;

pub use cluster::{Cluster, OutgoingDatagram, TrafficCounters};
pub use config::MemberConfig;
pub use fault_injection::InjectedFault;
pub use incarnation::{Incarnation, InvalidIncarnation};

/// A point in time or a duration in whole microseconds, by a monotonic clock that advances while
/// the process is stopped, too.
pub type Micros = u64;
