//! Load probing: polling the loads of some candidates before a request is placed.
//!
//! Invariant: each request that waits for loads has a timer, and is placed or answered when that
//! timer expires.

use std::rc::Rc;

use crate::balancer::Balancer;
use crate::gossip_message::GossipMessage;
use crate::state::request::Request;
use crate::state::timers::TimerPurpose;
use crate::{Host, Micros};

/// Maximum number of endpoints whose load is polled for each request.
const POLLED_ENDPOINTS_PER_REQUEST: usize = 5;
/// Divisor of the latency objective that gives the wait for loads, which is also the time for which
/// a load counts as fresh.
const LOAD_WAIT_OBJECTIVE_DIVISOR: Micros = 20;
/// Time for which loads count as fresh after a request found no endpoint, as a multiple of the wait
/// for loads, so that retries do not flood the balancers.
const OVERLOAD_FRESHNESS_WAITS: Micros = 4;
/// Fraction of its remaining time that a request with a priority weight near 0 may take; a request
/// of the highest priority weight may take all of it.
const MIN_REMAINING_TIME_FRACTION: f64 = 0.3;

impl<H: Host> Balancer<H> {
    /// Polls the loads of some candidates. The request is placed when their loads were received.
    pub(crate) fn poll_loads(&mut self, now: Micros, mut request: Request) {
        let candidates = self.candidates(now, &request);
        if candidates.is_empty() || request.answer_by() <= now {
            self.load_polls.last_unplaced_at = now;
            return self.reject_or_fail(now, request);
        }
        let wait =
            self.settings.classes[request.class].latency_objective / LOAD_WAIT_OBJECTIVE_DIVISOR;
        let fresh_for = self.loads_fresh_for(now, wait);
        (request.pending_loads, request.known_loads) = candidates
            .into_iter()
            .take(POLLED_ENDPOINTS_PER_REQUEST)
            .partition(|&index| !self.has_fresh_load(now, index, fresh_for));
        for &index in &request.pending_loads {
            self.request_load(index);
        }
        if request.pending_loads.is_empty() {
            return self.place_by_load(now, request);
        }
        let wait = wait.min(request.deadline.saturating_sub(now) / 2);
        let purpose = TimerPurpose::LoadPollTimeout(Rc::clone(&request.id));
        self.timers.schedule(&mut self.host, wait, purpose);
        self.load_polls.requests.push(request);
    }

    /// Returns the time in microseconds for which a load counts as fresh.
    fn loads_fresh_for(&self, now: Micros, wait: Micros) -> Micros {
        let long = OVERLOAD_FRESHNESS_WAITS * wait;
        let under_load = now < self.load_polls.last_unplaced_at + long;
        if !self.settings.load_from_probes && under_load {
            long
        } else {
            wait
        }
    }

    /// Returns whether the load of an endpoint is known and fresh. If this balancer owns the ledger
    /// of the endpoint, it reads the load from there.
    fn has_fresh_load(&mut self, now: Micros, index: usize, fresh_for: Micros) -> bool {
        let owner = self.ledger_owner(index);
        let endpoint = &mut self.endpoints[index];
        if !self.settings.load_from_probes && owner == self.settings.own_index {
            endpoint.refresh_from_ledger(now);
        }
        endpoint.reported_in_flight.is_some() && now < endpoint.reported_at + fresh_for
    }

    fn request_load(&mut self, index: usize) {
        let endpoint = &self.endpoints[index];
        if self.settings.load_from_probes {
            return self.host.probe(&endpoint.id);
        }
        let endpoint = endpoint.gossip_id();
        let message = GossipMessage::LoadRequest { endpoint };
        let owner = self.ledger_owner(index);
        self.host.send_gossip(Some(owner), &message.to_text());
    }

    /// Handles the load of an endpoint; `answered` is false if it cannot be obtained.
    pub(crate) fn load_received(&mut self, now: Micros, index: usize, answered: bool) {
        self.load_polls.record_received(index, answered);
        while let Some(request) = self.load_polls.take_complete() {
            self.place_by_load(now, request);
        }
    }

    /// Places a request whose wait for loads has timed out.
    pub(crate) fn load_poll_timed_out(&mut self, now: Micros, id: &str) {
        if let Some(request) = self.load_polls.take_timed_out(id) {
            self.place_by_load(now, request);
        }
    }

    /// Places a request at one of the endpoints with known loads that would answer it in time, or
    /// answers it as not served.
    fn place_by_load(&mut self, now: Micros, mut request: Request) {
        let mut candidates = std::mem::take(&mut request.known_loads);
        if candidates.is_empty() && !self.settings.load_from_probes {
            // The owners of the ledgers are down or slow, so endpoints with unknown loads become
            // candidates.
            candidates = std::mem::take(&mut request.pending_loads);
        }
        candidates.retain(|&index| {
            self.is_attempt_permitted(now, &request, index)
                && self.meets_objective(now, &request, index)
        });
        if !candidates.is_empty() && self.select_and_send(now, &mut request, &candidates) {
            self.requests.insert(Rc::clone(&request.id), request);
        } else {
            self.load_polls.last_unplaced_at = now;
            self.reject_or_fail(now, request);
        }
    }

    /// Returns whether an endpoint would answer a request within the part of its remaining time
    /// that its priority weight allows.
    pub(crate) fn meets_objective(&self, now: Micros, request: &Request, index: usize) -> bool {
        let Some(in_flight) = self.endpoints[index].reported_in_flight else {
            return true;
        };
        let latency = self.latency_per_request(now, index);
        let remaining = request.answer_by().saturating_sub(now) as f64;
        let weight = self.settings.classes[request.class].priority_weight;
        let priority = weight / self.settings.highest_priority_weight();
        let fraction = MIN_REMAINING_TIME_FRACTION + (1.0 - MIN_REMAINING_TIME_FRACTION) * priority;
        // A request without a work hint may be long. A request that was sent before has no margin,
        // because less is lost if it is late.
        let margin = if request.is_unsent() {
            self.class_latency[request.class].latency_margin()
        } else {
            0.0
        };
        latency * in_flight * (1.0 + margin)
            <= fraction * (remaining - latency * request.work * (1.0 + margin))
    }
}
