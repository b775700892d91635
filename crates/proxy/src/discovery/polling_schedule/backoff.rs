//! How long the schedule waits before it repeats a failed poll.

use nanorand::{Rng, WyRand};
use pinefront_policy::Micros;

use super::poll::PollFailure;
use super::settings::PollingSettings;

/// The first wait after a failed poll. Together with a poll that got no response before it and a
/// queue of 2 s behind it, the list is still received within the 6 s of the schedule's bound.
const INITIAL_BACKOFF_US: Micros = 150_000;
/// The backoff doubles this often at most.
const MAX_DOUBLINGS: u32 = 4;
/// From this age on a list is polled for twice as often.
const STALE_LIST_AGE_US: Micros = 3_000_000;
/// A connection that ended inside a response, or under a watch, may have lost a change with it: for
/// so long after it the next polls follow with hardly a wait.
const LOST_RESPONSE_WINDOW_US: Micros = 1_000_000;

/// Failures since the last response.
#[derive(Default)]
pub(super) struct Backoff {
    failures: u32,
    /// When a response was lost with its connection.
    response_lost_at: Option<Micros>,
    last_response_at: Option<Micros>,
}

impl Backoff {
    /// Discovery responded.
    pub fn reset(&mut self, now: Micros) {
        self.failures = 0;
        self.response_lost_at = None;
        self.last_response_at = Some(now);
    }

    /// A response was lost with its connection.
    pub fn response_lost(&mut self, now: Micros) {
        self.response_lost_at.get_or_insert(now);
    }

    /// Counts a failure and returns how long to wait, in microseconds. `is_queued` says that
    /// another poll still waits in discovery's queue.
    pub fn next_wait(
        &mut self,
        now: Micros,
        failure: PollFailure,
        is_queued: bool,
        settings: PollingSettings,
        random: &mut WyRand,
    ) -> Micros {
        let wait = if self.retries_at_once(now, failure) {
            let longest = settings.max_lost_response_backoff();
            let shortest = if self.failures == 0 { 0 } else { longest / 2 };
            random.generate_range(shortest..=longest)
        } else {
            let wait = self.exponential(now, is_queued, settings);
            let wait = wait.max(requested_wait(failure, settings));
            wait / 2 + random.generate_range(0..=wait / 2)
        };
        self.failures += 1;
        wait
    }

    fn retries_at_once(&self, now: Micros, failure: PollFailure) -> bool {
        let is_lost = matches!(
            failure,
            PollFailure::Truncated | PollFailure::ConnectionLost
        );
        is_lost
            && self
                .response_lost_at
                .is_some_and(|at| now <= at + LOST_RESPONSE_WINDOW_US)
    }

    fn exponential(&self, now: Micros, is_queued: bool, settings: PollingSettings) -> Micros {
        let is_stale = self
            .last_response_at
            .is_some_and(|at| now >= at + STALE_LIST_AGE_US);
        let halved = is_stale && !is_queued;
        let longest = settings.max_backoff() / if halved { 2 } else { 1 };
        if is_queued {
            return longest;
        }
        (INITIAL_BACKOFF_US << self.failures.min(MAX_DOUBLINGS)).min(longest)
    }
}

/// The wait that discovery requested, as far as it is obeyed.
fn requested_wait(failure: PollFailure, settings: PollingSettings) -> Micros {
    match failure {
        PollFailure::Rejected { retry_after } => {
            retry_after.unwrap_or(0).min(settings.max_backoff())
        }
        _ => 0,
    }
}
