//! What this balancer knows of one endpoint. Latencies are scaled to a request of average work.

use std::rc::Rc;

use crate::Micros;
use crate::state::decaying::{DecayingAverage, DecayingSum};
use crate::state::load_ledger::LoadLedger;
use crate::state::slow_start_budget::SlowStartUsage;

/// Bits of an endpoint's hash that do not fit into its short name.
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

/// One endpoint.
#[derive(Default)]
pub(crate) struct Endpoint {
    /// Empty for a slot that is free.
    pub(crate) id: Rc<str>,
    pub(crate) hash: u64,
    pub(crate) zone: u64,
    pub(crate) cell: u64,
    pub(crate) ready: bool,
    /// When the list dropped it, where an unlisted endpoint stays usable.
    pub(crate) unlisted_since: Option<Micros>,
    /// Weight on the list.
    pub(crate) weight: DecayingAverage,
    /// Start of its process.
    pub(crate) started_at: Micros,
    /// This balancer's attempts in flight.
    pub(crate) in_flight: Vec<InFlightAttempt>,
    pub(crate) recent_latency: DecayingAverage,
    pub(crate) long_term_latency: DecayingAverage,
    pub(crate) min_latency: Option<f64>,
    /// Time that succeeded attempts were in flight.
    pub(crate) busy_time: DecayingSum,
    /// Start of the oldest attempt since which nothing was received.
    pub(crate) unanswered_since: Option<Micros>,
    /// Deadline of the latest request that was sent here.
    pub(crate) latest_deadline: Micros,
    /// Nothing is sent before then, after a failure or a rejection.
    pub(crate) backoff_until: Micros,
    pub(crate) reported_utilisation: Option<f64>,
    pub(crate) reported_queue: Option<f64>,
    /// Requests of all balancers in flight, as last reported, and this balancer's since.
    pub(crate) reported_in_flight: Option<f64>,
    /// Percentage of all balancers' recent attempts that failed, as last reported.
    pub(crate) failure_percent: u64,
    pub(crate) reported_at: Micros,
    pub(crate) last_success: Micros,
    /// When something was last sent to it or received from it.
    pub(crate) last_used: Option<Micros>,
    /// Reports of other balancers, where this balancer owns the ledger.
    pub(crate) ledger: LoadLedger,
    pub(crate) slow_start_usage: SlowStartUsage,
}

impl Endpoint {
    /// Records that the list no longer names the endpoint.
    pub(crate) fn unlist(&mut self, now: Micros, stays_usable: bool) {
        if stays_usable {
            self.unlisted_since.get_or_insert(now);
        } else {
            self.ready = false;
        }
    }

    /// Whether attempts of this balancer are in flight.
    pub(crate) fn has_in_flight(&self) -> bool {
        !self.in_flight.is_empty()
    }

    /// Load of the attempts sent since then.
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

    /// Whether nothing was received since an attempt that was sent before then.
    pub(crate) fn unanswered_since_before(&self, time: Micros) -> bool {
        self.unanswered_since.is_some_and(|sent_at| sent_at < time)
    }

    /// Forgets since when it has not answered, unless attempts are in flight.
    pub(crate) fn clear_unanswered_if_idle(&mut self) {
        if !self.has_in_flight() {
            self.unanswered_since = None;
        }
    }

    /// Time in microseconds since the first unanswered attempt; 0 where there is none.
    pub(crate) fn unanswered_for(&self, now: Micros) -> f64 {
        self.unanswered_since
            .map_or(0.0, |since| now.saturating_sub(since) as f64)
    }

    /// Recent latency, or the time without an answer if that is longer, so that a hung endpoint
    /// does not look idle.
    pub(crate) fn latency(&self, now: Micros) -> Option<f64> {
        self.recent_latency
            .read()
            .map(|latency| latency.max(self.unanswered_for(now)))
    }

    /// Its name in gossip messages: the first bits of its hash.
    pub(crate) fn gossip_id(&self) -> u64 {
        self.hash >> GOSSIP_ID_SHIFT
    }

    /// Takes the load from the ledger as a report, and returns the attempts in flight.
    pub(crate) fn refresh_from_ledger(&mut self, now: Micros) -> usize {
        let in_flight = self.ledger.in_flight(now);
        self.reported_in_flight = Some(in_flight as f64);
        self.reported_at = now;
        self.failure_percent = self.ledger.failure_percent(now);
        in_flight
    }
}
