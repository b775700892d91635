//! The settings that the polling schedule depends on, and the bounds that follow from them.

use pinefront_policy::Micros;

/// The longest wait of a watch. What a cut-off discovery has to report counts as delivered 2 s
/// after the wait of the watch that is open, so a long wait bridges longer cuts.
pub(super) const MAX_WATCH_WAIT_US: Micros = 20_000_000;
/// Fraction of the poll interval that a watch may wait: a discovery that lost the watch counts us
/// as notified after that interval, and the next poll must come before.
const WATCH_WAIT_FRACTION: f64 = 0.75;
/// Discovery's capacity does not grow with the fleet: in a large one watches wait longer, so that
/// they end this far apart.
pub(super) const WATCH_WAIT_PER_BALANCER_US: Micros = 500_000;
/// The longest backoff.
const MAX_BACKOFF_US: Micros = 1_500_000;
/// The longest backoff where lists are pushed: what discovery has counts as delivered at once when
/// it recovers.
const MAX_BACKOFF_PUSHED_US: Micros = 200_000;
/// How much the longest backoff grows with each balancer, as all their polls meet in one queue.
const MAX_BACKOFF_PER_BALANCER_US: Micros = 50_000;
/// The longest backoff of a small fleet.
const MAX_BACKOFF_SMALL_FLEET_US: Micros = 500_000;

/// First polls that may come at one moment, as discovery works through them within 2 s.
const SIMULTANEOUS_FIRST_POLLS: usize = 7;
/// How far apart the first polls of a larger fleet come on average.
const FIRST_POLL_SPREAD_PER_BALANCER_US: Micros = 100_000;
/// The latest first poll, as nothing is served before it.
const MAX_FIRST_POLL_DELAY_US: Micros = 2_500_000;

/// Over how long the checks of a cached list are spread, for each balancer: one poll a second for
/// the whole fleet.
const VERIFY_SPREAD_PER_BALANCER_US: Micros = 1_000_000;

/// How far apart polls after lost responses come, for each balancer.
const LOST_RESPONSE_BACKOFF_PER_BALANCER_US: Micros = 3_000;
/// Bounds of that backoff.
const MIN_LOST_RESPONSE_BACKOFF_US: Micros = 40_000;
const MAX_LOST_RESPONSE_BACKOFF_US: Micros = 500_000;

/// The settings that the polling schedule depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollingSettings {
    /// The longest time between polls, in microseconds; none where discovery pushes lists.
    pub max_poll_interval: Option<Micros>,
    /// How many balancers share discovery.
    pub balancers: usize,
}

impl PollingSettings {
    /// How long a watch waits at most, in microseconds.
    pub(super) fn watch_wait(self) -> Micros {
        let Some(interval) = self.max_poll_interval else {
            return MAX_WATCH_WAIT_US;
        };
        let spread = self.balancers as u64 * WATCH_WAIT_PER_BALANCER_US;
        ((interval as f64 * WATCH_WAIT_FRACTION) as Micros)
            .max(spread)
            .min(MAX_WATCH_WAIT_US)
    }

    /// The longest wait before a failed poll is repeated, in microseconds.
    pub(super) fn max_backoff(self) -> Micros {
        match self.max_poll_interval {
            None => MAX_BACKOFF_PUSHED_US,
            Some(_) => (self.balancers as u64 * MAX_BACKOFF_PER_BALANCER_US)
                .clamp(MAX_BACKOFF_SMALL_FLEET_US, MAX_BACKOFF_US),
        }
    }

    /// The longest wait before a poll whose response was lost is repeated, in microseconds.
    pub(super) fn max_lost_response_backoff(self) -> Micros {
        (self.balancers as u64 * LOST_RESPONSE_BACKOFF_PER_BALANCER_US)
            .clamp(MIN_LOST_RESPONSE_BACKOFF_US, MAX_LOST_RESPONSE_BACKOFF_US)
    }

    /// The latest first poll of a process, in microseconds after its start. Where lists are pushed,
    /// what discovery has counts as delivered from the first moment.
    pub(super) fn max_first_poll_delay(self) -> Micros {
        let limit = match self.max_poll_interval {
            Some(_) => MAX_FIRST_POLL_DELAY_US,
            None => 0,
        };
        let others = self.balancers.saturating_sub(SIMULTANEOUS_FIRST_POLLS) as u64;
        (others * FIRST_POLL_SPREAD_PER_BALANCER_US).min(limit)
    }

    /// Over how long the checks of a cached list are spread, in microseconds.
    pub(super) fn verify_spread(self) -> Micros {
        self.balancers as u64 * VERIFY_SPREAD_PER_BALANCER_US
    }
}
