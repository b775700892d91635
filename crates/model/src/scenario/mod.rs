//! Schema of scenario files: servers, traffic, faults and scoring, decoded from TOML.
//! [`crate::validation`] checks the values.
//!
//! The keys are part of the file format. A field whose name differs from its key has a `serde`
//! attribute with the key.

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
            de::Error::custom(format!(
                "invalid duration '{text}', expected a value such as \"300ms\": {problem}"
            ))
        })?;
        Micros::try_from(span.as_micros()).map(Span).map_err(|_| {
            de::Error::custom(format!("duration '{text}' exceeds 64 bits in microseconds"))
        })
    }
}

/// A complete scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name, displayed with the results.
    pub name: String,
    /// Description for readers of the file.
    #[serde(default)]
    pub about: String,
    /// Duration of the scenario, in which requests arrive.
    pub length: Spanned<Span>,
    /// Seed of all random draws.
    #[serde(default = "defaults::seed")]
    pub seed: u64,
    /// Number of balancers that receive requests.
    #[serde(default = "defaults::balancers")]
    pub balancers: Spanned<usize>,
    /// Number of named duties of the cluster; each is assigned to one balancer by a lease.
    #[serde(default)]
    pub duties: usize,
    /// Whether one balancer of each zone polls discovery and shares the endpoint list with the
    /// others.
    #[serde(default, rename = "roster")]
    pub shared_endpoint_list: bool,
    /// Limits of the four safety rules and permissions of balancers.
    #[serde(default)]
    pub rules: Rules,
    /// The servers.
    #[serde(default)]
    pub fleet: Fleet,
    /// Machine types of the servers.
    #[serde(default = "defaults::machines")]
    pub machines: Vec<Spanned<Machine>>,
    /// Distribution of the endpoint list to balancers.
    #[serde(default)]
    pub discovery: Discovery,
    /// Request classes.
    #[serde(default = "defaults::classes", rename = "use_cases")]
    pub classes: Vec<Spanned<RequestClass>>,
    /// Requests and retries of the clients.
    #[serde(default)]
    pub traffic: Traffic,
    /// Tenants with a request quota.
    #[serde(default)]
    pub tenants: Vec<Spanned<Tenant>>,
    /// Faults with their start times.
    #[serde(default)]
    pub faults: Vec<Spanned<Fault>>,
    /// Weights of the service score.
    #[serde(default)]
    pub service: ServiceWeights,
}

/// Limits of the four safety rules, and permissions of balancers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Grace period in which a balancer may still send attempts to a server after it was notified
    /// that the server is draining.
    pub drain_grace: Span,
    /// Tolerance added to each time limit, for delays of sockets and of the host.
    pub slack: Span,
    /// Delay after the deadline up to which a final response does not count as missing. The slack
    /// applies if it is longer.
    #[serde(rename = "late")]
    pub late_response_limit: Span,
    /// Fraction of its capacity that a server has when it starts. The capacity increases linearly
    /// during slow start.
    #[serde(rename = "cold_from")]
    pub slow_start_capacity: f64,
    /// Duration of slow start.
    #[serde(rename = "warm_after")]
    pub slow_start_duration: Span,
    /// A server in slow start crashes if the work received within `slow_start_overload_window`
    /// exceeds this multiple of its current capacity.
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
    /// Maximum `Retry-After` of a rejection.
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
    /// Maximum delay of a final response after its deadline, in microseconds.
    pub fn response_tolerance(&self) -> Micros {
        self.slack.0.max(self.late_response_limit.0)
    }
}

/// The servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Number of servers at the start of the scenario.
    pub servers: Spanned<usize>,
    /// Names of the zones, to which servers are assigned in round-robin order.
    pub zones: Vec<String>,
    /// Number of servers in a cell. Servers of one cell discard each other's duplicates.
    #[serde(rename = "cell")]
    pub cell_size: usize,
    /// Maximum number of requests that wait at a server for a core.
    #[serde(rename = "queue")]
    pub queue_capacity: usize,
    /// Maximum number of connections of a server.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// Core time at speed 1 for a new connection, added to its first request.
    #[serde(rename = "handshake")]
    pub handshake_work: Span,
    /// Idle time after which a server closes a connection.
    #[serde(rename = "idle")]
    pub idle_timeout: Span,
    /// Waiting requests per core beyond which a server becomes overloaded; 0 disables overload.
    #[serde(rename = "flooded_by")]
    pub overload_queue_per_core: f64,
    /// Time for which the queue must exceed its limit before the server slows down.
    #[serde(rename = "flooded_after")]
    pub overload_after: Span,
    /// Factor by which the processing time of an overloaded server increases.
    #[serde(rename = "flooded_slower")]
    pub overload_slowdown: f64,
    /// Time for which an overloaded server must be mostly idle to recover.
    #[serde(rename = "flooded_rest")]
    pub overload_recovery: Span,
    /// Interval at which servers measure the load that responses report; 0 disables load reports.
    #[serde(rename = "reports")]
    pub report_interval: Span,
    /// Time for which a server caches a key; 0 disables the cache.
    #[serde(rename = "keeps_keys")]
    pub key_cache_ttl: Span,
    /// Fraction by which a cached key reduces the work of a request.
    #[serde(rename = "keys_save")]
    pub key_cache_savings: f64,
    /// Whether a server stops the processing of a cancelled request.
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
    /// Name of the type, which discovery reports for each server.
    pub name: String,
    /// Relative share of the servers that have this type.
    #[serde(default = "defaults::share")]
    pub share: f64,
    /// Number of cores.
    #[serde(default = "defaults::cores")]
    pub cores: usize,
    /// Minimum and maximum speed of a core. Work is measured as core time at speed 1.
    #[serde(default = "defaults::speed")]
    pub speed: [f64; 2],
}

/// Distribution of the endpoint list to balancers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Maximum interval between two polls of a balancer; with 0, balancers use a watch.
    #[serde(rename = "ask_within")]
    pub max_poll_interval: Span,
    /// Minimum and maximum delay until a change is visible in the endpoint list.
    #[serde(rename = "delay")]
    pub propagation_delay: [Span; 2],
    /// Calls that discovery can process per second, sequentially; 0 disables the limit.
    pub calls_per_second: f64,
    /// Backlog beyond which discovery rejects calls.
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
    /// Any number of attempts may be processed.
    #[serde(rename = "redoable")]
    Idempotent,
    /// Servers that share the key's scope discard duplicates within the window.
    #[serde(rename = "labelled")]
    IdempotencyKey,
    /// At most one attempt may be processed.
    #[serde(rename = "irreversible")]
    NonIdempotent,
}

/// The servers among which duplicates of a request with an idempotency key are discarded.
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
    /// Name of the class, which is the first segment of the request path.
    pub name: String,
    /// Relative share of the requests that belong to this class.
    #[serde(default = "defaults::share")]
    pub share: f64,
    /// Whether requests may be processed more than once.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// Scope of the idempotency key.
    #[serde(default = "defaults::scope", rename = "group")]
    pub scope: IdempotencyScope,
    /// Time for which servers store an idempotency key.
    #[serde(default = "defaults::idempotency_window", rename = "window")]
    pub idempotency_window: Span,
    /// Mean core time of a request at speed 1.
    pub work: Span,
    /// Standard deviation of the logarithm of the work.
    #[serde(default = "defaults::scatter")]
    pub scatter: f64,
    /// Time spent waiting for other services, without using a core.
    #[serde(default, rename = "waits")]
    pub off_core_time: Span,
    /// Latency objective: a response within this time counts towards the service score.
    #[serde(rename = "promised_time")]
    pub latency_objective: Span,
    /// Time from the request until its deadline, within which a final response is required.
    #[serde(rename = "hard_stop")]
    pub deadline: Span,
    /// Weight of a request in the service score.
    #[serde(default = "defaults::share", rename = "earnings")]
    pub priority_weight: f64,
}

/// Requests and retries of the clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// Usual request rate, in requests per second.
    pub rate: Spanned<f64>,
    /// Multiples of the rate over time, as `[time, multiple]`, with linear interpolation.
    pub curve: Vec<(Span, f64)>,
    /// Number of distinct entity keys.
    pub keys: usize,
    /// Zipf exponent: the popularity of a key is proportional to its rank to the power of `-skew`.
    pub skew: f64,
    /// Maximum number of retries of a client after rejections and failures.
    pub retries: usize,
    /// Minimum delay before a retry; 0 means an immediate retry.
    pub retry_wait: Span,
    /// Minimum client timeout, as a fraction of the deadline.
    #[serde(rename = "give_up")]
    pub min_timeout_fraction: f64,
    /// Fraction of the clients that disconnect before their timeout.
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

/// A tenant and its share of the requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name of the tenant, which its requests contain.
    pub name: String,
    /// Relative share of the requests that belong to this tenant.
    #[serde(default = "defaults::share")]
    pub share: f64,
    /// Quota in requests per second.
    #[serde(rename = "allowance")]
    pub quota_per_second: f64,
}

/// Weights of the components of the service score; see [`crate::service`].
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceWeights {
    /// Weight of the score over the complete scenario.
    #[serde(rename = "whole")]
    pub overall: f64,
    /// Weight of the worst score of any ten seconds.
    pub worst_10s: f64,
    /// Weight of the worst score of any request class.
    #[serde(rename = "worst_use_case")]
    pub worst_class: f64,
    /// Weight of the worst score of any tenant.
    pub worst_tenant: f64,
    /// Weight of the tail latency score.
    pub tail: f64,
    /// Fraction of the requests that may miss the latency objective without reducing the tail
    /// latency score. At five times this fraction the score is 0.
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
