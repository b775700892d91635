//! Placement of a request: its candidates, the selection of one of them, and the attempt.

use std::rc::Rc;

use nanorand::Rng;

use crate::balancer::Balancer;
use crate::scoring::projection::{project, selectable_count};
use crate::scoring::score::{DecisionSample, FeatureRow, dot, softplus};
use crate::state::request::{Attempt, Request};
use crate::{Host, Micros};

/// Number of candidates up to which every decision is a sample for learning. With more candidates
/// only some decisions are; otherwise the memory for samples would grow with the fleet.
pub(crate) const MAX_SAMPLED_CANDIDATES: usize = 32;

/// A candidate of a decision and its priority.
struct RankedCandidate {
    priority: f64,
    /// Position among the candidates.
    position: usize,
}

impl<H: Host> Balancer<H> {
    /// Sends a request to one of the candidates; returns `false` if there is none.
    pub(crate) fn place(&mut self, now: Micros, request: &mut Request) -> bool {
        let candidates = self.candidates(now, request);
        self.select_and_send(now, request, &candidates)
    }

    /// Returns the first endpoints of the preference order that may receive the request now.
    pub(crate) fn candidates(&mut self, now: Micros, request: &Request) -> Vec<usize> {
        self.warm_endpoints = self.count_warm_endpoints(now);
        let unresponsive_after = self.unresponsive_after();
        let open = |index: &usize| {
            !self.has_pending_trial(now, *index, unresponsive_after)
                && !request.attempts.iter().any(|sent| sent.endpoint == *index)
                && self.has_capacity(now, *index)
                && self.is_attempt_permitted(now, request, *index)
        };
        let order = self.subset.current_order(now).iter().copied();
        let size = self.subset_size().endpoints;
        let mut candidates: Vec<_> = order.filter(open).take(size).collect();
        // The candidates are rotated at random, because the first one wins ties.
        let first = self.random.generate_range(0..candidates.len().max(1));
        candidates.rotate_left(first);
        candidates
    }

    fn count_warm_endpoints(&self, now: Micros) -> usize {
        let order = self.subset.preference_order.iter();
        order
            .filter(|&&index| !self.in_slow_start(now, index))
            .count()
    }

    /// Returns whether an endpoint is unresponsive and has already received a trial request.
    fn has_pending_trial(&self, now: Micros, index: usize, unresponsive_after: f64) -> bool {
        let endpoint = &self.endpoints[index];
        endpoint.unanswered_for(now) > unresponsive_after
            && endpoint
                .last_used
                .is_some_and(|used_at| now < used_at + unresponsive_after as Micros)
    }

    /// Selects one of the candidates at random by their scores, and sends the request to it.
    pub(crate) fn select_and_send(
        &mut self,
        now: Micros,
        request: &mut Request,
        candidates: &[usize],
    ) -> bool {
        let rows = self.feature_rows(now, candidates);
        let ranked = self.rank(&rows);
        let priorities: Vec<f64> = ranked.iter().map(|ranked| ranked.priority).collect();
        let probabilities = project(&priorities, selectable_count(priorities.len()));
        let selected = select(&probabilities, self.random.generate::<f64>());
        let Some(probability) = probabilities.get(selected).copied() else {
            return false;
        };
        let index = candidates[ranked[selected].position];
        let sampled = rows.len() <= MAX_SAMPLED_CANDIDATES
            || self.random.generate_range(0..rows.len()) < MAX_SAMPLED_CANDIDATES;
        let sample = sampled.then(|| DecisionSample {
            rows: ranked.iter().map(|ranked| rows[ranked.position]).collect(),
            selected,
            probability,
        });
        self.send(now, request, index, sample)
    }

    /// Returns the candidates in descending priority.
    fn rank(&self, rows: &[FeatureRow]) -> Vec<RankedCandidate> {
        let rank = |(position, row)| RankedCandidate {
            priority: softplus(dot(&self.learning.weights, row)),
            position,
        };
        let mut ranked: Vec<_> = rows.iter().enumerate().map(rank).collect();
        ranked.sort_by(|a, b| b.priority.total_cmp(&a.priority));
        ranked
    }

    /// Starts an attempt, if it is permitted; returns whether it was started. No other function
    /// starts attempts.
    pub(crate) fn send(
        &mut self,
        now: Micros,
        request: &mut Request,
        index: usize,
        sample: Option<DecisionSample>,
    ) -> bool {
        if !self.is_attempt_permitted(now, request, index) {
            return false;
        }
        let budget = self.slow_start_budget(now, index);
        let attempt = self.open_attempt(now, request, index, sample);
        self.endpoints[index].slow_start_usage = budget.usage_after(request.work);
        if let Some(idle_for) = attempt.idle_for
            && self.idle_drops.is_assumed_dropped(now, idle_for)
        {
            // A request on a dropped connection would be lost.
            let id = &self.endpoints[index].id;
            self.host.close_idle_connections(id);
        }
        request.attempts.push(attempt);
        request.outcome_pending = true;
        let queues = &mut self.key_queues.queues;
        if let Some(queue) = request.order_key.and_then(|key| queues.get_mut(&key)) {
            queue.in_flight += 1;
        }
        let expire_at = self.attempt_deadline(now, request, index);
        let id = Rc::clone(&self.endpoints[index].id);
        self.host.start_attempt(&request.id, &id, expire_at);
        self.report_attempt_started(now, index);
        true
    }

    /// Creates an attempt, and records at its endpoint that it is in flight.
    fn open_attempt(
        &mut self,
        now: Micros,
        request: &Request,
        index: usize,
        sample: Option<DecisionSample>,
    ) -> Attempt {
        let endpoint = &mut self.endpoints[index];
        let load_before = endpoint.reported_in_flight;
        endpoint.in_flight.push(request.in_flight_attempt(now));
        endpoint.reported_in_flight = load_before.map(|in_flight| in_flight + 1.0);
        endpoint.unanswered_since.get_or_insert(now);
        endpoint.latest_deadline = endpoint.latest_deadline.max(request.deadline);
        let idle_since = endpoint.last_used.replace(now);
        Attempt {
            idle_for: idle_since.map(|since| now.saturating_sub(since)),
            load_before,
            ..Attempt::new(index, endpoint.known_location(), now, sample)
        }
    }
}

/// Returns the position that a random number from 0 to 1 selects by the probabilities.
fn select(probabilities: &[f64], random: f64) -> usize {
    let mut remaining = random;
    let selects = |probability: &f64| {
        remaining -= probability;
        remaining < 0.0
    };
    probabilities.iter().position(selects).unwrap_or(0)
}
