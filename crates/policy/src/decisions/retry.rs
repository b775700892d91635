//! Conditions of attempts and retries, timeouts of attempts, and the answer to a request that is
//! not served.
//!
//! Invariants: two attempts of a request are never in flight at the same time; a request does not
//! run a second time if its idempotency forbids it; a request is rejected only if a retry by the
//! client is safe.

use crate::balancer::Balancer;
use crate::state::request::{Attempt, Request};
use crate::time_margin::start_deadline;
use crate::{Host, Idempotency, IdempotencyScope, Micros};

use super::queueing::QUEUE_CHECK_INTERVAL_US;

/// Maximum number of endpoints that may lose their connection during attempts of a request. The
/// request may be the cause, so a third attempt is not made.
const MAX_LOST_CONNECTIONS: usize = 2;
/// Time after which a rejected request may be retried, as a multiple of the expected latency.
const RETRY_AFTER_LATENCIES: f64 = 0.5;
/// Percentage of failed attempts above which an endpoint is assumed to lose responses, so that
/// attempts time out early if they cannot be cancelled.
pub(crate) const MAX_FAILURE_PERCENT: u64 = 10;
/// Timeout of an attempt if responses are lost, as a multiple of the expected latency.
const ATTEMPT_TIMEOUT_LATENCIES: f64 = 3.0;
/// Lower bound of the timeout of an attempt if responses are lost, as a fraction of the time to the
/// objective.
const MIN_ATTEMPT_TIME_FRACTION: f64 = 0.5;
/// Upper bound of the timeout of an attempt if responses are lost, as a fraction of the time to the
/// objective.
const MAX_ATTEMPT_TIME_FRACTION: f64 = 0.85;

impl<H: Host> Balancer<H> {
    /// Returns whether one more attempt of a request may be sent to this endpoint.
    pub(crate) fn is_attempt_permitted(
        &self,
        now: Micros,
        request: &Request,
        index: usize,
    ) -> bool {
        let lost = request
            .attempts
            .iter()
            .filter(|sent| self.appears_down(sent));
        self.endpoints[index].ready
            && self.slow_start_budget(now, index).allows(request.work)
            && lost.count() < MAX_LOST_CONNECTIONS
            && self.in_idempotency_scope(request, index)
            && self.may_attempt(now, request)
    }

    /// Returns whether the endpoint of an attempt lost its connection and has served no request
    /// since.
    fn appears_down(&self, attempt: &Attempt) -> bool {
        attempt
            .connection_lost_at
            .is_some_and(|lost_at| self.endpoints[attempt.endpoint].last_success <= lost_at)
    }

    /// Returns whether this endpoint may receive a request that may have run elsewhere: with an
    /// idempotency key, only an endpoint that discards a second run.
    fn in_idempotency_scope(&self, request: &Request, index: usize) -> bool {
        let Idempotency::IdempotencyKey { scope, .. } =
            self.settings.classes[request.class].idempotency
        else {
            return true;
        };
        let location = self.endpoints[index].known_location();
        let mut earlier = request.attempts_that_may_have_run();
        earlier.all(|attempt| scope.is_shared(attempt.location, location))
    }

    /// Returns whether a request may be attempted at all, now or later.
    pub(crate) fn may_attempt(&self, now: Micros, request: &Request) -> bool {
        let max_attempts = self.settings.max_attempts.min(request.max_attempts);
        self.may_run_again(now, request)
            && now < request.deadline
            && !request.response_started
            && request.attempts.len() < max_attempts
            && request.attempt_in_flight().is_none()
    }

    /// Returns whether idempotency allows another run now, at any endpoint. It does not if it is
    /// unknown which endpoints would discard the run.
    fn may_run_again(&self, now: Micros, request: &Request) -> bool {
        let mut earlier = request.attempts_that_may_have_run();
        match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => earlier.next().is_none(),
            Idempotency::IdempotencyKey { scope, window } => earlier.all(|attempt| {
                let shares_keys = scope.is_shared(attempt.location, attempt.location);
                shares_keys && now < start_deadline(attempt.sent_at, window)
            }),
        }
    }

    /// Returns the time at which an attempt times out. If responses are lost, the timeout leaves
    /// time for another attempt.
    pub(crate) fn attempt_deadline(&self, now: Micros, request: &Request, index: usize) -> Micros {
        let endpoint_is_lossy = self.endpoints[index].failure_percent > MAX_FAILURE_PERCENT
            && !self.settings.can_cancel;
        let is_lossy = endpoint_is_lossy || self.class_latency[request.class].is_lossy(now);
        if !is_lossy
            || !self.settings.classes[request.class]
                .idempotency
                .allows_repeat()
        {
            return request.deadline;
        }
        let remaining = request.objective_at.saturating_sub(now) as f64;
        let least = MIN_ATTEMPT_TIME_FRACTION * remaining;
        let most = MAX_ATTEMPT_TIME_FRACTION * remaining;
        let usual = ATTEMPT_TIMEOUT_LATENCIES * self.expected_latency(request.class);
        let timeout = usual.clamp(least, most) as Micros;
        (now + timeout.max(QUEUE_CHECK_INTERVAL_US)).min(request.deadline)
    }

    /// Answers a request that is not served: rejects it if a retry by the client is safe, and fails
    /// it otherwise.
    pub(crate) fn reject_or_fail(&mut self, now: Micros, request: Request) {
        let may_have_run = request.attempts_that_may_have_run().next().is_some();
        let discarded_everywhere = matches!(
            self.settings.classes[request.class].idempotency,
            Idempotency::Idempotent
                | Idempotency::IdempotencyKey {
                    scope: IdempotencyScope::All,
                    ..
                }
        );
        if !may_have_run || discarded_everywhere {
            let expected = self.expected_latency(request.class);
            let retry_after = (RETRY_AFTER_LATENCIES * expected) as Micros;
            let retry_after = retry_after.min(self.settings.max_retry_after);
            self.host.reject(&request.id, retry_after);
        } else {
            self.host.fail(&request.id);
        }
        self.close(now, request);
    }
}
