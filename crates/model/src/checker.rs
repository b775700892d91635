//! Checks the four safety rules against observations made outside the balancers.
//!
//! 1. Every received request gets exactly one final response before its deadline, and no attempt of
//!    it starts afterwards.
//! 2. No request is processed twice. A non-idempotent request is retried or rejected only if each
//!    earlier attempt was provably not processed. A request with an idempotency key is retried only
//!    within the scope and window of the key; after an attempt that may have been processed, it is
//!    rejected only if the scope of the key is all servers.
//! 3. No attempt is sent to a draining or removed server after the grace period.
//! 4. No server in slow start receives more work than the allowed multiple of its capacity.
//!
//! Each observation has the time at which it was made. Observations can be recorded in a different
//! order, because the exact order of events on sockets is unknown. The rules therefore compare
//! times, with the slack of the scenario as tolerance.

mod observation;
mod rules;

use std::collections::{BTreeMap, VecDeque};

pub use observation::{AttemptTarget, Observation, Outcome, Violation};

use crate::scenario::{RequestClass, Rules, Scenario};
use crate::{Micros, SECOND};

/// Time after its deadline for which a request is retained, in microseconds, since observations can
/// be recorded late.
const RETENTION_US: Micros = 15 * SECOND;
/// Time after its last observation for which a request is retained that was not observed to be
/// received by a balancer, in microseconds.
const UNRECEIVED_RETENTION_US: Micros = 4 * RETENTION_US;
/// Number of recorded observations between two removals of expired requests.
const CLEANUP_INTERVAL: u64 = 4096;

/// The balancer that received a request, and the class and deadline of the request.
#[derive(Clone, Copy)]
struct Received {
    balancer: usize,
    class: usize,
    deadline: Micros,
}

/// All observations of one request.
#[derive(Default)]
struct RequestHistory {
    observations: Vec<(Micros, Observation)>,
    received: Option<Received>,
    answered_at: Option<Micros>,
    connection_lost: bool,
    /// Whether no response is required, because the client disconnected or the balancer was killed
    /// or suspended.
    excused: bool,
    disconnected_at: Option<Micros>,
}

impl RequestHistory {
    /// Whether the final response is due and missing.
    fn is_response_missing(&self, now: Micros, rules: &Rules) -> bool {
        let is_due = self.received.is_some_and(|received| {
            self.connection_lost || now > received.deadline + rules.response_tolerance()
        });
        is_due && self.answered_at.is_none() && !self.excused
    }

    fn is_expired(&self, now: Micros) -> bool {
        if let Some(received) = self.received {
            received.deadline + RETENTION_US < now
        } else {
            let last = self.observations.last();
            last.is_none_or(|(at, _)| at + UNRECEIVED_RETENTION_US < now)
        }
    }
}

/// Work received by a server. Work is core time at speed 1, in microseconds.
struct ReceivedWork {
    at: Micros,
    work: f64,
}

/// Observations of one server.
#[derive(Default)]
struct ServerHistory {
    /// Work received within the overload window, while in slow start.
    slow_start_work: VecDeque<ReceivedWork>,
    /// Whether `slow_start_work` exceeds the limit.
    is_over_limit: bool,
    /// Time at which each balancer was first notified that the server is draining.
    drain_notified_at: BTreeMap<usize, Micros>,
}

/// Records observations and detects violations. Memory is bounded because requests are removed some
/// time after their deadline.
pub struct Checker {
    rules: Rules,
    classes: Vec<RequestClass>,
    requests: BTreeMap<u64, RequestHistory>,
    servers: BTreeMap<usize, ServerHistory>,
    /// Time at which each balancer was last killed, suspended or resumed.
    interrupted_at: BTreeMap<usize, Micros>,
    violations: Vec<Violation>,
    /// Number of recorded observations.
    recorded: u64,
}

impl Checker {
    /// Creates a checker with the rules and classes of a scenario.
    pub fn new(scenario: &Scenario) -> Self {
        let classes = scenario.classes.iter();
        Self {
            rules: scenario.rules.clone(),
            classes: classes.map(|class| class.get_ref().clone()).collect(),
            requests: BTreeMap::new(),
            servers: BTreeMap::new(),
            interrupted_at: BTreeMap::new(),
            violations: Vec::new(),
            recorded: 0,
        }
    }

    /// Returns the violations detected so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns the number of retained requests.
    pub fn retained(&self) -> usize {
        self.requests.len()
    }

    /// Records an observation that was made at the time `at`.
    pub fn record(&mut self, at: Micros, observation: Observation) {
        self.retain(at, observation);
        match observation {
            Observation::RequestReceived {
                request,
                balancer,
                class,
                deadline,
            } => {
                let received = Received {
                    balancer,
                    class,
                    deadline,
                };
                self.request_received(at, request, received);
            }
            Observation::AttemptReceived {
                request,
                target,
                started_at,
                work,
            } => self.attempt_received(at, request, target, started_at, work),
            Observation::ResponseReceived {
                request,
                outcome,
                is_genuine,
            } => self.response_received(at, request, outcome, is_genuine),
            Observation::TimeoutAdvertised { .. } => self.check_advertised_timeout(at, observation),
            Observation::ConnectionLost { .. } | Observation::ClientDisconnected { .. } => {
                self.connection_ended(at, observation);
            }
            Observation::EndpointReported {
                balancer,
                server,
                is_draining,
            } => self.endpoint_reported(at, balancer, server, is_draining),
            Observation::BalancerKilled { balancer } => self.balancer_killed(at, balancer),
            Observation::BalancerStalled { balancer } => self.excuse_requests(at, balancer),
            Observation::ServerOverloaded { server } => {
                self.add_violation(4, at, None, format!("s{server} overloaded in slow start"));
            }
            Observation::AttemptNotProcessed { .. } | Observation::AttemptProcessed { .. } => {}
        }
    }

    /// Adds an observation to the history of its request.
    fn retain(&mut self, at: Micros, observation: Observation) {
        self.recorded += 1;
        if self.recorded.is_multiple_of(CLEANUP_INTERVAL) {
            self.remove_expired(at);
        }
        if let Some(request) = observation.request() {
            let history = self.requests.entry(request).or_default();
            history.observations.push((at, observation));
        }
    }

    /// Checks at the end of a scenario that no response is missing.
    pub fn finish(&mut self, now: Micros) {
        let histories = self.requests.iter();
        let missing: Vec<u64> = histories
            .filter(|(_, history)| history.is_response_missing(now, &self.rules))
            .map(|(request, _)| *request)
            .collect();
        for request in missing {
            self.add_violation(1, now, Some(request), "no final response");
        }
    }

    /// Adds a violation that was detected outside the checker and concerns no recorded request.
    pub fn record_violation(&mut self, rule: u8, at: Micros, description: String) {
        self.add_violation(rule, at, None, description);
    }

    fn add_violation(
        &mut self,
        rule: u8,
        at: Micros,
        request: Option<u64>,
        description: impl Into<String>,
    ) {
        let history = request
            .and_then(|request| self.requests.get(&request))
            .map(|history| history.observations.clone())
            .unwrap_or_default();
        self.violations.push(Violation {
            rule,
            at,
            request,
            description: description.into(),
            history,
        });
    }

    fn connection_ended(&mut self, at: Micros, observation: Observation) {
        let request = observation.request();
        let Some(history) = request.and_then(|request| self.requests.get_mut(&request)) else {
            return;
        };
        if matches!(observation, Observation::ConnectionLost { .. }) {
            history.connection_lost = true;
        } else {
            history.excused = true;
            history.disconnected_at.get_or_insert(at);
        }
    }

    fn endpoint_reported(&mut self, at: Micros, balancer: usize, server: usize, is_draining: bool) {
        let notified = &mut self.servers.entry(server).or_default().drain_notified_at;
        if is_draining {
            notified.entry(balancer).or_insert(at);
        } else {
            notified.remove(&balancer);
        }
    }

    fn balancer_killed(&mut self, at: Micros, balancer: usize) {
        self.excuse_requests(at, balancer);
        // The next process of the balancer is notified again, and the grace period starts then.
        for server in self.servers.values_mut() {
            server.drain_notified_at.remove(&balancer);
        }
    }

    /// Marks the open requests of a balancer as requiring no response.
    fn excuse_requests(&mut self, at: Micros, balancer: usize) {
        self.interrupted_at.insert(balancer, at);
        for history in self.requests.values_mut() {
            let received = history.received;
            let is_open = history.answered_at.is_none()
                && received.is_some_and(|received| received.balancer == balancer);
            history.excused |= is_open;
        }
    }

    /// Removes expired requests, and reports those whose response is missing.
    fn remove_expired(&mut self, now: Micros) {
        let histories = self.requests.iter();
        let expired: Vec<u64> = histories
            .filter(|(_, history)| history.is_expired(now))
            .map(|(request, _)| *request)
            .collect();
        for request in expired {
            let history = self.requests.get(&request);
            if history.is_some_and(|history| history.is_response_missing(now, &self.rules)) {
                self.add_violation(1, now, Some(request), "no final response");
            }
            self.requests.remove(&request);
        }
    }
}

#[cfg(test)]
mod tests;
