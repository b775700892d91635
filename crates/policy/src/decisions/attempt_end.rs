//! The end of an attempt: the effect of its outcome on the statistics of the endpoint, the class
//! and the fleet, and on the learning of decisions.

use crate::balancer::{AttemptEnd, Balancer};
use crate::gossip_message::GossipMessage;
use crate::scoring::learning::MAX_REWARD;
use crate::state::admission::{MAX_PRESSURE, REJECTION_PRESSURE};
use crate::state::decaying::{LONG_TERM_HORIZON_US, MICROS_PER_SECOND, RECENT_HORIZON_US};
use crate::state::request::Request;
use crate::{AttemptOutcome, Host, Micros};

use super::latency::AttemptLatency;

/// Ratio of a latency to the minimum latency of its class from which a response counts as late.
const LATE_TO_MIN_LATENCY_RATIO: f64 = 2.5;
/// Lower bound of the latency that counts as late, as a fraction of the latency objective. The
/// minimum latency alone is not sufficient, because a fleet may never be observed without load.
const MIN_LATE_OBJECTIVE_FRACTION: f64 = 0.4;
/// Upper bound of the latency that counts as late, as a fraction of the latency objective.
const MAX_LATE_OBJECTIVE_FRACTION: f64 = 0.7;
/// Time for which an endpoint is avoided after it did not run a request, as a fraction of the
/// recent latency of the request's class.
const BACKOFF_LATENCY_FRACTION: f64 = 0.5;
/// Latency that a failure counts as, relative to the fleet's average latency: a fast failure must
/// not count as a fast response.
const FAILURE_LATENCY_RATIO: f64 = 3.0;

/// An attempt that has ended.
struct EndedAttempt {
    /// Position of the attempt among the attempts of its request.
    number: usize,
    /// Index of the endpoint.
    endpoint: usize,
    outcome: AttemptOutcome,
    elapsed: Micros,
    /// Latency in microseconds, scaled to a request of average work.
    latency: f64,
    /// Time in microseconds for which the endpoint had been idle when the attempt was sent.
    idle_for: Option<Micros>,
    latency_objective: Micros,
    /// Horizon of the endpoint's recent latency, in microseconds.
    latency_horizon: f64,
    in_slow_start: bool,
}

impl EndedAttempt {
    fn succeeded(&self) -> bool {
        self.outcome == AttemptOutcome::Succeeded
    }

    fn timed_out(&self) -> bool {
        self.outcome == AttemptOutcome::TimedOut
    }

    /// Returns whether the balancer cancelled the attempt or did not send it; then its outcome
    /// provides no information about the endpoint.
    fn ended_by_balancer(&self) -> bool {
        matches!(
            self.outcome,
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent
        )
    }

    fn is_late(&self) -> bool {
        self.elapsed >= self.latency_objective
    }
}

impl<H: Host> Balancer<H> {
    /// Closes a request: cancels its attempt in flight, and releases its key.
    pub(crate) fn close(&mut self, now: Micros, mut request: Request) {
        if let Some(number) = request.attempt_in_flight() {
            if self.settings.can_cancel {
                self.host.cancel_attempt(&request.id, number);
            }
            let end = AttemptEnd {
                number,
                is_final: true,
                outcome: AttemptOutcome::Cancelled,
                elapsed: now.saturating_sub(request.attempts[number].sent_at),
            };
            self.record_attempt_end(now, &mut request, end);
        }
        self.release_key(now, &request);
    }

    /// Ends an attempt, and records its outcome for the endpoint, the class, the fleet and the
    /// learning of decisions. Does nothing if the attempt is not in flight.
    pub(crate) fn record_attempt_end(
        &mut self,
        now: Micros,
        request: &mut Request,
        end: AttemptEnd,
    ) {
        let Some(ended) = self.release_attempt(now, request, end) else {
            return;
        };
        self.report_attempt_ended(now, ended.endpoint, request.class, ended.outcome);
        self.detect_idle_drop(now, &ended);
        self.record_overdue(now, request.class, &ended);
        if ended.is_late() || ended.succeeded() {
            self.record_outcome(now, request, ended.elapsed);
        }
        let is_of_outlier = ended.is_late() && self.outlier_group(now, request).is_some();
        // The latency of an outlier, or of an attempt whose client disconnected early, provides no
        // information about the endpoint.
        if is_of_outlier || ended.ended_by_balancer() {
            return self.endpoints[ended.endpoint].clear_unanswered_if_idle();
        }
        self.record_pressure(now, request, &ended);
        let reward = self.record_latency(now, request, &ended);
        let sample = request.attempts[ended.number].sample.take();
        self.learning.record(now, sample, reward);
    }

    /// Ends an attempt in its request and at its endpoint; returns `None` if it is not in flight.
    fn release_attempt(
        &mut self,
        now: Micros,
        request: &mut Request,
        end: AttemptEnd,
    ) -> Option<EndedAttempt> {
        let attempt = request.attempts.get_mut(end.number)?;
        if !attempt.in_flight {
            return None;
        }
        attempt.end(now, end.outcome);
        let ended = EndedAttempt {
            number: end.number,
            endpoint: attempt.endpoint,
            outcome: end.outcome,
            elapsed: end.elapsed,
            latency: end.elapsed.max(1) as f64 / request.work,
            idle_for: attempt.idle_for,
            latency_objective: self.settings.classes[request.class].latency_objective,
            latency_horizon: self.latency_horizon(now),
            in_slow_start: self.in_slow_start(now, attempt.endpoint),
        };
        let sent_at = attempt.sent_at;
        let endpoint = &mut self.endpoints[ended.endpoint];
        endpoint.release(request.in_flight_attempt(sent_at));
        endpoint.last_used = Some(now);
        Some(ended)
    }

    /// Assumes that the network drops idle connections if an attempt that was sent after an idle
    /// time lost its connection immediately, and informs the other balancers if gossip is allowed.
    fn detect_idle_drop(&mut self, now: Micros, ended: &EndedAttempt) {
        let lost = ended.outcome == AttemptOutcome::ConnectionLost;
        let Some(idle_for) = ended.idle_for.filter(|_| lost) else {
            return;
        };
        let (elapsed, objective) = (ended.elapsed, ended.latency_objective);
        if !self
            .idle_drops
            .indicates_new_drop(now, idle_for, elapsed, objective)
        {
            return;
        }
        // The connection was dropped some time before the loss was detected, so a shorter idle time
        // is assumed.
        let idle_for = idle_for / 2;
        self.idle_drops.assume(now, idle_for);
        if self.settings.gossip_allowed {
            let message = GossipMessage::IdleDrops { idle_for };
            self.host.send_gossip(None, &message.to_text());
        }
    }

    /// Records whether an attempt that took longer than `unresponsive_after` received a response.
    fn record_overdue(&mut self, now: Micros, class: usize, ended: &EndedAttempt) {
        let overdue = ended.elapsed as f64 > self.unresponsive_after()
            && (ended.timed_out() || ended.succeeded());
        let [lost, weight] = [ended.timed_out(), overdue].map(|flag| f64::from(u8::from(flag)));
        self.class_latency[class]
            .overdue
            .add(now, RECENT_HORIZON_US, lost, weight);
    }

    /// Records the pressure of a response or a rejection. Other outcomes are ignored, because a
    /// hung endpoint provides no information about the load.
    fn record_pressure(&mut self, now: Micros, request: &Request, ended: &EndedAttempt) {
        let objective = ended.latency_objective as f64;
        let minimum = self.class_latency[request.class].minimum;
        let late_threshold = (LATE_TO_MIN_LATENCY_RATIO * minimum.unwrap_or(f64::INFINITY)).clamp(
            MIN_LATE_OBJECTIVE_FRACTION * objective,
            MAX_LATE_OBJECTIVE_FRACTION * objective,
        );
        let pressure = match ended.outcome {
            AttemptOutcome::Succeeded => (ended.latency / late_threshold).min(MAX_PRESSURE),
            AttemptOutcome::Rejected => REJECTION_PRESSURE,
            _ => return,
        };
        self.fleet
            .pressure
            .add(now, MICROS_PER_SECOND, pressure, request.work);
    }

    /// Records the latency of an attempt for its endpoint, and returns the reward of the decision.
    fn record_latency(&mut self, now: Micros, request: &Request, ended: &EndedAttempt) -> f64 {
        let latency = ended.latency;
        let fleet_latency = self.fleet.latency.read().unwrap_or(latency);
        // Division by the long-term latency of the class puts all requests on one scale.
        let class_average = self.class_latency[request.class].long_term.read();
        let normalized = latency * fleet_latency / class_average.unwrap_or(latency).max(1.0);
        let endpoint = &mut self.endpoints[ended.endpoint];
        if !ended.timed_out() {
            endpoint.unanswered_since = None;
        }
        if ended.succeeded() {
            endpoint.last_success = now;
            let measured = AttemptLatency {
                latency,
                normalized,
                in_slow_start: ended.in_slow_start,
            };
            self.record_success(now, request, ended.number, &measured);
            self.record_endpoint_latency(now, request.work, ended, normalized);
            return (fleet_latency / normalized).min(MAX_REWARD);
        }
        self.back_off(now, request.class, ended);
        // The duration of an attempt that timed out does not measure the endpoint's speed.
        let measured = if ended.timed_out() { 0.0 } else { normalized };
        let as_failure = measured.max(FAILURE_LATENCY_RATIO * fleet_latency);
        self.record_endpoint_latency(now, request.work, ended, as_failure);
        0.0
    }

    /// Sets the time until which an endpoint is avoided after a failed attempt: later than now only
    /// if the attempt did not run there.
    fn back_off(&mut self, now: Micros, class: usize, ended: &EndedAttempt) {
        let not_run = ended.outcome.proves_not_run();
        let fraction = if not_run {
            BACKOFF_LATENCY_FRACTION
        } else {
            0.0
        };
        let class_latency = self.class_latency[class].recent.read().unwrap_or(0.0);
        let backoff = (fraction * class_latency) as Micros;
        self.endpoints[ended.endpoint].backoff_until = now + backoff;
    }

    fn record_endpoint_latency(
        &mut self,
        now: Micros,
        work: f64,
        ended: &EndedAttempt,
        latency: f64,
    ) {
        let endpoint = &mut self.endpoints[ended.endpoint];
        endpoint
            .recent_latency
            .add(now, ended.latency_horizon, latency, work);
        endpoint
            .long_term_latency
            .add(now, LONG_TERM_HORIZON_US, latency, work);
    }
}
