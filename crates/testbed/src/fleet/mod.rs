//! The harness for several real balancers: a relay on each network link between two of them, checks
//! of their views of one another against the truth, and faults drawn from a seed.

mod addresses;
pub mod drawn;
pub mod leases;
pub mod relays;
pub mod simulated_members;
pub mod views;

use serde::Serialize;

pub use addresses::{Addresses, RelaySocket, own_address};

use crate::fleet::leases::LeaseReport;

/// What was found of the balancers' knowledge of each other.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Known {
    /// From the last fault's end until all views were right and stayed so; nothing where they never
    /// were.
    pub views_agree_after_ms: Option<f64>,
    /// Times that a balancer that served was claimed to have stopped, or not counted among those
    /// that may serve.
    pub wrongly_gone: u64,
    /// From each death or long pause to each other balancer's noticing it.
    pub detected_ms: Vec<f64>,
    /// From each death or long pause until all others that ran had noticed it.
    pub detected_by_all_ms: Vec<f64>,
    /// Times that a balancer refuted a suspicion, wrong or after a pause.
    #[serde(rename = "refuted")]
    pub refutations: u64,
    /// Balancers that ran, were not paused and were held for dead all the same, each once.
    pub held_gone_while_running: u64,
    /// Views that were checked.
    pub looks: u64,
    /// Datagrams that relays passed on.
    pub relayed: u64,
    /// Datagrams that relays lost.
    pub relay_lost: u64,
    /// Datagrams that were sent from outside the fleet.
    pub flooded: u64,
    /// Polls of discovery by all balancers.
    pub discovery_calls: u64,
    /// The same, per second of the scenario.
    pub discovery_calls_a_second: f64,
    /// Descriptions of what was wrong.
    #[serde(rename = "why")]
    pub details: Vec<String>,
    /// The leases, where the scenario has any.
    #[serde(rename = "duties")]
    pub leases: Option<LeaseReport>,
}
