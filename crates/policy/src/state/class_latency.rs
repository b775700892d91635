//! Latency statistics of a class of requests, scaled to a request of average work.

use crate::Micros;
use crate::state::decaying::{DecayingAverage, LONG_TERM_HORIZON_US, RECENT_HORIZON_US};

/// Expected latency before the first response, as a fraction of the latency objective.
const INITIAL_LATENCY_FRACTION: f64 = 0.25;
/// Number of overdue attempts without a response above which attempts may count as lost.
const MIN_LOST_ATTEMPTS: f64 = 2.0;
/// Fraction of the overdue attempts without a response above which attempts may count as lost;
/// below it the others show that attempts are only slow.
const MIN_LOST_FRACTION: f64 = 0.7;
/// Upper bound of lost attempts relative to answered ones; above it retries would add to an
/// overload.
const MAX_LOST_PER_ANSWERED: f64 = 0.1;
/// Upper bound of the latency margin, as a fraction of the mean latency.
const MAX_LATENCY_MARGIN: f64 = 2.0;
/// Fraction of the difference by which the minimum latency moves to a lower average at each
/// response.
const MIN_LATENCY_FALL_RATE: f64 = 0.1;
/// Fraction of the difference by which the minimum latency moves to a higher average at each
/// response; small, so that congestion does not count as normal.
const MIN_LATENCY_RISE_RATE: f64 = 0.0003;

/// Latency statistics of one class.
#[derive(Clone, Default)]
pub(crate) struct ClassLatency {
    pub(crate) recent: DecayingAverage,
    pub(crate) long_term: DecayingAverage,
    /// Average of the squares of the latencies in `long_term`.
    squares: DecayingAverage,
    /// Slowly rising minimum of the long-term average, in microseconds.
    pub(crate) minimum: Option<f64>,
    /// Average work hint of its requests, in microseconds.
    pub(crate) work_hint: DecayingAverage,
    /// Fraction of the attempts in flight for longer than `unresponsive_after` that received no
    /// response.
    pub(crate) overdue: DecayingAverage,
}

impl ClassLatency {
    /// Records the latency of a succeeded attempt.
    pub(crate) fn record(&mut self, now: Micros, latency: f64, work: f64) {
        self.recent.add(now, RECENT_HORIZON_US, latency, work);
        self.long_term.add(now, LONG_TERM_HORIZON_US, latency, work);
        self.squares
            .add(now, LONG_TERM_HORIZON_US, latency * latency, work);
        let average = self.long_term.read().unwrap_or(latency);
        track_min_latency(&mut self.minimum, average);
    }

    /// Returns the currently expected latency in microseconds.
    pub(crate) fn expected(&self, latency_objective: Micros) -> f64 {
        let unknown = latency_objective as f64 * INITIAL_LATENCY_FRACTION;
        self.recent.read().unwrap_or(unknown)
    }

    /// Returns whether overdue attempts are lost rather than slow, and few relative to the answered
    /// ones.
    pub(crate) fn is_lossy(&self, now: Micros) -> bool {
        let lost = self.overdue.total.read(now, RECENT_HORIZON_US);
        let answered = self.recent.weight.read(now, RECENT_HORIZON_US);
        lost > MIN_LOST_ATTEMPTS
            && self.overdue.read() > Some(MIN_LOST_FRACTION)
            && lost < MAX_LOST_PER_ANSWERED * answered
    }

    /// Returns the standard deviation of the latency divided by its mean; infinite before the first
    /// response.
    fn coefficient_of_variation(&self) -> f64 {
        let known = self.squares.read().zip(self.long_term.read());
        known.map_or(f64::INFINITY, |(squares, mean)| {
            (squares / (mean * mean) - 1.0).max(0.0).sqrt()
        })
    }

    /// Returns the margin for the spread of latencies if no hint gives the work of requests, as a
    /// fraction of the mean latency. It is 0 before the first response; otherwise a new balancer
    /// would never send a request and never measure a latency.
    pub(crate) fn latency_margin(&self) -> f64 {
        let unhinted = self.work_hint.read().is_none() && self.long_term.read().is_some();
        if unhinted {
            self.coefficient_of_variation().min(MAX_LATENCY_MARGIN)
        } else {
            0.0
        }
    }
}

/// Moves the minimum latency towards the current average: quickly if the average is lower, and very
/// slowly if it is higher.
pub(crate) fn track_min_latency(minimum: &mut Option<f64>, average: f64) {
    let minimum = minimum.get_or_insert(average);
    let rate = if average < *minimum {
        MIN_LATENCY_FALL_RATE
    } else {
        MIN_LATENCY_RISE_RATE
    };
    *minimum += rate * (average - *minimum);
}
