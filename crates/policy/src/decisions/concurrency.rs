//! Concurrency limits: the number of requests that this balancer may have in flight at an endpoint,
//! and in its whole subset.
//!
//! Invariant: an attempt in flight for longer than [`Balancer::unresponsive_after`] counts as lost
//! and takes up no capacity. Its endpoint receives one request at a time, which tests whether it
//! responds again.

use crate::balancer::Balancer;
use crate::state::decaying::RECENT_HORIZON_US;
use crate::state::endpoint::Endpoint;
use crate::{Host, Micros};

/// Time without a response after which an endpoint is unresponsive, as a multiple of the expected
/// latency. Variation of the work among requests explains less.
const UNRESPONSIVE_LATENCY_MULTIPLE: f64 = 4.0;
/// Ratio of the concurrency limit to the concurrency that the served rate requires at the minimum
/// latency.
pub(crate) const CONCURRENCY_LIMIT_FACTOR: f64 = 1.5;
/// Minimum number of requests that all balancers together may have in flight at an endpoint.
const MIN_LIMIT_PER_ENDPOINT: f64 = 2.0;
/// Minimum number of requests that this balancer may have in flight.
const MIN_SUBSET_LIMIT: f64 = 2.0;
/// Number of standard deviations by which requests in flight may exceed the subset's limit at full
/// headroom, to allow for random variation while latencies are low. One standard deviation is the
/// square root of the limit. In addition, one standard deviation divided by the square root of the
/// number of balancers is allowed at any headroom.
const VARIATION_STANDARD_DEVIATIONS: f64 = 6.0;
/// Fraction of a request by which a limit must exceed the requests in flight to allow one more.
/// With one half, a limit of one request could never grow.
const LIMIT_ROUND_UP_FRACTION: f64 = 0.4;

impl<H: Host> Balancer<H> {
    /// Returns the time in microseconds without any response after which an endpoint is
    /// unresponsive. It is that of the slowest class, because attempts in flight may be of any
    /// class.
    pub(crate) fn unresponsive_after(&self) -> f64 {
        let classes = &self.settings.classes;
        let configured =
            (0..self.class_latency.len()).filter(|&class| classes[class].priority_weight > 0.0);
        let expected = configured.map(|class| self.expected_latency(class));
        UNRESPONSIVE_LATENCY_MULTIPLE * expected.fold(0.0, f64::max)
    }

    /// Returns the time before which an attempt must have been sent to count as lost; lost attempts
    /// take up no capacity.
    pub(crate) fn lost_before(&self, now: Micros) -> Micros {
        now.saturating_sub(self.unresponsive_after() as Micros)
    }

    /// Returns the number of requests that this balancer may have in flight at an endpoint: the
    /// concurrency that its served rate requires, times the ratio of the minimum to the current
    /// latency, times `CONCURRENCY_LIMIT_FACTOR`.
    pub(crate) fn concurrency_limit(&self, now: Micros, index: usize) -> f64 {
        let endpoint = &self.endpoints[index];
        let concurrency = endpoint.busy_time.read(now, RECENT_HORIZON_US) / self.recent_span(now);
        let latencies = endpoint.min_latency.zip(endpoint.latency(now));
        let ratio = latencies.map_or(1.0, |(minimum, current)| (minimum / current).min(1.0));
        let least = MIN_LIMIT_PER_ENDPOINT / self.subset_size().sharing_balancers;
        least.max(CONCURRENCY_LIMIT_FACTOR * concurrency * ratio)
    }

    /// Returns whether an endpoint may receive another request now.
    pub(crate) fn has_capacity(&self, now: Micros, index: usize) -> bool {
        let endpoint = &self.endpoints[index];
        let in_flight = endpoint.in_flight_since(self.lost_before(now)).attempts;
        endpoint.backoff_until <= now
            && (self.settings.polls_loads()
                || in_flight == 0.0
                || in_flight + LIMIT_ROUND_UP_FRACTION < self.concurrency_limit(now, index))
    }

    /// Returns whether this balancer may have another request in flight. Its requests in flight at
    /// all responsive endpoints are compared with the sum of the limits of the first responsive
    /// endpoints in the preference order, as many as the subset has; each limit alone may be less
    /// than one request. To allow for random variation, the sum may be exceeded by some standard
    /// deviations (see `VARIATION_STANDARD_DEVIATIONS`): more with more headroom, and fewer in a
    /// larger fleet. `MIN_SUBSET_LIMIT` requests are always allowed.
    pub(crate) fn subset_has_capacity(&self, now: Micros) -> bool {
        let lost_before = self.lost_before(now);
        let order = self.subset.current_order(now);
        let responsive = || {
            let responds =
                |index: &&usize| !self.endpoints[**index].unanswered_since_before(lost_before);
            order.iter().filter(responds)
        };
        let in_flight = |endpoint: &Endpoint| endpoint.in_flight_since(lost_before).attempts;
        let total: f64 = responsive()
            .map(|&index| in_flight(&self.endpoints[index]))
            .sum();
        let limit: f64 = responsive()
            .take(self.subset_size().endpoints)
            .map(|&index| self.concurrency_limit(now, index))
            .sum();
        let deviations = VARIATION_STANDARD_DEVIATIONS * self.admission.headroom.max(0.0)
            + (1.0 / self.settings.balancers as f64).sqrt();
        total < MIN_SUBSET_LIMIT.max(limit + deviations * limit.sqrt())
    }
}
