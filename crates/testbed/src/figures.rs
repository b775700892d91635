//! What a run found, for programs (JSON) and for people (a table).

use std::fmt::Write as _;

use hdrhistogram::Histogram;
use pinefront_model::checker::Checker;
use pinefront_model::service::Parts;
use serde::Serialize;

use crate::clients::{Collected, RequestCounts};
use crate::fleet::Known;
use crate::fleet::leases::LeaseReport;

/// Milliseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Times {
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub max: f64,
}

impl Times {
    pub fn of(histogram: &Histogram<u64>) -> Self {
        let at = |part: f64| histogram.value_at_quantile(part) as f64 / 1000.0;
        Self {
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            max: histogram.max() as f64 / 1000.0,
        }
    }
}

/// One second of a day.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    pub service: f64,
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub p99_ms: f64,
}

/// One run of a day.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    #[serde(rename = "day")]
    pub scenario: String,
    pub who: String,
    pub seed: u64,
    pub balancers: usize,
    pub servers: usize,
    #[serde(rename = "tickets")]
    pub requests: RequestCounts,
    pub latency_ms: Times,
    /// Of the load itself, from when a ticket was due to when it was written.
    pub lateness_ms: Times,
    /// False where the load or the machine lagged too far for the figures to count.
    pub valid: bool,
    pub why_invalid: Vec<String>,
    pub service: f64,
    pub service_parts: Parts,
    pub rules_broken: Vec<String>,
    pub rules_broken_count: usize,
    /// Processes that ended by themselves, with their last log lines.
    pub deaths: Vec<String>,
    /// Violations that balancers' own guards told of.
    pub violations: u64,
    pub cpu_us_per_ticket: f64,
    pub memory_mb: f64,
    /// Of the lab itself: stand-ins, load and judge.
    pub lab_memory_mb: f64,
    pub dispatches_per_ticket: f64,
    pub sends: Vec<u64>,
    pub seconds: Vec<Second>,
    /// What balancers knew of each other, on a day of a fleet.
    #[serde(flatten)]
    pub known: Option<Known>,
    /// Ended before the day was over.
    pub cut_short: bool,
}

/// Broken rules told in full; beyond them only their number.
const BREAKS_TOLD: usize = 20;

impl Figures {
    pub fn take(
        &mut self,
        collected: &Collected,
        parts: Parts,
        by_second: &[f64],
        checker: &Checker,
    ) {
        self.requests = collected.requests.clone();
        self.latency_ms = Times::of(&collected.latency);
        self.lateness_ms = Times::of(&collected.lateness);
        (self.service, self.service_parts) = (parts.total, parts);
        self.rules_broken_count = checker.violations().len();
        self.rules_broken = checker
            .violations()
            .iter()
            .take(BREAKS_TOLD)
            .map(ToString::to_string)
            .collect();
        let seconds = by_second
            .iter()
            .zip(&collected.by_second)
            .map(|(service, histogram)| {
                let times = Times::of(histogram);
                Second {
                    service: *service,
                    p50_ms: times.p50,
                    p90_ms: times.p90,
                    p99_ms: times.p99,
                }
            });
        self.seconds = seconds.collect();
    }

    /// Whether all is as it must be, whatever the service.
    pub fn is_sound(&self) -> bool {
        let known = self.known.as_ref();
        self.rules_broken_count == 0
            && self.deaths.is_empty()
            && self.violations == 0
            && known
                .is_none_or(|known| known.wrongly_gone == 0 && known.views_agree_after_ms.is_some())
            && known
                .and_then(|known| known.leases.as_ref())
                .is_none_or(LeaseReport::is_sound)
    }

    pub fn table(&self) -> String {
        let mut out = String::new();
        let RequestCounts {
            asked,
            succeeded,
            rejected,
            failed,
            unanswered,
            left,
            unreached,
        } = self.requests;
        let mut line = |name: &str, text: String| {
            // Writing to a text cannot fail.
            let _ = writeln!(out, "  {name:<16} {text}");
        };
        line(
            "tickets",
            format!(
                "{asked} asked, {succeeded} succeeded, {rejected} dismissed, {failed} abandoned"
            ),
        );
        if unanswered + left + unreached > 0 {
            line(
                "",
                format!(
                    "{unanswered} unanswered, {left} left by their clients, {unreached} reached no balancer"
                ),
            );
        }
        let Times { p50, p90, p99, max } = self.latency_ms;
        line(
            "answer time",
            format!("p50 {p50:.1} ms, p90 {p90:.1}, p99 {p99:.1}, longest {max:.1}"),
        );
        let parts = &self.service_parts;
        line(
            "service",
            format!(
                "{:.3} (whole {:.3}, worst 10 s {:.3}, worst use case {:.3}, tail {:.3})",
                self.service, parts.overall, parts.worst_10s, parts.worst_class, parts.tail
            ),
        );
        if self.cpu_us_per_ticket > 0.0 {
            let Self {
                cpu_us_per_ticket: cpu,
                memory_mb: memory,
                balancers,
                ..
            } = self;
            line(
                "balancers",
                format!("{balancers}: {cpu:.0} us of CPU a ticket, {memory:.1} MB at most"),
            );
        }
        line(
            "dispatches",
            format!("{:.3} a ticket", self.dispatches_per_ticket),
        );
        line(
            "load's lateness",
            format!(
                "p99 {:.2} ms, most {:.2}",
                self.lateness_ms.p99, self.lateness_ms.max
            ),
        );
        line("the lab itself", format!("{:.0} MB", self.lab_memory_mb));
        if let Some(known) = &self.known {
            let agree = known
                .views_agree_after_ms
                .map_or("NEVER AGREE".into(), |ms| {
                    format!("agree {ms:.0} ms after the last fault")
                });
            line("views", format!("{agree}, of {} looks", known.looks));
            let times = crate::cluster::distribution(known.detected_ms.clone());
            line(
                "who is away",
                format!(
                    "noticed after {:.0} ms, worst {:.0} of {}",
                    times.p50, times.worst, times.count
                ),
            );
            let all = crate::cluster::distribution(known.detected_by_all_ms.clone());
            if all.count > 0 {
                let text = format!(
                    "after {:.0} ms, worst {:.0} of {}",
                    all.p50, all.worst, all.count
                );
                line("noticed by all", text);
            }
            line(
                "discovery",
                format!(
                    "{} calls, {:.2} a second",
                    known.discovery_calls, known.discovery_calls_a_second
                ),
            );
            if known.flooded > 0 {
                line("strangers sent", known.flooded.to_string());
            }
            line(
                "refuted",
                format!("{} doubts, also of who had been stopped", known.refutations),
            );
            line(
                "wrongly gone",
                format!(
                    "{}; held for silent while running: {}",
                    known.wrongly_gone, known.held_gone_while_running
                ),
            );
            if let Some(duties) = &known.leases {
                let times = crate::cluster::distribution(duties.without_holder_ms.clone());
                let text = format!(
                    "{}: {} OVERLAPS, {} old terms taken, {} changes ({} of one in a minute at most), {} vacant",
                    duties.leases,
                    duties.overlaps,
                    duties.old_terms_taken,
                    duties.changes,
                    duties.changes_most_a_minute,
                    duties.vacant
                );
                line("duties", text);
                line(
                    "without a holder",
                    format!(
                        "{:.0} ms (median), worst {:.0} of {}",
                        times.p50, times.worst, times.count
                    ),
                );
                for (how, list) in &duties.without_holder_by {
                    let times = crate::cluster::distribution(list.clone());
                    let text = format!(
                        "{how}: {:.0} ms, worst {:.0} of {}",
                        times.p50, times.worst, times.count
                    );
                    line("", text);
                }
                duties.details.iter().for_each(|why| line("", why.clone()));
            }
            known.details.iter().for_each(|why| line("", why.clone()));
        }
        match self.rules_broken_count {
            0 => line("rules", "none broken".into()),
            count => {
                line("rules", format!("{count} BROKEN"));
                self.rules_broken
                    .iter()
                    .for_each(|record_violation| line("", record_violation.clone()));
            }
        }
        self.deaths
            .iter()
            .for_each(|death| line("DIED", death.clone()));
        self.why_invalid
            .iter()
            .for_each(|why| line("INVALID", why.clone()));
        out
    }
}
