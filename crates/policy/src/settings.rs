//! Settings of one balancer: request classes, quotas, slow start and the capabilities that the
//! deployment allows.

use crate::Micros;

/// Set of endpoints that discard a repeated request with the same idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// All endpoints share one set of keys.
    All,
    /// The endpoints of a zone share one set of keys.
    Zone,
    /// The endpoints of a cell share one set of keys.
    Cell,
}

/// Where an endpoint belongs among the sets of endpoints that share idempotency keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointLocation {
    /// Zone of the endpoint.
    pub zone: u64,
    /// Cell of the endpoint.
    pub cell: u64,
}

impl IdempotencyScope {
    /// Returns whether endpoints at these two locations share one set of keys. An unknown location
    /// (`None`) shares its keys with no other, unless all endpoints share them.
    #[must_use]
    pub fn is_shared(self, one: Option<EndpointLocation>, other: Option<EndpointLocation>) -> bool {
        let both = one.zip(other);
        match self {
            Self::All => true,
            Self::Zone => both.is_some_and(|(one, other)| one.zone == other.zone),
            Self::Cell => both.is_some_and(|(one, other)| one.cell == other.cell),
        }
    }
}

/// The effect of running a request a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A second run has no further effect.
    Idempotent,
    /// Endpoints within `scope` discard a second run that starts within `window` microseconds of
    /// the first.
    IdempotencyKey {
        /// The endpoints that share one set of idempotency keys.
        scope: IdempotencyScope,
        /// Time in microseconds for which the endpoints store the key.
        window: Micros,
    },
    /// A second run repeats the effect.
    NonIdempotent,
}

impl Idempotency {
    /// Returns whether a request that may have run may ever be sent again.
    #[must_use]
    pub fn allows_repeat(self) -> bool {
        self != Self::NonIdempotent
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Time in microseconds within which a request should be answered.
    pub latency_objective: Micros,
    /// The effect of a second run.
    pub idempotency: Idempotency,
    /// Value of one unit of work relative to the other classes; 0 for a class that is no longer
    /// configured.
    pub priority_weight: f64,
    /// Whether requests with the same key run one at a time, in the order of their arrival at this
    /// balancer.
    pub ordered_by_key: bool,
}

/// Slow start of an endpoint whose process has just started, and the overload that would make the
/// endpoint fail.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStart {
    /// Capacity at the start, as a fraction of the full capacity.
    pub initial_capacity: f64,
    /// Time in microseconds until the full capacity is reached.
    pub duration: Micros,
    /// Load, as a multiple of the current capacity, that overloads the endpoint.
    pub overload_multiple: f64,
    /// Time in microseconds over which an overload is measured.
    pub overload_window: Micros,
}

/// Settings of one balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of balancers in the fleet.
    pub balancers: usize,
    /// Index of this balancer in the fleet, counted from 0.
    pub own_index: usize,
    /// Zone of this balancer.
    pub zone: u64,
    /// Longest time in microseconds between two polls of the endpoint list; `None` if the list is
    /// pushed.
    pub max_poll_interval: Option<Micros>,
    /// Whether the endpoint list contains weights.
    pub weights_listed: bool,
    /// Whether attempts may be cancelled.
    pub can_cancel: bool,
    /// Whether endpoints report their load only in responses to probes.
    pub load_from_probes: bool,
    /// Whether endpoints report their load neither in responses to requests nor in responses to
    /// probes.
    pub load_unreported: bool,
    /// Whether balancers may send gossip to one another.
    pub gossip_allowed: bool,
    /// Maximum number of attempts of one request.
    pub max_attempts: usize,
    /// Maximum `retry_after` of a rejection, in microseconds.
    pub max_retry_after: Micros,
    /// Time in microseconds for which a key is blocked after an attempt that ended at the balancer
    /// but may still run at the endpoint.
    pub key_cooldown: Micros,
    /// Whether endpoints remain usable after they are removed from the list, unless they are
    /// draining.
    pub unlisted_stay_usable: bool,
    /// Slow start of endpoints.
    pub slow_start: SlowStart,
    /// Request classes by index.
    pub classes: Vec<RequestClass>,
    /// Requests per second that each tenant may send to the whole fleet.
    pub tenant_quotas: Vec<f64>,
}

impl Settings {
    /// Returns the classes that clients can request.
    fn configured_classes(&self) -> impl Iterator<Item = &RequestClass> {
        self.classes
            .iter()
            .filter(|class| class.priority_weight > 0.0)
    }

    pub(crate) fn shortest_latency_objective(&self) -> Micros {
        self.configured_classes()
            .map(|class| class.latency_objective)
            .min()
            .unwrap_or(0)
    }

    pub(crate) fn highest_priority_weight(&self) -> f64 {
        self.configured_classes()
            .map(|class| class.priority_weight)
            .fold(f64::MIN_POSITIVE, f64::max)
    }

    /// Returns the number of outlier groups: one for each class and each tenant.
    pub(crate) fn outlier_groups(&self) -> usize {
        self.classes.len() + self.tenant_quotas.len()
    }

    /// Returns whether loads are polled before each selection, from the endpoints or from the
    /// owners of their ledgers. A balancer with one or two requests per second cannot estimate the
    /// loads from its own responses.
    pub(crate) fn polls_loads(&self) -> bool {
        self.load_from_probes || (self.load_unreported && self.gossip_allowed)
    }
}
