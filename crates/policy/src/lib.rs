//! Load-balancing decisions of a proxy. A [`Balancer`] receives events and acts through a [`Host`]; it reads no
//! clock and opens no sockets. `balancer.rs` holds the events in the order in which a request meets them.

mod arithmetic;
mod attempt_outcome;
mod decaying;
mod decide;
mod endpoint_list;
mod estimates;
mod gossip;
mod host;
mod key_order;
mod known;
mod load_ledger;
mod outliers;
mod settings;
mod time_margin;

pub use attempt_outcome::AttemptOutcome;
pub use host::Host;
pub use known::Balancer;
pub use settings::{Idempotency, IdempotencyScope, RequestClass, Settings, SlowStart};
pub use time_margin::begin_before;

/// A time or a duration in whole microseconds.
pub type Micros = u64;
