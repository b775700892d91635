//! Open-loop traffic: the arrival times of requests do not depend on the outcome of earlier ones.
//! Clients retry after rejections and failures.

use crate::random::{RandomSource, cumulative_sums};
use crate::scenario::{Scenario, Span};
use crate::timeline::Timeline;
use crate::{Micros, SECOND};

/// Minimum time after which a disconnecting client disconnects, as a fraction of the deadline.
const MIN_DISCONNECT_FRACTION: f64 = 0.05;
/// Step between the balancer draws of a request and its retry, modulo 1. The golden ratio spreads
/// successive retries evenly over the balancers.
const RETRY_DRAW_STEP: f64 = 0.618_033_988_749_895;

/// One attempt of a client: the first request, or a retry of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Number of this attempt, unique among the attempts of all clients.
    pub number: u64,
    /// Number of the client's first attempt.
    pub first: u64,
    /// Time at which the client sends this attempt.
    pub scheduled_at: Micros,
    /// Time at which the client sends its first attempt.
    pub first_scheduled_at: Micros,
    /// Position among the attempts of the client; 1 for the first attempt.
    pub attempt: usize,
    /// Index of the request class.
    pub class: usize,
    /// Index of the tenant.
    pub tenant: usize,
    /// Key of the entity to which the request refers.
    pub key: u64,
    /// Idempotency key, which is the same for all attempts of the client. Only classes with an
    /// idempotency key use it.
    pub idempotency_key: u64,
    /// Core time at speed 1, in microseconds.
    pub work: f64,
    /// Time that the server spends waiting for other services without using a core, in
    /// microseconds.
    pub off_core_time: Micros,
    /// Time for which the client waits for the response, in microseconds.
    pub timeout: Micros,
    /// Time from sending the request until the client disconnects, in microseconds; `None` if it
    /// does not disconnect before its timeout.
    pub disconnects_after: Option<Micros>,
    /// A uniform draw in `[0, 1)` that selects the balancer.
    pub balancer_draw: f64,
}

/// Iterator over the first attempts of all clients, in order of time.
pub struct Arrivals<'a> {
    scenario: &'a Scenario,
    timeline: &'a Timeline,
    random: RandomSource,
    /// Time of the last candidate arrival, in microseconds.
    candidate_at: f64,
    /// Number of the last request.
    number: u64,
    /// Maximum request rate of the scenario, in requests per microsecond. Candidate arrivals are
    /// drawn at this rate and thinned to the current rate.
    max_requests_per_us: f64,
    class_weights: Vec<f64>,
    tenant_weights: Vec<f64>,
    key_weights: Vec<f64>,
}

/// Interpolates the multiple of the usual rate linearly between the points of the curve.
fn curve_multiple(points: &[(Span, f64)], now: Micros) -> f64 {
    let next = points.partition_point(|(at, _)| at.0 <= now);
    let point = |index: usize| {
        let point = points.get(index);
        point.map(|(at, multiple)| (at.0 as f64, *multiple))
    };
    match (next.checked_sub(1).and_then(point), point(next)) {
        (None, None) => 1.0,
        (Some((_, only)), None) | (None, Some((_, only))) => only,
        (Some((from, before)), Some((to, after))) => {
            before + (after - before) * (now as f64 - from) / (to - from)
        }
    }
}

impl<'a> Arrivals<'a> {
    /// Creates the arrivals of a scenario.
    pub fn new(scenario: &'a Scenario, timeline: &'a Timeline, seed: u64) -> Self {
        let traffic = &scenario.traffic;
        let max_multiple = if traffic.curve.is_empty() {
            1.0
        } else {
            let multiples = traffic.curve.iter().map(|(_, multiple)| *multiple);
            multiples.fold(0.0, f64::max)
        };
        let max_burst = timeline
            .burst_starts()
            .map(|at| timeline.burst_factor(at))
            .fold(1.0, f64::max);
        let popularity = |rank: usize| ((rank + 1) as f64).powf(-traffic.skew);
        let class_shares = scenario.classes.iter().map(|class| class.get_ref().share);
        let tenant_shares = scenario.tenants.iter().map(|tenant| tenant.get_ref().share);
        Self {
            scenario,
            timeline,
            random: RandomSource::split(seed, "traffic", 0),
            candidate_at: 0.0,
            number: 0,
            max_requests_per_us: traffic.rate.get_ref() * max_multiple * max_burst / SECOND as f64,
            class_weights: cumulative_sums(class_shares),
            tenant_weights: cumulative_sums(tenant_shares),
            key_weights: cumulative_sums((0..traffic.keys).map(popularity)),
        }
    }

    fn request(&mut self, now: Micros) -> Request {
        let random = &mut self.random;
        let traffic = &self.scenario.traffic;
        let class = random.weighted_index(&self.class_weights);
        let class_settings = self.scenario.classes[class].get_ref();
        let deadline = class_settings.deadline.0 as f64;
        let timeout = deadline * random.between(traffic.min_timeout_fraction, 1.0);
        let disconnects_after = random
            .happens(traffic.disconnect_fraction)
            .then(|| random.between(MIN_DISCONNECT_FRACTION * deadline, timeout) as Micros);
        self.number += 1;
        // The order of the fields determines the order of the random draws.
        Request {
            number: self.number,
            first: self.number,
            scheduled_at: now,
            first_scheduled_at: now,
            attempt: 1,
            class,
            tenant: random.weighted_index(&self.tenant_weights),
            key: random.weighted_index(&self.key_weights) as u64,
            idempotency_key: random.next_u64(),
            work: random.lognormal(class_settings.work.0 as f64, class_settings.scatter),
            off_core_time: class_settings.off_core_time.0,
            timeout: timeout as Micros,
            disconnects_after,
            balancer_draw: random.unit(),
        }
    }
}

impl Iterator for Arrivals<'_> {
    type Item = Request;

    fn next(&mut self) -> Option<Request> {
        let length = self.scenario.length.get_ref().0;
        if self.max_requests_per_us <= 0.0 {
            return None;
        }
        loop {
            self.candidate_at += self.random.exponential(1.0 / self.max_requests_per_us);
            let now = self.candidate_at as Micros;
            if now >= length {
                return None;
            }
            let traffic = &self.scenario.traffic;
            let usual_rate = traffic.rate.get_ref() / SECOND as f64;
            let rate =
                usual_rate * curve_multiple(&traffic.curve, now) * self.timeline.burst_factor(now);
            if self.random.happens(rate / self.max_requests_per_us) {
                return Some(self.request(now));
            }
        }
    }
}

/// Returns the retry of a request that was rejected or failed, or `None` if the client has no
/// retries left or is one that disconnects.
///
/// `number` is the number of the retry, `retry_after` the `Retry-After` delay of the response.
pub fn retry(
    scenario: &Scenario,
    request: &Request,
    number: u64,
    now: Micros,
    retry_after: Option<Micros>,
) -> Option<Request> {
    let has_retries = request.attempt <= scenario.traffic.retries;
    if !has_retries || request.disconnects_after.is_some() {
        return None;
    }
    let delay = retry_after.unwrap_or(0).max(scenario.traffic.retry_wait.0);
    Some(Request {
        number,
        scheduled_at: now + delay,
        attempt: request.attempt + 1,
        balancer_draw: (request.balancer_draw + RETRY_DRAW_STEP).fract(),
        ..request.clone()
    })
}

#[cfg(test)]
mod tests;
