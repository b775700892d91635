//! Statistics over all endpoints and all requests of this balancer.

use crate::state::decaying::{DecayingAverage, DecayingSum};

/// Fleet-wide statistics.
#[derive(Default)]
pub(crate) struct FleetStatistics {
    pub(crate) latency: DecayingAverage,
    /// Ratio of latency to the latency that counts as late; a rejection counts as very late.
    pub(crate) pressure: DecayingAverage,
    /// Latency in microseconds per request in flight at an endpoint of weight 1, including the
    /// measured request.
    pub(crate) latency_per_request: DecayingAverage,
    pub(crate) succeeded: DecayingSum,
    pub(crate) arrivals: DecayingSum,
    /// Work served by endpoints that are not in slow start.
    pub(crate) served_work: DecayingSum,
}
