//! The queue of requests that wait for capacity.
//!
//! Invariant: a request waits only while an attempt could still be in time; otherwise it is
//! answered immediately.

use std::rc::Rc;

use crate::balancer::Balancer;
use crate::state::decaying::{LONG_TERM_HORIZON_US, MICROS_PER_SECOND, RECENT_HORIZON_US};
use crate::state::request::Request;
use crate::state::timers::QUEUE_TIMER;
use crate::{Host, Micros};

/// Time between two checks of the queue, in microseconds.
pub(crate) const QUEUE_CHECK_INTERVAL_US: Micros = 10_000;
/// Minimum number of endpoints per balancer at which requests are queued; with fewer, other
/// balancers take the freed capacity.
const MIN_ENDPOINTS_PER_BALANCER: usize = 3;
/// Maximum expected wait in the queue, as a fraction of the time until a request's latest start.
const MAX_WAIT_FRACTION: f64 = 0.15;
/// Maximum expected wait in the queue for a request beyond its tenant's quota, as a fraction of the
/// time until its latest start.
const MAX_WAIT_FRACTION_BEYOND_QUOTA: f64 = 0.04;
/// Lower bound of the service rate in the computation of waiting times, in requests per
/// microsecond.
const MIN_SERVED_REQUESTS_PER_US: f64 = 1.0 / MICROS_PER_SECOND;
/// Time to its objective that a request needs when it is sent, as a multiple of the expected
/// latency.
const START_MARGIN_LATENCIES: f64 = 2.0;

impl<H: Host> Balancer<H> {
    /// Returns the time after which it is too late to send a request, because its response would
    /// probably be late.
    pub(crate) fn latest_start(&self, request: &Request) -> Micros {
        let needed =
            START_MARGIN_LATENCIES * self.expected_latency(request.class) * request.work.max(1.0);
        request
            .objective_at
            .min(request.deadline.saturating_sub(QUEUE_CHECK_INTERVAL_US))
            .saturating_sub(needed as Micros)
    }

    /// Sends a request, queues it if it would be sent soon, or answers it immediately as not
    /// served.
    pub(crate) fn place_or_queue(&mut self, now: Micros, mut request: Request) {
        if self.settings.polls_loads() {
            return self.poll_loads(now, request);
        }
        // Waiting requests that were sent before may only go to some endpoints, and do not block
        // the others.
        let first = self.queue.has_only_retries();
        if first && self.subset_has_capacity(now) && self.place(now, &mut request) {
            self.requests.insert(Rc::clone(&request.id), request);
            return;
        }
        self.subset.zone_saturated_until = now + LONG_TERM_HORIZON_US as Micros;
        let position = self.queue.insert_position(request.objective_at);
        if !self.should_queue(now, &request, position) {
            return self.reject_or_fail(now, request);
        }
        self.queue.requests.insert(position, request);
        self.schedule_queue_timer();
    }

    /// Returns whether a request should wait at this position of the queue: its expected wait is a
    /// small part of the time until its latest start, and there are enough endpoints per balancer
    /// that other balancers do not take the freed capacity.
    fn should_queue(&self, now: Micros, request: &Request, position: usize) -> bool {
        let rate = self.fleet.succeeded.read(now, RECENT_HORIZON_US) / self.recent_span(now);
        let wait = self.queue.unsent_before(position) as f64 / rate.max(MIN_SERVED_REQUESTS_PER_US);
        let spare = self.latest_start(request) as f64 - now as f64;
        let fraction = if request.within_quota {
            MAX_WAIT_FRACTION
        } else {
            MAX_WAIT_FRACTION_BEYOND_QUOTA
        };
        let endpoints = self.subset.preference_order.len();
        let own_capacity = endpoints >= MIN_ENDPOINTS_PER_BALANCER * self.settings.balancers;
        spare > 0.0 && wait <= fraction * spare && own_capacity
    }

    fn schedule_queue_timer(&mut self) {
        if !self.queue.timer_scheduled && !self.queue.requests.is_empty() {
            self.queue.timer_scheduled = true;
            self.host.set_timer(QUEUE_CHECK_INTERVAL_US, QUEUE_TIMER);
        }
    }

    /// Sends waiting requests while there is capacity, the most urgent first, and answers those
    /// that are too late.
    pub(crate) fn process_queue(&mut self, now: Micros) {
        for mut request in std::mem::take(&mut self.queue.requests) {
            if self.latest_start(&request) < now || !self.may_attempt(now, &request) {
                self.reject_or_fail(now, request);
            } else if self.subset_has_capacity(now) && self.place(now, &mut request) {
                self.requests.insert(Rc::clone(&request.id), request);
            } else {
                self.queue.requests.push(request);
            }
        }
        self.schedule_queue_timer();
    }
}
