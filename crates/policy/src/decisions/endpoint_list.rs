//! The endpoint list: the schedule of its polls, and the handling of its events.
//!
//! Invariant: nothing more is sent to an endpoint that is draining or that is missing from a
//! complete list. If `unlisted_stay_usable` is set, an endpoint that is missing from the list
//! remains usable for a time, unless another one was listed at its address.

use nanorand::Rng;

use crate::balancer::Balancer;
use crate::state::decaying::DecayingAverage;
use crate::state::timers::LIST_POLL_TIMER;
use crate::{EndpointLocation, Host, Micros};

/// Upper bound of the time over which a very large fleet spreads its first polls, as a fraction of
/// the longest poll interval.
const MAX_POLL_SPREAD_FRACTION: f64 = 0.8;
/// Number of other balancers at which half of the maximum spread is used.
const BALANCERS_AT_HALF_SPREAD: f64 = 32.0;
/// Divisor of the longest poll interval that gives the delay of the first retry; each further delay
/// is twice as long.
const FIRST_RETRY_INTERVAL_DIVISOR: Micros = 64;
/// Maximum number of times that the delay doubles.
const MAX_RETRY_DOUBLINGS: u32 = 4;
/// Factor applied to the earlier weights in the average each time an endpoint is listed. Lists may
/// be late, so balancers that adopted each listed weight at once would oscillate.
const WEIGHT_RETENTION: f64 = 0.9;

/// An endpoint on the list.
#[derive(Clone, Copy, Debug)]
pub struct ListedEndpoint<'a> {
    /// Unique name of the endpoint.
    pub id: &'a str,
    /// Zone of the endpoint.
    pub zone: u64,
    /// Machine type of the endpoint; no decision uses it at present.
    pub machine_type: u64,
    /// Cell of the endpoint.
    pub cell: u64,
    /// Weight on the list; used if [`Settings::weights_listed`](crate::Settings::weights_listed) is
    /// set.
    pub weight: f64,
    /// Start time of its process in microseconds; 0 if it is not known.
    pub started_at: Micros,
}

impl<H: Host> Balancer<H> {
    /// Polls the endpoint list for the first time, or sets the timer for that poll, unless the list
    /// is pushed.
    pub(crate) fn schedule_first_list_poll(&mut self) {
        match self.list_poll_spread() {
            Some(0) => self.host.poll_endpoint_list(),
            Some(spread) => {
                let after = self.random.generate_range(0..=spread);
                self.host.set_timer(after, LIST_POLL_TIMER);
            }
            None => {}
        }
    }

    /// Returns the time in microseconds over which the balancers spread their polls, because the
    /// list's server does not grow with the fleet; `None` if the list is pushed.
    pub(crate) fn list_poll_spread(&self) -> Option<Micros> {
        let interval = self.settings.max_poll_interval? as f64;
        let others = self.settings.balancers as f64 - 1.0;
        let spread =
            MAX_POLL_SPREAD_FRACTION * interval * others / (others + BALANCERS_AT_HALF_SPREAD);
        Some(spread as Micros)
    }

    /// Handles a failed poll or a lost subscription: the list remains in use, and the next poll
    /// follows after a random backoff.
    pub fn endpoint_list_failed(&mut self) {
        let interval = self.settings.max_poll_interval;
        let Some((interval, spread)) = interval.zip(self.list_poll_spread()) else {
            return;
        };
        let doublings = self.failed_list_polls.min(MAX_RETRY_DOUBLINGS);
        let backoff = (interval / FIRST_RETRY_INTERVAL_DIVISOR) << doublings;
        let longest = spread.max(backoff) as f64;
        self.failed_list_polls += 1;
        let fraction = 0.5 + self.random.generate::<f64>() / 2.0;
        let after = (longest * fraction) as Micros;
        self.host.set_timer(after, LIST_POLL_TIMER);
    }

    /// Handles the start of a list. Endpoints that are missing from a complete list are removed.
    pub fn endpoint_list_started(&mut self, now: Micros, complete: bool) {
        if complete {
            let stays_usable = self.settings.unlisted_stay_usable;
            for endpoint in self.endpoints.iter_mut() {
                endpoint.unlist(now, stays_usable);
            }
        }
    }

    /// Handles an endpoint on the list, which is added if it is new and may receive requests from
    /// now on.
    pub fn endpoint_listed(&mut self, listed: ListedEndpoint<'_>) {
        let slot = self.endpoints.find_or_add(listed.id);
        let endpoint = &mut self.endpoints[slot.index];
        let location = EndpointLocation {
            zone: listed.zone,
            cell: listed.cell,
        };
        let has_moved = endpoint.location != location && !slot.added;
        endpoint.location = location;
        endpoint.ready = true;
        endpoint.unlisted_since = None;
        if listed.started_at > endpoint.started_at && !slot.added {
            // Failures of an earlier process provide no information about the new one.
            endpoint.recent_latency = DecayingAverage::default();
            endpoint.unanswered_since = None;
            endpoint.backoff_until = 0;
        }
        endpoint.started_at = listed.started_at;
        let average = &mut endpoint.weight;
        average.total.sum = average.total.sum * WEIGHT_RETENTION + listed.weight;
        average.weight.sum = average.weight.sum * WEIGHT_RETENTION + 1.0;
        if has_moved {
            self.forget_attempt_locations(slot.index);
        }
    }

    /// Handles the replacement of an endpoint: the list names another endpoint at its address, so
    /// nothing more is sent to it. Attempts that were sent to it may have run at the other one.
    pub fn endpoint_replaced(&mut self, id: &str) {
        if let Some(index) = self.endpoints.index_of(id) {
            self.endpoints[index].ready = false;
            self.forget_attempt_locations(index);
        }
    }

    /// Returns whether requests may be sent to an endpoint, as far as the list determines that.
    pub fn is_endpoint_usable(&self, id: &str) -> bool {
        let index = self.endpoints.index_of(id);
        index.is_some_and(|index| self.endpoints[index].ready)
    }

    fn forget_attempt_locations(&mut self, index: usize) {
        for request in self.waiting_lists().flatten() {
            request.forget_location(index);
        }
        for request in self.requests.values_mut() {
            request.forget_location(index);
        }
    }

    /// Handles the removal of an endpoint from the list.
    pub fn endpoint_removed(&mut self, now: Micros, id: &str) {
        let stays_usable = self.settings.unlisted_stay_usable;
        if let Some(endpoint) = self.endpoints.find_mut(id) {
            endpoint.unlist(now, stays_usable);
        }
    }

    /// Handles the start of an endpoint's drain, after which nothing more is sent to it.
    pub fn endpoint_draining(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.find_mut(id) {
            endpoint.ready = false;
        }
    }

    /// Handles the end of a list: applies its changes.
    pub fn endpoint_list_ended(&mut self, now: Micros) {
        self.failed_list_polls = 0;
        self.endpoints.evict_unlisted(now);
        self.rebuild_preference_order();
        self.process_queue(now);
    }
}
