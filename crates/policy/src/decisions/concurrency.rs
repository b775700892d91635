//! Concurrency limits: how many requests this balancer may have in flight at an endpoint, and at
//! its whole subset.
//!
//! Invariant: an attempt in flight for longer than [`Balancer::unresponsive_after`] is lost and
//! takes up no capacity; its endpoint gets one request at a time, which shows whether it responds
//! again.

use crate::balancer::Balancer;
use crate::state::decaying::RECENT_US;
use crate::state::endpoint::Endpoint;
use crate::{Host, Micros};

/// Expected latencies without any response after which an endpoint is unresponsive: beyond the
/// spread of work.
const UNRESPONSIVE_LATENCY_MULTIPLE: f64 = 4.0;
/// In-flight work allowed, relative to what the served rate needs at the shortest latency.
pub(crate) const LIMIT_FACTOR: f64 = 1.5;
/// Requests that all balancers together may always have in flight at an endpoint.
const MIN_LIMIT_PER_ENDPOINT: f64 = 2.0;
/// Requests that this balancer may always have in flight.
const MIN_SUBSET_LIMIT: f64 = 2.0;
/// Roots of the subset's limit that random variation may take beyond it while latencies are low.
const VARIATION_STANDARD_DEVIATIONS: f64 = 6.0;
/// From this part on a limit allows one request more; at a half, a limit of one could never grow.
const LIMIT_ROUND_UP_FRACTION: f64 = 0.4;

impl<H: Host> Balancer<H> {
    /// Time in microseconds without any response after which an endpoint is unresponsive. Attempts
    /// in flight may be of the slowest class.
    pub(crate) fn unresponsive_after(&self) -> f64 {
        let classes = &self.settings.classes;
        let configured =
            (0..self.class_latency.len()).filter(|&class| classes[class].priority_weight > 0.0);
        let expected = configured.map(|class| self.expected_latency(class));
        UNRESPONSIVE_LATENCY_MULTIPLE * expected.fold(0.0, f64::max)
    }

    /// Attempts sent before this time are lost: they take up no capacity.
    pub(crate) fn lost_before(&self, now: Micros) -> Micros {
        now.saturating_sub(self.unresponsive_after() as Micros)
    }

    /// Requests that this balancer may have in flight at an endpoint: what its served rate needs,
    /// times shortest over present latency.
    pub(crate) fn concurrency_limit(&self, now: Micros, index: usize) -> f64 {
        let endpoint = &self.endpoints[index];
        let concurrency = endpoint.busy_time.read(now, RECENT_US) / self.recent_span(now);
        let latencies = endpoint.min_latency.zip(endpoint.latency(now));
        let ratio = latencies.map_or(1.0, |(minimum, present)| (minimum / present).min(1.0));
        let least = MIN_LIMIT_PER_ENDPOINT / self.subset_size().sharing_balancers;
        least.max(LIMIT_FACTOR * concurrency * ratio)
    }

    /// Whether an endpoint may be sent another request now.
    pub(crate) fn has_capacity(&self, now: Micros, index: usize) -> bool {
        let endpoint = &self.endpoints[index];
        let in_flight = endpoint.in_flight_since(self.lost_before(now)).attempts;
        endpoint.backoff_until <= now
            && (self.settings.polls_loads()
                || in_flight == 0.0
                || in_flight + LIMIT_ROUND_UP_FRACTION < self.concurrency_limit(now, index))
    }

    /// Whether the limits of the subset together allow another request. Each alone may be less than
    /// one request, so their root is added for random variation.
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
