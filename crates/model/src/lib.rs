//! A deterministic model of the environment of a load balancer: servers, clients, discovery,
//! network links and faults, and a checker of the four safety rules.
//!
//! The crate performs no I/O and reads no clock. Callers pass the time in whole microseconds since
//! the start of the scenario, and all random numbers are derived from a seed, so that the same seed
//! produces the same events. The testbed connects the model to processes through loopback sockets.
#![cfg_attr(
    test,
    // Tests that list many cases in one function are easier to read as a single list.
    allow(
        clippy::default_trait_access,
        clippy::needless_for_each,
        clippy::too_many_lines
    )
)]
#![warn(missing_docs)]

pub mod call_queue;
pub mod checker;
pub mod discovery;
pub mod fleet;
pub mod lease_history;
pub mod network;
pub mod process_history;
pub mod random;
pub mod scenario;
pub mod server;
pub mod service;
pub mod timeline;
pub mod traffic;
pub mod validation;

/// A point in time since the scenario started, or a duration, in whole microseconds.
pub type Micros = u64;

/// One second in microseconds.
pub const SECOND: Micros = 1_000_000;
