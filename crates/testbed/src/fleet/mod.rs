//! The harness for several real balancers: a relay on each network link between two balancers,
//! checks of their views of one another against the actual state, and faults drawn from a seed.

mod addresses;
pub mod drawn;
pub mod leases;
pub mod relays;
pub mod simulated_members;
mod view_error;
pub mod views;

use serde::Serialize;

pub use addresses::{Addresses, RelaySocket, process_loopback_address};

use crate::fleet::leases::LeaseReport;

/// The report on the cluster of balancers in one scenario: their views of each other, their traffic
/// and their leases.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FleetReport {
    /// Time from the end of the last fault from which all views were correct until the end of the
    /// scenario, in milliseconds; `None` if a view was wrong at the end.
    pub views_agree_after_ms: Option<f64>,
    /// Number of errors in views that list a serving balancer as stopped, or do not count it among
    /// those that may serve.
    #[serde(rename = "wrongly_gone")]
    pub serving_status_errors: u64,
    /// Times from each crash or long pause of a balancer until each other balancer detected it, in
    /// milliseconds.
    #[serde(rename = "detected_ms")]
    pub detection_times_ms: Vec<f64>,
    /// Times from each crash or long pause of a balancer until all other running balancers had
    /// detected it, in milliseconds.
    #[serde(rename = "detected_by_all_ms")]
    pub detection_by_all_times_ms: Vec<f64>,
    /// Number of suspicions that balancers refuted, either wrong ones or ones during a pause.
    #[serde(rename = "refuted")]
    pub refutations: u64,
    /// Number of balancers that were considered dead although they ran and were not paused. Each
    /// balancer counts once per scenario.
    #[serde(rename = "held_gone_while_running")]
    pub considered_dead_while_running: u64,
    /// Number of views that were checked.
    #[serde(rename = "looks")]
    pub checked_views: u64,
    /// Number of datagrams that relays forwarded.
    #[serde(rename = "relayed")]
    pub forwarded_datagrams: u64,
    /// Number of datagrams that relays dropped.
    #[serde(rename = "relay_lost")]
    pub dropped_datagrams: u64,
    /// Number of datagrams that were sent from outside the fleet.
    #[serde(rename = "flooded")]
    pub flood_datagrams: u64,
    /// Number of requests that all balancers sent to discovery.
    #[serde(rename = "discovery_calls")]
    pub discovery_requests: u64,
    /// Requests to discovery per second of the scenario.
    #[serde(rename = "discovery_calls_a_second")]
    pub discovery_requests_per_second: f64,
    /// Descriptions of the errors in the views.
    #[serde(rename = "why")]
    pub details: Vec<String>,
    /// The report on leases, if the scenario has leases.
    #[serde(rename = "duties")]
    pub leases: Option<LeaseReport>,
}
