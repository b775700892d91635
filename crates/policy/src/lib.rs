//! Load-balancing decisions of a proxy. A [`Balancer`] receives events and acts through a [`Host`];
//! it reads no clock and opens no sockets.
//!
//! `balancer.rs` holds the event handlers in the order in which a request triggers them,
//! `decisions` the decisions that they make, `scoring` the learned selection of an endpoint, and
//! `state` the state of a balancer.

#![cfg_attr(
    test,
    // Test functions may contain long tables of cases.
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
pub use settings::{
    EndpointLocation, Idempotency, IdempotencyScope, RequestClass, Settings, SlowStart,
};
pub use time_margin::start_deadline;

/// A time or a duration in whole microseconds.
pub type Micros = u64;

#[cfg(test)]
mod tests;
