//! What the world does around a balancer: servers, clients, discovery and faults, and the judge of the four rules.
//!
//! Nothing here does I/O or reads a clock: everything is told the time in whole microseconds since the day began,
//! and chance comes from a seed. The same seed gives the same events. On loopback sockets these parts are stand-ins,
//! on a virtual clock they are actors.

pub mod call_queue;
pub mod chance;
pub mod check;
pub mod day;
pub mod discovery;
pub mod faults;
pub mod fleet;
pub mod judge;
pub mod lease_history;
pub mod process_history;
pub mod server;
pub mod service;
pub mod traffic;
pub mod ways;

/// A moment since the day began, or a span, in whole microseconds.
pub type Micros = u64;

/// One second.
pub const SECOND: Micros = 1_000_000;
