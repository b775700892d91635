//! Leases: work that must be done once in a fleet. Each lease is held by at most one member at
//! every instant, granted by a majority of named voters (as in Gray and Cheriton's leases, 1989,
//! made safe without a disk as in `PaxosLease`, Trencseni, Gazso, Reinhardt, 2012).
//!
//! Why two members never hold one lease: a holder needs grants of its term from a majority, and
//! counts the lease from before it sent its bid. A voter grants another term only when the grant
//! has expired by its own clock, for which it counts longer by [`MAX_CLOCK_RATE_DIFFERENCE`]. Two
//! majorities share a voter, which granted the second term after the first lease had expired by its
//! holder's clock. A voter that lost its memory grants nothing for the longest lease.

pub mod assignment;
mod config;
mod events;
mod fault_injection;
pub mod fencing;
mod manager;
pub mod messages;
pub mod state;
pub mod term;
mod tracked;
pub mod voter;

pub use config::{
    DEFAULT_LEASE_DURATION_US, Lease, LeaseConfig, MAX_CLOCK_RATE_DIFFERENCE,
    MAX_LEASE_DURATION_US, MAX_LEASES, MAX_VOTERS, MIN_LEASE_DURATION_US, with_clock_margin,
};
pub use events::{LeaseEvent, LossReason};
pub use fault_injection::InjectedFault;
pub use manager::{AddressedMessage, HeldLeaseView, LeaseManager};

#[cfg(test)]
mod tests;
