//! Counts and latencies of requests, as the clients observe them.

use hdrhistogram::Histogram;
use pinefront_model::checker::Outcome;
use pinefront_model::service::Tally;
use pinefront_model::traffic::Request;
use pinefront_model::{Micros, SECOND};
use serde::Serialize;

use super::AttemptEnd;

/// The longest latency that a histogram represents, in microseconds. Longer ones are counted as
/// this one.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Precision of a histogram, in significant decimal digits.
const HISTOGRAM_DIGITS: u8 = 3;

/// An empty histogram of latencies in microseconds.
pub fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, HISTOGRAM_DIGITS)
        .unwrap_or_else(|_| unreachable!("the bounds are valid constants"))
}

/// Numbers of client attempts by result.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RequestCounts {
    #[serde(rename = "asked")]
    pub sent: u64,
    pub succeeded: u64,
    #[serde(rename = "dismissed")]
    pub rejected: u64,
    #[serde(rename = "abandoned")]
    pub failed: u64,
    pub unanswered: u64,
    #[serde(rename = "left")]
    pub disconnected: u64,
    /// Attempts that could not be sent to a balancer.
    #[serde(rename = "unreached")]
    pub unreachable: u64,
}

/// The results of all clients.
pub struct Results {
    pub tally: Tally,
    pub counts: RequestCounts,
    /// Time from the scheduled time of each successful attempt to its response, in microseconds.
    pub latency: Histogram<u64>,
    /// Time from the scheduled time of each attempt until it was sent, in microseconds.
    pub lateness: Histogram<u64>,
    /// The latencies of successful attempts, by the second in which they were scheduled.
    pub latency_by_second: Vec<Histogram<u64>>,
}

impl Results {
    pub fn new(seconds: usize) -> Self {
        Self {
            tally: Tally::new(),
            counts: RequestCounts::default(),
            latency: latency_histogram(),
            lateness: latency_histogram(),
            latency_by_second: (0..seconds).map(|_| latency_histogram()).collect(),
        }
    }

    pub(super) fn attempt_started(&mut self, request: &Request) {
        self.counts.sent += 1;
        self.tally.record_request(request);
    }

    pub(super) fn attempt_sent(&mut self, request: &Request, at: Micros) {
        let lateness = at.saturating_sub(request.scheduled_at).max(1);
        self.lateness.saturating_record(lateness);
    }

    pub(super) fn attempt_ended(&mut self, request: &Request, end: &AttemptEnd, now: Micros) {
        let counts = &mut self.counts;
        let count = match end {
            AttemptEnd::Answered { outcome, .. } => match outcome {
                Outcome::Succeeded => &mut counts.succeeded,
                Outcome::Rejected => &mut counts.rejected,
                Outcome::Failed => &mut counts.failed,
            },
            AttemptEnd::Unanswered => &mut counts.unanswered,
            AttemptEnd::Disconnected => &mut counts.disconnected,
            AttemptEnd::Unreachable => &mut counts.unreachable,
        };
        *count += 1;
        let outcome = end.outcome();
        if outcome == Some(Outcome::Succeeded) {
            let latency = now.saturating_sub(request.scheduled_at).max(1);
            self.latency.saturating_record(latency);
            let second = (request.scheduled_at / SECOND) as usize;
            if let Some(histogram) = self.latency_by_second.get_mut(second) {
                histogram.saturating_record(latency);
            }
        }
        self.tally.record_outcome(request, now, outcome);
    }
}
