//! Checks of the safety rules for requests, attempts and responses.

use super::{AttemptTarget, Checker, Observation, Outcome, Received, ReceivedWork, RequestHistory};
use crate::Micros;
use crate::scenario::{Idempotency, IdempotencyScope, RequestClass};

/// Time after the client disconnected within which an attempt may still start, in microseconds, in
/// addition to the slack.
const DISCONNECT_TOLERANCE_US: Micros = 100_000;
/// Amount by which an attempt may advertise more than the remaining time, in microseconds, in
/// addition to the slack.
const ADVERTISED_TOLERANCE_US: Micros = 150_000;

/// An attempt that may have been processed.
#[derive(Clone, Copy)]
struct PossibleExecution {
    at: Micros,
    target: AttemptTarget,
}

impl RequestHistory {
    /// Returns the attempts that may have been processed, because no observation proves the
    /// contrary.
    fn possible_executions(&self) -> Vec<PossibleExecution> {
        let mut runs: Vec<PossibleExecution> = Vec::new();
        for (at, observation) in &self.observations {
            match observation {
                Observation::AttemptReceived { target, .. } => runs.push(PossibleExecution {
                    at: *at,
                    target: *target,
                }),
                Observation::AttemptNotProcessed { server, .. } => {
                    let proven = runs.iter().position(|run| run.target.server == *server);
                    if let Some(index) = proven {
                        runs.remove(index);
                    }
                }
                _ => {}
            }
        }
        runs
    }
}

impl Checker {
    pub(super) fn request_received(&mut self, at: Micros, request: u64, received: Received) {
        let interrupted_at = self.interrupted_at.get(&received.balancer);
        let is_interrupted = interrupted_at.is_some_and(|interrupted| *interrupted >= at);
        let history = self.requests.entry(request).or_default();
        history.received = Some(received);
        history.excused |= is_interrupted;
        // Attempts and the response may have been recorded before the request.
        let answered_at = history.answered_at;
        let earlier: Vec<_> = history
            .observations
            .iter()
            .map(|(_, observation)| *observation)
            .collect();
        for observation in earlier {
            self.check_advertised_timeout(at, observation);
        }
        if let Some(answered_at) = answered_at {
            self.check_deadline(request, answered_at);
        }
    }

    /// Checks rule 1: the response arrives before the deadline.
    fn check_deadline(&mut self, request: u64, at: Micros) {
        let history = self.requests.get(&request);
        let Some(received) = history
            .filter(|history| !history.excused)
            .and_then(|history| history.received)
        else {
            return;
        };
        if at > received.deadline + self.rules.response_tolerance() {
            let late = at - received.deadline;
            let description = format!("answered {late} us after its deadline");
            self.add_violation(1, at, Some(request), description);
        }
    }

    /// Checks rule 1: an attempt advertises at most the time that remains until the deadline.
    pub(super) fn check_advertised_timeout(&mut self, at: Micros, observation: Observation) {
        let Observation::TimeoutAdvertised {
            request,
            started_at,
            remaining,
        } = observation
        else {
            return;
        };
        let history = self.requests.get(&request);
        let Some(received) = history.and_then(|history| history.received) else {
            return;
        };
        let tolerance = ADVERTISED_TOLERANCE_US + self.rules.slack.0;
        if started_at + remaining > received.deadline + tolerance {
            let actual = received.deadline.saturating_sub(started_at);
            let description = format!("advertised {remaining} us remaining instead of {actual} us");
            self.add_violation(1, at, Some(request), description);
        }
    }

    pub(super) fn response_received(
        &mut self,
        at: Micros,
        request: u64,
        outcome: Outcome,
        is_genuine: bool,
    ) {
        let history = self.requests.entry(request).or_default();
        if history.answered_at.replace(at).is_some() {
            return self.add_violation(1, at, Some(request), "a second final response");
        }
        let received = history.received;
        let may_be_processed = !history.possible_executions().is_empty();
        self.check_deadline(request, at);
        if !is_genuine {
            let description = "answered with a body that no server sent for this request";
            self.add_violation(1, at, Some(request), description);
        }
        let Some(class) = received.and_then(|received| self.classes.get(received.class)) else {
            return;
        };
        if outcome == Outcome::Rejected && may_be_processed && !is_safe_to_reject(class) {
            let description = "rejected although an attempt may have been processed";
            self.add_violation(2, at, Some(request), description);
        }
    }

    pub(super) fn attempt_received(
        &mut self,
        at: Micros,
        request: u64,
        target: AttemptTarget,
        started_at: Micros,
        work: f64,
    ) {
        self.check_attempt_is_needed(at, request, started_at);
        self.check_idempotency(at, request, target, started_at);
        self.check_drain(at, request, target, started_at);
        self.check_slow_start(at, request, target, work);
    }

    /// Checks rule 1: no attempt starts after the final response, or after the client disconnected.
    fn check_attempt_is_needed(&mut self, at: Micros, request: u64, started_at: Micros) {
        let slack = self.rules.slack.0;
        let history = self.requests.entry(request).or_default();
        let (answered_at, disconnected_at) = (history.answered_at, history.disconnected_at);
        if let Some(disconnected_at) = disconnected_at
            && started_at > disconnected_at + DISCONNECT_TOLERANCE_US + slack
        {
            let late = started_at - disconnected_at;
            let description = format!("sent {late} us after its client disconnected");
            self.add_violation(1, at, Some(request), description);
        }
        if let Some(answered_at) = answered_at
            && started_at > answered_at + slack
        {
            let late = started_at - answered_at;
            let description = format!("sent {late} us after its final response");
            self.add_violation(1, at, Some(request), description);
        }
    }

    /// Checks rule 2: no request is processed twice.
    fn check_idempotency(
        &mut self,
        at: Micros,
        request: u64,
        target: AttemptTarget,
        started_at: Micros,
    ) {
        let Some(history) = self.requests.get(&request) else {
            return;
        };
        let class = history
            .received
            .and_then(|received| self.classes.get(received.class));
        // The last possible execution is this attempt.
        let mut earlier = history.possible_executions();
        earlier.pop();
        let slack = self.rules.slack.0;
        let description = class.and_then(|class| match class.idempotency {
            Idempotency::Idempotent => None,
            Idempotency::NonIdempotent => {
                (!earlier.is_empty()).then_some("a non-idempotent request sent again")
            }
            Idempotency::IdempotencyKey => earlier
                .iter()
                .find_map(|run| unsafe_retry_reason(class, run, target, started_at, slack)),
        });
        if let Some(description) = description {
            self.add_violation(2, at, Some(request), description);
        }
    }

    /// Checks rule 3: no attempt starts at a draining server after the grace period.
    fn check_drain(&mut self, at: Micros, request: u64, target: AttemptTarget, started_at: Micros) {
        let history = self.requests.get(&request);
        let Some(received) = history.and_then(|history| history.received) else {
            return;
        };
        let server = self.servers.get(&target.server);
        let notified_at =
            server.and_then(|server| server.drain_notified_at.get(&received.balancer).copied());
        if let Some(notified_at) = notified_at
            && started_at > notified_at + self.rules.drain_grace.0 + self.rules.slack.0
        {
            let late = started_at - notified_at;
            let description = format!(
                "sent to s{} {late} us after the balancer was notified that it is draining",
                target.server
            );
            self.add_violation(3, at, Some(request), description);
        }
    }

    /// Checks rule 4: a server in slow start receives at most the allowed multiple of its capacity.
    fn check_slow_start(&mut self, at: Micros, request: u64, target: AttemptTarget, work: f64) {
        let window = self.rules.slow_start_overload_window.0;
        let server = self.servers.entry(target.server).or_default();
        let Some(capacity) = target.slow_start_capacity else {
            server.slow_start_work.clear();
            return;
        };
        let received = &mut server.slow_start_work;
        while received
            .front()
            .is_some_and(|first| first.at + window <= at)
        {
            received.pop_front();
        }
        received.push_back(ReceivedWork { at, work });
        let total: f64 = received.iter().map(|received| received.work).sum();
        let is_over = total > self.rules.slow_start_overload_factor * capacity * window as f64;
        let was_over = std::mem::replace(&mut server.is_over_limit, is_over);
        if is_over && !was_over {
            let multiple = total / (capacity * window as f64);
            let description = format!(
                "s{} received {multiple:.1} times its capacity in slow start",
                target.server
            );
            self.add_violation(4, at, Some(request), description);
        }
    }
}

/// Whether a request may be rejected although an attempt may have been processed, because a retry
/// of the client is not processed twice or is harmless.
fn is_safe_to_reject(class: &RequestClass) -> bool {
    match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::IdempotencyKey => class.scope == IdempotencyScope::All,
        Idempotency::NonIdempotent => false,
    }
}

/// Returns the reason why a further attempt of a request with an idempotency key may be processed
/// again, or `None` if its server discards duplicates of the earlier attempt.
fn unsafe_retry_reason(
    class: &RequestClass,
    earlier: &PossibleExecution,
    target: AttemptTarget,
    started_at: Micros,
    slack: Micros,
) -> Option<&'static str> {
    let is_in_scope = match class.scope {
        IdempotencyScope::All => true,
        IdempotencyScope::Zone => earlier.target.zone == target.zone,
        IdempotencyScope::Cell => earlier.target.cell == target.cell,
    };
    if !is_in_scope {
        return Some("a request with an idempotency key sent again outside its scope");
    }
    let is_late = started_at > earlier.at + class.idempotency_window.0 + slack;
    is_late.then_some("a request with an idempotency key sent again after its window")
}
