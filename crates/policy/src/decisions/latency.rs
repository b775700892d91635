//! Latency estimates from the responses that this balancer received.

use crate::balancer::Balancer;
use crate::state::class_latency::track_min_latency;
use crate::state::decaying::{LONG_TERM_US, RECENT_US};
use crate::state::request::Request;
use crate::{Host, Micros};

/// Responses that describe the present state of an endpoint.
const RESPONSES_PER_HORIZON: f64 = 4.0;
/// Lowest arrival rate that the horizon is computed with, in requests per microsecond.
const MIN_ARRIVALS_PER_US: f64 = 1e-9;
/// Assumed responses beside the measured ones, or one slow response would close every endpoint.
const PRIOR_RESPONSES: f64 = 3.0;
/// Latency of an assumed response, as a fraction of the shortest latency objective.
const PRIOR_LATENCY_FRACTION: f64 = 0.2;
/// Shortest span that sums over `RECENT_US` are read with, relative to it.
const MIN_RECENT_SPAN_DIVISOR: f64 = 4.0;

/// Latency of a succeeded attempt, in microseconds.
pub(crate) struct AttemptLatency {
    /// For a request of average work.
    pub(crate) latency: f64,
    /// The same on a scale common to all classes.
    pub(crate) normalized: f64,
    /// Whether the endpoint was in slow start when the attempt ended.
    pub(crate) in_slow_start: bool,
}

impl<H: Host> Balancer<H> {
    /// Latency in microseconds for each request that an endpoint of its capacity has in flight.
    pub(crate) fn latency_per_request(&self, now: Micros, index: usize) -> f64 {
        let objective = self.settings.shortest_latency_objective() as f64;
        let measured = &self.fleet.latency_per_request;
        let total = measured.total.read(now, LONG_TERM_US);
        let count = measured.weight.read(now, LONG_TERM_US);
        (total + PRIOR_RESPONSES * PRIOR_LATENCY_FRACTION * objective)
            / (count + PRIOR_RESPONSES)
            / self.capacity(index)
            / self.slow_start_capacity(now, index)
    }

    /// The listed weight of an endpoint; 1 without weights.
    fn capacity(&self, index: usize) -> f64 {
        let listed = self.endpoints[index].weight.read();
        listed
            .filter(|weight| self.settings.weights_listed && *weight > 0.0)
            .unwrap_or(1.0)
    }

    /// Horizon in microseconds of an endpoint's recent latency: the time in which some responses
    /// are expected.
    pub(crate) fn latency_horizon(&self, now: Micros) -> f64 {
        let arrivals = self.fleet.arrivals.read(now, LONG_TERM_US);
        let rate = arrivals / self.long_term_span(now);
        let endpoints = self.subset_size().endpoints as f64;
        (RESPONSES_PER_HORIZON * endpoints / rate.max(MIN_ARRIVALS_PER_US))
            .clamp(RECENT_US, LONG_TERM_US)
    }

    /// Time in microseconds that sums over `LONG_TERM_US` cover.
    pub(crate) fn long_term_span(&self, now: Micros) -> f64 {
        (now.saturating_sub(self.started_at) as f64).clamp(RECENT_US, LONG_TERM_US)
    }

    /// Time in microseconds that sums over `RECENT_US` cover: less after a start, or rates would
    /// look low.
    pub(crate) fn recent_span(&self, now: Micros) -> f64 {
        RECENT_US
            .min(now.saturating_sub(self.started_at) as f64)
            .max(RECENT_US / MIN_RECENT_SPAN_DIVISOR)
    }

    /// Latency in microseconds that is expected at present for an average request of the class.
    pub(crate) fn expected_latency(&self, class: usize) -> f64 {
        let objective = self.settings.classes[class].latency_objective;
        self.class_latency[class].expected(objective)
    }

    /// Records the latency of a succeeded attempt for its endpoint, its class and the fleet.
    pub(crate) fn record_success(
        &mut self,
        now: Micros,
        request: &Request,
        number: usize,
        measured: &AttemptLatency,
    ) {
        let Some(attempt) = request.attempts.get(number) else {
            return;
        };
        let (latency, work) = (measured.latency, request.work);
        let capacity = self.capacity(attempt.endpoint);
        let fleet = &mut self.fleet;
        if let Some(in_flight) = attempt.load_before {
            let per_request = latency * work * capacity / (in_flight + work);
            fleet
                .latency_per_request
                .add(now, LONG_TERM_US, per_request, 1.0);
        }
        fleet.succeeded.add(now, RECENT_US, 1.0);
        fleet.latency.add(now, LONG_TERM_US, latency, work);
        let warm_work = if measured.in_slow_start { 0.0 } else { work };
        fleet.served_work.add(now, LONG_TERM_US, warm_work);
        self.class_latency[request.class].record(now, latency, work);
        let endpoint = &mut self.endpoints[attempt.endpoint];
        let average = endpoint.long_term_latency.read();
        track_min_latency(
            &mut endpoint.min_latency,
            average.unwrap_or(measured.normalized),
        );
        endpoint.busy_time.add(now, RECENT_US, latency * work);
    }
}
