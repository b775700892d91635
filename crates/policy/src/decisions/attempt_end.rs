//! The end of an attempt: what its outcome says of the endpoint, the class, the fleet and the
//! decision that chose it.

use crate::balancer::{AttemptEnd, Balancer};
use crate::gossip_message::GossipMessage;
use crate::scoring::learning::MAX_REWARD;
use crate::state::admission::{MAX_PRESSURE, REJECTION_PRESSURE};
use crate::state::decaying::{LONG_TERM_US, RECENT_US, SECOND_US};
use crate::state::request::Request;
use crate::{AttemptOutcome, Host, Micros};

use super::latency::AttemptLatency;

/// Latency relative to the shortest from which on it counts as late.
const LATE_TO_MIN_LATENCY_RATIO: f64 = 2.5;
/// Bounds of that latency as fractions of the latency objective, as a fleet may never be seen
/// without load.
const MIN_LATE_OBJECTIVE_FRACTION: f64 = 0.4;
const MAX_LATE_OBJECTIVE_FRACTION: f64 = 0.7;
/// Fraction of a class's latency for which an endpoint is avoided after it did not run a request.
const BACKOFF_LATENCY_FRACTION: f64 = 0.5;
/// Latency that a failure counts as, relative to the fleet's: a fast failure must not look quick.
const FAILURE_LATENCY_RATIO: f64 = 3.0;

/// An attempt that has ended.
struct EndedAttempt {
    /// Position among the attempts of its request.
    number: usize,
    /// Index of the endpoint.
    endpoint: usize,
    outcome: AttemptOutcome,
    elapsed: Micros,
    /// Latency scaled to a request of average work.
    latency: f64,
    /// How long the endpoint had been idle when it was sent.
    idle_for: Option<Micros>,
    latency_objective: Micros,
    /// Horizon of the endpoint's recent latency.
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

    /// Whether this side ended it, so that it says nothing of the endpoint.
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
    /// Cancels the attempt in flight of a request that has its answer, and releases its key.
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

    /// Records how an attempt ended.
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
        // Neither an outlier nor a client that disconnected early says anything of the endpoint.
        if is_of_outlier || ended.ended_by_balancer() {
            return self.endpoints[ended.endpoint].clear_unanswered_if_idle();
        }
        self.record_pressure(now, request, &ended);
        let reward = self.record_latency(now, request, &ended);
        let sample = request.attempts[ended.number].sample.take();
        self.learning.record(now, sample, reward);
    }

    /// Ends an attempt in its request and at its endpoint; `None` if it is not in flight.
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

    /// A connection lost at once after a time without use shows that the network drops idle
    /// connections.
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
        // The drop came some time before it showed.
        let idle_for = idle_for / 2;
        self.idle_drops.assume(now, idle_for);
        if self.settings.gossip_allowed {
            let message = GossipMessage::IdleDrops { idle_for };
            self.host.send_gossip(None, &message.to_text());
        }
    }

    /// Records whether an attempt that took longer than `unresponsive_after` was answered.
    fn record_overdue(&mut self, now: Micros, class: usize, ended: &EndedAttempt) {
        let overdue = ended.elapsed as f64 > self.unresponsive_after()
            && (ended.timed_out() || ended.succeeded());
        let [lost, weight] = [ended.timed_out(), overdue].map(|flag| f64::from(u8::from(flag)));
        self.class_latency[class]
            .overdue
            .add(now, RECENT_US, lost, weight);
    }

    /// Records how late a response came. Other outcomes are no pressure: a hung endpoint says nothing
    /// of the load.
    fn record_pressure(&mut self, now: Micros, request: &Request, ended: &EndedAttempt) {
        let objective = ended.latency_objective as f64;
        let minimum = self.class_latency[request.class].minimum;
        let late_from = (LATE_TO_MIN_LATENCY_RATIO * minimum.unwrap_or(f64::INFINITY)).clamp(
            MIN_LATE_OBJECTIVE_FRACTION * objective,
            MAX_LATE_OBJECTIVE_FRACTION * objective,
        );
        let pressure = match ended.outcome {
            AttemptOutcome::Succeeded => (ended.latency / late_from).min(MAX_PRESSURE),
            AttemptOutcome::Rejected => REJECTION_PRESSURE,
            _ => return,
        };
        self.fleet
            .pressure
            .add(now, SECOND_US, pressure, request.work);
    }

    /// Records the latency of an attempt for its endpoint, and returns the reward of the decision.
    fn record_latency(&mut self, now: Micros, request: &Request, ended: &EndedAttempt) -> f64 {
        let latency = ended.latency;
        let fleet_latency = self.fleet.latency.read().unwrap_or(latency);
        // The classes' usual latencies put all requests on one scale.
        let usual = self.class_latency[request.class].long_term.read();
        let normalized = latency * fleet_latency / usual.unwrap_or(latency).max(1.0);
        let endpoint = &mut self.endpoints[ended.endpoint];
        if !ended.timed_out() {
            endpoint.unanswered_since = None;
        }
        if ended.succeeded() {
            (endpoint.unlisted_since, endpoint.last_success) = (None, now);
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
        // How long a lost response was waited for says nothing of the endpoint's speed.
        let measured = if ended.timed_out() { 0.0 } else { normalized };
        let as_failure = measured.max(FAILURE_LATENCY_RATIO * fleet_latency);
        self.record_endpoint_latency(now, request.work, ended, as_failure);
        0.0
    }

    /// Avoids an endpoint for a while after an attempt that did not run there.
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
            .add(now, LONG_TERM_US, latency, work);
    }
}
