//! Open requests and their attempts.

use std::rc::Rc;

use crate::scoring::score::DecisionSample;
use crate::state::endpoint::InFlightAttempt;
use crate::{AttemptOutcome, EndpointLocation, Micros};

/// An attempt of a request.
pub(crate) struct Attempt {
    /// Index of the endpoint.
    pub(crate) endpoint: usize,
    /// Location of the endpoint when the attempt was sent; `None` once it is unknown which process
    /// received the attempt.
    pub(crate) location: Option<EndpointLocation>,
    pub(crate) sent_at: Micros,
    pub(crate) in_flight: bool,
    pub(crate) may_have_run: bool,
    /// Time at which its connection was lost.
    pub(crate) connection_lost_at: Option<Micros>,
    /// Time in microseconds for which the endpoint had been idle when the attempt was sent.
    pub(crate) idle_for: Option<Micros>,
    /// Number of requests reported in flight at the endpoint when the attempt was sent.
    pub(crate) load_before: Option<f64>,
    /// The decision that selected the endpoint, if it is a sample for learning.
    pub(crate) sample: Option<DecisionSample>,
}

impl Attempt {
    pub(crate) fn new(
        endpoint: usize,
        location: Option<EndpointLocation>,
        sent_at: Micros,
        sample: Option<DecisionSample>,
    ) -> Self {
        Self {
            endpoint,
            location,
            sent_at,
            in_flight: true,
            may_have_run: true,
            connection_lost_at: None,
            idle_for: None,
            load_before: None,
            sample,
        }
    }

    /// Records the end of the attempt.
    pub(crate) fn end(&mut self, now: Micros, outcome: AttemptOutcome) {
        self.in_flight = false;
        self.may_have_run = !outcome.proves_not_run();
        let connection_lost = outcome == AttemptOutcome::ConnectionLost;
        self.connection_lost_at = connection_lost.then_some(now);
    }
}

/// An open request.
pub(crate) struct Request {
    pub(crate) id: Rc<str>,
    /// Index of its class.
    pub(crate) class: usize,
    /// Index of its tenant.
    pub(crate) tenant: usize,
    /// Time by which the request should be answered to meet its latency objective.
    pub(crate) objective_at: Micros,
    /// Time at which the client stops waiting.
    pub(crate) deadline: Micros,
    /// Work relative to an average request of its class.
    pub(crate) work: f64,
    pub(crate) within_quota: bool,
    /// Whether part of the response was received, after which no attempt may follow.
    pub(crate) response_started: bool,
    /// Lowest limit of attempts in earlier settings since the request arrived.
    pub(crate) max_attempts: usize,
    pub(crate) attempts: Vec<Attempt>,
    /// Key by which the request is ordered, if its class is ordered by key.
    pub(crate) order_key: Option<u64>,
    /// Whether the end of its last attempt was not reported yet. Two attempts are never in flight
    /// at the same time.
    pub(crate) outcome_pending: bool,
    /// Endpoints whose load was requested and not received yet.
    pub(crate) pending_loads: Vec<usize>,
    /// Endpoints whose load was received or was already fresh.
    pub(crate) known_loads: Vec<usize>,
}

impl Request {
    pub(crate) fn new(
        id: Rc<str>,
        class: usize,
        objective_at: Micros,
        deadline: Micros,
        work: f64,
        within_quota: bool,
    ) -> Self {
        Self {
            id,
            class,
            tenant: 0,
            objective_at,
            deadline,
            work,
            within_quota,
            response_started: false,
            max_attempts: usize::MAX,
            attempts: Vec::new(),
            order_key: None,
            outcome_pending: false,
            pending_loads: Vec::new(),
            known_loads: Vec::new(),
        }
    }

    /// Returns whether the request was never sent.
    pub(crate) fn is_unsent(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns the position of the attempt in flight among the attempts.
    pub(crate) fn attempt_in_flight(&self) -> Option<usize> {
        self.attempts.iter().position(|attempt| attempt.in_flight)
    }

    /// Returns the attempts that may have run at an endpoint.
    pub(crate) fn attempts_that_may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.may_have_run)
    }

    /// Records that it is unknown which process received the attempts at an endpoint.
    pub(crate) fn forget_location(&mut self, endpoint: usize) {
        let attempts = self.attempts.iter_mut();
        for attempt in attempts.filter(|attempt| attempt.endpoint == endpoint) {
            attempt.location = None;
        }
    }

    /// Returns the entry with which an endpoint records an attempt of this request that was sent at
    /// `sent_at`.
    pub(crate) fn in_flight_attempt(&self, sent_at: Micros) -> InFlightAttempt {
        InFlightAttempt {
            sent_at,
            work: self.work,
        }
    }

    /// Returns the earlier of latency objective and deadline.
    pub(crate) fn answer_by(&self) -> Micros {
        self.objective_at.min(self.deadline)
    }
}
