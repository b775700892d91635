//! The figures of a run, as JSON for programs and as a table for people. The names of JSON keys are
//! part of the format.

mod table;

use hdrhistogram::Histogram;
use pinefront_model::checker::Checker;
use pinefront_model::scenario::Scenario;
use pinefront_model::service::ServiceScore;
use serde::Serialize;

use crate::clients::{RequestCounts, Results};
use crate::fleet::FleetReport;
use crate::fleet::leases::LeaseReport;

/// Violations that are listed; of further ones only the number is given.
const MAX_LISTED_VIOLATIONS: usize = 20;

/// Percentiles in milliseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Times {
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub max: f64,
}

impl Times {
    /// The percentiles of a histogram in microseconds.
    pub fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self {
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            max: histogram.max() as f64 / 1000.0,
        }
    }
}

/// One second of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    pub service: f64,
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub p99_ms: f64,
}

/// The figures of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    #[serde(rename = "day")]
    pub scenario: String,
    /// Name of the balancer under test.
    pub who: String,
    pub seed: u64,
    pub balancers: usize,
    pub servers: usize,
    #[serde(rename = "tickets")]
    pub counts: RequestCounts,
    pub latency_ms: Times,
    /// Lateness of the load itself, from the scheduled time of a request to when it was sent.
    pub lateness_ms: Times,
    /// False where the load or the machine was too slow.
    pub valid: bool,
    pub why_invalid: Vec<String>,
    pub service: f64,
    pub service_parts: ServiceScore,
    #[serde(rename = "rules_broken")]
    pub rule_violations: Vec<String>,
    #[serde(rename = "rules_broken_count")]
    pub rule_violation_count: usize,
    /// Processes that ended by themselves, with their last log lines.
    #[serde(rename = "deaths")]
    pub unexpected_ends: Vec<String>,
    /// Violated invariants that balancers logged.
    pub violations: u64,
    #[serde(rename = "cpu_us_per_ticket")]
    pub cpu_us_per_request: f64,
    pub memory_mb: f64,
    /// Memory of the testbed: stand-ins, load and checker.
    #[serde(rename = "lab_memory_mb")]
    pub testbed_memory_mb: f64,
    #[serde(rename = "dispatches_per_ticket")]
    pub attempts_per_request: f64,
    #[serde(rename = "sends")]
    pub attempts_by_server: Vec<u64>,
    pub seconds: Vec<Second>,
    /// What the balancers of a cluster knew of each other.
    #[serde(flatten)]
    pub cluster: Option<FleetReport>,
    /// Whether the run was ended early.
    #[serde(rename = "cut_short")]
    pub interrupted: bool,
}

impl Figures {
    /// Adds what clients saw and what the checker found.
    pub fn add_results(&mut self, scenario: &Scenario, results: &Results, checker: &Checker) {
        let parts = results.tally.service_score(scenario);
        self.counts = results.counts.clone();
        self.latency_ms = Times::of(&results.latency);
        self.lateness_ms = Times::of(&results.lateness);
        self.service = parts.total;
        self.service_parts = parts;
        let violations = checker.violations();
        self.rule_violation_count = violations.len();
        let listed = violations.iter().take(MAX_LISTED_VIOLATIONS);
        self.rule_violations = listed.map(ToString::to_string).collect();
        let by_second = results.tally.by_second(scenario);
        let seconds = by_second.iter().zip(&results.latency_by_second);
        let second = |(service, histogram): (&f64, &Histogram<u64>)| {
            let times = Times::of(histogram);
            Second {
                service: *service,
                p50_ms: times.p50,
                p90_ms: times.p90,
                p99_ms: times.p99,
            }
        };
        self.seconds = seconds.map(second).collect();
    }

    /// Decides whether the load was fast enough for the run to be valid. `dropped` requests were
    /// never sent.
    pub fn check_validity(&mut self, max_lateness_ms: f64, dropped: u64) {
        let lateness_ms = self.lateness_ms.p99;
        if lateness_ms > max_lateness_ms {
            let reason = format!("the load itself was late: p99 {lateness_ms:.1} ms");
            self.why_invalid.push(reason);
        }
        if dropped > 0 {
            let reason = format!("{dropped} requests were never sent: the load could not keep up");
            self.why_invalid.push(reason);
        }
        self.valid = self.why_invalid.is_empty();
    }

    /// Whether no rule was violated and no balancer failed, whatever the service score.
    pub fn is_sound(&self) -> bool {
        let cluster = self.cluster.as_ref();
        let is_cluster_sound = cluster.is_none_or(|cluster| {
            cluster.serving_status_errors == 0 && cluster.views_agree_after_ms.is_some()
        });
        let duties = cluster.and_then(|cluster| cluster.leases.as_ref());
        self.rule_violation_count == 0
            && self.unexpected_ends.is_empty()
            && self.violations == 0
            && is_cluster_sound
            && duties.is_none_or(LeaseReport::is_sound)
    }
}
