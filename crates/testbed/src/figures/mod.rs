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

/// Number of violations that are listed as text. Further ones are only counted.
const MAX_LISTED_VIOLATIONS: usize = 20;

/// Percentiles and maximum of a distribution of times, in milliseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PercentilesMs {
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub max: f64,
}

impl PercentilesMs {
    /// The percentiles of a histogram whose values are in microseconds.
    pub fn from_histogram_us(histogram: &Histogram<u64>) -> Self {
        let value_ms = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self {
            p50: value_ms(0.5),
            p90: value_ms(0.9),
            p99: value_ms(0.99),
            max: histogram.max() as f64 / 1000.0,
        }
    }
}

/// The service score of one second of a run, and the latencies of the successful requests that were
/// scheduled in it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SecondFigures {
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
    #[serde(rename = "who")]
    pub subject: String,
    pub seed: u64,
    pub balancers: usize,
    pub servers: usize,
    #[serde(rename = "tickets")]
    pub counts: RequestCounts,
    /// Latency of successful attempts: time from when an attempt was scheduled until its response.
    pub latency_ms: PercentilesMs,
    /// Lateness of the load itself: time from when an attempt was scheduled until it was sent.
    pub lateness_ms: PercentilesMs,
    /// Whether the load and the machine were fast enough. If false, [`Self::why_invalid`] lists the
    /// reasons.
    pub valid: bool,
    pub why_invalid: Vec<String>,
    /// The service score, from 0 to 1.
    pub service: f64,
    pub service_parts: ServiceScore,
    #[serde(rename = "rules_broken")]
    pub rule_violations: Vec<String>,
    #[serde(rename = "rules_broken_count")]
    pub rule_violation_count: usize,
    /// Balancer processes that ended unexpectedly, with their last log lines.
    #[serde(rename = "deaths")]
    pub unexpected_ends: Vec<String>,
    /// Number of violated invariants that balancers logged.
    pub violations: u64,
    #[serde(rename = "cpu_us_per_ticket")]
    pub cpu_us_per_request: f64,
    pub memory_mb: f64,
    /// Memory of the testbed process: stand-ins, load and checker.
    #[serde(rename = "lab_memory_mb")]
    pub testbed_memory_mb: f64,
    #[serde(rename = "dispatches_per_ticket")]
    pub attempts_per_request: f64,
    #[serde(rename = "sends")]
    pub attempts_by_server: Vec<u64>,
    pub seconds: Vec<SecondFigures>,
    /// Checks of the views that the balancers of a cluster had of each other.
    #[serde(flatten)]
    pub cluster: Option<FleetReport>,
    /// Whether the run was ended early by a signal.
    #[serde(rename = "cut_short")]
    pub interrupted: bool,
}

impl Figures {
    /// Adds the results of the clients and the violations found by the checker.
    pub fn add_results(&mut self, scenario: &Scenario, results: &Results, checker: &Checker) {
        let parts = results.tally.service_score(scenario);
        self.counts = results.counts.clone();
        self.latency_ms = PercentilesMs::from_histogram_us(&results.latency);
        self.lateness_ms = PercentilesMs::from_histogram_us(&results.lateness);
        self.service = parts.total;
        self.service_parts = parts;
        let violations = checker.violations();
        self.rule_violation_count = violations.len();
        let listed = violations.iter().take(MAX_LISTED_VIOLATIONS);
        self.rule_violations = listed.map(ToString::to_string).collect();
        let by_second = results.tally.by_second(scenario);
        let seconds = by_second.iter().zip(&results.latency_by_second);
        let figures_of_second = |(service, histogram): (&f64, &Histogram<u64>)| {
            let latency_ms = PercentilesMs::from_histogram_us(histogram);
            SecondFigures {
                service: *service,
                p50_ms: latency_ms.p50,
                p90_ms: latency_ms.p90,
                p99_ms: latency_ms.p99,
            }
        };
        self.seconds = seconds.map(figures_of_second).collect();
    }

    /// Marks the run as invalid where the load was late or could not keep up. `dropped` is the
    /// number of requests that were never sent.
    pub fn check_validity(&mut self, max_lateness_ms: f64, dropped: u64) {
        let lateness_ms = self.lateness_ms.p99;
        if lateness_ms > max_lateness_ms {
            let reason = format!(
                "the load itself was late: p99 {lateness_ms:.1} ms, \
                 expected at most {max_lateness_ms:.1} ms"
            );
            self.why_invalid.push(reason);
        }
        if dropped > 0 {
            let reason = format!("{dropped} requests were never sent: the load could not keep up");
            self.why_invalid.push(reason);
        }
        self.valid = self.why_invalid.is_empty();
    }

    /// Whether no rule or invariant was violated and no balancer ended unexpectedly. In a cluster,
    /// the views also have to be right and to agree in the end, and the leases sound. The service
    /// score has no influence.
    pub fn is_sound(&self) -> bool {
        let cluster = self.cluster.as_ref();
        let is_cluster_sound = cluster.is_none_or(|cluster| {
            cluster.serving_status_errors == 0 && cluster.views_agree_after_ms.is_some()
        });
        let leases = cluster.and_then(|cluster| cluster.leases.as_ref());
        self.rule_violation_count == 0
            && self.unexpected_ends.is_empty()
            && self.violations == 0
            && is_cluster_sound
            && leases.is_none_or(LeaseReport::is_sound)
    }
}
