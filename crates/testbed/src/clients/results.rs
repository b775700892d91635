//! Counts and latencies of what clients saw.

use hdrhistogram::Histogram;
use pinefront_model::checker::Outcome;
use pinefront_model::service::Tally;
use pinefront_model::traffic::Request;
use pinefront_model::{Micros, SECOND};
use serde::Serialize;

use super::AttemptEnd;

/// The longest latency that a histogram represents.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Precision of a histogram, in decimal digits.
const HISTOGRAM_DIGITS: u8 = 3;

/// An empty histogram of latencies in microseconds.
pub fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, HISTOGRAM_DIGITS)
        .unwrap_or_else(|_| unreachable!("the bounds are valid constants"))
}

/// How many attempts of clients ended in which way.
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
    /// No balancer could be reached.
    #[serde(rename = "unreached")]
    pub unreachable: u64,
}

/// What all clients saw.
pub struct Results {
    pub tally: Tally,
    pub counts: RequestCounts,
    /// From the scheduled time of a successful attempt to its response.
    pub latency: Histogram<u64>,
    /// From the scheduled time of an attempt to when it was sent.
    pub lateness: Histogram<u64>,
    /// The latencies by second of the run.
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
