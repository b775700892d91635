//! The backoff before a failed poll is repeated.

use nanorand::{Rng, WyRand};
use pinefront_policy::Micros;

use super::poll::PollFailure;
use super::settings::PollingSettings;

/// First backoff after a failed poll, in microseconds. Even with a poll without response before it
/// and 2 s in discovery's queue after it, the list is received within the 6 s of the schedule's
/// bound.
const INITIAL_BACKOFF_US: Micros = 150_000;
/// Maximum number of times that the backoff doubles.
const MAX_DOUBLINGS: u32 = 4;
/// Age of the list in microseconds from which the maximum backoff is halved, so that polls are up
/// to twice as frequent.
const STALE_LIST_AGE_US: Micros = 3_000_000;
/// Time after a lost response during which polls are repeated with a short backoff, in
/// microseconds. A connection that ended in the middle of a response or during a watch may have
/// lost a change.
const LOST_RESPONSE_WINDOW_US: Micros = 1_000_000;

/// State of the backoff: the failures since the last response.
#[derive(Default)]
pub(super) struct Backoff {
    failures: u32,
    /// When a response was lost with its connection, in microseconds; `None` after the next
    /// response.
    response_lost_at: Option<Micros>,
    /// When the last response was received, in microseconds.
    last_response_at: Option<Micros>,
}

impl Backoff {
    /// Resets the backoff after a response from discovery.
    pub fn reset(&mut self, now: Micros) {
        self.failures = 0;
        self.response_lost_at = None;
        self.last_response_at = Some(now);
    }

    /// Records that a response was lost with its connection.
    pub fn response_lost(&mut self, now: Micros) {
        self.response_lost_at.get_or_insert(now);
    }

    /// Counts a failure and returns the backoff, in microseconds. `is_queued` means that another
    /// poll is still queued at discovery.
    pub fn next_wait(
        &mut self,
        now: Micros,
        failure: PollFailure,
        is_queued: bool,
        settings: PollingSettings,
        random: &mut WyRand,
    ) -> Micros {
        let wait = if self.retries_immediately(now, failure) {
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

    fn retries_immediately(&self, now: Micros, failure: PollFailure) -> bool {
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

/// Returns the wait that discovery requested, limited to the maximum backoff.
fn requested_wait(failure: PollFailure, settings: PollingSettings) -> Micros {
    match failure {
        PollFailure::Rejected { retry_after } => {
            retry_after.unwrap_or(0).min(settings.max_backoff())
        }
        _ => 0,
    }
}
