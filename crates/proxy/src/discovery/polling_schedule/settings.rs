//! Settings of the polling schedule, and the limits that are derived from them.

use pinefront_policy::Micros;

/// Maximum wait of a watch, in microseconds. While discovery is unreachable, its changes count as
/// delivered only 2 s after the end of the open watch's wait, so with a longer wait they count as
/// delivered later, which bridges a longer partition.
pub(super) const MAX_WATCH_WAIT_US: Micros = 20_000_000;
/// Maximum wait of a watch as a fraction of the poll interval. A discovery that has lost the watch
/// counts this balancer as notified after that interval, so the next poll must be sent before.
const WATCH_WAIT_FRACTION: f64 = 0.75;
/// Wait of a watch per balancer of the fleet, in microseconds. Discovery's capacity does not grow
/// with the fleet, so watches wait longer in a large fleet, and on average end this far apart.
pub(super) const WATCH_WAIT_PER_BALANCER_US: Micros = 500_000;
/// Maximum backoff after a failed poll, in microseconds.
const MAX_BACKOFF_US: Micros = 1_500_000;
/// Maximum backoff where discovery pushes lists, in microseconds. It is short because changes count
/// as delivered as soon as discovery recovers.
const MAX_BACKOFF_PUSH_MODE_US: Micros = 200_000;
/// Increase of the maximum backoff per balancer, in microseconds, as the polls of all balancers
/// share one queue.
const MAX_BACKOFF_PER_BALANCER_US: Micros = 50_000;
/// Maximum backoff in a small fleet, in microseconds.
const MAX_BACKOFF_SMALL_FLEET_US: Micros = 500_000;

/// Number of first polls that may be sent at the same time, as discovery processes that many within
/// 2 s.
const SIMULTANEOUS_FIRST_POLLS: usize = 7;
/// Average interval between the first polls of the balancers of a larger fleet, in microseconds.
const FIRST_POLL_SPREAD_PER_BALANCER_US: Micros = 100_000;
/// Maximum delay of the first poll, in microseconds. It is limited because a balancer serves no
/// requests before that poll.
const MAX_FIRST_POLL_DELAY_US: Micros = 2_500_000;

/// Period over which the verifications of cached lists are spread, in microseconds per balancer. It
/// amounts to one poll per second for the whole fleet.
const VERIFY_SPREAD_PER_BALANCER_US: Micros = 1_000_000;

/// Backoff after a lost response, in microseconds per balancer of the fleet.
const LOST_RESPONSE_BACKOFF_PER_BALANCER_US: Micros = 3_000;
/// Lower limit of the maximum backoff after a lost response, in microseconds.
const MIN_LOST_RESPONSE_BACKOFF_US: Micros = 40_000;
/// Upper limit of the maximum backoff after a lost response, in microseconds.
const MAX_LOST_RESPONSE_BACKOFF_US: Micros = 500_000;

/// The settings that the polling schedule depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollingSettings {
    /// Maximum time between polls, in microseconds; `None` where discovery pushes lists.
    pub max_poll_interval: Option<Micros>,
    /// Number of balancers that share discovery.
    pub balancers: usize,
}

impl PollingSettings {
    /// Returns the maximum wait of a watch, in microseconds.
    pub(super) fn watch_wait(self) -> Micros {
        let Some(interval) = self.max_poll_interval else {
            return MAX_WATCH_WAIT_US;
        };
        let spread = self.balancers as u64 * WATCH_WAIT_PER_BALANCER_US;
        ((interval as f64 * WATCH_WAIT_FRACTION) as Micros)
            .max(spread)
            .min(MAX_WATCH_WAIT_US)
    }

    /// Returns the maximum backoff before a failed poll is repeated, in microseconds.
    pub(super) fn max_backoff(self) -> Micros {
        match self.max_poll_interval {
            None => MAX_BACKOFF_PUSH_MODE_US,
            Some(_) => (self.balancers as u64 * MAX_BACKOFF_PER_BALANCER_US)
                .clamp(MAX_BACKOFF_SMALL_FLEET_US, MAX_BACKOFF_US),
        }
    }

    /// Returns the maximum backoff before a poll whose response was lost is repeated, in
    /// microseconds.
    pub(super) fn max_lost_response_backoff(self) -> Micros {
        (self.balancers as u64 * LOST_RESPONSE_BACKOFF_PER_BALANCER_US)
            .clamp(MIN_LOST_RESPONSE_BACKOFF_US, MAX_LOST_RESPONSE_BACKOFF_US)
    }

    /// Returns the maximum delay of the first poll after the start of a process, in microseconds.
    /// The delay is zero if discovery pushes lists, as changes then count as delivered from the
    /// start of the process.
    pub(super) fn max_first_poll_delay(self) -> Micros {
        let limit = match self.max_poll_interval {
            Some(_) => MAX_FIRST_POLL_DELAY_US,
            None => 0,
        };
        let others = self.balancers.saturating_sub(SIMULTANEOUS_FIRST_POLLS) as u64;
        (others * FIRST_POLL_SPREAD_PER_BALANCER_US).min(limit)
    }

    /// Returns the period over which the verifications of cached lists are spread, in microseconds.
    pub(super) fn verify_spread(self) -> Micros {
        self.balancers as u64 * VERIFY_SPREAD_PER_BALANCER_US
    }
}
