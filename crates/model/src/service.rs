//! The service score: the fraction of the requested priority weight that was answered within the
//! latency objective. It is the weighted mean of several components, whose weights are part of the
//! scenario. Retries of a client count towards its first attempt.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::checker::Outcome;
use crate::scenario::{RequestClass, Scenario};
use crate::traffic::Request;
use crate::{Micros, SECOND};

/// Length of the sliding window for the worst score, in microseconds.
const WORST_WINDOW_US: Micros = 10 * SECOND;
/// Length of the windows in which late requests are counted, in microseconds.
const TAIL_WINDOW_US: Micros = 5 * SECOND;
/// Minimum number of first attempts for which a score is computed.
const MIN_REQUESTS: usize = 10;
/// Multiple of the allowed fraction of late requests at which the tail latency score is 0.
const TAIL_ZERO_MULTIPLE: f64 = 5.0;

/// The result of a client's request over all its attempts.
#[derive(Clone, Copy, Debug)]
struct RequestResult {
    scheduled_at: Micros,
    class: usize,
    tenant: usize,
    /// Time from the scheduled time of the first attempt to the successful response, in
    /// microseconds.
    latency: Option<Micros>,
    rejected: bool,
}

impl RequestResult {
    fn meets_objective(&self, class: &RequestClass) -> bool {
        self.latency
            .is_some_and(|latency| latency <= class.latency_objective.0)
    }
}

/// Number of requests and of late requests of one class in one window.
#[derive(Default)]
struct TailWindow {
    requests: usize,
    late: usize,
}

/// Sum of the priority weights of all requests, and of those that met their latency objective.
#[derive(Clone, Copy, Default)]
struct Weight {
    requested: f64,
    earned: f64,
}

impl Weight {
    fn add(&mut self, result: &RequestResult, class: &RequestClass) {
        self.requested += class.priority_weight;
        if result.meets_objective(class) {
            self.earned += class.priority_weight;
        }
    }
}

/// Collects the results of requests.
#[derive(Default)]
pub struct Tally {
    /// Results by number of the first attempt.
    results: BTreeMap<u64, RequestResult>,
}

/// The service score and its components, each from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ServiceScore {
    /// Score over the complete scenario.
    #[serde(rename = "whole")]
    pub overall: f64,
    /// Worst score of any ten seconds.
    pub worst_10s: f64,
    /// Worst score of any request class.
    #[serde(rename = "worst_use_case")]
    pub worst_class: f64,
    /// Worst score of any tenant.
    pub worst_tenant: f64,
    /// Tail latency score, which decreases with the fraction of late requests.
    pub tail: f64,
    /// Weighted mean of all components. It is not serialized, since it is reported separately.
    #[serde(skip)]
    pub total: f64,
}

impl Tally {
    /// Creates a tally without results.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an attempt that a client is scheduled to send.
    pub fn record_request(&mut self, request: &Request) {
        self.results.entry(request.first).or_insert(RequestResult {
            scheduled_at: request.first_scheduled_at,
            class: request.class,
            tenant: request.tenant,
            latency: None,
            rejected: false,
        });
    }

    /// Records the end of an attempt. `outcome` is `None` if no response arrived.
    pub fn record_outcome(&mut self, request: &Request, at: Micros, outcome: Option<Outcome>) {
        self.record_request(request);
        let Some(result) = self.results.get_mut(&request.first) else {
            return;
        };
        match outcome {
            Some(Outcome::Succeeded) if result.latency.is_none() => {
                result.latency = Some(at.saturating_sub(result.scheduled_at));
            }
            Some(Outcome::Rejected) => result.rejected = true,
            _ => {}
        }
    }

    /// Returns the fraction of the priority weight of the selected requests that met its latency
    /// objective, or `None` if there are too few requests.
    fn earned_fraction(
        &self,
        scenario: &Scenario,
        selects: impl Fn(&RequestResult) -> bool,
    ) -> Option<f64> {
        let (mut weight, mut count) = (Weight::default(), 0);
        for result in self.results.values().filter(|result| selects(result)) {
            weight.add(result, scenario.classes[result.class].get_ref());
            count += 1;
        }
        let is_scored = count >= MIN_REQUESTS && weight.requested > 0.0;
        is_scored.then(|| weight.earned / weight.requested)
    }

    /// Returns the tail latency score: the mean over all classes and windows of a score that is 1
    /// up to the allowed fraction of late requests and decreases linearly to 0 at
    /// `TAIL_ZERO_MULTIPLE` times that fraction. Requests that were rejected and never succeeded
    /// are not counted.
    fn tail_score(&self, scenario: &Scenario) -> f64 {
        let mut windows: BTreeMap<(usize, Micros), TailWindow> = BTreeMap::new();
        let is_counted = |result: &&RequestResult| result.latency.is_some() || !result.rejected;
        for result in self.results.values().filter(is_counted) {
            let class = scenario.classes[result.class].get_ref();
            let key = (result.class, result.scheduled_at / TAIL_WINDOW_US);
            let window = windows.entry(key).or_default();
            window.requests += 1;
            window.late += usize::from(!result.meets_objective(class));
        }
        let allowed = scenario.service.late_fraction_allowed.max(1e-9);
        let score = |late: f64| {
            let excess = (late - allowed) / ((TAIL_ZERO_MULTIPLE - 1.0) * allowed);
            (1.0 - excess).clamp(0.0, 1.0)
        };
        let scores: Vec<f64> = windows
            .values()
            .filter(|window| window.requests >= MIN_REQUESTS)
            .map(|window| score(window.late as f64 / window.requests as f64))
            .collect();
        if scores.is_empty() {
            1.0
        } else {
            scores.iter().sum::<f64>() / scores.len() as f64
        }
    }

    /// Returns the service score and its components.
    pub fn service_score(&self, scenario: &Scenario) -> ServiceScore {
        let overall = self.earned_fraction(scenario, |_| true).unwrap_or(0.0);
        let scheduled = self.results.values().map(|result| result.scheduled_at);
        let last = scheduled.max().unwrap_or(0);
        let from = |start: Micros| {
            let window = start..start + WORST_WINDOW_US;
            self.earned_fraction(scenario, |result| window.contains(&result.scheduled_at))
        };
        let windows = (0..=last / SECOND).map(|second| from(second * SECOND));
        let by_class = (0..scenario.classes.len())
            .map(|class| self.earned_fraction(scenario, |result| result.class == class));
        let by_tenant = (0..scenario.tenants.len())
            .map(|tenant| self.earned_fraction(scenario, |result| result.tenant == tenant));
        let score = ServiceScore {
            overall,
            worst_10s: lowest_score(windows, overall),
            worst_class: lowest_score(by_class, overall),
            worst_tenant: lowest_score(by_tenant, overall),
            tail: self.tail_score(scenario),
            total: 0.0,
        };
        let total = score.weighted_mean(scenario);
        ServiceScore { total, ..score }
    }

    /// Returns the score of each second of the scenario, by the scheduled time of the requests. The
    /// score of a second without requests is 1.
    pub fn by_second(&self, scenario: &Scenario) -> Vec<f64> {
        let seconds = scenario.length.get_ref().0.div_ceil(SECOND) as usize;
        let mut weights = vec![Weight::default(); seconds];
        for result in self.results.values() {
            let second = (result.scheduled_at / SECOND) as usize;
            if let Some(weight) = weights.get_mut(second) {
                weight.add(result, scenario.classes[result.class].get_ref());
            }
        }
        let score = |weight: Weight| {
            if weight.requested > 0.0 {
                weight.earned / weight.requested
            } else {
                1.0
            }
        };
        weights.into_iter().map(score).collect()
    }
}

impl ServiceScore {
    fn weighted_mean(&self, scenario: &Scenario) -> f64 {
        let weights = &scenario.service;
        let components = [
            (weights.overall, self.overall),
            (weights.worst_10s, self.worst_10s),
            (weights.worst_class, self.worst_class),
            (weights.worst_tenant, self.worst_tenant),
            (weights.tail, self.tail),
        ];
        let sum: f64 = components
            .iter()
            .map(|(weight, score)| weight * score)
            .sum();
        sum / components.iter().map(|(weight, _)| weight).sum::<f64>()
    }
}

/// Returns the lowest score, or `default` if there is none.
fn lowest_score(scores: impl Iterator<Item = Option<f64>>, default: f64) -> f64 {
    scores.flatten().reduce(f64::min).unwrap_or(default)
}

#[cfg(test)]
mod tests;
