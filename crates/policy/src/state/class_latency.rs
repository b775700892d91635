//! Latency of a class of requests, scaled to a request of average work.

use crate::Micros;
use crate::state::decaying::{DecayingAverage, LONG_TERM_US, RECENT_US};

/// Fraction of the latency objective that is expected before the first response.
const INITIAL_LATENCY_FRACTION: f64 = 0.25;
/// Overdue attempts that were never answered, before losses are assumed.
const MIN_LOST_ATTEMPTS: f64 = 2.0;
/// Least fraction of the overdue attempts that were never answered: others are only slow.
const MIN_LOST_FRACTION: f64 = 0.7;
/// Most lost attempts relative to the answered ones: beyond it retries would add to an overload.
const MAX_LOST_PER_ANSWERED: f64 = 0.1;
/// Most standard deviations over the mean to allow for.
const MAX_LATENCY_MARGIN: f64 = 2.0;
/// How fast the shortest latency follows a lower average.
const MIN_LATENCY_FALL_RATE: f64 = 0.1;
/// How fast it follows a higher one: slowly, so that a jam is not taken for normal.
const MIN_LATENCY_RISE_RATE: f64 = 0.0003;

/// Latency statistics of one class.
#[derive(Clone, Default)]
pub(crate) struct ClassLatency {
    pub(crate) recent: DecayingAverage,
    pub(crate) long_term: DecayingAverage,
    /// Squares of the latencies in `long_term`.
    squares: DecayingAverage,
    pub(crate) minimum: Option<f64>,
    /// Work hints of its requests.
    pub(crate) work_hint: DecayingAverage,
    /// Of the attempts in flight for longer than `unresponsive_after`, the fraction that was never
    /// answered.
    pub(crate) overdue: DecayingAverage,
}

impl ClassLatency {
    /// Records the latency of a succeeded attempt.
    pub(crate) fn record(&mut self, now: Micros, latency: f64, work: f64) {
        self.recent.add(now, RECENT_US, latency, work);
        self.long_term.add(now, LONG_TERM_US, latency, work);
        self.squares.add(now, LONG_TERM_US, latency * latency, work);
        let average = self.long_term.read().unwrap_or(latency);
        track_min_latency(&mut self.minimum, average);
    }

    /// Latency in microseconds that is expected at present.
    pub(crate) fn expected(&self, latency_objective: Micros) -> f64 {
        let unknown = latency_objective as f64 * INITIAL_LATENCY_FRACTION;
        self.recent.read().unwrap_or(unknown)
    }

    /// Whether overdue attempts are lost, not slow, and few of all.
    pub(crate) fn is_lossy(&self, now: Micros) -> bool {
        let lost = self.overdue.total.read(now, RECENT_US);
        let answered = self.recent.weight.read(now, RECENT_US);
        lost > MIN_LOST_ATTEMPTS
            && self.overdue.read() > Some(MIN_LOST_FRACTION)
            && lost < MAX_LOST_PER_ANSWERED * answered
    }

    /// Standard deviation over the mean of the latency; infinite before the first response.
    fn coefficient_of_variation(&self) -> f64 {
        let known = self.squares.read().zip(self.long_term.read());
        known.map_or(f64::INFINITY, |(squares, mean)| {
            (squares / (mean * mean) - 1.0).max(0.0).sqrt()
        })
    }

    /// The spread to allow for where no hint tells the work of requests. There is none before the
    /// first response, or a new balancer would never send and never learn.
    pub(crate) fn latency_margin(&self) -> f64 {
        let unhinted = self.work_hint.read().is_none() && self.long_term.read().is_some();
        if unhinted {
            self.coefficient_of_variation().min(MAX_LATENCY_MARGIN)
        } else {
            0.0
        }
    }
}

/// Moves the shortest latency towards the present average.
pub(crate) fn track_min_latency(minimum: &mut Option<f64>, average: f64) {
    let minimum = minimum.get_or_insert(average);
    let rate = if average < *minimum {
        MIN_LATENCY_FALL_RATE
    } else {
        MIN_LATENCY_RISE_RATE
    };
    *minimum += rate * (average - *minimum);
}
