//! State and statistics of one endpoint. Latencies are scaled to a request of average work.

use std::rc::Rc;

use crate::state::decaying::{DecayingAverage, DecayingSum};
use crate::state::load_ledger::LoadLedger;
use crate::state::slow_start_budget::SlowStartUsage;
use crate::{EndpointLocation, Micros};

/// Time in microseconds for which an unlisted endpoint and its state are kept: an endpoint that
/// restarts after a crash is as fast as before.
pub(crate) const UNLISTED_RETENTION_US: Micros = 60_000_000;
/// Number of low bits of an endpoint's hash that its gossip ID omits.
const GOSSIP_ID_SHIFT: u32 = 40;

/// One of this balancer's attempts in flight at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct InFlightAttempt {
    pub(crate) sent_at: Micros,
    pub(crate) work: f64,
}

/// Number and work of attempts in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct InFlightLoad {
    pub(crate) attempts: f64,
    pub(crate) work: f64,
}

/// An endpoint.
#[derive(Default)]
pub(crate) struct Endpoint {
    /// Name of the endpoint; empty for a free slot.
    pub(crate) id: Rc<str>,
    pub(crate) hash: u64,
    pub(crate) location: EndpointLocation,
    pub(crate) ready: bool,
    /// Time at which the endpoint was removed from the list, if unlisted endpoints remain usable.
    /// Only the list clears it: a response does not prove that the endpoint is listed.
    pub(crate) unlisted_since: Option<Micros>,
    /// Average of the listed weights.
    pub(crate) weight: DecayingAverage,
    /// Start time of its process; 0 if it is not known.
    pub(crate) started_at: Micros,
    /// This balancer's attempts in flight.
    pub(crate) in_flight: Vec<InFlightAttempt>,
    pub(crate) recent_latency: DecayingAverage,
    pub(crate) long_term_latency: DecayingAverage,
    /// Slowly rising minimum of the long-term latency, in microseconds.
    pub(crate) min_latency: Option<f64>,
    /// Decaying sum of the time in flight of succeeded attempts, in microseconds.
    pub(crate) busy_time: DecayingSum,
    /// Time of the first attempt since the endpoint last responded; `None` if no attempt was sent
    /// since. It is also cleared when the last attempt in flight ends without information about the
    /// endpoint.
    pub(crate) unanswered_since: Option<Micros>,
    /// Latest deadline of the requests that were sent to the endpoint.
    pub(crate) latest_deadline: Micros,
    /// Time before which nothing is sent to the endpoint, after a failure or a rejection.
    pub(crate) backoff_until: Micros,
    pub(crate) reported_utilisation: Option<f64>,
    pub(crate) reported_queue: Option<f64>,
    /// Number of requests of all balancers in flight as last reported, plus the attempts that this
    /// balancer has started since.
    pub(crate) reported_in_flight: Option<f64>,
    /// Percentage of all balancers' recent attempts that failed, as last reported.
    pub(crate) failure_percent: u64,
    pub(crate) reported_at: Micros,
    pub(crate) last_success: Micros,
    /// Time at which something was last sent to the endpoint or received from it.
    pub(crate) last_used: Option<Micros>,
    /// Reports of all balancers, if this balancer owns the ledger of the endpoint.
    pub(crate) ledger: LoadLedger,
    pub(crate) slow_start_usage: SlowStartUsage,
}

impl Endpoint {
    /// Records that the endpoint is no longer on the list.
    pub(crate) fn unlist(&mut self, now: Micros, stays_usable: bool) {
        if stays_usable {
            self.unlisted_since.get_or_insert(now);
        } else {
            self.ready = false;
        }
    }

    /// Returns where the endpoint is; `None` while it is unlisted, as another process may have been
    /// started at its address since.
    pub(crate) fn known_location(&self) -> Option<EndpointLocation> {
        self.unlisted_since.is_none().then_some(self.location)
    }

    /// Returns the time until which an unlisted endpoint remains usable; `None` if it is listed. It
    /// is counted from its removal or its last success, whichever was later.
    pub(crate) fn usable_until(&self) -> Option<Micros> {
        let since = self.unlisted_since?;
        Some(since.max(self.last_success) + UNLISTED_RETENTION_US)
    }

    /// Returns whether attempts of this balancer are in flight.
    pub(crate) fn has_in_flight(&self) -> bool {
        !self.in_flight.is_empty()
    }

    /// Returns the load of the attempts in flight that were sent at `since` or later.
    pub(crate) fn in_flight_since(&self, since: Micros) -> InFlightLoad {
        let none = InFlightLoad {
            attempts: 0.0,
            work: 0.0,
        };
        let recent = self.in_flight.iter().filter(|sent| sent.sent_at >= since);
        recent.fold(none, |load, sent| InFlightLoad {
            attempts: load.attempts + 1.0,
            work: load.work + sent.work,
        })
    }

    /// Removes an attempt that has ended.
    pub(crate) fn release(&mut self, attempt: InFlightAttempt) {
        let position = self.in_flight.iter().position(|sent| *sent == attempt);
        if let Some(position) = position {
            self.in_flight.remove(position);
        }
    }

    /// Returns whether the endpoint has not responded since an attempt that was sent before `time`.
    pub(crate) fn unanswered_since_before(&self, time: Micros) -> bool {
        self.unanswered_since.is_some_and(|sent_at| sent_at < time)
    }

    /// Clears the start of the time without a response, unless attempts are in flight.
    pub(crate) fn clear_unanswered_if_idle(&mut self) {
        if !self.has_in_flight() {
            self.unanswered_since = None;
        }
    }

    /// Returns the time in microseconds since the first unanswered attempt; 0 if there is none.
    pub(crate) fn unanswered_for(&self, now: Micros) -> f64 {
        self.unanswered_since
            .map_or(0.0, |since| now.saturating_sub(since) as f64)
    }

    /// Returns the recent latency in microseconds, or the time without a response if that is
    /// longer, so that a hung endpoint does not appear idle.
    pub(crate) fn latency(&self, now: Micros) -> Option<f64> {
        self.recent_latency
            .read()
            .map(|latency| latency.max(self.unanswered_for(now)))
    }

    /// Returns the endpoint's ID in gossip messages: the leading bits of its hash.
    pub(crate) fn gossip_id(&self) -> u64 {
        self.hash >> GOSSIP_ID_SHIFT
    }

    /// Applies the load in the ledger like a load report, and returns the number of attempts in
    /// flight.
    pub(crate) fn refresh_from_ledger(&mut self, now: Micros) -> usize {
        let in_flight = self.ledger.in_flight(now);
        self.reported_in_flight = Some(in_flight as f64);
        self.reported_at = now;
        self.failure_percent = self.ledger.failure_percent(now);
        in_flight
    }
}
