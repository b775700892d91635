//! The scenario file: servers, traffic, faults and scoring, decoded from TOML.
//! [`crate::validation`] checks the values.
//!
//! Keys of the file are part of its format. Where a field has another name than its key, `serde`
//! maps it.

mod defaults;
mod fault;

pub use fault::{FactorRange, Fault, FaultKind};
use serde::{Deserialize, Deserializer, de};
use toml::Spanned;

use crate::{Micros, SECOND};

/// A duration written as `"300ms"`, `"5s"` or `"2m"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Micros);

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let span = humantime::parse_duration(&text).map_err(|problem| {
            de::Error::custom(format!("'{text}' is no span such as \"300ms\": {problem}"))
        })?;
        Micros::try_from(span.as_micros())
            .map(Span)
            .map_err(|_| de::Error::custom("the span is too long"))
    }
}

/// A complete scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name, shown with the results.
    pub name: String,
    /// Description for readers of the file.
    #[serde(default)]
    pub about: String,
    /// How long traffic arrives.
    pub length: Spanned<Span>,
    /// Seed of all random draws.
    #[serde(default = "defaults::seed")]
    pub seed: u64,
    /// Number of balancers that traffic is distributed over.
    #[serde(default = "defaults::balancers")]
    pub balancers: Spanned<usize>,
    /// Number of named duties for which the balancers of a cluster hold leases.
    #[serde(default)]
    pub duties: usize,
    /// Whether one balancer of each zone polls discovery and shares the endpoint list with the
    /// others.
    #[serde(default, rename = "roster")]
    pub shared_endpoint_list: bool,
    /// Limits of the four rules and of what balancers may do.
    #[serde(default)]
    pub rules: Rules,
    /// The servers.
    #[serde(default)]
    pub fleet: Fleet,
    /// Machine types of the servers.
    #[serde(default = "defaults::machines")]
    pub machines: Vec<Spanned<Machine>>,
    /// How balancers learn of servers.
    #[serde(default)]
    pub discovery: Discovery,
    /// Request classes.
    #[serde(default = "defaults::classes", rename = "use_cases")]
    pub classes: Vec<Spanned<RequestClass>>,
    /// What clients send.
    #[serde(default)]
    pub traffic: Traffic,
    /// Tenants with a request quota.
    #[serde(default)]
    pub tenants: Vec<Spanned<Tenant>>,
    /// Faults with the time at which each starts.
    #[serde(default)]
    pub faults: Vec<Spanned<Fault>>,
    /// Weights of the service score.
    #[serde(default)]
    pub service: ServiceWeights,
}

/// Limits of the four rules, and what balancers may do.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// How long a balancer may still send to a server after it was notified that the server drains.
    pub drain_grace: Span,
    /// Tolerance added to each time limit for delays of sockets and the machine.
    pub slack: Span,
    /// How late a final response may be before it counts as missing, where this exceeds the slack.
    #[serde(rename = "late")]
    pub late_response_limit: Span,
    /// Fraction of its capacity that a server has when it starts; capacity rises linearly from
    /// there.
    #[serde(rename = "cold_from")]
    pub slow_start_capacity: f64,
    /// Duration of slow start.
    #[serde(rename = "warm_after")]
    pub slow_start_duration: Span,
    /// A server in slow start crashes when the work received within `slow_start_overload_window`
    /// exceeds this multiple of what it can process.
    #[serde(rename = "cold_multiple")]
    pub slow_start_overload_factor: f64,
    /// Window over which work is summed for `slow_start_overload_factor`.
    #[serde(rename = "cold_span")]
    pub slow_start_overload_window: Span,
    /// Maximum number of attempts of a request.
    #[serde(rename = "most_dispatches")]
    pub max_attempts: usize,
    /// Whether balancers may hedge requests.
    #[serde(rename = "second_copies")]
    pub hedging: bool,
    /// The longest `Retry-After` that a rejection may ask for.
    #[serde(rename = "come_back")]
    pub max_retry_after: Span,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            drain_grace: Span(400_000),
            slack: Span(50_000),
            late_response_limit: Span(0),
            slow_start_capacity: 0.3,
            slow_start_duration: Span(8 * SECOND),
            slow_start_overload_factor: 3.0,
            slow_start_overload_window: Span(SECOND),
            max_attempts: 4,
            hedging: true,
            max_retry_after: Span(SECOND),
        }
    }
}

impl Rules {
    /// How long after the deadline a final response may arrive.
    pub fn response_tolerance(&self) -> Micros {
        self.slack.0.max(self.late_response_limit.0)
    }
}

/// The servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Number of servers at the start.
    pub servers: Spanned<usize>,
    /// Names of the zones; servers are assigned in turn.
    pub zones: Vec<String>,
    /// Number of servers in a cell. Servers of one cell discard each other's duplicates.
    #[serde(rename = "cell")]
    pub cell_size: usize,
    /// Requests that may wait at a server beyond those in progress.
    #[serde(rename = "queue")]
    pub queue_capacity: usize,
    /// Maximum number of connections of a server.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// Core time of a new connection, added to its first request.
    #[serde(rename = "handshake")]
    pub handshake_work: Span,
    /// A server closes a connection that is idle for this long.
    #[serde(rename = "idle")]
    pub idle_timeout: Span,
    /// Requests waiting per core beyond which a server is overloaded; 0 turns overload off.
    #[serde(rename = "flooded_by")]
    pub overload_queue_per_core: f64,
    /// How long the queue must exceed the limit before the server slows down.
    #[serde(rename = "flooded_after")]
    pub overload_after: Span,
    /// Slowdown of an overloaded server.
    #[serde(rename = "flooded_slower")]
    pub overload_slowdown: f64,
    /// How long an overloaded server must be mostly idle to recover.
    #[serde(rename = "flooded_rest")]
    pub overload_recovery: Span,
    /// Interval at which servers measure the load that responses report; 0 turns reports off.
    #[serde(rename = "reports")]
    pub report_interval: Span,
    /// How long a server caches a key; 0 turns the cache off.
    #[serde(rename = "keeps_keys")]
    pub key_cache_ttl: Span,
    /// Fraction of its work that a request with a cached key saves.
    #[serde(rename = "keys_save")]
    pub key_cache_savings: f64,
    /// Whether a server stops working on a cancelled request.
    #[serde(rename = "stops_work")]
    pub cancel_stops_work: bool,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            servers: Spanned::new(0..0, 12),
            zones: vec!["a".into(), "b".into()],
            cell_size: 4,
            queue_capacity: 40,
            max_connections: 256,
            handshake_work: Span(300),
            idle_timeout: Span(15 * SECOND),
            overload_queue_per_core: 4.0,
            overload_after: Span(2 * SECOND),
            overload_slowdown: 2.5,
            overload_recovery: Span(3 * SECOND),
            report_interval: Span(500_000),
            key_cache_ttl: Span(0),
            key_cache_savings: 0.5,
            cancel_stops_work: true,
        }
    }
}

/// A machine type.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Name, as discovery reports it.
    pub name: String,
    /// Weight of this type among all types.
    #[serde(default = "defaults::share")]
    pub share: f64,
    /// Number of cores.
    #[serde(default = "defaults::cores")]
    pub cores: usize,
    /// Minimum and maximum speed of a core. Work is given for speed 1.
    #[serde(default = "defaults::speed")]
    pub speed: [f64; 2],
}

/// How the list of servers reaches balancers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Maximum interval between two polls of a balancer; 0 means that balancers use a watch.
    #[serde(rename = "ask_within")]
    pub max_poll_interval: Span,
    /// Minimum and maximum delay between a change and the list that contains it.
    #[serde(rename = "delay")]
    pub propagation_delay: [Span; 2],
    /// Calls that discovery processes per second, one after the other; 0 means no limit.
    pub calls_per_second: f64,
    /// A call that would wait longer than this is rejected.
    #[serde(rename = "longest_queue")]
    pub max_queue_wait: Span,
}

impl Default for Discovery {
    fn default() -> Self {
        Self {
            max_poll_interval: Span(10 * SECOND),
            propagation_delay: [Span(200_000), Span(800_000)],
            calls_per_second: 0.0,
            max_queue_wait: Span(2 * SECOND),
        }
    }
}

/// Whether a request may be processed more than once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of attempts may run.
    #[serde(rename = "redoable")]
    Idempotent,
    /// Servers that share the key's scope discard duplicates within the window.
    #[serde(rename = "labelled")]
    IdempotencyKey,
    /// At most one attempt may run.
    #[serde(rename = "irreversible")]
    NonIdempotent,
}

/// Which servers discard duplicates of a request with an idempotency key.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum IdempotencyScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Name, which is the first segment of the request's path.
    pub name: String,
    /// Weight of this class in the traffic.
    #[serde(default = "defaults::share")]
    pub share: f64,
    /// Whether requests may be processed more than once.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// Scope of the idempotency key.
    #[serde(default = "defaults::scope", rename = "group")]
    pub scope: IdempotencyScope,
    /// How long servers remember an idempotency key.
    #[serde(default = "defaults::idempotency_window", rename = "window")]
    pub idempotency_window: Span,
    /// Mean core time at speed 1.
    pub work: Span,
    /// Standard deviation of the logarithm of the work.
    #[serde(default = "defaults::scatter")]
    pub scatter: f64,
    /// Time spent waiting for other services, without using a core.
    #[serde(default, rename = "waits")]
    pub off_core_time: Span,
    /// A response within this time earns the class's weight.
    #[serde(rename = "promised_time")]
    pub latency_objective: Span,
    /// A final response is required within this time.
    #[serde(rename = "hard_stop")]
    pub deadline: Span,
    /// Weight of a request in the service score.
    #[serde(default = "defaults::share", rename = "earnings")]
    pub priority_weight: f64,
}

/// What clients do.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// Requests per second.
    pub rate: Spanned<f64>,
    /// Multiples of the rate over time, as `[time, multiple]`, with linear interpolation.
    pub curve: Vec<(Span, f64)>,
    /// Number of keys.
    pub keys: usize,
    /// A key's popularity falls with this power of its rank.
    pub skew: f64,
    /// Number of times that a client retries after a rejection or failure.
    pub retries: usize,
    /// Delay before a retry; 0 means at once.
    pub retry_wait: Span,
    /// Minimum fraction of the deadline after which a client gives up.
    #[serde(rename = "give_up")]
    pub min_timeout_fraction: f64,
    /// Fraction of the clients that disconnect early.
    #[serde(rename = "leaves")]
    pub disconnect_fraction: f64,
}

impl Default for Traffic {
    fn default() -> Self {
        Self {
            rate: Spanned::new(0..0, 200.0),
            curve: Vec::new(),
            keys: 500,
            skew: 1.0,
            retries: 1,
            retry_wait: Span(200_000),
            min_timeout_fraction: 1.0,
            disconnect_fraction: 0.0,
        }
    }
}

/// A tenant with its share of the traffic.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name, as requests carry it.
    pub name: String,
    /// Weight of this tenant in the traffic.
    #[serde(default = "defaults::share")]
    pub share: f64,
    /// Quota in requests per second.
    #[serde(rename = "allowance")]
    pub quota_per_second: f64,
}

/// Weight of each part of the service score; see [`crate::service`].
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceWeights {
    /// The score over the complete scenario.
    #[serde(rename = "whole")]
    pub overall: f64,
    /// The worst ten seconds.
    pub worst_10s: f64,
    /// The worst request class.
    #[serde(rename = "worst_use_case")]
    pub worst_class: f64,
    /// The worst tenant.
    pub worst_tenant: f64,
    /// Late responses.
    pub tail: f64,
    /// Fraction of the responses that may miss the latency objective without loss; at five times
    /// this fraction the tail scores nothing.
    #[serde(rename = "late_free")]
    pub late_fraction_allowed: f64,
}

impl Default for ServiceWeights {
    fn default() -> Self {
        Self {
            overall: 0.5,
            worst_10s: 0.1,
            worst_class: 0.1,
            worst_tenant: 0.1,
            tail: 0.2,
            late_fraction_allowed: 0.02,
        }
    }
}
