//! Load-balancing decisions of a proxy. A [`Balancer`] receives events and acts through a [`Host`];
//! it reads no clock and opens no sockets.
//!
//! `balancer.rs` holds the events in the order in which a request meets them, `decisions` what they
//! decide, `scoring` the learned choice of an endpoint, and `state` what a balancer remembers.

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

mod attempt_outcome;
mod balancer;
mod decisions;
mod gossip_message;
mod hashing;
mod host;
mod scoring;
mod settings;
mod state;
mod time_margin;

pub use attempt_outcome::AttemptOutcome;
pub use balancer::{AttemptEnd, Balancer, LoadReport, RequestArrival};
pub use decisions::endpoint_list::ListedEndpoint;
pub use host::Host;
pub use settings::{Idempotency, IdempotencyScope, RequestClass, Settings, SlowStart};
pub use time_margin::start_deadline;

/// A time or a duration in whole microseconds.
pub type Micros = u64;

#[cfg(test)]
mod tests;
