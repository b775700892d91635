//! Leases for work that must be done by one member of a fleet at a time. At every instant at most
//! one member holds a lease. A lease is granted by a majority of configured voters (as in Gray and
//! Cheriton, 1989), and is safe without storage on disk (as in `PaxosLease`, Trencseni, Gazso,
//! Reinhardt, 2012).
//!
//! Why two members never hold the same lease: a holder needs grants of its term from a majority of
//! voters, and counts the lease duration from before it sent its bid. A voter grants another term
//! only when the previous grant was released or has expired by the voter's own clock, on which the
//! grant lasts longer by [`MAX_CLOCK_RATE_DIFFERENCE`]. Two majorities share a voter, and this
//! voter granted the second term after the first lease had ended by its holder's clock. A voter
//! that has lost its grants in a restart grants nothing for the longest lease duration.

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
