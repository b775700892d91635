//! Whether a request may be attempted (again), how long an attempt may take, and the answer to a
//! request that is not served.
//!
//! Invariants: never two attempts of a request in flight; no second run where idempotency forbids
//! it; a rejection only where a retry by the client is harmless.

use crate::balancer::Balancer;
use crate::state::request::{Attempt, Request};
use crate::time_margin::start_deadline;
use crate::{Host, Idempotency, IdempotencyScope, Micros};

use super::queueing::QUEUE_CHECK_INTERVAL_US;

/// Endpoints that may lose their connections under a request: it may be the cause, so there is no
/// third.
const MAX_LOST_CONNECTIONS: usize = 2;
/// Expected latencies after which a rejected request may be retried.
const RETRY_AFTER_LATENCIES: f64 = 0.5;
/// Percentage of failed attempts at an endpoint beyond which responses count as lost.
pub(crate) const MAX_FAILURE_PERCENT: u64 = 10;
/// Where responses are lost: expected latencies that an attempt may take.
const ATTEMPT_TIMEOUT_LATENCIES: f64 = 3.0;
/// Least and greatest fraction of the time to the objective that such an attempt may take.
const MIN_ATTEMPT_TIME_FRACTION: f64 = 0.5;
const MAX_ATTEMPT_TIME_FRACTION: f64 = 0.85;

impl<H: Host> Balancer<H> {
    /// Whether one more attempt of a request may be sent to this endpoint.
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

    /// Whether the endpoint of an attempt lost its connection and has not answered anybody since.
    fn appears_down(&self, attempt: &Attempt) -> bool {
        attempt
            .connection_lost_at
            .is_some_and(|lost_at| self.endpoints[attempt.endpoint].last_success <= lost_at)
    }

    /// Whether this endpoint discards a second run, where the request may have run elsewhere.
    fn in_idempotency_scope(&self, request: &Request, index: usize) -> bool {
        let Idempotency::IdempotencyKey { scope, .. } =
            self.settings.classes[request.class].idempotency
        else {
            return true;
        };
        let endpoint = &self.endpoints[index];
        request.attempts_that_may_have_run().all(|attempt| {
            let earlier = &self.endpoints[attempt.endpoint];
            match scope {
                IdempotencyScope::All => true,
                IdempotencyScope::Zone => earlier.zone == endpoint.zone,
                IdempotencyScope::Cell => earlier.cell == endpoint.cell,
            }
        })
    }

    /// Whether a request may be attempted at all, now or later.
    pub(crate) fn may_attempt(&self, now: Micros, request: &Request) -> bool {
        let max_attempts = self.settings.max_attempts.min(request.max_attempts);
        self.may_run_again(now, request)
            && now < request.deadline
            && !request.response_started
            && request.attempts.len() < max_attempts
            && request.attempt_in_flight().is_none()
    }

    /// Whether idempotency allows another run now.
    fn may_run_again(&self, now: Micros, request: &Request) -> bool {
        let mut earlier = request.attempts_that_may_have_run();
        match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => earlier.next().is_none(),
            Idempotency::IdempotencyKey { window, .. } => {
                earlier.all(|attempt| now < start_deadline(attempt.sent_at, window))
            }
        }
    }

    /// Time at which an attempt times out. Where responses are lost, it leaves time for another
    /// attempt.
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

    /// Answers a request that is not served: rejects it where a retry by the client is harmless,
    /// else fails it.
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
