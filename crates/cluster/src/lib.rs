//! Membership, leases and the shared endpoint list of a fleet of load balancers.
//!
//! [`Cluster`] is the state of one member. It does no I/O, reads no clock and starts no thread: it
//! is given datagrams, times and the expiry of timers, and returns datagrams to send, events and
//! the time of its next timer. The same inputs and seed give the same datagrams to the byte.
//!
//! - [`membership`] tells which members are alive, and which processes may still serve although
//!   they are unresponsive.
//! - [`leases`] grants work that must be done once in a fleet to one member at a time.
//! - [`shared_list`] passes the endpoint list from the member that polls discovery to the others of
//!   its zone.
//! - [`datagram`] seals and opens what is sent; [`messages`] are its contents.

#![cfg_attr(
    test,
    // A test that lists its cases in a row reads better whole.
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

/// A time or span in whole microseconds, of a clock that never goes back and runs on while the
/// process is stopped.
pub type Micros = u64;
