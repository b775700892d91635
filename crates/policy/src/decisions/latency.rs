//! Latency estimates from the responses that this balancer received.

use crate::balancer::Balancer;
use crate::state::class_latency::track_min_latency;
use crate::state::decaying::{LONG_TERM_HORIZON_US, RECENT_HORIZON_US};
use crate::state::request::Request;
use crate::{Host, Micros};

/// Number of responses that describe the current state of an endpoint.
const RESPONSES_PER_HORIZON: f64 = 4.0;
/// Lower bound of the arrival rate in the computation of the horizon, in requests per microsecond.
const MIN_ARRIVALS_PER_US: f64 = 1e-9;
/// Number of assumed responses added to the measured ones. Without them, one slow response would
/// exclude every endpoint.
const PRIOR_RESPONSES: f64 = 3.0;
/// Latency of an assumed response, as a fraction of the shortest latency objective.
const PRIOR_LATENCY_FRACTION: f64 = 0.2;
/// Divisor of `RECENT_HORIZON_US` that gives the shortest time that sums over `RECENT_HORIZON_US`
/// are taken to cover.
const MIN_RECENT_SPAN_DIVISOR: f64 = 4.0;

/// Latency of a succeeded attempt, in microseconds.
pub(crate) struct AttemptLatency {
    /// Latency of a request of average work.
    pub(crate) latency: f64,
    /// Latency of a request of average work, on a scale common to all classes.
    pub(crate) normalized: f64,
    /// Whether the endpoint was in slow start when the attempt ended.
    pub(crate) in_slow_start: bool,
}

impl<H: Host> Balancer<H> {
    /// Returns the expected latency in microseconds per request in flight at an endpoint, by its
    /// current capacity.
    pub(crate) fn latency_per_request(&self, now: Micros, index: usize) -> f64 {
        let objective = self.settings.shortest_latency_objective() as f64;
        let measured = &self.fleet.latency_per_request;
        let total = measured.total.read(now, LONG_TERM_HORIZON_US);
        let count = measured.weight.read(now, LONG_TERM_HORIZON_US);
        (total + PRIOR_RESPONSES * PRIOR_LATENCY_FRACTION * objective)
            / (count + PRIOR_RESPONSES)
            / self.capacity(index)
            / self.slow_start_capacity(now, index)
    }

    /// Returns the listed weight of an endpoint; 1 without weights.
    fn capacity(&self, index: usize) -> f64 {
        let listed = self.endpoints[index].weight.read();
        listed
            .filter(|weight| self.settings.weights_listed && *weight > 0.0)
            .unwrap_or(1.0)
    }

    /// Returns the horizon in microseconds of an endpoint's recent latency: the time in which
    /// `RESPONSES_PER_HORIZON` responses are expected.
    pub(crate) fn latency_horizon(&self, now: Micros) -> f64 {
        let arrivals = self.fleet.arrivals.read(now, LONG_TERM_HORIZON_US);
        let rate = arrivals / self.long_term_span(now);
        let endpoints = self.subset_size().endpoints as f64;
        (RESPONSES_PER_HORIZON * endpoints / rate.max(MIN_ARRIVALS_PER_US))
            .clamp(RECENT_HORIZON_US, LONG_TERM_HORIZON_US)
    }

    /// Returns the time in microseconds that sums over `LONG_TERM_HORIZON_US` cover.
    pub(crate) fn long_term_span(&self, now: Micros) -> f64 {
        (now.saturating_sub(self.started_at) as f64).clamp(RECENT_HORIZON_US, LONG_TERM_HORIZON_US)
    }

    /// Returns the time in microseconds that sums over `RECENT_HORIZON_US` cover. It is shorter
    /// after a start; otherwise rates would be underestimated.
    pub(crate) fn recent_span(&self, now: Micros) -> f64 {
        RECENT_HORIZON_US
            .min(now.saturating_sub(self.started_at) as f64)
            .max(RECENT_HORIZON_US / MIN_RECENT_SPAN_DIVISOR)
    }

    /// Returns the currently expected latency in microseconds of an average request of the class.
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
                .add(now, LONG_TERM_HORIZON_US, per_request, 1.0);
        }
        fleet.succeeded.add(now, RECENT_HORIZON_US, 1.0);
        fleet.latency.add(now, LONG_TERM_HORIZON_US, latency, work);
        let warm_work = if measured.in_slow_start { 0.0 } else { work };
        fleet.served_work.add(now, LONG_TERM_HORIZON_US, warm_work);
        self.class_latency[request.class].record(now, latency, work);
        let endpoint = &mut self.endpoints[attempt.endpoint];
        let average = endpoint.long_term_latency.read();
        track_min_latency(
            &mut endpoint.min_latency,
            average.unwrap_or(measured.normalized),
        );
        endpoint
            .busy_time
            .add(now, RECENT_HORIZON_US, latency * work);
    }
}
