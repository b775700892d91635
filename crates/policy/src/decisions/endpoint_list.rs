//! The endpoint list: when it is polled, and its events.
//!
//! Invariant: an endpoint that drains, or that a complete list does not name, is sent nothing more.
//! Where only draining binds, an unlisted one stays usable for a time.

use nanorand::Rng;

use crate::balancer::Balancer;
use crate::state::decaying::DecayingAverage;
use crate::state::timers::LIST_POLL_TIMER;
use crate::{Host, Micros};

/// Fraction of the longest poll interval over which a very large fleet spreads its first polls.
const MAX_POLL_SPREAD_FRACTION: f64 = 0.8;
/// Other balancers at which half of that spread is used.
const BALANCERS_AT_HALF_SPREAD: f64 = 32.0;
/// Part of the longest poll interval that the first retry waits; each further one waits twice as
/// long.
const FIRST_RETRY_INTERVAL_DIVISOR: Micros = 64;
/// Retries that double the wait.
const MAX_RETRY_DOUBLINGS: u32 = 4;
/// What an earlier weight counts beside a new one: lists may be late, and balancers that follow
/// each would oscillate.
const WEIGHT_RETENTION: f64 = 0.9;

/// An endpoint on the list.
#[derive(Clone, Copy, Debug)]
pub struct ListedEndpoint<'a> {
    /// Unique name of the endpoint.
    pub id: &'a str,
    /// Its zone.
    pub zone: u64,
    /// Its machine type; no decision uses it at present.
    pub machine_type: u64,
    /// Its cell.
    pub cell: u64,
    /// Its listed weight; used where [`Settings::weights_listed`](crate::Settings::weights_listed)
    /// is set.
    pub weight: f64,
    /// Start of its process; 0 if it is not known.
    pub started_at: Micros,
}

impl<H: Host> Balancer<H> {
    /// Polls the endpoint list for the first time, where it is not pushed.
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

    /// Time in microseconds over which the balancers spread their polls, as the list's server does
    /// not grow with them.
    pub(crate) fn list_poll_spread(&self) -> Option<Micros> {
        let interval = self.settings.max_poll_interval? as f64;
        let others = self.settings.balancers as f64 - 1.0;
        let spread =
            MAX_POLL_SPREAD_FRACTION * interval * others / (others + BALANCERS_AT_HALF_SPREAD);
        Some(spread as Micros)
    }

    /// A poll failed or its subscription was lost: the list stays, and the next poll follows after
    /// a random backoff.
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

    /// A list begins. Endpoints that a complete one does not name are removed.
    pub fn endpoint_list_started(&mut self, now: Micros, complete: bool) {
        if complete {
            let stays_usable = self.settings.unlisted_stay_usable;
            for endpoint in self.endpoints.iter_mut() {
                endpoint.unlist(now, stays_usable);
            }
        }
    }

    /// The list names an endpoint.
    pub fn endpoint_listed(&mut self, listed: ListedEndpoint<'_>) {
        let slot = self.endpoints.slot(listed.id);
        let endpoint = &mut self.endpoints[slot.index];
        endpoint.zone = listed.zone;
        endpoint.cell = listed.cell;
        endpoint.ready = true;
        endpoint.unlisted_since = None;
        if listed.started_at > endpoint.started_at && !slot.added {
            // The failures of an earlier process say nothing of the new one.
            endpoint.recent_latency = DecayingAverage::default();
            endpoint.unanswered_since = None;
            endpoint.backoff_until = 0;
        }
        endpoint.started_at = listed.started_at;
        let average = &mut endpoint.weight;
        average.total.sum = average.total.sum * WEIGHT_RETENTION + listed.weight;
        average.weight.sum = average.weight.sum * WEIGHT_RETENTION + 1.0;
    }

    /// The list reports that an endpoint is gone.
    pub fn endpoint_removed(&mut self, now: Micros, id: &str) {
        let stays_usable = self.settings.unlisted_stay_usable;
        if let Some(endpoint) = self.endpoints.find_mut(id) {
            endpoint.unlist(now, stays_usable);
        }
    }

    /// An endpoint is draining: it is sent nothing more.
    pub fn endpoint_draining(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.find_mut(id) {
            endpoint.ready = false;
        }
    }

    /// A list has ended: its changes take effect.
    pub fn endpoint_list_ended(&mut self, now: Micros) {
        self.failed_list_polls = 0;
        self.endpoints.evict_unlisted(now);
        self.rebuild_preference_order();
        self.process_queue(now);
    }
}
