//! Features of the candidates for a request, which are the input of the score (see
//! `scoring/score.rs`).

use crate::balancer::Balancer;
use crate::scoring::score::{FeatureRow, MAX_LOG_RATIO, log_ratios};
use crate::state::endpoint::Endpoint;
use crate::{Host, Micros};

/// Offset added to the polled load of every endpoint, in requests, so that the log ratio of an
/// endpoint without load is not extreme.
const POLLED_LOAD_OFFSET: f64 = 0.2;
/// Offset added to the estimated load of every endpoint, in requests of average work, so that the
/// log ratio of an endpoint without load is not extreme.
const ESTIMATED_LOAD_OFFSET: f64 = 0.5;
/// Offset added to a reported utilisation, which may be 0.
const UTILISATION_OFFSET: f64 = 0.1;
/// Exponent of the capacity by which the load is divided.
const LOAD_CAPACITY_EXPONENT: f64 = 0.5;
/// Exponent of the decay of a report at an age of one latency horizon.
const REPORT_DECAY_EXPONENT: f64 = -2.0;

impl<H: Host> Balancer<H> {
    /// Returns one row of features for each candidate, in the order of `candidates`.
    pub(crate) fn feature_rows(&self, now: Micros, candidates: &[usize]) -> Vec<FeatureRow> {
        let freshness = self.report_freshness(now, candidates);
        let log_ratios_of = |value: &dyn Fn(&Endpoint) -> Option<f64>| {
            let values = candidates
                .iter()
                .map(|&index| value(&self.endpoints[index]));
            log_ratios(&values.collect::<Vec<_>>(), MAX_LOG_RATIO)
        };
        let latency = log_ratios_of(&|endpoint| endpoint.latency(now));
        let capacity = log_ratios_of(&|endpoint| self.capacity_estimate(endpoint));
        let queue = log_ratios_of(&|endpoint| endpoint.reported_queue.map(|queue| queue + 1.0));
        let utilisation = log_ratios_of(&|endpoint| {
            let utilisation = endpoint.reported_utilisation;
            utilisation.map(|utilisation| utilisation + UTILISATION_OFFSET)
        });
        let load = self.loads(now, candidates, &freshness);
        let row = |(i, &index): (usize, &usize)| {
            let same_zone = self.endpoints[index].location.zone == self.settings.zone;
            [
                1.0,
                latency[i],
                utilisation[i] * freshness[i],
                load[i] - capacity[i] * LOAD_CAPACITY_EXPONENT,
                capacity[i],
                f64::from(u8::from(same_zone)),
                queue[i] * freshness[i],
            ]
        };
        candidates.iter().enumerate().map(row).collect()
    }

    /// Returns the weight of each candidate's latest report, from 0 to 1: an old report describes a
    /// past load.
    fn report_freshness(&self, now: Micros, candidates: &[usize]) -> Vec<f64> {
        let horizon = self.latency_horizon(now);
        let freshness = |index: &usize| {
            let age = now.saturating_sub(self.endpoints[*index].reported_at) as f64;
            (REPORT_DECAY_EXPONENT * age / horizon).exp()
        };
        candidates.iter().map(freshness).collect()
    }

    /// Returns the log ratios of the candidates' loads. A load is the own work in flight plus the
    /// other balancers' part of the reported queue; if loads are polled, it is the reported number
    /// of requests in flight.
    fn loads(&self, now: Micros, candidates: &[usize], freshness: &[f64]) -> Vec<f64> {
        let lost_before = self.lost_before(now);
        let sharing_balancers = self.subset_size().sharing_balancers;
        let polls_loads = self.settings.polls_loads();
        let load = |(i, &index): (usize, &usize)| {
            let endpoint = &self.endpoints[index];
            if let Some(in_flight) = endpoint.reported_in_flight
                && polls_loads
            {
                return Some(POLLED_LOAD_OFFSET + in_flight * freshness[i]);
            }
            let queue = endpoint.reported_queue.unwrap_or(0.0);
            let others = (1.0 - 1.0 / sharing_balancers) * freshness[i] * queue;
            let own = endpoint.in_flight_since(lost_before).work;
            Some(ESTIMATED_LOAD_OFFSET + own + others)
        };
        let loads: Vec<_> = candidates.iter().enumerate().map(load).collect();
        log_ratios(&loads, MAX_LOG_RATIO)
    }

    /// Returns the listed weight or, without weights, the served rate per own request in flight,
    /// which is the inverse of the latency.
    fn capacity_estimate(&self, endpoint: &Endpoint) -> Option<f64> {
        if self.settings.weights_listed {
            endpoint.weight.read()
        } else {
            endpoint.long_term_latency.read().map(f64::recip)
        }
    }
}
